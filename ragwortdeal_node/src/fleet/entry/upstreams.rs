//! The upstreams as this entry sees them: what they said, what is open there, how they fared.

pub(super) mod chosen;

use std::{collections, net, sync};

use ragwortdeal_core::{
    directory,
    dispatch::{backlog, choice, cutoff, gate, retry_budget, retry_detection, silence},
    document::{self, naming},
};

use super::{health, pool};
use crate::fleet::{load_probe, notice};

/// A request that has no first event so long before that time is up is taken back from an engine on
/// older weights: on a slow link it may still be on its way, and would begin too late.
const BEGIN_MARGIN_MS: u64 = 500;

/// All upstreams.
pub(super) struct Fleet {
    zone: directory::Text,
    /// Availability zones of the deployment.
    zones: usize,
    weights_ms: u64,
    directory: directory::Directory,
    health: collections::HashMap<directory::Text, health::Health>,
    serves: collections::HashMap<net::SocketAddrV4, notice::EngineStatus>,
    named: naming::Namings,
    entries: collections::HashMap<net::Ipv4Addr, u32>,
    spending: collections::HashMap<directory::Text, retry_budget::Usage>,
    /// Gates of the services of engines.
    gates: collections::HashMap<directory::Text, gate::Gate>,
    /// What callers of each route have.
    patience: collections::HashMap<directory::Text, retry_detection::RetryDetector>,
    /// Layers of the models of each service of engines.
    layers: collections::HashMap<directory::Text, u32>,
}

impl Fleet {
    pub(super) fn new(zone: directory::Text, zones: usize, weights_ms: u64) -> Self {
        Self {
            zone,
            zones,
            weights_ms,
            directory: directory::Directory::default(),
            health: collections::HashMap::new(),
            serves: collections::HashMap::new(),
            named: naming::Namings::default(),
            entries: collections::HashMap::new(),
            spending: collections::HashMap::new(),
            gates: collections::HashMap::new(),
            patience: collections::HashMap::new(),
            layers: collections::HashMap::new(),
        }
    }

    pub(super) fn announced(&mut self, said: directory::Announcement, now_ms: u64) {
        let instance = said.instance.clone();
        let (standing, address, born_ms) = (said.standing, said.address, said.age.born_ms);
        let lives = self.directory.get(&instance).map(|upstream| upstream.said.age.born_ms);
        if self.directory.announced(said, now_ms) == directory::Effect::Changed {
            log::info!("entry: upstream {instance} at {address} is {standing:?}");
        }
        if lives.is_some_and(|held_ms| held_ms < born_ms) {
            self.health.entry(instance).and_modify(|health| *health = health.after_restart());
        }
    }

    pub(super) fn left(&mut self, instance: &str, age: Option<directory::Age>, now_ms: u64) {
        if self.directory.left(instance, age, now_ms) == directory::Effect::Changed {
            log::info!("entry: upstream {instance} is gone");
        }
    }

    pub(super) fn serves(&mut self, serves: notice::EngineStatus) {
        let newer = |held: &notice::EngineStatus| held.sequence < serves.sequence;
        if !self.serves.get(&serves.address).is_none_or(newer) {
            return;
        }
        if serves.accepts {
            // What failed while the engine loaded says nothing of how it works now.
            let here = self.directory.all().filter(|it| it.said.address == serves.address);
            for upstream in here {
                if let Some(health) = self.health.get_mut(&upstream.said.instance) {
                    health.reset_failures();
                }
            }
        }
        self.serves.insert(serves.address, serves);
    }

    pub(super) fn named(&mut self, voter: net::Ipv4Addr, named: &[naming::Naming], now_ms: u64) {
        for naming in named {
            if self.named.is_news(naming, now_ms) {
                notice::log_naming("entry", voter, naming);
            }
            self.named.record(naming, now_ms);
        }
    }

    /// What a voter that restarted may lack: the ages of namings, and which upstreams leave or left
    /// lately.
    pub(super) fn told_to_voters(
        &self,
        now_ms: u64,
    ) -> (Vec<naming::Naming>, Vec<directory::Announcement>) {
        let named = self.named.export_open(self.weights_ms, now_ms);
        let leaving =
            self.directory.all().filter(|it| it.said.standing != directory::Standing::Ready);
        (named, leaving.map(|upstream| upstream.said.clone()).collect())
    }

    /// Forgets upstreams that left long ago, and how this entry fared with them.
    pub(super) fn forget_gone(&mut self, now_ms: u64) {
        for instance in self.directory.forget_gone(now_ms) {
            self.health.remove(&instance);
        }
    }

    pub(super) fn entries(&mut self, voter: net::Ipv4Addr, count: u32) {
        let held = self.entries.entry(voter).or_default();
        // Never fewer than were seen before: an entry that is cut off goes on drawing.
        *held = count.max(*held);
    }

    /// Whether an upstream may still get requests.
    pub(super) fn knows(&self, peer: &pool::Peer) -> bool {
        let upstream = self.directory.get(&peer.instance);
        upstream.is_some_and(|it| it.said.standing != directory::Standing::Gone)
    }

