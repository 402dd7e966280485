//! Tells followers what changed: documents, weights, upstreams, agents, voters.

mod entries;
mod evacuations;
pub(super) mod isolation;
mod rates;

use std::{collections, net, sync, time};

use ragwortdeal_core::{
    directory,
    document::{naming, store},
    name,
};
use ragwortdeal_wire::link as wire;

use crate::{
    clock,
    fleet::{compression, dialect, notice},
    link,
    voter::driver,
};

/// Time within which changes of agents are collected for one notice. When all machines come back
/// at once, each agent would otherwise be told of each other one by one.
const AGENT_CHANGES_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The same for changes of entries.
const ENTRY_CHANGES_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The same for reports of agents, of which entries need to know soon: they send nothing to an
/// engine that is about to switch.
const STATUSES_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// How long an upstream that fell silent is kept. Engines behind a cut come back within it.
const SILENT_MS: u64 = 120_000;

struct Follower {
    session: link::Session,
    /// Version of the document that it was sent or said to hold; none before it asked.
    version: Option<u64>,
}

#[derive(Default)]
struct State {
    directory: directory::Directory,
    followers: collections::BTreeMap<link::SessionId, Follower>,
    agents: collections::BTreeMap<link::SessionId, notice::AgentInfo>,
    serves: collections::BTreeMap<net::SocketAddrV4, notice::EngineStatus>,
    documents: store::Store,
    named: naming::Namings,
    voters: Vec<net::Ipv4Addr>,
    /// Agents that joined, changed or left, by their address, which agents are not told of yet.
    changed_agents: collections::BTreeSet<net::Ipv4Addr>,
    /// Entries that joined or left, by their address, which the others are not told of yet.
    changed_entries: collections::BTreeSet<net::Ipv4Addr>,
    /// Engines whose status changed, which entries are not told of yet.
    changed_statuses: collections::BTreeSet<net::SocketAddrV4>,
    isolation: isolation::Isolation,
    told: rates::Told,
}

/// What this voter knows first hand, and who wants to know it.
pub(super) struct Hub {
    clock: clock::Clock,
    dialect: dialect::DialectRef,
    /// Time after a naming in which older weights may be served.
    weights_ms: u64,
    state: sync::Mutex<State>,
    agents_changed: tokio::sync::Notify,
    entries_changed: tokio::sync::Notify,
    statuses_changed: tokio::sync::Notify,
}

/// Tells agents of changes among them, as long as the process runs.
pub(super) async fn tell_agent_changes(hub: sync::Arc<Hub>) {
    loop {
        hub.agents_changed.notified().await;
        tokio::time::sleep(AGENT_CHANGES_INTERVAL).await;
        hub.state().tell_agent_changes();
    }
}

/// Tells entries of changes among them, as long as the process runs.
pub(super) async fn tell_entry_changes(hub: sync::Arc<Hub>) {
    loop {
        hub.entries_changed.notified().await;
        tokio::time::sleep(ENTRY_CHANGES_INTERVAL).await;
        hub.state().tell_entry_changes();
    }
}

/// Tells entries of changes of engines' statuses, as long as the process runs.
pub(super) async fn tell_statuses(hub: sync::Arc<Hub>) {
    loop {
        hub.statuses_changed.notified().await;
        tokio::time::sleep(STATUSES_INTERVAL).await;
        hub.state().tell_statuses();
    }
}

