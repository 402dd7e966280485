//! The entry: takes callers' requests, routes them to upstreams, and is the operators' API.

mod callers;
mod calls;
mod control;
mod members;
mod operations;
mod operator;
mod relay;
mod roster;
mod stream;

use std::{
    collections,
    sync::{self, atomic},
};

use ragwortdeal_core::{claims::attempt, config::replica, name};
use snafu::Snafu;
use tokio::{net, sync::watch};

use crate::{clock, http, link, settings, stop, telemetry, voter};

/// Connections of operators and their tools.
const OPERATOR_CONNECTIONS_MAX: usize = 256;

/// Why an entry cannot run.
#[derive(Debug, Snafu)]
pub enum EntryError {
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
    /// The voter part on this instance failed.
    #[snafu(display("voter part: {source}"), context(false))]
    Voter {
        /// What is wrong.
        source: voter::VoterError,
    },
}

/// The sockets that an entry listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers, behind the balancer.
    pub callers: net::TcpListener,
    /// For operators.
    pub operators: net::TcpListener,
    /// For links of agents and other entries.
    pub links: net::TcpListener,
    /// For links to the voter part, where this entry carries it.
    pub voter: Option<net::TcpListener>,
}

impl Listeners {
    /// Binds the addresses of the settings.
    pub async fn bind(settings: &settings::entry::Settings) -> std::io::Result<Self> {
        let listen = &settings.listen;
        let voter = match settings.voter.data_dir {
            Some(_) => Some(net::TcpListener::bind(listen.voter).await?),
            None => None,
        };
        Ok(Self {
            voter,
            callers: net::TcpListener::bind(listen.callers).await?,
            operators: net::TcpListener::bind(listen.operators).await?,
            links: net::TcpListener::bind(listen.links).await?,
        })
    }
}

/// An entry and its state.
pub struct Entry {
    identity: settings::common::Identity,
    settings: settings::entry::Settings,
    credential: link::Credential,
    /// Accounts by the secret that their callers present.
    accounts: collections::HashMap<String, name::AccountName>,
    clock: clock::Clock,
    http: http::Client,
    config: watch::Sender<replica::Replica>,
    members: sync::Mutex<members::Members>,
    traffic: sync::Mutex<calls::traffic::Traffic>,
    /// Weights of the accounts that have one.
    weights: collections::HashMap<name::AccountName, u32>,
    voters: Vec<link::Link>,
    sessions: sync::Mutex<collections::HashMap<link::SessionId, relay::Subscriber>>,
    roster: roster::Roster,
    next_request: atomic::AtomicU64,
    attempts: sync::Mutex<attempt::AttemptIdGenerator>,
    telemetry: telemetry::Telemetry,
    ready: atomic::AtomicBool,
    /// Whether some source has told which configuration is in force.
    told: atomic::AtomicBool,
    /// The highest revision that any upstream said it had applied.
    floor_revision: atomic::AtomicU64,
}

impl Entry {
    fn new(
        settings: settings::entry::Settings,
        events: tokio::sync::mpsc::Sender<control::VoterEvent>,
    ) -> Result<Self, EntryError> {
        let identity = settings.process.identity()?;
        let telemetry = telemetry::Telemetry::start(&identity.name, &settings.telemetry)?;
        let credential = link::Credential::new(&settings.credentials.cluster);
        let mut accounts = collections::HashMap::new();
        let mut weights = collections::HashMap::new();
        for account in &settings.accounts {
            let name = name::AccountName::new(&account.name)?;
            accounts.insert(account.token.clone(), name.clone());
            weights.extend(account.weight.map(|weight| (name, weight)));
        }
        let attempts =
            attempt::AttemptIdGenerator::new(identity.name.clone(), identity.incarnation);
        let voters = control::open_links(&settings, &identity, &credential, events);
        let traffic = calls::traffic::Traffic::new(identity.incarnation);
        Ok(Self {
            identity,
            credential,
            accounts,
            clock: clock::Clock::start(),
            http: http::Client::new(500),
            config: watch::Sender::new(replica::Replica::default()),
            members: sync::Mutex::new(members::Members::new(settings.limits.lease_ms)),
            traffic: sync::Mutex::new(traffic),
            weights,
            settings,
            voters,
            sessions: sync::Mutex::default(),
            roster: roster::Roster::default(),
            next_request: atomic::AtomicU64::new(1),
            attempts: sync::Mutex::new(attempts),
            telemetry,
            ready: atomic::AtomicBool::new(true),
            told: atomic::AtomicBool::new(false),
            floor_revision: atomic::AtomicU64::new(0),
        })
    }

