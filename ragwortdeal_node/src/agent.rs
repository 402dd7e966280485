//! The agent beside one upstream: announces it, stages weights, gives orders to its engine, and is
//! the last check before a call reaches it.

mod announce;
mod calls;
mod engine;
mod guard;
mod rollout;
mod store;
mod transfer;

use std::{
    collections,
    sync::{self, atomic},
};

use ragwortdeal_core::{config::replica, digest, name};
use ragwortdeal_wire::link as wire;
use snafu::Snafu;
use tokio::{net, sync::watch};

use crate::{http, link, pace, settings, stop, telemetry};

/// How long a leaving agent still takes calls, because entries may not have heard yet.
const LINGER_MS: u64 = 3_000;

/// How long a connect to the upstream or another agent may take.
const CONNECT_MS: u64 = 1_000;

/// Why an agent cannot run.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// A name in the settings is malformed.
    #[snafu(display("read settings: {source}"), context(false))]
    Name {
        /// What is wrong.
        source: name::NameError,
    },
    /// Metrics or traces cannot be sent as the settings say.
    #[snafu(display("start telemetry: {source}"), context(false))]
    Telemetry {
        /// What is wrong.
        source: telemetry::TelemetryError,
    },
}

/// What the agent knows of the weights on its instance.
#[derive(Clone, Debug, Default)]
struct Weights {
    phase: &'static str,
    behind: Option<String>,
    /// The version that is staged and verified as a whole.
    verified: Option<digest::Digest>,
    serving: Option<digest::Digest>,
    /// Versions that are loaded; calls that name one of them are passed on.
    loaded: collections::BTreeSet<digest::Digest>,
    model: Option<name::ModelName>,
    origin_bytes: u64,
    peer_bytes: u64,
    region_bytes: u64,
    staged_bytes: u64,
    size_bytes: u64,
}

/// The upstream's last load report.
#[derive(Clone, Debug)]
struct Report {
    running: u64,
    queued: u64,
    /// Calls in progress at that time by the entry that they came through.
    by_entry: collections::BTreeMap<String, u64>,
    at: std::time::Instant,
}

/// An agent and its state.
#[derive(Debug)]
pub struct Agent {
    identity: settings::common::Identity,
    settings: settings::agent::Settings,
    credential: link::Credential,
    http: http::Client,
    /// For operations, which must not share a connection that their upstream closes.
    operations: http::Client,
    config: watch::Sender<replica::Replica>,
    store: sync::Mutex<store::Store>,
    weights: watch::Sender<Weights>,
    report: sync::Mutex<Report>,
    running: sync::Mutex<collections::BTreeMap<Option<digest::Digest>, u64>>,
    by_entry: sync::Mutex<collections::BTreeMap<String, u64>>,
    sequence: atomic::AtomicU64,
    telemetry: telemetry::Telemetry,
    leaving: atomic::AtomicBool,
    engine: engine::Engine,
    attempts: guard::Attempts,
    transfer: transfer::Transfer,
    /// When the bound on uploads allows the next piece.
    upload_pace: sync::Arc<pace::Pace>,
    /// What the engine shall serve, once it is staged whole.
    wanted: watch::Sender<Option<engine::Wanted>>,
}

impl Agent {
    fn new(settings: settings::agent::Settings) -> Result<Self, AgentError> {
        let identity = settings.process.identity()?;
        let by_entry = collections::BTreeMap::new();
        let report = Report { running: 0, queued: 0, by_entry, at: std::time::Instant::now() };
        let telemetry = telemetry::Telemetry::start(&identity.name, &settings.telemetry)?;
        let http = http::Client::new(CONNECT_MS);
        Ok(Self {
            attempts: guard::Attempts::new(identity.incarnation),
            wanted: watch::Sender::new(None),
            identity,
            credential: link::Credential::new(&settings.credentials.cluster),
            store: sync::Mutex::new(store::Store::new(settings.weights.staged_max_bytes)),
            engine: engine::Engine::new(settings.upstream.address, http.clone()),
            transfer: transfer::Transfer::new(&settings.weights),
            upload_pace: sync::Arc::new(pace::Pace::new(settings.weights.upload_bytes_per_s)),
            settings,
            http,
            operations: http::Client::without_reuse(CONNECT_MS),
            config: watch::Sender::new(replica::Replica::default()),
            weights: watch::Sender::new(Weights { phase: "idle", ..Weights::default() }),
            report: sync::Mutex::new(report),
            running: sync::Mutex::default(),
            by_entry: sync::Mutex::default(),
            sequence: atomic::AtomicU64::new(0),
            telemetry,
            leaving: atomic::AtomicBool::new(false),
        })
    }

