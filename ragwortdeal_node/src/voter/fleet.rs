//! A voter that finds its group by itself, keeps documents, and takes announcements.
//!
//! Beside the replicated log it serves operators and upstreams over HTTP and tells its followers,
//! entries and agents, what changed. While the disk refuses writes the voter is silent, and it goes
//! on as the same replica afterwards. Only a data folder that lost something is given up; the voter
//! then joins again as a new replica. The process stays up in both cases.

mod control;
mod due;
mod evacuations;
mod fellows;
mod hub;
mod steps;

use std::{path, sync, time};

use ragwortdeal_core::{
    document::store,
    name,
    replication::{self, entry, reconfiguration, replica},
};
use ragwortdeal_wire::link as wire;
use rand::RngExt as _;
use tokio::{
    net,
    sync::{mpsc, watch},
};

use super::{
    Event, VoterError, driver, letter,
    operate::{self, evacuations as evacuation_requests, parts},
    peers,
};
use crate::{
    clock,
    fleet::{dialect, metrics, voter_links},
    http, link, settings, stop, storage,
};

/// Pause before a data folder that failed is tried again.
const FOLDER_RETRY_MS: u64 = 250;

/// Attempts to open a data folder for each line in the log. A disk can stay full for long.
const ATTEMPTS_PER_LOG_LINE: u64 = 20;

/// Time that requests by operators in progress get at a stop.
const CONTROL_GRACE_MS: u64 = 1_000;

/// Part of the grace of a stop that is kept for the end of the process.
const STOP_RESERVE_MS: u64 = 1_500;

/// The sockets of a voter.
#[derive(Debug)]
pub struct Listeners {
    /// For links.
    pub links: net::TcpListener,
    /// For operators and upstreams.
    pub control: net::TcpListener,
}

/// The voter's side of accepted links: voters' letters go to the driver, the rest to the hub.
struct Service {
    events: mpsc::Sender<Event>,
    hub: sync::Arc<hub::Hub>,
    evacuations: evacuations::Evacuations,
}

impl Service {
    fn tell(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            log::warn!("voter: too busy, an event was dropped");
        }
    }
}

impl Service {
    async fn answer_on_parts(&self, request: parts::PartsRequest) -> parts::PartsReply {
        let (name, isolated) = match request {
            parts::PartsRequest::ListParts => {
                return parts::PartsReply::Parts(self.hub.listed_parts());
            }
            parts::PartsRequest::SetPart { name, isolated } => (name, isolated),
        };
        let verdict = self.hub.set_part(&name, isolated);
        match steps::decide(&self.events, store::Step::Isolate(verdict.clone())).await {
            Ok(()) => parts::PartsReply::Recorded(verdict),
            Err(reason) => parts::PartsReply::NotRecorded { reason },
        }
    }
}

impl link::Service for Service {
    fn opened(&self, session: &link::Session) {
        if session.hello.role == "voter" {
            self.tell(Event::Opened(session.clone()));
        } else {
            self.hub.opened(session);
        }
    }

    fn pushed(&self, session: &link::Session, message: wire::Message) {
        if session.hello.role != "voter" {
            return self.hub.heard(session, &message);
        }
        if let Some(letter) = operate::open::<letter::Letter>(&message)
            && peers::is_from(&session.hello, letter.sender())
        {
            self.tell(Event::Letter(letter));
        }
    }

    async fn requested(&self, _session: &link::Session, message: wire::Message) -> wire::Message {
        if let Some(request) = operate::open::<parts::PartsRequest>(&message) {
            return operate::seal(&self.answer_on_parts(request).await);
        }
        if let Some(request) = operate::open::<evacuation_requests::EvacuationsRequest>(&message) {
            return operate::seal(&self.evacuations.answer(request).await);
        }
        let Some(request) = operate::open::<operate::Request>(&message) else {
            return link::refused("voter", "not a request for a voter");
        };
        super::ask_driver(&self.events, request).await
    }

    fn closed(&self, session: &link::Session) {
        if session.hello.role == "voter" {
            self.tell(Event::Closed(session.id));
        } else {
            self.hub.closed(session.id);
        }
    }
}

