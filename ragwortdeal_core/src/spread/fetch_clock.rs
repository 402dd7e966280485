//! The clock by which fetches from the origin are scheduled.
//!
//! Each chunk has its time on it. While the origin delivers, the clock runs with the time of day;
//! while it does not, it nearly stands still. Otherwise every fetch would be due at once when the
//! origin returns, those of all standbys included, and the origin's link would carry each chunk
//! several times before it has carried each once. `docs/design/weights.md` has the measurements.

/// Share of its speed at which the clock goes on while the origin does not deliver. It lets others
/// try if all whose fetches are due are gone.
const HELD_SPEED: f64 = 1.0 / 16.0;

/// A clock that counts the time in which the origin delivers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FetchClock {
    /// Time on the clock when it was last read, or none before its start.
    elapsed_ms: Option<f64>,
    read_at_ms: u64,
    held: bool,
    was_held: bool,
}

impl FetchClock {
    /// Starts the clock at this time, unless it was started before.
    pub fn start(&mut self, at_ms: u64) {
        if self.elapsed_ms.is_none() {
            (self.elapsed_ms, self.read_at_ms) = (Some(0.0), at_ms);
        }
    }

    /// Whether the clock has been started and the time of its start has come.
    pub fn is_started(&self, now_ms: u64) -> bool {
        self.elapsed_ms.is_some() && now_ms >= self.read_at_ms
    }

    /// Whether it was held at any time.
    pub fn was_held(&self) -> bool {
        self.was_held
    }

    /// Milliseconds on the clock, 0 before its start.
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        let speed = if self.held { HELD_SPEED } else { 1.0 };
        let since_ms = now_ms.saturating_sub(self.read_at_ms) as f64;
        self.elapsed_ms.map_or(0, |elapsed_ms| (elapsed_ms + since_ms * speed) as u64)
    }

    /// Holds the clock, because the origin does not deliver. `frontier_ms` is the time at which the
    /// last chunk that is known to have left the origin was due: the clock goes back to it.
    pub fn hold(&mut self, frontier_ms: u64, now_ms: u64) {
        if !self.is_started(now_ms) || self.held {
            return;
        }
        let elapsed_ms = self.elapsed_ms(now_ms).min(frontier_ms);
        (self.elapsed_ms, self.read_at_ms, self.held) = (Some(elapsed_ms as f64), now_ms, true);
        self.was_held = true;
    }

    /// Lets the clock run again, at or after `frontier_ms`, because the origin has delivered.
    pub fn resume(&mut self, frontier_ms: u64, now_ms: u64) {
        if !self.held {
            return;
        }
        let elapsed_ms = self.elapsed_ms(now_ms).max(frontier_ms);
        (self.elapsed_ms, self.read_at_ms, self.held) = (Some(elapsed_ms as f64), now_ms, false);
    }
}
