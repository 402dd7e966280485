//! Refusals: the answer to a caller whose request did not run.

/// Shortest retry delay in milliseconds. Immediate retries would become a retry storm.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// Longest retry delay in milliseconds. Longer estimates are unreliable.
const RETRY_AFTER_MAX_MS: u64 = 30_000;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The account uses its share, and the wait would be too long.
    AccountShare,
    /// The request waited as long as the queue allows, or would have.
    QueueTime,
    /// The deadline is before the earliest possible answer.
    Deadline,
    /// No upstream takes new work.
    NoCapacity,
}

impl Reason {
    /// The code that callers see, stable across versions.
    pub fn code(self) -> &'static str {
        match self {
            Reason::AccountShare => "account_share_exceeded",
            Reason::QueueTime => "queue_time_exceeded",
            Reason::Deadline => "deadline_too_close",
            Reason::NoCapacity => "no_capacity",
        }
    }
}

/// A refusal. It is issued only before a request leaves the entry, so it always means that the
/// request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Delay before a retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Asks the caller to retry once the queue ahead has drained, with jitter of up to half of that
    /// time: callers that are refused together must not all retry together.
    pub(super) fn new(reason: Reason, wait_ms: u64, draw: u64) -> Self {
        let wait_ms = wait_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        let spread_ms = draw % (wait_ms / 2 + 1);
        Self { reason, retry_after_ms: wait_ms + spread_ms }
    }
}
