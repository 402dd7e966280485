//! The peer table: location, held chunks and reputation of every instance.

use std::collections;

use crate::{
    digest, name,
    spread::{chunk_set, event, owners},
};

/// Reputation of a peer without faults.
const REPUTATION_MAX: i32 = 100;
/// Below this a peer gets no requests for a while: three faults in a row, or two invalid chunks.
const REPUTATION_MIN: i32 = 40;
/// Reputation after a ban; the next fault bans the peer again.
const REPUTATION_PROBATION: i32 = 50;
/// Reputation regained with a verified chunk.
const REPUTATION_GAIN: i32 = 2;
/// Maximum doublings of the time of suspicion, so that a peer eventually gets requests again.
const SUSPICION_DOUBLINGS_MAX: u32 = 4;

/// Distance to a peer; nearer peers are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The same availability zone: any chunk may be exchanged.
    Zone,
    /// Another zone of the region: only the own zone's owner of a chunk may fetch it.
    Region,
    /// Another region: only the own region's owner of a chunk may fetch it.
    Remote,
}

/// An instance in the table.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name, availability zone and region.
    pub location: event::Location,
    /// Hash of its name.
    pub key: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its region.
    pub region: usize,
    /// Its distance.
    pub scope: Scope,
    /// Chunks that it announced.
    pub holds: chunk_set::ChunkSet,
    /// Whether its link is narrow. It then owns no chunks, because all others would get them late.
    pub narrow: bool,
    /// Number of open requests to it.
    pub open: usize,
    /// It gets no request before this time.
    pub retry_at_ms: u64,
    /// End of the suspicion that it failed; until then it owns no chunks.
    pub suspected_until_ms: Option<u64>,
    reputation: i32,
    suspicions: u32,
    progress_chunks: u32,
    progress_at_ms: Option<u64>,
}

impl Peer {
    /// Whether it may get requests, because it is not suspected.
    pub fn is_trusted(&self) -> bool {
        self.suspected_until_ms.is_none()
    }

    /// Reputation from 0 to 100.
    pub fn reputation(&self) -> i32 {
        self.reputation
    }

    /// Lowers the reputation for a fault; returns whether the peer is to be suspected.
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

    /// Raises the reputation for a verified chunk.
    pub fn record_success(&mut self) {
        self.reputation = (self.reputation + REPUTATION_GAIN).min(REPUTATION_MAX);
        self.suspicions = 0;
    }

    /// Records how many chunks it holds; returns whether it made no progress for `stall_ms`.
    pub fn check_stall(&mut self, now_ms: u64, held: u32, stall_ms: u64) -> bool {
        let since_ms = self.progress_at_ms.filter(|_| held <= self.progress_chunks);
        self.progress_chunks = held;
        let since_ms = *self.progress_at_ms.insert(since_ms.unwrap_or(now_ms));
        now_ms.saturating_sub(since_ms) > stall_ms
    }

    /// Restarts the stall timer, because it is the origin that fails. If the peer were suspected,
    /// every instance would take over its chunks and fetch them all once the origin recovers.
    pub fn reset_stall_timer(&mut self) {
        self.progress_at_ms = None;
    }

    /// Suspects it, for twice as long each time up to a limit.
    pub fn suspect(&mut self, now_ms: u64, ban_ms: u64) {
        let doublings = self.suspicions.min(SUSPICION_DOUBLINGS_MAX);
        self.suspicions += 1;
        self.suspected_until_ms = Some(now_ms + (ban_ms << doublings));
        self.progress_at_ms = None;
    }

    /// Keeps the reputation and suspicion of a peer when the version changes.
    pub fn carry_over(&mut self, before: &Peer) {
        self.reputation = before.reputation;
        self.suspicions = before.suspicions;
        self.suspected_until_ms = before.suspected_until_ms;
    }

    /// Ends the suspicion, with a reputation of at least the one on probation.
    pub fn end_suspicion(&mut self) {
        self.suspected_until_ms = None;
        self.reputation = self.reputation.max(REPUTATION_PROBATION);
    }
}

/// The table of all instances; index [`owners::SELF`] is this one.
#[derive(Clone, Debug)]
pub struct Peers {
    rows: Vec<Peer>,
    free: Vec<owners::PeerIndex>,
    by_name: collections::BTreeMap<name::InstanceName, owners::PeerIndex>,
    zones: collections::BTreeMap<(name::RegionName, name::ZoneName), usize>,
    regions: collections::BTreeMap<name::RegionName, usize>,
    announced: collections::BTreeSet<owners::PeerIndex>,
    /// Number of peers that announced each chunk.
    pub availability: Vec<u16>,
    chunks: usize,
    in_region: usize,
}

impl Peers {
    /// Starts with this instance only.
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

    /// Adds a peer as an owner. A peer that is known already counts as restarted: it may have lost
    /// its chunks, so it has to announce them again.
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
            reputation: REPUTATION_MAX,
            suspicions: 0,
            progress_chunks: 0,
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

    /// Records an announcement.
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

    /// Records that a peer does not hold a chunk; returns whether it had announced it.
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

    /// Trusted peers that announced at least one chunk.
    pub fn holders(&self) -> impl Iterator<Item = (owners::PeerIndex, &Peer)> + '_ {
        let rows = self.announced.iter().map(|&index| (index, self.get(index)));
        rows.filter(|(_, peer)| peer.is_trusted())
    }

    /// All other instances in the order of their names.
    pub fn others(&self) -> impl Iterator<Item = (owners::PeerIndex, &Peer)> + '_ {
        let indices = self.by_name.values().copied().filter(|&index| index != owners::SELF);
        indices.map(|index| (index, self.get(index)))
    }

    /// Number of instances, including this one.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Number of instances in the own region, including this one.
    pub fn in_region(&self) -> usize {
        self.in_region
    }

    /// Whether the table is empty; never true, because it includes this instance.
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