/// Passes on what the driver publishes.
pub(super) async fn publish(hub: sync::Arc<Hub>, publisher: driver::Publisher) {
    let mut documents = publisher.documents.subscribe();
    let mut voters = publisher.voters.subscribe();
    loop {
        let (documents_now, voters_now) =
            (documents.borrow_and_update().clone(), voters.borrow_and_update().clone());
        hub.published(documents_now, &voters_now);
        let changed = tokio::select! {
            changed = documents.changed() => changed,
            changed = voters.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

impl Hub {
    pub(super) fn new(dialect: dialect::DialectRef, weights_ms: u64) -> Self {
        Self {
            clock: clock::Clock::start(),
            dialect,
            weights_ms,
            state: sync::Mutex::default(),
            agents_changed: tokio::sync::Notify::new(),
            entries_changed: tokio::sync::Notify::new(),
            statuses_changed: tokio::sync::Notify::new(),
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }

    fn published(&self, documents: store::Store, voters: &[name::InstanceName]) {
        let mut state = self.state();
        state.directory.forget_silent(SILENT_MS, self.clock.now_ms());
        let previous = std::mem::replace(&mut state.documents, documents);
        if previous.version() != state.documents.version() {
            self.name_services(&mut state);
        }
        // Before the document: an entry takes requests as soon as it has that.
        state.tell_evacuations_since(&previous.evacuations, self.clock.now_ms());
        let recorded: Vec<_> = state.documents.verdicts.all().cloned().collect();
        state.merge_verdicts("the log", recorded, self.clock.now_ms());
        state.name_weights(self.weights_ms, self.clock.now_ms());
        let voters: Vec<_> = voters.iter().filter_map(|name| name.parse().ok()).collect();
        if voters != state.voters {
            state.voters = voters;
            let notice = notice::encode(&notice::Notice::Voters(state.voters.clone()));
            state.tell_all(&notice);
        }
        let State { followers, documents, .. } = &mut *state;
        followers.values_mut().for_each(|follower| follower.send_documents(documents));
    }

    /// Takes over the services that the document in force names.
    fn name_services(&self, state: &mut State) {
        let Some(sealed) = &state.documents.document else {
            return;
        };
        let version = sealed.version;
        let bytes = compression::decompress(&sealed.body).map_err(|error| error.to_string());
        let names = bytes.and_then(|bytes| {
            self.dialect.service_names(&bytes).map_err(|error| error.to_string())
        });
        match names {
            Ok(names) => state.directory.set_named_services(names),
            Err(error) => log::error!("voter: services of document version={version}: {error}"),
        }
    }

    /// Takes an announcement. Followers are told of what is new before the upstream gets its
    /// answer, because from the answer on the time counts in which it gets no more work.
    pub(super) fn announced(&self, said: directory::Announcement) -> directory::Effect {
        let mut state = self.state();
        let effect = state.directory.apply_announcement(said.clone(), self.clock.now_ms());
        if effect == directory::Effect::Changed {
            log::info!(
                "voter: upstream {} of {} at {} is {:?}, born={} sequence={} held={:?}",
                said.instance,
                said.service,
                said.address,
                said.status,
                said.order.born_ms,
                said.order.sequence,
                said.models
            );
            state.tell_of(said);
        } else if effect == directory::Effect::Refreshed {
            state.tell_awaited(said);
        } else if let Some(known) = state.directory.get(&said.instance)
            && known.announcement.status < said.status
        {
            let directory::AnnouncementOrder { born_ms, sequence } = known.announcement.order;
            log::warn!(
                born_ms, sequence;
                "voter: upstream {} is {:?}, ignored as older than what is known, born={} \
                 sequence={}",
                said.instance,
                said.status,
                said.order.born_ms,
                said.order.sequence
            );
        }
        effect
    }

    /// Takes the word of an upstream that it is gone. Followers are told in any case: they may know
    /// an upstream that this voter never heard of.
    pub(super) fn left(&self, instance: &str, age: Option<directory::AnnouncementOrder>) {
        let mut state = self.state();
        let effect = state.directory.apply_departure(instance, age, self.clock.now_ms());
        log::info!("voter: upstream {instance} left, age={age:?} effect={effect:?}");
        let left = notice::Notice::UpstreamLeft { instance: instance.into(), age };
        state.tell_all(&notice::encode(&left));
    }

    /// Weights that are due, which the log does not tell yet.
    pub(super) fn due_unrecorded(&self) -> Vec<store::ModelVersion> {
        let state = self.state();
        let now_ms = self.clock.now_ms();
        let due = state.documents.weights.keys().map(|model| {
            let version = state.named.min_servable_version(model, self.weights_ms, now_ms);
            store::ModelVersion { model: model.clone(), version }
        });
        let recorded = |model: &str| state.documents.due.get(model).copied().unwrap_or(0);
        due.filter(|it| it.version > recorded(&it.model)).collect()
    }

    /// Number of connected entries, if the log tells a lower one.
    pub(super) fn unrecorded_entry_count(&self) -> Option<u32> {
        self.state().unrecorded_entry_count()
    }

    pub(super) fn opened(&self, session: &link::Session) {
        let mut state = self.state();
        let follower = Follower { session: session.clone(), version: None };
        state.followers.insert(session.id, follower);
        if session.hello.role == "agent"
            && let Ok(address) = session.hello.name.parse()
        {
            let zone = session.hello.zone.clone();
            let incarnation = session.hello.incarnation;
            let seat = notice::AgentInfo { address, zone, incarnation, narrow: false };
            state.agents.insert(session.id, seat);
            state.changed_agents.insert(address);
            self.agents_changed.notify_one();
        }
        if session.hello.role == "entry" {
            state.tell_entry_count();
            self.entry_changed(&mut state, &session.hello);
        }
    }

    pub(super) fn closed(&self, session: link::SessionId) {
        let mut state = self.state();
        let closed = state.followers.remove(&session);
        if let Some(seat) = state.agents.remove(&session) {
            state.changed_agents.insert(seat.address);
            self.agents_changed.notify_one();
        }
        if let Some(closed) = closed.filter(|it| it.session.hello.role == "entry") {
            state.isolation.end_trials_of(&closed.session.hello.name);
            state.tell_entry_count();
            self.entry_changed(&mut state, &closed.session.hello);
        }
    }

    fn entry_changed(&self, state: &mut State, hello: &wire::Hello) {
        if let Ok(address) = hello.name.parse() {
            state.changed_entries.insert(address);
            self.entries_changed.notify_one();
        }
    }

    /// Takes what another voter told.
    pub(super) fn told_by_voter(&self, voter: net::Ipv4Addr, told: notice::Notice) {
        self.state().learn(&voter.to_string(), told, self.clock.now_ms());
    }

    /// Tells the namings whose time runs once more. A follower may have lost the first word, or its
    /// clock may have stood still since, as it does on an instance that is suspended.
    pub(super) fn repeat_open_namings(&self) {
        let state = self.state();
        let now_ms = self.clock.now_ms();
        let open = state.named.export_open(self.weights_ms, now_ms);
        if open.iter().any(|naming| naming.age_ms < self.weights_ms) {
            state.tell_all(&notice::encode(&notice::Notice::Namings(open)));
        }
    }

    pub(super) fn heard(&self, session: &link::Session, message: &wire::Message) {
        let mut state = self.state();
        match notice::decode(message) {
            Some(notice::Notice::Subscribe { version }) => {
                state.follow(session.id, version, self.clock.now_ms());
            }
            Some(
                told @ (notice::Notice::Namings(_)
                | notice::Notice::Upstreams(_)
                | notice::Notice::Verdicts(_)
                | notice::Notice::UpstreamLeft { .. }),
            ) => state.learn(&session.hello.name, told, self.clock.now_ms()),
            Some(notice::Notice::EngineEnded(report)) => {
                if let Ok(teller) = session.hello.name.parse() {
                    state.record_end(teller, &report, self.clock.now_ms());
                }
            }
            Some(notice::Notice::NamedRates(rates)) => state.record_named_rates(rates),
            Some(notice::Notice::AwaitedUpstreams(instances)) => {
                state.await_announcements(instances);
            }
            Some(notice::Notice::PartsProved(parts)) => {
                state.record_proofs(parts, self.clock.now_ms());
            }
            Some(notice::Notice::Copies(told)) => {
                state.record_copies(session, told, self.clock.now_ms());
            }
            Some(notice::Notice::EngineStatus(serves)) => {
                if let Some(seat) = state.agents.get_mut(&session.id)
                    && std::mem::replace(&mut seat.narrow, serves.narrow) != serves.narrow
                {
                    let address = seat.address;
                    state.changed_agents.insert(address);
                    self.agents_changed.notify_one();
                }
                let newer = |held: &notice::EngineStatus| held.sequence < serves.sequence;
                if state.serves.get(&serves.address).is_none_or(newer) {
                    state.changed_statuses.insert(serves.address);
                    state.serves.insert(serves.address, serves);
                    self.statuses_changed.notify_one();
                }
            }
            _ => log::warn!("voter: {} sent what is no notice", session.hello.name),
        }
    }
}

impl State {
    fn tell_all(&self, message: &wire::Message) {
        for follower in self.followers.values() {
            // A follower whose queue is full loses its link and asks for everything anew.
            follower.session.push(message.clone());
        }
    }

    fn tell_role(&self, role: &str, message: &wire::Message) {
        for follower in self.followers.values().filter(|it| it.session.hello.role == role) {
            follower.session.push(message.clone());
        }
    }

    /// Tells followers of an upstream. Of all agents only the one beside it needs to know.
    fn tell_of(&self, said: directory::Announcement) {
        let agent = name::InstanceName::new(&said.address.ip().to_string());
        let notice = notice::encode(&notice::Notice::Upstreams(vec![said]));
        for follower in self.followers.values() {
            let hello = &follower.session.hello;
            let beside = agent.as_ref().is_ok_and(|name| *hello.name == **name);
            if hello.role != "agent" || beside {
                follower.session.push(notice.clone());
            }
        }
    }

    /// Tells agents which of them joined, changed or left. A process that was started again at an
    /// address may have opened a link before the earlier one closed.
    fn tell_agent_changes(&mut self) {
        let (mut changed, mut left) = (Vec::new(), Vec::new());
        for address in std::mem::take(&mut self.changed_agents) {
            let there = self.agents.values().filter(|seat| seat.address == address);
            match there.max_by_key(|seat| seat.incarnation) {
                Some(seat) => changed.push(seat.clone()),
                None => left.push(address),
            }
        }
        // Agents of earlier versions know the notices of single changes alone.
        let notice = match (changed.as_slice(), left.as_slice()) {
            ([seat], []) => notice::Notice::Agent(seat.clone()),
            ([], [address]) => notice::Notice::AgentLeft(*address),
            _ => notice::Notice::AgentChanges { changed, left },
        };
        self.tell_role("agent", &notice::encode(&notice));
    }

    fn tell_statuses(&mut self) {
        let changed = std::mem::take(&mut self.changed_statuses);
        let statuses = changed.iter().filter_map(|address| self.serves.get(address)).cloned();
        let notice = notice::Notice::EngineStatuses(statuses.collect());
        self.tell_role("entry", &notice::encode(&notice));
    }

    /// Notes weights that the log has named, and tells followers of what is new. What the log calls
    /// due was named longer ago than older weights may be served.
    fn name_weights(&mut self, weights_ms: u64, now_ms: u64) {
        let State { documents, named, .. } = self;
        let mut news = Vec::new();
        for (model, &version) in &documents.weights {
            if named.named_at_ms(model, version).is_none() {
                news.push(naming::Naming { model: model.clone(), version, age_ms: 0 });
            }
        }
        for (model, &version) in &documents.due {
            if named.min_servable_version(model, weights_ms, now_ms) < version {
                news.push(naming::Naming { model: model.clone(), version, age_ms: weights_ms });
            }
        }
        if news.is_empty() {
            return;
        }
        for naming in &news {
            notice::log_naming("voter", "the log", naming);
            named.record(naming, now_ms);
        }
        self.tell_all(&notice::encode(&notice::Notice::Namings(self.named.export(now_ms))));
    }

    /// Takes what another process knows and this voter may have lost, or was never told.
    fn learn(&mut self, teller: &str, told: notice::Notice, now_ms: u64) {
        match told {
            notice::Notice::Namings(named) => self.remember(teller, &named, now_ms),
            notice::Notice::Upstreams(said) => {
                said.into_iter().for_each(|said| self.leaves(said, now_ms));
            }
            notice::Notice::UpstreamLeft { instance, age } => self.is_gone(instance, age, now_ms),
            notice::Notice::Verdicts(verdicts) => self.merge_verdicts(teller, verdicts, now_ms),
            _ => (),
        }
    }

    /// Takes what another process knows of namings. A voter that restarted finds them in its log
    /// without their times; without this, entries that it tells would serve superseded weights for
    /// longer.
    fn remember(&mut self, teller: &str, named: &[naming::Naming], now_ms: u64) {
        let mut any = false;
        for naming in named {
            if self.named.is_news(naming, now_ms) {
                notice::log_naming("voter", teller, naming);
                any = true;
            }
            self.named.record(naming, now_ms);
        }
        if any {
            self.tell_all(&notice::encode(&notice::Notice::Namings(self.named.export(now_ms))));
        }
    }

    /// Takes the word of another process that an upstream is gone.
    fn is_gone(
        &mut self,
        instance: directory::Text,
        age: Option<directory::AnnouncementOrder>,
        now_ms: u64,
    ) {
        if self.directory.apply_departure(&instance, age, now_ms) == directory::Effect::Changed {
            self.tell_all(&notice::encode(&notice::Notice::UpstreamLeft { instance, age }));
        }
    }

    /// Takes what another process knows of an upstream that leaves. The upstream told one voter
    /// only and may say nothing more: were that voter lost, an entry that starts later would hear
    /// from the others that the upstream takes work.
    fn leaves(&mut self, said: directory::Announcement, now_ms: u64) {
        if said.status == directory::Status::Ready {
            return;
        }
        if self.directory.apply_announcement(said.clone(), now_ms) == directory::Effect::Changed {
            self.tell_of(said);
        }
    }

    /// Sends a follower all that it may lack.
    fn follow(&mut self, session: link::SessionId, version: u64, now_ms: u64) {
        let entries: Vec<_> = self.entries().collect();
        let rates = self.named_rates();
        let evacuations = self.evacuations_for(session);
        let Some(follower) = self.followers.get_mut(&session) else {
            return;
        };
        follower.version = Some(version);
        // Before the document: an entry takes requests as soon as it has that.
        for notice in self.isolation.state_for(&follower.session.hello.role) {
            follower.session.push(notice::encode(&notice));
        }
        if follower.session.hello.role == "entry" {
            follower.session.push(notice::encode(&notice::Notice::NamedRates(rates)));
        }
        if let Some(evacuations) = evacuations {
            follower.session.push(evacuations);
        }
        let upstreams = || self.directory.all().map(|upstream| &upstream.announcement);
        let is_agent = follower.session.hello.role == "agent";
        if is_agent && let Ok(address) = follower.session.hello.name.parse::<net::Ipv4Addr>() {
            // Before the document: an agent reports on its engine as soon as it has that, and has
            // to know what an earlier process reported.
            let own = upstreams().filter(|it| *it.address.ip() == address).cloned();
            follower.session.push(notice::encode(&notice::Notice::Upstreams(own.collect())));
            for status in self.serves.values().filter(|it| *it.address.ip() == address) {
                let notice = notice::Notice::EngineStatus(status.clone());
                follower.session.push(notice::encode(&notice));
            }
        }
        follower.send_documents(&self.documents);
        let push = |notice: &notice::Notice| _ = follower.session.push(notice::encode(notice));
        push(&notice::Notice::Namings(self.named.export(now_ms)));
        push(&notice::Notice::Voters(self.voters.clone()));
        match follower.session.hello.role.as_str() {
            "agent" => push(&notice::Notice::Agents(self.agents.values().cloned().collect())),
            "entry" => {
                push(&notice::Notice::Entries(entries));
                // Before the upstreams: an entry goes by what engines announce until it has these.
                push(&notice::Notice::EngineStatuses(self.serves.values().cloned().collect()));
            }
            _ => (),
        }
        if !is_agent {
            push(&notice::Notice::Upstreams(upstreams().cloned().collect()));
        }
    }
}

impl Follower {
    fn send_documents(&mut self, documents: &store::Store) {
        let Some(version) = self.version else {
            return;
        };
        if documents.version() <= version {
            return;
        }
        self.version = Some(documents.version());
        let (document, entries) = (documents.document.clone(), documents.entries);
        let news = store::Store { document, entries, ..store::Store::default() };
        self.session.push(notice::encode(&notice::Notice::Documents(news)));
    }
}
