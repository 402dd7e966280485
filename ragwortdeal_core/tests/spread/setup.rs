//! The shape of a modelled run, its faults, its links and what it measures.

use std::collections;

use ragwortdeal_core::spread::limits;

/// What goes wrong in a run.
#[derive(Clone, Default)]
pub struct Faults {
    /// Of 1,000 chunks that peers send, how many are corrupted.
    pub corrupt_permille: u32,
    /// Of 1,000 chunks that peers send, how many are truncated.
    pub short_permille: u32,
    /// Of 1,000 chunks that peers send, how many arrive twice.
    pub twice_permille: u32,
    /// Of 1,000 chunks that peers send, how many are delayed by a minute.
    pub late_permille: u32,
    /// Of 1,000 answers of the origin, how many are errors.
    pub origin_error_permille: u32,
    /// Of 1,000 answers of the origin, how many are truncated.
    pub origin_short_permille: u32,
    /// The origin does not answer before this time.
    pub origin_silent_until_ms: u64,
    /// Connections that the origin takes at once; more are refused. All share its link, so that
    /// each gets slower the more there are. 0 where it sends one chunk after the other.
    pub origin_connections_max: usize,
    /// Instances that accept every request and never send anything.
    pub stalled: Vec<usize>,
    /// Instances that announce every chunk at the start.
    pub liars: Vec<usize>,
    /// Instances that corrupt every chunk that they send.
    pub corrupters: Vec<usize>,
    /// `(time, instance)`: it dies, and its lease ends two seconds later.
    pub deaths: Vec<(u64, usize)>,
    /// `(time, instance)`: it starts only then.
    pub late_joins: Vec<(u64, usize)>,
    /// `(time, instance)`: it restarts with the chunks that it has verified.
    pub restarts: Vec<(u64, usize)>,
}

/// One run's shape.
#[derive(Clone)]
pub struct Setup {
    pub instances: usize,
    pub zones: usize,
    pub regions: usize,
    pub chunks: u32,
    /// Time of one chunk on a machine's link.
    pub chunk_ms: u64,
    pub limits: limits::Limits,
    pub faults: Faults,
    pub seed: u64,
}

impl Setup {
    pub fn new(instances: usize, chunks: u32) -> Self {
        Self {
            instances,
            zones: 3,
            regions: 1,
            chunks,
            chunk_ms: 60,
            limits: limits::Limits::default(),
            faults: Faults::default(),
            seed: 4,
        }
    }

    /// Size over the slower of the origin's and a machine's link, plus the time in which the
    /// first chunk can double over all instances.
    pub fn bound_ms(&self) -> f64 {
        let fill = (self.instances as f64).log2().ceil() + 1.0;
        let slower = (self.limits.machine_copies / self.limits.origin_copies).max(1.0);
        (f64::from(self.chunks) * slower + fill) * self.chunk_ms as f64
    }

    pub fn link_ms(&self, copies: f64) -> f64 {
        self.chunk_ms as f64 * self.limits.machine_copies / copies
    }

    pub fn origin_chunk_ms(&self) -> f64 {
        self.link_ms(self.limits.origin_copies)
    }
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub done_ms: Vec<Option<u64>>,
    pub origin_chunks: usize,
    /// Most requests that were open at the origin at once.
    pub origin_open_max: usize,
    pub peer_chunks: usize,
    /// Chunks over the busiest link between two regions, one way.
    pub region_chunks_max: usize,
    /// Chunks over all links between regions.
    pub region_chunks: usize,
    pub announcements: usize,
    pub announcement_bytes: u64,
    pub requests: usize,
    pub refusals: usize,
    pub blamed: collections::BTreeMap<String, usize>,
    pub faults: collections::BTreeMap<String, usize>,
    pub open_uploads_max: usize,
    pub decisions: usize,
}

impl Outcome {
    /// Time until all of the given instances are done.
    pub fn time_ms(&self, skip: &[usize]) -> Option<u64> {
        let kept = self.done_ms.iter().enumerate().filter(|(index, _)| !skip.contains(index));
        let times: Option<Vec<_>> = kept.map(|(_, done)| *done).collect();
        times?.into_iter().max()
    }
}

/// A queue with a rate: what enters leaves one after the other.
#[derive(Clone, Default)]
pub struct Link {
    free_ms: f64,
}

impl Link {
    /// When something that enters now, and takes so long, has left.
    pub fn pass(&mut self, now_ms: f64, takes_ms: f64) -> f64 {
        self.free_ms = self.free_ms.max(now_ms) + takes_ms;
        self.free_ms
    }

    /// The same for something whose first byte came `takes_ms` before its last.
    pub fn pass_through(&mut self, last_byte_ms: f64, takes_ms: f64) -> f64 {
        self.free_ms = (self.free_ms + takes_ms).max(last_byte_ms);
        self.free_ms
    }
}
