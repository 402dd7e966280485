//! Probes to the agents beside engines, and the detection of upstreams that fell silent.

use std::{collections, net};

use ragwortdeal_core::{
    directory,
    dispatch::{pace, silence},
};

use super::{super::health, Upstreams};
use crate::fleet::load_probe;

impl Upstreams {
    /// Whole answers that are due from the upstreams with open requests of plain services.
    fn whole_answers(
        &self,
        check_interval_ms: u64,
    ) -> collections::HashMap<directory::Text, health::WholeAnswers> {
        let is_busy = |instance: &str| self.health.get(instance).is_some_and(|it| it.open() > 0);
        let announcements = self.directory.all().map(|upstream| &upstream.announcement);
        let plain: Vec<_> =
            announcements.filter(|it| !self.layers.contains_key(&it.service)).collect();
        let busy = plain.iter().filter(|it| is_busy(&it.instance));
        busy.map(|it| {
            let has_alternative = self.has_alternative(&it.service, &it.instance);
            let answers = health::WholeAnswers { check_interval_ms, has_alternative };
            (it.instance.clone(), answers)
        })
        .collect()
    }

    /// Checks all upstreams for those that fell silent or recovered, once in `interval_ms`.
    pub(in super::super) fn check_progress(&mut self, interval_ms: u64, now_ms: u64) {
        self.check_reach(now_ms);
        let answers = self.whole_answers(interval_ms);
        let active = self.health.values().filter(|health| health.was_active()).count();
        for (instance, health) in &mut self.health {
            if let Some(path) = health.check_path(now_ms) {
                log::info!(
                    upstream = &**instance, state:? = path.state, blocked = path.blocked,
                    round_trip_ms = path.round_trip_ms, open = health.open();
                    "entry: the path to an upstream changed"
                );
            }
            let others_spoke = active > usize::from(health.was_active());
            let service = self.directory.get(instance).map(|it| &it.announcement.service);
            let service_pace = service.and_then(|service| self.paces.get(service));
            let service_pace = service_pace.copied().unwrap_or_default();
            let due = answers.get(instance).copied();
            let Some(change) = health.check_progress(others_spoke, due, &service_pace, now_ms)
            else {
                continue;
            };
            let message = match change {
                silence::Change::Silent => "has gone quiet",
                silence::Change::Recovered => "is heard again",
            };
            log::info!(upstream = &**instance, open = health.open(); "entry: upstream {message}");
        }
    }

    /// Addresses of the instances with engines that are to be probed now. Engines in other zones
    /// that get no requests from here are included only if `all` is set, or while weights change.
    pub(in super::super) fn probe_targets(
        &mut self,
        is_engine: impl Fn(&str) -> bool,
        all: bool,
        now_ms: u64,
    ) -> Vec<net::Ipv4Addr> {
        let mut addresses = Vec::new();
        let namings = self.namings.export_open(self.weights_ms, now_ms);
        let all = all || namings.iter().any(|naming| naming.age_ms < self.weights_ms);
        for upstream in self.directory.all() {
            let announcement = &upstream.announcement;
            if announcement.status == directory::Status::Gone || !is_engine(&announcement.service) {
                continue;
            }
            let health = self.health.entry(announcement.instance.clone()).or_default();
            if all || announcement.zone == self.zone || health.open() > 0 {
                health.record_probe_sent(now_ms);
                addresses.push(*announcement.address.ip());
            }
        }
        addresses
    }

    /// Records a reply of the agent on an instance.
    pub(in super::super) fn record_probe_reply(
        &mut self,
        address: net::Ipv4Addr,
        reply: &load_probe::Reply,
        pace: Option<pace::Factor>,
        now_ms: u64,
    ) {
        let there = self.directory.all().filter(|it| *it.announcement.address.ip() == address);
        let there = there.filter(|it| it.announcement.status != directory::Status::Gone);
        for upstream in there {
            if let Some(health) = self.health.get_mut(&upstream.announcement.instance) {
                let service = upstream.announcement.service.clone();
                let service_pace = self.paces.entry(service).or_default();
                health.record_probe_reply(reply, pace, service_pace, now_ms);
            }
        }
    }
}
