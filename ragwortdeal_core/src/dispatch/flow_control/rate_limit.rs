//! One entry's share of a rate that an upstream names for all entries together.
//!
//! Entries do not see each other's requests, and there may be far more of them than the upstream
//! takes requests in a second. So only a few, those of the first ranks at this upstream, hold a
//! share of the rate. The others send one trial request now and then, one entry after the other, by
//! which they learn that the rate has ended. `docs/design/flow-control.md` has the arithmetic.

/// Fewest entries that hold a share, so that the upstream is used where one of them is lost.
const HOLDERS_MIN: u32 = 2;

/// Requests a second for which there is one more holder.
const LIMIT_PER_HOLDER_PER_S: f64 = 4.0;

/// Entries that are assumed beside the known ones. One that has just started knows of no other yet,
/// and must not take all of a rate.
const UNKNOWN_ENTRIES: u32 = 2;

/// Time between the trial requests of two entries.
const TRIAL_INTERVAL_MS: u64 = 8_000;

/// The place of this entry among all that use an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Number of entries that come before it at this upstream.
    pub rank: u32,
    /// Number of entries, or none while this entry is not known to be listed.
    pub entries: Option<u32>,
}

/// The rate that an upstream names, and this entry's share of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    per_s: f64,
    seat: Seat,
    /// When this entry learnt of a rate.
    since_ms: u64,
    /// When the rate was last named.
    named_at_ms: u64,
    sent_at_ms: Option<u64>,
}

impl RateLimit {
    /// A rate that is named for the first time. `per_s` is in requests a second.
    pub fn new(per_s: f64, seat: Seat, now_ms: u64) -> Self {
        Self { per_s, seat, since_ms: now_ms, named_at_ms: now_ms, sent_at_ms: None }
    }

    /// Requests a second that the upstream takes from all entries together.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// When the rate was last named, in milliseconds of the entry's clock.
    pub fn named_at_ms(&self) -> u64 {
        self.named_at_ms
    }

    /// Records that the rate is named once more.
    pub fn record_named(&mut self, per_s: f64, now_ms: u64) {
        self.per_s = per_s;
        self.named_at_ms = now_ms;
    }

    /// Takes another place among the entries.
    pub fn set_seat(&mut self, seat: Seat) {
        self.seat = seat;
    }

    /// Counts a request when it is sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.sent_at_ms = Some(now_ms);
    }

    /// Earliest time at which this entry may send a request.
    pub fn next_send_ms(&self) -> u64 {
        match self.share_interval_ms() {
            Some(interval_ms) => self.sent_at_ms.unwrap_or(self.since_ms) + interval_ms,
            None => self.next_trial_ms(),
        }
    }

    /// Milliseconds until the upstream takes a request, from this entry or another one.
    pub fn takes_work_in_ms(&self, now_ms: u64) -> u64 {
        let own_ms = self.next_send_ms().saturating_sub(now_ms);
        match self.per_s > 0.0 {
            true => own_ms.min(interval_ms(1.0, self.per_s)),
            false => own_ms,
        }
    }

    /// Milliseconds between two requests of this entry, if it holds a share.
    fn share_interval_ms(&self) -> Option<u64> {
        let wanted = HOLDERS_MIN + (self.per_s / LIMIT_PER_HOLDER_PER_S) as u32;
        let most = self.seat.entries.map_or(wanted, |entries| entries + UNKNOWN_ENTRIES);
        let holders = wanted.min(most);
        let holds = self.seat.rank < holders && self.per_s > 0.0;
        let interval_ms = interval_ms(f64::from(holders), self.per_s);
        (holds && interval_ms <= self.trial_interval_ms()).then_some(interval_ms)
    }

    fn next_trial_ms(&self) -> u64 {
        match self.sent_at_ms {
            Some(sent_at_ms) => sent_at_ms + self.trial_interval_ms(),
            None => self.since_ms + (u64::from(self.seat.rank) + 1) * TRIAL_INTERVAL_MS,
        }
    }

    /// Milliseconds between two trials of this entry.
    fn trial_interval_ms(&self) -> u64 {
        let entries = self.seat.entries.unwrap_or(0).max(self.seat.rank + 1);
        u64::from(entries) * TRIAL_INTERVAL_MS
    }
}

/// Milliseconds between two requests of one of so many entries.
fn interval_ms(entries: f64, per_s: f64) -> u64 {
    (entries * 1_000.0 / per_s).ceil() as u64
}
