//! A pause that an upstream asks of one entry when it turns a request of that entry away.

/// Time after which a trial request without an answer is followed by another one.
const TRIAL_TIMEOUT_MS: u64 = 1_000;

/// The pause, and the trial by which the entry learns that the upstream takes work again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pause {
    until_ms: u64,
    trial_at_ms: Option<u64>,
}

impl Pause {
    /// A pause of so many milliseconds from now on.
    pub fn new(pause_ms: u64, now_ms: u64) -> Self {
        Self { until_ms: now_ms.saturating_add(pause_ms), trial_at_ms: None }
    }

    /// Records that the upstream asks once more. A pause that it asked for before still holds.
    pub fn record_asked(&mut self, pause_ms: u64, now_ms: u64) {
        self.until_ms = self.until_ms.max(now_ms.saturating_add(pause_ms));
        self.trial_at_ms = None;
    }

    /// Whether the pause still lasts.
    pub fn is_lasting(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// End of the pause in milliseconds of the entry's clock.
    pub fn until_ms(&self) -> u64 {
        self.until_ms
    }

    /// Counts a request when it is sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        if !self.is_lasting(now_ms) {
            self.trial_at_ms = Some(now_ms);
        }
    }

    /// Earliest time at which a request may be sent. After the pause one at a time is sent, until
    /// the upstream has executed one: where it still has too much, all others would be sent in vain.
    pub fn next_send_ms(&self) -> u64 {
        self.trial_at_ms.map_or(self.until_ms, |at_ms| at_ms + TRIAL_TIMEOUT_MS)
    }

    /// Whether an executed request shows that the upstream takes work again.
    pub fn ends_by(&self, sent_at_ms: u64) -> bool {
        sent_at_ms >= self.until_ms
    }
}
