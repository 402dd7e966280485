//! Open requests, with deadlines derived from the durations of earlier ones.

use std::collections;

use crate::spread::{chunk_set, limits, owners, peers};

/// Deadline as a multiple of the smoothed duration: a queue at the sender may well triple it, and a
/// false timeout costs a second transfer of the chunk.
const DEADLINE_FACTOR: u64 = 8;

/// Consecutive timeouts after which the links to peers count as slow. A peer that is gone answers
/// nobody: if its timeouts extended the deadlines of other peers too, a few such peers would delay
/// every instance. There is only one origin, so a single timeout shows that it is slow.
const TIMEOUTS_TO_SLOW: u32 = 4;

/// The sender that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The origin.
    Origin,
    /// A peer.
    Peer(owners::PeerIndex),
}

/// Kinds of links, each with its own smoothed duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// From the origin.
    Origin,
    /// Inside the region.
    Local,
    /// Between regions.
    Remote,
}

impl From<peers::Scope> for LinkKind {
    fn from(scope: peers::Scope) -> Self {
        match scope {
            peers::Scope::Zone | peers::Scope::Region => LinkKind::Local,
            peers::Scope::Remote => LinkKind::Remote,
        }
    }
}

/// One open request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The sender that was asked.
    pub sender: Sender,
    /// Kind of the link to the sender.
    pub link: LinkKind,
    /// Whether the sender never announced the chunk.
    pub probe: bool,
    /// When it was sent.
    pub sent_ms: u64,
    /// When it counts as failed.
    pub deadline_ms: u64,
}

/// All open requests, at most one for each chunk.
#[derive(Clone, Debug)]
pub struct Requests {
    open: collections::BTreeMap<u32, Request>,
    chunks: chunk_set::ChunkSet,
    origin: usize,
    remote: usize,
    probes: usize,
    durations_ms: [Option<u64>; 3],
    /// Timeouts since the last chunk over each kind of link.
    timeouts: [u32; 3],
    deadline_min_ms: u64,
    deadline_far_min_ms: u64,
    deadline_max_ms: u64,
    deadline_first_ms: u64,
    deadline_first_far_ms: u64,
}

impl Requests {
    /// Starts without open requests.
    pub fn new(chunks: usize, limits: &limits::Limits) -> Self {
        Self {
            open: collections::BTreeMap::new(),
            chunks: chunk_set::ChunkSet::new(chunks),
            origin: 0,
            remote: 0,
            probes: 0,
            durations_ms: [None; 3],
            timeouts: [0; 3],
            deadline_min_ms: limits.deadline_min_ms,
            deadline_far_min_ms: limits.deadline_far_min_ms,
            deadline_max_ms: limits.deadline_max_ms,
            deadline_first_ms: limits.deadline_first_ms,
            deadline_first_far_ms: limits.deadline_first_far_ms,
        }
    }

    /// Opens a request and returns its deadline.
    pub fn open(
        &mut self,
        now_ms: u64,
        chunk: u32,
        sender: Sender,
        link: LinkKind,
        probe: bool,
    ) -> u64 {
        let deadline_ms = now_ms + self.limit_ms(link);
        self.open.insert(chunk, Request { sender, link, probe, sent_ms: now_ms, deadline_ms });
        self.chunks.insert(chunk);
        self.origin += usize::from(sender == Sender::Origin);
        self.remote += usize::from(link == LinkKind::Remote);
        self.probes += usize::from(probe);
        deadline_ms
    }

    /// Closes the request for a chunk if it was sent to this sender.
    pub fn close(&mut self, chunk: u32, sender: Sender) -> Option<Request> {
        self.open.get(&chunk).filter(|request| request.sender == sender)?;
        self.close_any(chunk)
    }

    /// Closes the request for a chunk, whichever sender was asked.
    pub fn close_any(&mut self, chunk: u32) -> Option<Request> {
        let request = self.open.remove(&chunk)?;
        self.chunks.remove(chunk);
        self.origin -= usize::from(request.sender == Sender::Origin);
        self.remote -= usize::from(request.link == LinkKind::Remote);
        self.probes -= usize::from(request.probe);
        Some(request)
    }

    /// Updates the smoothed duration with a request that returned its chunk.
    pub fn record_response(&mut self, now_ms: u64, request: &Request) {
        let took_ms = now_ms.saturating_sub(request.sent_ms);
        self.timeouts[request.link as usize] = 0;
        let smoothed = &mut self.durations_ms[request.link as usize];
        *smoothed = Some(smoothed.map_or(took_ms, |before_ms| (before_ms * 7 + took_ms) / 8));
    }

    /// Doubles the time limit after timeouts: if the link is slow for all, the same limit would
    /// expire again and again, and the link would carry nothing but abandoned chunks.
    pub fn record_timeout(&mut self, link: LinkKind) {
        let timeouts = &mut self.timeouts[link as usize];
        *timeouts += 1;
        if link != LinkKind::Origin && *timeouts < TIMEOUTS_TO_SLOW {
            return;
        }
        let limit_ms = self.limit_ms(link);
        self.durations_ms[link as usize] = Some(limit_ms * 2 / DEADLINE_FACTOR);
    }

    /// Chunks whose deadline has passed.
    pub fn overdue(&self, now_ms: u64) -> Vec<u32> {
        let late = self.open.iter().filter(|(_, request)| request.deadline_ms <= now_ms);
        late.map(|(&chunk, _)| chunk).collect()
    }

    /// Chunks with an open request to a sender.
    pub fn open_at(&self, sender: Sender) -> Vec<u32> {
        let mine = self.open.iter().filter(|(_, request)| request.sender == sender);
        mine.map(|(&chunk, _)| chunk).collect()
    }

    /// Chunks with an open request.
    pub fn chunks(&self) -> &chunk_set::ChunkSet {
        &self.chunks
    }

    /// Number of open requests, without probes.
    pub fn transfers(&self) -> usize {
        self.open.len() - self.probes
    }

    /// Number of open requests to the origin.
    pub fn at_origin(&self) -> usize {
        self.origin
    }

    /// Number of open requests to other regions.
    pub fn at_other_regions(&self) -> usize {
        self.remote
    }

    /// Number of open probes.
    pub fn probes(&self) -> usize {
        self.probes
    }

    /// All open requests.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Request)> + '_ {
        self.open.iter().map(|(&chunk, request)| (chunk, request))
    }

    fn limit_ms(&self, link: LinkKind) -> u64 {
        let (min_ms, first_ms) = match link {
            LinkKind::Local => (self.deadline_min_ms, self.deadline_first_ms),
            LinkKind::Origin => (self.deadline_far_min_ms, self.deadline_max_ms),
            LinkKind::Remote => (self.deadline_far_min_ms, self.deadline_first_far_ms),
        };
        let usual_ms = self.durations_ms[link as usize];
        let scaled_ms = usual_ms.map_or(first_ms, |ms| ms * DEADLINE_FACTOR);
        scaled_ms.clamp(min_ms, self.deadline_max_ms)
    }
}
