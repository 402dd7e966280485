//! Congestion control: adapts the send rate and the request window to the delay of chunks.
//!
//! A link may become narrow, that is, lose most of its bandwidth, at any moment without notice.
//! Chunks then fill it for seconds, so that callers' requests reach the engine behind it late, and
//! its events reach their callers late. The symptom is chunks that take several times as long as
//! expected, whichever peer is at the other end. Each of them halves the send rate, which then
//! recovers slowly, and only one chunk is requested at a time.

/// A chunk is slow if it is delayed for more than this multiple of its time on an uncongested link.
/// Two chunks share the link, and the same may hold at the other end.
const SLOW_FACTOR: f64 = 6.0;

/// Consecutive slow chunks after which the own link counts as narrow. A single one may be due to
/// the link at the other end.
const SLOW_CHUNKS_TO_NARROW: u32 = 2;

/// Consecutive timeouts after which the own link counts as narrow. A peer that is gone causes one
/// as well, and several peers may go at once, each of which gets one request.
const TIMEOUTS_TO_NARROW: u32 = 4;

/// Factor on the send rate after a slow chunk.
const DECREASE_FACTOR: f64 = 0.5;

/// Factor on the send rate after each timely chunk.
const INCREASE_FACTOR: f64 = 1.1;

/// Lowest share of the send rate; below it a chunk would never complete.
const RATE_SHARE_MIN: f64 = 0.06;

/// Timely chunks after which the request window treats a narrow link as recovered.
const RECOVERY_CHUNKS: u32 = 4;

/// Congestion control of one instance's link, in both directions.
#[derive(Clone, Debug)]
pub struct CongestionControl {
    slow_ms: f64,
    rate_share: f64,
    slow_sent: u32,
    slow_received: u32,
    timeouts: u32,
    /// Timely chunks still to be received before the link counts as recovered.
    recovery_left: u32,
    window_max: usize,
}

impl CongestionControl {
    /// Starts with an uncongested link, on which a chunk takes `chunk_ms` (0 if unknown) and up to
    /// `window_max` chunks are requested at once.
    pub fn new(chunk_ms: f64, window_max: usize) -> Self {
        let slow_ms = if chunk_ms > 0.0 { chunk_ms * SLOW_FACTOR } else { f64::INFINITY };
        Self {
            slow_ms,
            rate_share: 1.0,
            slow_sent: 0,
            slow_received: 0,
            timeouts: 0,
            recovery_left: 0,
            window_max,
        }
    }

    /// Sets how many chunks are requested at once over an uncongested link.
    pub fn set_window_max(&mut self, chunks: usize) {
        self.window_max = chunks;
    }

    /// Records a chunk that was sent, or aborted, after the link delayed it for so long.
    pub fn on_sent(&mut self, delay_ms: u64) {
        if delay_ms as f64 <= self.slow_ms {
            self.slow_sent = 0;
            self.rate_share = (self.rate_share * INCREASE_FACTOR).min(1.0);
            return;
        }
        self.slow_sent += 1;
        if self.slow_sent >= SLOW_CHUNKS_TO_NARROW {
            self.rate_share = (self.rate_share * DECREASE_FACTOR).max(RATE_SHARE_MIN);
        }
    }

    /// Records a chunk that was received after so long.
    pub fn on_received(&mut self, took_ms: u64) {
        if took_ms as f64 <= self.slow_ms {
            (self.slow_received, self.timeouts) = (0, 0);
            self.recovery_left = self.recovery_left.saturating_sub(1);
            return;
        }
        self.slow_received += 1;
        if self.slow_received >= SLOW_CHUNKS_TO_NARROW {
            self.recovery_left = RECOVERY_CHUNKS;
        }
    }

    /// Records a request that timed out.
    pub fn on_timeout(&mut self) {
        self.timeouts += 1;
        if self.timeouts >= TIMEOUTS_TO_NARROW && self.slow_ms.is_finite() {
            self.recovery_left = RECOVERY_CHUNKS;
        }
    }

    /// Share of the regular rate at which to send, up to 1.
    pub fn rate_share(&self) -> f64 {
        self.rate_share
    }

    /// Whether the own link counts as narrow.
    pub fn is_narrow(&self) -> bool {
        self.recovery_left > 0 || self.slow_sent >= SLOW_CHUNKS_TO_NARROW
    }

    /// Number of chunks to request at once.
    pub fn window(&self) -> usize {
        if self.recovery_left == 0 { self.window_max } else { 1 }
    }
}
