//! The work queued at one upstream, as one entry estimates it.
//!
//! Requests of this entry are counted. Those of other entries are estimated from the upstream's
//! last load report. What neither covers shows up as first events that come later than forecast.

use super::{choice, forecast, pace, peer_load};

/// Assumed prefill time of a prompt of another entry, whose length is not reported: about 1,000
/// tokens at 30 tokens per millisecond.
const PEER_PREFILL_MS: f64 = 35.0;

/// Load assumed for an upstream that refuses work, as a multiple of its slots. It is above the load
/// at which requests are offered.
const SHED_SLOTS: f64 = 2.0;

/// Work at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    open: u32,
    /// Requests of this entry that have no first event yet.
    unstarted: u32,
    /// Prefill time of the prompts of those requests, in milliseconds.
    prefill_ms: f64,
    /// When the earliest first event of those requests is forecast.
    first_event_due_ms: u64,
    /// Requests of other entries.
    peers: peer_load::PeerLoad,
    excess: forecast::ExcessDelay,
}

/// Zone and capacity of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamInfo {
    /// Whether it is in this entry's availability zone.
    pub same_zone: bool,
    /// Requests it processes concurrently, as it announced.
    pub slots: u32,
}

/// Number of other entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerEntries {
    /// Entries in this entry's availability zone, which select among the same engines.
    pub same_zone: f64,
    /// All other entries.
    pub all: f64,
}

impl Backlog {
    /// The backlog after a restart of the upstream. Only the number of open requests carries over.
    pub fn after_restart(&self) -> Self {
        Self { open: self.open, ..Self::default() }
    }

    /// Open requests of this entry.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Whether any request of this entry has had its first event.
    pub fn has_started(&self) -> bool {
        self.open > self.unstarted
    }

    /// Whether a prompt of this entry is still waiting for its prefill, and its first event was
    /// forecast to have come. An engine may read prompts of other entries before.
    pub fn is_first_event_due(&self, now_ms: u64) -> bool {
        self.unstarted > 0 && self.prefill_ms > 0.0 && now_ms >= self.first_event_due_ms
    }

    /// Records when the first event of the request is forecast that was opened last.
    pub fn expect_first_event(&mut self, at_ms: u64) {
        self.first_event_due_ms = match self.unstarted {
            0 | 1 => at_ms,
            _ => at_ms.min(self.first_event_due_ms),
        };
    }

    /// Records a request as sent. `prefill_ms` is the prefill time of its prompt.
    pub fn open_request(&mut self, prefill_ms: f64) {
        self.open += 1;
        self.unstarted += 1;
        self.prefill_ms += prefill_ms;
    }

    /// Records the end of a prompt's prefill.
    pub fn prefill_done(&mut self, prefill_ms: f64) {
        self.unstarted = self.unstarted.saturating_sub(1);
        self.prefill_ms = (self.prefill_ms - prefill_ms).max(0.0);
    }

    /// Records a request as ended.
    pub fn close_request(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records the forecast and the measured time to a first event.
    pub fn record_first_event(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.excess.record(forecast_ms, took_ms, now_ms);
    }

    /// Records the upstream's total load, as it reported.
    pub fn record_report(&mut self, all: peer_load::RequestCounts, now_ms: u64) {
        self.peers.record_report(all, self.own(), now_ms);
    }

    /// Records a refusal by the upstream. Its load is assumed from the slots that it announced.
    pub fn record_shed(&mut self, slots: u32, now_ms: u64) {
        let all = peer_load::RequestCounts { open: f64::from(slots) * SHED_SLOTS, unstarted: 0.0 };
        self.peers.record_report(all, peer_load::RequestCounts::default(), now_ms);
    }

    /// The upstream as a candidate for selection.
    ///
    /// Without a recent report, every other entry is assumed to send as much as this one does: when
    /// a deployment comes back, all entries see all engines idle at the same time.
    pub fn candidate(
        &self,
        upstream: &UpstreamInfo,
        entries: &PeerEntries,
        now_ms: u64,
    ) -> choice::Candidate {
        let similar_entries = match self.peers.is_recent(now_ms) {
            true if upstream.same_zone => entries.same_zone,
            true => 0.0,
            false => entries.all,
        };
        let peers = self.peers.estimate(self.own(), similar_entries, now_ms);
        choice::Candidate {
            open: self.open,
            peer_open: peers.open,
            slots: upstream.slots,
            same_zone: upstream.same_zone,
            failure_rate: 0.0,
            prefill_ms: self.prefill_ms,
            peer_prefill_ms: peers.unstarted * PEER_PREFILL_MS,
            pace: pace::Expected::default(),
            excess_delay_ms: self.excess.current_ms(now_ms),
            start_within_ms: None,
            ramping_up: false,
        }
    }

    fn own(&self) -> peer_load::RequestCounts {
        peer_load::RequestCounts {
            open: f64::from(self.open),
            unstarted: f64::from(self.unstarted),
        }
    }
}
