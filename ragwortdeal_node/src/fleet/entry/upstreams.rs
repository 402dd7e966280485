//! State of all upstreams as this entry knows it: announcements, open requests, health.

pub(super) mod selection;

use std::{collections, net, sync};

use ragwortdeal_core::{
    directory,
    dispatch::{
        backlog, choice, cutoff, forecast, gate, ramp_up, retry_budget, retry_detection, silence,
    },
    document::{self, naming},
    spread::owners,
};

use super::{health, pool};
use crate::fleet::{load_probe, notice};

/// A request without a first event is withdrawn from an engine on superseded weights so long before
/// their time is up: on a slow link it may still be on its way, and would start too late.
const START_MARGIN_MS: u64 = 500;

/// All upstreams.
pub(super) struct Upstreams {
    zone: directory::Text,
    /// Number of availability zones in the deployment.
    zones: usize,
    weights_ms: u64,
    directory: directory::Directory,
    health: collections::HashMap<directory::Text, health::Health>,
    engine_statuses: collections::HashMap<net::SocketAddrV4, notice::EngineStatus>,
    /// When each engine began to accept requests.
    accepting_since_ms: collections::HashMap<net::SocketAddrV4, u64>,
    /// Differs by entry.
    seed: u64,
    namings: naming::Namings,
    entry_counts: collections::HashMap<net::Ipv4Addr, u32>,
    retry_usage: collections::HashMap<directory::Text, retry_budget::Usage>,
    /// Admission gates of the services of engines.
    gates: collections::HashMap<directory::Text, gate::Gate>,
    /// Detects retries of callers, by route.
    retry_detectors: collections::HashMap<directory::Text, retry_detection::RetryDetector>,
    /// Number of layers of the models of each service of engines.
    layers: collections::HashMap<directory::Text, u32>,
}

impl Upstreams {
    pub(super) fn new(zone: directory::Text, zones: usize, weights_ms: u64, seed: u64) -> Self {
        Self {
            zone,
            zones,
            weights_ms,
            directory: directory::Directory::default(),
            health: collections::HashMap::new(),
            engine_statuses: collections::HashMap::new(),
            accepting_since_ms: collections::HashMap::new(),
            seed,
            namings: naming::Namings::default(),
            entry_counts: collections::HashMap::new(),
            retry_usage: collections::HashMap::new(),
            gates: collections::HashMap::new(),
            retry_detectors: collections::HashMap::new(),
            layers: collections::HashMap::new(),
        }
    }

    pub(super) fn record_announcement(
        &mut self,
        announcement: directory::Announcement,
        now_ms: u64,
    ) {
        let instance = announcement.instance.clone();
        let (standing, address, born_ms) =
            (announcement.status, announcement.address, announcement.order.born_ms);
        let held_born_ms =
            self.directory.get(&instance).map(|upstream| upstream.announcement.order.born_ms);
        if self.directory.apply_announcement(announcement, now_ms) == directory::Effect::Changed {
            log::info!("entry: upstream {instance} at {address} is {standing:?}");
        }
        if held_born_ms.is_some_and(|held_ms| held_ms < born_ms) {
            self.health.entry(instance).and_modify(|health| *health = health.after_restart());
        }
    }

    pub(super) fn record_departure(
        &mut self,
        instance: &str,
        age: Option<directory::AnnouncementOrder>,
        now_ms: u64,
    ) {
        if self.directory.apply_departure(instance, age, now_ms) == directory::Effect::Changed {
            log::info!("entry: upstream {instance} is gone");
        }
    }

    pub(super) fn record_engine_status(&mut self, status: notice::EngineStatus, now_ms: u64) {
        let newer = |held: &notice::EngineStatus| held.sequence < status.sequence;
        if !self.engine_statuses.get(&status.address).is_none_or(newer) {
            return;
        }
        if status.accepts {
            // Failures while the engine loaded tell nothing about its present state.
            let here = self.directory.all().filter(|it| it.announcement.address == status.address);
            for upstream in here {
                if let Some(health) = self.health.get_mut(&upstream.announcement.instance) {
                    health.reset_failures();
                }
            }
        }
        let address = status.address;
        let accepts = status.accepts;
        let previous = self.engine_statuses.insert(address, status);
        if accepts && !previous.is_some_and(|held| held.accepts) {
            self.accepting_since_ms.insert(address, now_ms);
        }
    }

