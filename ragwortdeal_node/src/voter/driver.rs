//! The loop of a voter: gives the replica its inputs and carries out what it asks for.

mod planned_stop;
mod reading;

use std::{collections, sync::mpsc as blocking};

use ragwortdeal_core::{
    claims, command, document, name,
    replication::{Input, Output, Rejection, RoleKind, entry, payload, replica},
};
use ragwortdeal_wire::link as wire;

use tokio::sync::watch;

use super::{
    Answer, Event, VoterError, config_update, letter::Letter, operate, peers, proposals, reads,
};
use crate::{clock, link, storage};

/// Bytes of log after which the state is written as a snapshot. It bounds the time of a restart.
const SNAPSHOT_AFTER_BYTES: u64 = 16 * 1024 * 1024;
/// How often a voter announces itself and a leader looks for something to repair.
const HOUSEKEEPING_MS: u64 = 200;

/// An entry or another receiver of configuration updates.
struct Subscriber {
    session: link::Session,
    sent_revision: u64,
}

pub(super) struct Driver {
    replica: replica::Replica,
    machine: command::StateMachine,
    /// Stamps proposals while this voter leads.
    log_clock: claims::clock::LogClock,
    clock: clock::Clock,
    peers: peers::Peers,
    disk: blocking::Sender<entry::Write>,
    proposals: proposals::Proposals,
    /// The proposal that is being given to the replica, until it has a place in the log.
    proposing: Option<proposals::Proposal>,
    subscribers: collections::BTreeMap<link::SessionId, Subscriber>,
    segment_bytes: u64,
    snapshot_index: u64,
    housekeeping_due_ms: u64,
    failure: Option<VoterError>,
    stopping: Option<planned_stop::Stopping>,
    /// When a leader said last that this replica is no member.
    removed_ms: Option<u64>,
    reads: reads::Reads,
    publisher: Option<Publisher>,
}

/// What a voter that keeps documents tells the other parts of its process.
#[derive(Clone)]
pub(super) struct Publisher {
    /// What is in force, as far as it is applied here.
    pub(super) documents: watch::Sender<document::store::Store>,
    /// Voters heard lately.
    pub(super) voters: watch::Sender<Vec<name::InstanceName>>,
    /// The leader, where this voter stands by and operators are to ask there.
    pub(super) redirect: watch::Sender<Option<name::InstanceName>>,
}

impl Driver {
    pub(super) fn new(
        replica: replica::Replica,
        clock: clock::Clock,
        peers: peers::Peers,
        disk: blocking::Sender<entry::Write>,
    ) -> Self {
        Self {
            replica,
            machine: command::StateMachine::default(),
            log_clock: claims::clock::LogClock::new(0, clock.now_ms()),
            clock,
            peers,
            disk,
            proposals: proposals::Proposals::default(),
            proposing: None,
            subscribers: collections::BTreeMap::new(),
            segment_bytes: 0,
            snapshot_index: 0,
            housekeeping_due_ms: 0,
            failure: None,
            stopping: None,
            removed_ms: None,
            reads: reads::Reads::default(),
            publisher: None,
        }
    }

    /// Publishes documents and voters from now on.
    pub(super) fn publish_to(&mut self, publisher: Publisher) {
        self.publisher = Some(publisher);
    }

    /// The ways to the other voters, for the driver that follows this one.
    pub(super) fn into_peers(self) -> peers::Peers {
        self.peers
    }

    fn publish_voters(&self, now_ms: u64) {
        if let Some(publisher) = &self.publisher {
            let heard = self.peers.heard_lately(now_ms);
            publisher.voters.send_if_modified(|held| {
                let differs = *held != heard;
                *held = heard;
                differs
            });
        }
    }

    /// A voter that stands by has no log to propose to or read from, so it sends operators on.
    fn publish_redirect(&self, now_ms: u64) {
        let Some(publisher) = &self.publisher else {
            return;
        };
        let is_member =
            self.replica.status().membership.members().any(|id| id == self.replica.id());
        let stands_by = !is_member || self.is_removed(now_ms);
        let to = if stands_by { self.peers.leader(now_ms).cloned() } else { None };
        publisher.redirect.send_if_modified(|held| {
            let differs = *held != to;
            if differs {
                log::info!("voter: sends operators to {to:?}");
            }
            *held = to;
            differs
        });
    }

    /// A state that was read back after a restart may be older than what this process published
    /// before, so only what is newer is taken over.
    fn publish_documents(&self) {
        if let Some(publisher) = &self.publisher {
            let applied = self.machine.documents();
            publisher.documents.send_if_modified(|held| held.merge(applied));
        }
    }

