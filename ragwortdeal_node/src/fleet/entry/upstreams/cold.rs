//! Upstreams that count as cold, by announcements and by what this entry sees of them.

use std::collections;

use ragwortdeal_core::{
    directory,
    dispatch::flow_control::{self, cold, cold_changes},
    document,
};

use super::Upstreams;
use crate::settings;

/// Time after the first list of upstreams within which an upstream that has started is believed to
/// be warm if it says so. Upstreams that start together with the entries are.
const START_TOGETHER_MS: u64 = 10_000;

/// How many checks in a row must find a path cut before its upstream counts as unreachable. After
/// this process itself was suspended, one check may come before the replies that arrived meanwhile.
const CUT_CHECKS: u32 = 3;

/// What the document and the settings tell of cold upstreams.
pub(in super::super) struct ColdStarts {
    overrun: f64,
    slack: f64,
    by_service: collections::HashMap<directory::Text, document::ColdStart>,
    /// When a voter first listed the upstreams.
    listed_at_ms: Option<u64>,
    /// Checks in a row that found the path to an upstream cut.
    cut_checks: collections::HashMap<directory::Text, u32>,
}

impl ColdStarts {
    /// No bound on any service, as before the first document.
    pub(in super::super) fn new(bounds: &settings::fleet::Bounds) -> Self {
        Self {
            overrun: bounds.cold_overrun,
            slack: bounds.cold_slack,
            by_service: collections::HashMap::new(),
            listed_at_ms: None,
            cut_checks: collections::HashMap::new(),
        }
    }

    fn bound(&self, service: &str) -> Option<cold::Bound> {
        self.by_service.get(service).map(|cold_start| cold::Bound {
            cold_ms: cold_start.cold_ms,
            requests_per_s: cold_start.requests_per_s,
            overrun: self.overrun,
            slack: self.slack,
        })
    }

    /// Whether upstreams that start now do not start together with the entries.
    fn is_running(&self, now_ms: u64) -> bool {
        self.listed_at_ms.is_some_and(|at_ms| now_ms > at_ms + START_TOGETHER_MS)
    }
}

impl Upstreams {
    /// Records that an upstream cannot be reached.
    pub(in super::super) fn record_unreachable(&mut self, instance: &directory::Text, now_ms: u64) {
        self.record_cold(instance, cold_changes::Evidence::Unreachable, now_ms);
    }

    /// Takes from an answer that its upstream stays cold. That one is warm is told by announcements
    /// alone: an answer may be older than a restart.
    pub(in super::super) fn record_cold_answer(
        &mut self,
        instance: &directory::Text,
        remaining_ms: u64,
        now_ms: u64,
    ) {
        if remaining_ms > 0 {
            self.record_cold(instance, cold_changes::Evidence::Announced { remaining_ms }, now_ms);
        }
    }

    /// Records that a voter has listed the upstreams.
    pub(in super::super) fn record_upstreams_listed(&mut self, now_ms: u64) {
        self.cold_starts.listed_at_ms.get_or_insert(now_ms);
    }

    /// Upstreams of which a fresh announcement is wanted, because they may be warm.
    pub(in super::super) fn awaited(&self, now_ms: u64) -> Vec<directory::Text> {
        let awaited = self.flow.iter().filter(|(_, flow)| flow.wants_announcement(now_ms));
        awaited.map(|(instance, _)| instance.clone()).collect()
    }

    /// Ends the state of cold upstreams whose time is over.
    pub(in super::super) fn end_cold(&mut self, now_ms: u64) {
        for (instance, flow) in &mut self.flow {
            log_change(instance, flow.end_cold(now_ms));
        }
    }

    /// Takes an announcement that the directory holds. `held_born_ms` is the start of the upstream
    /// as it was known before.
    pub(super) fn record_announced(
        &mut self,
        instance: &directory::Text,
        held_born_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.take_rate_of_announced(instance, now_ms);
        let Some(upstream) = self.directory.get(instance) else { return };
        let remaining_ms = upstream.announcement.cold_remaining_ms;
        let born_ms = upstream.announcement.order.born_ms;
        let has_started = match held_born_ms {
            Some(held_ms) => held_ms < born_ms,
            None => self.cold_starts.is_running(now_ms),
        };
        let evidence = match remaining_ms {
            0 if has_started => cold_changes::Evidence::Started,
            _ => cold_changes::Evidence::Announced { remaining_ms },
        };
        self.record_cold(instance, evidence, now_ms);
    }

