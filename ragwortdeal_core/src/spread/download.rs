//! The download of one version's chunks to one instance.

use crate::{
    digest, name,
    spread::{
        announcer, chunk_set, event, fetch_clock, limits, manifest, owners, peers, requests,
        uploads,
    },
};

mod responses;
mod selection;

/// The distribution policy of one instance for one version.
///
/// Pass it [`event::Event`]s, and call [`Download::handle`] with [`event::Event::Tick`] a few times
/// a second, because deadlines and announcements have no timer of their own.
#[derive(Clone, Debug)]
pub struct Download {
    manifest: manifest::Manifest,
    limits: limits::Limits,
    held: chunk_set::ChunkSet,
    owners: owners::Owners,
    peers: peers::Peers,
    requests: requests::Requests,
    uploads: uploads::Uploads,
    announcer: announcer::Announcer,
    assignments: selection::Assignments,
    tie_breaks: Vec<u32>,
    probe_counts: Vec<u8>,
    next_probe_ms: u64,
    /// Starts at the end of the settling time.
    clock: fetch_clock::FetchClock,
    /// Whether this version may use the origin's link.
    origin_allowed: bool,
    origin_retry_at_ms: u64,
    origin_failures: u32,
    complete_reported: bool,
    /// Whether this version is of no use any more and requests nothing.
    abandoned: bool,
}

impl Download {
    /// Starts the download of a version.
    ///
    /// `kept` are chunks that were verified before a restart or are shared with the previous
    /// version; they are not fetched again.
    pub fn new(
        me: event::Location,
        manifest: manifest::Manifest,
        limits: limits::Limits,
        kept: &[manifest::VerifiedChunk],
    ) -> Self {
        let chunks = manifest.chunks().len();
        let mut held = chunk_set::ChunkSet::new(chunks);
        let ours = kept.iter().filter(|chunk| chunk.version() == manifest.version());
        ours.for_each(|chunk| _ = held.insert(chunk.chunk()));
        let mut owners = owners::Owners::new(manifest.chunks());
        let peers = peers::Peers::new(me, &mut owners, chunks);
        let key = peers.get(owners::SELF).key;
        Self {
            announcer: announcer::Announcer::new(held.iter().collect(), &limits),
            requests: requests::Requests::new(chunks, &limits),
            uploads: uploads::Uploads::new(&limits),
            assignments: selection::Assignments::stale(),
            tie_breaks: (0..chunks as u64).map(|c| owners::mix(key ^ c) as u32).collect(),
            probe_counts: vec![0; chunks],
            next_probe_ms: 0,
            clock: fetch_clock::FetchClock::default(),
            origin_allowed: true,
            origin_retry_at_ms: 0,
            origin_failures: 0,
            complete_reported: false,
            abandoned: false,
            manifest,
            limits,
            held,
            owners,
            peers,
        }
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, now_ms: u64, event: event::Event) -> Vec<event::Action> {
        let mut actions = Vec::new();
        match event {
            event::Event::Joined(location) => self.add_peer(location, &mut actions),
            event::Event::Left(instance) => self.remove_peer(&instance, &mut actions),
            event::Event::LinkChanged { instance, narrow } => self.set_link(&instance, narrow),
            event::Event::Holds { instance, version, chunks } => {
                self.record_holdings(now_ms, &instance, version, &chunks);
            }
            event::Event::Arrived { source, chunk } => {
                self.chunk_received(now_ms, &source, chunk, &mut actions);
            }
            event::Event::InvalidChunk { source, version, chunk, fault } => {
                if version == self.version() {
                    let fault = event::Fault::BadChunk(fault);
                    self.request_failed(now_ms, &source, chunk, fault, &mut actions);
                }
            }
            event::Event::Failed { source, version, chunk, failure } => {
                if version == self.version() {
                    self.request_refused(now_ms, &source, chunk, failure, &mut actions);
                }
            }
            event::Event::Tick => self.tick(now_ms, &mut actions),
        }
        self.open_new_requests(now_ms, &mut actions);
        self.report_complete(&mut actions);
        actions
    }

