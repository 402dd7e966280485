//! A deterministic simulation of links that drives the policy: queues with a rate for the origin,
//! for both directions of each machine's link and for each pair of regions, and injected faults.

use std::{cmp, collections};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use ragwortdeal_core::{
    name,
    spread::{download, event, manifest},
};

#[path = "setup.rs"]
pub mod setup;

pub use setup::{Link, Outcome, Setup};

/// Bytes of a chunk that are hashed. The simulated links use the transfer time per chunk instead.
const CONTENT_BYTES: u32 = 16;
/// Bytes of the HTTP headers of an announcement and its response, as the agent sends it.
const MESSAGE_BYTES: u64 = 350;
const LATENCY_MS: u64 = 1;
const REGION_LATENCY_MS: u64 = 2;
/// Timeout of a connect.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// A run counts as stuck after this multiple of the time for one copy on a machine's link.
const RUN_MAX_COPIES: u64 = 60;

enum SimEvent {
    Start,
    Restart,
    Crash,
    LeaseExpired(usize),
    Tick,
    PeerRequest { from: usize, incarnation: u32, chunk: u32 },
    OriginRequest { from: usize, incarnation: u32, chunk: u32 },
    UploadEnded { to: name::InstanceName, chunk: u32 },
    Deliver { incarnation: u32, event: event::Event },
    EnterRegionLink(usize, ChunkInFlight),
    EnterDownlink(ChunkInFlight),
    OriginSent(ChunkInFlight),
    ChunkArrived(ChunkInFlight),
}

/// A chunk in flight to an incarnation of a machine.
struct ChunkInFlight {
    incarnation: u32,
    source: event::Source,
    chunk: u32,
    bytes: Vec<u8>,
}

struct Scheduled {
    at_ms: f64,
    sequence: u64,
    instance: usize,
    event_kind: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let times = other.at_ms.total_cmp(&self.at_ms);
        times.then(other.sequence.cmp(&self.sequence))
    }
}

struct Machine {
    location: event::Location,
    region: usize,
    up: Link,
    down: Link,
    incarnation: u32,
    download: Option<download::Download>,
    /// Announcements that arrived before it started.
    early: Vec<event::Event>,
}

pub struct Model {
    setup: Setup,
    content: Vec<u8>,
    manifest: manifest::Manifest,
    machines: Vec<Machine>,
    index: collections::BTreeMap<name::InstanceName, usize>,
    origin: Link,
    origin_open: usize,
    region_links: collections::BTreeMap<(usize, usize), (Link, usize)>,
    queue: collections::BinaryHeap<Scheduled>,
    sequence: u64,
    now_ms: f64,
    random: ChaCha8Rng,
    outcome: Outcome,
}

pub fn place(index: usize, zones: usize, regions: usize) -> event::Location {
    let zone = index % zones;
    event::Location {
        instance: name::InstanceName::new(&format!("engine-{index}")).unwrap(),
        zone: name::ZoneName::new(&format!("zone-{zone}")).unwrap(),
        region: name::RegionName::new(&format!("region-{}", zone % regions)).unwrap(),
    }
}

/// Random content and its manifest.
pub fn version(seed: u64, chunks: u32) -> (Vec<u8>, manifest::Manifest) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let content: Vec<u8> = (0..chunks * CONTENT_BYTES).map(|_| random.random()).collect();
    let manifest = manifest::Manifest::of_bytes(&content, CONTENT_BYTES).unwrap();
    (content, manifest)
}

pub fn run(setup: Setup) -> Outcome {
    Model::new(setup).run()
}

impl Model {
    fn new(setup: Setup) -> Self {
        let (content, manifest) = version(setup.seed, setup.chunks);
        let machine = |index| Machine {
            location: place(index, setup.zones, setup.regions),
            region: index % setup.zones % setup.regions,
            up: Link::default(),
            down: Link::default(),
            incarnation: 0,
            download: None,
            early: Vec::new(),
        };
        let machines: Vec<_> = (0..setup.instances).map(machine).collect();
        let names = machines.iter().enumerate();
        let outcome = Outcome { done_ms: vec![None; setup.instances], ..Outcome::default() };
        Self {
            index: names.map(|(index, m)| (m.location.instance.clone(), index)).collect(),
            random: ChaCha8Rng::seed_from_u64(setup.seed ^ 0xfa17),
            origin: Link::default(),
            origin_open: 0,
            region_links: collections::BTreeMap::new(),
            queue: collections::BinaryHeap::new(),
            sequence: 0,
            now_ms: 0.0,
            machines,
            content,
            manifest,
            outcome,
            setup,
        }
    }