    /// Counts upstreams as unreachable whose paths are cut by probes. That the path is clear again
    /// shows nothing: the agent that answers probes may run before its engine.
    pub(super) fn check_reach(&mut self, now_ms: u64) {
        if self.cold_starts.by_service.is_empty() {
            return;
        }
        let mut unreachable = Vec::new();
        for (instance, health) in &self.health {
            if !health.is_cut(now_ms) {
                self.cold_starts.cut_checks.remove(instance);
                continue;
            }
            let checks = self.cold_starts.cut_checks.entry(instance.clone()).or_default();
            *checks = checks.saturating_add(1);
            if *checks == CUT_CHECKS {
                unreachable.push(instance.clone());
            }
        }
        unreachable.iter().for_each(|instance| self.record_unreachable(instance, now_ms));
    }

    /// Takes the bounds of services from a document, also for upstreams that announced themselves
    /// before.
    pub(super) fn set_cold_starts(&mut self, document: &document::Document, now_ms: u64) {
        let bounds =
            document.services.iter().filter_map(|it| Some((it.name.clone(), it.cold_start?)));
        self.cold_starts.by_service = bounds.collect();
        for upstream in self.directory.all() {
            let announcement = &upstream.announcement;
            let bound = self.cold_starts.bound(&announcement.service);
            if let Some(flow) = self.flow.get_mut(&announcement.instance) {
                log_change(&announcement.instance, flow.set_cold_bound(bound, now_ms));
            }
        }
        for (instance, remaining_ms) in self.announced_cold(now_ms) {
            let is_cold = self.flow.get(&instance).is_some_and(|flow| flow.is_cold(now_ms));
            if !is_cold {
                let announced = cold_changes::Evidence::Announced { remaining_ms };
                self.record_cold(&instance, announced, now_ms);
            }
        }
    }

    /// Upstreams whose announcement says that they are still cold, and for how many milliseconds.
    fn announced_cold(&self, now_ms: u64) -> Vec<(directory::Text, u64)> {
        let left = |upstream: &directory::Upstream| {
            let until_ms = upstream.last_heard_ms + upstream.announcement.cold_remaining_ms;
            let left_ms = until_ms.saturating_sub(now_ms);
            (left_ms > 0).then(|| (upstream.announcement.instance.clone(), left_ms))
        };
        self.directory.all().filter_map(left).collect()
    }

    pub(super) fn record_cold(
        &mut self,
        instance: &directory::Text,
        evidence: cold_changes::Evidence,
        now_ms: u64,
    ) {
        let service = self.directory.get(instance).map(|it| &it.announcement.service);
        let Some(bound) = service.and_then(|it| self.cold_starts.bound(it)) else { return };
        let begins = !matches!(
            evidence,
            cold_changes::Evidence::Reached { .. }
                | cold_changes::Evidence::Announced { remaining_ms: 0 }
        );
        if !begins && !self.flow.contains_key(instance) {
            return;
        }
        let place = self.place(instance);
        let flow = self.flow.entry(instance.clone()).or_default();
        log_change(instance, flow.record_cold(evidence, bound, place, now_ms));
    }
}

fn log_change(instance: &str, change: Option<flow_control::Change>) {
    match change {
        Some(flow_control::Change::ColdBegan { remaining_ms, reason }) => log::info!(
            upstream = instance, cold_remaining_ms = remaining_ms, reason = reason.as_str();
            "entry: an upstream counts as cold"
        ),
        Some(flow_control::Change::ColdEnded { reason }) => log::info!(
            upstream = instance, cold_remaining_ms = 0, reason = reason.as_str();
            "entry: an upstream no longer counts as cold"
        ),
        _ => (),
    }
}
