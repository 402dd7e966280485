//! State of all upstreams as this entry knows it: announcements, open requests, health.

pub(super) mod cold;
mod evacuations;
mod flow;
mod probing;
pub(super) mod selection;
mod weights;

use std::{collections, net, sync};

use ragwortdeal_core::{
    directory,
    dispatch::{
        backlog, choice, entry_roster, flow_control, forecast, gate, isolation::evidence, pace,
        ramp_up, retry_budget,
    },
    document::{self, evacuation, naming},
    spread::owners,
};

use super::{health, pool};
use crate::fleet::notice;

/// Region of each availability zone.
pub(super) type Regions = collections::HashMap<directory::Text, directory::Text>;

/// All upstreams.
pub(super) struct Upstreams {
    /// Address of this entry.
    address: net::Ipv4Addr,
    zone: directory::Text,
    /// All availability zones of the deployment.
    regions: Regions,
    weights_ms: u64,
    directory: directory::Directory,
    health: collections::HashMap<directory::Text, health::Health>,
    /// What the upstreams ask that asked for something.
    flow: collections::HashMap<directory::Text, flow_control::FlowControl>,
    cold_starts: cold::ColdStarts,
    /// Rates of upstreams that have not announced themselves to this entry yet.
    rates_of_unknown: Vec<notice::NamedRate>,
    engine_statuses: collections::HashMap<net::SocketAddrV4, notice::EngineStatus>,
    /// When each engine began to accept requests.
    accepting_since_ms: collections::HashMap<net::SocketAddrV4, u64>,
    /// Differs by entry.
    seed: u64,
    namings: naming::Namings,
    roster: entry_roster::EntryRoster,
    entry_counts: collections::HashMap<net::Ipv4Addr, u32>,
    /// Highest number of entries in the voters' log, 0 before it is known.
    entries_recorded: u32,
    retry_usage: collections::HashMap<directory::Text, retry_budget::Usage>,
    /// Admission gates of the services of engines.
    gates: collections::HashMap<directory::Text, gate::Gate>,
    /// Mean paces of the services whose upstreams answered.
    paces: collections::HashMap<directory::Text, pace::ServiceMean>,
    /// Number of layers of the models of each service of engines.
    layers: collections::HashMap<directory::Text, u32>,
    /// Availability zones to which nothing more is sent.
    evacuations: evacuation::Evacuations,
}