    /// Why the voter cannot go on, once it cannot.
    pub(super) fn take_failure(&mut self) -> Option<VoterError> {
        self.failure.take()
    }

    pub(super) fn tick(&mut self) {
        self.step(Input::Tick);
        let now_ms = self.clock.now_ms();
        self.reads.forget_late(now_ms);
        // Given to the replica once more, which refuses them for good where no leader is known.
        for proposal in self.proposals.take_late(now_ms) {
            self.propose(proposal);
        }
        if now_ms >= self.housekeeping_due_ms {
            self.housekeeping_due_ms = now_ms + HOUSEKEEPING_MS;
            self.housekeep(now_ms);
        }
    }

    fn housekeep(&mut self, now_ms: u64) {
        let (empty, leads) = (self.replica.is_empty(), self.replica.is_leader());
        let leaves = self.stopping.is_some();
        self.peers.announce(peers::Role { empty, leads, leaves }, now_ms);
        self.publish_voters(now_ms);
        self.publish_redirect(now_ms);
        if self.replica.is_empty() {
            if let Some(membership) = self.peers.founding(now_ms) {
                log::info!("voter: founding a group of {}", membership.voters.len());
                self.step(Input::Bootstrap { membership });
            }
        } else if self.replica.is_leader() {
            if leaves {
                self.hand_over(now_ms);
            }
            let status = self.replica.status();
            if let Some(change) = self.peers.repair(&status, now_ms) {
                log::debug!("voter: repair step {change:?}");
                self.step(Input::ChangeMembership { token: 0, change });
            }
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Opened(session) => self.peers.opened(session),
            Event::Closed(session) => {
                self.peers.closed(session);
                self.subscribers.remove(&session);
            }
            Event::Letter(letter) => self.receive(letter),
            Event::Subscribe { session, held_revision } => {
                let subscriber = Subscriber { sent_revision: held_revision, session };
                // An entry that has just started cannot tell an empty configuration from one that
                // it has not heard of yet, unless it is answered either way.
                if self.machine.config().revision() <= held_revision {
                    subscriber.session.push(config_update(&self.machine.config().empty_delta()));
                }
                self.subscribers.insert(subscriber.session.id, subscriber);
                self.push_updates();
            }
            Event::Propose { payload, answer } => {
                self.propose_for(payload.into(), proposals::Asker::Here(answer));
            }
            Event::Named(names) => self.peers.get_to_know(&names),
            Event::Read { answer } => self.read(reads::Reader::Here(answer)),
            Event::Operate { request, reply } => {
                // The operator's tool may have gone; it asks again.
                let _ = reply.send(self.operate(request));
            }
            Event::Synced { storage, .. } | Event::DiskFailed { storage, .. }
                if storage != self.replica.id().storage => {}
            Event::Synced { write_id, segment_bytes, .. } => {
                self.segment_bytes = segment_bytes;
                self.step(Input::WriteSynced { write_id });
                self.take_snapshot_if_due();
            }
            Event::DiskFailed { error, .. } => self.disk_failed(error),
        }
    }

    fn operate(&mut self, request: operate::Request) -> operate::Reply {
        let status = self.replica.status();
        match request {
            operate::Request::Status => operate::Reply::Status(Box::new(status)),
            operate::Request::Replace { lost, new } if status.is_leader => {
                log::info!("voter: asked to replace {lost:?} by {new:?}");
                self.peers.replace((lost, new));
                operate::Reply::Started
            }
            operate::Request::Replace { .. } => {
                let leader = status.leader.and_then(|leader| self.peers.address(&leader));
                operate::Reply::NotLeader { leader }
            }
        }
    }

    fn propose_for(&mut self, payload: payload::Bytes, asker: proposals::Asker) {
        let now_ms = self.clock.now_ms();
        self.propose(proposals::Proposal::new(payload, asker, now_ms));
    }

    fn propose(&mut self, proposal: proposals::Proposal) {
        let Some(data) = self.stamped(&proposal.payload) else {
            let reason = "not an entry of the log".to_owned();
            return self.tell(proposal.asker, Answer::Refused { reason, leader: None });
        };
        self.proposing = Some(proposal);
        self.step(Input::Propose { token: 0, data });
    }

    /// The leader writes the time of the log into an entry; a follower passes it on as it is.
    fn stamped(&self, data: &payload::Bytes) -> Option<payload::Bytes> {
        if !self.replica.is_leader() {
            return Some(data.clone());
        }
        let mut command: command::Command = ciborium::from_reader(&data[..]).ok()?;
        command.stamp(self.log_clock.stamp_ms(self.clock.now_ms()));
        let mut bytes = Vec::with_capacity(data.len() + 8);
        ciborium::into_writer(&command, &mut bytes).expect("own types encode into memory");
        Some(bytes.into())
    }

