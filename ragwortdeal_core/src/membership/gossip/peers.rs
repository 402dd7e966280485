//! The other entries of the zone: their records, and how long ago each was known to be alive.

use std::{cmp, collections, net};

use crate::{
    membership::{
        self,
        gossip::{AGE_UNIT_MS, Progress, ReplyBody, age_units},
        origin::{self, OriginId},
    },
    name,
};

/// An entry to send to.
pub(super) type Target = (name::InstanceName, net::SocketAddr);

/// Time after which changes that were fetched without an answer are fetched again.
const FETCH_RETRY_MS: u64 = 1_000;

/// Entries that one entry chooses to keep links to. With those that choose it, it has about twice as
/// many. All entries together form a random graph with a short path between any two of them; with
/// links between all entries, the heartbeats alone would exceed the budget for control traffic.
const PARTNERS_CHOSEN: usize = 4;

/// Time for which an entry that pulled from this one counts as a partner.
const PULLER_TIMEOUT_MS: u64 = 5_000;

/// Known entries of a zone at most, five times the target size, as a bound on memory.
const PEERS_MAX: usize = 800;

/// Proof that an entry was alive, and its sequence number at that time.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    seq: u32,
    alive_ms: u64,
}

#[derive(Debug)]
struct Peer {
    log: origin::Log,
    /// Latest time at which the entry was alive and the log held all its changes. A later heartbeat
    /// does not count while changes are missing here: it would keep alive records that the entry
    /// has withdrawn.
    alive_ms: u64,
    /// A later heartbeat, which counts once the log has reached its sequence number.
    ahead: Option<Heartbeat>,
    fetch_retry_ms: u64,
}

/// An entry that others know and whose records are being fetched.
#[derive(Debug)]
struct Expected {
    heartbeat: Heartbeat,
    fetch_retry_ms: u64,
}

#[derive(Debug)]
pub(super) struct Peers {
    own: OriginId,
    lease_ms: u64,
    peers: collections::BTreeMap<OriginId, Peer>,
    expected: collections::BTreeMap<OriginId, Expected>,
    /// When each entry last pulled from this one.
    pullers: collections::BTreeMap<name::InstanceName, u64>,
    /// When this entry last pulled back from each unknown one among them.
    pulled_back: collections::BTreeMap<name::InstanceName, u64>,
}

impl Peers {
    pub(super) fn new(own: OriginId, lease_ms: u64) -> Self {
        let peers = collections::BTreeMap::new();
        let (expected, pullers) = (collections::BTreeMap::new(), collections::BTreeMap::new());
        let pulled_back = collections::BTreeMap::new();
        Self { own, lease_ms, peers, expected, pullers, pulled_back }
    }

    pub(super) fn record_pull(&mut self, now_ms: u64, puller: &name::InstanceName) {
        if self.pullers.len() < PEERS_MAX || self.pullers.contains_key(puller) {
            self.pullers.insert(puller.clone(), now_ms);
        }
    }

    /// Whether it is time to pull back from an unknown puller; if so, records that this is done.
    pub(super) fn may_pull_back(
        &mut self,
        now_ms: u64,
        puller: &name::InstanceName,
        every_ms: u64,
    ) -> bool {
        let last_ms = self.pulled_back.get(puller);
        let due = last_ms.is_none_or(|last_ms| now_ms >= last_ms + every_ms);
        if due && self.pulled_back.len() < PEERS_MAX {
            self.pulled_back.insert(puller.clone(), now_ms);
        }
        due
    }

    /// The live entries that this one chose to keep links to, and those that chose it. The latter
    /// are included because an entry that no other one chose would otherwise reach nobody.
    pub(super) fn partners(&self, own: &name::InstanceName) -> Vec<Target> {
        let mut live: Vec<_> = self
            .live()
            .map(|peer| (cmp::Reverse(membership::rendezvous_weight(own, &peer.name)), peer))
            .collect();
        live.sort_by_key(|(weight, _)| *weight);
        let chosen = live.iter().enumerate().filter(|(rank, (_, peer))| {
            *rank < PARTNERS_CHOSEN || self.pullers.contains_key(&peer.name)
        });
        chosen.map(|(_, (_, peer))| (peer.name.clone(), peer.address)).collect()
    }