    pub(super) fn record_namings(
        &mut self,
        voter: net::Ipv4Addr,
        namings: &[naming::Naming],
        now_ms: u64,
    ) {
        for naming in namings {
            if self.namings.is_news(naming, now_ms) {
                notice::log_naming("entry", voter, naming);
            }
            self.namings.record(naming, now_ms);
        }
    }

    /// What a voter that restarted may lack: the ages of namings, and the upstreams that are
    /// leaving or left a short time ago.
    pub(super) fn state_for_voter(
        &self,
        now_ms: u64,
    ) -> (Vec<naming::Naming>, Vec<directory::Announcement>) {
        let namings = self.namings.export_open(self.weights_ms, now_ms);
        let leaving =
            self.directory.all().filter(|it| it.announcement.status != directory::Status::Ready);
        (namings, leaving.map(|upstream| upstream.announcement.clone()).collect())
    }

    /// Forgets upstreams that left long ago, and their health.
    pub(super) fn forget_gone(&mut self, now_ms: u64) {
        for instance in self.directory.forget_gone(now_ms) {
            self.health.remove(&instance);
        }
    }

    pub(super) fn record_entry_count(&mut self, voter: net::Ipv4Addr, count: u32) {
        let held = self.entry_counts.entry(voter).or_default();
        // The count never decreases: an entry that is cut off from the voters goes on sending
        // requests.
        *held = count.max(*held);
    }

    /// Whether requests may still be sent to an upstream.
    pub(super) fn is_routable(&self, peer: &pool::Peer) -> bool {
        let upstream = self.directory.get(&peer.instance);
        upstream.is_some_and(|it| it.announcement.status != directory::Status::Gone)
    }

    /// Version that an engine serves, or none if it is loading or holds none. The status reported
    /// by the agent beside it counts if it is about the same process of the engine.
    fn version_of(&self, announcement: &directory::Announcement) -> Option<u64> {
        let layers = self.layers.get(&announcement.service).copied().unwrap_or(0);
        let whole = announcement.layers.is_none_or(|held| held.covers_all(layers));
        let announced = announcement.models.iter().filter(|_| whole).map(|held| held.version).max();
        let agent = self.engine_statuses.get(&announcement.address);
        match agent.filter(|it| it.born_ms == announcement.order.born_ms) {
            Some(agent) if !agent.accepts => None,
            Some(agent) => Some(agent.version.max(announced.unwrap_or(0))),
            None => announced,
        }
        .filter(|version| *version > 0)
    }

    /// Highest version of which the agent beside an engine holds all chunks.
    fn complete_version_at(&self, announcement: &directory::Announcement) -> u64 {
        let agent = self.engine_statuses.get(&announcement.address);
        agent
            .filter(|it| it.born_ms == announcement.order.born_ms)
            .map_or(0, |it| it.complete_version)
    }

    fn is_narrow(&self, announcement: &directory::Announcement) -> bool {
        let agent = self.engine_statuses.get(&announcement.address);
        agent.is_some_and(|it| it.born_ms == announcement.order.born_ms && it.narrow)
    }

    /// Lowest version of a model that requests may be sent to now.
    fn min_version(&self, model: &str, margin_ms: u64, now_ms: u64) -> u64 {
        self.namings.min_servable_version(model, self.weights_ms.saturating_sub(margin_ms), now_ms)
    }

    /// When the first version above this one was named.
    fn superseded_at_ms(&self, models: &[directory::Text], version: u64) -> Option<i64> {
        let superseded = |model: &directory::Text| self.namings.superseded_at_ms(model, version);
        models.iter().filter_map(superseded).min()
    }

    /// Latest time at which a request must start on weights superseded at that time.
    fn start_by_ms(&self, superseded_at_ms: i64) -> i64 {
        superseded_at_ms + self.weights_ms.saturating_sub(START_MARGIN_MS) as i64
    }

    fn candidate(
        &self,
        announcement: &directory::Announcement,
        repeatable: bool,
        superseded: bool,
        now_ms: u64,
    ) -> Option<choice::Candidate> {
        let unknown = health::Health::default();
        let health = self.health.get(&announcement.instance).unwrap_or(&unknown);
        if !health.may_take(repeatable, superseded, now_ms) {
            return None;
        }
        let place = backlog::UpstreamInfo {
            same_zone: announcement.zone == self.zone,
            slots: announcement.slots,
        };
        Some(health.candidate(&place, &self.peer_entries(), self.is_narrow(announcement), now_ms))
    }

