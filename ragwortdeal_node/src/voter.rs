//! The voter part: keeps the log of accepted changes and claims, and answers entries.
//!
//! `docs/design/control-state.md` tells how the voters agree, `docs/operators/repair.md` what to
//! do when one is lost.

mod disk;
mod driver;
pub mod fleet;
mod letter;
mod numbers;
pub mod operate;
mod peers;
mod proposals;
mod reads;

use std::{fmt, path, sync, time};

use ragwortdeal_core::{
    command, name,
    replication::{self, entry, replica},
};
use ragwortdeal_wire::link as wire;
use rand::RngExt as _;
use snafu::Snafu;
use tokio::{
    net,
    sync::{mpsc, oneshot},
};

use crate::{clock, link, settings, stop, storage};

/// Events that may wait for the voter. Letters beyond it are lost, as on a network.
const EVENTS: usize = 4_096;
/// How often the replica is told the time; several times within a heartbeat.
const TICK_MS: u64 = 20;
/// Time within which a planned stop has to end where nobody says how long it may take.
const STOP_MS: u64 = 2_000;
/// How long a request without an answer is held. Every requester has given up by then, and a
/// refusal earlier would claim that the proposal did not run, which nobody knows.
const UNANSWERED_MS: u64 = 60_000;
/// How often and how many times a folder is tried that a process just ended still holds.
const FOLDER_RETRY_MS: u64 = 100;
const FOLDER_RETRIES: u32 = 50;

/// Why a voter cannot run.
#[derive(Debug, Snafu)]
pub enum VoterError {
    /// The data folder cannot be used, or a write to it failed.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// What went wrong, where, at which step.
        source: storage::StorageError,
    },
    /// The settings hold a name that is none.
    #[snafu(display("settings: {source}"), context(false))]
    Name {
        /// What is wrong with it.
        source: name::NameError,
    },
    /// The replica stopped for good.
    #[snafu(display("stopped for good: {reason:?}; see docs/operators/repair.md"))]
    Stopped {
        /// Why.
        reason: replication::StopReason,
    },
    /// The state in a snapshot is not one that this program knows.
    #[snafu(display("the snapshot cannot be decoded: {what}"))]
    Snapshot {
        /// What is wrong with it.
        what: String,
    },
}

impl VoterError {
    /// Whether this voter can no longer vouch for what it acknowledged, so that only a new replica
    /// may take its place.
    fn is_data_lost(&self) -> bool {
        match self {
            Self::Storage { source } => source.is_data_lost(),
            Self::Stopped { reason } => *reason == replication::StopReason::MemoryLost,
            Self::Snapshot { .. } => true,
            Self::Name { .. } => false,
        }
    }
}

/// What became of a proposal.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
enum Answer {
    /// It was committed and led to this.
    Decided(command::Outcome),
    /// It did not run and will not.
    Refused { reason: String, leader: Option<String> },
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decided(_) => f.write_str("decided"),
            Self::Refused { reason, .. } => write!(f, "refused: {reason}"),
        }
    }
}

/// What the driver is told.
enum Event {
    Opened(link::Session),
    Closed(link::SessionId),
    Letter(letter::Letter),
    Subscribe {
        session: link::Session,
        held_revision: u64,
    },
    Propose {
        payload: Vec<u8>,
        answer: oneshot::Sender<Answer>,
    },
    /// Voters that the settings name now.
    Named(Vec<name::InstanceName>),
    Read {
        answer: reads::ReadAnswer,
    },
    Operate {
        request: operate::Request,
        reply: oneshot::Sender<operate::Reply>,
    },
    /// Both name the data folder: one that was given up may still report.
    Synced {
        storage: entry::StorageId,
        write_id: u64,
        segment_bytes: u64,
    },
    DiskFailed {
        storage: entry::StorageId,
        error: storage::StorageError,
    },
}

/// The voter's side of accepted links.
struct Links {
    events: mpsc::Sender<Event>,
}

impl Links {
    fn tell(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            log::debug!("voter: too busy, an event was dropped");
        }
    }
}

async fn ask_driver(events: &mpsc::Sender<Event>, request: operate::Request) -> wire::Message {
    let (reply, replied) = oneshot::channel();
    let told = events.send(Event::Operate { request, reply }).await;
    match (told, replied.await) {
        (Ok(()), Ok(reply)) => operate::seal(&reply),
        _ => link::refused("operate voter", "the voter is stopping"),
    }
}

impl link::Service for Links {
    fn opened(&self, session: &link::Session) {
        log::debug!("voter: link from {}", session.hello.name);
        self.tell(Event::Opened(session.clone()));
    }

    fn pushed(&self, session: &link::Session, message: wire::Message) {
        if let wire::Message::Subscribe(subscribe) = message {
            let held_revision = subscribe.held_revision;
            self.tell(Event::Subscribe { session: session.clone(), held_revision });
        } else if let Some(letter) = operate::open::<letter::Letter>(&message)
            && peers::is_from(&session.hello, letter.sender())
        {
            self.tell(Event::Letter(letter));
        }
    }

