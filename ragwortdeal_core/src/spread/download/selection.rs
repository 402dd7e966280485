//! The next request: own draws from the origin first, then the rarest chunk that a peer holds,
//! then a question to an owner that has been silent about a chunk.

use crate::spread::{chunk_set, event, owners, peers, requests};

use super::Download;

/// Which chunks this instance has to bring in for others. It follows from the members alone.
#[derive(Clone, Debug)]
pub(super) struct Duties {
    fresh: bool,
    /// Chunks that this instance brings into its zone.
    zone: chunk_set::ChunkSet,
    /// Chunks that this instance brings into its region.
    region: chunk_set::ChunkSet,
    /// Chunks that this instance draws from the origin, the most urgent last.
    draws: Vec<Draw>,
}

/// One draw from the origin, in the order of its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Draw {
    /// Place among all who draw the chunk.
    rank: usize,
    /// Milliseconds after the settling before which it is not asked for.
    turn_ms: u64,
    tie_break: u32,
    chunk: u32,
}

/// Part of the time of a chunk on the origin's link after which the next draw has its turn. Less
/// than the whole keeps the link busy where an owner is late; the queue grows by five chunks over 48.
const TURN_SHARE: f64 = 0.9;

/// Turns by which an owner may be late before it is asked where its chunk is. Its request waits
/// behind the queue at the origin and behind its other chunks.
const TURNS_LATE: f64 = 8.0;

impl Duties {
    /// To be worked out when they are next needed, once for many changes of members.
    pub(super) fn stale() -> Self {
        let none = chunk_set::ChunkSet::default();
        Self { fresh: false, zone: none.clone(), region: none, draws: Vec::new() }
    }
}

struct Choice {
    chunk: u32,
    sender: requests::Sender,
    link: requests::LinkKind,
    probe: bool,
}

impl Download {
    /// Opens requests up to the limits.
    pub(super) fn fill(&mut self, now_ms: u64, actions: &mut Vec<event::Action>) {
        if self.held.is_full() {
            return;
        }
        self.refresh_duties();
        while let Some(choice) = self.next_choice(now_ms) {
            let Choice { chunk, sender, link, probe } = choice;
            let deadline_ms = self.requests.open(now_ms, chunk, sender, link, probe);
            if let requests::Sender::Peer(index) = sender {
                self.peers.get_mut(index).open += 1;
            }
            let source = self.source(sender);
            actions.push(event::Action::Request { source, chunk, deadline_ms });
        }
    }

    /// A peer asked for a chunk that is missing here: it may count this instance as the owner, so
    /// the owner that this instance knows is asked before any other.
    pub(super) fn asked_for(&mut self, chunk: u32) {
        if let Some(probed) = self.probed.get_mut(chunk as usize) {
            *probed = 0;
        }
    }

    fn next_choice(&mut self, now_ms: u64) -> Option<Choice> {
        let settled_at_ms = self.settled_at_ms.get_or_insert(now_ms + self.limits.settle_ms);
        if now_ms < *settled_at_ms {
            return self.rarest(now_ms).filter(|_| self.has_slot());
        }
        if self.has_slot() {
            let choice = self.draw(now_ms).or_else(|| self.rarest(now_ms));
            if choice.is_some() {
                return choice;
            }
        }
        self.probe(now_ms)
    }

    fn has_slot(&self) -> bool {
        self.requests.transfers() < self.limits.downloads_max
    }

    /// The next chunk that is this instance's to draw from the origin.
    fn draw(&mut self, now_ms: u64) -> Option<Choice> {
        let most = self.limits.origin_requests(self.peers.len());
        let full = self.requests.at_origin() >= most;
        if full || now_ms < self.origin_retry_at_ms {
            return None;
        }
        let held = &self.held;
        self.duties.draws.retain(|draw| !held.contains(draw.chunk));
        let open = self.requests.chunks();
        let since_ms = now_ms.saturating_sub(self.settled_at_ms.unwrap_or(now_ms));
        let wanted = |draw: &&Draw| {
            let asked = open.contains(draw.chunk);
            draw.turn_ms <= since_ms && !asked && !self.region_holds(draw.chunk)
        };
        let chunk = self.duties.draws.iter().rev().find(wanted)?.chunk;
        let (sender, link) = (requests::Sender::Origin, requests::LinkKind::Origin);
        Some(Choice { chunk, sender, link, probe: false })
    }