    fn run(mut self) -> Outcome {
        self.schedule_faults();
        let end_ms =
            (RUN_MAX_COPIES * u64::from(self.setup.chunks) * self.setup.chunk_ms).max(300_000);
        while let Some(next) = self.queue.pop() {
            if next.at_ms > end_ms as f64 || self.all_done() {
                break;
            }
            self.now_ms = next.at_ms;
            match self.frozen_until_ms(next.instance) {
                Some(until_ms) => self.schedule(until_ms as f64, next.instance, next.event_kind),
                None => self.process(next.instance, next.event_kind),
            }
        }
        self.outcome.region_chunks = self.region_links.values().map(|(_, count)| count).sum();
        let busiest = self.region_links.values().map(|(_, count)| *count).max();
        self.outcome.region_chunks_max = busiest.unwrap_or(0);
        self.outcome
    }

    fn frozen_until_ms(&self, instance: usize) -> Option<u64> {
        let ((from_ms, until_ms), instances) = self.setup.faults.frozen.as_ref()?;
        let frozen = (*from_ms as f64..*until_ms as f64).contains(&self.now_ms);
        (frozen && instances.contains(&instance)).then_some(*until_ms)
    }

    fn all_done(&self) -> bool {
        let faults = &self.setup.faults;
        let waits_for = |index: usize| {
            let will_crash = faults.crashes.iter().any(|&(_, crashed)| crashed == index);
            !will_crash && !faults.stalled.contains(&index) && self.outcome.done_ms[index].is_none()
        };
        !(0..self.machines.len()).any(waits_for)
    }

    fn schedule_faults(&mut self) {
        let faults = self.setup.faults.clone();
        for index in 0..self.machines.len() {
            let join = faults.late_joins.iter().find(|(_, late)| *late == index);
            let hears_ms = self.setup.start_within_ms.map(|ms| self.random.random_range(0..=ms));
            let at_ms = join.map(|&(at_ms, _)| at_ms).or(hears_ms).unwrap_or(0);
            self.schedule(at_ms as f64, index, SimEvent::Start);
        }
        for (at_ms, index) in faults.crashes {
            self.schedule(at_ms as f64, index, SimEvent::Crash);
        }
        for (at_ms, index) in faults.restarts {
            self.schedule(at_ms as f64, index, SimEvent::Restart);
        }
    }

    fn schedule(&mut self, at_ms: f64, instance: usize, event_kind: SimEvent) {
        self.sequence += 1;
        self.queue.push(Scheduled { at_ms, sequence: self.sequence, instance, event_kind });
    }

    fn process(&mut self, index: usize, event_kind: SimEvent) {
        match event_kind {
            SimEvent::Start => self.start(index, &[]),
            SimEvent::Restart => self.restart(index),
            SimEvent::Crash => self.crash(index),
            SimEvent::LeaseExpired(crashed) => {
                let crashed = self.machines[crashed].location.instance.clone();
                self.deliver(index, event::Event::Left(crashed));
            }
            SimEvent::Tick => {
                self.deliver(index, event::Event::Tick);
                if self.machines[index].download.is_some() {
                    self.schedule(self.now_ms + self.setup.tick_ms as f64, index, SimEvent::Tick);
                }
            }
            SimEvent::PeerRequest { from, incarnation, chunk } => {
                self.peer_request(index, from, incarnation, chunk);
            }
            SimEvent::OriginRequest { from, incarnation, chunk } => {
                self.origin_request(from, incarnation, chunk);
            }
            SimEvent::UploadEnded { to, chunk } => {
                if let Some(download) = &mut self.machines[index].download {
                    download.upload_ended(&to, chunk);
                }
            }
            SimEvent::Deliver { incarnation, event } => {
                if incarnation == self.machines[index].incarnation {
                    self.deliver(index, event);
                }
            }
            SimEvent::EnterRegionLink(sender, transfer) => {
                self.enter_region_link(sender, index, transfer);
            }
            SimEvent::EnterDownlink(transfer) => self.enter_downlink(index, transfer),
            SimEvent::OriginSent(transfer) => {
                self.origin_open -= 1;
                if !self.is_origin_lost() {
                    self.enter_downlink(index, transfer);
                }
            }
            SimEvent::ChunkArrived(transfer) => {
                if transfer.incarnation == self.machines[index].incarnation {
                    self.arrive(index, transfer.source, transfer.chunk, &transfer.bytes);
                }
            }
        }
    }