    /// Drops entries that were not known to be alive for a lease; returns whether there were any.
    ///
    /// The records of a dropped entry are dropped with it. It may come back from others whose age of
    /// it is still below the lease, but without new heartbeats every age only grows, so that ends.
    pub(super) fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.peers.len();
        let lease_ms = self.lease_ms;
        self.peers.retain(|_, peer| now_ms.saturating_sub(peer.alive_ms) < lease_ms);
        self.pullers.retain(|_, pulled_ms| now_ms.saturating_sub(*pulled_ms) < PULLER_TIMEOUT_MS);
        self.pulled_back
            .retain(|_, pulled_ms| now_ms.saturating_sub(*pulled_ms) < PULLER_TIMEOUT_MS);
        self.expected.retain(|_, e| now_ms.saturating_sub(e.heartbeat.alive_ms) < lease_ms);
        self.peers.len() != before
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &origin::Origin> {
        self.peers.values().filter(|peer| !peer.log.is_closed()).map(|peer| peer.log.origin())
    }

    pub(super) fn address(&self, entry: &name::InstanceName) -> Option<net::SocketAddr> {
        self.live().find(|origin| origin.name == *entry).map(|origin| origin.address)
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &membership::Record> {
        let open = self.peers.values().filter(|peer| !peer.log.is_closed());
        open.flat_map(|peer| peer.log.records())
    }

    pub(super) fn log(&self, id: OriginId) -> Option<&origin::Log> {
        self.peers.get(&id).map(|peer| &peer.log)
    }

    /// All live entries other than this one.
    pub(super) fn targets(&self) -> Vec<Target> {
        self.live().map(|peer| (peer.name.clone(), peer.address)).collect()
    }

    fn ids(&self) -> impl Iterator<Item = OriginId> {
        let after = self.peers.range(self.own..).map(|(id, _)| *id);
        let before = self.peers.range(..self.own).map(|(id, _)| *id);
        before.chain([self.own]).chain(after)
    }

    /// Hash over the known entries.
    pub(super) fn roster_hash(&self) -> u64 {
        self.ids().fold(0, |hash, id| membership::splitmix64(hash ^ id))
    }

    /// Hash over the sequence numbers of their last changes.
    pub(super) fn state_hash(&self, own_seq: u32) -> u64 {
        let seq = |id| self.log(id).map_or(own_seq, origin::Log::seq);
        self.ids().fold(0, |hash, id| membership::splitmix64(hash ^ u64::from(seq(id))))
    }

    /// Sequence number and age of every known entry, in the order of their identifiers.
    pub(super) fn progress(&self, now_ms: u64, own_seq: u32) -> Vec<Progress> {
        let progress = |id| match self.peers.get(&id) {
            Some(peer) => {
                let age_ms = now_ms.saturating_sub(peer.alive_ms);
                Progress(id, peer.log.seq(), age_units(age_ms))
            }
            None => Progress(id, own_seq, 0),
        };
        self.ids().map(progress).collect()
    }

    /// Restores the identifiers that a short reply omits, if both sides know the same entries.
    pub(super) fn expand(&self, roster: u64, body: ReplyBody) -> Option<Vec<Progress>> {
        let (seqs, ages) = match body {
            ReplyBody::Roster(progress) => return Some(progress),
            ReplyBody::Same(ages) => (vec![0; ages.len()], ages),
            ReplyBody::Numbers(seqs, ages) => (seqs, ages),
        };
        // The known entries may have changed since the pull; the positions then mean other ones.
        let matches = roster == self.roster_hash() && ages.len() == self.peers.len() + 1;
        let identified = self.ids().zip(seqs).zip(ages);
        matches.then(|| identified.map(|((id, seq), age)| Progress(id, seq, age)).collect())
    }

    /// Records ages and sequence numbers; returns the changes to fetch.
    pub(super) fn record_progress(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        progress: &[Progress],
    ) -> Vec<(OriginId, u32)> {
        let mut wants = Vec::new();
        for Progress(id, seq, age) in progress.iter().take(PEERS_MAX) {
            let alive_ms = asked_ms.checked_sub(u64::from(*age) * AGE_UNIT_MS);
            let Some(alive_ms) = alive_ms.filter(|_| *id != self.own) else { continue };
            let heartbeat = Heartbeat { seq: *seq, alive_ms };
            let want = match self.peers.get_mut(id) {
                Some(peer) => peer.record_heartbeat(now_ms, heartbeat),
                None => self.expect(now_ms, heartbeat, *id),
            };
            wants.extend(want.map(|from| (*id, from)));
        }
        wants
    }

    fn expect(&mut self, now_ms: u64, heartbeat: Heartbeat, id: OriginId) -> Option<u32> {
        let known = self.peers.len() + self.expected.len();
        if now_ms.saturating_sub(heartbeat.alive_ms) >= self.lease_ms || known >= PEERS_MAX {
            return None;
        }
        let fresh = Expected { heartbeat, fetch_retry_ms: 0 };
        let expected = self.expected.entry(id).or_insert(fresh);
        if heartbeat.alive_ms > expected.heartbeat.alive_ms {
            expected.heartbeat = heartbeat;
        }
        let due = now_ms >= expected.fetch_retry_ms;
        if due {
            expected.fetch_retry_ms = now_ms + FETCH_RETRY_MS;
        }
        due.then_some(0)
    }

    /// Applies a delta of a known or expected entry; returns whether it was new.
    pub(super) fn apply(&mut self, delta: &origin::Delta) -> bool {
        let id = delta.origin.id();
        if id == self.own {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&id) {
            return peer.apply(delta);
        }
        // Without a recent heartbeat the delta may be old: it may have been delayed in a link.
        let Some(expected) = self.expected.get(&id) else { return false };
        if delta.from != 0 || delta.to < expected.heartbeat.seq {
            return false;
        }
        let mut log = origin::Log::new(delta.origin.clone());
        log.apply(delta);
        let alive_ms = expected.heartbeat.alive_ms;
        self.expected.remove(&id);
        self.peers.insert(id, Peer { log, alive_ms, ahead: None, fetch_retry_ms: 0 });
        true
    }
}

impl Peer {
    /// Records a heartbeat; returns the sequence number after which to fetch if changes are missing.
    fn record_heartbeat(&mut self, now_ms: u64, heartbeat: Heartbeat) -> Option<u32> {
        if heartbeat.seq <= self.log.seq() {
            self.alive_ms = self.alive_ms.max(heartbeat.alive_ms);
            return None;
        }
        if self.ahead.is_none_or(|ahead| ahead.alive_ms < heartbeat.alive_ms) {
            self.ahead = Some(heartbeat);
        }
        if now_ms < self.fetch_retry_ms {
            return None;
        }
        self.fetch_retry_ms = now_ms + FETCH_RETRY_MS;
        Some(self.log.seq())
    }

    fn apply(&mut self, delta: &origin::Delta) -> bool {
        let advanced = self.log.apply(delta);
        self.fetch_retry_ms = 0;
        if let Some(heartbeat) = self.ahead.filter(|heartbeat| heartbeat.seq <= self.log.seq()) {
            self.alive_ms = self.alive_ms.max(heartbeat.alive_ms);
            self.ahead = None;
        }
        advanced
    }
}

/// Chooses up to `count` distinct targets pseudo-randomly from the seed `pick`.
pub(super) fn sample(mut targets: Vec<Target>, pick: u64, count: usize) -> Vec<Target> {
    let mut chosen = Vec::new();
    let mut number = pick;
    while chosen.len() < count && !targets.is_empty() {
        number = membership::splitmix64(number);
        chosen.push(targets.swap_remove(number as usize % targets.len()));
    }
    chosen
}