/// Runs a voter until the stop.
pub async fn run(
    settings: settings::fleet::Settings,
    spoken: dialect::DialectRef,
    listeners: Listeners,
    seeds: voter_links::Seeds,
    stop: stop::Stop,
) -> Result<(), VoterError> {
    let settings = sync::Arc::new(settings);
    let fellow_seeds = seeds.clone();
    let (events, mut received) = mpsc::channel(super::EVENTS);
    let publisher = driver::Publisher {
        documents: watch::Sender::new(store::Store::default()),
        voters: watch::Sender::new(Vec::new()),
        redirect: watch::Sender::new(None),
    };
    let hub = sync::Arc::new(hub::Hub::new(spoken, settings.bounds.weights_ms));
    let credential = link::Credential::new(&settings.credentials.cluster);
    let limits = link::LinkLimits::default();
    let (serve_stopper, serve_stop) = stop::pair();
    let evacuations = evacuations::Evacuations::new(
        events.clone(),
        publisher.documents.subscribe(),
        settings.fleet.regions.clone(),
    );
    let service =
        Service { events: events.clone(), hub: hub.clone(), evacuations: evacuations.clone() };
    let serving = link::serve(
        listeners.links,
        credential,
        limits,
        sync::Arc::new(service),
        serve_stop.clone(),
    );
    tokio::spawn(serving);
    tokio::spawn(pass_on_seeds(events.clone(), seeds));
    tokio::spawn(hub::publish(hub.clone(), publisher.clone()));
    tokio::spawn(hub::tell_agent_changes(hub.clone()));
    tokio::spawn(hub::tell_entry_changes(hub.clone()));
    tokio::spawn(hub::tell_statuses(hub.clone()));
    tokio::spawn(hub::isolation::judge(hub.clone()));
    tokio::spawn(due::record(hub.clone(), events.clone()));
    tokio::spawn(due::record_verdicts(hub.clone(), events.clone()));
    tokio::spawn(due::record_entry_count(hub.clone(), events.clone()));
    let mut identity = settings.process.identity()?;
    identity.name = name::InstanceName::new(&settings.fleet.address.to_string())?;
    tokio::spawn(fellows::follow(settings.clone(), identity, fellow_seeds, hub.clone()));
    let (telemetry, inbound) = metrics::start(&settings, stop.clone()).await;
    let published = control::Published {
        documents: publisher.documents.subscribe(),
        redirect: publisher.redirect.subscribe(),
        port: listeners.control.local_addr().map_or(0, |address| address.port()),
    };
    let api = control::Control::new(spoken, hub, events.clone(), published, evacuations, telemetry);
    let api = sync::Arc::new(api);
    let handler = http::route(api, control::answer);
    let bounds = http::Bounds::new(inbound);
    let serving =
        http::serve_with(listeners.control, handler, bounds, serve_stop, CONTROL_GRACE_MS);
    let control = tokio::spawn(serving);
    let ended = keep_voting(&settings, &events, &mut received, &publisher, &stop).await;
    // Nobody decides here any more: requests that wait for it are answered at once.
    drop(received);
    serve_stopper.stop();
    if !control.await.unwrap_or(false) {
        log::warn!("voter: requests by operators were cut at the stop");
    }
    ended
}

/// Tells the driver of new seeds.
async fn pass_on_seeds(events: mpsc::Sender<Event>, mut seeds: voter_links::Seeds) {
    while seeds.changed().await.is_ok() {
        let named = seeds.borrow_and_update().clone();
        let names = named.iter().filter_map(|seed| seed.ip().to_string().as_str().try_into().ok());
        if events.send(Event::Named(names.collect())).await.is_err() {
            return;
        }
    }
}

