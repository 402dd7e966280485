//! What upstreams ask of this entry.

use ragwortdeal_core::{directory, dispatch::flow_control};

use super::Upstreams;

impl Upstreams {
    /// Records what an answer of an upstream asks. Returns what changes by it.
    pub(in super::super) fn record_signals(
        &mut self,
        instance: &directory::Text,
        answer: &flow_control::Answer,
        now_ms: u64,
    ) -> Option<flow_control::Change> {
        let asks = answer.signals != flow_control::Signals::default();
        if !asks && !self.flow.contains_key(instance) {
            return None;
        }
        self.flow.entry(instance.clone()).or_default().record_answer(answer, now_ms)
    }

    /// Requests a second that an upstream takes from all entries together, if it names them.
    pub(in super::super) fn limit_per_s(&self, instance: &str) -> Option<f64> {
        self.flow.get(instance)?.limit_per_s()
    }
}
