//! The timestamps of log entries.

/// Maximum by which a single entry may advance the log time, so that a faulty clock expires only
/// few claims.
pub const MAX_ADVANCE_MS: u64 = 60 * 60 * 1000;

/// Timestamps entries on the leader with the log time, which starts at 0 with an empty log.
///
/// If a wall clock were set a day ahead, all claims would expire at once and a retry could run an
/// operation a second time. The log time is instead the time of the last applied entry when the
/// leader took over, plus the time elapsed since on its monotonic clock. Time without a leader is
/// not counted, so claims can only expire late, never early.
#[derive(Clone, Copy, Debug)]
pub struct LogClock {
    log_start_ms: u64,
    monotonic_start_ms: u64,
}

impl LogClock {
    /// Continues from the time of the last applied entry.
    pub fn new(last_applied_ms: u64, now_ms: u64) -> Self {
        Self { log_start_ms: last_applied_ms, monotonic_start_ms: now_ms }
    }

    /// The timestamp for an entry proposed now.
    pub fn stamp_ms(&self, now_ms: u64) -> u64 {
        self.log_start_ms + now_ms.saturating_sub(self.monotonic_start_ms)
    }
}

/// The log time after an entry with the given timestamp. It never decreases and advances by at most
/// [`MAX_ADVANCE_MS`].
pub fn advance_ms(current_ms: u64, stamp_ms: u64) -> u64 {
    stamp_ms.clamp(current_ms, current_ms + MAX_ADVANCE_MS)
}
