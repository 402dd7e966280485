//! Tells first attempts of callers from retries, by their remaining time.
//!
//! Callers send the time that remains until their deadline, but neither when they started nor how
//! much they had. A first attempt has nearly as much left as the most patient callers. A retry
//! after a refusal has less, provided that the refusal asked for a long enough delay.

/// Time after which the longest remaining time expires, so that callers do not all count as
/// retrying after their timeout was shortened.
const LONGEST_TTL_MS: u64 = 5_000;

/// Smallest remaining time of a first attempt, as a fraction of the longest one.
const FIRST_ATTEMPT_FRACTION: f64 = 0.8;

/// Remaining times of the callers of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryDetector {
    longest_ms: u64,
    expired_at_ms: u64,
    /// The longest time since the last expiry, which replaces `longest_ms` at the next one.
    next_longest_ms: u64,
}

/// Remaining time of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingTime {
    /// Milliseconds until the caller's deadline.
    pub remaining_ms: u64,
    /// Milliseconds below which the request counts as a retry.
    pub first_attempt_min_ms: u64,
}

impl RetryDetector {
    /// Records a caller's remaining time.
    pub fn observe(&mut self, remaining_ms: u64, now_ms: u64) -> RemainingTime {
        if now_ms.saturating_sub(self.expired_at_ms) > LONGEST_TTL_MS {
            (self.longest_ms, self.next_longest_ms) = (self.next_longest_ms, 0);
            self.expired_at_ms = now_ms;
        }
        self.next_longest_ms = self.next_longest_ms.max(remaining_ms);
        self.longest_ms = self.longest_ms.max(remaining_ms);
        RemainingTime {
            remaining_ms,
            first_attempt_min_ms: (self.longest_ms as f64 * FIRST_ATTEMPT_FRACTION) as u64,
        }
    }
}

impl RemainingTime {
    /// Whether the request was probably refused before.
    pub fn is_retry(self) -> bool {
        self.remaining_ms < self.first_attempt_min_ms
    }
}
