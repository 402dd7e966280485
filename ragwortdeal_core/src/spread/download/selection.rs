//! Selection of the next request: assigned fetches from the origin first, then the rarest chunk
//! that a peer holds, then a probe of an owner that has not announced a chunk.

use crate::spread::{chunk_set, event, owners, peers, requests};

use super::Download;

/// Chunks that this instance has to fetch for others. They depend on the members alone.
#[derive(Clone, Debug)]
pub(super) struct Assignments {
    fresh: bool,
    /// Chunks that this instance fetches into its zone.
    zone: chunk_set::ChunkSet,
    /// Chunks that this instance fetches into its region.
    region: chunk_set::ChunkSet,
    /// Chunks that this instance fetches into its region if the owner does not.
    region_standby: Vec<u32>,
    /// Chunks that this instance fetches from the origin, the most urgent last.
    origin_fetches: Vec<OriginFetch>,
}

/// A scheduled fetch from the origin, ordered by urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OriginFetch {
    /// Whether it is made only if no instance is known to hold the chunk by then.
    standby: bool,
    /// Rank among the instances that fetch the chunk.
    rank: usize,
    /// Earliest start, counted from the end of the settling time.
    not_before_ms: u64,
    tie_break: u32,
    chunk: u32,
}

/// Interval of scheduled fetches, as a share of a chunk's time on the origin's link. A share below
/// one keeps the link busy if an owner is late; the queue grows by five chunks over 48.
const SCHEDULE_INTERVAL_SHARE: f64 = 0.9;

/// Chunk times after which the next in rank fetches a chunk from the origin that its owner should
/// have announced: the queue at the origin, the chunk's way to the owner and the announcement. An
/// owner that hangs with the chunk would otherwise be found only by timeouts of its peers, and the
/// origin may be gone by then.
const STANDBY_CHUNK_TIMES: f64 = 6.0;

/// Turns for which a chunk from the origin and word of it are on their way.
const ON_WAY_TURNS: f64 = 2.0;

/// Turns that the origin must be ahead of a chunk once it has failed: after its return many wait for
/// their chunks at the same time, and none of them is to be given up.
const RETURN_QUEUE_TURNS: f64 = 6.0;

/// Multiple of a standby's time after which it fetches a chunk although nothing shows that the
/// origin has sent what was due before it.
const PATIENCE: u64 = 3;

/// Chunk times after which a chunk that should have left the origin is fetched into a region by the
/// one that acts for its owner there. The chunk has to cross a link between regions meanwhile, and
/// a second copy over such a link is expensive.
const REGION_STANDBY_CHUNK_TIMES: f64 = 18.0;

/// Chunk times by which an owner may be late before it is probed. Its request waits in the queue at
/// the origin and behind its other chunks.
const LATE_CHUNK_TIMES: f64 = 8.0;

impl Assignments {
    /// Assignments to be computed when they are next needed, once for many changes of members.
    pub(super) fn stale() -> Self {
        let none = chunk_set::ChunkSet::default();
        Self {
            fresh: false,
            zone: none.clone(),
            region: none,
            region_standby: Vec::new(),
            origin_fetches: Vec::new(),
        }
    }
}

struct Selection {
    chunk: u32,
    sender: requests::Sender,
    link: requests::LinkKind,
    probe: bool,
}

impl Download {
    /// Opens requests up to the limits.
    pub(super) fn open_new_requests(&mut self, now_ms: u64, actions: &mut Vec<event::Action>) {
        if self.held.is_full() || self.abandoned {
            return;
        }
        self.refresh_assignments();
        while let Some(selection) = self.select_next(now_ms) {
            let Selection { chunk, sender, link, probe } = selection;
            let deadline_ms = self.requests.open(now_ms, chunk, sender, link, probe);
            if let requests::Sender::Peer(index) = sender {
                self.peers.get_mut(index).open += 1;
            }
            let source = self.source(sender);
            actions.push(event::Action::Request { source, chunk, deadline_ms });
        }
    }

    /// Handles a request for a chunk that is missing here: the peer may consider this instance the
    /// owner, so the owner that this instance knows is probed before any other.
    pub(super) fn reset_probes(&mut self, chunk: u32) {
        if let Some(probe_count) = self.probe_counts.get_mut(chunk as usize) {
            *probe_count = 0;
        }
    }

