//! A cold upstream: one that has just started, or may have, and takes few requests for a while.
//!
//! More than its bound ends it, and the bound holds for all entries together. Only those that hold
//! a share send requests; there are no trials, because time and announcements end the state.

use super::share;

/// Longest difference in the time that requests take to an upstream. Requests that are sent within
/// one second and this may arrive within one second.
const DELAY_SPREAD_S: f64 = 0.25;

/// Time between the trial requests of two entries without a share to an upstream that could not be
/// reached, by which they learn that it is back where nobody tells them.
const TRIAL_INTERVAL_MS: u64 = 8_000;

/// What cold upstreams of a service take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// How long an upstream is cold after a start, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that it takes then from all entries together.
    pub requests_per_s: f64,
    /// Multiple of that rate which it may get in any second, beside `slack`.
    pub overrun: f64,
    /// Requests that it may get beside that in any second.
    pub slack: f64,
}

impl Bound {
    /// Most requests that a cold upstream may get in any second.
    fn most_in_a_second(&self) -> f64 {
        self.requests_per_s * self.overrun + self.slack
    }

    /// The rate that entries keep to. It is the highest up to the upstream's own with which the
    /// bound holds where two entries send beside the holders. `docs/design/flow-control.md` has the
    /// arithmetic.
    pub fn rate(&self) -> share::Rate {
        let usual = share::Rate::new(self.requests_per_s);
        let unknown = f64::from(share::UNKNOWN_ENTRIES);
        let spare = (self.most_in_a_second() - unknown).max(0.0);
        // Each holder may send one request at once, and one request is left for the rate.
        let holders = usual.holders.min((spare - 1.0).max(1.0) as u32);
        // An entry that knows of no other divides by itself and the unknown ones.
        let alone = f64::from(holders.min(1 + share::UNKNOWN_ENTRIES));
        let arrivals_per_request = (1.0 + DELAY_SPREAD_S) * (1.0 + unknown / alone);
        let highest = (spare - f64::from(holders)).max(0.0) / arrivals_per_request;
        share::Rate { per_s: self.requests_per_s.clamp(0.0, highest), holders }
    }
}

/// Why an upstream counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its announcement says so.
    Announced,
    /// It has started, as its announcement shows.
    Started,
    /// It could not be reached and may have started again meanwhile.
    Unreachable,
    /// The evacuation of its availability zone has ended.
    EvacuationEnded,
}

impl Reason {
    /// The reason in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Started => "started",
            Self::Unreachable => "unreachable",
            Self::EvacuationEnded => "evacuation ended",
        }
    }
}

/// A cold upstream, and this entry's share of its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    bound: Bound,
    share: share::Share,
    reason: Reason,
    until_ms: u64,
    /// When it could last not be reached, until it is back. It may start again at any time.
    unreachable_at_ms: Option<u64>,
}

impl Cold {
    /// An upstream that is assumed to be cold for the whole time from now on.
    pub fn new(bound: Bound, reason: Reason, place: share::Place, now_ms: u64) -> Self {
        let share = share::Share::new(bound.rate(), place, now_ms);
        let until_ms = now_ms + bound.cold_ms;
        Self { bound, share, reason, until_ms, unreachable_at_ms: None }
    }

    /// Why it counts as cold.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Whether it is cold at this time.
    pub fn is_lasting(&self, now_ms: u64) -> bool {
        self.unreachable_at_ms.is_some() || now_ms < self.until_ms
    }

    /// Whether a fresh announcement is wanted, because the upstream may be warm.
    pub fn wants_announcement(&self) -> bool {
        matches!(self.reason, Reason::Started | Reason::Unreachable)
    }

    /// Milliseconds for which it stays cold, as far as it is known.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        match self.unreachable_at_ms {
            Some(_) => self.bound.cold_ms,
            None => self.until_ms.saturating_sub(now_ms),
        }
    }

    /// Takes from the upstream's announcement for how long it stays cold.
    pub fn record_announced(&mut self, remaining_ms: u64, now_ms: u64) {
        self.reason = Reason::Announced;
        self.until_ms = now_ms.saturating_add(remaining_ms);
        self.unreachable_at_ms = None;
    }

    /// Assumes that it is cold for the whole time from now on.
    pub fn record_assumed(&mut self, reason: Reason, now_ms: u64) {
        self.reason = reason;
        self.until_ms = self.until_ms.max(now_ms + self.bound.cold_ms);
    }

    /// Records that it cannot be reached.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        self.reason = Reason::Unreachable;
        self.unreachable_at_ms = Some(now_ms);
    }

    /// Records that a request or a probe has reached it that was sent at this time.
    pub fn record_reached(&mut self, sent_at_ms: u64, now_ms: u64) {
        if self.unreachable_at_ms.is_some_and(|at_ms| at_ms <= sent_at_ms) {
            self.unreachable_at_ms = None;
            self.record_assumed(Reason::Unreachable, now_ms);
        }
    }

    /// Takes another bound from the document.
    pub fn set_bound(&mut self, bound: Bound, now_ms: u64) {
        self.bound = bound;
        self.share.update(bound.rate(), self.share.place(), now_ms);
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
        let by_share_ms = self.share.interval_ms().map(|it| self.share.next_send_ms(it));
        match self.unreachable_at_ms {
            Some(at_ms) => by_share_ms.unwrap_or_else(|| self.next_trial_ms(at_ms)),
            None => by_share_ms.map_or(self.until_ms, |at_ms| at_ms.min(self.until_ms)),
        }
    }

    fn next_trial_ms(&self, unreachable_at_ms: u64) -> u64 {
        let since_ms = self.share.sent_at_ms().unwrap_or(0).max(unreachable_at_ms);
        since_ms + (u64::from(self.share.place().rank) + 1) * TRIAL_INTERVAL_MS
    }

    /// Milliseconds until the upstream takes a request, from this entry or another one.
    pub fn takes_work_in_ms(&self, now_ms: u64) -> u64 {
        let own_ms = self.next_send_ms().saturating_sub(now_ms).min(self.remaining_ms(now_ms));
        self.share.interval_of_all_ms().map_or(own_ms, |interval_ms| own_ms.min(interval_ms))
    }
}
