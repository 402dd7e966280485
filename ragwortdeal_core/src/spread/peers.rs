//! What this instance knows of the others: where they stand, what they hold, how they behave.

use std::collections;

use crate::{
    digest, name,
    spread::{chunk_set, event, owners},
};

/// Standing of a peer that never failed.
const REPUTATION_FULL: i32 = 100;
/// Below this a peer is not asked for a while: three faults in a row, or two bad chunks.
const REPUTATION_MIN: i32 = 40;
/// Standing after a ban: the next fault bans the peer again.
const REPUTATION_PROBATION: i32 = 50;
/// What a verified chunk gives back.
const REPUTATION_GAIN: i32 = 2;
/// Longest suspicion as a multiple of the first, so that a peer is asked again at last.
const SUSPICION_DOUBLINGS_MAX: u32 = 4;

/// How near a peer is; nearer ones come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The same availability zone: any chunk may be exchanged.
    Zone,
    /// Another zone of the region: only chunks that the own zone's owner has to bring in.
    Region,
    /// Another region: only chunks that the own region's owner has to bring in.
    Remote,
}

/// One instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name and location.
    pub location: event::Location,
    /// Hash of its name.
    pub key: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its region.
    pub region: usize,
    /// How near it is.
    pub scope: Scope,
    /// What it said that it holds.
    pub holds: chunk_set::ChunkSet,
    /// Whether its link is narrow. It then owns nothing: what it brings in would come late to all.
    pub narrow: bool,
    /// Requests open at it.
    pub open: usize,
    /// It is not asked before this time.
    pub retry_at_ms: u64,
    /// Until when it counts as failed and owns nothing.
    pub suspected_until_ms: Option<u64>,
    reputation: i32,
    suspicions: u32,
    progress_held: u32,
    progress_at_ms: Option<u64>,
}

impl Peer {
    /// Whether it may be asked at all.
    pub fn is_trusted(&self) -> bool {
        self.suspected_until_ms.is_none()
    }

    /// Standing from 0 to 100.
    pub fn reputation(&self) -> i32 {
        self.reputation
    }

    /// Counts a fault; returns whether the peer is to be suspected for it.
    pub fn record_fault(&mut self, fault: event::Fault) -> bool {
        let (cost, suspect) = match fault {
            event::Fault::BadChunk(_) => (40, false),
            event::Fault::FalseAnnouncement => (30, false),
            event::Fault::Error => (20, true),
            event::Fault::Timeout | event::Fault::Stalled => (20, true),
        };
        self.reputation = (self.reputation - cost).max(0);
        suspect || self.reputation < REPUTATION_MIN
    }

    /// Counts a verified chunk.
    pub fn record_success(&mut self) {
        self.reputation = (self.reputation + REPUTATION_GAIN).min(REPUTATION_FULL);
        self.suspicions = 0;
    }

    /// Notes how many chunks it holds; returns whether it made no progress for `stall_ms`.
    pub fn check_stall(&mut self, now_ms: u64, held: u32, stall_ms: u64) -> bool {
        let since_ms = self.progress_at_ms.filter(|_| held <= self.progress_held);
        self.progress_held = held;
        let since_ms = *self.progress_at_ms.insert(since_ms.unwrap_or(now_ms));
        now_ms.saturating_sub(since_ms) > stall_ms
    }

    /// Forgets since when it made no progress: it is the origin that fails. Were it suspected, every
    /// instance would take its chunks over and draw them all once the origin is back.
    pub fn reset_stall_timer(&mut self) {
        self.progress_at_ms = None;
    }

    /// Suspects it, longer each time.
    pub fn suspect(&mut self, now_ms: u64, ban_ms: u64) {
        let doublings = self.suspicions.min(SUSPICION_DOUBLINGS_MAX);
        self.suspicions += 1;
        self.suspected_until_ms = Some(now_ms + (ban_ms << doublings));
        self.progress_at_ms = None;
    }

    /// Keeps what is known of the peer's behaviour over a change of version.
    pub fn carry_over(&mut self, before: &Peer) {
        self.reputation = before.reputation;
        self.suspicions = before.suspicions;
        self.suspected_until_ms = before.suspected_until_ms;
    }

    /// Ends the suspicion.
    pub fn end_suspicion(&mut self) {
        self.suspected_until_ms = None;
        self.reputation = self.reputation.max(REPUTATION_PROBATION);
    }
}

/// All instances of the spread; index [`owners::SELF`] is this one.
#[derive(Clone, Debug)]
pub struct Peers {
    rows: Vec<Peer>,
    free: Vec<owners::PeerIndex>,
    by_name: collections::BTreeMap<name::InstanceName, owners::PeerIndex>,
    zones: collections::BTreeMap<(name::RegionName, name::ZoneName), usize>,
    regions: collections::BTreeMap<name::RegionName, usize>,
    announced: collections::BTreeSet<owners::PeerIndex>,
    /// How many peers hold each chunk, as far as they said.
    pub availability: Vec<u16>,
    chunks: usize,
    in_region: usize,
}

