//! Refusals: what a caller is told when its request did not run.

/// Earliest return in milliseconds. A caller told to come back at once is a retry storm.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// Latest return in milliseconds. Estimates further out are guesses.
const RETRY_AFTER_MAX_MS: u64 = 30_000;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The account uses its share, and the wait would be too long.
    AccountShare,
    /// It waited as long as a queue may hold it, or was sure to.
    QueueTime,
    /// Its deadline comes before an answer could.
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

/// A refusal. It is made only before a request leaves the entry, so it always means that the
/// request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, in milliseconds from now.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// A refusal that tells the caller to come back once the queue ahead has drained, and up to
    /// half as much later: refused together, callers must not all come back together.
    pub(super) fn new(reason: Reason, wait_ms: u64, draw: u64) -> Self {
        let wait_ms = wait_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        let spread_ms = draw % (wait_ms / 2 + 1);
        Self { reason, retry_after_ms: wait_ms + spread_ms }
    }
}
