//! Announcements of chunks on their way to peers, one at a time to each.
//!
//! When a link has just turned narrow, its neighbours do not know it yet. Without a bound their
//! messages would queue up there in front of callers' requests. See `docs/design/weights.md`.

use std::collections;

use crate::{digest, name, spread::roster::Holdings};

/// What one peer is still to be told of one version.
#[derive(Clone, Debug, Default)]
struct Pending {
    chunks: collections::BTreeSet<u32>,
    under_way: bool,
}

/// The announcements of one instance.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    by_peer: collections::BTreeMap<(name::InstanceName, digest::Digest), Pending>,
}

impl Outbox {
    /// Adds what a peer is to be told. Returns the message to send now; none while an earlier one
    /// is under way, with whose end the rest follows in one message.
    pub fn push(&mut self, to: &name::InstanceName, told: Holdings) -> Option<Holdings> {
        let pending = self.by_peer.entry((to.clone(), told.version)).or_default();
        pending.chunks.extend(&told.chunks);
        if std::mem::replace(&mut pending.under_way, true) {
            return None;
        }
        let chunks = std::mem::take(&mut pending.chunks).into_iter().collect();
        Some(Holdings { chunks, ..told })
    }

    /// Notes the end of a message. Returns the next one. What did not arrive is told again with it,
    /// and by itself not at all: the peer may be gone.
    pub fn finish(
        &mut self,
        to: &name::InstanceName,
        sent: Holdings,
        arrived: bool,
    ) -> Option<Holdings> {
        let key = (to.clone(), sent.version);
        let pending = self.by_peer.get_mut(&key)?;
        if pending.chunks.is_empty() {
            pending.under_way = false;
            match arrived {
                true => _ = self.by_peer.remove(&key),
                false => pending.chunks.extend(&sent.chunks),
            }
            return None;
        }
        let mut chunks = std::mem::take(&mut pending.chunks);
        if !arrived {
            chunks.extend(&sent.chunks);
        }
        Some(Holdings { chunks: chunks.into_iter().collect(), ..sent })
    }

    /// Forgets versions that are not spread any more.
    pub fn retain(&mut self, lives: impl Fn(digest::Digest) -> bool) {
        self.by_peer.retain(|(_, version), _| lives(*version));
    }
}