    async fn requested(&self, _session: &link::Session, message: wire::Message) -> wire::Message {
        if let Some(request) = operate::open::<operate::Request>(&message) {
            return ask_driver(&self.events, request).await;
        }
        let wire::Message::Propose(proposal) = message else {
            return link::refused("voter", "not a request for a voter");
        };
        let (answer, answered) = oneshot::channel();
        let payload = proposal.payload.into_vec();
        if self.events.send(Event::Propose { payload, answer }).await.is_err() {
            return link::refused("propose", "the voter is stopping");
        }
        match answered.await {
            Ok(Answer::Decided(outcome)) => driver::proposed(&outcome),
            Ok(Answer::Refused { reason, leader }) => {
                wire::Message::Refused(wire::Refused { step: "propose".to_owned(), reason, leader })
            }
            Err(_) => {
                tokio::time::sleep(time::Duration::from_millis(UNANSWERED_MS)).await;
                link::refused("propose", "the outcome is not known here")
            }
        }
    }

    fn closed(&self, session: &link::Session) {
        self.tell(Event::Closed(session.id));
    }
}

/// Wraps a configuration update for a link.
pub fn config_update(update: &ragwortdeal_core::config::delta::Update) -> wire::Message {
    let mut payload = Vec::new();
    ciborium::into_writer(update, &mut payload).expect("own types encode into memory");
    wire::Message::ConfigUpdate(wire::ConfigUpdate { payload: payload.into() })
}

/// Runs a voter until the stop. Before a planned stop it hands leadership over.
pub async fn run(
    settings: settings::voter::Settings,
    listener: net::TcpListener,
    stop: stop::Stop,
) -> Result<(), VoterError> {
    let identity = settings.process.identity()?;
    let data_dir = settings.voter.data_dir.clone().unwrap_or_default();
    let storage = open_folder(&data_dir).await?;
    let clock = clock::Clock::start();
    let id = entry::ReplicaId { instance: identity.name.clone(), storage: storage.storage_id() };
    log::info!("voter: opened {id}, entries={}", storage.state().entries.len());
    let options = replication::Options { seed: rand::rng().random(), ..Default::default() };
    let stored = storage.state().clone();
    let replica = replica::Replica::new(id.clone(), options, stored, clock.now_ms());
    let (events, received) = mpsc::channel(EVENTS);
    let mut peers = peers::Peers::new(id, &settings.voter.initial);
    let credential = link::Credential::new(&settings.credentials.cluster);
    for (name, address) in peers.others() {
        let link = open_link(&address, &name, &credential, &identity, &events);
        peers.add_link(name, link);
    }
    let disk = disk::start(storage, events.clone());
    let (serve_stopper, serve_stop) = stop::pair();
    let service = sync::Arc::new(Links { events });
    let limits = link::LinkLimits::default();
    let serving = tokio::spawn(link::serve(listener, credential, limits, service, serve_stop));
    let mut received = received;
    let driver = driver::Driver::new(replica, clock, peers, disk);
    let (_, ended) = drive(driver, &mut received, stop, STOP_MS).await;
    serve_stopper.stop();
    let _ = serving.await;
    ended
}

/// Opens the data folder; a process that was just ended may hold it for a moment.
async fn open_folder(data_dir: &path::Path) -> Result<storage::Storage, VoterError> {
    let mut tries = 0;
    loop {
        match storage::Storage::open(data_dir) {
            Err(storage::StorageError::InUse { .. }) if tries < FOLDER_RETRIES => tries += 1,
            opened => return Ok(opened?),
        }
        tokio::time::sleep(time::Duration::from_millis(FOLDER_RETRY_MS)).await;
    }
}

fn open_link(
    address: &str,
    name: &name::InstanceName,
    credential: &link::Credential,
    identity: &settings::common::Identity,
    events: &mpsc::Sender<Event>,
) -> link::Link {
    let (sender, mut received) = mpsc::channel(EVENTS);
    let (events, name) = (events.clone(), name.clone());
    tokio::spawn(async move {
        while let Some(event) = received.recv().await {
            if let link::LinkEvent::Push(message) = event
                && let Some(letter) = operate::open::<letter::Letter>(&message)
                && letter.sender().instance == name
                && events.send(Event::Letter(letter)).await.is_err()
            {
                return;
            }
        }
    });
    let (hello, limits) = (identity.hello("voter"), link::LinkLimits::default());
    link::open(address, credential.clone(), hello, limits, sender)
}

async fn drive(
    mut driver: driver::Driver,
    events: &mut mpsc::Receiver<Event>,
    stop: stop::Stop,
    stop_limit_ms: u64,
) -> (driver::Driver, Result<(), VoterError>) {
    let mut ticks = tokio::time::interval(time::Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stopping = false;
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => driver.handle(event),
                None => return (driver, Ok(())),
            },
            _ = ticks.tick() => driver.tick(),
            () = stop.wait(), if !stopping => {
                stopping = true;
                driver.begin_stop(stop_limit_ms);
            }
        }
        if let Some(failure) = driver.take_failure() {
            return (driver, Err(failure));
        }
        if driver.may_end() {
            return (driver, Ok(()));
        }
    }
}
