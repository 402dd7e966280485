//! The entry of a fleet: takes callers' requests and sends them straight to upstreams.

mod events;
mod exchange;
mod health;
mod learn;
mod pool;
mod questions;
mod relay;
mod request;
mod serve;
mod upstreams;

use std::{
    sync::{self, atomic},
    time,
};

use ragwortdeal_core::{dispatch::retry_budget, document::table};
use rand::RngExt as _;
use snafu::{ResultExt as _, Snafu};
use tokio::net;

use super::{dialect, metrics, voter_links};
use crate::{clock, http, settings, stop, telemetry};

/// How long a stopping entry goes on taking connections after it said that it is not ready: the
/// balancer asks every second, believes the second answer, and needs a moment to act on it.
const UNREADY_MS: u64 = 2_400;

/// Taken off the time before the kill, so that the process ends by itself.
const END_MARGIN_MS: u64 = 400;

/// Longest time for which a kept connection of a caller stays idle. Callers reuse theirs for less
/// than the document's bound, which is not known when the listener opens.
const CALLER_IDLE_MS: u64 = 30_000;

/// How often idle connections and lists are looked through.
const SWEEP: time::Duration = time::Duration::from_millis(500);

/// How often it is looked which upstreams have said something. Events of a stream come several times
/// as often, and a caller counts a pause of three looks as late.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// Why an entry cannot run.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The settings lack something.
    #[snafu(display("read settings: {what} is missing"))]
    Missing {
        /// What.
        what: &'static str,
    },
    /// A name in the settings is malformed.
    #[snafu(display("read settings: {source}"), context(false))]
    Name {
        /// What is wrong.
        source: ragwortdeal_core::name::NameError,
    },
    /// A listener cannot be opened.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// Where.
        address: std::net::SocketAddrV4,
        /// What is wrong.
        source: std::io::Error,
    },
}

/// The sockets of an entry.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: net::TcpListener,
    /// For the balancer.
    pub readiness: net::TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
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
    spoken: dialect::DialectRef,
    budget: retry_budget::Budget,
    clock: clock::Clock,
    /// The document in force; none before the first is known here.
    table: arc_swap::ArcSwapOption<table::Table>,
    held_version: sync::Arc<atomic::AtomicU64>,
    fleet: sync::Mutex<upstreams::Fleet>,
    pool: pool::Pool,
    telemetry: telemetry::Telemetry,
    stopping: atomic::AtomicBool,
}

impl Entry {
    fn new(
        settings: &settings::fleet::Settings,
        spoken: dialect::DialectRef,
        telemetry: telemetry::Telemetry,
    ) -> Self {
        let bounds = &settings.bounds;
        let budget = retry_budget::Budget {
            ratio: bounds.budget_ratio,
            allowance: bounds.budget_allowance,
            window_ms: (bounds.budget_window_s * 1_000.0) as u64,
        };
        let fleet = upstreams::Fleet::new(
            settings.process.availability_zone.as_str().into(),
            settings.fleet.regions.len(),
            bounds.weights_ms,
        );
        Self {
            spoken,
            budget,
            clock: clock::Clock::start(),
            table: arc_swap::ArcSwapOption::empty(),
            held_version: sync::Arc::default(),
            fleet: sync::Mutex::new(fleet),
            pool: pool::Pool::default(),
            telemetry,
            stopping: atomic::AtomicBool::new(false),
        }
    }

    fn fleet(&self) -> sync::MutexGuard<'_, upstreams::Fleet> {
        self.fleet.lock().expect("no panic under lock")
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }

    /// A number to spread requests by. Nothing has to be able to foretell it.
    fn draw(&self) -> u64 {
        rand::rng().random()
    }
}

/// Runs an entry until the stop, then lets the requests in progress end.
pub async fn run(
    settings: settings::fleet::Settings,
    spoken: dialect::DialectRef,
    listeners: Listeners,
    seeds: voter_links::Seeds,
    stop: stop::Stop,
) -> Result<(), EntryError> {
    let settings = sync::Arc::new(settings);
    let mut identity = settings.process.identity()?;
    identity.name = ragwortdeal_core::name::InstanceName::new(&settings.fleet.address.to_string())?;
    let (telemetry, _) = metrics::start(settings.listen.metrics, stop.clone()).await;
    let entry = sync::Arc::new(Entry::new(&settings, spoken, telemetry));
    let (voters, told) =
        voter_links::start(settings.clone(), identity, "entry", entry.held_version.clone(), seeds);
    tokio::spawn(learn::follow(entry.clone(), voters.clone(), told));
    tokio::spawn(sweep(entry.clone()));
    tokio::spawn(watch_progress(entry.clone()));
    tokio::spawn(questions::run(entry.clone(), settings.clone()));
    let (stopper, unready) = stop::pair();
    let (readiness_stopper, readiness_stop) = stop::pair();
    let bounds = http::Bounds { head_ms: CALLER_IDLE_MS, ..http::Bounds::default() };
    let readiness = http::route(entry.clone(), readiness);
    tokio::spawn(http::serve_with(listeners.readiness, readiness, bounds, readiness_stop, 0));
    let grace_ms = (settings.bounds.grace_s * 1_000.0) as u64;
    let grace_ms = grace_ms.saturating_sub(UNREADY_MS + END_MARGIN_MS);
    let handler = http::route(entry.clone(), serve::answer);
    let callers =
        tokio::spawn(http::serve_with(listeners.callers, handler, bounds, unready, grace_ms));
    log::info!("entry: started, seeds={:?}", settings.fleet.seeds);
    stop.wait().await;
    log::info!("entry: stops, not ready from now on");
    entry.stopping.store(true, atomic::Ordering::Relaxed);
    tokio::time::sleep(time::Duration::from_millis(UNREADY_MS)).await;
    stopper.stop();
    let finished = callers.await.unwrap_or(false);
    readiness_stopper.stop();
    drop(voters);
    log::info!("entry: stopped, all requests finished: {finished}");
    Ok(())
}

/// Ready from the first known document to the stop.
async fn readiness(entry: sync::Arc<Entry>, _request: http::Request) -> http::Response {
    let known = entry.table.load().is_some();
    match known && !entry.is_stopping() {
        true => http::respond(200, "text/plain", http::full("ready\n")),
        false => http::respond(503, "text/plain", http::full("not ready\n")),
    }
}

async fn sweep(entry: sync::Arc<Entry>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let mut fleet = entry.fleet();
        fleet.forget_gone(entry.clock.now_ms());
        entry.pool.sweep(|peer| fleet.knows(peer));
    }
}

/// Looks for upstreams that have gone quiet. After a standstill of this process one look is made, and
/// not all that were missed: what came meanwhile is not read yet.
async fn watch_progress(entry: sync::Arc<Entry>) {
    loop {
        tokio::time::sleep(LOOK).await;
        let now_ms = entry.clock.now_ms();
        entry.fleet().check_progress(now_ms);
    }
}