    fn start(&mut self, index: usize, kept: &[manifest::VerifiedChunk]) {
        let me = self.machines[index].location.clone();
        let limits = self.setup.limits.clone();
        let download = download::Download::new(me.clone(), self.manifest.clone(), limits, kept);
        self.machines[index].download = Some(download);
        let others = 0..self.machines.len();
        let knows_all = self.setup.start_within_ms.is_some();
        let is_known = |&i: &usize| knows_all || self.machines[i].download.is_some();
        let known: Vec<_> = others.filter(is_known).filter(|&other| other != index).collect();
        for other in known {
            let location = self.machines[other].location.clone();
            self.deliver(index, event::Event::Joined(location));
            if !knows_all {
                self.deliver(other, event::Event::Joined(me.clone()));
            }
        }
        for event in std::mem::take(&mut self.machines[index].early) {
            self.deliver(index, event);
        }
        if self.setup.faults.false_announcers.contains(&index) {
            self.announce_everything(index);
        }
        let stagger_ms = (index as u64 * 7) % self.setup.tick_ms;
        self.schedule(self.now_ms + stagger_ms as f64, index, SimEvent::Tick);
    }

    fn announce_everything(&mut self, index: usize) {
        let chunks: Vec<_> = (0..self.setup.chunks).collect();
        let everyone: Vec<_> = self.machines.iter().map(|m| m.location.instance.clone()).collect();
        self.schedule_announcement(index, &everyone, &chunks, 500.0);
    }

    fn restart(&mut self, index: usize) {
        let Some(before) = self.machines[index].download.take() else {
            return;
        };
        self.machines[index].incarnation += 1;
        let kept: Vec<_> = before.held().iter().map(|c| self.verified(c)).collect();
        self.start(index, &kept);
    }

    fn crash(&mut self, index: usize) {
        self.machines[index].download = None;
        self.machines[index].incarnation += 1;
        for other in (0..self.machines.len()).filter(|&other| other != index) {
            self.schedule(self.now_ms + 2_000.0, other, SimEvent::LeaseExpired(index));
        }
    }

    fn verified(&self, chunk: u32) -> manifest::VerifiedChunk {
        self.manifest.verify_chunk(chunk, self.bytes(chunk)).unwrap()
    }

    fn bytes(&self, chunk: u32) -> &[u8] {
        let (start, len) = self.manifest.range_bytes(chunk).unwrap();
        &self.content[start as usize..(start + len) as usize]
    }

    fn deliver(&mut self, index: usize, event: event::Event) {
        let now_ms = self.now_ms as u64;
        let Some(download) = &mut self.machines[index].download else {
            self.machines[index].early.push(event);
            return;
        };
        self.outcome.decisions += 1;
        let actions = download.handle(now_ms, event);
        let open = download.open_uploads();
        self.outcome.open_uploads_max = self.outcome.open_uploads_max.max(open);
        actions.into_iter().for_each(|action| self.act(index, action));
    }

    fn act(&mut self, index: usize, action: event::Action) {
        let incarnation = self.machines[index].incarnation;
        match action {
            event::Action::Request { source: event::Source::Origin, chunk, .. } => {
                self.outcome.requests += 1;
                let request = SimEvent::OriginRequest { from: index, incarnation, chunk };
                self.schedule(self.now_ms + LATENCY_MS as f64, index, request);
            }
            event::Action::Request { source: event::Source::Peer(peer), chunk, .. } => {
                self.outcome.requests += 1;
                let peer = self.index[&peer];
                let at_ms = self.now_ms + self.latency_ms(index, peer);
                self.schedule(
                    at_ms,
                    peer,
                    SimEvent::PeerRequest { from: index, incarnation, chunk },
                );
            }
            event::Action::Announce { to, chunks } => {
                self.schedule_announcement(index, &to, &chunks, 0.0);
            }
            event::Action::ReportFault { source, fault, .. } => {
                let sender = match source {
                    event::Source::Origin => "origin".to_owned(),
                    event::Source::Peer(peer) => peer.to_string(),
                };
                *self.outcome.faults.entry(format!("{fault:?}")).or_default() += 1;
                *self.outcome.faulty_senders.entry(sender).or_default() += 1;
            }
            event::Action::Complete => self.completed(index),
            event::Action::Cancel { .. } | event::Action::AbortUpload { .. } => (),
        }
    }

