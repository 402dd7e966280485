//! How much an instance sends and asks for at once, by how long its chunks take.
//!
//! A link may turn narrow at any moment, and nobody tells. Chunks then fill it for seconds: the
//! requests of callers arrive late at the engine behind it, and its events late at their callers.
//! One notices by chunks that take several times as long as they should, whoever is at the other
//! end. So the rate of what is sent halves with each of them and grows slowly again, and one chunk
//! is asked for at a time.

/// A chunk that is held up for longer than this many times its time on the free link is slow. Two
/// chunks share the link, and both ends may do so.
const SLOW_FACTOR: f64 = 6.0;

/// Slow chunks in a row that show the own link to be narrow. After a single one it may as well be
/// the other end's.
const SLOW_IN_A_ROW: u32 = 2;

/// Chunks in a row that never came and show the same. A peer that is gone sends none either, and
/// some of all peers may go at once, each of which is asked once.
const LATE_IN_A_ROW: u32 = 4;

/// Part of the rate that is left after a slow chunk.
const NARROWED: f64 = 0.5;

/// Growth of the rate with each chunk in time.
const WIDENED: f64 = 1.1;

/// Lowest part of the rate; below it a chunk would never end.
const SHARE_MIN: f64 = 0.06;

/// Chunks in time after which a narrow link counts as free again for what is asked for.
const CALM_CHUNKS: u32 = 4;

/// The flow of one instance, both ways.
#[derive(Clone, Debug)]
pub struct CongestionControl {
    slow_ms: f64,
    share: f64,
    sent_slow: u32,
    came_slow: u32,
    came_late: u32,
    /// Chunks that still have to come in time before the link counts as free.
    restless: u32,
    window_max: usize,
}

impl CongestionControl {
    /// A free link, on which a chunk takes `chunk_ms` (0 where that is not known), and the chunks
    /// to ask for at once there.
    pub fn new(chunk_ms: f64, window_max: usize) -> Self {
        let slow_ms = if chunk_ms > 0.0 { chunk_ms * SLOW_FACTOR } else { f64::INFINITY };
        Self {
            slow_ms,
            share: 1.0,
            sent_slow: 0,
            came_slow: 0,
            came_late: 0,
            restless: 0,
            window_max,
        }
    }

    /// A chunk left, or was given up, and was held up by the link for so long.
    pub fn on_sent(&mut self, held_up_ms: u64) {
        if held_up_ms as f64 <= self.slow_ms {
            self.sent_slow = 0;
            self.share = (self.share * WIDENED).min(1.0);
            return;
        }
        self.sent_slow += 1;
        if self.sent_slow >= SLOW_IN_A_ROW {
            self.share = (self.share * NARROWED).max(SHARE_MIN);
        }
    }

    /// A chunk came after so long.
    pub fn on_received(&mut self, took_ms: u64) {
        if took_ms as f64 <= self.slow_ms {
            (self.came_slow, self.came_late) = (0, 0);
            self.restless = self.restless.saturating_sub(1);
            return;
        }
        self.came_slow += 1;
        if self.came_slow >= SLOW_IN_A_ROW {
            self.restless = CALM_CHUNKS;
        }
    }

    /// A chunk was given up, as it had not come in time.
    pub fn on_timeout(&mut self) {
        self.came_late += 1;
        if self.came_late >= LATE_IN_A_ROW && self.slow_ms.is_finite() {
            self.restless = CALM_CHUNKS;
        }
    }

    /// Part of the usual rate at which to send.
    pub fn rate_share(&self) -> f64 {
        self.share
    }

    /// Whether the own link is taken for narrow.
    pub fn is_narrow(&self) -> bool {
        self.restless > 0 || self.sent_slow >= SLOW_IN_A_ROW
    }

    /// Chunks to ask for at once.
    pub fn window(&self) -> usize {
        if self.restless == 0 { self.window_max } else { 1 }
    }
}
