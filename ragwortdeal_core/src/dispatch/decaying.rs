//! A sum of recent amounts.

/// A sum in which each amount halves with every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    /// The sum at a time.
    pub fn current(&self, half_life_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * 0.5_f64.powf(age_ms / half_life_ms)
    }

    /// Adds an amount. A negative one is taken off, down to 0.
    pub fn add(&mut self, amount: f64, half_life_ms: f64, now_ms: u64) {
        self.sum = (self.current(half_life_ms, now_ms) + amount).max(0.0);
        self.at_ms = now_ms;
    }
}
