//! What upstreams ask of this entry, and its place among all entries at each of them.

use std::net;

use ragwortdeal_core::{
    directory,
    dispatch::{
        entry_roster,
        flow_control::{self, cold_changes, share},
    },
};

use super::Upstreams;
use crate::fleet::notice;

/// Upstreams that ask for less work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) struct FlowCounts {
    /// Those that name a rate.
    pub(in super::super) limited: u64,
    /// Those that asked for a pause that still lasts.
    pub(in super::super) paused: u64,
    /// Those that said that they leave.
    pub(in super::super) leaving: u64,
    /// Those that count as cold.
    pub(in super::super) cold: u64,
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
        let place = self.place(instance);
        self.flow.entry(instance.clone()).or_default().record_answer(answer, place, now_ms)
    }

    /// Records all entries that a voter lists.
    pub(in super::super) fn record_entries(
        &mut self,
        voter: net::Ipv4Addr,
        entries: Vec<entry_roster::EntryInfo>,
        now_ms: u64,
    ) {
        self.roster.record_all(voter, entries, now_ms);
        self.take_places(now_ms);
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
        self.take_places(now_ms);
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
            cold: count(&|flow| flow.is_cold(now_ms)),
        }
    }

    fn take_places(&mut self, now_ms: u64) {
        let instances: Vec<_> = self.flow.keys().cloned().collect();
        for instance in instances {
            let place = self.place(&instance);
            if let Some(flow) = self.flow.get_mut(&instance) {
                flow.set_place(place, now_ms);
            }
        }
    }

    pub(super) fn place(&self, instance: &str) -> share::Place {
        let upstream = self.directory.get(instance);
        let zone = upstream.map_or("", |upstream| &upstream.announcement.zone);
        self.roster.place(self.address, instance, zone)
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

    /// The rates that upstreams name.
    pub(in super::super) fn named_rates(&self) -> Vec<notice::NamedRate> {
        let named = self.flow.iter().filter(|(_, flow)| flow.limit_per_s().is_some());
        named.map(|(instance, _)| self.named_rate(instance)).collect()
    }

    /// The rate that an upstream names, or that it names none.
    pub(in super::super) fn named_rate(&self, instance: &directory::Text) -> notice::NamedRate {
        notice::NamedRate {
            instance: instance.clone(),
            born_ms: self.boot(instance).born_ms,
            per_s: self.limit_per_s(instance),
        }
    }

    /// Takes the rates that upstreams named to other entries. Voters tell them before the upstreams.
    pub(in super::super) fn record_named_rates(
        &mut self,
        rates: Vec<notice::NamedRate>,
        now_ms: u64,
    ) {
        for rate in rates {
            match self.directory.get(&rate.instance) {
                Some(_) => self.take_named_rate(&rate, now_ms),
                None => self.keep_for_later(rate),
            }
        }
    }

    fn keep_for_later(&mut self, rate: notice::NamedRate) {
        self.rates_of_unknown.retain(|held| held.instance != rate.instance);
        if self.rates_of_unknown.len() < directory::UPSTREAMS_MAX {
            self.rates_of_unknown.push(rate);
        }
    }

    /// Takes the rate of an upstream that has just announced itself, if one is known.
    pub(super) fn take_rate_of_announced(&mut self, instance: &str, now_ms: u64) {
        let known = self.rates_of_unknown.iter().position(|rate| *rate.instance == *instance);
        if let Some(index) = known {
            let rate = self.rates_of_unknown.swap_remove(index);
            self.take_named_rate(&rate, now_ms);
        }
    }

    fn take_named_rate(&mut self, rate: &notice::NamedRate, now_ms: u64) {
        let is_current = self.boot(&rate.instance).born_ms == rate.born_ms;
        let Some(per_s) = rate.per_s.filter(|per_s| is_current && *per_s >= 0.0) else {
            return;
        };
        let place = self.place(&rate.instance);
        let flow = self.flow.entry(rate.instance.clone()).or_default();
        if flow.record_rate_of_others(per_s, place, now_ms) {
            log::info!(
                upstream = &*rate.instance, limit_per_s = per_s;
                "entry: an upstream named a rate limit to other entries"
            );
        }
    }

    /// Counts all upstreams of an availability zone as cold, because its evacuation has ended.
    pub(in super::super) fn assume_cold_in_zone(&mut self, zone: &str, now_ms: u64) {
        let there = self.directory.all().map(|upstream| &upstream.announcement);
        let there = there.filter(|it| *it.zone == *zone && it.status != directory::Status::Gone);
        let instances: Vec<_> = there.map(|it| it.instance.clone()).collect();
        for instance in instances {
            self.record_cold(&instance, cold_changes::Evidence::EvacuationEnded, now_ms);
        }
    }
}
