//! The time that is written into entries of the log.

/// Most that a single entry may move the time of the log, so that a faulty clock expires little.
pub const MAX_ADVANCE_MS: u64 = 60 * 60 * 1000;

/// Stamps entries on the leader with the age of the log.
///
/// A wall clock set a day ahead would expire every claim at once, and a resend would then run a
/// second time. This clock counts only what the leader's monotonic clock has seen pass since it
/// took over from the last applied time. Time without a leader is not counted, so claims can only
/// expire late, never early.
#[derive(Clone, Copy, Debug)]
pub struct LogClock {
    log_start_ms: u64,
    monotonic_start_ms: u64,
}

impl LogClock {
    /// Takes over at the time of the last applied entry.
    pub fn new(last_applied_ms: u64, now_ms: u64) -> Self {
        Self { log_start_ms: last_applied_ms, monotonic_start_ms: now_ms }
    }

    /// The time to write into an entry proposed now.
    pub fn stamp_ms(&self, now_ms: u64) -> u64 {
        self.log_start_ms + now_ms.saturating_sub(self.monotonic_start_ms)
    }
}

/// The time of the log after an entry with the given stamp: never back, never far at once.
pub fn advance_ms(current_ms: u64, stamp_ms: u64) -> u64 {
    stamp_ms.clamp(current_ms, current_ms + MAX_ADVANCE_MS)
}
