//! Link capacities, limits of an instance, and the setting that trades time for origin bytes.

/// Link capacities and the limits of one instance.
///
/// The three `_copies` fields give the capacity of a link as copies of the version within the
/// target time of a distribution; only their ratios matter.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// 0 minimises only the time until all replicas have the version, 100 only the origin's bytes.
    pub origin_weight_percent: u8,
    /// Copies that the origin's link carries within the target time.
    pub origin_copies: f64,
    /// Copies that one machine's link carries within the target time.
    pub machine_copies: f64,
    /// Copies that a link between two regions carries within the target time, each way.
    pub region_copies: f64,
    /// Maximum number of requests for chunks that this instance keeps open, over all senders.
    pub downloads_max: usize,
    /// Maximum number of requests that all instances together should keep open at the origin; each
    /// instance gets an equal share, but at least one.
    pub origin_requests_max: usize,
    /// Transfer time of one chunk on the origin's link, 0 if unknown. If it is known, fetches from
    /// the origin are scheduled one after the other, so that each chunk can be passed on early.
    pub origin_chunk_ms: f64,
    /// Time for which an owner may be late for other reasons than queues, such as ticks, batched
    /// announcements or a busy processor, before the next in rank fetches its chunks.
    pub standby_ms: u64,
    /// Maximum doublings of the backoff after failures of the origin.
    pub origin_backoff_doublings_max: u32,
    /// Maximum number of requests that all instances of a region together should keep open at other
    /// regions; each instance gets an equal share, but at least one.
    pub remote_requests_max: usize,
    /// Maximum concurrent uploads; bounds the memory that slow receivers tie up.
    pub uploads_max: usize,
    /// Maximum concurrent uploads to one receiver.
    pub uploads_per_peer_max: usize,
    /// Peers of the own zone to which every verified chunk is announced.
    pub neighbours_max: usize,
    /// Longest time for which announcements are batched into one message.
    pub announce_interval_ms: u64,
    /// Time between two probes of owners that have not announced a chunk.
    pub probe_interval_ms: u64,
    /// Backoff after a refusal before the same peer gets another request.
    pub busy_backoff_ms: u64,
    /// Time after the start without origin fetches and probes. Members become known one by one, and
    /// with few of them known each instance would consider itself the owner of most chunks.
    pub settle_ms: u64,
    /// Shortest deadline of a request.
    pub deadline_min_ms: u64,
    /// Shortest deadline of a request to the origin or another region. All instances add to the
    /// queues there, and a repeated transfer over these links costs the most.
    pub deadline_far_min_ms: u64,
    /// Longest deadline of a request, and the first one to the origin.
    pub deadline_max_ms: u64,
    /// Deadline of a request to another region before any was answered.
    pub deadline_first_far_ms: u64,
    /// Deadline of a request to a peer before any was answered.
    pub deadline_first_ms: u64,
    /// Time without any new chunk after which an owner that still answers loses its ownership.
    pub stall_ms: u64,
    /// Time for which a suspected peer gets no requests; doubles with repeated suspicions.
    pub ban_ms: u64,
}

/// Transfer times of one chunk on the links of a deployment, 0 where they are unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChunkTimes {
    /// On the origin's link, in milliseconds.
    pub origin_ms: f64,
    /// On the link of a machine, in milliseconds.
    pub machine_ms: f64,
}

/// Time for which chunks under way may keep a machine's link busy, in milliseconds. Callers'
/// requests share the link and wait behind them, while a first event may take some hundred. With
/// less, links are idle between a chunk and the request for the next one.
const LINK_BUSY_MS: f64 = 90.0;

/// Fewest chunks under way: with one the link would be idle between two chunks.
const WINDOW_MIN: f64 = 2.0;

/// Most chunks under way, however small they are.
const WINDOW_MAX: f64 = 6.0;

impl ChunkTimes {
    /// Chunks that may be under way to or from a machine at once.
    pub fn window(&self) -> usize {
        match self.machine_ms > 0.0 {
            true => (LINK_BUSY_MS / self.machine_ms).round().clamp(WINDOW_MIN, WINDOW_MAX) as usize,
            false => WINDOW_MIN as usize,
        }
    }

    /// Copies that the origin's link carries while a machine's link carries `machine_copies`.
    fn origin_copies(&self, machine_copies: f64) -> Option<f64> {
        let known = self.origin_ms > 0.0 && self.machine_ms > 0.0;
        known.then(|| machine_copies * self.machine_ms / self.origin_ms)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            origin_weight_percent: 50,
            origin_copies: 4.0,
            machine_copies: 2.0,
            region_copies: 1.0,
            downloads_max: 8,
            origin_requests_max: 64,
            origin_chunk_ms: 0.0,
            standby_ms: 2_000,
            origin_backoff_doublings_max: 6,
            remote_requests_max: 32,
            uploads_max: 6,
            uploads_per_peer_max: 2,
            neighbours_max: 16,
            announce_interval_ms: 1_000,
            probe_interval_ms: 1_000,
            busy_backoff_ms: 200,
            settle_ms: 500,
            deadline_min_ms: 1_000,
            deadline_far_min_ms: 20_000,
            deadline_max_ms: 60_000,
            deadline_first_far_ms: 60_000,
            deadline_first_ms: 5_000,
            stall_ms: 20_000,
            ban_ms: 30_000,
        }
    }
}

