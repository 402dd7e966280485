//! The limits of the links and the one setting that weighs time against origin bytes.

/// What the links carry and how much an instance may do at once.
///
/// The three `_copies` say how many copies of the version a link carries in the window in which a
/// spread should be done; only their ratios matter.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// 0 weighs only the time until all replicas have the version, 100 only the origin's bytes.
    pub origin_weight_percent: u8,
    /// Copies that the origin's link carries in the window.
    pub origin_copies: f64,
    /// Copies that one machine's link carries in the window.
    pub machine_copies: f64,
    /// Copies that one link between two regions carries in the window, each way.
    pub region_copies: f64,
    /// Requests for chunks that this instance keeps open, over all senders.
    pub downloads_max: usize,
    /// Requests that all instances together should keep open at the origin; each keeps its part of
    /// them, and at least one.
    pub origin_requests_max: usize,
    /// Milliseconds that the origin's link takes for one chunk, 0 where that is not known. Where it
    /// is, each draw has its turn, so that chunks arrive one after the other and can be passed on.
    pub origin_chunk_ms: f64,
    /// Most doublings of the pause after failures of the origin.
    pub origin_backoff_doublings_max: u32,
    /// Requests that all instances of a region together should keep open at other regions; each
    /// keeps its part of them, and at least one.
    pub remote_requests_max: usize,
    /// Chunks that this instance sends at once: bounds what slow receivers make it hold.
    pub uploads_max: usize,
    /// Chunks that this instance sends to one receiver at once.
    pub uploads_per_peer_max: usize,
    /// Peers of the own zone to which every verified chunk is announced.
    pub neighbours_max: usize,
    /// Longest time over which announcements are gathered into one message.
    pub announce_interval_ms: u64,
    /// Time between two probes of owners that have not announced a chunk.
    pub probe_interval_ms: u64,
    /// Time after a refusal before the same peer is asked again.
    pub busy_backoff_ms: u64,
    /// Time after the start in which nothing is drawn or probed. Members become known one by one,
    /// and with few of them known each instance would take itself for the owner of most chunks.
    pub settle_ms: u64,
    /// Shortest deadline of a request.
    pub deadline_min_ms: u64,
    /// Shortest deadline of a request to the origin or another region. Their queues are as long as
    /// all instances make them, and a second transfer there costs the most.
    pub deadline_far_min_ms: u64,
    /// Longest deadline of a request, and the first one to the origin or another region.
    pub deadline_max_ms: u64,
    /// Deadline of a request to a peer before any was answered.
    pub deadline_first_ms: u64,
    /// Time without any new chunk after which an owner that still answers loses its ownership.
    pub stall_ms: u64,
    /// Time for which a peer with a low standing is not asked.
    pub ban_ms: u64,
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
            deadline_first_ms: 5_000,
            stall_ms: 20_000,
            ban_ms: 30_000,
        }
    }
}

impl Limits {
    /// How many copies the owners together draw from the origin.
    ///
    /// On the bytes end it is one. On the time end it is what balances the origin's link with the
    /// links between regions, and at least what the origin sends in the time that a machine needs
    /// to receive one copy, because within that time further draws delay nobody.
    pub fn origin_fetch_copies(&self, regions: usize, zones: usize) -> f64 {
        let groups = if regions > 1 { regions } else { zones }.max(1) as f64;
        let free = self.origin_copies / self.machine_copies;
        let time_end = free.max(self.balanced_draws(regions)).clamp(1.0, groups);
        let weight = f64::from(self.origin_weight_percent.min(100)) / 100.0;
        1.0 + (time_end - 1.0) * (1.0 - weight)
    }

    /// How many requests one instance keeps open at the origin.
    ///
    /// The origin's link is slower than all instances together, so that its queue only grows with
    /// more requests: they would run into their deadlines there, and be drawn twice.
    pub fn origin_requests(&self, instances: usize) -> usize {
        (self.origin_requests_max / instances.max(1)).max(1)
    }

    /// How many requests one instance keeps open at other regions, whose links are slow and shared
    /// with calls.
    pub fn remote_requests(&self, instances_in_region: usize) -> usize {
        (self.remote_requests_max / instances_in_region.max(1)).max(1)
    }

    /// Draws at which the origin and the links between regions finish at the same time.
    fn balanced_draws(&self, regions: usize) -> f64 {
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

    fn draws(origin_weight_percent: u8, region_copies: f64, regions: usize) -> f64 {
        let limits = Limits { origin_weight_percent, region_copies, ..Limits::default() };
        limits.origin_fetch_copies(regions, 3)
    }

    #[googletest::test]
    fn the_bytes_end_draws_one_copy() {
        expect_that!(draws(100, 1.0, 4), eq(1.0));
        expect_that!(draws(100, 0.01, 4), eq(1.0));
    }

    #[googletest::test]
    fn the_time_end_draws_what_the_origin_sends_meanwhile() {
        expect_that!(draws(0, 1.0, 1), eq(2.0));
        expect_that!(draws(0, 1.0, 4), eq(2.0));
        expect_that!(draws(50, 1.0, 4), eq(1.5));
    }

    #[googletest::test]
    fn slow_links_between_regions_shift_the_load_to_the_origin() {
        expect_that!(draws(0, 0.01, 4), gt(3.5));
        expect_that!(draws(0, 0.01, 4), le(4.0));
    }
}
