//! How long an upstream usually takes for a whole answer.
//!
//! A plain service sends nothing between a request and its answer, and no agent beside it answers
//! probes. That its machine hangs shows only in an answer that takes several times as long as its
//! answers usually do.

/// Factor by which the longest time decays with each shorter answer.
const DECAY: f64 = 0.95;

/// Multiple of the usual time after which an answer is overdue. A queue may well double it.
const OVERDUE_FACTOR: f64 = 4.0;

/// Shortest time after which an answer is overdue: a lost packet takes 200 ms to be sent again.
const OVERDUE_MIN_MS: f64 = 400.0;

/// Longest time after which an answer is overdue. Callers rarely wait for more than two such times.
const OVERDUE_MAX_MS: f64 = 1_500.0;

/// The time that one upstream usually takes for an answer: the longest one of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    longest_ms: f64,
}

impl AnswerTime {
    /// Records an answer.
    pub fn record(&mut self, took_ms: u64) {
        self.longest_ms = (took_ms as f64).max(self.longest_ms * DECAY);
    }

    /// Consecutive silent checks, one each `check_interval_ms`, after which an answer is overdue.
    pub fn silent_checks_max(&self, check_interval_ms: u64) -> u32 {
        let overdue_ms = (self.longest_ms * OVERDUE_FACTOR).clamp(OVERDUE_MIN_MS, OVERDUE_MAX_MS);
        (overdue_ms / check_interval_ms.max(1) as f64).ceil() as u32
    }
}