    /// Milliseconds after the settling at which a draw has its turn. All instances work out the same
    /// order without a message: first each chunk once, then those that are drawn once more.
    fn turn_ms(&self, rank: usize, chunk: u32) -> u64 {
        let place = rank * self.manifest.chunks().len() + chunk as usize;
        (place as f64 * self.limits.origin_chunk_ms * TURN_SHARE) as u64
    }

    /// Whether the last draw had its turn. From then on the origin is only asked for what an owner
    /// could not get, which is little beside another version.
    pub fn origin_schedule_is_over(&self, now_ms: u64) -> bool {
        let last = self.manifest.chunks().len() as u32 - 1;
        self.is_due(now_ms, last)
    }

    /// Whether a chunk should be at its owner by now.
    fn is_due(&self, now_ms: u64, chunk: u32) -> bool {
        let late_ms = (TURNS_LATE * self.limits.origin_chunk_ms) as u64;
        let settled_at_ms = self.settled_at_ms.unwrap_or(now_ms);
        now_ms >= settled_at_ms + self.turn_ms(0, chunk) + late_ms
    }

    fn region_holds(&self, chunk: u32) -> bool {
        if self.peers.availability[chunk as usize] == 0 {
            return false;
        }
        let mut near = self.peers.holders().filter(|(_, p)| p.scope != peers::Scope::Remote);
        near.any(|(_, peer)| peer.holds.contains(chunk))
    }

    /// The rarest missing chunk that a peer with a free slot holds. Each instance breaks ties in
    /// its own order, so that they fetch different chunks and can exchange them.
    fn rarest(&self, now_ms: u64) -> Option<Choice> {
        let remote_max = self.limits.remote_requests(self.peers.in_region());
        let remote_free = self.requests.at_other_regions() < remote_max;
        let usable = |peer: &peers::Peer| {
            let link_free = peer.scope != peers::Scope::Remote || remote_free;
            let peer_free = peer.open < self.limits.uploads_per_peer_max;
            peer.retry_at_ms <= now_ms && peer_free && link_free
        };
        let holders: Vec<_> = self.peers.holders().filter(|(_, peer)| usable(peer)).collect();
        let rarity = |chunk: &u32| {
            (self.peers.availability[*chunk as usize], self.tie_breaks[*chunk as usize])
        };
        let chunk = self.reachable(&holders).min_by_key(rarity)?;
        let holding = holders
            .iter()
            .filter(|(_, peer)| peer.holds.contains(chunk) && self.may_bring(peer.scope, chunk));
        let spot = self.tie_breaks[chunk as usize];
        let order = |peer: &peers::Peer| {
            let draw = owners::mix(peer.key ^ u64::from(spot));
            (peer.narrow, peer.scope, peer.open, draw)
        };
        let (index, peer) = holding.min_by_key(|(_, peer)| order(peer))?;
        let sender = requests::Sender::Peer(*index);
        Some(Choice { chunk, sender, link: peer.scope.into(), probe: false })
    }