    /// The invariant of every run: a version is reported complete only if it passes verification.
    fn completed(&mut self, index: usize) {
        let download = self.machines[index].download.as_ref().unwrap();
        let staged = download.held().iter().map(|chunk| self.bytes(chunk));
        let whole = self.manifest.verify_version(staged).expect("reported complete too early");
        assert_eq!(whole.version(), self.manifest.version());
        self.outcome.done_ms[index].get_or_insert(self.now_ms as u64);
    }

    fn schedule_announcement(
        &mut self,
        from: usize,
        to: &[name::InstanceName],
        chunks: &[u32],
        delay_ms: f64,
    ) {
        let peers: Vec<_> = to.iter().map(|peer| self.index[peer]).collect();
        for peer in peers.into_iter().filter(|&peer| peer != from) {
            self.outcome.announcements += 1;
            self.outcome.announcement_bytes += MESSAGE_BYTES + 3 * chunks.len() as u64;
            let event = event::Event::Holds {
                instance: self.machines[from].location.instance.clone(),
                version: self.manifest.version(),
                chunks: chunks.to_vec(),
            };
            let at_ms = self.now_ms + delay_ms + self.latency_ms(from, peer);
            let incarnation = self.machines[peer].incarnation;
            self.schedule(at_ms, peer, SimEvent::Deliver { incarnation, event });
        }
    }

    fn latency_ms(&self, a: usize, b: usize) -> f64 {
        let same = self.machines[a].region == self.machines[b].region;
        let latency_ms = if same { LATENCY_MS } else { REGION_LATENCY_MS };
        latency_ms as f64 + self.setup.delay_ms
    }

    fn peer_request(&mut self, sender: usize, from: usize, incarnation: u32, chunk: u32) {
        if self.setup.faults.stalled.contains(&sender) {
            return;
        }
        let to = self.machines[from].location.instance.clone();
        let (now_ms, version) = (self.now_ms as u64, self.manifest.version());
        let Some(download) = &mut self.machines[sender].download else {
            return self.fail(sender, from, incarnation, chunk, event::Failure::Error);
        };
        match download.serve(now_ms, &to, version, chunk) {
            event::Answer::Send => self.send(sender, from, incarnation, chunk),
            event::Answer::Busy => {
                self.outcome.refusals += 1;
                self.fail(sender, from, incarnation, chunk, event::Failure::Busy);
            }
            event::Answer::NotYet { held, origin_fails } => {
                let failure = event::Failure::NotYet { held, origin_fails };
                self.fail(sender, from, incarnation, chunk, failure);
            }
            event::Answer::OtherVersion => unreachable!("a run distributes one version"),
        }
    }

    fn fail(
        &mut self,
        sender: usize,
        from: usize,
        incarnation: u32,
        chunk: u32,
        failure: event::Failure,
    ) {
        let source = event::Source::Peer(self.machines[sender].location.instance.clone());
        let version = self.manifest.version();
        let event = event::Event::Failed { source, version, chunk, failure };
        let at_ms = self.now_ms + self.latency_ms(sender, from);
        self.schedule(at_ms, from, SimEvent::Deliver { incarnation, event });
    }

    fn send(&mut self, sender: usize, to: usize, incarnation: u32, chunk: u32) {
        self.outcome.peer_chunks += 1;
        let takes_ms = self.setup.chunk_ms as f64 / self.setup.upload_share;
        let sent_ms = self.machines[sender].up.pass(self.now_ms, takes_ms);
        let receiver = self.machines[to].location.instance.clone();
        self.schedule(sent_ms, sender, SimEvent::UploadEnded { to: receiver, chunk });
        let mut bytes = self.bytes(chunk).to_vec();
        if self.occurs(self.setup.faults.corrupt_permille)
            || self.setup.faults.corrupters.contains(&sender)
        {
            bytes[3] ^= 0x10;
        }
        if self.occurs(self.setup.faults.truncated_permille) {
            bytes.truncate(5);
        }
        let late_ms = if self.occurs(self.setup.faults.delayed_permille) { 60_000.0 } else { 0.0 };
        let copies = 1 + usize::from(self.occurs(self.setup.faults.duplicate_permille));
        let source = event::Source::Peer(self.machines[sender].location.instance.clone());
        let crosses_regions = self.machines[sender].region != self.machines[to].region;
        for copy in 0..copies {
            let at_ms = sent_ms + self.latency_ms(sender, to) + late_ms + copy as f64;
            let transfer =
                ChunkInFlight { incarnation, source: source.clone(), chunk, bytes: bytes.clone() };
            let hop = if crosses_regions {
                SimEvent::EnterRegionLink(sender, transfer)
            } else {
                SimEvent::EnterDownlink(transfer)
            };
            self.schedule(at_ms, to, hop);
        }
    }

