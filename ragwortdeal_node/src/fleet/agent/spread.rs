//! Runs the spread policy: requests for chunks, answers to peers, members that come and go.

use std::{collections, net, sync, time};

use bytes::Bytes;
use ragwortdeal_core::{
    digest, name,
    spread::{congestion, download, event, limits, manifest, outbox, roster},
};
use tokio::{sync::Notify, task};

use super::{Agent, fetch, heard, origin};
use crate::fleet::notice;

/// How often deadlines, announcements and members are looked at.
const TICK: time::Duration = time::Duration::from_millis(40);

/// Chunks under way to an instance at once. Callers' requests share its link and wait behind each:
/// 42 ms at 9.4 Mbit/s, of which a first event may take 300.
const DOWNLOADS_MAX: usize = 2;

/// Usual size of a chunk, by which a slow one is told before a document tells the size.
const CHUNK_USUAL_BYTES: f64 = 49_152.0;

/// Bad chunks from the origin in a row after which the manifest itself is doubted: it comes from
/// there too, and may have been spoilt on the way.
const ORIGIN_FAULTS_MAX: u32 = 6;

/// The transfers of an agent.
pub(super) struct Spread {
    /// The versions at hand, the newest last. One before it goes on among peers: where the origin is
    /// lost, it may be the newest that can be had.
    state: sync::Mutex<Vec<Active>>,
    /// Signalled when a version is complete.
    complete: Notify,
    congestion: sync::Mutex<congestion::CongestionControl>,
    heard: sync::Mutex<heard::Heard>,
    outbox: sync::Mutex<outbox::Outbox>,
}

/// A version with all its chunks.
#[derive(Clone)]
pub(super) struct Whole {
    pub(super) weights: origin::Weights,
    pub(super) manifest: manifest::Manifest,
    pub(super) bytes: collections::BTreeMap<u32, Bytes>,
}

/// The version that is being fetched, or was fetched last.
struct Active {
    weights: origin::Weights,
    listed: origin::Listed,
    download: download::Download,
    bytes: collections::BTreeMap<u32, Bytes>,
    fetches: collections::BTreeMap<(event::Source, u32), task::AbortHandle>,
    reported: collections::BTreeMap<net::Ipv4Addr, u64>,
    /// Instances that the policy was told to be behind narrow links.
    narrow: collections::BTreeSet<net::Ipv4Addr>,
    origin_faults: u32,
    /// Whether the origin may be asked: its link is for the newest version, and for the little that
    /// one before it still lacks.
    draws: bool,
}

impl Active {
    fn whole(&self) -> Option<Whole> {
        self.download.is_complete().then(|| Whole {
            weights: self.weights.clone(),
            manifest: self.listed.manifest.clone(),
            bytes: self.bytes.clone(),
        })
    }
}

/// Milliseconds before an agent draws whose engine serves weights already. Members are known before
/// such a fetch begins, but are told to the policy one by one.
const SETTLE_MS: u64 = 60;

/// Milliseconds before an agent draws whose engine is empty. Most likely its peers hold the weights:
/// it waits until they have found it, a tick, told what they hold, an interval of announcements, and
/// been heard over a busy link.
const SETTLE_EMPTY_MS: u64 = 250;

/// Times and bounds for versions of a few megabytes that have to be everywhere in seconds.
fn limits(serving: u64, origin_chunk_ms: f64) -> limits::Limits {
    limits::Limits {
        origin_weight_percent: 50,
        downloads_max: DOWNLOADS_MAX,
        uploads_max: 2,
        remote_requests_max: 3,
        uploads_per_peer_max: 1,
        announce_interval_ms: 60,
        probe_interval_ms: 150,
        busy_backoff_ms: 25,
        settle_ms: if serving > 0 { SETTLE_MS } else { SETTLE_EMPTY_MS },
        // Below the connections that an origin takes, of which some are still closing.
        origin_requests_max: 20,
        origin_chunk_ms,
        // 200 ms at most: an origin that is back is noticed soon, and hundreds of agents that ask
        // so often are a few connections for it.
        origin_backoff_doublings_max: 3,
        deadline_min_ms: 400,
        deadline_far_min_ms: 1_000,
        deadline_first_ms: 600,
        deadline_max_ms: 3_000,
        stall_ms: 800,
        ban_ms: 3_000,
        ..limits::Limits::default()
    }
}

