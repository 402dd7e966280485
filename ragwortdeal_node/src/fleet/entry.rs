//! The entry of a fleet: takes callers' requests and sends them straight to upstreams.

mod answer_memory;
mod endings;
mod events;
mod exchange;
mod health;
mod isolation;
mod outcome;
mod planned_stop;
mod pool;
mod probes;
mod relay;
mod request;
mod serve;
mod signals;
mod upstreams;
mod voter_updates;
mod whole_answer;

use std::{
    sync::{self, atomic},
    time,
};

use ragwortdeal_core::{
    dispatch::{isolation::fingerprint, retry_budget},
    document::table,
};
use rand::RngExt as _;
use snafu::{ResultExt as _, Snafu};
use tokio::{net, sync::mpsc};

use super::{dialect, metrics, notice, voter_links};
use crate::{clock, http, settings, stop, telemetry};

/// How long a stopping entry goes on accepting connections after it reported that it is not ready:
/// the load balancer polls every second, acts on the second failed check, and needs a moment to do
/// so.
const READINESS_DRAIN_MS: u64 = 2_400;

/// Subtracted from the grace period, so that the process ends by itself before it is killed.
const SHUTDOWN_MARGIN_MS: u64 = 400;

/// Time before the end of the process in which the answers to requests that are not complete are
/// written.
const LAST_ANSWERS_MS: u64 = 300;

/// Idle timeout of callers' connections. Callers reuse theirs for less than the document's bound,
/// which is not known when the listener opens.
const CALLER_IDLE_MS: u64 = 30_000;

/// Connections on which the balancer's health checks come.
const READINESS_CONNECTIONS_MAX: usize = 32;

/// How often idle connections and upstreams that left are cleaned up.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Queue length for changes of rates that are not reported yet.
const QUEUED_RATES_MAX: usize = 1_024;

/// How often upstreams are checked for progress. Events of a stream come several times as often,
/// and a caller counts a pause of three such checks as late.
const PROGRESS_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Why an entry cannot run.
#[derive(Debug, Snafu)]
pub enum EntryError {
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
        source: ragwortdeal_core::name::NameError,
    },
    /// A listener cannot be opened.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddrV4,
        /// Why.
        source: std::io::Error,
    },
}

/// The listening sockets of an entry.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: net::TcpListener,
    /// For the load balancer's health checks.
    pub readiness: net::TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    pub async fn bind(settings: &settings::fleet::Settings) -> Result<Self, EntryError> {
        let listen = &settings.listen;
        let callers = listen.callers.ok_or(EntryError::Missing { what: "listen.callers" })?;
        let readiness = listen.readiness.ok_or(EntryError::Missing { what: "listen.readiness" })?;
        let bind =
            async |address| net::TcpListener::bind(address).await.context(ListenSnafu { address });
        Ok(Self { callers: bind(callers).await?, readiness: bind(readiness).await? })
    }
}

/// An entry and its state.
pub struct Entry {
    dialect: dialect::DialectRef,
    budget: retry_budget::Budget,
    clock: clock::Clock,
    /// The document in force, or none before the first one arrives.
    table: arc_swap::ArcSwapOption<table::Table>,
    held_version: sync::Arc<atomic::AtomicU64>,
    upstreams: sync::Mutex<upstreams::Upstreams>,
    pool: pool::Pool,
    answer_memory: answer_memory::AnswerMemory,
    inbound: http::Inbound,
    endings: endings::Endings,
    isolation: isolation::Isolation,
    fingerprints: fingerprint::Key,
    /// Changes of rates that upstreams name, for the voters.
    rates_to_report: mpsc::Sender<notice::NamedRate>,
    telemetry: telemetry::Telemetry,
    planned_stop: planned_stop::PlannedStop,
}

impl Entry {
    fn new(
        settings: &settings::fleet::Settings,
        dialect: dialect::DialectRef,
        telemetry: telemetry::Telemetry,
        isolation: isolation::Isolation,
        rates_to_report: mpsc::Sender<notice::NamedRate>,
        inbound: http::Inbound,
    ) -> Self {
        let bounds = &settings.bounds;
        let budget = retry_budget::Budget {
            ratio: bounds.budget_ratio,
            allowance: bounds.budget_allowance,
            window_ms: (bounds.budget_window_s * 1_000.0) as u64,
        };
        let upstreams = upstreams::Upstreams::new(
            settings.fleet.address,
            settings.process.availability_zone.as_str().into(),
            regions(&settings.fleet),
            bounds.weights_ms,
            rand::rng().random(),
            upstreams::cold::ColdStarts::new(bounds),
        );
        Self {
            dialect,
            budget,
            clock: clock::Clock::start(),
            table: arc_swap::ArcSwapOption::empty(),
            held_version: sync::Arc::default(),
            upstreams: sync::Mutex::new(upstreams),
            pool: pool::Pool::default(),
            answer_memory: answer_memory::AnswerMemory::new(bounds),
            inbound,
            endings: endings::Endings::default(),
            isolation,
            fingerprints: fingerprint::Key::new(&settings.credentials.cluster),
            rates_to_report,
            telemetry,
            planned_stop: planned_stop::PlannedStop::new(),
        }
    }

    fn upstreams(&self) -> sync::MutexGuard<'_, upstreams::Upstreams> {
        self.upstreams.lock().expect("no panic under lock")
    }

    fn is_stopping(&self) -> bool {
        self.planned_stop.is_begun()
    }

    /// A random number to spread requests by. It needs not be unpredictable.
    fn random_u64(&self) -> u64 {
        rand::rng().random()
    }
}

/// Region of each availability zone.
fn regions(fleet: &settings::fleet::Fleet) -> upstreams::Regions {
    let region =
        |(zone, region): (&String, &String)| (zone.as_str().into(), region.as_str().into());
    fleet.regions.iter().map(region).collect()
}

