//! The agent of a fleet: brings weights to the engine on its instance.
//!
//! It fetches the chunks of the named version by the spread policy, stages them at the engine, reads
//! them back, and orders the engine to load them. `docs/design/platform.md` has the times.

mod engine;
mod fetch;
mod heard;
mod keeper;
mod origin;
mod peers;
mod spread;
mod words;

use std::{
    collections, net as std_net,
    sync::{self, atomic},
};

use ragwortdeal_core::{
    document::{self, naming, store},
    name,
};
use snafu::Snafu;
use tokio::{net, sync::mpsc, sync::watch};

use super::{compression, dialect, metrics, notice, voter_links};
use crate::{clock, http, link, pace, settings, stop, telemetry};

/// How long a connect may take; engine, peers and origin stand a few milliseconds away.
const CONNECT_MS: u64 = 500;

/// Part of the instance's link that chunks to peers may take. The rest is for the events of streams,
/// which come late where they wait behind chunks; a copy takes 2.5 s in place of 2.0 s for it.
const UPLOAD_SHARE: f64 = 0.8;

/// Why an agent cannot run.
#[derive(Debug, Snafu)]
pub enum AgentError {
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
        source: name::NameError,
    },
}

/// What this agent is to do, as the voters tell.
#[derive(Clone, Debug, Default, PartialEq)]
struct Told {
    document: Option<sync::Arc<document::Document>>,
    /// Weights that were named.
    named: naming::Namings,
    /// Agents, by the voter that tells of them.
    seats: collections::BTreeMap<std_net::Ipv4Addr, Seats>,
}

/// Agents by their address.
type Seats = collections::BTreeMap<std_net::Ipv4Addr, notice::AgentInfo>;

/// An agent and its state.
struct Agent {
    spoken: dialect::DialectRef,
    settings: sync::Arc<settings::fleet::Settings>,
    identity: settings::common::Identity,
    credential: link::Credential,
    engine: std_net::SocketAddrV4,
    service: String,
    http: http::Client,
    clock: clock::Clock,
    held_version: sync::Arc<atomic::AtomicU64>,
    told: watch::Sender<Told>,
    spread: spread::Spread,
    upload_pace: pace::Pace,
    /// Held while a manifest is fetched.
    listing: tokio::sync::Mutex<()>,
    telemetry: telemetry::Telemetry,
    voters: sync::OnceLock<voter_links::Voters>,
    serves: sync::Mutex<notice::EngineStatus>,
    /// Start of the engine by its newest announcement.
    engine_born_ms: atomic::AtomicU64,
}

