//! Detects that requests are being rejected that could be answered in time.
//!
//! A late answer takes as much engine time as one in time and is worth a fraction of it. So late
//! requests only get spare capacity, and none while requests that could be in time are being
//! rejected. Otherwise they would make others late, whose callers retry late in their turn, and
//! engines would stay full of late work long after the cause of the overload is gone.

/// Half-life of a rejection: a few passes of an engine, so that late requests are admitted again
/// soon after an overload.
const HALF_LIFE_MS: f64 = 500.0;

/// Decayed number of rejections up to which late requests are admitted.
const REFUSALS_MAX: f64 = 0.2;

/// Recent rejections of one kind of work at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    refusals: f64,
    at_ms: u64,
}

impl Pressure {
    /// Records the rejection of a request that could have been answered in time.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.refusals = self.decayed(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Whether late requests are to be rejected.
    pub fn is_high(&self, now_ms: u64) -> bool {
        self.decayed(now_ms) > REFUSALS_MAX
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.refusals * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }
}