impl Spread {
    /// Nothing is fetched yet, over a link on which a chunk takes `chunk_ms`.
    pub(super) fn new(chunk_ms: f64) -> Self {
        let congestion = congestion::CongestionControl::new(chunk_ms, DOWNLOADS_MAX);
        Self {
            state: sync::Mutex::default(),
            complete: Notify::new(),
            congestion: sync::Mutex::new(congestion),
            heard: sync::Mutex::default(),
            outbox: sync::Mutex::default(),
        }
    }

    /// What peers told too early.
    pub(super) fn heard(&self) -> sync::MutexGuard<'_, heard::Heard> {
        self.heard.lock().expect("no panic under lock")
    }

    /// What is to be told to peers.
    pub(super) fn outbox(&self) -> sync::MutexGuard<'_, outbox::Outbox> {
        self.outbox.lock().expect("no panic under lock")
    }

    /// Whether what a peer tells of a version can be put to use.
    pub(super) fn knows(&self, instance: &name::InstanceName, version: digest::Digest) -> bool {
        let state = self.state();
        let mut active = state.iter().filter(|it| it.download.version() == version);
        active.any(|it| it.download.reputation(instance).is_some())
    }

    /// What the link carries, by the chunks of late.
    pub(super) fn congestion(&self) -> sync::MutexGuard<'_, congestion::CongestionControl> {
        self.congestion.lock().expect("no panic under lock")
    }

    fn state(&self) -> sync::MutexGuard<'_, Vec<Active>> {
        self.state.lock().expect("no panic under lock")
    }

    /// The manifest of a version, where it is at hand.
    pub(super) fn listed(&self, weights: &origin::Weights) -> Option<origin::Listed> {
        self.state().iter().find(|it| it.weights == *weights).map(|it| it.listed.clone())
    }

    /// A version, once all its chunks are at hand.
    pub(super) fn whole(&self, weights: &origin::Weights) -> Option<Whole> {
        self.state().iter().find(|it| it.weights == *weights)?.whole()
    }

    /// Chunks that are missing of a version, none where its manifest is.
    pub(super) fn missing(&self, weights: &origin::Weights) -> Option<usize> {
        let state = self.state();
        let active = state.iter().find(|it| it.weights == *weights)?;
        Some(active.listed.manifest.chunks().len().saturating_sub(active.bytes.len()))
    }

    /// Highest version of which all chunks are at hand, 0 where there is none.
    pub(super) fn whole_version(&self) -> u64 {
        let state = self.state();
        let whole = state.iter().filter(|it| it.download.is_complete());
        whole.map(|it| it.weights.version).max().unwrap_or(0)
    }

    /// The newest complete version below this one, whether or not a manifest of this one is here.
    pub(super) fn whole_below(&self, weights: &origin::Weights) -> Option<Whole> {
        let state = self.state();
        let below = state.iter().filter(|it| it.weights.version < weights.version);
        let whole = below.filter(|it| it.download.is_complete());
        whole.max_by_key(|it| it.weights.version)?.whole()
    }

    /// Whether the origin sent so much that does not fit the manifest that this is doubted.
    pub(super) fn doubts_manifest(&self) -> bool {
        self.state().last().is_some_and(|it| it.origin_faults >= ORIGIN_FAULTS_MAX)
    }

    /// Waits until a version may be complete.
    pub(super) async fn wait(&self) {
        self.complete.notified().await;
    }

    /// Answers a peer that asks for a chunk.
    pub(super) fn serve(
        &self,
        weights: &origin::Weights,
        chunk: u32,
        to: &name::InstanceName,
        now_ms: u64,
    ) -> Result<Bytes, event::Answer> {
        let mut state = self.state();
        let active = state.iter_mut().find(|it| it.weights == *weights);
        let active = active.ok_or(event::Answer::NotYet { held: 0, origin_fails: false })?;
        let version = active.download.version();
        match active.download.serve(now_ms, to, version, chunk) {
            event::Answer::Send => {
                active.bytes.get(&chunk).cloned().ok_or(event::Answer::OtherVersion)
            }
            refused => Err(refused),
        }
    }
}

/// Milliseconds of a usual chunk on a link, 0 where its rate is not told.
pub(super) fn chunk_ms(link_mbps: f64) -> f64 {
    if link_mbps > 0.0 { CHUNK_USUAL_BYTES * 8.0 / (link_mbps * 1_000.0) } else { 0.0 }
}

