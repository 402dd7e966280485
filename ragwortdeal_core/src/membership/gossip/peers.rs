//! The other entries of the zone: their records, and how long ago each was known to live.

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

/// Time for which an entry's changes are not asked for again while an answer is under way.
const FETCH_AGAIN_MS: u64 = 1_000;

/// Entries that one entry chooses to keep links to. With those that choose it, it has about twice as
/// many. All entries together form a random graph with a few steps from any to any; a link to every
/// other entry would cost more in heartbeats alone than control may cost.
const PARTNERS: usize = 4;

/// Time for which an entry that pulled from here counts as a partner.
const ASKER_MS: u64 = 5_000;

/// Most entries of a zone that are known, five times the target's, as a bound on memory.
const PEERS_MAX: usize = 800;

/// A sign of life of an entry at which it had made this many changes.
#[derive(Clone, Copy, Debug)]
struct Sign {
    seq: u32,
    heard_ms: u64,
}

#[derive(Debug)]
struct Peer {
    log: origin::Log,
    /// Time at which the log was known to hold all that the entry had said. A later sign of life
    /// of an entry whose changes are missing here does not count: it would keep records believed
    /// that the entry has withdrawn.
    heard_ms: u64,
    /// A later sign of life that will count once the log has reached its number.
    ahead: Option<Sign>,
    fetch_again_ms: u64,
}

/// An entry that others know and whose records are being fetched.
#[derive(Debug)]
struct Expected {
    sign: Sign,
    fetch_again_ms: u64,
}

#[derive(Debug)]
pub(super) struct Peers {
    own: OriginId,
    lease_ms: u64,
    peers: collections::BTreeMap<OriginId, Peer>,
    expected: collections::BTreeMap<OriginId, Expected>,
    /// When each entry last pulled from here.
    askers: collections::BTreeMap<name::InstanceName, u64>,
    /// When each stranger among them was last asked back.
    asked_back: collections::BTreeMap<name::InstanceName, u64>,
}

impl Peers {
    pub(super) fn new(own: OriginId, lease_ms: u64) -> Self {
        let peers = collections::BTreeMap::new();
        let (expected, askers) = (collections::BTreeMap::new(), collections::BTreeMap::new());
        let asked_back = collections::BTreeMap::new();
        Self { own, lease_ms, peers, expected, askers, asked_back }
    }

    /// An entry has pulled from here.
    pub(super) fn asked(&mut self, now_ms: u64, asker: &name::InstanceName) {
        if self.askers.len() < PEERS_MAX || self.askers.contains_key(asker) {
            self.askers.insert(asker.clone(), now_ms);
        }
    }

    /// Whether a stranger may be asked back now, which is noted.
    pub(super) fn may_ask(
        &mut self,
        now_ms: u64,
        stranger: &name::InstanceName,
        every_ms: u64,
    ) -> bool {
        let last_ms = self.asked_back.get(stranger);
        let due = last_ms.is_none_or(|last_ms| now_ms >= last_ms + every_ms);
        if due && self.asked_back.len() < PEERS_MAX {
            self.asked_back.insert(stranger.clone(), now_ms);
        }
        due
    }

    /// The live entries that this one keeps links to, and those that keep links to it. The latter
    /// count as well: an entry that nobody else chose would otherwise be heard by nobody.
    pub(super) fn partners(&self, own: &name::InstanceName) -> Vec<Target> {
        let mut live: Vec<_> = self
            .live()
            .map(|peer| (cmp::Reverse(membership::rendezvous_weight(own, &peer.name)), peer))
            .collect();
        live.sort_by_key(|(weight, _)| *weight);
        let chosen = live
            .iter()
            .enumerate()
            .filter(|(place, (_, peer))| *place < PARTNERS || self.askers.contains_key(&peer.name));
        chosen.map(|(_, (_, peer))| (peer.name.clone(), peer.address)).collect()
    }

    /// Drops entries that were not known to live for a lease; says whether there were any.
    ///
    /// What a dropped entry said is dropped with it. If others still think it young enough it
    /// comes back, but ages only grow where no sign of life reaches, so that ends.
    pub(super) fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.peers.len();
        let lease_ms = self.lease_ms;
        self.peers.retain(|_, peer| now_ms.saturating_sub(peer.heard_ms) < lease_ms);
        self.askers.retain(|_, asked_ms| now_ms.saturating_sub(*asked_ms) < ASKER_MS);
        self.asked_back.retain(|_, asked_ms| now_ms.saturating_sub(*asked_ms) < ASKER_MS);
        self.expected.retain(|_, e| now_ms.saturating_sub(e.sign.heard_ms) < lease_ms);
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

    /// Live entries other than this one, as targets.
    pub(super) fn targets(&self) -> Vec<Target> {
        self.live().map(|peer| (peer.name.clone(), peer.address)).collect()
    }

    fn ids(&self) -> impl Iterator<Item = OriginId> {
        let after = self.peers.range(self.own..).map(|(id, _)| *id);
        let before = self.peers.range(..self.own).map(|(id, _)| *id);
        before.chain([self.own]).chain(after)
    }

    /// Hash over the known entries.
    pub(super) fn roster(&self) -> u64 {
        self.ids().fold(0, |hash, id| membership::splitmix64(hash ^ id))
    }