    fn select_next(&mut self, now_ms: u64) -> Option<Selection> {
        self.clock.start(now_ms + self.limits.settle_ms);
        if !self.clock.is_started(now_ms) {
            return self.select_rarest(now_ms).filter(|_| self.has_slot());
        }
        if self.has_slot() {
            let selection = self.select_origin_fetch(now_ms).or_else(|| self.select_rarest(now_ms));
            if selection.is_some() {
                return selection;
            }
        }
        self.select_probe(now_ms)
    }

    fn has_slot(&self) -> bool {
        self.requests.transfers() < self.limits.downloads_max
    }

    /// The next chunk that this instance has to fetch from the origin.
    fn select_origin_fetch(&mut self, now_ms: u64) -> Option<Selection> {
        let most = self.limits.origin_requests(self.peers.len());
        let full = self.requests.at_origin() >= most;
        if full || !self.origin_allowed || now_ms < self.origin_retry_at_ms {
            return None;
        }
        let held = &self.held;
        self.assignments.origin_fetches.retain(|fetch| !held.contains(fetch.chunk));
        let open = self.requests.chunks();
        let since_ms = self.clock.elapsed_ms(now_ms);
        let wanted = |fetch: &&OriginFetch| {
            let due = fetch.not_before_ms <= since_ms && !open.contains(fetch.chunk);
            match fetch.standby {
                true => {
                    due && self.is_passed_over(fetch, since_ms) && !self.anyone_holds(fetch.chunk)
                }
                false => due && !self.region_holds(fetch.chunk),
            }
        };
        let chunk = self.assignments.origin_fetches.iter().rev().find(wanted)?.chunk;
        let (sender, link) = (requests::Sender::Origin, requests::LinkKind::Origin);
        Some(Selection { chunk, sender, link, probe: false })
    }

    /// Start of a scheduled fetch, counted from the end of the settling time. All instances compute
    /// the same schedule without messages: first each chunk once, then those fetched once more.
    fn scheduled_ms(&self, rank: usize, chunk: u32) -> u64 {
        let position = rank * self.manifest.chunks().len() + chunk as usize;
        (position as f64 * self.limits.origin_chunk_ms * SCHEDULE_INTERVAL_SHARE) as u64
    }

    /// Start of a fetch by the instance of this rank, if nobody of a lower rank was heard of by then.
    fn standby_ms(&self, rank: usize, chunk: u32) -> u64 {
        let one_ms = self.late_ms(chunk, STANDBY_CHUNK_TIMES) - self.scheduled_ms(0, chunk);
        self.scheduled_ms(0, chunk) + rank as u64 * one_ms
    }

    /// Time at which a chunk is late, where queues and links may take so many chunk times.
    fn late_ms(&self, chunk: u32, chunk_times: f64) -> u64 {
        let queued_ms = (self.limits.origin_chunk_ms * chunk_times) as u64;
        self.scheduled_ms(0, chunk) + self.limits.standby_ms + queued_ms
    }

    /// Whether at most this share of the version is still to leave the origin by schedule.
    pub fn origin_needs_at_most(&self, share: f64, now_ms: u64) -> bool {
        let whole_ms = self.scheduled_ms(1, 0) as f64;
        self.clock.elapsed_ms(now_ms) as f64 >= whole_ms * (1.0 - share)
    }

    /// Whether the origin is known to have sent what was due about this chunk's turn, or has had the
    /// time several times over. Where its queue is long all chunks are late, and a second request for
    /// each would make it longer.
    fn is_passed_over(&self, fetch: &OriginFetch, since_ms: u64) -> bool {
        let scheduled_ms = self.scheduled_ms(0, fetch.chunk);
        let late_ms = fetch.not_before_ms - scheduled_ms;
        let turns = if self.clock.was_held() { RETURN_QUEUE_TURNS } else { -ON_WAY_TURNS };
        let passed_ms = scheduled_ms as f64 + turns * self.limits.origin_chunk_ms;
        self.frontier_ms() as f64 >= passed_ms || since_ms >= scheduled_ms + late_ms * PATIENCE
    }