    /// Answers a peer's request for a chunk.
    pub fn serve(
        &mut self,
        now_ms: u64,
        to: &name::InstanceName,
        version: digest::Digest,
        chunk: u32,
    ) -> event::Answer {
        if version != self.version() {
            return event::Answer::OtherVersion;
        }
        if !self.held.contains(chunk) {
            self.reset_probes(chunk);
            let held = self.held.len() as u32;
            return event::Answer::NotYet { held, origin_fails: self.origin_failures > 0 };
        }
        let scope = self.peers.find(to).map(|peer| self.peers.get(peer).scope);
        let same_zone = scope == Some(peers::Scope::Zone);
        match self.uploads.start(now_ms, to, chunk, same_zone) {
            true => event::Answer::Send,
            false => event::Answer::Busy,
        }
    }

    /// Records that an upload completed or failed.
    pub fn upload_ended(&mut self, to: &name::InstanceName, chunk: u32) {
        self.uploads.end(to, chunk);
    }

    /// Sets how many chunks may be in flight in each direction, to yield to live calls. Transfers
    /// that are in flight already continue.
    pub fn set_window(&mut self, chunks: usize) {
        self.limits.downloads_max = chunks.max(1);
        self.uploads.set_total_max(chunks.max(1));
    }

    /// Sets whether this version may use the origin's link, which carries little at a time.
    pub fn set_origin_allowed(&mut self, allowed: bool, now_ms: u64) {
        if std::mem::replace(&mut self.origin_allowed, allowed) == allowed {
            return;
        }
        match allowed {
            true => self.clock.resume(self.frontier_ms(), now_ms),
            false => self.clock.hold(self.frontier_ms(), now_ms),
        }
    }

    /// Ends all requests of this version for good, because it could not be used in time. The chunks
    /// at hand are served on to peers that can still use them.
    pub fn abandon(&mut self) -> Vec<event::Action> {
        self.abandoned = true;
        self.cancel_requests()
    }

    /// Whether all its requests were ended for good.
    pub fn is_abandoned(&self) -> bool {
        self.abandoned
    }

    /// Number of chunks that are missing here.
    pub fn missing(&self) -> usize {
        self.held.capacity() - self.held.len()
    }

    /// Cancels all transfers of this version.
    pub fn cancel(mut self) -> Vec<event::Action> {
        self.cancel_transfers()
    }

    /// Switches to a newer version: transfers of the old one are cancelled, peers keep their
    /// reputation. `kept` are the chunks shared by both, verified against the newer manifest.
    pub fn supersede(
        mut self,
        newer: manifest::Manifest,
        kept: &[manifest::VerifiedChunk],
    ) -> (Self, Vec<event::Action>) {
        let mut actions = self.cancel_transfers();
        let me = self.peers.get(owners::SELF).location.clone();
        let mut next = Self::new(me, newer, self.limits.clone(), kept);
        for (_, peer) in self.peers.others() {
            let index = next.peers.join(peer.location.clone(), &mut next.owners);
            let known = next.peers.get_mut(index);
            known.carry_over(peer);
            if !known.is_trusted() {
                next.owners.remove(index);
            }
        }
        next.report_complete(&mut actions);
        (next, actions)
    }

    /// The version that is downloaded.
    pub fn version(&self) -> digest::Digest {
        self.manifest.version()
    }

    /// Its manifest.
    pub fn manifest(&self) -> &manifest::Manifest {
        &self.manifest
    }

    /// The chunks that this instance holds, all verified.
    pub fn held(&self) -> &chunk_set::ChunkSet {
        &self.held
    }

    /// Whether this instance holds every chunk.
    pub fn is_complete(&self) -> bool {
        self.held.is_full()
    }

    /// Reputation of a peer from 0 to 100.
    pub fn reputation(&self, instance: &name::InstanceName) -> Option<i32> {
        Some(self.peers.get(self.peers.find(instance)?).reputation())
    }

    /// Whether a peer is in another region.
    pub fn is_remote(&self, instance: &name::InstanceName) -> bool {
        let peer = self.peers.find(instance).map(|index| self.peers.get(index));
        peer.is_some_and(|peer| peer.scope == peers::Scope::Remote)
    }

    /// Number of open requests for chunks, including probes.
    pub fn open_requests(&self) -> usize {
        self.requests.transfers() + self.requests.probes()
    }

    /// Number of open uploads.
    pub fn open_uploads(&self) -> usize {
        self.uploads.len()
    }

    fn add_peer(&mut self, location: event::Location, actions: &mut Vec<event::Action>) {
        if location.instance == self.peers.get(owners::SELF).location.instance {
            return;
        }
        self.remove_peer(&location.instance.clone(), actions);
        let index = self.peers.join(location, &mut self.owners);
        self.announcer.membership_changed(index);
        self.assignments = selection::Assignments::stale();
    }

