//! What peers told of their chunks before it could be put to use.
//!
//! Peers greet an agent as soon as they hear of it, and only once. It may still be reading the
//! manifest then, or not know the peer yet. If the word were lost, the agent would take itself for
//! the only one of its zone who can bring the chunks in, and draw them from the origin.

use std::collections;

use ragwortdeal_core::{
    digest, name,
    spread::{event, roster},
};

/// Peers whose word is kept, the newest of each.
const PEERS_MAX: usize = 512;

/// What was told too early.
#[derive(Debug, Default)]
pub(super) struct Heard {
    by_peer: collections::BTreeMap<name::InstanceName, roster::Holdings>,
}

impl Heard {
    /// Keeps what a peer told. Further chunks of the same version are added.
    pub(super) fn keep(&mut self, told: roster::Holdings) {
        let is_full = self.by_peer.len() >= PEERS_MAX;
        match self.by_peer.get_mut(&told.instance) {
            Some(kept) if kept.version == told.version => kept.chunks.extend(told.chunks),
            Some(kept) => *kept = told,
            None if is_full => {
                log::debug!("agent: what {} told too early is dropped", told.instance);
            }
            None => _ = self.by_peer.insert(told.instance.clone(), told),
        }
    }

    /// Takes what a peer told of a version.
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
