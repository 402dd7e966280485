//! A rate that an upstream names for all entries together.
//!
//! Entries without a share of it send one trial request now and then, one entry after the other, by
//! which they learn that the rate has ended. `docs/design/flow-control.md` has the arithmetic.

use super::share;

/// Time between the trial requests of two entries.
const TRIAL_INTERVAL_MS: u64 = 8_000;

/// The rate that an upstream names, and this entry's share of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    share: share::Share,
    /// When this entry learnt of a rate.
    since_ms: u64,
    /// When the rate was last named.
    named_at_ms: u64,
}

impl RateLimit {
    /// A rate that is named for the first time. `per_s` is in requests a second.
    pub fn new(per_s: f64, place: share::Place, now_ms: u64) -> Self {
        let share = share::Share::new(share::Rate::new(per_s), place, now_ms);
        Self { share, since_ms: now_ms, named_at_ms: now_ms }
    }

    /// Requests a second that the upstream takes from all entries together.
    pub fn per_s(&self) -> f64 {
        self.share.rate().per_s
    }

    /// When the rate was last named, in milliseconds of the entry's clock.
    pub fn named_at_ms(&self) -> u64 {
        self.named_at_ms
    }

    /// Records that the rate is named once more.
    pub fn record_named(&mut self, per_s: f64, now_ms: u64) {
        self.share.update(share::Rate::new(per_s), self.share.place(), now_ms);
        self.named_at_ms = now_ms;
    }

    /// Takes another place among the entries.
    pub fn set_place(&mut self, place: share::Place, now_ms: u64) {
        self.share.update(self.share.rate(), place, now_ms);
    }

    /// Counts a request when it is sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.share.record_sent(now_ms);
    }

    /// Earliest time at which this entry may send a request.
    pub fn next_send_ms(&self) -> u64 {
        let interval_ms = self.share.interval_ms();
        // A share below one request in the time between two trials is served by trials.
        match interval_ms.filter(|interval_ms| *interval_ms <= self.trial_interval_ms()) {
            Some(interval_ms) => self.share.next_send_ms(interval_ms),
            None => self.next_trial_ms(),
        }
    }

    /// Milliseconds until the upstream takes a request, from this entry or another one.
    pub fn takes_work_in_ms(&self, now_ms: u64) -> u64 {
        let own_ms = self.next_send_ms().saturating_sub(now_ms);
        self.share.interval_of_all_ms().map_or(own_ms, |interval_ms| own_ms.min(interval_ms))
    }

    fn next_trial_ms(&self) -> u64 {
        match self.share.sent_at_ms() {
            Some(sent_at_ms) => sent_at_ms + self.trial_interval_ms(),
            None => self.since_ms + (u64::from(self.share.place().rank) + 1) * TRIAL_INTERVAL_MS,
        }
    }

    /// Milliseconds between two trials of this entry.
    fn trial_interval_ms(&self) -> u64 {
        let place = self.share.place();
        let entries = place.entries.unwrap_or(0).max(place.rank + 1);
        u64::from(entries) * TRIAL_INTERVAL_MS
    }
}