/// Runs an agent until the stop.
pub async fn run(
    settings: settings::fleet::Settings,
    spoken: dialect::DialectRef,
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
    let (telemetry, _) = metrics::start(settings.listen.metrics, stop.clone()).await;
    let agent = sync::Arc::new(Agent {
        spoken,
        credential: link::Credential::new(&settings.credentials.cluster),
        engine,
        service,
        http: http::Client::new(CONNECT_MS),
        clock: clock::Clock::start(),
        held_version: sync::Arc::default(),
        told: watch::Sender::new(Told::default()),
        spread: spread::Spread::new(spread::chunk_ms(settings.fleet.link_mbps)),
        listing: tokio::sync::Mutex::new(()),
        upload_pace: pace::Pace::new(upload_bytes_per_s(settings.fleet.link_mbps)),
        telemetry,
        voters: sync::OnceLock::new(),
        serves: sync::Mutex::new(notice::EngineStatus {
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
        engine_born_ms: atomic::AtomicU64::new(0),
    });
    let (voters, told) =
        voter_links::start(settings, identity, "agent", agent.held_version.clone(), seeds);
    let _ = agent.voters.set(voters);
    tokio::spawn(learn(agent.clone(), told));
    tokio::spawn(keeper::run(agent.clone()));
    tokio::spawn(spread::tick(agent.clone()));
    tokio::spawn(words::run(agent.clone()));
    let handler = http::route(agent.clone(), peers::answer);
    let (stopper, serve_stop) = stop::pair();
    tokio::spawn(http::serve_with(listener, handler, http::Bounds::default(), serve_stop, 0));
    log::info!("agent: started, engine={engine}");
    stop.wait().await;
    stopper.stop();
    log::info!("agent: stopped");
    Ok(())
}

/// Bytes a second that chunks may take of the instance's link.
fn upload_bytes_per_s(link_mbps: f64) -> u64 {
    (link_mbps * 125_000.0 * UPLOAD_SHARE) as u64
}

/// Takes what voters tell.
async fn learn(agent: sync::Arc<Agent>, mut told: mpsc::Receiver<voter_links::Event>) {
    while let Some(told) = told.recv().await {
        match told {
            voter_links::Event::Notice(_, notice::Notice::Documents(documents)) => {
                agent.documents(&documents);
            }
            voter_links::Event::Notice(voter, notice::Notice::Namings(named)) => {
                agent.named(voter, &named);
            }
            voter_links::Event::Notice(voter, notice::Notice::Agents(mut seats)) => {
                // Of two processes at one address the one that started later runs.
                seats.sort_by_key(|seat| seat.incarnation);
                let seats = seats.into_iter().map(|seat| (seat.address, seat)).collect();
                agent.told.send_modify(|told| _ = told.seats.insert(voter, seats));
            }
            voter_links::Event::Notice(voter, notice::Notice::Agent(seat)) => {
                agent.told.send_modify(|told| {
                    let seats = told.seats.entry(voter).or_default();
                    seats.insert(seat.address, seat);
                });
            }
            voter_links::Event::Notice(voter, notice::Notice::AgentLeft(address)) => {
                agent.told.send_modify(|told| {
                    if let Some(seats) = told.seats.get_mut(&voter) {
                        seats.remove(&address);
                    }
                });
            }
            voter_links::Event::Notice(_, notice::Notice::Upstreams(said)) => {
                let own = said.iter().filter(|said| said.address == agent.engine);
                own.for_each(|said| agent.engine_announced(said.age.born_ms));
            }
            voter_links::Event::Notice(_, notice::Notice::EngineStatus(held)) => {
                agent.overtake(&held);
            }
            voter_links::Event::Up(voter) => agent.tell_again(voter),
            voter_links::Event::Down(voter) => {
                agent.told.send_modify(|told| _ = told.seats.remove(&voter));
            }
            voter_links::Event::Notice(..) => (),
        }
    }
}

impl Agent {
    fn documents(&self, documents: &store::Store) {
        let newer = documents
            .document
            .as_ref()
            .filter(|sealed| sealed.version > self.held_version.load(atomic::Ordering::Relaxed));
        let read = newer.and_then(|sealed| match self.read(sealed) {
            Ok(document) => Some(document),
            Err(error) => {
                log::error!("agent: document version={} cannot be read: {error}", sealed.version);
                None
            }
        });
        if let Some(document) = &read {
            self.held_version.store(document.version, atomic::Ordering::Relaxed);
        }
        self.told.send_modify(|told| {
            if let Some(document) = read {
                told.document = Some(sync::Arc::new(document));
            }
        });
    }

    fn named(&self, voter: std_net::Ipv4Addr, named: &[naming::Naming]) {
        let now_ms = self.clock.now_ms();
        self.told.send_modify(|told| {
            for naming in named {
                if told.named.is_news(naming, now_ms) {
                    notice::log_naming("agent", voter, naming);
                }
                told.named.record(naming, now_ms);
            }
        });
    }

    fn read(&self, sealed: &store::StoredDocument) -> Result<document::Document, String> {
        let bytes = compression::decompress(&sealed.body).map_err(|error| error.to_string())?;
        self.spoken.document(&bytes).map_err(|error| error.to_string())
    }

    /// Notes the start of the engine, which its reports do not tell.
    fn engine_announced(&self, born_ms: u64) {
        let held_ms = self.engine_born_ms.fetch_max(born_ms, atomic::Ordering::Relaxed);
        if held_ms < born_ms {
            log::info!("agent: the engine on this instance started at born={born_ms}");
        }
    }

    /// Tells entries, by the voters, which version the engine serves and whether it takes work.
    fn say(&self, version: u64, accepts: bool) {
        let (complete_version, narrow) =
            (self.spread.whole_version(), self.spread.congestion().is_narrow());
        let born_ms = self.engine_born_ms.load(atomic::Ordering::Relaxed);
        let mut serves = self.serves.lock().expect("no panic under lock");
        let said = (
            serves.born_ms,
            serves.version,
            serves.accepts,
            serves.complete_version,
            serves.narrow,
        );
        if said == (born_ms, version, accepts, complete_version, narrow) {
            return;
        }
        log::info!(
            "agent: engine born={born_ms} serves version={version} accepts={accepts} whole={complete_version} \
             narrow={narrow}"
        );
        let sequence = serves.sequence + 1;
        let address = serves.address;
        *serves = notice::EngineStatus {
            address,
            born_ms,
            sequence,
            version,
            accepts,
            complete_version,
            narrow,
        };
        self.tell(&serves);
    }

    /// Tells a voter that comes into reach what it may have missed, or lost by a restart.
    fn tell_again(&self, voter: std_net::Ipv4Addr) {
        let Some(voters) = self.voters.get() else {
            return;
        };
        let within_ms = self.settings.bounds.weights_ms;
        let named = self.told.borrow().named.export_open(within_ms, self.clock.now_ms());
        voters.send_to(voter, &notice::Notice::Namings(named));
        let serves = self.serves.lock().expect("no panic under lock");
        if serves.born_ms > 0 {
            voters.send_to(voter, &notice::Notice::EngineStatus(serves.clone()));
        }
    }

    /// Numbers its words above one that a voter holds from an earlier process on this instance. A
    /// number begins at the time of day, which may have been set back since; entries would believe
    /// the earlier process for ever.
    fn overtake(&self, held: &notice::EngineStatus) {
        let mut serves = self.serves.lock().expect("no panic under lock");
        if held.address != serves.address || held.sequence < serves.sequence || *held == *serves {
            return;
        }
        log::warn!(
            "agent: a voter holds word number={} of an earlier process, own number={}",
            held.sequence,
            serves.sequence
        );
        serves.sequence = held.sequence.saturating_add(1);
        if serves.born_ms > 0 {
            self.tell(&serves);
        }
    }

    fn tell(&self, serves: &notice::EngineStatus) {
        if let Some(voters) = self.voters.get() {
            voters.broadcast(&notice::Notice::EngineStatus(serves.clone()));
        }
    }

    /// Other agents that run, as any voter knows them.
    fn seats(&self) -> Seats {
        let told = self.told.borrow();
        let mut seats = Seats::new();
        for seat in told.seats.values().flat_map(collections::BTreeMap::values) {
            let later = |held: &notice::AgentInfo| held.incarnation >= seat.incarnation;
            if seat.address != self.settings.fleet.address
                && !seats.get(&seat.address).is_some_and(later)
            {
                seats.insert(seat.address, seat.clone());
            }
        }
        seats
    }
}
