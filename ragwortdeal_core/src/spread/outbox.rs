//! Sends announcements of chunks to peers, one at a time to each.
//!
//! When a link has just become narrow, the neighbours do not know it yet. Without a bound their
//! messages would queue up there ahead of callers' requests. See `docs/design/weights.md`.

use std::collections;

use crate::{digest, name, spread::roster::Holdings};

/// Chunks of one version that are still to be announced to one peer.
#[derive(Clone, Debug, Default)]
struct Pending {
    chunks: collections::BTreeSet<u32>,
    in_flight: bool,
}

/// Pending announcements of one instance.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    by_peer: collections::BTreeMap<(name::InstanceName, digest::Digest), Pending>,
}

impl Outbox {
    /// Queues an announcement to a peer. Returns the message to send now, or none while an earlier
    /// one is in flight; the queued chunks then follow in one message.
    pub fn push(&mut self, to: &name::InstanceName, announcement: Holdings) -> Option<Holdings> {
        let pending = self.by_peer.entry((to.clone(), announcement.version)).or_default();
        pending.chunks.extend(&announcement.chunks);
        if std::mem::replace(&mut pending.in_flight, true) {
            return None;
        }
        let chunks = std::mem::take(&mut pending.chunks).into_iter().collect();
        Some(Holdings { chunks, ..announcement })
    }

    /// Records the end of a message and returns the next one. Chunks that were not delivered are
    /// repeated with the next message, but do not cause one: the peer may be gone.
    pub fn finish(
        &mut self,
        to: &name::InstanceName,
        sent: Holdings,
        delivered: bool,
    ) -> Option<Holdings> {
        let key = (to.clone(), sent.version);
        let pending = self.by_peer.get_mut(&key)?;
        if pending.chunks.is_empty() {
            pending.in_flight = false;
            match delivered {
                true => _ = self.by_peer.remove(&key),
                false => pending.chunks.extend(&sent.chunks),
            }
            return None;
        }
        let mut chunks = std::mem::take(&mut pending.chunks);
        if !delivered {
            chunks.extend(&sent.chunks);
        }
        Some(Holdings { chunks: chunks.into_iter().collect(), ..sent })
    }

    /// Drops versions that are no longer distributed.
    pub fn retain(&mut self, is_live: impl Fn(digest::Digest) -> bool) {
        self.by_peer.retain(|(_, version), _| is_live(*version));
    }
}