    /// A new identifier for a request that came without one.
    fn request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, atomic::Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.identity.name, self.identity.incarnation)
    }
}

/// Runs an entry until the stop, then lets the requests in progress end.
pub async fn run(
    settings: settings::entry::Settings,
    listeners: Listeners,
    stop: stop::Stop,
) -> Result<(), EntryError> {
    let (unready_ms, grace_ms) = (settings.listen.unready_ms, settings.listen.grace_ms);
    let (sender, events) = tokio::sync::mpsc::channel(control::EVENTS);
    let entry = sync::Arc::new(Entry::new(settings, sender)?);
    let (stopper, unready) = stop::pair();
    let mut tasks = tokio::task::JoinSet::new();
    let inbound = &entry.settings.inbound;
    let inbound = http::Inbound::new(inbound, inbound.memory_mb, entry.telemetry.clone());
    tasks.spawn(inbound.clone().report());
    let routes = callers::router(&entry);
    let callers =
        http::serve(listeners.callers, routes, inbound.clone(), unready.clone(), grace_ms);
    let callers = tokio::spawn(callers);
    let bounds = http::Bounds {
        connections_max: Some(OPERATOR_CONNECTIONS_MAX),
        ..http::Bounds::new(inbound)
    };
    let operators = operator::router(&entry);
    let operators = http::serve_with(listeners.operators, operators, bounds, unready, grace_ms);
    let operators = tokio::spawn(operators);
    tasks.spawn(control::follow(entry.clone(), events));
    tasks.spawn(members::expire(entry.clone()));
    tasks.spawn(calls::demand::keep_time(entry.clone()));
    for address in &entry.settings.entries.addresses {
        tasks.spawn(calls::demand::tell(entry.clone(), address.to_string()));
    }
    tasks.spawn(roster::follow(entry.clone()));
    let limits = link::LinkLimits::default();
    let credential = entry.credential.clone();
    let (links_stopper, links_stop) = stop::pair();
    let service = sync::Arc::new(relay::Links(entry.clone()));
    tasks.spawn(link::serve(listeners.links, credential, limits, service, links_stop));
    let (voter_stopper, voter_stop) = stop::pair();
    let voting = listeners.voter.map(|listener| {
        let settings = voter_settings(&entry.settings);
        tokio::spawn(voter::run(settings, listener, voter_stop))
    });
    stop.wait().await;
    log::info!("entry: {} is leaving", entry.identity.name);
    entry.ready.store(false, atomic::Ordering::Relaxed);
    tokio::time::sleep(std::time::Duration::from_millis(unready_ms)).await;
    stopper.stop();
    let finished = callers.await.unwrap_or(false);
    let _ = operators.await;
    links_stopper.stop();
    voter_stopper.stop();
    if let Some(voting) = voting
        && let Ok(ended) = voting.await
    {
        ended?;
    }
    entry.telemetry.flush();
    log::info!("entry: stopped, all requests finished: {finished}");
    Ok(())
}

/// Settings of the voter part of an entry.
fn voter_settings(settings: &settings::entry::Settings) -> settings::voter::Settings {
    settings::voter::Settings {
        process: settings.process.clone(),
        listen: settings::voter::Listen { links: settings.listen.voter },
        voter: settings.voter.clone(),
        credentials: settings.credentials.clone(),
        log: settings.log.clone(),
        telemetry: settings.telemetry.clone(),
    }
}