    fn remove_peer(&mut self, instance: &name::InstanceName, actions: &mut Vec<event::Action>) {
        let Some(index) = self.peers.find(instance).filter(|&index| index != owners::SELF) else {
            return;
        };
        for chunk in self.requests.open_at(requests::Sender::Peer(index)) {
            self.requests.close_any(chunk);
            let source = event::Source::Peer(instance.clone());
            actions.push(event::Action::Cancel { source, chunk });
        }
        self.peers.leave(index, &mut self.owners);
        self.announcer.membership_changed(index);
        self.assignments = selection::Assignments::stale();
    }

    /// Withdraws ownership from an instance behind a narrow link, or restores it.
    fn set_link(&mut self, instance: &name::InstanceName, narrow: bool) {
        let Some(index) = self.peers.find(instance) else {
            return;
        };
        let peer = self.peers.get_mut(index);
        if std::mem::replace(&mut peer.narrow, narrow) == narrow {
            return;
        }
        let (member, trusted) =
            (owners::Member { key: peer.key, zone: peer.zone }, peer.is_trusted());
        match narrow {
            true => self.owners.remove(index),
            false if trusted => self.owners.insert(index, member),
            false => (),
        }
        self.assignments = selection::Assignments::stale();
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<event::Action>) {
        for chunk in self.requests.overdue(now_ms) {
            self.request_timed_out(now_ms, chunk, actions);
        }
        for (to, chunk) in self.uploads.overdue(now_ms) {
            actions.push(event::Action::AbortUpload { to, chunk });
        }
        self.end_suspicions(now_ms);
        let messages = self.announcer.due(now_ms, &self.held, &self.peers, &self.owners);
        for (to, chunks) in messages {
            let name = |peer: owners::PeerIndex| self.peers.get(peer).location.instance.clone();
            let to = to.into_iter().map(name).collect();
            actions.push(event::Action::Announce { to, chunks });
        }
    }

    /// Restores the ownership of peers whose suspicion has ended. Otherwise a short network outage
    /// would leave each instance the owner of all chunks, and the origin would send N copies.
    fn end_suspicions(&mut self, now_ms: u64) {
        let ended = |until: Option<u64>| until.is_some_and(|until_ms| until_ms <= now_ms);
        let suspects = self.peers.others().filter(|(_, peer)| ended(peer.suspected_until_ms));
        let suspects: Vec<_> = suspects.map(|(index, peer)| (index, peer.key, peer.zone)).collect();
        for (index, key, zone) in suspects {
            let peer = self.peers.get_mut(index);
            peer.end_suspicion();
            if !peer.narrow {
                self.owners.insert(index, owners::Member { key, zone });
            }
            self.assignments = selection::Assignments::stale();
        }
    }

    fn cancel_requests(&mut self) -> Vec<event::Action> {
        let mut actions = Vec::new();
        let open: Vec<_> = self.requests.iter().map(|(chunk, r)| (chunk, r.sender)).collect();
        for (chunk, sender) in open {
            self.close_any(chunk);
            actions.push(event::Action::Cancel { source: self.source(sender), chunk });
        }
        actions
    }

    fn cancel_transfers(&mut self) -> Vec<event::Action> {
        let mut actions = self.cancel_requests();
        let uploads = self.uploads.drain();
        actions.extend(
            uploads.into_iter().map(|(to, chunk)| event::Action::AbortUpload { to, chunk }),
        );
        actions
    }

    fn report_complete(&mut self, actions: &mut Vec<event::Action>) {
        if self.held.is_full() && !std::mem::replace(&mut self.complete_reported, true) {
            actions.push(event::Action::Complete);
        }
    }

    fn source(&self, sender: requests::Sender) -> event::Source {
        match sender {
            requests::Sender::Origin => event::Source::Origin,
            requests::Sender::Peer(index) => {
                event::Source::Peer(self.peers.get(index).location.instance.clone())
            }
        }
    }

    fn sender(&self, source: &event::Source) -> Option<requests::Sender> {
        match source {
            event::Source::Origin => Some(requests::Sender::Origin),
            event::Source::Peer(instance) => self.peers.find(instance).map(requests::Sender::Peer),
        }
    }
}
