//! State of one account at one entry: its calls, queue, share and accumulated burst.

use std::collections;

use crate::admission;

/// The newest duration has a weight of one in this many in the running mean.
const SERVICE_MEAN_CALLS: f64 = 16.0;

/// How far a burst may exceed an account's share, as a factor.
const BURST_FACTOR: f64 = 2.0;

const PRIORITIES: usize = 3;

/// State of one account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Its weight among all accounts.
    pub weight: u32,
    /// Its calls running through this entry.
    pub in_flight: u32,
    pub(super) share_here: f64,
    pub(super) counted: bool,
    guaranteed_here: f64,
    burst_slot_ms: f64,
    service_ms: f64,
    queues: [collections::VecDeque<admission::Ticket>; PRIORITIES],
}

impl Account {
    pub(super) fn new(assumed_service_ms: u64) -> Self {
        Self {
            weight: 1,
            in_flight: 0,
            share_here: 0.0,
            counted: false,
            guaranteed_here: 0.0,
            burst_slot_ms: 0.0,
            service_ms: assumed_service_ms as f64,
            queues: Default::default(),
        }
    }

    /// Calls in flight and waiting at this entry.
    pub(super) fn wanted(&self) -> u32 {
        let queued: usize = self.queues.iter().map(collections::VecDeque::len).sum();
        self.in_flight + queued as u32
    }

    /// Sets the account's guaranteed share. An account that returns has no demand yet, so no share
    /// from the last tick. The guaranteed share admits its first calls at once, which would
    /// otherwise wait behind a large account.
    pub(super) fn set_guaranteed(&mut self, guaranteed_here: f64) {
        self.guaranteed_here = guaranteed_here.max(1.0);
    }

    pub(super) fn is_below_share(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.limit_here()
    }

    pub(super) fn may_burst(&self) -> bool {
        let burst_limit = self.limit_here() * BURST_FACTOR;
        self.burst_slot_ms > 0.0 && f64::from(self.in_flight) < burst_limit
    }

    pub(super) fn share_used(&self) -> f64 {
        f64::from(self.in_flight) / self.limit_here()
    }

    fn limit_here(&self) -> f64 {
        self.share_here.max(self.guaranteed_here).max(1.0)
    }

    pub(super) fn service_ms(&self) -> u64 {
        self.service_ms as u64
    }

    /// Expected wait in milliseconds behind this many of the account's requests.
    pub(super) fn wait_ms(&self, ahead: usize) -> u64 {
        ((ahead + 1) as f64 * self.service_ms.max(1.0) / self.limit_here()) as u64
    }

    pub(super) fn queued(&self, priority: admission::Priority) -> usize {
        let before = self.queues.iter().take(priority as usize + 1);
        before.map(collections::VecDeque::len).sum()
    }

    pub(super) fn ahead_of(
        &self,
        priority: admission::Priority,
        ticket: admission::Ticket,
    ) -> usize {
        let level = priority as usize;
        let above: usize = self.queues[..level].iter().map(collections::VecDeque::len).sum();
        // Tickets increase, so each queue is sorted by them.
        above + self.queues[level].partition_point(|&other| other < ticket)
    }

    pub(super) fn queue_is_empty(&self) -> bool {
        self.queues.iter().all(collections::VecDeque::is_empty)
    }

    pub(super) fn push(&mut self, priority: admission::Priority, ticket: admission::Ticket) {
        self.queues[priority as usize].push_back(ticket);
    }

    pub(super) fn first(&self) -> Option<admission::Ticket> {
        self.queues.iter().find_map(|queue| queue.front().copied())
    }

    pub(super) fn withdraw(&mut self, priority: admission::Priority, ticket: admission::Ticket) {
        let queue = &mut self.queues[priority as usize];
        if let Ok(position) = queue.binary_search(&ticket) {
            queue.remove(position);
        }
    }

    pub(super) fn ended(&mut self, service_ms: u64) {
        self.in_flight -= 1;
        self.service_ms += (service_ms as f64 - self.service_ms) / SERVICE_MEAN_CALLS;
    }

    pub(super) fn cancelled(&mut self) {
        self.in_flight -= 1;
    }

    /// Accumulates the unused part of the share, or spends it on calls beyond the share.
    pub(super) fn advance(&mut self, elapsed_ms: u64, burst_ms: u64) {
        let limit = self.limit_here();
        let unused = limit - f64::from(self.in_flight);
        let burst_max = limit * burst_ms as f64;
        self.burst_slot_ms =
            (self.burst_slot_ms + unused * elapsed_ms as f64).clamp(0.0, burst_max);
    }

    /// Whether the account can be dropped: no demand, the default weight and a full burst. Callers
    /// may use many accounts over time.
    pub(super) fn can_drop(&self, burst_ms: u64) -> bool {
        let burst_is_full = self.burst_slot_ms >= self.limit_here() * burst_ms as f64;
        self.wanted() == 0 && self.weight == 1 && burst_is_full
    }
}
