//! One entry's share of a retry budget that all entries use without coordination.
//!
//! Entries may be partitioned from each other and still must not exceed the budget together. So
//! each uses at most its own part: retries in proportion to the requests that it saw itself, and an
//! equal part of the fixed allowance.
//!
//! What an entry has used is known to its process alone. Its part is therefore a token bucket that
//! starts with one retry and fills with time and first attempts: a start can only lose what was saved,
//! and several of them within a window are granted no more than the part.
//! `docs/design/retry-budget.md` has the arithmetic.

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

/// Fraction of the ratio that a first attempt earns at once.
const EARNED_FRACTION: f64 = 0.7;

/// Fraction of the ratio that may be saved for the first attempts of the last window. It leaves a
/// rest for first attempts at the end of a window whose retries arrive in the next one.
const EARNED_SAVED_FRACTION: f64 = 0.25;

/// Fraction of an entry's part of the allowance that flows in over a window.
const INFLOW_FRACTION: f64 = 0.5;

/// Fraction of an entry's part of the allowance that may be saved. The rest is left for starts.
const SAVED_FRACTION: f64 = 0.25;

/// Retries of a process that has just started, so that its first failure is no failure of a caller.
/// Granted only where a quarter of the part covers it.
const SAVED_AT_START: f64 = 1.0;

/// Least that may be saved of it, because less than one retry cannot be sent.
const SAVED_MIN: f64 = 1.0;

/// Number of slices in a window. Events of one slice are counted together, and a retry that arrives
/// one slice late still arrives within the budget.
const SLICES: u64 = 20;

/// First attempts of one service at one entry, and the retries that it has saved. Times are
/// milliseconds since the start of its process.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    first_attempts: SlidingCount,
    saved: f64,
    filled_at_ms: u64,
    has_begun: bool,
}

/// What decided on a retry, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether it may be sent.
    pub is_granted: bool,
    /// Retries that were saved.
    pub saved: f64,
    /// Retries that may be saved.
    pub saved_max: f64,
    /// Entries by which the allowance is divided, if known.
    pub entries: Option<usize>,
}

/// An entry's part of the allowance.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    saved_max: f64,
    saved_at_start: f64,
    inflow_per_ms: f64,
}

impl Part {
    fn new(budget: &Budget, entries: usize) -> Self {
        let part = budget.allowance / entries.max(1) as f64;
        let saved_max = (part * SAVED_FRACTION).max(SAVED_MIN).min(part);
        let is_covered = part * (1.0 - INFLOW_FRACTION - SAVED_FRACTION) >= SAVED_AT_START;
        let saved_at_start = if is_covered { SAVED_AT_START } else { 0.0 };
        let inflow = (part * INFLOW_FRACTION).min(part - saved_max);
        let inflow_ms = budget.window_ms + budget.window_ms / SLICES;
        Self { saved_max, saved_at_start, inflow_per_ms: inflow / inflow_ms as f64 }
    }
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
        self.saved += budget.ratio * EARNED_FRACTION;
    }

    /// Asks for a retry and counts it if it is granted. `entries` is the highest number of entries
    /// that share the budget, this one included. While it is unknown, the allowance is not used.
    pub fn try_retry(&mut self, budget: &Budget, entries: Option<usize>, now_ms: u64) -> Decision {
        let part = entries.map(|entries| Part::new(budget, entries)).unwrap_or_default();
        let saved_max = part.saved_max + self.earned_saved_max(budget, now_ms);
        if entries.is_some() && !std::mem::replace(&mut self.has_begun, true) {
            self.saved += part.saved_at_start;
        }
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        let saved = (self.saved + part.inflow_per_ms * elapsed_ms as f64).min(saved_max);
        self.filled_at_ms = now_ms;
        let is_granted = saved >= 1.0;
        self.saved = if is_granted { saved - 1.0 } else { saved };
        Decision { is_granted, saved, saved_max, entries }
    }

    /// What may be saved for the first attempts of the last window. Only whole slices within the
    /// window count.
    fn earned_saved_max(&mut self, budget: &Budget, now_ms: u64) -> f64 {
        let oldest = (slice(budget, now_ms) + 1).saturating_sub(SLICES);
        self.first_attempts.drop_before(oldest);
        budget.ratio * EARNED_SAVED_FRACTION * self.first_attempts.total as f64
    }
}

fn slice(budget: &Budget, now_ms: u64) -> u64 {
    now_ms / (budget.window_ms / SLICES).max(1)
}
