//! The agent of a fleet: distributes weights to the engine on its instance.
//!
//! It fetches the chunks of the named version by the spread policy, stages them at the engine,
//! reads them back, orders the engine to load them, and proves that the engine took them sound.
//! `docs/design/platform.md` has the times.

mod early_holdings;
mod engine;
mod fetch;
mod loading;
mod manifests;
mod orders;
mod peers;
mod probe_responder;
mod reconciler;
mod spread;
mod superseded;

use std::{
    collections, net as std_net,
    sync::{self, atomic},
};

use ragwortdeal_core::{
    directory,
    document::{self, naming, store},
    name,
    orders::load_proof,
};
use snafu::Snafu;
use tokio::{net, sync::mpsc, sync::watch};

use super::{compression, dialect, metrics, notice, voter_links};
use crate::{clock, http, link, pace, settings, stop, telemetry};

/// Connect timeout; engine, peers and origin are a few milliseconds away.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Bytes that are read for one answer of the engine, a peer or the origin at most. What is delivered
/// of them has narrower bounds.
const ANSWER_READ_MAX_BYTES: u64 = 64 << 20;

/// Share of the instance's link that chunks to peers may use. The rest is for the events of
/// streams, which are late if they queue behind chunks. A copy takes 2.5 s instead of 2.0 s for it.
const UPLOAD_LINK_SHARE: f64 = 0.8;

/// Why an agent cannot run.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// A required setting is missing.
    #[snafu(display("read settings: {what} is missing"))]
    Missing {
        /// Its key.
        what: &'static str,
    },
    /// A name in the settings is malformed.
    #[snafu(display("read settings: {source}"), context(false))]
    Name {
        /// Why.
        source: name::NameError,
    },
}

/// What the voters have told this agent.
#[derive(Clone, Debug, Default, PartialEq)]
struct VoterState {
    document: Option<sync::Arc<document::Document>>,
    /// The weights that were named.
    namings: naming::Namings,
    /// Agents, by the voter that reported them.
    agents: collections::BTreeMap<std_net::Ipv4Addr, AgentMap>,
}

/// Agents by their address.
type AgentMap = collections::BTreeMap<std_net::Ipv4Addr, notice::AgentInfo>;

/// An agent and its state.
struct Agent {
    dialect: dialect::DialectRef,
    settings: sync::Arc<settings::fleet::Settings>,
    identity: settings::common::Identity,
    credential: link::Credential,
    engine: std_net::SocketAddrV4,
    service: String,
    http: http::Client,
    clock: clock::Clock,
    held_version: sync::Arc<atomic::AtomicU64>,
    voter_state: watch::Sender<VoterState>,
    spread: spread::Spread,
    upload_pace: pace::Pace,
    /// Held while a manifest is fetched.
    manifest_fetch: tokio::sync::Mutex<()>,
    /// Whether the origin failed when it was last asked for a manifest.
    origin_failed: atomic::AtomicBool,
    telemetry: telemetry::Telemetry,
    voters: sync::OnceLock<voter_links::Voters>,
    engine_status: sync::Mutex<notice::EngineStatus>,
    load_proofs: sync::Mutex<load_proof::LoadProofs>,
    /// Start time of the engine by its newest announcement, 0 if unknown.
    announced_born_ms: atomic::AtomicU64,
    /// Start time of the engine by its own last report, 0 if it does not tell.
    reported_born_ms: atomic::AtomicU64,
}

