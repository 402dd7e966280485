//! What upstreams ask of this entry, and its place among all entries at each of them.

use std::net;

use ragwortdeal_core::{
    directory,
    dispatch::{entry_roster, flow_control, flow_control::rate_limit},
};

use super::Upstreams;

/// Upstreams that ask for less work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) struct FlowCounts {
    /// Those that name a rate.
    pub(in super::super) limited: u64,
    /// Those that asked for a pause that still lasts.
    pub(in super::super) paused: u64,
    /// Those that said that they leave.
    pub(in super::super) leaving: u64,
}

impl Upstreams {
    /// Records what an answer of an upstream asks. Returns the changes by it.
    pub(in super::super) fn record_signals(
        &mut self,
        instance: &directory::Text,
        answer: &flow_control::Answer,
        now_ms: u64,
    ) -> Vec<flow_control::Change> {
        let asks = answer.signals != flow_control::Signals::default();
        if !asks && !self.flow.contains_key(instance) {
            return Vec::new();
        }
        let seat = self.seat(instance);
        self.flow.entry(instance.clone()).or_default().record_answer(answer, seat, now_ms)
    }

    /// Records all entries that a voter lists.
    pub(in super::super) fn record_entries(
        &mut self,
        voter: net::Ipv4Addr,
        entries: Vec<entry_roster::EntryInfo>,
        now_ms: u64,
    ) {
        self.roster.record_all(voter, entries, now_ms);
        self.take_seats();
    }

    /// Records the entries that joined and left by the account of a voter.
    pub(in super::super) fn record_entry_changes(
        &mut self,
        voter: net::Ipv4Addr,
        joined: Vec<entry_roster::EntryInfo>,
        left: Vec<net::Ipv4Addr>,
        now_ms: u64,
    ) {
        self.roster.record_changes(voter, joined, left, now_ms);
        self.take_seats();
    }

    /// How many upstreams ask for less work now.
    pub(in super::super) fn flow_counts(&self, now_ms: u64) -> FlowCounts {
        let count = |asks: &dyn Fn(&flow_control::FlowControl) -> bool| {
            self.flow.values().filter(|flow| asks(flow)).count() as u64
        };
        FlowCounts {
            limited: count(&|flow| flow.limit_per_s().is_some()),
            paused: count(&|flow| flow.pause_left_ms(now_ms) > 0),
            leaving: count(&|flow| flow.is_leaving()),
        }
    }

    fn take_seats(&mut self) {
        let instances: Vec<_> = self.flow.keys().cloned().collect();
        for instance in instances {
            let seat = self.seat(&instance);
            if let Some(flow) = self.flow.get_mut(&instance) {
                flow.set_seat(seat);
            }
        }
    }

    fn seat(&self, instance: &str) -> rate_limit::Seat {
        let upstream = self.directory.get(instance);
        let zone = upstream.map_or("", |upstream| &upstream.announcement.zone);
        self.roster.seat(self.address, instance, zone)
    }

    /// Counts a request to an upstream when it is sent.
    pub(super) fn record_sent(&mut self, instance: &str, now_ms: u64) {
        if let Some(flow) = self.flow.get_mut(instance) {
            flow.record_sent(now_ms);
        }
    }

    /// Whether an upstream said in an answer that it leaves.
    pub(super) fn is_leaving(&self, instance: &str) -> bool {
        self.flow.get(instance).is_some_and(flow_control::FlowControl::is_leaving)
    }

    /// Whether an upstream lets this entry send a request now.
    pub(super) fn may_send(&self, instance: &str, now_ms: u64) -> bool {
        self.flow.get(instance).is_none_or(|flow| flow.may_send(now_ms))
    }

    /// Milliseconds until an upstream takes a request, from this entry or another one.
    pub(super) fn takes_work_in_ms(&self, instance: &str, now_ms: u64) -> u64 {
        self.flow.get(instance).map_or(0, |flow| flow.takes_work_in_ms(now_ms))
    }

    /// Milliseconds until the end of a pause that an upstream asked for, 0 where there is none.
    pub(in super::super) fn pause_left_ms(&self, instance: &str, now_ms: u64) -> u64 {
        self.flow.get(instance).map_or(0, |flow| flow.pause_left_ms(now_ms))
    }

    /// Requests a second that an upstream takes from all entries together, if it names them.
    pub(in super::super) fn limit_per_s(&self, instance: &str) -> Option<f64> {
        self.flow.get(instance)?.limit_per_s()
    }
}
