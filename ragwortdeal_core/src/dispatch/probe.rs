//! Tracks the state of the path to an instance by probes that its agent answers.
//!
//! Congested links and hung machines show in requests only after seconds, because nobody knows
//! where a request in transit waits. Probes take the same path several times a second, and each
//! answer carries the time of its probe.

/// Age beyond which the last answer no longer confirms the path: two probes in a row and a lost
/// datagram have gone unanswered by then.
const ANSWER_MAX_AGE_MS: u64 = 400;

/// Round trip beyond which data is queued on the path. Without a queue it takes a few milliseconds.
/// A lost datagram is made good by the next probe before that.
const ROUND_TRIP_MAX_MS: u64 = 150;

/// State of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// No probe has been answered yet, or none was sent recently.
    #[default]
    Unknown,
    /// Probes are answered promptly.
    Free,
    /// Probes are answered late: data is queued on the path.
    Slow,
    /// A probe has been unanswered for longer than a clear path takes. It is not known yet whether
    /// the answer is late or lost.
    Overdue,
    /// Probes are no longer answered: the path is broken, or the agent is gone.
    Silent,
}

/// The probes to one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Probe {
    /// When the newest answered probe was sent.
    answered_sent_at_ms: Option<u64>,
    /// When the oldest probe was sent that is newer than the last answered one.
    unanswered_since_ms: Option<u64>,
    round_trip_ms: u64,
}

impl Probe {
    /// Records a probe as sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.unanswered_since_ms.get_or_insert(now_ms);
    }

    /// Records the answer to a probe. Returns whether that probe is the newest one answered.
    pub fn record_reply(&mut self, sent_at_ms: u64, now_ms: u64) -> bool {
        if self.answered_sent_at_ms.is_some_and(|newest_ms| newest_ms >= sent_at_ms) {
            return false;
        }
        self.answered_sent_at_ms = Some(sent_at_ms);
        self.unanswered_since_ms = None;
        self.round_trip_ms = now_ms.saturating_sub(sent_at_ms);
        true
    }

    /// Whether the path was clear just now, or its state is unknown because no probe was ever
    /// answered.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        self.answered_sent_at_ms.is_none() || self.path_state(now_ms) == PathState::Free
    }

    /// Whether the agent answered just now, in time.
    pub fn is_answered(&self, now_ms: u64) -> bool {
        self.path_state(now_ms) == PathState::Free
    }

    /// Round trip of the newest answered probe in milliseconds, 0 before any.
    pub fn round_trip_ms(&self) -> u64 {
        self.round_trip_ms
    }

    /// When the oldest probe was sent that is newer than the last answered one.
    pub fn unanswered_since_ms(&self) -> Option<u64> {
        self.unanswered_since_ms
    }

    /// Current state of the path. An instance that never answered may have no agent, which says
    /// nothing about its path.
    pub fn path_state(&self, now_ms: u64) -> PathState {
        let Some(sent_at_ms) = self.answered_sent_at_ms else { return PathState::Unknown };
        let unanswered_ms =
            self.unanswered_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        if self.round_trip_ms > ROUND_TRIP_MAX_MS {
            return PathState::Slow;
        }
        if unanswered_ms > ANSWER_MAX_AGE_MS {
            return PathState::Silent;
        }
        if unanswered_ms > ROUND_TRIP_MAX_MS {
            return PathState::Overdue;
        }
        let is_recent = now_ms.saturating_sub(sent_at_ms) <= ANSWER_MAX_AGE_MS;
        if is_recent { PathState::Free } else { PathState::Unknown }
    }
}