    /// Passes a proposal on to the leader. Without one it waits for the election: to refuse it at
    /// once would show every change of leader to operators and callers.
    fn rejected(
        &mut self,
        proposal: proposals::Proposal,
        reason: Rejection,
        leader: Option<&entry::ReplicaId>,
    ) {
        let now_ms = self.clock.now_ms();
        let may_wait = proposal.may_wait(now_ms);
        // A leader whose links are gone is most likely dead. What is passed on to it has no answer,
        // and its asker would wait out a whole deadline; kept, it goes to the next leader.
        let reached = leader.filter(|leader| self.peers.reaches(&leader.instance));
        let kept = match (reason, reached) {
            (Rejection::NotLeader, Some(leader)) if may_wait => {
                let own = self.replica.id();
                self.proposals.pass_on(proposal, own, leader, &self.peers, now_ms)
            }
            (Rejection::NotLeader | Rejection::Transferring, None) if may_wait => {
                self.proposals.wait(proposal)
            }
            _ => Err(proposal),
        };
        if let Err(proposal) = kept {
            let leader = leader.and_then(|leader| self.peers.address(leader));
            let reason = format!("{reason:?}");
            self.tell(proposal.asker, Answer::Refused { reason, leader });
        }
    }

    /// Answers an asker. It may have given up; it asks again with the same identifier.
    fn tell(&self, asker: proposals::Asker, answer: Answer) {
        match asker {
            proposals::Asker::Here(sender) => drop(sender.send(answer)),
            proposals::Asker::Peer { name, number } => {
                log::debug!("voter: answers {name}, number={number}, {answer}");
                let from = self.replica.id().clone();
                self.peers.send(&name, &Letter::Forwarded { from, number, answer });
            }
        }
    }

    fn leader_known(&mut self) {
        for proposal in self.proposals.take_waiting() {
            self.propose(proposal);
        }
    }

    fn receive(&mut self, letter: Letter) {
        match letter {
            Letter::Announce { id, empty, zone, leads, leaves, known } => {
                let now_ms = self.clock.now_ms();
                self.peers.introduced(&id, zone, &known);
                if !empty {
                    self.tell_if_removed(&id);
                }
                self.peers.heard(id, peers::Role { empty, leads, leaves }, now_ms);
            }
            Letter::Removed { from, to } => {
                if to == *self.replica.id() {
                    log::debug!("voter: {from} leads without this replica");
                    self.removed_ms = Some(self.clock.now_ms());
                }
            }
            Letter::Replication { from, to, message } => {
                // A letter to the replica that this instance was before its disk was emptied asks
                // for a memory that is gone.
                if to == *self.replica.id() {
                    if self.replica.leader() == Some(&from) {
                        self.removed_ms = None;
                    }
                    self.step(Input::Receive { from, message });
                }
            }
            Letter::Forward { from, number, payload } => {
                let asker = proposals::Asker::Peer { name: from.instance, number };
                self.propose_for(payload, asker);
            }
            Letter::Forwarded { from, number, answer } => {
                match self.proposals.returned(number, &from) {
                    Some(asker) => self.tell(asker, answer),
                    None => log::info!(
                        "voter: nobody waits for the answer of {from}, number={number}, {answer}"
                    ),
                }
            }
            Letter::Read { from, number } => {
                self.read(reads::Reader::Peer { name: from.instance, number });
            }
            Letter::ReadAt { from, number, index } => {
                let now_ms = self.clock.now_ms();
                self.reads.located(number, &from, index, now_ms);
                self.answer_reads();
            }
        }
    }

    fn disk_failed(&mut self, error: storage::StorageError) {
        log::error!("voter: the disk refused a write: {error}");
        self.step(Input::WriteFailed);
        self.failure = Some(VoterError::Storage { source: error });
    }

