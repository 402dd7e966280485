//! The loop of a voter: gives the replica its inputs and carries out what it asks for.

use std::{collections, mem, sync::mpsc as blocking};

use ragwortdeal_core::{
    command,
    replication::{Input, Output, Rejection, RoleKind, entry, payload, replica},
};
use ragwortdeal_wire::link as wire;
use tokio::sync::oneshot;

use super::{Answer, Event, VoterError, config_update, letter::Letter, peers};
use crate::{clock, link, storage};

/// Bytes of log after which the state is written as a snapshot. It bounds the time of a restart.
const SNAPSHOT_AFTER_BYTES: u64 = 16 * 1024 * 1024;
/// How often a voter announces itself and a leader looks for something to repair.
const HOUSEKEEPING_MS: u64 = 200;

/// How long a proposal waits for an election to end before it is refused as not run. Shorter than
/// the time for which an entry waits, so that the entry can still ask the new leader.
const WAIT_FOR_LEADER_MS: u64 = 2_000;
/// Most proposals that wait for an election.
const WAITING_MAX: usize = 1_024;

/// A proposal that has no place in the log yet.
struct Proposal {
    payload: payload::Bytes,
    answer: oneshot::Sender<Answer>,
    refuse_at_ms: u64,
}

/// A proposal in the log whose fate is open.
struct Pending {
    term: u64,
    answer: oneshot::Sender<Answer>,
}

/// An entry or another receiver of configuration updates.
struct Subscriber {
    session: link::Session,
    sent_revision: u64,
}