    /// Hash over the numbers of their last changes.
    pub(super) fn state(&self, own_seq: u32) -> u64 {
        let seq = |id| self.log(id).map_or(own_seq, origin::Log::seq);
        self.ids().fold(0, |hash, id| membership::splitmix64(hash ^ u64::from(seq(id))))
    }

    /// What is known of every entry, in the order of their numbers.
    pub(super) fn progress(&self, now_ms: u64, own_seq: u32) -> Vec<Progress> {
        let progress = |id| match self.peers.get(&id) {
            Some(peer) => {
                let age_ms = now_ms.saturating_sub(peer.heard_ms);
                Progress(id, peer.log.seq(), age_units(age_ms))
            }
            None => Progress(id, own_seq, 0),
        };
        self.ids().map(progress).collect()
    }

    /// Gives the numbers back to a short answer, if both sides know the same entries.
    pub(super) fn expand(&self, roster: u64, body: ReplyBody) -> Option<Vec<Progress>> {
        let (seqs, ages) = match body {
            ReplyBody::Roster(progress) => return Some(progress),
            ReplyBody::Same(ages) => (vec![0; ages.len()], ages),
            ReplyBody::Numbers(seqs, ages) => (seqs, ages),
        };
        // The own knowledge may have changed since the pull; the positions then mean others.
        let fits = roster == self.roster() && ages.len() == self.peers.len() + 1;
        let numbered = self.ids().zip(seqs).zip(ages);
        fits.then(|| numbered.map(|((id, seq), age)| Progress(id, seq, age)).collect())
    }

    /// Takes ages and numbers; returns the changes to fetch.
    pub(super) fn hear(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        progress: &[Progress],
    ) -> Vec<(OriginId, u32)> {
        let mut wants = Vec::new();
        for Progress(id, seq, age) in progress.iter().take(PEERS_MAX) {
            let heard_ms = asked_ms.checked_sub(u64::from(*age) * AGE_UNIT_MS);
            let Some(heard_ms) = heard_ms.filter(|_| *id != self.own) else { continue };
            let sign = Sign { seq: *seq, heard_ms };
            let want = match self.peers.get_mut(id) {
                Some(peer) => peer.hear(now_ms, sign),
                None => self.expect(now_ms, sign, *id),
            };
            wants.extend(want.map(|from| (*id, from)));
        }
        wants
    }

    fn expect(&mut self, now_ms: u64, sign: Sign, id: OriginId) -> Option<u32> {
        let known = self.peers.len() + self.expected.len();
        if now_ms.saturating_sub(sign.heard_ms) >= self.lease_ms || known >= PEERS_MAX {
            return None;
        }
        let fresh = Expected { sign, fetch_again_ms: 0 };
        let expected = self.expected.entry(id).or_insert(fresh);
        if sign.heard_ms > expected.sign.heard_ms {
            expected.sign = sign;
        }
        let due = now_ms >= expected.fetch_again_ms;
        if due {
            expected.fetch_again_ms = now_ms + FETCH_AGAIN_MS;
        }
        due.then_some(0)
    }

    /// Applies a step of a known or expected entry; says whether it was news.
    pub(super) fn follow(&mut self, delta: &origin::Delta) -> bool {
        let id = delta.origin.id();
        if id == self.own {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&id) {
            return peer.follow(delta);
        }
        // Without a proof of life a step is worth nothing: it may have waited in a link for long.
        let Some(expected) = self.expected.get(&id) else { return false };
        if delta.from != 0 || delta.to < expected.sign.seq {
            return false;
        }
        let mut log = origin::Log::new(delta.origin.clone());
        log.apply(delta);
        let heard_ms = expected.sign.heard_ms;
        self.expected.remove(&id);
        self.peers.insert(id, Peer { log, heard_ms, ahead: None, fetch_again_ms: 0 });
        true
    }
}

impl Peer {
    /// Takes a sign of life; returns the number from which to fetch if changes are missing.
    fn hear(&mut self, now_ms: u64, sign: Sign) -> Option<u32> {
        if sign.seq <= self.log.seq() {
            self.heard_ms = self.heard_ms.max(sign.heard_ms);
            return None;
        }
        if self.ahead.is_none_or(|ahead| ahead.heard_ms < sign.heard_ms) {
            self.ahead = Some(sign);
        }
        if now_ms < self.fetch_again_ms {
            return None;
        }
        self.fetch_again_ms = now_ms + FETCH_AGAIN_MS;
        Some(self.log.seq())
    }

    fn follow(&mut self, delta: &origin::Delta) -> bool {
        let advanced = self.log.apply(delta);
        self.fetch_again_ms = 0;
        if let Some(sign) = self.ahead.filter(|sign| sign.seq <= self.log.seq()) {
            self.heard_ms = self.heard_ms.max(sign.heard_ms);
            self.ahead = None;
        }
        advanced
    }
}

/// Different ones of the targets, picked by the given number.
pub(super) fn sample(mut targets: Vec<Target>, pick: u64, count: usize) -> Vec<Target> {
    let mut chosen = Vec::new();
    let mut number = pick;
    while chosen.len() < count && !targets.is_empty() {
        number = membership::splitmix64(number);
        chosen.push(targets.swap_remove(number as usize % targets.len()));
    }
    chosen
}
