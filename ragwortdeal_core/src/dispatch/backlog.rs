//! The work that one upstream has, as one entry knows it.
//!
//! What the entry sent itself is counted; what others sent is estimated from the upstream's last
//! word; what neither tells shows in first events that come later than forecast.

use super::{choice, forecast, peer_load};

/// Milliseconds that a prompt of another entry is taken to need where nothing else is known of it:
/// some thousand tokens at thirty a millisecond.
const UNREAD_USUAL_MS: f64 = 35.0;

/// Load of an upstream that refuses work, as a multiple of its slots: more than it is offered at.
const SHED_SLOTS: f64 = 2.0;

/// Work at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    open: u32,
    /// Requests of this entry that have no first event yet.
    unstarted: u32,
    /// Milliseconds of prompts that it has to read before their first event.
    prefill_ms: f64,
    /// Requests of others.
    peers: peer_load::PeerLoad,
    excess: forecast::ExcessDelay,
}

/// Where an upstream stands, and how many requests it works on together.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamInfo {
    /// Whether in this entry's availability zone.
    pub same_zone: bool,
    /// By its own word.
    pub slots: u32,
}

/// Other entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerEntries {
    /// Those of this entry's availability zone, which send to its engines as this one does.
    pub same_zone: f64,
    /// All.
    pub all: f64,
}

impl Backlog {
    /// The backlog at a new life of the upstream: of the life before only what is still open counts.
    pub fn after_restart(&self) -> Self {
        Self { open: self.open, ..Self::default() }
    }

    /// Requests of this entry that are open there.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Whether it has begun on a request of this entry.
    pub fn has_started(&self) -> bool {
        self.open > self.unstarted
    }

    /// Whether it has a prompt of this entry to read.
    pub fn has_pending_prefill(&self) -> bool {
        self.unstarted > 0 && self.prefill_ms > 0.0
    }

    /// Notes a request as open, with a prompt to be read.
    pub fn open_request(&mut self, prefill_ms: f64) {
        self.open += 1;
        self.unstarted += 1;
        self.prefill_ms += prefill_ms;
    }

    /// Notes a prompt as read.
    pub fn prefill_done(&mut self, prefill_ms: f64) {
        self.unstarted = self.unstarted.saturating_sub(1);
        self.prefill_ms = (self.prefill_ms - prefill_ms).max(0.0);
    }

    /// Notes a request as ended.
    pub fn close_request(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Takes a first event that was forecast for one time and took another.
    pub fn record_first_event(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.excess.record(forecast_ms, took_ms, now_ms);
    }

    /// Takes what the upstream says that it has in all.
    pub fn record_report(&mut self, all: peer_load::RequestCounts, now_ms: u64) {
        self.peers.record_report(all, self.own(), now_ms);
    }

    /// Notes that it refused work, by the slots that it announced itself.
    pub fn record_shed(&mut self, slots: u32, now_ms: u64) {
        let all = peer_load::RequestCounts { open: f64::from(slots) * SHED_SLOTS, unstarted: 0.0 };
        self.peers.record_report(all, peer_load::RequestCounts::default(), now_ms);
    }

    /// The upstream as the choice sees it. Nobody knows more of one that has said nothing of late, so
    /// all others are taken to send there as this entry does: when a deployment comes back, each
    /// entry sees all engines idle.
    pub fn candidate(
        &self,
        place: &UpstreamInfo,
        others: &PeerEntries,
        now_ms: u64,
    ) -> choice::Candidate {
        let alike = match self.peers.is_recent(now_ms) {
            true if place.same_zone => others.same_zone,
            true => 0.0,
            false => others.all,
        };
        let peers = self.peers.estimate(self.own(), alike, now_ms);
        choice::Candidate {
            open: self.open,
            peer_open: peers.open,
            slots: place.slots,
            same_zone: place.same_zone,
            failure_rate: 0.0,
            prefill_ms: self.prefill_ms,
            peer_prefill_ms: peers.unstarted * UNREAD_USUAL_MS,
            excess_delay_ms: self.excess.current_ms(now_ms),
        }
    }

    fn own(&self) -> peer_load::RequestCounts {
        peer_load::RequestCounts {
            open: f64::from(self.open),
            unstarted: f64::from(self.unstarted),
        }
    }
}