/// Runs an agent until it is told to stop.
pub async fn run(
    settings: settings::fleet::Settings,
    dialect: dialect::DialectRef,
    listener: net::TcpListener,
    seeds: voter_links::Seeds,
    stop: stop::Stop,
) -> Result<(), AgentError> {
    let settings = sync::Arc::new(settings);
    let engine = settings.fleet.engine.ok_or(AgentError::Missing { what: "fleet.engine" })?;
    let service = settings.fleet.service.clone();
    let service = service.ok_or(AgentError::Missing { what: "fleet.service" })?;
    let mut identity = settings.process.identity()?;
    identity.name = name::InstanceName::new(&settings.fleet.address.to_string())?;
    let (telemetry, inbound) = metrics::start(&settings, stop.clone()).await;
    let agent = sync::Arc::new(Agent {
        dialect,
        credential: link::Credential::new(&settings.credentials.cluster),
        engine,
        service,
        http: http::Client::bounded(CONNECT_TIMEOUT_MS, ANSWER_READ_MAX_BYTES),
        clock: clock::Clock::start(),
        held_version: sync::Arc::default(),
        voter_state: watch::Sender::new(VoterState::default()),
        spread: spread::Spread::new(spread::chunk_ms(settings.fleet.link_mbps)),
        manifest_fetch: tokio::sync::Mutex::new(()),
        origin_failed: atomic::AtomicBool::new(false),
        upload_pace: pace::Pace::new(upload_bytes_per_s(settings.fleet.link_mbps)),
        telemetry,
        load_proofs: sync::Mutex::default(),
        voters: sync::OnceLock::new(),
        engine_status: sync::Mutex::new(notice::EngineStatus {
            address: engine,
            born_ms: 0,
            sequence: identity.incarnation,
            version: 0,
            accepts: false,
            complete_version: 0,
            narrow: false,
        }),
        identity: identity.clone(),
        settings: settings.clone(),
        announced_born_ms: atomic::AtomicU64::new(0),
        reported_born_ms: atomic::AtomicU64::new(0),
    });
    let (voters, events) =
        voter_links::start(settings, identity, "agent", agent.held_version.clone(), seeds);
    let _ = agent.voters.set(voters);
    tokio::spawn(apply_voter_updates(agent.clone(), events));
    tokio::spawn(reconciler::run(agent.clone()));
    tokio::spawn(spread::tick(agent.clone()));
    tokio::spawn(probe_responder::run(agent.clone()));
    let handler = http::route(agent.clone(), peers::answer);
    let (stopper, serve_stop) = stop::pair();
    tokio::spawn(http::serve_with(listener, handler, http::Bounds::new(inbound), serve_stop, 0));
    log::info!("agent: started, engine={engine}");
    stop.wait().await;
    stopper.stop();
    log::info!("agent: stopped");
    Ok(())
}

/// Bytes per second of the instance's link that chunks may use.
fn upload_bytes_per_s(link_mbps: f64) -> u64 {
    (link_mbps * 125_000.0 * UPLOAD_LINK_SHARE) as u64
}

/// Applies updates from voters.
async fn apply_voter_updates(
    agent: sync::Arc<Agent>,
    mut events: mpsc::Receiver<voter_links::Event>,
) {
    while let Some(event) = events.recv().await {
        match event {
            voter_links::Event::Notice(_, notice::Notice::Documents(documents)) => {
                agent.install_document(&documents);
            }
            voter_links::Event::Notice(voter, notice::Notice::Namings(namings)) => {
                agent.record_namings(voter, &namings);
            }
            voter_links::Event::Notice(voter, notice::Notice::Agents(mut agents)) => {
                // Of two processes at one address, the later one is running.
                agents.sort_by_key(|agent| agent.incarnation);
                let agents = agents.into_iter().map(|agent| (agent.address, agent)).collect();
                agent
                    .voter_state
                    .send_modify(|voter_state| _ = voter_state.agents.insert(voter, agents));
            }
            voter_links::Event::Notice(voter, notice::Notice::Agent(info)) => {
                agent.change_agents(voter, vec![info], &[]);
            }
            voter_links::Event::Notice(voter, notice::Notice::AgentLeft(address)) => {
                agent.change_agents(voter, Vec::new(), &[address]);
            }
            voter_links::Event::Notice(voter, notice::Notice::AgentChanges { changed, left }) => {
                agent.change_agents(voter, changed, &left);
            }
            voter_links::Event::Notice(_, notice::Notice::Upstreams(announcements)) => {
                let is_own = |it: &&directory::Announcement| {
                    it.address == agent.engine && *it.service == *agent.service
                };
                let own = announcements.iter().filter(is_own);
                own.for_each(|it| agent.record_announced_start(it.order.born_ms));
            }
            voter_links::Event::Notice(_, notice::Notice::EngineStatus(held)) => {
                agent.supersede_status(&held);
            }
            voter_links::Event::Up(voter) => agent.resend_state(voter),
            voter_links::Event::Down(voter) => {
                agent.voter_state.send_modify(|voter_state| _ = voter_state.agents.remove(&voter));
            }
            voter_links::Event::Notice(..) => (),
        }
    }
}