    /// Time by schedule of the first chunk after all that are known to have left the origin.
    pub(super) fn frontier_ms(&self) -> u64 {
        let known = |chunk: &u32| {
            self.held.contains(*chunk) || self.peers.availability[*chunk as usize] > 0
        };
        let last = (0..self.manifest.chunks().len() as u32).rev().find(known);
        last.map_or(0, |chunk| self.scheduled_ms(0, chunk + 1))
    }

    /// Whether the owner of a chunk should hold it by now.
    fn is_due(&self, now_ms: u64, chunk: u32) -> bool {
        let late_ms = (LATE_CHUNK_TIMES * self.limits.origin_chunk_ms) as u64;
        self.clock.elapsed_ms(now_ms) >= self.scheduled_ms(0, chunk) + late_ms
    }

    fn anyone_holds(&self, chunk: u32) -> bool {
        self.peers.availability[chunk as usize] > 0
            && self.peers.holders().any(|(_, peer)| peer.holds.contains(chunk))
    }

    fn region_holds(&self, chunk: u32) -> bool {
        if self.peers.availability[chunk as usize] == 0 {
            return false;
        }
        let mut near = self.peers.holders().filter(|(_, p)| p.scope != peers::Scope::Remote);
        near.any(|(_, peer)| peer.holds.contains(chunk))
    }

    /// The rarest missing chunk that a peer with a free slot holds. Each instance breaks ties in
    /// its own order, so that instances fetch different chunks and can exchange them.
    fn select_rarest(&self, now_ms: u64) -> Option<Selection> {
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
        let standby = self.due_standby(now_ms);
        let chunk = self.reachable(&holders, &standby).min_by_key(rarity)?;
        let holding = holders.iter().filter(|(_, peer)| {
            peer.holds.contains(chunk) && self.may_fetch(peer.scope, chunk, &standby)
        });
        let tie_break = self.tie_breaks[chunk as usize];
        let order = |peer: &peers::Peer| {
            let hash = owners::mix(peer.key ^ u64::from(tie_break));
            (peer.narrow, peer.scope, peer.open, hash)
        };
        let (index, peer) = holding.min_by_key(|(_, peer)| order(peer))?;
        let sender = requests::Sender::Peer(*index);
        Some(Selection { chunk, sender, link: peer.scope.into(), probe: false })
    }

