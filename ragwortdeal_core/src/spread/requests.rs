//! Requests that are open, and the deadlines that follow from how long earlier ones took.

use std::collections;

use crate::spread::{chunk_set, limits, owners, peers};

/// A deadline is this many times the smoothed duration: a queue in front of the sender may well
/// treble it, and a false timeout costs a second transfer of the chunk.
const DEADLINE_FACTOR: u64 = 8;

/// Timeouts in a row after which the way to peers is taken for slow. A peer that is gone answers
/// nobody: were all who deal with it to wait longer for others too, a few such peers would hold up
/// every instance. The origin is one for all, so a single one shows that it is slow.
const LATE_IN_A_ROW: u32 = 4;

/// Who was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The origin.
    Origin,
    /// A peer.
    Peer(owners::PeerIndex),
}

/// Links with their own durations.
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
    /// Who was asked.
    pub sender: Sender,
    /// Over which kind of link.
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
    /// Timeouts since a chunk came over such a link.
    late: [u32; 3],
    deadline_min_ms: u64,
    deadline_far_min_ms: u64,
    deadline_max_ms: u64,
    deadline_first_ms: u64,
}

impl Requests {
    /// Nothing is open.
    pub fn new(chunks: usize, limits: &limits::Limits) -> Self {
        Self {
            open: collections::BTreeMap::new(),
            chunks: chunk_set::ChunkSet::new(chunks),
            origin: 0,
            remote: 0,
            probes: 0,
            durations_ms: [None; 3],
            late: [0; 3],
            deadline_min_ms: limits.deadline_min_ms,
            deadline_far_min_ms: limits.deadline_far_min_ms,
            deadline_max_ms: limits.deadline_max_ms,
            deadline_first_ms: limits.deadline_first_ms,
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
        let deadline_ms = now_ms + self.patience_ms(link);
        self.open.insert(chunk, Request { sender, link, probe, sent_ms: now_ms, deadline_ms });
        self.chunks.insert(chunk);
        self.origin += usize::from(sender == Sender::Origin);
        self.remote += usize::from(link == LinkKind::Remote);
        self.probes += usize::from(probe);
        deadline_ms
    }

    /// Closes the request for a chunk if it was sent to this source.
    pub fn close(&mut self, chunk: u32, sender: Sender) -> Option<Request> {
        self.open.get(&chunk).filter(|request| request.sender == sender)?;
        self.close_any(chunk)
    }

    /// Closes the request for a chunk, whoever was asked.
    pub fn close_any(&mut self, chunk: u32) -> Option<Request> {
        let request = self.open.remove(&chunk)?;
        self.chunks.remove(chunk);
        self.origin -= usize::from(request.sender == Sender::Origin);
        self.remote -= usize::from(request.link == LinkKind::Remote);
        self.probes -= usize::from(request.probe);
        Some(request)
    }

    /// Learns from a request that brought its chunk.
    pub fn record_response(&mut self, now_ms: u64, request: &Request) {
        let took_ms = now_ms.saturating_sub(request.sent_ms);
        self.late[request.link as usize] = 0;
        let smoothed = &mut self.durations_ms[request.link as usize];
        *smoothed = Some(smoothed.map_or(took_ms, |before_ms| (before_ms * 7 + took_ms) / 8));
    }

    /// Doubles the patience after timeouts: if the link is slow for all, the same deadline would
    /// fail again and again and the link would carry nothing but abandoned chunks.
    pub fn record_timeout(&mut self, link: LinkKind) {
        let late = &mut self.late[link as usize];
        *late += 1;
        if link != LinkKind::Origin && *late < LATE_IN_A_ROW {
            return;
        }
        let patience_ms = self.patience_ms(link);
        self.durations_ms[link as usize] = Some(patience_ms * 2 / DEADLINE_FACTOR);
    }

    /// Chunks whose deadline has passed.
    pub fn overdue(&self, now_ms: u64) -> Vec<u32> {
        let late = self.open.iter().filter(|(_, request)| request.deadline_ms <= now_ms);
        late.map(|(&chunk, _)| chunk).collect()
    }

    /// Chunks that are asked for at a source.
    pub fn open_at(&self, sender: Sender) -> Vec<u32> {
        let mine = self.open.iter().filter(|(_, request)| request.sender == sender);
        mine.map(|(&chunk, _)| chunk).collect()
    }

    /// Chunks that are asked for.
    pub fn chunks(&self) -> &chunk_set::ChunkSet {
        &self.chunks
    }

    /// Open requests without the probes.
    pub fn transfers(&self) -> usize {
        self.open.len() - self.probes
    }

    /// Open requests at the origin.
    pub fn at_origin(&self) -> usize {
        self.origin
    }

    /// Open requests at other regions.
    pub fn at_other_regions(&self) -> usize {
        self.remote
    }

    /// Open probes.
    pub fn probes(&self) -> usize {
        self.probes
    }

    /// All open requests.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Request)> + '_ {
        self.open.iter().map(|(&chunk, request)| (chunk, request))
    }

    fn patience_ms(&self, link: LinkKind) -> u64 {
        let (min_ms, first_ms) = match link {
            LinkKind::Local => (self.deadline_min_ms, self.deadline_first_ms),
            LinkKind::Origin | LinkKind::Remote => (self.deadline_far_min_ms, self.deadline_max_ms),
        };
        let usual_ms = self.durations_ms[link as usize];
        let wanted_ms = usual_ms.map_or(first_ms, |ms| ms * DEADLINE_FACTOR);
        wanted_ms.clamp(min_ms, self.deadline_max_ms)
    }
}
