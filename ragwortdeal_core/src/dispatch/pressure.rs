//! Whether callers that could still be answered in time are being turned away.
//!
//! A late answer takes as much of an engine as one in time and is worth a fraction of it to its
//! caller. So late work may use what is left over, and nothing while there is nothing left over: what
//! it took then would make others late, who would come back late in their turn, and engines would
//! stay full of late work long after the cause of the overload has gone.

/// Time in which the memory of a refusal halves: some of an engine's passes, so that late work is
/// let in again soon after an overload.
const HALVES_MS: f64 = 500.0;

/// Refusals, as far as they are remembered, up to which there is room for late work.
const REFUSALS_MAX: f64 = 0.2;

/// Refusals of one kind of work at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    refusals: f64,
    at_ms: u64,
}

impl Pressure {
    /// Notes that a caller was turned away that could have been answered in time.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.refusals = self.remembered(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Whether late work has to stand back.
    pub fn is_high(&self, now_ms: u64) -> bool {
        self.remembered(now_ms) > REFUSALS_MAX
    }

    fn remembered(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.refusals * 0.5_f64.powf(age_ms / HALVES_MS)
    }
}
