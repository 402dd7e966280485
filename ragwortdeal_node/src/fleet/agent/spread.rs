//! Runs the spread policy: requests for chunks, uploads to peers, agents that join and leave.

use std::{collections, net, sync, time};

use bytes::Bytes;
use ragwortdeal_core::{
    digest, name,
    spread::{congestion, download, event, limits, manifest, outbox, roster},
};
use tokio::{sync::Notify, task};

use super::{Agent, early_holdings, fetch, manifests};
use crate::fleet::notice;

/// How often deadlines, announcements and the list of agents are checked.
const TICK: time::Duration = time::Duration::from_millis(40);

/// Size of a chunk that is assumed for detecting slow transfers before a document tells the size.
const CHUNK_DEFAULT_BYTES: f64 = 49_152.0;

/// Largest share of a version before the newest that may still be fetched from the origin: as the
/// next best it is at hand soon, and it hardly delays the newest.
const EARLIER_ORIGIN_SHARE_MAX: f64 = 0.25;

/// Consecutive bad chunks from the origin after which the manifest itself is suspected: it also
/// comes from there, and may have been corrupted in transit.
const ORIGIN_FAULTS_MAX: u32 = 6;

/// The transfers of an agent.
pub(super) struct Spread {
    /// The versions at hand, the newest last. An earlier one goes on among peers: if the origin is
    /// unreachable, it may be the newest that can be completed.
    transfers: sync::Mutex<Vec<Transfer>>,
    /// Notified when a version is complete.
    complete: Notify,
    congestion: sync::Mutex<congestion::CongestionControl>,
    early_holdings: sync::Mutex<early_holdings::EarlyHoldings>,
    outbox: sync::Mutex<outbox::Outbox>,
}

/// A version with all its chunks.
#[derive(Clone)]
pub(super) struct CompleteVersion {
    pub(super) weights: manifests::Weights,
    pub(super) manifest: manifest::Manifest,
    pub(super) bytes: collections::BTreeMap<u32, Bytes>,
    /// When its last chunk arrived.
    pub(super) at_ms: u64,
}

/// The transfer of one version, in progress or complete.
struct Transfer {
    weights: manifests::Weights,
    manifest_file: manifests::ManifestFile,
    download: download::Download,
    bytes: collections::BTreeMap<u32, Bytes>,
    fetches: collections::BTreeMap<(event::Source, u32), task::AbortHandle>,
    reported_agents: collections::BTreeMap<net::Ipv4Addr, u64>,
    /// Instances that were reported to the policy as behind narrow links.
    narrow: collections::BTreeSet<net::Ipv4Addr>,
    origin_faults: u32,
    /// When the last chunk arrived.
    complete_at_ms: u64,
}

impl Transfer {
    fn complete(&self) -> Option<CompleteVersion> {
        self.download.is_complete().then(|| CompleteVersion {
            weights: self.weights.clone(),
            manifest: self.manifest_file.manifest.clone(),
            bytes: self.bytes.clone(),
            at_ms: self.complete_at_ms,
        })
    }
}

/// Delay before the first fetch from the origin if the engine already serves weights. Other agents
/// are known before such a transfer starts, but are reported to the policy one by one.
const SETTLE_MS: u64 = 60;

/// The same if the engine is empty. Most likely its peers hold the weights: it waits until they
/// have discovered it, which takes a tick, announced what they hold, which takes an announcement
/// interval, and these have arrived over a busy link.
const SETTLE_EMPTY_MS: u64 = 250;

impl Spread {
    /// Starts without transfers, on a link on which a chunk takes `chunk_ms`.
    pub(super) fn new(chunk_ms: f64) -> Self {
        let congestion =
            congestion::CongestionControl::new(chunk_ms, limits::ChunkTimes::default().window());
        Self {
            transfers: sync::Mutex::default(),
            complete: Notify::new(),
            congestion: sync::Mutex::new(congestion),
            early_holdings: sync::Mutex::default(),
            outbox: sync::Mutex::default(),
        }
    }

