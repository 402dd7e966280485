//! Whether weights that were superseded can still be of use to the engine.

use ragwortdeal_core::orders::switch_schedule;

use super::{Agent, manifests};

impl Agent {
    /// Whether weights can still be served for a while if so many milliseconds of chunks are missing.
    /// Where they cannot, these chunks would only delay those of the newest weights.
    pub(super) fn can_be_used(&self, weights: &manifests::Weights, missing_ms: f64) -> bool {
        let ready_ms = self.clock.now_ms() as i64 + missing_ms as i64;
        self.is_worth_loading(weights, self.engine_serves(), ready_ms)
    }

    /// Whether weights of which all chunks are at hand at `ready_ms` can still be served for as long
    /// as the engine is away for them.
    pub(super) fn is_worth_loading(
        &self,
        weights: &manifests::Weights,
        serves: bool,
        ready_ms: i64,
    ) -> bool {
        let namings = &self.voter_state.borrow().namings;
        let superseded_ms = namings.superseded_at_ms(&weights.model, weights.version);
        let since = switch_schedule::VersionTimes { superseded_ms, ..Default::default() };
        let narrow = self.spread.congestion().is_narrow();
        since.is_worth_loading(serves, narrow, self.settings.bounds.weights_ms, ready_ms)
    }

    /// Whether the engine accepts requests, as last reported.
    fn engine_serves(&self) -> bool {
        let status = self.engine_status.lock().expect("no panic under lock");
        status.accepts && status.version > 0
    }
}
