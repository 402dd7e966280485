//! When the caller of a refused request is to retry.
//!
//! A retry that comes before there is room is refused once more, and one that comes later than it
//! needs to costs its caller time. `docs/design/overload.md` has the requirement.

/// Callers honour a delay up to this part of their remaining time.
const REMAINING_DIVISOR: u64 = 3;

/// Shortest delay: the interval of load reports. An earlier retry would be decided on the same
/// knowledge.
const MIN_MS: u64 = 100;

/// When room for a refused request is expected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Milliseconds until the work ahead is done.
    pub in_ms: f64,
    /// Milliseconds in which those who wait for it can be served from then on. Their retries are
    /// spread over it.
    pub spread_ms: f64,
}

impl Room {
    /// Delay in milliseconds for a caller with this remaining time.
    pub fn retry_after_ms(&self, remaining_ms: u64, draw: u64) -> u64 {
        let max_ms = remaining_ms / REMAINING_DIVISOR;
        let first_ms = (self.in_ms as u64).max(MIN_MS).min(max_ms);
        let last_ms = ((self.in_ms + self.spread_ms) as u64).clamp(first_ms, max_ms);
        first_ms + draw % (last_ms - first_ms + 1)
    }
}

/// Delay in milliseconds for a caller with this remaining time, where it is not known when there is
/// room. The later the retry, the likelier it finds some, so it comes in the second half of the time
/// for which callers stay away. They are spread, and keep most of their time for the answer.
pub fn unknown_ms(remaining_ms: u64, draw: u64) -> u64 {
    let max_ms = remaining_ms / REMAINING_DIVISOR;
    let first_ms = max_ms / 2;
    first_ms + draw % (max_ms - first_ms + 1)
}