    /// Missing chunks that are not asked for and that one of the holders may send.
    fn reachable<'s>(
        &'s self,
        holders: &'s [(owners::PeerIndex, &peers::Peer)],
    ) -> impl Iterator<Item = u32> + 's {
        (0..self.held.words()).flat_map(move |index| {
            let offered = holders.iter().fold(0, |all, (_, peer)| {
                all | (peer.holds.word(index) & self.mask(peer.scope, index))
            });
            let settled = self.held.word(index) | self.requests.chunks().word(index);
            chunk_set::bits(index, offered & !settled)
        })
    }

    fn mask(&self, scope: peers::Scope, index: usize) -> u64 {
        match scope {
            peers::Scope::Zone => u64::MAX,
            peers::Scope::Region => self.duties.zone.word(index),
            peers::Scope::Remote => self.duties.region.word(index),
        }
    }

    fn may_bring(&self, scope: peers::Scope, chunk: u32) -> bool {
        match scope {
            peers::Scope::Zone => true,
            peers::Scope::Region => self.duties.zone.contains(chunk),
            peers::Scope::Remote => self.duties.region.contains(chunk),
        }
    }

    /// Asks the owner of a chunk that nobody has announced. An owner that died or stalled is only
    /// noticed so; without it the last chunks would be missing for ever.
    fn probe(&mut self, now_ms: u64) -> Option<Choice> {
        if now_ms < self.probe_at_ms || self.requests.probes() > 0 {
            return None;
        }
        self.probe_at_ms = now_ms + self.limits.probe_interval_ms;
        let holders: Vec<_> = self.peers.holders().collect();
        let mut unknown = chunk_set::ChunkSet::full(self.held.words() * u64::BITS as usize);
        self.reachable(&holders).for_each(|chunk| _ = unknown.remove(chunk));
        let open = self.requests.chunks();
        let missing = |chunk: &u32| {
            let missing = !self.held.contains(*chunk) && !open.contains(*chunk);
            unknown.contains(*chunk) && missing && self.is_due(now_ms, *chunk)
        };
        let order = |chunk: &u32| (self.probed[*chunk as usize], self.tie_breaks[*chunk as usize]);
        let chunks = 0..self.manifest.chunks().len() as u32;
        let asked = chunks.filter(missing).filter_map(|chunk| Some((chunk, self.parent(chunk)?)));
        let (chunk, parent) = asked.min_by_key(|(chunk, _)| order(chunk))?;
        self.probed[chunk as usize] = self.probed[chunk as usize].saturating_add(1);
        let peer = self.peers.get(parent);
        let idle = peer.retry_at_ms <= now_ms;
        let sender = requests::Sender::Peer(parent);
        idle.then_some(Choice { chunk, sender, link: peer.scope.into(), probe: true })
    }

    /// From whom this instance expects a chunk: the owner one tier up.
    fn parent(&self, chunk: u32) -> Option<owners::PeerIndex> {
        let me = self.peers.get(owners::SELF);
        let tiers = [
            self.owners.in_zone(me.zone, chunk),
            self.owners.in_region(me.region, chunk),
            self.owners.overall(chunk),
        ];
        tiers.into_iter().flatten().find(|&owner| owner != owners::SELF)
    }

    fn refresh_duties(&mut self) {
        if self.duties.fresh {
            return;
        }
        let me = self.peers.get(owners::SELF);
        let chunks = self.held.capacity();
        let mut zone = chunk_set::ChunkSet::new(chunks);
        let mut region = chunk_set::ChunkSet::new(chunks);
        let mut draws = Vec::new();
        let copies =
            self.limits.origin_fetch_copies(self.owners.regions(), self.owners.populated_zones());
        let mine = |chunk: &u32| self.owners.in_zone(me.zone, *chunk) == Some(owners::SELF);
        for chunk in (0..chunks as u32).filter(mine) {
            zone.insert(chunk);
            if self.owners.in_region(me.region, chunk) == Some(owners::SELF) {
                region.insert(chunk);
            }
            let rank = self.owners.origin_fetch_rank(chunk, copies);
            draws.extend(rank.map(|rank| Draw {
                rank,
                turn_ms: self.turn_ms(rank, chunk),
                tie_break: self.tie_breaks[chunk as usize],
                chunk,
            }));
        }
        draws.sort_unstable_by(|a, b| b.cmp(a));
        self.duties = Duties { fresh: true, zone, region, draws };
    }
}