impl Peers {
    /// Knows only this instance.
    pub fn new(me: event::Location, owners: &mut owners::Owners, chunks: usize) -> Self {
        let mut peers = Self {
            rows: Vec::new(),
            free: Vec::new(),
            by_name: collections::BTreeMap::new(),
            zones: collections::BTreeMap::new(),
            regions: collections::BTreeMap::new(),
            announced: collections::BTreeSet::new(),
            availability: vec![0; chunks],
            chunks,
            in_region: 0,
        };
        peers.join(me, owners);
        peers
    }

    /// Adds a peer and makes it an owner. One that is known already counts as restarted: what it
    /// held may be lost, so it has to announce again.
    pub fn join(
        &mut self,
        location: event::Location,
        owners: &mut owners::Owners,
    ) -> owners::PeerIndex {
        if let Some(known) = self.find(&location.instance) {
            self.leave(known, owners);
        }
        let (zone, region) = self.indices(&location, owners);
        let hash = digest::Digest::of(location.instance.as_bytes());
        let key = owners::key_of(hash.as_bytes());
        let peer = Peer {
            key,
            zone,
            region,
            scope: self.scope_of(zone, region),
            holds: chunk_set::ChunkSet::new(self.chunks),
            narrow: false,
            open: 0,
            retry_at_ms: 0,
            suspected_until_ms: None,
            reputation: REPUTATION_FULL,
            suspicions: 0,
            progress_held: 0,
            progress_at_ms: None,
            location: location.clone(),
        };
        self.in_region += usize::from(peer.scope != Scope::Remote);
        let index = self.insert_row(peer);
        self.by_name.insert(location.instance, index);
        owners.insert(index, owners::Member { key, zone });
        index
    }

    /// Removes a peer and its ownership.
    pub fn leave(&mut self, index: owners::PeerIndex, owners: &mut owners::Owners) {
        owners.remove(index);
        self.announced.remove(&index);
        let row = &mut self.rows[index as usize];
        let held = std::mem::take(&mut row.holds);
        self.in_region -= usize::from(row.scope != Scope::Remote);
        held.iter().for_each(|chunk| self.availability[chunk as usize] -= 1);
        self.by_name.remove(&row.location.instance);
        self.free.push(index);
    }

    /// Notes an announcement.
    pub fn add_chunks(&mut self, index: owners::PeerIndex, chunks: &[u32]) {
        let holds = &mut self.rows[index as usize].holds;
        for &chunk in chunks {
            if holds.insert(chunk) {
                self.availability[chunk as usize] += 1;
            }
        }
        if !holds.is_empty() {
            self.announced.insert(index);
        }
    }

    /// Notes that a peer does not hold what it announced.
    pub fn remove_chunk(&mut self, index: owners::PeerIndex, chunk: u32) -> bool {
        let removed = self.rows[index as usize].holds.remove(chunk);
        self.availability[chunk as usize] -= u16::from(removed);
        removed
    }

    /// Index of a named peer.
    pub fn find(&self, instance: &name::InstanceName) -> Option<owners::PeerIndex> {
        self.by_name.get(instance).copied()
    }

    /// The peer at an index.
    pub fn get(&self, index: owners::PeerIndex) -> &Peer {
        &self.rows[index as usize]
    }

    /// The peer at an index, to change.
    pub fn get_mut(&mut self, index: owners::PeerIndex) -> &mut Peer {
        &mut self.rows[index as usize]
    }

    /// Peers that announced at least one chunk and may be asked.
    pub fn holders(&self) -> impl Iterator<Item = (owners::PeerIndex, &Peer)> + '_ {
        let rows = self.announced.iter().map(|&index| (index, self.get(index)));
        rows.filter(|(_, peer)| peer.is_trusted())
    }

    /// All other instances in the order of their names.
    pub fn others(&self) -> impl Iterator<Item = (owners::PeerIndex, &Peer)> + '_ {
        let indices = self.by_name.values().copied().filter(|&index| index != owners::SELF);
        indices.map(|index| (index, self.get(index)))
    }

    /// Instances that take part, this one included.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Instances of the own region, this one included.
    pub fn in_region(&self) -> usize {
        self.in_region
    }

    /// Whether nobody takes part; never so, because this instance does.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    fn insert_row(&mut self, peer: Peer) -> owners::PeerIndex {
        if let Some(index) = self.free.pop() {
            self.rows[index as usize] = peer;
            return index;
        }
        self.rows.push(peer);
        self.rows.len() as owners::PeerIndex - 1
    }

    fn scope_of(&self, zone: usize, region: usize) -> Scope {
        match self.rows.first() {
            Some(me) if me.zone == zone => Scope::Zone,
            Some(me) if me.region == region => Scope::Region,
            Some(_) => Scope::Remote,
            None => Scope::Zone,
        }
    }

    fn indices(
        &mut self,
        location: &event::Location,
        owners: &mut owners::Owners,
    ) -> (usize, usize) {
        let next_region = self.regions.len();
        let region = *self.regions.entry(location.region.clone()).or_insert(next_region);
        let key = (location.region.clone(), location.zone.clone());
        let zone = *self.zones.entry(key).or_insert_with(|| owners.add_zone(region));
        (zone, region)
    }
}