pub(super) struct Driver {
    replica: replica::Replica,
    machine: command::Machine,
    clock: clock::Clock,
    peers: peers::Peers,
    disk: blocking::Sender<entry::Write>,
    pending: collections::BTreeMap<u64, Pending>,
    /// The proposal that is being given to the replica, until it has a place in the log.
    proposing: Option<Proposal>,
    /// Proposals that came while no leader was known.
    waiting: collections::VecDeque<Proposal>,
    subscribers: collections::BTreeMap<link::SessionId, Subscriber>,
    segment_bytes: u64,
    snapshot_index: u64,
    housekeeping_due_ms: u64,
    failure: Option<VoterError>,
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
            machine: command::Machine::default(),
            clock,
            peers,
            disk,
            pending: collections::BTreeMap::new(),
            proposing: None,
            waiting: collections::VecDeque::new(),
            subscribers: collections::BTreeMap::new(),
            segment_bytes: 0,
            snapshot_index: 0,
            housekeeping_due_ms: 0,
            failure: None,
        }
    }

    /// Whether the voter leads others, so that a planned stop has something to hand over.
    pub(super) fn leads(&self) -> bool {
        self.replica.is_leader() && self.replica.status().membership.voters.len() > 1
    }

    pub(super) fn hand_over(&mut self) {
        self.step(Input::Transfer { token: 0 });
    }

    /// Why the voter cannot go on, once it cannot.
    pub(super) fn take_failure(&mut self) -> Option<VoterError> {
        self.failure.take()
    }

    pub(super) fn tick(&mut self) {
        self.step(Input::Tick);
        let now_ms = self.clock.now_ms();
        let late = self.waiting.iter().take_while(|it| it.refuse_at_ms <= now_ms).count();
        // Given to the replica once more, which refuses them for good where no leader is known.
        for proposal in self.waiting.drain(..late).collect::<Vec<_>>() {
            self.propose(proposal);
        }
        if now_ms >= self.housekeeping_due_ms {
            self.housekeeping_due_ms = now_ms + HOUSEKEEPING_MS;
            self.housekeep(now_ms);
        }
    }

    fn housekeep(&mut self, now_ms: u64) {
        self.peers.announce(self.replica.is_empty());
        if self.replica.is_empty() {
            if let Some(membership) = self.peers.founding(now_ms) {
                log::info!("voter: founding a group of {}", membership.voters.len());
                self.step(Input::Found { membership });
            }
        } else if self.replica.is_leader() {
            let present = self.replica.status().membership;
            if let Some(change) = self.peers.repair(&present, now_ms) {
                log::debug!("voter: repair step {change:?}");
                self.step(Input::Change { token: 0, change });
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
                self.subscribers.insert(subscriber.session.id, subscriber);
                self.push_updates();
            }
            Event::Propose { payload, answer } => {
                let refuse_at_ms = self.clock.now_ms() + WAIT_FOR_LEADER_MS;
                self.propose(Proposal { payload: payload.into(), answer, refuse_at_ms });
            }
            Event::Synced { write_id, segment_bytes } => {
                self.segment_bytes = segment_bytes;
                self.step(Input::WriteSynced { write_id });
                self.take_snapshot_if_due();
            }
            Event::DiskFailed(error) => self.disk_failed(error),
        }
    }

    fn propose(&mut self, proposal: Proposal) {
        let data = proposal.payload.clone();
        self.proposing = Some(proposal);
        self.step(Input::Propose { token: 0, data });
    }

    /// Without a leader a proposal waits for the election: to refuse it at once would show every
    /// change of leader to operators and callers.
    fn rejected(
        &mut self,
        proposal: Proposal,
        reason: Rejection,
        leader: Option<&entry::ReplicaId>,
    ) {
        let in_time = self.clock.now_ms() < proposal.refuse_at_ms;
        let electing = reason == Rejection::NotLeader && leader.is_none();
        if in_time && electing && self.waiting.len() < WAITING_MAX {
            self.waiting.push_back(proposal);
            return;
        }
        let leader = leader.and_then(|leader| self.peers.address(leader));
        let reason = format!("{reason:?}");
        // The proposer may have given up; nothing ran either way.
        let _ = proposal.answer.send(Answer::Refused { reason, leader });
    }

    fn leader_known(&mut self) {
        for proposal in mem::take(&mut self.waiting) {
            self.propose(proposal);
        }
    }

    fn receive(&mut self, letter: Letter) {
        match letter {
            Letter::Announce { id, empty } => {
                let now_ms = self.clock.now_ms();
                self.peers.heard(id, empty, now_ms);
            }
            Letter::Replication { from, to, message } => {
                // A letter to the replica that this instance was before its disk was emptied asks
                // for a memory that is gone.
                if to == *self.replica.id() {
                    self.step(Input::Receive { from, message });
                }
            }
        }
    }

    fn disk_failed(&mut self, error: storage::StorageError) {
        log::error!("voter: the disk failed and this voter is lost: {error}");
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
                if let Some(Proposal { answer, .. }) = self.proposing.take() {
                    self.pending.insert(position.index, Pending { term: position.term, answer });
                }
            }
            Output::Rejected { reason, leader, .. } => {
                if let Some(proposal) = self.proposing.take() {
                    self.rejected(proposal, reason, leader.as_ref());
                }
            }
            Output::ReadReady { .. } => {}
            Output::RoleChanged { role, term, leader } => log_role(role, term, leader.as_ref()),
            Output::Stopped { reason } => {
                log::error!("voter: stopped for good, reason={reason:?}");
                self.pending.clear();
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

    /// Tells the proposer what became of its proposal. Another entry in its place proves that it
    /// was never applied and never will be.
    fn answer(&mut self, position: entry::Position, outcome: Option<command::Outcome>) {
        let Some(pending) = self.pending.remove(&position.index) else {
            return;
        };
        let refused = |reason: &str| Answer::Refused { reason: reason.to_owned(), leader: None };
        let answer = match outcome {
            _ if pending.term != position.term => refused("another leader took its place"),
            Some(outcome) => Answer::Decided(outcome),
            None => refused("not an entry of the log"),
        };
        // The proposer may have given up; it asks again with the same identifier.
        let _ = pending.answer.send(answer);
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
        // What became of the proposals that it covers is not known here; without an answer their
        // proposers ask again.
        self.pending = self.pending.split_off(&(self.snapshot_index + 1));
        self.push_updates();
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