    /// What is known of the path to an engine. `newer` is the version that it should switch to.
    fn path_knowledge(
        &self,
        announcement: &directory::Announcement,
        newer: u64,
        now_ms: u64,
    ) -> cutoff::PathKnowledge {
        let health = self.health.get(&announcement.instance);
        let confirmed = health.is_some_and(|health| health.is_confirmed(now_ms));
        cutoff::PathKnowledge {
            confirmed,
            // Answers that are late although probes are not wait at the engine.
            slow: self.is_narrow(announcement)
                || health.is_some_and(|health| health.is_slow(now_ms) && !confirmed)
                || health.is_some_and(|health| health.is_delayed(now_ms)),
            responsive: health.is_some_and(|health| health.is_responsive(now_ms)),
            has_newer_weights: newer > 0 && self.complete_version_at(announcement) >= newer,
        }
    }

    /// Lowest version that an engine must serve to get a request now.
    fn min_version_at(
        &self,
        announcement: &directory::Announcement,
        models: &[directory::Text],
        now_ms: u64,
    ) -> u64 {
        let lowest = |margin_ms: u64| {
            let versions = models.iter().map(|model| self.min_version(model, margin_ms, now_ms));
            versions.max().unwrap_or(0)
        };
        let newer = lowest(cutoff::margin_ms(cutoff::PathKnowledge::default()));
        lowest(cutoff::margin_ms(self.path_knowledge(announcement, newer, now_ms)))
    }

    /// Whole answers that are due from the upstreams with open requests of plain services.
    fn whole_answers(
        &self,
        check_interval_ms: u64,
    ) -> collections::HashMap<directory::Text, health::WholeAnswers> {
        let is_busy = |instance: &str| self.health.get(instance).is_some_and(|it| it.open() > 0);
        let announcements = self.directory.all().map(|upstream| &upstream.announcement);
        let plain: Vec<_> =
            announcements.filter(|it| !self.layers.contains_key(&it.service)).collect();
        let takes_work = |other: &directory::Announcement| {
            let silent = self.health.get(&other.instance).is_some_and(health::Health::is_silent);
            other.status == directory::Status::Ready && !silent
        };
        let busy = plain.iter().filter(|it| is_busy(&it.instance));
        busy.map(|it| {
            let others = plain
                .iter()
                .filter(|other| other.service == it.service && other.instance != it.instance);
            let has_alternative = others.into_iter().any(|other| takes_work(other));
            let answers = health::WholeAnswers { check_interval_ms, has_alternative };
            (it.instance.clone(), answers)
        })
        .collect()
    }