    /// Missing chunks without an open request that one of the holders may send.
    fn reachable<'s>(
        &'s self,
        holders: &'s [(owners::PeerIndex, &peers::Peer)],
        standby: &'s chunk_set::ChunkSet,
    ) -> impl Iterator<Item = u32> + 's {
        (0..self.held.words()).flat_map(move |index| {
            let offered = holders.iter().fold(0, |all, (_, peer)| {
                all | (peer.holds.word(index) & self.fetchable_word(peer.scope, index, standby))
            });
            let excluded = self.held.word(index) | self.requests.chunks().word(index);
            chunk_set::bits(index, offered & !excluded)
        })
    }

    /// Chunks of one word that may be fetched over such a distance. `standby` are those for whose
    /// owner this instance acts.
    fn fetchable_word(
        &self,
        scope: peers::Scope,
        index: usize,
        standby: &chunk_set::ChunkSet,
    ) -> u64 {
        match scope {
            peers::Scope::Zone => u64::MAX,
            peers::Scope::Region => self.assignments.zone.word(index) | standby.word(index),
            peers::Scope::Remote => self.assignments.region.word(index) | standby.word(index),
        }
    }

    fn may_fetch(&self, scope: peers::Scope, chunk: u32, standby: &chunk_set::ChunkSet) -> bool {
        match scope {
            peers::Scope::Zone => true,
            peers::Scope::Region => {
                self.assignments.zone.contains(chunk) || standby.contains(chunk)
            }
            peers::Scope::Remote => {
                self.assignments.region.contains(chunk) || standby.contains(chunk)
            }
        }
    }

    /// Chunks that the owner in the region should have brought in by now, and nobody there holds.
    fn due_standby(&self, now_ms: u64) -> chunk_set::ChunkSet {
        let mut due = chunk_set::ChunkSet::new(self.held.capacity());
        let elapsed_ms = self.clock.elapsed_ms(now_ms);
        let overdue = |chunk: &u32| elapsed_ms >= self.late_ms(*chunk, REGION_STANDBY_CHUNK_TIMES);
        let missing = self.assignments.region_standby.iter().copied().filter(overdue);
        missing.filter(|chunk| !self.region_holds(*chunk)).for_each(|chunk| _ = due.insert(chunk));
        due
    }

    /// Probes the owner of a chunk that nobody has announced. Only this detects an owner that died
    /// or stalled; without it the last chunks would stay missing forever.
    fn select_probe(&mut self, now_ms: u64) -> Option<Selection> {
        if now_ms < self.next_probe_ms || self.requests.probes() > 0 {
            return None;
        }
        self.next_probe_ms = now_ms + self.limits.probe_interval_ms;
        let holders: Vec<_> = self.peers.holders().collect();
        let standby = self.due_standby(now_ms);
        let mut unknown = chunk_set::ChunkSet::full(self.held.words() * u64::BITS as usize);
        self.reachable(&holders, &standby).for_each(|chunk| _ = unknown.remove(chunk));
        let open = self.requests.chunks();
        let missing = |chunk: &u32| {
            let missing = !self.held.contains(*chunk) && !open.contains(*chunk);
            unknown.contains(*chunk) && missing && self.is_due(now_ms, *chunk)
        };
        let order =
            |chunk: &u32| (self.probe_counts[*chunk as usize], self.tie_breaks[*chunk as usize]);
        let chunks = 0..self.manifest.chunks().len() as u32;
        let candidates =
            chunks.filter(missing).filter_map(|chunk| Some((chunk, self.parent(chunk)?)));
        let (chunk, parent) = candidates.min_by_key(|(chunk, _)| order(chunk))?;
        self.probe_counts[chunk as usize] = self.probe_counts[chunk as usize].saturating_add(1);
        let peer = self.peers.get(parent);
        let idle = peer.retry_at_ms <= now_ms;
        let sender = requests::Sender::Peer(parent);
        idle.then_some(Selection { chunk, sender, link: peer.scope.into(), probe: true })
    }

    /// The peer from which this instance expects a chunk: the owner one tier up.
    fn parent(&self, chunk: u32) -> Option<owners::PeerIndex> {
        let me = self.peers.get(owners::SELF);
        let tiers = [
            self.owners.in_zone(me.zone, chunk),
            self.owners.in_region(me.region, chunk),
            self.owners.overall(chunk),
        ];
        tiers.into_iter().flatten().find(|&owner| owner != owners::SELF)
    }

    fn refresh_assignments(&mut self) {
        if self.assignments.fresh {
            return;
        }
        let me = self.peers.get(owners::SELF);
        let chunks = self.held.capacity();
        let mut zone = chunk_set::ChunkSet::new(chunks);
        let mut region = chunk_set::ChunkSet::new(chunks);
        let mut origin_fetches = Vec::new();
        let stands_by =
            |chunk: &u32| self.owners.standby_in_region(me.region, *chunk) == Some(owners::SELF);
        // Without a known rate of the origin there is no time by which an owner is late.
        let is_scheduled = self.limits.origin_chunk_ms > 0.0;
        let region_standby =
            (0..chunks as u32).filter(|_| is_scheduled).filter(stands_by).collect();
        let copies =
            self.limits.origin_fetch_copies(self.owners.regions(), self.owners.populated_zones());
        let mine = |chunk: &u32| self.owners.in_zone(me.zone, *chunk) == Some(owners::SELF);
        for chunk in (0..chunks as u32).filter(mine) {
            zone.insert(chunk);
            if self.owners.in_region(me.region, chunk) == Some(owners::SELF) {
                region.insert(chunk);
            }
            let Some(rank) = self.owners.origin_fetch_rank(chunk) else {
                continue;
            };
            let tie_break = self.tie_breaks[chunk as usize];
            if rank < self.owners.copies_of(chunk, copies) {
                let not_before_ms = self.scheduled_ms(rank, chunk);
                let standby = false;
                origin_fetches.push(OriginFetch { standby, rank, not_before_ms, tie_break, chunk });
            }
            if rank > 0 && is_scheduled {
                let not_before_ms = self.standby_ms(rank, chunk);
                let standby = true;
                origin_fetches.push(OriginFetch { standby, rank, not_before_ms, tie_break, chunk });
            }
        }
        origin_fetches.sort_unstable_by(|a, b| b.cmp(a));
        self.assignments =
            Assignments { fresh: true, zone, region, region_standby, origin_fetches };
    }
}
