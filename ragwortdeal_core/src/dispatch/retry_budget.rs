//! One entry's share of a retry budget that all entries use without coordination.
//!
//! Entries may be partitioned from each other and still must not exceed the budget together. So
//! each uses at most its own part: retries in proportion to the requests that it saw itself, and an
//! equal part of the fixed allowance.

use std::collections;

/// The budget as the operator set it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries granted in each window regardless of traffic.
    pub allowance: f64,
    /// Length of the window in milliseconds. The budget holds in every span of that length.
    pub window_ms: u64,
}

/// Fraction of the ratio that is used. The rest covers first attempts at the end of a window whose
/// retries fall into the next one.
const RATIO_FRACTION_USED: f64 = 0.75;

/// Number of slices in a window. Events of one slice are counted together.
const SLICES: u64 = 20;

/// First attempts and retries of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    first_attempts: SlidingCount,
    retries: SlidingCount,
}

/// What decided on a retry, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether it may be sent.
    pub is_granted: bool,
    /// Retries granted in the window before it.
    pub granted_before: u64,
    /// Retries that first attempts of the window allow.
    pub earned: f64,
    /// Retries allowed regardless of traffic.
    pub allowance: f64,
    /// Entries by which the fixed allowance was divided.
    pub entries: usize,
}

/// Counts over a sliding window.
#[derive(Clone, Debug, Default)]
struct SlidingCount {
    slices: collections::VecDeque<(u64, u64)>,
    total: u64,
}

impl SlidingCount {
    fn add(&mut self, slice: u64) {
        match self.slices.back_mut() {
            Some((newest, count)) if *newest == slice => *count += 1,
            _ => self.slices.push_back((slice, 1)),
        }
        self.total += 1;
    }

    fn drop_before(&mut self, slice: u64) {
        while let Some(&(oldest, count)) = self.slices.front()
            && oldest < slice
        {
            self.slices.pop_front();
            self.total -= count;
        }
    }
}

impl Usage {
    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, budget: &Budget, now_ms: u64) {
        self.first_attempts.add(slice(budget, now_ms));
    }

    /// Asks for a retry and counts it if it is granted. `entries` is the number of entries that
    /// share the budget, this one included.
    pub fn try_retry(&mut self, budget: &Budget, entries: usize, now_ms: u64) -> Decision {
        let slice = slice(budget, now_ms);
        // One slice more than the window, because a retry late in the oldest slice still counts.
        let oldest = slice.saturating_sub(SLICES);
        self.first_attempts.drop_before(oldest);
        self.retries.drop_before(oldest);
        let earned = budget.ratio * RATIO_FRACTION_USED * self.first_attempts.total as f64;
        let allowance = budget.allowance / entries.max(1) as f64;
        let granted_before = self.retries.total;
        let is_granted = granted_before as f64 + 1.0 <= earned + allowance;
        if is_granted {
            self.retries.add(slice);
        }
        Decision { is_granted, granted_before, earned, allowance, entries }
    }
}

fn slice(budget: &Budget, now_ms: u64) -> u64 {
    now_ms / (budget.window_ms / SLICES).max(1)
}
