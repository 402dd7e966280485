//! Limits concurrent chunk transfers so that they do not slow down live calls on the same machine.
//!
//! The window grows by one and shrinks by half, as congestion windows do. The signal is the time to
//! the first byte of recent live calls, compared with its usual value without transfers.

/// Interval between adjustments of the window.
const STEP_MS: u64 = 500;
/// Calls that were answered longer ago are ignored.
const RECENT_MAX_AGE_MS: u64 = 2_000;
/// Ratio of recent to usual time above which live calls count as slowed down.
const SLOWDOWN_RATIO: f64 = 1.25;
/// Differences below this are noise, whatever their ratio.
const NOISE_MS: f64 = 5.0;
/// Smoothing weight of one call in the usual time; small, so that an outlier hardly moves it.
const USUAL_WEIGHT: f64 = 1.0 / 32.0;
/// Smoothing weight of one call in the recent time.
const RECENT_WEIGHT: f64 = 1.0 / 4.0;

/// A transfer window that yields to live calls.
#[derive(Clone, Debug)]
pub struct Pacer {
    window_max: usize,
    window: usize,
    usual_ms: Option<f64>,
    recent_ms: Option<f64>,
    recent_at_ms: u64,
    stepped_at_ms: u64,
}

impl Pacer {
    /// Starts with the full window.
    pub fn new(window_max: usize) -> Self {
        let window_max = window_max.max(1);
        Self {
            window_max,
            window: window_max,
            usual_ms: None,
            recent_ms: None,
            recent_at_ms: 0,
            stepped_at_ms: 0,
        }
    }

    /// Records the time to the first byte of a live call.
    pub fn record_call(&mut self, now_ms: u64, took_ms: u64, transferring: bool) {
        let took_ms = took_ms as f64;
        if !transferring {
            smooth(&mut self.usual_ms, took_ms, USUAL_WEIGHT);
            return;
        }
        let recent_ms = smooth(&mut self.recent_ms, took_ms, RECENT_WEIGHT);
        // If all calls came during transfers, the lowest recent time is the best estimate of usual.
        let usual_ms = self.usual_ms.get_or_insert(recent_ms);
        *usual_ms = usual_ms.min(recent_ms);
        self.recent_at_ms = now_ms;
    }

    /// Number of chunks that may be in flight now; at least one, so that downloads complete.
    pub fn window(&mut self, now_ms: u64) -> usize {
        if now_ms.saturating_sub(self.stepped_at_ms) < STEP_MS {
            return self.window;
        }
        self.stepped_at_ms = now_ms;
        self.window = match self.calls_are_slowed(now_ms) {
            true => (self.window / 2).max(1),
            false => (self.window + 1).min(self.window_max),
        };
        self.window
    }

    fn calls_are_slowed(&self, now_ms: u64) -> bool {
        let is_recent = now_ms.saturating_sub(self.recent_at_ms) <= RECENT_MAX_AGE_MS;
        let times = self.usual_ms.zip(self.recent_ms).filter(|_| is_recent);
        times.is_some_and(|(usual_ms, recent_ms)| recent_ms > usual_ms * SLOWDOWN_RATIO + NOISE_MS)
    }
}

fn smooth(value_ms: &mut Option<f64>, sample_ms: f64, weight: f64) -> f64 {
    let before_ms = value_ms.unwrap_or(sample_ms);
    *value_ms.insert(before_ms + (sample_ms - before_ms) * weight)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    /// Guards against a rollout that delays the first byte of calls on the same machine.
    #[googletest::test]
    fn shrinks_while_calls_are_slowed_and_recovers() {
        let mut pacer = Pacer::new(8);
        (0..40).for_each(|call| pacer.record_call(call, 100, false));
        expect_that!(pacer.window(1_000), eq(8));
        (0..10).for_each(|call| pacer.record_call(1_000 + call, 300, true));
        expect_that!(pacer.window(1_500), eq(4));
        expect_that!(pacer.window(1_600), eq(4));
        expect_that!(pacer.window(2_000), eq(2));
        expect_that!(pacer.window(2_500), eq(1));
        (0..20).for_each(|call| pacer.record_call(2_900 + call, 100, true));
        expect_that!(pacer.window(3_000), eq(2));
        expect_that!(pacer.window(3_500), eq(3));
    }

    #[googletest::test]
    fn uses_the_full_window_without_calls_and_never_stops() {
        let mut pacer = Pacer::new(4);
        expect_that!(pacer.window(10_000), eq(4));
        for step in 0..20u64 {
            pacer.record_call(20_000 + step * 500, 10 + step * 100, true);
            expect_that!(pacer.window(20_000 + step * 500), ge(1));
        }
        expect_that!(pacer.window(30_000), eq(1));
        // Without a recent call the last measurements are outdated, and the window grows again.
        expect_that!(pacer.window(40_000), eq(2));
    }
}