/// Ticks for as long as the process runs.
pub(super) async fn tick(agent: sync::Arc<Agent>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        agent.tick_spread();
    }
}

impl Agent {
    /// Begins to fetch a version, with the chunks that are staged already, while the engine serves
    /// another one.
    pub(super) fn begin(
        self: &sync::Arc<Self>,
        serving: u64,
        weights: origin::Weights,
        listed: origin::Listed,
        kept: Vec<(manifest::VerifiedChunk, Bytes)>,
    ) {
        log::info!("agent: fetches {weights:?}, kept={} chunks", kept.len());
        let proofs: Vec<_> = kept.iter().map(|(proof, _)| *proof).collect();
        let manifest = listed.manifest.clone();
        let limits = limits(serving, self.origin_chunk_ms(&manifest));
        let download = download::Download::new(self.place(), manifest, limits, &proofs);
        let bytes = kept.into_iter().map(|(proof, bytes)| (proof.chunk(), bytes)).collect();
        let active = Active {
            weights,
            listed,
            download,
            bytes,
            fetches: collections::BTreeMap::new(),
            reported: collections::BTreeMap::new(),
            narrow: collections::BTreeSet::new(),
            origin_faults: 0,
            draws: true,
        };
        let mut state = self.spread.state();
        state.retain(|it| it.weights != active.weights);
        if let [first, second] = state.as_slice() {
            // A complete version is worth more than a later one that is not, unless the engine
            // serves it anyway.
            let keeps_first = first.weights.version > serving
                && first.download.is_complete()
                && !second.download.is_complete();
            state.remove(usize::from(keeps_first));
        }
        state.push(active);
        let lives = |version| state.iter().any(|it| it.download.version() == version);
        self.spread.outbox().retain(lives);
        drop(state);
        self.tick_spread();
    }

    /// Milliseconds of one chunk on the origin's link, 0 where the document tells nothing of it.
    fn origin_chunk_ms(&self, manifest: &manifest::Manifest) -> f64 {
        let told = self.told.borrow();
        let origin = told.document.as_ref().and_then(|document| document.origin());
        let link_mbps = origin.map_or(0.0, |origin| origin.link_mbps);
        let bits = f64::from(manifest.chunk_bytes()) * 8.0;
        if link_mbps > 0.0 { bits / (link_mbps * 1_000.0) } else { 0.0 }
    }

    fn place(&self) -> event::Location {
        event::Location {
            instance: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            region: self.identity.region.clone(),
        }
    }

    fn place_of(&self, seat: &notice::AgentInfo) -> Option<event::Location> {
        let region = self.settings.fleet.regions.get(&seat.zone).unwrap_or(&seat.zone);
        Some(event::Location {
            instance: name::InstanceName::new(&seat.address.to_string()).ok()?,
            zone: name::ZoneName::new(&seat.zone).ok()?,
            region: name::RegionName::new(region).ok()?,
        })
    }

    fn tick_spread(self: &sync::Arc<Self>) {
        let seats = self.seats();
        let window = self.spread.congestion().window();
        let mut state = self.spread.state();
        state.iter_mut().for_each(|it| it.download.set_window(window));
        for index in 0..state.len() {
            let newest = index + 1 == state.len();
            self.tick_active(&mut state[index], &seats, newest);
        }
    }

    fn tick_active(
        self: &sync::Arc<Self>,
        active: &mut Active,
        seats: &collections::BTreeMap<net::Ipv4Addr, notice::AgentInfo>,
        newest: bool,
    ) {
        active.draws = newest || active.download.origin_schedule_is_over(self.clock.now_ms());
        let mut events = Vec::new();
        let gone: Vec<_> = active
            .reported
            .keys()
            .filter(|address| !seats.contains_key(address))
            .copied()
            .collect();
        for address in gone {
            active.reported.remove(&address);
            let instance = name::InstanceName::new(&address.to_string());
            events.extend(instance.ok().map(event::Event::Left));
        }
        for (address, seat) in seats {
            if active.reported.insert(*address, seat.incarnation) != Some(seat.incarnation) {
                // The policy forgets all of one that joins again.
                active.narrow.remove(address);
                let place = self.place_of(seat);
                let heard = place.as_ref().and_then(|place| {
                    self.spread.heard().take(&place.instance, active.download.version())
                });
                events.extend(place.map(event::Event::Joined));
                events.extend(heard);
            }
        }
        events.extend(self.links(active, seats));
        events.push(event::Event::Tick);
        events.into_iter().for_each(|event| self.feed_active(active, event));
    }