    /// Holdings that peers announced too early.
    pub(super) fn early_holdings(&self) -> sync::MutexGuard<'_, early_holdings::EarlyHoldings> {
        self.early_holdings.lock().expect("no panic under lock")
    }

    /// Announcements that wait to be sent to peers.
    pub(super) fn outbox(&self) -> sync::MutexGuard<'_, outbox::Outbox> {
        self.outbox.lock().expect("no panic under lock")
    }

    /// Whether the holdings that a peer announces of a version can be used now.
    pub(super) fn can_use_holdings(
        &self,
        instance: &name::InstanceName,
        version: digest::Digest,
    ) -> bool {
        let transfers = self.transfers();
        let mut matching = transfers.iter().filter(|it| it.download.version() == version);
        matching.any(|it| it.download.reputation(instance).is_some())
    }

    /// Congestion of the link, as observed on recent chunks.
    pub(super) fn congestion(&self) -> sync::MutexGuard<'_, congestion::CongestionControl> {
        self.congestion.lock().expect("no panic under lock")
    }

    fn transfers(&self) -> sync::MutexGuard<'_, Vec<Transfer>> {
        self.transfers.lock().expect("no panic under lock")
    }

    /// The manifest of a version, if it is at hand.
    pub(super) fn manifest_file(
        &self,
        weights: &manifests::Weights,
    ) -> Option<manifests::ManifestFile> {
        self.transfers().iter().find(|it| it.weights == *weights).map(|it| it.manifest_file.clone())
    }

    /// A version, if all its chunks are at hand.
    pub(super) fn complete(&self, weights: &manifests::Weights) -> Option<CompleteVersion> {
        self.transfers().iter().find(|it| it.weights == *weights)?.complete()
    }

    /// Number of missing chunks of a version, or none if its manifest is missing.
    pub(super) fn missing(&self, weights: &manifests::Weights) -> Option<usize> {
        let transfers = self.transfers();
        let transfer = transfers.iter().find(|it| it.weights == *weights)?;
        Some(transfer.manifest_file.manifest.chunks().len().saturating_sub(transfer.bytes.len()))
    }

    /// Highest version that is complete, 0 if there is none.
    pub(super) fn complete_version(&self) -> u64 {
        let transfers = self.transfers();
        let complete = transfers.iter().filter(|it| it.download.is_complete());
        complete.map(|it| it.weights.version).max().unwrap_or(0)
    }

    /// The newest complete version below this one, whether or not the manifest of this one is at
    /// hand.
    pub(super) fn complete_below(&self, weights: &manifests::Weights) -> Option<CompleteVersion> {
        let transfers = self.transfers();
        let below = transfers.iter().filter(|it| it.weights.version < weights.version);
        let complete = below.filter(|it| it.download.is_complete());
        complete.max_by_key(|it| it.weights.version)?.complete()
    }

    /// Whether the origin sent so many chunks that do not match the manifest that the manifest is
    /// suspected.
    pub(super) fn suspects_manifest(&self) -> bool {
        self.transfers().last().is_some_and(|it| it.origin_faults >= ORIGIN_FAULTS_MAX)
    }

    /// Waits until a version may be complete.
    pub(super) async fn wait_complete(&self) {
        self.complete.notified().await;
    }

    /// Serves a chunk to a peer.
    pub(super) fn serve(
        &self,
        weights: &manifests::Weights,
        chunk: u32,
        to: &name::InstanceName,
        now_ms: u64,
    ) -> Result<Bytes, event::Answer> {
        let mut transfers = self.transfers();
        let transfer = transfers.iter_mut().find(|it| it.weights == *weights);
        let transfer = transfer.ok_or(event::Answer::NotYet { held: 0, origin_fails: false })?;
        let version = transfer.download.version();
        match transfer.download.serve(now_ms, to, version, chunk) {
            event::Answer::Send => {
                transfer.bytes.get(&chunk).cloned().ok_or(event::Answer::OtherVersion)
            }
            refused => Err(refused),
        }
    }
}

/// Milliseconds that a chunk of the default size takes on a link, 0 if its rate is unknown.
pub(super) fn chunk_ms(link_mbps: f64) -> f64 {
    transfer_ms(CHUNK_DEFAULT_BYTES, link_mbps)
}