    fn step(&mut self, input: Input) {
        let outputs = self.replica.step(input, self.clock.now_ms());
        let elected =
            |output: &Output| matches!(output, Output::RoleChanged { leader: Some(_), .. });
        let leader_known = outputs.iter().any(elected);
        for output in outputs {
            self.carry_out(output);
        }
        if leader_known {
            self.leader_known();
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                let from = self.replica.id().clone();
                let instance = to.instance.clone();
                self.peers.send(&instance, &Letter::Replication { from, to, message });
            }
            // Where the thread is gone it has reported its failure already.
            Output::Persist(write) => drop(self.disk.send(write)),
            Output::Restore(snapshot) => self.restore(&snapshot),
            Output::Apply(entries) => self.apply(&entries),
            Output::Appended { position, .. } => {
                if let Some(proposal) = self.proposing.take() {
                    self.proposals.logged(position, proposal.asker);
                }
            }
            Output::Rejected { token, .. } if token != 0 => self.read_rejected(token),
            Output::Rejected { reason, leader, .. } => {
                if let Some(proposal) = self.proposing.take() {
                    self.rejected(proposal, reason, leader.as_ref());
                }
            }
            Output::ReadReady { token, index } => self.read_ready(token, index),
            Output::RoleChanged { role, term, leader } => {
                log_role(role, term, leader.as_ref());
                if role == RoleKind::Leader {
                    let (applied_ms, now_ms) =
                        (self.machine.claims().now_ms(), self.clock.now_ms());
                    self.log_clock = claims::clock::LogClock::new(applied_ms, now_ms);
                }
            }
            Output::Stopped { reason } => {
                log::error!("voter: stopped for good, reason={reason:?}");
                self.proposals.clear();
                self.failure.get_or_insert(VoterError::Stopped { reason });
            }
        }
    }

    fn apply(&mut self, entries: &[entry::Entry]) {
        for entry in entries {
            let outcome = match &entry.payload {
                entry::Payload::Data(data) => self.apply_data(data),
                entry::Payload::TermStart | entry::Payload::Membership(_) => None,
            };
            self.answer(entry.position, outcome);
        }
        self.push_updates();
        self.publish_documents();
        self.answer_reads();
    }

    /// An entry that cannot be read has the same effect on every voter: none.
    fn apply_data(&mut self, data: &[u8]) -> Option<command::Outcome> {
        match ciborium::from_reader::<command::Command, _>(data) {
            Ok(command) => Some(self.machine.apply(&command)),
            Err(error) => {
                log::error!("voter: an entry cannot be decoded: {error}");
                None
            }
        }
    }

    fn answer(&mut self, position: entry::Position, outcome: Option<command::Outcome>) {
        let Some((asker, is_this)) = self.proposals.applied(position) else {
            return;
        };
        let refused = |reason: &str| Answer::Refused { reason: reason.to_owned(), leader: None };
        let answer = match outcome {
            _ if !is_this => refused("another leader took its place"),
            Some(outcome) => Answer::Decided(outcome),
            None => refused("not an entry of the log"),
        };
        self.tell(asker, answer);
    }

    fn restore(&mut self, snapshot: &entry::Snapshot) {
        self.snapshot_index = snapshot.position.index;
        match ciborium::from_reader(&snapshot.state[..]) {
            Ok(machine) => self.machine = machine,
            Err(error) => {
                log::error!("voter: the snapshot cannot be decoded: {error}");
                self.failure = Some(VoterError::Snapshot { what: error.to_string() });
            }
        }
        self.proposals.covered(self.snapshot_index);
        self.push_updates();
        self.publish_documents();
        self.answer_reads();
    }

    fn take_snapshot_if_due(&mut self) {
        let index = self.replica.applied();
        if self.segment_bytes < SNAPSHOT_AFTER_BYTES || index == self.snapshot_index {
            return;
        }
        let mut state = Vec::new();
        ciborium::into_writer(&self.machine, &mut state).expect("own types encode into memory");
        log::info!("voter: snapshot at index={index}, bytes={}", state.len());
        self.snapshot_index = index;
        self.segment_bytes = 0;
        self.step(Input::Compact { index, state: state.into() });
    }

    fn push_updates(&mut self) {
        let config = self.machine.config();
        self.subscribers.retain(|_, subscriber| {
            let Some(update) = config.update_since(subscriber.sent_revision) else {
                return true;
            };
            subscriber.sent_revision = config.revision();
            subscriber.session.push(config_update(&update))
        });
    }
}

fn log_role(role: RoleKind, term: u64, leader: Option<&entry::ReplicaId>) {
    match (role, leader) {
        (RoleKind::Leader, _) => log::info!("voter: became leader, term={term}"),
        (_, Some(leader)) => log::info!("voter: follows {leader}, term={term}"),
        (role, None) => log::debug!("voter: is {role:?} without a leader, term={term}"),
    }
}

/// Wraps an outcome for a link.
pub(super) fn proposed(outcome: &command::Outcome) -> wire::Message {
    let mut payload = Vec::new();
    ciborium::into_writer(outcome, &mut payload).expect("own types encode into memory");
    wire::Message::Proposed(wire::Proposed { payload: payload.into() })
}