/// Runs an entry until it is told to stop, then lets the requests in progress end.
pub async fn run(
    settings: settings::fleet::Settings,
    dialect: dialect::DialectRef,
    listeners: Listeners,
    seeds: voter_links::Seeds,
    stop: stop::Stop,
) -> Result<(), EntryError> {
    let settings = sync::Arc::new(settings);
    let mut identity = settings.process.identity()?;
    identity.name = ragwortdeal_core::name::InstanceName::new(&settings.fleet.address.to_string())?;
    let (telemetry, inbound) = metrics::start(&settings, stop.clone()).await;
    let (isolation, to_tell) = isolation::Isolation::new(settings.fleet.address);
    let (rates_to_report, rates) = mpsc::channel(QUEUED_RATES_MAX);
    let entry =
        Entry::new(&settings, dialect, telemetry, isolation, rates_to_report, inbound.clone());
    let entry = sync::Arc::new(entry);
    let (voters, events) =
        voter_links::start(settings.clone(), identity, "entry", entry.held_version.clone(), seeds);
    tokio::spawn(voter_updates::apply(entry.clone(), voters.clone(), events));
    tokio::spawn(isolation::run(entry.clone(), voters.clone(), to_tell));
    tokio::spawn(report_rates(voters.clone(), rates));
    tokio::spawn(sweep(entry.clone(), voters.clone()));
    tokio::spawn(watch_progress(entry.clone()));
    tokio::spawn(probes::run(entry.clone(), settings.clone()));
    let (stopper, callers_stop) = stop::pair();
    let (readiness_stopper, readiness_stop) = stop::pair();
    let bounds = http::Bounds { head_ms: CALLER_IDLE_MS, ..http::Bounds::new(inbound) };
    let readiness = http::route(entry.clone(), readiness);
    let readiness_bounds =
        http::Bounds { connections_max: Some(READINESS_CONNECTIONS_MAX), ..bounds.clone() };
    let serving =
        http::serve_with(listeners.readiness, readiness, readiness_bounds, readiness_stop, 0);
    tokio::spawn(serving);
    let grace_ms = (settings.bounds.grace_s * 1_000.0) as u64;
    let grace_ms = grace_ms.saturating_sub(READINESS_DRAIN_MS + SHUTDOWN_MARGIN_MS);
    let handler = http::route(entry.clone(), serve::answer);
    let callers =
        tokio::spawn(http::serve_with(listeners.callers, handler, bounds, callers_stop, grace_ms));
    log::info!("entry: started, seeds={:?}", settings.fleet.seeds);
    stop.wait().await;
    log::info!("entry: shutting down, readiness withdrawn");
    let last_answers_ms = (READINESS_DRAIN_MS + grace_ms).saturating_sub(LAST_ANSWERS_MS);
    entry.planned_stop.begin(time::Duration::from_millis(last_answers_ms));
    tokio::time::sleep(time::Duration::from_millis(READINESS_DRAIN_MS)).await;
    stopper.stop();
    let finished = callers.await.unwrap_or(false);
    readiness_stopper.stop();
    drop(voters);
    log::info!("entry: stopped, all requests finished: {finished}");
    Ok(())
}

/// Reports ready from the first known document until shutdown.
async fn readiness(entry: sync::Arc<Entry>, _request: http::Request) -> http::Response {
    let known = entry.table.load().is_some();
    match known && !entry.is_stopping() {
        true => http::respond(200, "text/plain", http::full("ready\n")),
        false => http::respond(503, "text/plain", http::full("not ready\n")),
    }
}

/// Reports changes of rates that upstreams name, as long as the process runs.
async fn report_rates(voters: voter_links::Voters, mut rates: mpsc::Receiver<notice::NamedRate>) {
    while let Some(rate) = rates.recv().await {
        voters.broadcast(&notice::Notice::NamedRates(vec![rate]));
    }
}

async fn sweep(entry: sync::Arc<Entry>, voters: voter_links::Voters) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now_ms = entry.clock.now_ms();
        let mut upstreams = entry.upstreams();
        upstreams.forget_gone(now_ms);
        upstreams.end_cold(now_ms);
        let counts = upstreams.flow_counts(now_ms);
        let awaited = upstreams.awaited(now_ms);
        let evacuated = upstreams.evacuated_count();
        entry.pool.sweep(|peer| upstreams.is_routable(peer));
        drop(upstreams);
        entry.isolation.forget_needless_copies(now_ms);
        entry.telemetry.gauge("entry.upstreams_limited", counts.limited);
        entry.telemetry.gauge("entry.upstreams_paused", counts.paused);
        entry.telemetry.gauge("entry.upstreams_leaving", counts.leaving);
        entry.telemetry.gauge("entry.upstreams_cold", counts.cold);
        entry.telemetry.gauge("entry.zones_evacuated", evacuated);
        entry.telemetry.gauge("entry.answer_bytes_held", entry.answer_memory.held_bytes());
        entry.telemetry.gauge("entry.parts_isolated", entry.isolation.isolated_count());
        if !awaited.is_empty() {
            voters.broadcast(&notice::Notice::AwaitedUpstreams(awaited));
        }
    }
}

/// Detects upstreams that fell silent. After this process itself was suspended, the missed checks
/// are not made up for: data that arrived meanwhile is not read yet.
async fn watch_progress(entry: sync::Arc<Entry>) {
    loop {
        tokio::time::sleep(PROGRESS_CHECK_INTERVAL).await;
        let now_ms = entry.clock.now_ms();
        let interval_ms = PROGRESS_CHECK_INTERVAL.as_millis() as u64;
        entry.upstreams().check_progress(interval_ms, now_ms);
    }
}
