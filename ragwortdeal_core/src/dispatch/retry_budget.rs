//! One entry's share of a budget of repeats that all entries draw on without asking each other.
//!
//! Entries can be cut off from each other and still must not overdraw the budget together. So each
//! spends at most its own part: repeats in proportion to the requests that it saw itself, and of
//! the fixed allowance an equal part.

use std::collections;

/// The budget as the operator set it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Repeats for each first request.
    pub ratio: f64,
    /// Repeats that are granted in each window whatever the traffic is.
    pub allowance: f64,
    /// Length of the window in milliseconds; every span of that length counts.
    pub window_ms: u64,
}

/// Part of the ratio that is spent. The rest covers requests that were counted at one end of a
/// window while their repeats fall into the next.
const RATIO_USED: f64 = 0.75;

/// Parts of a window in which events are counted together.
const SLICES: u64 = 20;

/// Requests and repeats of one service, as one entry saw them.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    firsts: Sliding,
    repeats: Sliding,
}

/// Counts over a sliding window.
#[derive(Clone, Debug, Default)]
struct Sliding {
    slices: collections::VecDeque<(u64, u64)>,
    total: u64,
}

impl Sliding {
    fn add(&mut self, slice: u64) {
        match self.slices.back_mut() {
            Some((newest, count)) if *newest == slice => *count += 1,
            _ => self.slices.push_back((slice, 1)),
        }
        self.total += 1;
    }

    fn forget_before(&mut self, slice: u64) {
        while let Some(&(oldest, count)) = self.slices.front()
            && oldest < slice
        {
            self.slices.pop_front();
            self.total -= count;
        }
    }
}

impl Usage {
    /// Counts a request that was sent for the first time.
    pub fn record_first_attempt(&mut self, budget: &Budget, now_ms: u64) {
        self.firsts.add(slice(budget, now_ms));
    }

    /// Asks for one repeat, and counts it where it is granted. `entries` is how many entries may
    /// draw on the budget, this one included.
    pub fn try_retry(&mut self, budget: &Budget, entries: usize, now_ms: u64) -> bool {
        let slice = slice(budget, now_ms);
        // One slice more than the window: a repeat late in the oldest one still counts.
        let oldest = slice.saturating_sub(SLICES);
        self.firsts.forget_before(oldest);
        self.repeats.forget_before(oldest);
        let earned = budget.ratio * RATIO_USED * self.firsts.total as f64;
        let allowed = earned + budget.allowance / entries.max(1) as f64;
        let granted = self.repeats.total as f64 + 1.0 <= allowed;
        if granted {
            self.repeats.add(slice);
        }
        granted
    }
}

fn slice(budget: &Budget, now_ms: u64) -> u64 {
    now_ms / (budget.window_ms / SLICES).max(1)
}