    /// Version that an engine serves: none where it loads or has nothing. The word of the agent
    /// beside it counts where it speaks of the same life of the engine.
    fn version_of(&self, said: &directory::Announcement) -> Option<u64> {
        let layers = self.layers.get(&said.service).copied().unwrap_or(0);
        let whole = said.layers.is_none_or(|held| held.is_all(layers));
        let announced = said.held.iter().filter(|_| whole).map(|held| held.version).max();
        let agent = self.serves.get(&said.address);
        match agent.filter(|it| it.born_ms == said.age.born_ms) {
            Some(agent) if !agent.accepts => None,
            Some(agent) => Some(agent.version.max(announced.unwrap_or(0))),
            None => announced,
        }
        .filter(|version| *version > 0)
    }

    /// Highest version of which the agent beside an engine holds all chunks.
    fn whole_at(&self, said: &directory::Announcement) -> u64 {
        let agent = self.serves.get(&said.address);
        agent.filter(|it| it.born_ms == said.age.born_ms).map_or(0, |it| it.complete_version)
    }

    fn is_narrow(&self, said: &directory::Announcement) -> bool {
        let agent = self.serves.get(&said.address);
        agent.is_some_and(|it| it.born_ms == said.age.born_ms && it.narrow)
    }

    /// Lowest version of a model that a request may be sent to now.
    fn lowest(&self, model: &str, margin_ms: u64, now_ms: u64) -> u64 {
        self.named.min_servable_version(model, self.weights_ms.saturating_sub(margin_ms), now_ms)
    }

    /// When the first version above this one was named.
    fn superseded_at_ms(&self, models: &[directory::Text], version: u64) -> Option<i64> {
        let superseded = |model: &directory::Text| self.named.superseded_at_ms(model, version);
        models.iter().filter_map(superseded).min()
    }

    /// When a request must have begun on weights that were superseded then.
    fn begin_by_ms(&self, superseded_at_ms: i64) -> i64 {
        superseded_at_ms + self.weights_ms.saturating_sub(BEGIN_MARGIN_MS) as i64
    }

    fn candidate(
        &self,
        said: &directory::Announcement,
        repeatable: bool,
        superseded: bool,
        now_ms: u64,
    ) -> Option<choice::Candidate> {
        let unknown = health::Health::default();
        let health = self.health.get(&said.instance).unwrap_or(&unknown);
        if !health.may_take(repeatable, superseded, now_ms) {
            return None;
        }
        let place = backlog::UpstreamInfo { same_zone: said.zone == self.zone, slots: said.slots };
        Some(health.candidate(&place, &self.others(), self.is_narrow(said), now_ms))
    }

    /// What is known of the path to an engine. `newer` is the version that it should go to.
    fn knowledge(
        &self,
        said: &directory::Announcement,
        newer: u64,
        now_ms: u64,
    ) -> cutoff::PathKnowledge {
        let health = self.health.get(&said.instance);
        cutoff::PathKnowledge {
            slow: self.is_narrow(said)
                || health.is_some_and(|health| health.is_slow(now_ms))
                || health.is_some_and(|health| health.is_delayed(now_ms)),
            responsive: health.is_some_and(|health| health.is_prompt(now_ms)),
            has_newer_weights: newer > 0 && self.whole_at(said) >= newer,
        }
    }

    /// Lowest version that an engine must serve to get a request now.
    fn lowest_at(
        &self,
        said: &directory::Announcement,
        models: &[directory::Text],
        now_ms: u64,
    ) -> u64 {
        let lowest = |margin_ms: u64| {
            let versions = models.iter().map(|model| self.lowest(model, margin_ms, now_ms));
            versions.max().unwrap_or(0)
        };
        let newer = lowest(cutoff::margin_ms(cutoff::PathKnowledge::default()));
        lowest(cutoff::margin_ms(self.knowledge(said, newer, now_ms)))
    }

    /// Looks at all upstreams for those that have gone quiet, or are heard again.
    pub(super) fn check_progress(&mut self, now_ms: u64) {
        let speaking = self.health.values().filter(|health| health.was_active()).count();
        for (instance, health) in &mut self.health {
            let others_spoke = speaking > usize::from(health.was_active());
            let Some(change) = health.check_progress(others_spoke, now_ms) else {
                continue;
            };
            let message = match change {
                silence::Change::Silent => "has gone quiet",
                silence::Change::Recovered => "is heard again",
            };
            log::info!(upstream = &**instance, open = health.open(); "entry: upstream {message}");
        }
    }