    /// Checks all upstreams for those that fell silent or recovered, once in `interval_ms`.
    pub(super) fn check_progress(&mut self, interval_ms: u64, now_ms: u64) {
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
            let Some(change) =
                health.check_progress(others_spoke, answers.get(instance).copied(), now_ms)
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
    pub(super) fn probe_targets(
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
    pub(super) fn record_probe_reply(
        &mut self,
        address: net::Ipv4Addr,
        reply: &load_probe::Reply,
        now_ms: u64,
    ) {
        let there = self.directory.all().filter(|it| *it.announcement.address.ip() == address);
        let there = there.filter(|it| it.announcement.status != directory::Status::Gone);
        for upstream in there {
            if let Some(health) = self.health.get_mut(&upstream.announcement.instance) {
                health.record_probe_reply(reply, now_ms);
            }
        }
    }

    /// Records a request as open at an upstream.
    fn open_request(
        &mut self,
        instance: &directory::Text,
        reading_ms: f64,
    ) -> sync::Arc<health::Activity> {
        let health = self.health.entry(instance.clone()).or_default();
        health.backlog_mut().open_request(reading_ms);
        health.activity()
    }

    fn prefill_done(&mut self, instance: &str, reading_ms: f64) {
        if let Some(health) = self.health.get_mut(instance) {
            health.backlog_mut().prefill_done(reading_ms);
        }
    }

    fn close_request(&mut self, instance: &str) {
        if let Some(health) = self.health.get_mut(instance) {
            health.backlog_mut().close_request();
        }
    }

    /// Records an answer of an upstream.
    pub(super) fn record_answer(
        &mut self,
        instance: &str,
        answer: &health::AnswerReport,
        now_ms: u64,
    ) {
        if let Some(health) = self.health.get_mut(instance) {
            health.record_answer(answer, now_ms);
        }
        let service = self.directory.get(instance).map(|upstream| &upstream.announcement.service);
        let gate = service.and_then(|service| self.gates.get_mut(service));
        if let (Some(gate), Some(forecast_ms)) = (gate, answer.forecast_ms) {
            gate.record_first_event(forecast_ms, answer.took_ms as f64, now_ms);
        }
    }

    /// Records a failure of an upstream.
    pub(super) fn record_failure(&mut self, instance: &directory::Text, now_ms: u64) {
        self.health.entry(instance.clone()).or_default().record_failure(now_ms);
    }

    /// Records that an upstream shed a request because it is full.
    pub(super) fn record_shed(&mut self, instance: &str, now_ms: u64) {
        let slots = self.directory.get(instance).map_or(0, |upstream| upstream.announcement.slots);
        if let Some(health) = self.health.get_mut(instance) {
            health.backlog_mut().record_shed(slots, now_ms);
        }
    }

    /// Records that another upstream answers at the address.
    pub(super) fn record_displaced(&mut self, instance: &str, now_ms: u64) {
        self.directory.apply_departure(instance, None, now_ms);
    }

    /// Number of running entries, including this one.
    fn entry_count(&self) -> u32 {
        self.entry_counts.values().copied().max().unwrap_or(1).max(1)
    }

    /// Whether an engine has just come back and other entries are to use it first.
    fn is_ramping_up(
        &self,
        announcement: &directory::Announcement,
        latency_model: &forecast::LatencyModel,
        now_ms: u64,
    ) -> bool {
        let Some(since_ms) = self.accepting_since_ms.get(&announcement.address) else {
            return false;
        };
        let peers = self.peer_entries();
        let entries = ramp_up::Entries {
            same_zone: peers.same_zone + 1.0,
            all: f64::from(self.entry_count()),
        };
        let same_zone = announcement.zone == self.zone;
        let engine = u64::from(u32::from(*announcement.address.ip()));
        let seed = owners::mix(self.seed ^ engine) ^ since_ms;
        let delay_ms =
            ramp_up::delay_ms(&entries, latency_model.mean_prefill_ms(), same_zone, seed);
        (now_ms.saturating_sub(*since_ms) as f64) < delay_ms
    }

    /// The other entries, assumed to be evenly spread over all zones.
    fn peer_entries(&self) -> backlog::PeerEntries {
        let entries = f64::from(self.entry_count());
        let near = (entries / self.zones.max(1) as f64 - 1.0).max(0.0);
        backlog::PeerEntries { same_zone: near, all: entries - 1.0 }
    }

    /// Takes the services' properties from a document, and forgets routes and services that it no
    /// longer names.
    pub(super) fn retain(&mut self, document: &document::Document) {
        let has_route = |name: &directory::Text| document.routes.iter().any(|it| it.name == *name);
        self.retry_detectors.retain(|name, _| has_route(name));
        self.gates.retain(|name, _| document.service(name).is_some());
        let layers = |it: &document::Service| Some((it.name.clone(), it.engine.as_ref()?.layers));
        self.layers = document.services.iter().filter_map(layers).collect();
    }

    /// Remaining time of a caller of a route that waits for so long.
    pub(super) fn remaining_time(
        &mut self,
        route: &directory::Text,
        left_ms: u64,
        now_ms: u64,
    ) -> retry_detection::RemainingTime {
        self.retry_detectors.entry(route.clone()).or_default().observe(left_ms, now_ms)
    }

    /// Counts a first attempt at a service against the retry budget.
    pub(super) fn record_first_attempt(
        &mut self,
        service: &directory::Text,
        budget: &retry_budget::Budget,
        now_ms: u64,
    ) {
        self.retry_usage.entry(service.clone()).or_default().record_first_attempt(budget, now_ms);
    }

    /// Whether the retry budget allows one more attempt at a service.
    pub(super) fn try_retry(
        &mut self,
        service: &directory::Text,
        budget: &retry_budget::Budget,
        now_ms: u64,
    ) -> bool {
        // One more than are known, for an entry that has just started.
        let entries = self.entry_count() as usize + 1;
        self.retry_usage.entry(service.clone()).or_default().try_retry(budget, entries, now_ms)
    }
}