    /// Which links are narrow, as far as that is news. Where half of all are, nobody is better than
    /// the others, and somebody has to bring the chunks in.
    fn links(
        &self,
        active: &mut Active,
        seats: &collections::BTreeMap<net::Ipv4Addr, notice::AgentInfo>,
    ) -> Vec<event::Event> {
        let own = self.settings.fleet.address;
        let narrow = seats.values().filter(|seat| seat.narrow).map(|seat| seat.address);
        let mut narrow: collections::BTreeSet<_> = narrow.collect();
        if self.spread.congestion().is_narrow() {
            narrow.insert(own);
        }
        if narrow.len() * 2 > seats.len() {
            narrow.clear();
        }
        let news = |address: &net::Ipv4Addr| {
            let instance = name::InstanceName::new(&address.to_string()).ok()?;
            Some(event::Event::LinkChanged { instance, narrow: narrow.contains(address) })
        };
        let events = active.narrow.symmetric_difference(&narrow).filter_map(news).collect();
        active.narrow = narrow;
        events
    }

    /// Hands an event to the policy and does what it says.
    pub(super) fn feed(self: &sync::Arc<Self>, event: event::Event) {
        for active in self.spread.state().iter_mut() {
            self.feed_active(active, event.clone());
        }
    }

    pub(super) fn upload_ended(&self, to: &name::InstanceName, chunk: u32) {
        for active in self.spread.state().iter_mut() {
            active.download.upload_ended(to, chunk);
        }
    }

    fn feed_active(self: &sync::Arc<Self>, active: &mut Active, event: event::Event) {
        for action in active.download.handle(self.clock.now_ms(), event) {
            self.act(active, action);
        }
    }

    fn act(self: &sync::Arc<Self>, active: &mut Active, action: event::Action) {
        match action {
            event::Action::Request { source, chunk, deadline_ms } => {
                let wanted = fetch::Wanted {
                    weights: active.weights.clone(),
                    manifest: active.listed.manifest.clone(),
                    source: source.clone(),
                    chunk,
                    deadline_ms: deadline_ms.saturating_sub(self.clock.now_ms()),
                    draws: active.draws,
                };
                let fetch = self.clone().fetch(wanted);
                let handle = tokio::spawn(fetch).abort_handle();
                active.fetches.insert((source, chunk), handle);
            }
            event::Action::Cancel { source, chunk } => {
                if let Some(fetch) = active.fetches.remove(&(source, chunk)) {
                    fetch.abort();
                }
            }
            event::Action::Announce { to, chunks } => {
                let version = active.download.version();
                let instance = self.identity.name.clone();
                let holdings = roster::Holdings { instance, version, chunks };
                self.announce(to, &holdings);
            }
            event::Action::ReportFault { source, chunk, fault } => {
                if fault == event::Fault::Timeout && source != event::Source::Origin {
                    self.spread.congestion().on_timeout();
                }
                log::info!("agent: chunk {chunk} from {source:?}: {fault:?}");
                let from_origin = source == event::Source::Origin;
                if from_origin && matches!(fault, event::Fault::BadChunk(_)) {
                    active.origin_faults += 1;
                }
            }
            event::Action::AbortUpload { .. } => (),
            event::Action::Complete => {
                log::info!("agent: all chunks of {:?} are here", active.weights);
                self.spread.complete.notify_one();
            }
        }
    }

    /// A request for a chunk has ended.
    pub(super) fn fetched(
        self: &sync::Arc<Self>,
        weights: &origin::Weights,
        request: (event::Source, u32),
        event: event::Event,
    ) {
        let mut state = self.spread.state();
        if let Some(active) = state.iter_mut().find(|it| it.weights == *weights) {
            active.fetches.remove(&request);
            self.feed_active(active, event);
        }
    }

    pub(super) fn keep(&self, weights: &origin::Weights, chunk: u32, bytes: Bytes) {
        let mut state = self.spread.state();
        if let Some(active) = state.iter_mut().find(|it| it.weights == *weights) {
            active.origin_faults = 0;
            active.bytes.insert(chunk, bytes);
        }
    }
}
