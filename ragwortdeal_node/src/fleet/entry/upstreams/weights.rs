//! Which weights upstreams serve, and which of them may still be used.

use ragwortdeal_core::{directory, dispatch::cutoff, document::naming};

use super::Upstreams;

/// A request without a first event is withdrawn from an engine on superseded weights so long before
/// their time is up: on a slow link it may still be on its way, and would start too late.
const START_MARGIN_MS: u64 = 500;

impl Upstreams {
    /// Version that an engine serves, or none if it is loading, holds none, or holds what no agent
    /// has proven (docs/design/weights.md).
    ///
    /// An agent reports a version once it has proven it, so its word counts alone: an engine that
    /// accepted an order late, or started again, announces weights before its agent knows of them.
    /// What an engine announces counts where this entry knows no report on it, and for the first
    /// version alone: no engine starts with a higher one, so an agent has ordered it to load that.
    pub(super) fn version_of(&self, announcement: &directory::Announcement) -> Option<u64> {
        let layers = self.layers.get(&announcement.service).copied().unwrap_or(0);
        let whole = announcement.layers.is_none_or(|held| held.covers_all(layers));
        let announced = announcement.models.iter().filter(|_| whole).map(|held| held.version).max();
        let version = match self.engine_statuses.get(&announcement.address) {
            Some(agent) => {
                let is_of_process = agent.born_ms == announcement.order.born_ms;
                // An engine on a higher version than the reported one rejects requests for that.
                let is_current = announced.is_none_or(|announced| announced <= agent.version);
                (is_of_process && agent.accepts && is_current).then_some(agent.version)
            }
            None => announced.filter(|announced| *announced <= naming::FIRST_VERSION),
        };
        version.filter(|version| *version > 0)
    }

    /// Version that the agent beside an engine reported last, 0 if it reported none of this process
    /// of the engine. An engine's own announcement of another one is not proven.
    pub(super) fn reported_version(&self, announcement: &directory::Announcement) -> u64 {
        let agent = self.engine_statuses.get(&announcement.address);
        agent.filter(|it| it.born_ms == announcement.order.born_ms).map_or(0, |it| it.version)
    }

    /// Highest version of which the agent beside an engine holds all chunks.
    fn complete_version_at(&self, announcement: &directory::Announcement) -> u64 {
        let agent = self.engine_statuses.get(&announcement.address);
        agent
            .filter(|it| it.born_ms == announcement.order.born_ms)
            .map_or(0, |it| it.complete_version)
    }

    pub(super) fn is_narrow(&self, announcement: &directory::Announcement) -> bool {
        let agent = self.engine_statuses.get(&announcement.address);
        agent.is_some_and(|it| it.born_ms == announcement.order.born_ms && it.narrow)
    }

    /// Lowest version of a model that requests may be sent to now.
    fn min_version(&self, model: &str, margin_ms: u64, now_ms: u64) -> u64 {
        self.namings.min_servable_version(model, self.weights_ms.saturating_sub(margin_ms), now_ms)
    }

    /// When the first version above this one was named.
    pub(super) fn superseded_at_ms(&self, models: &[directory::Text], version: u64) -> Option<i64> {
        let superseded = |model: &directory::Text| self.namings.superseded_at_ms(model, version);
        models.iter().filter_map(superseded).min()
    }

    /// Latest time at which a request must start on weights superseded at that time.
    pub(super) fn start_by_ms(&self, superseded_at_ms: i64) -> i64 {
        superseded_at_ms + self.weights_ms.saturating_sub(START_MARGIN_MS) as i64
    }

    /// What is known of the path to an engine. `newer` is the version that it should switch to.
    fn path_knowledge(
        &self,
        announcement: &directory::Announcement,
        newer: u64,
        now_ms: u64,
    ) -> cutoff::PathKnowledge {
        let health = self.health.get(&announcement.instance);
        let confirmed = health.is_some_and(|health| health.is_confirmed(now_ms));
        cutoff::PathKnowledge {
            confirmed,
            // Answers that are late although probes are not wait at the engine.
            slow: self.is_narrow(announcement)
                || health.is_some_and(|health| health.is_slow(now_ms) && !confirmed)
                || health.is_some_and(|health| health.is_delayed(now_ms)),
            responsive: health.is_some_and(|health| health.is_responsive(now_ms)),
            has_newer_weights: newer > 0 && self.complete_version_at(announcement) >= newer,
        }
    }

    /// Lowest version that an engine must serve to get a request now.
    pub(super) fn min_version_at(
        &self,
        announcement: &directory::Announcement,
        models: &[directory::Text],
        now_ms: u64,
    ) -> u64 {
        let lowest = |margin_ms: u64| {
            let versions = models.iter().map(|model| self.min_version(model, margin_ms, now_ms));
            versions.max().unwrap_or(0)
        };
        let newer = lowest(cutoff::margin_ms(cutoff::PathKnowledge::default()));
        lowest(cutoff::margin_ms(self.path_knowledge(announcement, newer, now_ms)))
    }
}
