//! One entry's share of a rate that an upstream takes from all entries together.
//!
//! Entries do not see each other's requests, and there may be far more of them than the upstream
//! takes requests in a second. So only a few, those of the first ranks at this upstream, hold a
//! share of the rate. `docs/design/flow-control.md` has the arithmetic.

/// Fewest entries that hold a share, so that the upstream is used where one of them is lost.
const HOLDERS_MIN: u32 = 2;

/// Requests a second for which there is one more holder.
const LIMIT_PER_HOLDER_PER_S: f64 = 4.0;

/// Entries that are assumed beside the known ones: those that this entry was not told of yet.
pub const UNKNOWN_ENTRIES: u32 = 2;

/// The place of this entry among all that use an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Number of entries that come before it at this upstream.
    pub rank: u32,
    /// Number of entries, or none while this entry is not known to be listed.
    pub entries: Option<u32>,
}

/// A rate, and the number of entries that it is divided by where there are as many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests a second from all entries together.
    pub per_s: f64,
    /// Entries that hold a share of it.
    pub holders: u32,
}

impl Rate {
    /// A rate with the usual number of holders.
    pub fn new(per_s: f64) -> Self {
        let holders = HOLDERS_MIN.saturating_add((per_s / LIMIT_PER_HOLDER_PER_S) as u32);
        Self { per_s, holders }
    }
}

/// The share that an entry holds by its place, if it holds one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    rate: Rate,
    place: Place,
    /// When this entry began to hold a share.
    holds_since_ms: u64,
    sent_at_ms: Option<u64>,
}

impl Share {
    /// The share of a rate that holds from now on.
    pub fn new(rate: Rate, place: Place, now_ms: u64) -> Self {
        Self { rate, place, holds_since_ms: now_ms, sent_at_ms: None }
    }

    /// The rate.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// The place by which the share is held.
    pub fn place(&self) -> Place {
        self.place
    }

    /// When this entry sent its last request.
    pub fn sent_at_ms(&self) -> Option<u64> {
        self.sent_at_ms
    }

    /// Takes another rate or place. An entry that holds a share only from now on waits for one
    /// interval: the entry that held it before may have just sent a request.
    pub fn update(&mut self, rate: Rate, place: Place, now_ms: u64) {
        let held = self.interval_ms().is_some();
        (self.rate, self.place) = (rate, place);
        if !held {
            self.holds_since_ms = now_ms;
        }
    }

    /// Counts a request when it is sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.sent_at_ms = Some(now_ms);
    }

    /// Milliseconds between two requests of this entry, if it holds a share. An entry that no voter
    /// listed knows neither its rank nor what its predecessor at its address has just sent.
    pub fn interval_ms(&self) -> Option<u64> {
        let holders = self.rate.holders.min(self.place.entries? + UNKNOWN_ENTRIES);
        let holds = self.place.rank < holders && self.rate.per_s > 0.0;
        holds.then(|| interval_ms(f64::from(holders), self.rate.per_s))
    }

    /// Earliest time at which this entry may send a request by a share with such an interval.
    pub fn next_send_ms(&self, interval_ms: u64) -> u64 {
        self.sent_at_ms.unwrap_or(0).max(self.holds_since_ms).saturating_add(interval_ms)
    }

    /// Milliseconds between two requests of all entries together, if there are any.
    pub fn interval_of_all_ms(&self) -> Option<u64> {
        (self.rate.per_s > 0.0).then(|| interval_ms(1.0, self.rate.per_s))
    }
}

/// Milliseconds between two requests of one of so many entries.
fn interval_ms(entries: f64, per_s: f64) -> u64 {
    (entries * 1_000.0 / per_s).ceil() as u64
}
