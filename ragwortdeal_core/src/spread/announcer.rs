//! Who is told which chunks this instance holds, and when.
//!
//! Neighbours in the zone hear of every chunk. The owners of a chunk in the other zones and regions
//! hear of that chunk alone, because only they may fetch it over those links.

use std::collections;

use crate::spread::{chunk_set, limits, owners, peers};

/// What is new is told before the interval is over once it is this part of all that is held: at the
/// start of a spread the others wait for each chunk, later they have enough to go on with.
const FRESH_PART: usize = 8;

/// Time between two messages to a neighbour behind a narrow link. All neighbours tell it of each
/// chunk, a dozen times a second each, which alone would fill such a link.
const NARROW_INTERVAL_MS: u64 = 1_000;

/// Announcements that are gathered until the interval is over.
#[derive(Clone, Debug)]
pub struct Announcer {
    fresh: Vec<u32>,
    /// What neighbours behind narrow links were not told yet.
    narrow_fresh: Vec<u32>,
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
    /// Nothing to tell yet, but for chunks that were kept over a restart.
    pub fn new(kept: Vec<u32>, limits: &limits::Limits) -> Self {
        Self {
            fresh: kept,
            narrow_fresh: Vec::new(),
            narrow_due_ms: 0,
            neighbours: Vec::new(),
            informed: collections::BTreeSet::new(),
            neighbours_stale: true,
            neighbours_max: limits.neighbours_max,
            interval_ms: limits.announce_interval_ms,
            due_ms: 0,
        }
    }

    /// A chunk was verified.
    pub fn chunk_verified(&mut self, chunk: u32) {
        self.fresh.push(chunk);
    }

    /// A peer joined, restarted or left: it has heard nothing.
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
        let mut messages = self.due_at_narrow(now_ms, peers);
        let many = self.fresh.len() * FRESH_PART >= held.len().max(1);
        if now_ms < self.due_ms && !many {
            return messages;
        }
        self.due_ms = now_ms + self.interval_ms;
        messages.extend(self.greet(held, peers));
        if self.fresh.is_empty() {
            return messages;
        }
        let fresh = std::mem::take(&mut self.fresh);
        self.narrow_fresh.extend_from_slice(&fresh);
        messages.extend(tier_messages(&fresh, peers, owners));
        let to = self.incomplete(peers, false);
        if !to.is_empty() {
            messages.push((to, fresh));
        }
        messages
    }

    fn due_at_narrow(&mut self, now_ms: u64, peers: &peers::Peers) -> Vec<Message> {
        if now_ms < self.narrow_due_ms || self.narrow_fresh.is_empty() {
            return Vec::new();
        }
        self.narrow_due_ms = now_ms + NARROW_INTERVAL_MS;
        let fresh = std::mem::take(&mut self.narrow_fresh);
        let to = self.incomplete(peers, true);
        if to.is_empty() { Vec::new() } else { vec![(to, fresh)] }
    }

    /// Neighbours that lack chunks, behind narrow links or not.
    fn incomplete(&self, peers: &peers::Peers, narrow: bool) -> Vec<owners::PeerIndex> {
        let lacks = |peer: &owners::PeerIndex| {
            let peer = peers.get(*peer);
            !peer.holds.is_full() && peer.narrow == narrow
        };
        self.neighbours.iter().copied().filter(lacks).collect()
    }

    /// Tells new neighbours everything that was announced before they came.
    fn greet(&mut self, held: &chunk_set::ChunkSet, peers: &peers::Peers) -> Vec<Message> {
        if !std::mem::take(&mut self.neighbours_stale) {
            return Vec::new();
        }
        self.neighbours = nearest(peers, self.neighbours_max);
        let unaware = |peer: &owners::PeerIndex| !self.informed.contains(peer);
        let new: Vec<_> = self.neighbours.iter().copied().filter(unaware).collect();
        self.informed = self.neighbours.iter().copied().collect();
        if new.is_empty() || held.is_empty() {
            return Vec::new();
        }
        vec![(new, held.iter().collect())]
    }
}

/// The peers of the zone with the lowest hash of both names: a graph that is random, so that it
/// hangs together, and the same at every instance without a message.
fn nearest(peers: &peers::Peers, count: usize) -> Vec<owners::PeerIndex> {
    let my_key = peers.get(owners::SELF).key;
    let in_zone = peers.others().filter(|(_, peer)| peer.scope == peers::Scope::Zone);
    let mut ranked: Vec<_> =
        in_zone.map(|(index, peer)| (owners::mix(peer.key ^ my_key), index)).collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// What the owners in other zones and regions are told.
fn tier_messages(
    fresh: &[u32],
    peers: &peers::Peers,
    owners: &owners::Owners,
) -> impl Iterator<Item = Message> + use<> {
    let me = peers.get(owners::SELF);
    let mut by_peer = collections::BTreeMap::<owners::PeerIndex, Vec<u32>>::new();
    for &chunk in fresh {
        if owners.in_region(me.region, chunk) != Some(owners::SELF) {
            continue;
        }
        let zones = owners.zones().filter(|&(zone, region)| region == me.region && zone != me.zone);
        let zone_owners = zones.filter_map(|(zone, _)| owners.in_zone(zone, chunk));
        let mut regions: Vec<_> = owners.zones().map(|(_, region)| region).collect();
        regions.sort_unstable();
        regions.dedup();
        // Only the best owner tells the other regions, so that one region serves each chunk.
        let leads = owners.overall(chunk) == Some(owners::SELF);
        let others = regions.into_iter().filter(|&region| leads && region != me.region);
        let region_owners = others.filter_map(|region| owners.in_region(region, chunk));
        zone_owners.chain(region_owners).for_each(|p| by_peer.entry(p).or_default().push(chunk));
    }
    by_peer.into_iter().map(|(peer, chunks)| (vec![peer], chunks))
}