    fn is_engine(&self) -> bool {
        self.settings.upstream.kind == settings::agent::UpstreamKind::Engine
    }

    /// Takes a configuration update, upwards only. `false` asks for the whole state.
    fn apply(&self, update: &wire::ConfigUpdate) -> bool {
        let Ok(update) = ciborium::from_reader(&update.payload[..]) else {
            return false;
        };
        let mut whole = true;
        self.config.send_if_modified(|config| match config.apply(&update) {
            Ok(rose) => rose,
            Err(error) => {
                log::warn!("agent: configuration not applied: {error}");
                whole = false;
                false
            }
        });
        whole
    }

    /// What an entry at this address is told.
    fn announcement(&self, entry: &str) -> wire::Announcement {
        let weights = self.weights.borrow().clone();
        let report = self.report.lock().expect("no panic under lock").clone();
        let service = self.settings.upstream.service.clone();
        let model = weights.model.as_ref().map(ToString::to_string);
        wire::Announcement {
            instance: self.identity.name.to_string(),
            zone: self.identity.zone.to_string(),
            region: self.identity.region.to_string(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence.fetch_add(1, atomic::Ordering::Relaxed),
            target: service.or(model).unwrap_or_default(),
            kind: match self.is_engine() {
                true => wire::AnnouncementKind::Engine,
                false => wire::AnnouncementKind::Service,
            },
            call_address: self.settings.listen.calls.to_string(),
            leaving: self.leaving.load(atomic::Ordering::Relaxed),
            serving: weights.serving.map(|version| version.to_string()),
            holds: None,
            phase: weights.phase.to_owned(),
            behind: weights.behind,
            applied_revision: self.config.borrow().revision(),
            origin_bytes: weights.origin_bytes,
            peer_bytes: weights.peer_bytes,
            region_bytes: weights.region_bytes,
            staged_bytes: weights.staged_bytes,
            size_bytes: weights.size_bytes,
            running: report.running,
            queued: report.queued,
            slots: self.settings.upstream.slots.into(),
            from_here: report.by_entry.get(entry).copied().unwrap_or(0),
            report_age_ms: report.at.elapsed().as_millis() as u64,
        }
    }
}

/// Runs an agent until the stop, then lets the calls in progress end.
pub async fn run(
    mut settings: settings::agent::Settings,
    listener: net::TcpListener,
    stop: stop::Stop,
) -> Result<(), AgentError> {
    if let Ok(address) = listener.local_addr() {
        settings.listen.calls = address;
    }
    let grace_ms = settings.listen.grace_ms;
    let agent = sync::Arc::new(Agent::new(settings)?);
    let (stopper, lingered) = stop::pair();
    let mut tasks = tokio::task::JoinSet::new();
    let inbound = &agent.settings.inbound;
    let inbound = http::Inbound::new(inbound, inbound.memory_mb, agent.telemetry.clone());
    tasks.spawn(inbound.clone().report());
    let serving = http::serve(listener, calls::router(&agent), inbound, lingered, grace_ms);
    let serving = tokio::spawn(serving);
    for address in agent.settings.entries.addresses.clone() {
        tasks.spawn(announce::to_entry(agent.clone(), address.to_string()));
    }
    if agent.is_engine() {
        tasks.spawn(rollout::run(agent.clone()));
        tasks.spawn(transfer::run(agent.clone()));
        tasks.spawn(engine::give_orders(agent.clone()));
        tasks.spawn(engine::watch_load(agent.clone()));
    }
    stop.wait().await;
    log::info!("agent: {} is leaving", agent.identity.name);
    agent.leaving.store(true, atomic::Ordering::Relaxed);
    agent.weights.send_modify(|_| ());
    tokio::time::sleep(std::time::Duration::from_millis(LINGER_MS)).await;
    stopper.stop();
    let finished = serving.await.unwrap_or(false);
    guard::settled(&agent, grace_ms).await;
    agent.telemetry.flush();
    log::info!("agent: stopped, all calls finished: {finished}");
    Ok(())
}
