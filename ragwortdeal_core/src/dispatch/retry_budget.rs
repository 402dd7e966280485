//! One entry's share of a retry budget that all entries use without coordination.
//!
//! Entries may be partitioned from each other and still must not exceed the budget together. So
//! each uses at most its own part: retries in proportion to the requests that it saw itself, and an
//! equal part of the fixed allowance.
//!
//! What an entry has used is known to its process alone. Its part of the allowance therefore starts
//! empty and fills with time: a start can only lose what was saved, and any number of them within a
//! window is granted no more than one process. `docs/design/retry-budget.md` has the arithmetic.

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

/// Number of slices in a window. Events of one slice are counted together, and a retry that arrives
/// one slice late still arrives within the budget.
const SLICES: u64 = 20;

/// Fraction of an entry's part of the allowance that it may save. The rest flows in over a window.
const SAVED_FRACTION: f64 = 0.5;

/// Least that may be saved, because less than one retry cannot be sent.
const SAVED_MIN: f64 = 1.0;

/// First attempts and retries of one service at one entry. Times are milliseconds since the start
/// of its process.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    first_attempts: SlidingCount,
    earned_retries: SlidingCount,
    reserve: Reserve,
}

/// The entry's part of the allowance, as a token bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Reserve {
    saved: f64,
    filled_at_ms: u64,
}

impl Reserve {
    /// Adds what has flowed in since the last time.
    fn fill(&mut self, budget: &Budget, entries: usize, now_ms: u64) {
        let part = budget.allowance / entries as f64;
        let saved_max = (part * SAVED_FRACTION).max(SAVED_MIN).min(part);
        let fill_ms = budget.window_ms + budget.window_ms / SLICES;
        let per_ms = (part - saved_max) / fill_ms as f64;
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        self.saved = (self.saved + per_ms * elapsed_ms as f64).min(saved_max);
        self.filled_at_ms = now_ms;
    }

    fn try_take(&mut self) -> bool {
        let is_enough = self.saved >= 1.0;
        if is_enough {
            self.saved -= 1.0;
        }
        is_enough
    }
}

/// What decided on a retry, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether it may be sent.
    pub is_granted: bool,
    /// Retries of the window before it that were granted for first attempts.
    pub granted_before: u64,
    /// Retries that first attempts of the window allow.
    pub earned: f64,
    /// Retries that were saved of the allowance.
    pub saved: f64,
    /// Entries by which the allowance is divided, if known.
    pub entries: Option<usize>,
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

    /// Asks for a retry and counts it if it is granted. `entries` is the highest number of entries
    /// that share the budget, this one included. While it is unknown, the allowance is not used.
    pub fn try_retry(&mut self, budget: &Budget, entries: Option<usize>, now_ms: u64) -> Decision {
        let slice = slice(budget, now_ms);
        // One slice more than the window, because a retry late in the oldest slice still counts.
        let oldest = slice.saturating_sub(SLICES);
        self.first_attempts.drop_before(oldest);
        self.earned_retries.drop_before(oldest);
        if let Some(entries) = entries {
            self.reserve.fill(budget, entries.max(1), now_ms);
        }
        let earned = budget.ratio * RATIO_FRACTION_USED * self.first_attempts.total as f64;
        let granted_before = self.earned_retries.total;
        let saved = self.reserve.saved;
        let is_earned = granted_before as f64 + 1.0 <= earned;
        if is_earned {
            self.earned_retries.add(slice);
        }
        let is_granted = is_earned || self.reserve.try_take();
        Decision { is_granted, granted_before, earned, saved, entries }
    }
}

fn slice(budget: &Budget, now_ms: u64) -> u64 {
    now_ms / (budget.window_ms / SLICES).max(1)
}
