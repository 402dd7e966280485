//! Offers of manifests after the origin failed.
//!
//! While the origin fails, most agents ask those that fetch the manifest first only now and then. If
//! they found it one after the other once the origin is back, their schedules of fetches would differ
//! by that time, and standbys would fetch chunks that their owners are about to fetch. So an agent
//! that has got the manifest tells the others by an announcement without chunks.

use std::sync;

use ragwortdeal_core::{
    digest, name,
    spread::{fetchers, roster},
};
use tokio::sync::Notify;

use super::{Agent, manifests};

/// The newest peer that announced a version whose manifest is missing here.
#[derive(Debug, Default)]
pub(super) struct ManifestOffers {
    newest: sync::Mutex<Option<name::InstanceName>>,
    offered: Notify,
}

impl ManifestOffers {
    /// Records that a peer has a manifest.
    pub(super) fn record(&self, peer: name::InstanceName) {
        *self.newest.lock().expect("no panic under lock") = Some(peer);
        self.offered.notify_one();
    }

    /// Waits for a peer that has a manifest.
    async fn next(&self) -> name::InstanceName {
        loop {
            self.offered.notified().await;
            if let Some(peer) = self.newest.lock().expect("no panic under lock").take() {
                return peer;
            }
        }
    }
}

impl Agent {
    /// Waits for the manifest of a version that a peer offers.
    pub(super) async fn offered_manifest(
        &self,
        weights: &manifests::Weights,
    ) -> manifests::ManifestFile {
        loop {
            let peer = self.spread.manifest_offers().next().await;
            let address = self.settings.link_address(&peer);
            if let Some(file) = self.fetch_manifest_from_peer(weights, &address).await {
                return file;
            }
        }
    }

    /// Offers a manifest to other agents, if this one is among those that fetch it first.
    pub(super) fn offer_manifest(
        self: &sync::Arc<Self>,
        weights: &manifests::Weights,
        version: digest::Digest,
    ) {
        let agents = self.other_agents();
        let names: Vec<_> = agents.values().map(|agent| agent.address.to_string()).collect();
        let zones = agents.values().map(|agent| agent.zone.as_str());
        let others: Vec<_> = names.iter().map(String::as_str).zip(zones).collect();
        let own = (self.identity.name.as_str(), self.settings.process.availability_zone.as_str());
        let count = manifests::FIRST_FETCHERS;
        let to = fetchers::offer_receivers(own, &others, weights.version, count);
        let to = to.into_iter().filter_map(|name| name::InstanceName::new(name).ok()).collect();
        let instance = self.identity.name.clone();
        self.announce(to, &roster::Holdings { instance, version, chunks: Vec::new() });
    }
}