    /// Addresses of instances with engines that are to be asked now. Engines of other zones that get
    /// nothing from here are asked only where `all` are, or while weights change.
    pub(super) fn questions(
        &mut self,
        is_engine: impl Fn(&str) -> bool,
        all: bool,
        now_ms: u64,
    ) -> Vec<net::Ipv4Addr> {
        let mut addresses = Vec::new();
        let named = self.named.export_open(self.weights_ms, now_ms);
        let all = all || named.iter().any(|naming| naming.age_ms < self.weights_ms);
        for upstream in self.directory.all() {
            let said = &upstream.said;
            if said.standing == directory::Standing::Gone || !is_engine(&said.service) {
                continue;
            }
            let health = self.health.entry(said.instance.clone()).or_default();
            if all || said.zone == self.zone || health.open() > 0 {
                health.asked(now_ms);
                addresses.push(*said.address.ip());
            }
        }
        addresses
    }

    /// Takes the word of the agent on an instance.
    pub(super) fn heard(&mut self, address: net::Ipv4Addr, word: &load_probe::Reply, now_ms: u64) {
        let there = self.directory.all().filter(|it| *it.said.address.ip() == address);
        let there = there.filter(|it| it.said.standing != directory::Standing::Gone);
        for upstream in there {
            if let Some(health) = self.health.get_mut(&upstream.said.instance) {
                health.heard(word, now_ms);
            }
        }
    }

    /// Notes a request as open at an upstream.
    fn opened(
        &mut self,
        instance: &directory::Text,
        reading_ms: f64,
    ) -> sync::Arc<health::Activity> {
        let health = self.health.entry(instance.clone()).or_default();
        health.backlog_mut().open_request(reading_ms);
        health.activity()
    }

    fn read(&mut self, instance: &str, reading_ms: f64) {
        if let Some(health) = self.health.get_mut(instance) {
            health.backlog_mut().prefill_done(reading_ms);
        }
    }

    fn closed(&mut self, instance: &str) {
        if let Some(health) = self.health.get_mut(instance) {
            health.backlog_mut().close_request();
        }
    }

    /// Notes that an upstream answered.
    pub(super) fn answered(&mut self, instance: &str, answer: &health::Answered, now_ms: u64) {
        if let Some(health) = self.health.get_mut(instance) {
            health.answered(answer, now_ms);
        }
        let service = self.directory.get(instance).map(|upstream| &upstream.said.service);
        let gate = service.and_then(|service| self.gates.get_mut(service));
        if let (Some(gate), Some(forecast_ms)) = (gate, answer.forecast_ms) {
            gate.record_first_event(forecast_ms, answer.took_ms as f64, now_ms);
        }
    }

    /// Notes that an upstream failed.
    pub(super) fn failed(&mut self, instance: &directory::Text, now_ms: u64) {
        self.health.entry(instance.clone()).or_default().failed(now_ms);
    }

    /// Notes that an upstream is full.
    pub(super) fn shed(&mut self, instance: &str, now_ms: u64) {
        let slots = self.directory.get(instance).map_or(0, |upstream| upstream.said.slots);
        if let Some(health) = self.health.get_mut(instance) {
            health.backlog_mut().record_shed(slots, now_ms);
        }
    }

    /// Another upstream answers at the address.
    pub(super) fn displaced(&mut self, instance: &str, now_ms: u64) {
        self.directory.left(instance, None, now_ms);
    }

    /// Entries that run, this one included.
    fn entries_known(&self) -> u32 {
        self.entries.values().copied().max().unwrap_or(1).max(1)
    }

    /// Other entries, taken as evenly spread over all zones.
    fn others(&self) -> backlog::PeerEntries {
        let entries = f64::from(self.entries_known());
        let near = (entries / self.zones.max(1) as f64 - 1.0).max(0.0);
        backlog::PeerEntries { same_zone: near, all: entries - 1.0 }
    }

    /// Takes what a document tells of services, and forgets routes and services that it no longer
    /// names.
    pub(super) fn retain(&mut self, document: &document::Document) {
        let has_route = |name: &directory::Text| document.routes.iter().any(|it| it.name == *name);
        self.patience.retain(|name, _| has_route(name));
        self.gates.retain(|name, _| document.service(name).is_some());
        let layers = |it: &document::Service| Some((it.name.clone(), it.engine.as_ref()?.layers));
        self.layers = document.services.iter().filter_map(layers).collect();
    }

    /// What is left of the time of a caller of a route that goes on waiting for so long.
    pub(super) fn patience(
        &mut self,
        route: &directory::Text,
        left_ms: u64,
        now_ms: u64,
    ) -> retry_detection::RemainingTime {
        self.patience.entry(route.clone()).or_default().observe(left_ms, now_ms)
    }

    /// Counts a first request to a service.
    pub(super) fn first(
        &mut self,
        service: &directory::Text,
        budget: &retry_budget::Budget,
        now_ms: u64,
    ) {
        self.spending.entry(service.clone()).or_default().record_first_attempt(budget, now_ms);
    }

    /// Asks for one more request to a service.
    pub(super) fn repeat(
        &mut self,
        service: &directory::Text,
        budget: &retry_budget::Budget,
        now_ms: u64,
    ) -> bool {
        // One more than are known, for one that has just started.
        let entries = self.entries_known() as usize + 1;
        self.spending.entry(service.clone()).or_default().try_retry(budget, entries, now_ms)
    }
}
