//! How many chunks may be under way, by what live calls on the same machine suffer.
//!
//! The window grows by one and shrinks by half, as congestion windows do. What is compared is the
//! time to the first byte of live calls now with what was usual while nothing was transferred.

/// Time between two steps of the window.
const STEP_MS: u64 = 500;
/// A call that was answered longer ago says nothing about now.
const FRESH_MS: u64 = 2_000;
/// Live calls suffer if they take this much longer than usual, as a ratio.
const SLOWDOWN: f64 = 1.25;
/// Smaller differences than this are noise, whatever their ratio.
const NOISE_MS: f64 = 5.0;
/// Weight of one call in the usual time; slow, so that one odd call does not move it.
const USUAL_WEIGHT: f64 = 1.0 / 32.0;
/// Weight of one call in the present time.
const RECENT_WEIGHT: f64 = 1.0 / 4.0;

/// A window over transfers that gives way to live calls.
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
    /// Starts with the whole window.
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

    /// A live call got its first byte after that time.
    pub fn record_call(&mut self, now_ms: u64, took_ms: u64, transferring: bool) {
        let took_ms = took_ms as f64;
        if !transferring {
            smooth(&mut self.usual_ms, took_ms, USUAL_WEIGHT);
            return;
        }
        let recent_ms = smooth(&mut self.recent_ms, took_ms, RECENT_WEIGHT);
        // Where all calls came during transfers, the fastest phase is the best guess at the usual.
        let usual_ms = self.usual_ms.get_or_insert(recent_ms);
        *usual_ms = usual_ms.min(recent_ms);
        self.recent_at_ms = now_ms;
    }

    /// How many chunks may be under way now, at least one, so that a spread always ends.
    pub fn window(&mut self, now_ms: u64) -> usize {
        if now_ms.saturating_sub(self.stepped_at_ms) < STEP_MS {
            return self.window;
        }
        self.stepped_at_ms = now_ms;
        self.window = match self.calls_suffer(now_ms) {
            true => (self.window / 2).max(1),
            false => (self.window + 1).min(self.window_max),
        };
        self.window
    }

    fn calls_suffer(&self, now_ms: u64) -> bool {
        let fresh = now_ms.saturating_sub(self.recent_at_ms) <= FRESH_MS;
        let times = self.usual_ms.zip(self.recent_ms).filter(|_| fresh);
        times.is_some_and(|(usual_ms, recent_ms)| recent_ms > usual_ms * SLOWDOWN + NOISE_MS)
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

    /// Callers wait longer for their first words while a rollout runs on the same machine.
    #[googletest::test]
    fn gives_way_while_calls_suffer_and_comes_back_after() {
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
    fn uses_the_whole_window_without_calls_and_never_stops() {
        let mut pacer = Pacer::new(4);
        expect_that!(pacer.window(10_000), eq(4));
        for step in 0..20u64 {
            pacer.record_call(20_000 + step * 500, 10 + step * 100, true);
            expect_that!(pacer.window(20_000 + step * 500), ge(1));
        }
        expect_that!(pacer.window(30_000), eq(1));
        // No call for a while: what the last ones suffered says nothing any more.
        expect_that!(pacer.window(40_000), eq(2));
    }
}