/// Milliseconds that so many bytes take on a link, 0 if its rate is unknown.
fn transfer_ms(bytes: f64, link_mbps: f64) -> f64 {
    if link_mbps > 0.0 { bytes * 8.0 / (link_mbps * 1_000.0) } else { 0.0 }
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
    /// Starts to fetch a version, with the chunks that are staged already, while the engine serves
    /// another one.
    pub(super) fn begin_fetch(
        self: &sync::Arc<Self>,
        serving: u64,
        weights: manifests::Weights,
        manifest_file: manifests::ManifestFile,
        staged: Vec<(manifest::VerifiedChunk, Bytes)>,
    ) {
        log::info!("agent: fetching {weights:?}, kept={} chunks", staged.len());
        let proofs: Vec<_> = staged.iter().map(|(proof, _)| *proof).collect();
        let manifest = manifest_file.manifest.clone();
        let settle_ms = if serving > 0 { SETTLE_MS } else { SETTLE_EMPTY_MS };
        let times = self.chunk_times(&manifest);
        self.spread.congestion().set_window_max(times.window());
        let limits = limits::Limits::for_bursts(&times, settle_ms);
        let download = download::Download::new(self.place(), manifest, limits, &proofs);
        let bytes = staged.into_iter().map(|(proof, bytes)| (proof.chunk(), bytes)).collect();
        let transfer = Transfer {
            weights,
            manifest_file,
            download,
            bytes,
            fetches: collections::BTreeMap::new(),
            reported_agents: collections::BTreeMap::new(),
            narrow: collections::BTreeSet::new(),
            origin_faults: 0,
            complete_at_ms: 0,
        };
        let mut transfers = self.spread.transfers();
        transfers.retain(|it| it.weights != transfer.weights);
        if let [first, second] = transfers.as_slice() {
            // A complete version is worth more than a later incomplete one, unless the engine
            // serves it already.
            let keeps_first = first.weights.version > serving
                && first.download.is_complete()
                && !second.download.is_complete();
            transfers.remove(usize::from(keeps_first));
        }
        transfers.push(transfer);
        let is_current = |version| transfers.iter().any(|it| it.download.version() == version);
        self.spread.outbox().retain(is_current);
        drop(transfers);
        self.tick_spread();
    }

    /// Times of one chunk on the links that the document and the settings tell.
    fn chunk_times(&self, manifest: &manifest::Manifest) -> limits::ChunkTimes {
        let voter_state = self.voter_state.borrow();
        let origin = voter_state.document.as_ref().and_then(|document| document.origin());
        let chunk_bytes = f64::from(manifest.chunk_bytes());
        limits::ChunkTimes {
            origin_ms: transfer_ms(chunk_bytes, origin.map_or(0.0, |origin| origin.link_mbps)),
            machine_ms: transfer_ms(chunk_bytes, self.settings.fleet.link_mbps),
        }
    }

    fn place(&self) -> event::Location {
        event::Location {
            instance: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            region: self.identity.region.clone(),
        }
    }

    fn place_of(&self, agent: &notice::AgentInfo) -> Option<event::Location> {
        let region = self.settings.fleet.regions.get(&agent.zone).unwrap_or(&agent.zone);
        Some(event::Location {
            instance: name::InstanceName::new(&agent.address.to_string()).ok()?,
            zone: name::ZoneName::new(&agent.zone).ok()?,
            region: name::RegionName::new(region).ok()?,
        })
    }

    fn tick_spread(self: &sync::Arc<Self>) {
        let agents = self.other_agents();
        let window = self.spread.congestion().window();
        let mut transfers = self.spread.transfers();
        transfers.iter_mut().for_each(|it| it.download.set_window(window));
        for index in 0..transfers.len() {
            let newest = index + 1 == transfers.len();
            self.tick_transfer(&mut transfers[index], &agents, newest);
        }
    }

    fn tick_transfer(
        self: &sync::Arc<Self>,
        transfer: &mut Transfer,
        agents: &collections::BTreeMap<net::Ipv4Addr, notice::AgentInfo>,
        newest: bool,
    ) {
        let now_ms = self.clock.now_ms();
        self.abandon_if_useless(transfer);
        let nearly_out = transfer.download.origin_needs_at_most(EARLIER_ORIGIN_SHARE_MAX, now_ms);
        transfer.download.set_origin_allowed(newest || nearly_out, now_ms);
        let mut events = Vec::new();
        let gone: Vec<_> = transfer
            .reported_agents
            .keys()
            .filter(|address| !agents.contains_key(address))
            .copied()
            .collect();
        for address in gone {
            transfer.reported_agents.remove(&address);
            let instance = name::InstanceName::new(&address.to_string());
            events.extend(instance.ok().map(event::Event::Left));
        }
        for (address, agent) in agents {
            if transfer.reported_agents.insert(*address, agent.incarnation)
                != Some(agent.incarnation)
            {
                // The policy forgets everything about an agent that joins again.
                transfer.narrow.remove(address);
                let place = self.place_of(agent);
                let early = place.as_ref().and_then(|place| {
                    self.spread.early_holdings().take(&place.instance, transfer.download.version())
                });
                events.extend(place.map(event::Event::Joined));
                events.extend(early);
            }
        }
        events.extend(self.link_changes(transfer, agents));
        events.push(event::Event::Tick);
        events.into_iter().for_each(|event| self.handle_transfer_event(transfer, event));
    }

    /// Ends the requests of a version that cannot be complete here in time to be served.
    fn abandon_if_useless(self: &sync::Arc<Self>, transfer: &mut Transfer) {
        let chunk_ms = self.chunk_times(&transfer.manifest_file.manifest).machine_ms;
        let missing = transfer.download.missing();
        let can_be_used = self.can_be_used(&transfer.weights, missing as f64 * chunk_ms);
        if can_be_used || missing == 0 || transfer.download.is_abandoned() {
            return;
        }
        log::info!("agent: gave up {:?}, missing={missing} chunks", transfer.weights);
        let actions = transfer.download.abandon();
        actions.into_iter().for_each(|action| self.perform(transfer, action));
    }

    /// Changes of which links are narrow. If more than half are, none are reported: no agent is
    /// better placed then, and some have to bring the chunks in.
    fn link_changes(
        &self,
        transfer: &mut Transfer,
        agents: &collections::BTreeMap<net::Ipv4Addr, notice::AgentInfo>,
    ) -> Vec<event::Event> {
        let own = self.settings.fleet.address;
        let narrow = agents.values().filter(|agent| agent.narrow).map(|agent| agent.address);
        let mut narrow: collections::BTreeSet<_> = narrow.collect();
        if self.spread.congestion().is_narrow() {
            narrow.insert(own);
        }
        if narrow.len() * 2 > agents.len() {
            narrow.clear();
        }
        let news = |address: &net::Ipv4Addr| {
            let instance = name::InstanceName::new(&address.to_string()).ok()?;
            Some(event::Event::LinkChanged { instance, narrow: narrow.contains(address) })
        };
        let events = transfer.narrow.symmetric_difference(&narrow).filter_map(news).collect();
        transfer.narrow = narrow;
        events
    }

    /// Passes an event to the policy and performs its actions.
    pub(super) fn handle_event(self: &sync::Arc<Self>, event: event::Event) {
        for transfer in self.spread.transfers().iter_mut() {
            self.handle_transfer_event(transfer, event.clone());
        }
    }

    pub(super) fn upload_ended(&self, to: &name::InstanceName, chunk: u32) {
        for transfer in self.spread.transfers().iter_mut() {
            transfer.download.upload_ended(to, chunk);
        }
    }

    fn handle_transfer_event(self: &sync::Arc<Self>, transfer: &mut Transfer, event: event::Event) {
        for action in transfer.download.handle(self.clock.now_ms(), event) {
            self.perform(transfer, action);
        }
    }

    fn perform(self: &sync::Arc<Self>, transfer: &mut Transfer, action: event::Action) {
        match action {
            event::Action::Request { source, chunk, deadline_ms } => {
                let request = fetch::ChunkRequest {
                    weights: transfer.weights.clone(),
                    manifest: transfer.manifest_file.manifest.clone(),
                    source: source.clone(),
                    chunk,
                    deadline_ms: deadline_ms.saturating_sub(self.clock.now_ms()),
                };
                let fetch = self.clone().fetch(request);
                let handle = tokio::spawn(fetch).abort_handle();
                transfer.fetches.insert((source, chunk), handle);
            }
            event::Action::Cancel { source, chunk } => {
                if let Some(fetch) = transfer.fetches.remove(&(source, chunk)) {
                    fetch.abort();
                }
            }
            event::Action::Announce { to, chunks } => {
                let version = transfer.download.version();
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
                    transfer.origin_faults += 1;
                }
            }
            event::Action::AbortUpload { .. } => (),
            event::Action::Complete => {
                transfer.complete_at_ms = self.clock.now_ms();
                log::info!("agent: received all chunks of {:?}", transfer.weights);
                self.spread.complete.notify_one();
            }
        }
    }

    /// Records that a request for a chunk has ended.
    pub(super) fn fetch_finished(
        self: &sync::Arc<Self>,
        weights: &manifests::Weights,
        request: (event::Source, u32),
        event: event::Event,
    ) {
        let mut transfers = self.spread.transfers();
        if let Some(transfer) = transfers.iter_mut().find(|it| it.weights == *weights) {
            transfer.fetches.remove(&request);
            self.handle_transfer_event(transfer, event);
        }
    }

    pub(super) fn store_chunk(&self, weights: &manifests::Weights, chunk: u32, bytes: Bytes) {
        let mut transfers = self.spread.transfers();
        if let Some(transfer) = transfers.iter_mut().find(|it| it.weights == *weights) {
            transfer.origin_faults = 0;
            transfer.bytes.insert(chunk, bytes);
        }
    }
}