impl Limits {
    /// Limits for versions of a few megabytes that have to be everywhere within seconds.
    /// `settle_ms` is the time that members take to become known.
    pub fn for_bursts(times: &ChunkTimes, settle_ms: u64) -> Self {
        let usual = Self::default();
        Self {
            origin_weight_percent: 50,
            origin_copies: times.origin_copies(usual.machine_copies).unwrap_or(usual.origin_copies),
            downloads_max: times.window(),
            uploads_max: times.window(),
            remote_requests_max: 3,
            uploads_per_peer_max: 1,
            announce_interval_ms: 60,
            probe_interval_ms: 150,
            busy_backoff_ms: 25,
            settle_ms,
            // Below the number of connections that an origin accepts, of which some are still
            // closing.
            origin_requests_max: 20,
            origin_chunk_ms: times.origin_ms,
            // Several ticks and announcements.
            standby_ms: 300,
            // At most 200 ms: an origin that is back is noticed soon, and hundreds of agents that
            // ask so often are a few connections for it.
            origin_backoff_doublings_max: 3,
            deadline_min_ms: 400,
            deadline_far_min_ms: 1_000,
            deadline_first_ms: 600,
            deadline_max_ms: 3_000,
            // A peer that hangs must be found while the origin can still send the chunk to another
            // one.
            deadline_first_far_ms: 1_200,
            stall_ms: 800,
            ban_ms: 3_000,
            ..usual
        }
    }

    /// Number of copies that all owners together fetch from the origin.
    ///
    /// With an `origin_weight_percent` of 100 it is one. With 0 it balances the origin's link with
    /// the links between regions, and is at least what the origin sends while a machine receives
    /// one copy, because further fetches within that time delay nobody.
    pub fn origin_fetch_copies(&self, regions: usize, zones: usize) -> f64 {
        let groups = if regions > 1 { regions } else { zones }.max(1) as f64;
        let unused = self.origin_copies / self.machine_copies;
        let fastest = unused.max(self.balanced_copies(regions)).clamp(1.0, groups);
        let weight = f64::from(self.origin_weight_percent.min(100)) / 100.0;
        1.0 + (fastest - 1.0) * (1.0 - weight)
    }

    /// Maximum number of requests that one instance keeps open at the origin.
    ///
    /// The origin's link is slower than all instances together, so more requests only lengthen its
    /// queue: they would time out there, and the chunks would be fetched twice.
    pub fn origin_requests(&self, instances: usize) -> usize {
        (self.origin_requests_max / instances.max(1)).max(1)
    }

    /// Maximum number of requests that one instance keeps open at other regions, whose links are
    /// slow and shared with calls.
    pub fn remote_requests(&self, instances_in_region: usize) -> usize {
        (self.remote_requests_max / instances_in_region.max(1)).max(1)
    }

    /// Copies at which the origin and the links between regions finish at the same time.
    fn balanced_copies(&self, regions: usize) -> f64 {
        if regions < 2 {
            return 1.0;
        }
        let regions = regions as f64;
        let over_regions = 1.0 / ((regions - 1.0) * self.region_copies);
        let over_origin = regions / self.origin_copies;
        regions * over_regions / (over_origin + over_regions)
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn fetch_copies(origin_weight_percent: u8, region_copies: f64, regions: usize) -> f64 {
        let limits = Limits { origin_weight_percent, region_copies, ..Limits::default() };
        limits.origin_fetch_copies(regions, 3)
    }

    /// Guards against links that are idle between small chunks, and against callers' requests that
    /// wait behind many large ones.
    #[googletest::test]
    fn as_many_chunks_are_under_way_as_keep_a_link_busy_for_the_same_time() {
        let window = |machine_ms| ChunkTimes { origin_ms: 27.0, machine_ms }.window();
        expect_that!(window(42.0), eq(2));
        expect_that!(window(34.5), eq(3));
        expect_that!(window(27.0), eq(3));
        expect_that!((window(0.0), window(400.0), window(1.0)), eq((2, 2, 6)));
    }

    /// Guards against second copies from an origin that is no faster than any machine.
    #[googletest::test]
    fn a_slow_origin_sends_one_copy() {
        let copies = |origin_ms| {
            let limits = Limits::for_bursts(&ChunkTimes { origin_ms, machine_ms: 40.0 }, 60);
            limits.origin_fetch_copies(3, 3)
        };
        expect_that!(copies(40.0), le(1.15));
        expect_that!(copies(20.0), ge(1.4));
    }

    #[googletest::test]
    fn weighing_only_bytes_fetches_one_copy() {
        expect_that!(fetch_copies(100, 1.0, 4), eq(1.0));
        expect_that!(fetch_copies(100, 0.01, 4), eq(1.0));
    }

    #[googletest::test]
    fn weighing_only_time_fetches_what_the_origin_sends_meanwhile() {
        expect_that!(fetch_copies(0, 1.0, 1), eq(2.0));
        expect_that!(fetch_copies(0, 1.0, 4), eq(2.0));
        expect_that!(fetch_copies(50, 1.0, 4), eq(1.5));
    }

    #[googletest::test]
    fn slow_links_between_regions_shift_the_load_to_the_origin() {
        expect_that!(fetch_copies(0, 0.01, 4), gt(3.5));
        expect_that!(fetch_copies(0, 0.01, 4), le(4.0));
    }
}
