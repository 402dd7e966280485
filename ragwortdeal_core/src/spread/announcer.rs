//! Decides which peers receive announcements of the chunks held here, and when.
//!
//! Neighbours in the zone are told of every chunk. Owners in the other zones and regions are told
//! only of the chunks they own, because only they may fetch these over those links. So are those
//! that act for the owners while these hang.

use std::collections;

use crate::spread::{chunk_set, limits, owners, peers};

/// New chunks are announced before the interval ends once they are one in this many of all held
/// chunks: early in a download peers wait for each chunk, later they have others to request.
const EARLY_FLUSH_DIVISOR: usize = 8;

/// Interval of messages to a neighbour behind a narrow link. At the usual interval all neighbours
/// would send it a dozen messages a second each, which alone would fill such a link.
const NARROW_INTERVAL_MS: u64 = 1_000;

/// Batches announcements until the interval ends.
#[derive(Clone, Debug)]
pub struct Announcer {
    pending: Vec<u32>,
    /// Pending chunks that the origin sent to this instance.
    pending_from_origin: Vec<u32>,
    /// Chunks that were not announced to neighbours behind narrow links yet.
    narrow_pending: Vec<u32>,
    narrow_due_ms: u64,
    neighbours: Vec<owners::PeerIndex>,
    informed: collections::BTreeSet<owners::PeerIndex>,
    neighbours_stale: bool,
    neighbours_max: usize,
    interval_ms: u64,
    due_ms: u64,
}

/// One message: the receivers and the chunks.
pub type Message = (Vec<owners::PeerIndex>, Vec<u32>);

impl Announcer {
    /// Starts with the chunks that were kept over a restart as pending.
    pub fn new(kept: Vec<u32>, limits: &limits::Limits) -> Self {
        Self {
            pending: kept,
            pending_from_origin: Vec::new(),
            narrow_pending: Vec::new(),
            narrow_due_ms: 0,
            neighbours: Vec::new(),
            informed: collections::BTreeSet::new(),
            neighbours_stale: true,
            neighbours_max: limits.neighbours_max,
            interval_ms: limits.announce_interval_ms,
            due_ms: 0,
        }
    }

    /// Queues a newly verified chunk.
    pub fn chunk_verified(&mut self, chunk: u32, from_origin: bool) {
        self.pending.push(chunk);
        if from_origin {
            self.pending_from_origin.push(chunk);
        }
    }

    /// Records that a peer joined, restarted or left, and has received no announcement.
    pub fn membership_changed(&mut self, peer: owners::PeerIndex) {
        self.informed.remove(&peer);
        self.neighbours_stale = true;
    }

    /// The messages that are due.
    pub fn due(
        &mut self,
        now_ms: u64,
        held: &chunk_set::ChunkSet,
        peers: &peers::Peers,
        owners: &owners::Owners,
    ) -> Vec<Message> {
        let mut messages = self.due_to_narrow(now_ms, peers);
        let flush_early = self.pending.len() * EARLY_FLUSH_DIVISOR >= held.len().max(1);
        if now_ms < self.due_ms && !flush_early {
            return messages;
        }
        self.due_ms = now_ms + self.interval_ms;
        messages.extend(self.announce_to_new_neighbours(held, peers));
        if self.pending.is_empty() {
            return messages;
        }
        let fresh = std::mem::take(&mut self.pending);
        let from_origin = std::mem::take(&mut self.pending_from_origin);
        self.narrow_pending.extend_from_slice(&fresh);
        messages.extend(owner_messages(&fresh, &from_origin, peers, owners));
        let to = self.incomplete(peers, false);
        if !to.is_empty() {
            messages.push((to, fresh));
        }
        messages
    }

    fn due_to_narrow(&mut self, now_ms: u64, peers: &peers::Peers) -> Vec<Message> {
        if now_ms < self.narrow_due_ms || self.narrow_pending.is_empty() {
            return Vec::new();
        }
        self.narrow_due_ms = now_ms + NARROW_INTERVAL_MS;
        let fresh = std::mem::take(&mut self.narrow_pending);
        let to = self.incomplete(peers, true);
        if to.is_empty() { Vec::new() } else { vec![(to, fresh)] }
    }

    /// Neighbours that lack chunks, either those behind narrow links or the others.
    fn incomplete(&self, peers: &peers::Peers, narrow: bool) -> Vec<owners::PeerIndex> {
        let lacks = |peer: &owners::PeerIndex| {
            let peer = peers.get(*peer);
            !peer.holds.is_full() && peer.narrow == narrow
        };
        self.neighbours.iter().copied().filter(lacks).collect()
    }

    /// Announces all held chunks to new neighbours.
    fn announce_to_new_neighbours(
        &mut self,
        held: &chunk_set::ChunkSet,
        peers: &peers::Peers,
    ) -> Vec<Message> {
        if !std::mem::take(&mut self.neighbours_stale) {
            return Vec::new();
        }
        self.neighbours = select_neighbours(peers, self.neighbours_max);
        let unaware = |peer: &owners::PeerIndex| !self.informed.contains(peer);
        let new: Vec<_> = self.neighbours.iter().copied().filter(unaware).collect();
        self.informed = self.neighbours.iter().copied().collect();
        if new.is_empty() || held.is_empty() {
            return Vec::new();
        }
        vec![(new, held.iter().collect())]
    }
}

/// The peers of the zone with the lowest combined hash of both names. They form a random and thus
/// well-connected graph, which all instances compute alike without messages.
fn select_neighbours(peers: &peers::Peers, count: usize) -> Vec<owners::PeerIndex> {
    let my_key = peers.get(owners::SELF).key;
    let in_zone = peers.others().filter(|(_, peer)| peer.scope == peers::Scope::Zone);
    let mut ranked: Vec<_> =
        in_zone.map(|(index, peer)| (owners::mix(peer.key ^ my_key), index)).collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Announcements to the owners in other zones and regions.
fn owner_messages(
    fresh: &[u32],
    from_origin: &[u32],
    peers: &peers::Peers,
    owners: &owners::Owners,
) -> impl Iterator<Item = Message> + use<> {
    let me = peers.get(owners::SELF);
    let mut by_peer = collections::BTreeMap::<owners::PeerIndex, Vec<u32>>::new();
    for &chunk in fresh {
        let is_owner = owners.in_region(me.region, chunk) == Some(owners::SELF);
        let is_from_origin = from_origin.contains(&chunk);
        if !is_owner && !is_from_origin {
            continue;
        }
        let standby = owners.standby_in_region(me.region, chunk);
        let zones = owners.zones().filter(|&(zone, region)| region == me.region && zone != me.zone);
        let zone_owners = zones.filter_map(|(zone, _)| owners.in_zone(zone, chunk));
        let mut regions: Vec<_> = owners.zones().map(|(_, region)| region).collect();
        regions.sort_unstable();
        regions.dedup();
        // Others announce nothing to other regions, so that few regions serve each chunk.
        let is_source = is_from_origin || owners.overall(chunk) == Some(owners::SELF);
        let others = regions.into_iter().filter(|&region| is_source && region != me.region);
        let region_owners = others.flat_map(|region| {
            let owner = owners.in_region(region, chunk);
            owner.into_iter().chain(owners.standby_in_region(region, chunk))
        });
        let receivers = zone_owners.chain(standby).chain(region_owners);
        let receivers = receivers.filter(|&peer| peer != owners::SELF);
        receivers.for_each(|p| by_peer.entry(p).or_default().push(chunk));
    }
    by_peer.into_iter().map(|(peer, chunks)| (vec![peer], chunks))
}
