//! The parameters of a simulated run, its faults, its links and its results.

use std::collections;

use ragwortdeal_core::spread::limits;

/// Faults that are injected into a run.
#[derive(Clone, Default)]
pub struct Faults {
    /// Corrupted chunks per 1,000 chunks that peers send.
    pub corrupt_permille: u32,
    /// Truncated chunks per 1,000 chunks that peers send.
    pub truncated_permille: u32,
    /// Chunks that arrive twice per 1,000 chunks that peers send.
    pub duplicate_permille: u32,
    /// Chunks delayed by a minute per 1,000 chunks that peers send.
    pub delayed_permille: u32,
    /// Errors per 1,000 answers of the origin.
    pub origin_error_permille: u32,
    /// Truncated answers per 1,000 answers of the origin.
    pub origin_truncated_permille: u32,
    /// The origin does not answer before this time.
    pub origin_silent_until_ms: u64,
    /// `(from, until)`: the origin is gone. What it was sending is lost, and connects to it time
    /// out.
    pub origin_lost_ms: Option<(u64, u64)>,
    /// Maximum connections that the origin accepts; more are refused. They share its link, so each
    /// is slower the more there are. 0 if it sends one chunk after the other instead.
    pub origin_connections_max: usize,
    /// Instances that accept every request and never send anything.
    pub stalled: Vec<usize>,
    /// `(from, until)` and instances whose machines hang: they do nothing, and what arrives waits.
    pub frozen: Option<((u64, u64), Vec<usize>)>,
    /// Instances that announce every chunk at the start.
    pub false_announcers: Vec<usize>,
    /// Instances that corrupt every chunk that they send.
    pub corrupters: Vec<usize>,
    /// `(time, instance)`: it crashes, and its lease expires two seconds later.
    pub crashes: Vec<(u64, usize)>,
    /// `(time, instance)`: it starts only then.
    pub late_joins: Vec<(u64, usize)>,
    /// `(time, instance)`: it restarts with the chunks that it has verified.
    pub restarts: Vec<(u64, usize)>,
}

/// Parameters of a run.
#[derive(Clone)]
pub struct Setup {
    pub instances: usize,
    pub zones: usize,
    pub regions: usize,
    pub chunks: u32,
    /// Time of one chunk on a machine's link.
    pub chunk_ms: u64,
    /// Share of a machine's link that its uploads may use.
    pub upload_share: f64,
    /// Time that a message takes beyond that on the link.
    pub delay_ms: f64,
    pub limits: limits::Limits,
    pub faults: Faults,
    pub seed: u64,
    /// Time between two ticks of an instance.
    pub tick_ms: u64,
    /// Instances that know each other before the version is named start at random times within
    /// this one: they hear of it, and get its manifest, one after the other.
    pub start_within_ms: Option<u64>,
}

impl Setup {
    pub fn new(instances: usize, chunks: u32) -> Self {
        Self {
            instances,
            zones: 3,
            regions: 1,
            chunks,
            chunk_ms: 60,
            upload_share: 1.0,
            delay_ms: 0.0,
            limits: limits::Limits::default(),
            faults: Faults::default(),
            seed: 4,
            tick_ms: 100,
            start_within_ms: None,
        }
    }

    /// Lower bound of the time: the size over the slower of the origin's and a machine's link, plus
    /// the time in which copies of the first chunk can double until all instances have it.
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

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub done_ms: Vec<Option<u64>>,
    /// When the first instance held each chunk.
    pub first_held_ms: collections::BTreeMap<u32, u64>,
    pub origin_chunks: usize,
    /// Maximum requests that were open at the origin at once.
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
    pub faulty_senders: collections::BTreeMap<String, usize>,
    pub faults: collections::BTreeMap<String, usize>,
    pub open_uploads_max: usize,
    pub decisions: usize,
}

impl Outcome {
    /// Time until all instances but the skipped ones are done.
    pub fn time_ms(&self, skip: &[usize]) -> Option<u64> {
        let kept = self.done_ms.iter().enumerate().filter(|(index, _)| !skip.contains(index));
        let times: Option<Vec<_>> = kept.map(|(_, done)| *done).collect();
        times?.into_iter().max()
    }
}

/// A FIFO queue with a rate.
#[derive(Clone, Default)]
pub struct Link {
    free_ms: f64,
}

impl Link {
    /// When an item that enters now, with the given transfer time, has left.
    pub fn pass(&mut self, now_ms: f64, takes_ms: f64) -> f64 {
        self.free_ms = self.free_ms.max(now_ms) + takes_ms;
        self.free_ms
    }

    /// The same for an item whose first byte arrived `takes_ms` before its last.
    pub fn pass_through(&mut self, last_byte_ms: f64, takes_ms: f64) -> f64 {
        self.free_ms = (self.free_ms + takes_ms).max(last_byte_ms);
        self.free_ms
    }
}