/// Votes until the stop. After a failed write the folder is opened anew and its replica goes on;
/// a folder that lost something is given up for that of another replica.
async fn keep_voting(
    settings: &sync::Arc<settings::fleet::Settings>,
    events: &mpsc::Sender<Event>,
    received: &mut mpsc::Receiver<Event>,
    publisher: &driver::Publisher,
    stop: &stop::Stop,
) -> Result<(), VoterError> {
    let folder = settings.disk.data_dir.clone().unwrap_or_default().join("log");
    let mut known: Option<peers::Peers> = None;
    // What peers announced is dated by it, so it has to outlive a replica.
    let clock = clock::Clock::start();
    loop {
        let storage = tokio::select! {
            storage = open(&folder) => storage,
            () = refuse_without_log(received, &mut known, clock) => return Ok(()),
            () = stop.wait() => return Ok(()),
        };
        let address = settings.fleet.address.to_string();
        let instance = name::InstanceName::new(&address)?;
        let id = entry::ReplicaId { instance, storage: storage.storage_id() };
        log::info!("voter: opened {id}, entries={}", storage.state().entries.len());
        let options = replication::Options { seed: rand::rng().random(), ..Default::default() };
        let replica =
            replica::Replica::new(id.clone(), options, storage.state().clone(), clock.now_ms());
        let peers = match known.take() {
            Some(mut peers) => {
                peers.rebind(id);
                peers
            }
            None => meet(settings, id, events)?,
        };
        let disk = super::disk::start(storage, events.clone());
        let mut driver = driver::Driver::new(replica, clock, peers, disk);
        driver.publish_to(publisher.clone());
        let limit_ms = stop_limit_ms(settings.bounds.grace_s);
        let (driver, ended) = super::drive(driver, received, stop.clone(), limit_ms).await;
        let Err(error) = ended else {
            return Ok(());
        };
        known = Some(driver.into_peers());
        if error.is_data_lost() {
            log::error!("voter: the data folder is given up: {error}");
            give_up(&folder, stop).await;
        } else {
            log::error!("voter: silent until the data folder takes writes again: {error}");
        }
    }
}

/// Time that a planned stop may take for the replacement of this voter.
fn stop_limit_ms(grace_s: f64) -> u64 {
    ((grace_s * 1_000.0) as u64).saturating_sub(STOP_RESERVE_MS)
}

/// Opens the data folder, as soon as its disk takes writes. Only a folder that lost something is
/// given up: the replica that a new folder makes is another one, so nothing that the old one
/// promised is claimed by it.
async fn open(folder: &path::Path) -> storage::Storage {
    let mut attempts: u64 = 0;
    loop {
        match storage::Storage::open_without_inode_check(folder) {
            Ok(storage) => return storage,
            Err(error) if error.is_data_lost() => {
                log::error!("voter: {error}");
                if let Err(error) = storage::reset(folder) {
                    log::error!("voter: cannot start over: {error}");
                }
            }
            Err(error) if attempts.is_multiple_of(ATTEMPTS_PER_LOG_LINE) => {
                log::warn!(attempts; "voter: cannot open the data folder yet: {error}");
            }
            Err(_) => (),
        }
        attempts += 1;
        tokio::time::sleep(time::Duration::from_millis(FOLDER_RETRY_MS)).await;
    }
}

/// Keeps track of the other voters while there is no replica. Proposals and reads are dropped, which
/// tells their askers at once that they have not run, in place of running them much later. Returns
/// when the process ends.
async fn refuse_without_log(
    received: &mut mpsc::Receiver<Event>,
    known: &mut Option<peers::Peers>,
    clock: clock::Clock,
) {
    // Before the first opening nothing could be kept.
    let Some(peers) = known else {
        return std::future::pending().await;
    };
    while let Some(event) = received.recv().await {
        peers.observe(event, clock.now_ms());
    }
}

async fn give_up(folder: &path::Path, stop: &stop::Stop) {
    while !stop.requested() {
        match storage::reset(folder) {
            Ok(()) => return,
            Err(error) => log::error!("voter: cannot start over: {error}"),
        }
        tokio::time::sleep(time::Duration::from_millis(FOLDER_RETRY_MS)).await;
    }
}

/// Finds the other voters from the seeds.
fn meet(
    settings: &sync::Arc<settings::fleet::Settings>,
    own: entry::ReplicaId,
    events: &mpsc::Sender<Event>,
) -> Result<peers::Peers, VoterError> {
    let fleet = &settings.fleet;
    let mut identity = settings.process.identity()?;
    identity.name = own.instance.clone();
    let credential = link::Credential::new(&settings.credentials.cluster);
    let (told, events) = (settings.clone(), events.clone());
    let open = move |name: &name::InstanceName| {
        let address = told.link_address(name);
        super::open_link(&address, name, &credential, &identity, &events)
    };
    let seeds = fleet.seeds.iter().map(|seed| settings::voter::Member {
        name: seed.ip().to_string(),
        address: std::net::SocketAddr::from((*seed.ip(), fleet.link_port)),
    });
    let initial: Vec<_> = seeds.collect();
    let discovery = peers::Discovery {
        zone: settings.process.availability_zone.clone(),
        wanted: reconfiguration::voters_tolerating(fleet.losses_borne),
        founds: fleet.first_start,
        open: Box::new(open),
        zones: std::collections::BTreeMap::new(),
    };
    Ok(peers::Peers::discovering(own, &initial, discovery))
}