    /// Enters the link between two regions when the last byte has left the sender's link.
    fn enter_region_link(&mut self, sender: usize, to: usize, transfer: ChunkInFlight) {
        let pair = (self.machines[sender].region, self.machines[to].region);
        let takes_ms = self.setup.link_ms(self.setup.limits.region_copies);
        let (link, transfers) = self.region_links.entry(pair).or_default();
        *transfers += 1;
        let arrival_ms = link.pass_through(self.now_ms, takes_ms);
        self.schedule(arrival_ms, to, SimEvent::EnterDownlink(transfer));
    }

    /// Enters the receiver's link when the last byte has reached it.
    fn enter_downlink(&mut self, to: usize, transfer: ChunkInFlight) {
        let takes_ms = self.setup.chunk_ms as f64;
        let arrival_ms = self.machines[to].down.pass_through(self.now_ms, takes_ms);
        self.schedule(arrival_ms, to, SimEvent::ChunkArrived(transfer));
    }

    fn is_origin_lost(&self) -> bool {
        let lost = self.setup.faults.origin_lost_ms;
        lost.is_some_and(|(from_ms, until_ms)| {
            (from_ms as f64..until_ms as f64).contains(&self.now_ms)
        })
    }

    fn origin_request(&mut self, from: usize, incarnation: u32, chunk: u32) {
        if self.is_origin_lost() {
            let (source, version) = (event::Source::Origin, self.manifest.version());
            let failure = event::Failure::Error;
            let event = event::Event::Failed { source, version, chunk, failure };
            let at_ms = self.now_ms + CONNECT_TIMEOUT_MS as f64;
            return self.schedule(at_ms, from, SimEvent::Deliver { incarnation, event });
        }
        let takes_ms = self.setup.origin_chunk_ms();
        let start_ms = self.now_ms.max(self.setup.faults.origin_silent_until_ms as f64);
        if self.occurs(self.setup.faults.origin_error_permille) {
            let (source, version) = (event::Source::Origin, self.manifest.version());
            let failure = event::Failure::Error;
            let event = event::Event::Failed { source, version, chunk, failure };
            return self.schedule(start_ms + 1.0, from, SimEvent::Deliver { incarnation, event });
        }
        let connections_max = self.setup.faults.origin_connections_max;
        if connections_max > 0 && self.origin_open >= connections_max {
            let (source, version) = (event::Source::Origin, self.manifest.version());
            let failure = event::Failure::Error;
            let event = event::Event::Failed { source, version, chunk, failure };
            return self.schedule(start_ms + 1.0, from, SimEvent::Deliver { incarnation, event });
        }
        self.origin_open += 1;
        self.outcome.origin_open_max = self.outcome.origin_open_max.max(self.origin_open);
        self.outcome.origin_chunks += 1;
        let sent_ms = match connections_max {
            0 => self.origin.pass(start_ms, takes_ms),
            _ => start_ms + takes_ms * self.origin_open as f64,
        };
        let mut bytes = self.bytes(chunk).to_vec();
        if self.occurs(self.setup.faults.origin_truncated_permille) {
            bytes.truncate(7);
        }
        let transfer = ChunkInFlight { incarnation, source: event::Source::Origin, chunk, bytes };
        self.schedule(sent_ms, from, SimEvent::OriginSent(transfer));
    }

    fn arrive(&mut self, index: usize, source: event::Source, chunk: u32, bytes: &[u8]) {
        let event = match self.manifest.verify_chunk(chunk, bytes) {
            Ok(verified) => {
                self.outcome.first_held_ms.entry(chunk).or_insert(self.now_ms as u64);
                event::Event::Arrived { source, chunk: verified }
            }
            Err(fault) => event::Event::InvalidChunk {
                source,
                version: self.manifest.version(),
                chunk,
                fault,
            },
        };
        self.deliver(index, event);
    }

    fn occurs(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_range(0..1000) < permille
    }
}