impl Upstreams {
    pub(super) fn new(
        address: net::Ipv4Addr,
        zone: directory::Text,
        regions: Regions,
        weights_ms: u64,
        seed: u64,
        cold_starts: cold::ColdStarts,
    ) -> Self {
        Self {
            address,
            zone,
            regions,
            weights_ms,
            directory: directory::Directory::default(),
            health: collections::HashMap::new(),
            flow: collections::HashMap::new(),
            cold_starts,
            rates_of_unknown: Vec::new(),
            engine_statuses: collections::HashMap::new(),
            accepting_since_ms: collections::HashMap::new(),
            seed,
            namings: naming::Namings::default(),
            roster: entry_roster::EntryRoster::default(),
            entry_counts: collections::HashMap::new(),
            entries_recorded: 0,
            retry_usage: collections::HashMap::new(),
            gates: collections::HashMap::new(),
            paces: collections::HashMap::new(),
            layers: collections::HashMap::new(),
            evacuations: evacuation::Evacuations::default(),
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
        let effect = self.directory.apply_announcement(announcement, now_ms);
        if effect == directory::Effect::Changed {
            log::info!("entry: upstream {instance} at {address} is {standing:?}");
        }
        if held_born_ms.is_some_and(|held_ms| held_ms < born_ms) {
            self.flow.remove(&instance);
            self.health
                .entry(instance.clone())
                .and_modify(|health| *health = health.after_restart());
        }
        if effect != directory::Effect::Stale {
            self.record_announced(&instance, held_born_ms, now_ms);
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
            self.flow.remove(&instance);
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
        let service_pace = self.paces.get(&announcement.service).copied().unwrap_or_default();
        let narrow = self.is_narrow(announcement);
        Some(health.candidate(&place, &self.peer_entries(), narrow, &service_pace, now_ms))
    }

    /// Records a request as open at an upstream.
    fn open_request(
        &mut self,
        instance: &directory::Text,
        reading_ms: f64,
        first_event_at_ms: u64,
    ) -> sync::Arc<health::Activity> {
        let health = self.health.entry(instance.clone()).or_default();
        health.backlog_mut().open_request(reading_ms);
        health.backlog_mut().expect_first_event(first_event_at_ms);
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
        let service = self.directory.get(instance).map(|upstream| &upstream.announcement.service);
        if let Some(health) = self.health.get_mut(instance) {
            let mut unlisted = pace::ServiceMean::default();
            let service_pace = match service {
                Some(service) => self.paces.entry(service.clone()).or_default(),
                None => &mut unlisted,
            };
            health.record_answer(answer, service_pace, now_ms);
        }
        let gate = service.and_then(|service| self.gates.get_mut(service));
        if let (Some(gate), Some(forecast_ms)) = (gate, answer.forecast_ms) {
            gate.record_first_event(forecast_ms, answer.took_ms as f64, now_ms);
        }
    }

    /// Records a failure of an upstream.
    pub(super) fn record_failure(&mut self, instance: &directory::Text, now_ms: u64) {
        self.health.entry(instance.clone()).or_default().record_failure(now_ms);
    }

    /// Records an answer that is whole, or a stream that has brought its first event.
    pub(super) fn record_success(&mut self, instance: &str) {
        if let Some(health) = self.health.get_mut(instance) {
            health.record_success();
        }
    }

    /// Records that an upstream shed a request because it is full.
    pub(super) fn record_shed(&mut self, instance: &str, now_ms: u64) {
        let slots = self.directory.get(instance).map_or(0, |upstream| upstream.announcement.slots);
        if let Some(health) = self.health.get_mut(instance) {
            health.backlog_mut().record_shed(slots, now_ms);
        }
    }

    /// The start of an upstream that this entry knows of.
    pub(super) fn boot(&self, instance: &directory::Text) -> evidence::Boot {
        let upstream = self.directory.get(instance);
        let born_ms = upstream.map_or(0, |upstream| upstream.announcement.order.born_ms);
        evidence::Boot { instance: instance.clone(), born_ms }
    }

    /// Whether an upstream has said that it leaves, so that its end is expected.
    pub(super) fn is_departing(&self, instance: &directory::Text) -> bool {
        let upstream = self.directory.get(instance);
        let is_ready = |it: &directory::Announcement| it.status == directory::Status::Ready;
        self.is_leaving(instance) || !upstream.is_some_and(|it| is_ready(&it.announcement))
    }

    /// Records that another upstream answers at the address.
    pub(super) fn record_displaced(&mut self, instance: &str, now_ms: u64) {
        self.directory.apply_departure(instance, None, now_ms);
    }

    /// Takes the highest number of entries that the voters' log tells.
    pub(super) fn record_entries_recorded(&mut self, count: u32) {
        self.entries_recorded = count.max(self.entries_recorded);
    }

    /// Highest number of entries that this one was told of, none where it was told nothing. What
    /// voters count of their connections is too low while all processes start.
    fn budget_sharers(&self) -> Option<usize> {
        let counted = self.entry_counts.values().copied().max().unwrap_or_default();
        Some(counted.max(self.entries_recorded) as usize).filter(|count| *count > 0)
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
        let near = (entries / self.regions.len().max(1) as f64 - 1.0).max(0.0);
        backlog::PeerEntries { same_zone: near, all: entries - 1.0 }
    }

    /// Takes the services' properties from a document, and forgets routes and services that it no
    /// longer names.
    pub(super) fn retain(&mut self, document: &document::Document, now_ms: u64) {
        let names = document.services.iter().map(|service| service.name.clone());
        self.directory.set_named_services(names);
        self.gates.retain(|name, _| document.service(name).is_some());
        self.paces.retain(|name, _| document.service(name).is_some());
        let layers = |it: &document::Service| Some((it.name.clone(), it.engine.as_ref()?.layers));
        self.layers = document.services.iter().filter_map(layers).collect();
        self.set_cold_starts(document, now_ms);
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

    /// Asks the retry budget for one more attempt at a service.
    pub(super) fn try_retry(
        &mut self,
        service: &directory::Text,
        budget: &retry_budget::Budget,
        now_ms: u64,
    ) -> retry_budget::Decision {
        let entries = self.budget_sharers();
        self.retry_usage.entry(service.clone()).or_default().try_retry(budget, entries, now_ms)
    }
}