impl Agent {
    /// What is known of the weights that the engine loaded.
    fn load_proofs(&self) -> sync::MutexGuard<'_, load_proof::LoadProofs> {
        self.load_proofs.lock().expect("no panic under lock")
    }

    /// Applies what a voter tells of other agents.
    fn change_agents(
        &self,
        voter: std_net::Ipv4Addr,
        changed: Vec<notice::AgentInfo>,
        left: &[std_net::Ipv4Addr],
    ) {
        self.voter_state.send_modify(|voter_state| {
            let agents = voter_state.agents.entry(voter).or_default();
            agents.extend(changed.into_iter().map(|info| (info.address, info)));
            left.iter().for_each(|address| _ = agents.remove(address));
        });
    }

    fn install_document(&self, documents: &store::Store) {
        let newer = documents
            .document
            .as_ref()
            .filter(|sealed| sealed.version > self.held_version.load(atomic::Ordering::Relaxed));
        let read = newer.and_then(|sealed| match self.parse_document(sealed) {
            Ok(document) => Some(document),
            Err(error) => {
                log::error!("agent: document version={} cannot be parsed: {error}", sealed.version);
                None
            }
        });
        if let Some(document) = &read {
            self.held_version.store(document.version, atomic::Ordering::Relaxed);
        }
        self.voter_state.send_modify(|voter_state| {
            if let Some(document) = read {
                voter_state.document = Some(sync::Arc::new(document));
            }
        });
    }

    fn record_namings(&self, voter: std_net::Ipv4Addr, namings: &[naming::Naming]) {
        let now_ms = self.clock.now_ms();
        self.voter_state.send_modify(|voter_state| {
            for naming in namings {
                if voter_state.namings.is_news(naming, now_ms) {
                    notice::log_naming("agent", voter, naming);
                }
                voter_state.namings.record(naming, now_ms);
            }
        });
    }

    fn parse_document(&self, sealed: &store::StoredDocument) -> Result<document::Document, String> {
        let bytes = compression::decompress(&sealed.body).map_err(|error| error.to_string())?;
        self.dialect.document(&bytes).map_err(|error| error.to_string())
    }

    /// Start of the engine in Unix milliseconds, 0 while it is unknown. Its own report counts before
    /// what voters tell, which may be late, or of an earlier process with a clock ahead of this one.
    fn engine_born_ms(&self) -> u64 {
        match self.reported_born_ms.load(atomic::Ordering::Relaxed) {
            0 => self.announced_born_ms.load(atomic::Ordering::Relaxed),
            reported_ms => reported_ms,
        }
    }

    /// Records the start of the engine as a voter tells it.
    fn record_announced_start(&self, born_ms: u64) {
        let held_ms = self.announced_born_ms.fetch_max(born_ms, atomic::Ordering::Relaxed);
        if held_ms < born_ms {
            log::info!("agent: the engine on this instance announces its start at born={born_ms}");
        }
    }

    /// Records the start of the engine as it reports it itself.
    fn record_reported_start(&self, born_ms: u64) {
        let held_ms = self.reported_born_ms.swap(born_ms, atomic::Ordering::Relaxed);
        if held_ms != born_ms {
            log::info!("agent: the engine on this instance reports its start at born={born_ms}");
        }
    }

    /// Reports to entries, through the voters, which version the engine serves and whether it
    /// accepts requests.
    fn report_status(&self, version: u64, accepts: bool) {
        let (complete_version, narrow) =
            (self.spread.complete_version(), self.spread.congestion().is_narrow());
        let born_ms = self.engine_born_ms();
        let mut status = self.engine_status.lock().expect("no panic under lock");
        let previous = (
            status.born_ms,
            status.version,
            status.accepts,
            status.complete_version,
            status.narrow,
        );
        if previous == (born_ms, version, accepts, complete_version, narrow) {
            return;
        }
        log::info!(
            "agent: engine born={born_ms} serves version={version} accepts={accepts} \
             whole={complete_version} narrow={narrow}"
        );
        let sequence = status.sequence + 1;
        let address = status.address;
        *status = notice::EngineStatus {
            address,
            born_ms,
            sequence,
            version,
            accepts,
            complete_version,
            narrow,
        };
        self.broadcast_status(&status);
    }

    /// Resends to a voter that was reconnected what it may have missed, or lost in a restart.
    fn resend_state(&self, voter: std_net::Ipv4Addr) {
        let Some(voters) = self.voters.get() else {
            return;
        };
        let within_ms = self.settings.bounds.weights_ms;
        let namings = self.voter_state.borrow().namings.export_open(within_ms, self.clock.now_ms());
        voters.send_to(voter, &notice::Notice::Namings(namings));
        let status = self.engine_status.lock().expect("no panic under lock");
        if status.born_ms > 0 {
            voters.send_to(voter, &notice::Notice::EngineStatus(status.clone()));
        }
    }

    /// Numbers its reports above one that a voter holds from an earlier process on this instance.
    /// Numbers start at the time of day, which may have been set back since; entries would believe
    /// the earlier process for ever.
    fn supersede_status(&self, held: &notice::EngineStatus) {
        let mut status = self.engine_status.lock().expect("no panic under lock");
        if held.address != status.address || *held == *status {
            return;
        }
        self.inherit_status(held, status.sequence);
        if held.sequence < status.sequence {
            return;
        }
        log::warn!(
            "agent: a voter holds status number={} of an earlier process, own number={}",
            held.sequence,
            status.sequence
        );
        status.sequence = held.sequence.saturating_add(1);
        if status.born_ms > 0 {
            self.broadcast_status(&status);
        }
    }

    /// Takes over what an earlier process on this instance reported. It may have ended between an
    /// order and the proof.
    fn inherit_status(&self, held: &notice::EngineStatus, own_sequence: u64) {
        let is_own = (self.identity.incarnation..own_sequence).contains(&held.sequence);
        if is_own {
            return;
        }
        let notice::EngineStatus { sequence, born_ms, version, accepts, .. } = *held;
        log::info!(
            "agent: an earlier process reported born={born_ms} version={version} \
             accepts={accepts}, number={sequence}"
        );
        let inherited = load_proof::InheritedStatus { sequence, born_ms, version, accepts };
        self.load_proofs().inherited(inherited);
    }

    fn broadcast_status(&self, status: &notice::EngineStatus) {
        if let Some(voters) = self.voters.get() {
            voters.broadcast(&notice::Notice::EngineStatus(status.clone()));
        }
    }

    /// Other running agents, as known to any voter.
    fn other_agents(&self) -> AgentMap {
        let voter_state = self.voter_state.borrow();
        let mut agents = AgentMap::new();
        for info in voter_state.agents.values().flat_map(collections::BTreeMap::values) {
            let later = |held: &notice::AgentInfo| held.incarnation >= info.incarnation;
            if info.address != self.settings.fleet.address
                && !agents.get(&info.address).is_some_and(later)
            {
                agents.insert(info.address, info.clone());
            }
        }
        agents
    }
}
