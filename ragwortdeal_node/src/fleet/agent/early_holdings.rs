//! Holdings that peers announced before they could be used.
//!
//! Peers announce what they hold as soon as they learn of an agent, and only once. The agent may
//! still be fetching the manifest then, or not know the peer yet. If the announcement were lost,
//! the agent would conclude that it is the only one in its zone that can bring the chunks in, and
//! fetch them from the origin.

use std::collections;

use ragwortdeal_core::{
    digest, name,
    spread::{event, roster},
};

/// Peers whose newest announcement is kept.
const PEERS_MAX: usize = 512;

/// Holdings that were announced too early.
#[derive(Debug, Default)]
pub(super) struct EarlyHoldings {
    by_peer: collections::BTreeMap<name::InstanceName, roster::Holdings>,
}

impl EarlyHoldings {
    /// Keeps what a peer holds. Further chunks of the same version are added.
    pub(super) fn keep(&mut self, holdings: roster::Holdings) {
        let is_full = self.by_peer.len() >= PEERS_MAX;
        match self.by_peer.get_mut(&holdings.instance) {
            Some(held) if held.version == holdings.version => held.chunks.extend(holdings.chunks),
            Some(held) => *held = holdings,
            None if is_full => {
                log::debug!("agent: holdings of {} came too early, dropped", holdings.instance);
            }
            None => _ = self.by_peer.insert(holdings.instance.clone(), holdings),
        }
    }

    /// Takes what a peer holds of a version.
    pub(super) fn take(
        &mut self,
        peer: &name::InstanceName,
        version: digest::Digest,
    ) -> Option<event::Event> {
        if self.by_peer.get(peer)?.version != version {
            return None;
        }
        let roster::Holdings { instance, version, chunks } = self.by_peer.remove(peer)?;
        Some(event::Event::Holds { instance, version, chunks })
    }
}
