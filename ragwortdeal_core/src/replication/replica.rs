//! One replica: its state, and the order between the disk, messages and applied entries.

use std::{collections, mem};

use crate::replication::{
    self, Input, Options, Output, RoleKind, StopReason, entry, log, membership, message, payload,
    progress,
};

mod election;
mod follower;
mod leader;
mod reads;

/// One member of a replicated log.
#[derive(Debug)]
pub struct Replica {
    id: entry::ReplicaId,
    options: Options,
    random: u64,
    now_ms: u64,
    hard_state: entry::HardState,
    snapshot: Option<entry::Snapshot>,
    log: log::Log,
    role: Role,
    leader: Option<entry::ReplicaId>,
    heard_leader_ms: u64,
    election_deadline_ms: u64,
    incoming: Option<follower::IncomingSnapshot>,
    applied: u64,
    disk: Disk,
    outputs: Vec<Output>,
}

/// What a replica does at present.
#[derive(Debug)]
enum Role {
    Follower,
    Candidate(election::Candidacy),
    Leader(Box<leader::Leadership>),
    Stopped,
}

/// What was asked of the disk, and what waits for it.
#[derive(Debug)]
struct Disk {
    pending: entry::Write,
    last_write_id: u64,
    synced_write_id: u64,
    inflight: collections::VecDeque<InflightWrite>,
    /// Last index of the present log that is synced.
    synced_index: u64,
    /// Commit index that is synced; entries up to it may be applied.
    synced_commit: u64,
    /// Messages of this step that claim something which must be synced first.
    unsent: Vec<(entry::ReplicaId, message::Message)>,
    held: collections::VecDeque<HeldMessage>,
    /// Messages to itself: its own votes, counted like any other once they are synced.
    loopback: collections::VecDeque<message::Message>,
}

#[derive(Debug)]
struct InflightWrite {
    id: u64,
    last_index: u64,
    commit: u64,
}

#[derive(Debug)]
struct HeldMessage {
    write_id: u64,
    to: entry::ReplicaId,
    message: message::Message,
}

/// What a replica tells about itself, for operators and metrics.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The present term.
    pub term: u64,
    /// Whether it leads.
    pub is_leader: bool,
    /// The leader of the term, where known.
    pub leader: Option<entry::ReplicaId>,
    /// End of the log.
    pub last: entry::Position,
    /// Commit index.
    pub commit: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// The membership in force.
    pub membership: membership::Membership,
    /// For a leader: each other member's synced index and the time since it was heard.
    pub followers: Vec<FollowerStatus>,
}

/// What a leader knows of one follower.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FollowerStatus {
    /// The follower.
    pub id: entry::ReplicaId,
    /// Entries up to this index are synced there.
    #[serde(rename = "matched")]
    pub match_index: u64,
    /// Time since it was last heard.
    pub silent_ms: u64,
    /// Its disk lacks what it had acknowledged.
    pub memory_lost: bool,
}

impl Replica {
    /// Opens a replica on what its data folder holds.
    pub fn new(
        id: entry::ReplicaId,
        options: Options,
        stored: entry::PersistentState,
        now_ms: u64,
    ) -> Self {
        let log = log::Log::new(&stored);
        let mut hard_state = stored.hard_state;
        hard_state.incarnation += 1;
        let disk = Disk::opened(&hard_state, log.last().index);
        let mut replica = Self {
            id,
            random: options.seed,
            options,
            now_ms,
            hard_state,
            snapshot: stored.snapshot,
            log,
            role: Role::Follower,
            leader: None,
            heard_leader_ms: now_ms,
            election_deadline_ms: 0,
            incoming: None,
            applied: 0,
            disk,
            outputs: Vec::new(),
        };
        replica.reset_election_deadline();
        replica
    }

    /// Takes one input and returns what to do, in order.
    ///
    /// `now_ms` is monotonic and need only be right for this replica: no answer depends on a
    /// comparison of two replicas' clocks.
    pub fn step(&mut self, input: Input, now_ms: u64) -> Vec<Output> {
        if matches!(self.role, Role::Stopped) {
            return Vec::new();
        }
        self.now_ms = self.now_ms.max(now_ms);
        self.check_quorum();
        self.handle(input);
        self.flush();
        while let Some(message) = self.disk.loopback.pop_front() {
            self.receive(self.id.clone(), message);
            self.flush();
        }
        mem::take(&mut self.outputs)
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Tick => self.tick(),
            Input::Receive { from, message } => self.receive(from, message),
            Input::WriteSynced { write_id } => self.write_synced(write_id),
            Input::WriteFailed => self.stop(StopReason::WriteFailed),
            Input::Propose { token, data } => self.propose(token, data),
            Input::Read { token } => self.read(token),
            Input::ChangeMembership { token, change } => self.change_membership(token, &change),
            Input::TransferLeadership { token } => self.transfer(token),
            Input::Bootstrap { membership } => self.found(membership),
            Input::Compact { index, state } => self.compact(index, state),
        }
    }

    /// Present state, for operators and metrics.
    pub fn status(&self) -> Status {
        Status {
            term: self.hard_state.term,
            is_leader: self.is_leader(),
            leader: self.leader.clone(),
            last: self.log.last(),
            commit: self.hard_state.commit,
            applied: self.applied,
            membership: self.log.membership().clone(),
            followers: self.follower_statuses(),
        }
    }

    fn follower_statuses(&self) -> Vec<FollowerStatus> {
        let Role::Leader(leadership) = &self.role else {
            return Vec::new();
        };
        let status = |(id, progress): (&entry::ReplicaId, &progress::Progress)| FollowerStatus {
            id: id.clone(),
            match_index: progress.match_index,
            silent_ms: self.now_ms.saturating_sub(progress.last_heard_ms),
            memory_lost: progress.memory_lost,
        };
        leadership.followers.iter().map(status).collect()
    }

    /// This replica.
    pub fn id(&self) -> &entry::ReplicaId {
        &self.id
    }

    /// Whether this replica leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica has never been part of a group.
    pub fn is_empty(&self) -> bool {
        self.hard_state.term == 0 && self.log.last().index == 0
    }

    /// Index of the last entry given out to be applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    fn receive(&mut self, from: entry::ReplicaId, message: message::Message) {
        let message::Message { term, incarnation, body } = message;
        match body {
            message::Body::PreVote { for_term, last } => self.on_pre_vote(from, for_term, last),
            message::Body::Vote { last, transfer } => self.on_vote(from, term, last, transfer),
            message::Body::MemoryLost => self.on_memory_lost(term),
            // A grant is counted also from a voter that missed some terms: it says for which term
            // it holds. Dropped, a learner just promoted could never help its group to a leader.
            message::Body::PreVoteReply { for_term, granted } if term <= self.hard_state.term => {
                self.on_pre_vote_reply(from, for_term, granted);
            }
            _ if term < self.hard_state.term => self.refuse_stale(from, &body),
            body => {
                if term > self.hard_state.term {
                    self.become_follower(term, None);
                }
                self.receive_in_term(from, incarnation, body);
            }
        }
    }

    fn receive_in_term(&mut self, from: entry::ReplicaId, incarnation: u64, body: message::Body) {
        match body {
            message::Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            message::Body::Append { previous, entries, commit, round } => {
                self.on_append(from, previous, entries, commit, round);
            }
            message::Body::AppendReply { outcome, round } => {
                self.on_append_reply(&from, incarnation, outcome, round);
            }
            message::Body::SnapshotPiece { .. } => self.on_snapshot_piece(from, body),
            message::Body::SnapshotReply { position, next_offset_bytes, round } => {
                self.on_snapshot_reply(&from, incarnation, position, next_offset_bytes, round);
            }
            message::Body::TimeoutNow => self.on_timeout_now(&from),
            // Answered before the terms were compared.
            message::Body::PreVote { .. }
            | message::Body::PreVoteReply { .. }
            | message::Body::Vote { .. }
            | message::Body::MemoryLost => {}
        }
    }

    /// A deposed leader is told the newer term; every other late message is dropped.
    fn refuse_stale(&mut self, from: entry::ReplicaId, body: &message::Body) {
        let round = match body {
            message::Body::Append { round, .. } | message::Body::SnapshotPiece { round, .. } => {
                *round
            }
            _ => return,
        };
        let outcome = message::AppendOutcome::StaleTerm;
        self.send_when_synced(from, message::Body::AppendReply { outcome, round });
    }

    fn on_memory_lost(&mut self, term: u64) {
        if term >= self.hard_state.term {
            self.stop(StopReason::MemoryLost);
        }
    }

    /// Nothing that this replica still holds may leave it: a failed sync leaves unknown what is
    /// on disk, and a retried one may report success for pages that the system already dropped.
    fn stop(&mut self, reason: StopReason) {
        self.role = Role::Stopped;
        self.leader = None;
        self.disk.pending = entry::Write::default();
        self.disk.unsent.clear();
        self.disk.held.clear();
        self.announce_role();
        self.outputs.push(Output::Stopped { reason });
    }

    fn announce_role(&mut self) {
        let role = match &self.role {
            Role::Follower => RoleKind::Follower,
            Role::Candidate(_) => RoleKind::Candidate,
            Role::Leader(_) => RoleKind::Leader,
            Role::Stopped => RoleKind::Stopped,
        };
        let (term, leader) = (self.hard_state.term, self.leader.clone());
        self.outputs.push(Output::RoleChanged { role, term, leader });
    }

    fn reject(&mut self, token: u64, reason: replication::Rejection) {
        let leader = self.leader.clone().filter(|leader| *leader != self.id);
        self.outputs.push(Output::Rejected { token, reason, leader });
    }

    fn message(&self, body: message::Body) -> message::Message {
        message::Message {
            term: self.hard_state.term,
            incarnation: self.hard_state.incarnation,
            body,
        }
    }

    /// Sends something that claims nothing about this replica's disk.
    fn send_now(&mut self, to: entry::ReplicaId, body: message::Body) {
        let message = self.message(body);
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a vote or an acknowledgement once everything written so far is synced.
    fn send_when_synced(&mut self, to: entry::ReplicaId, body: message::Body) {
        let message = self.message(body);
        self.disk.unsent.push((to, message));
    }

    fn save_hard_state(&mut self) {
        self.disk.pending.hard_state = Some(self.hard_state.clone());
    }

    /// Hands out the writes of this step and the messages that need no further sync.
    fn flush(&mut self) {
        if matches!(self.role, Role::Stopped) {
            return;
        }
        if !self.disk.pending.is_empty() {
            let last_index = self.log.last().index;
            let write = self.disk.start_write(last_index, self.hard_state.commit);
            self.outputs.push(Output::Persist(write));
        }
        self.disk.hold_unsent();
        self.release_held();
        self.advance_applied();
    }

    fn release_held(&mut self) {
        while let Some(held) = self.disk.next_releasable() {
            if held.to == self.id {
                self.disk.loopback.push_back(held.message);
            } else {
                self.outputs.push(Output::Send { to: held.to, message: held.message });
            }
        }
    }

    fn write_synced(&mut self, write_id: u64) {
        self.disk.synced(write_id);
        self.advance_commit();
    }

    fn set_commit(&mut self, commit: u64) {
        if commit > self.hard_state.commit {
            self.hard_state.commit = commit;
            self.save_hard_state();
        }
    }

    /// Gives out what is committed, once the commit index is synced: a process that restarts in a
    /// cut-off zone would else come back behind what it had already put in force.
    fn advance_applied(&mut self) {
        let target = self.disk.synced_commit;
        if target <= self.applied {
            return;
        }
        if let Some(snapshot) = self.snapshot.clone()
            && snapshot.position.index > self.applied
        {
            self.applied = snapshot.position.index;
            self.outputs.push(Output::Restore(snapshot));
        }
        let entries = self.log.range(self.applied + 1, target);
        if let Some(last) = entries.last() {
            self.applied = last.position.index;
            self.outputs.push(Output::Apply(entries));
        }
        self.answer_reads();
    }

    fn found(&mut self, membership: membership::Membership) {
        if !self.is_empty() {
            return;
        }
        self.hard_state.term = 1;
        self.save_hard_state();
        self.append(entry::Payload::Membership(membership));
        self.election_deadline_ms = self.now_ms;
    }

    /// Takes over the state machine's state as snapshot and frees the entries that it covers.
    fn compact(&mut self, index: u64, state: payload::Bytes) {
        let newest = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        let Some(term) = self.log.term_at(index).filter(|_| index > newest) else {
            return;
        };
        if index > self.applied {
            return;
        }
        let position = entry::Position { term, index };
        let membership = self.log.membership_at(index).clone();
        let snapshot = entry::Snapshot { position, membership, state };
        self.snapshot = Some(snapshot.clone());
        self.disk.pending.snapshot = Some(snapshot);
        self.log.trim_to(index.saturating_sub(self.options.retained_entries));
    }

    /// One step of SplitMix64, which spreads even neighbouring seeds.
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl Disk {
    fn opened(hard_state: &entry::HardState, last_index: u64) -> Self {
        // The new start number is written at once, so no answer leaves under an old one.
        let pending =
            entry::Write { hard_state: Some(hard_state.clone()), ..entry::Write::default() };
        Self {
            pending,
            last_write_id: 0,
            synced_write_id: 0,
            inflight: collections::VecDeque::new(),
            synced_index: last_index,
            synced_commit: hard_state.commit,
            unsent: Vec::new(),
            held: collections::VecDeque::new(),
            loopback: collections::VecDeque::new(),
        }
    }

    fn start_write(&mut self, last_index: u64, commit: u64) -> entry::Write {
        self.last_write_id += 1;
        let id = self.last_write_id;
        self.inflight.push_back(InflightWrite { id, last_index, commit });
        entry::Write { id, ..mem::take(&mut self.pending) }
    }

    fn hold_unsent(&mut self) {
        let write_id = self.last_write_id;
        let held = self.unsent.drain(..);
        self.held.extend(held.map(|(to, message)| HeldMessage { write_id, to, message }));
    }

    fn next_releasable(&mut self) -> Option<HeldMessage> {
        let synced = self.held.front()?.write_id <= self.synced_write_id;
        if synced { self.held.pop_front() } else { None }
    }

    fn synced(&mut self, write_id: u64) {
        let count = self.inflight.iter().take_while(|write| write.id <= write_id).count();
        for write in self.inflight.drain(..count) {
            self.synced_index = write.last_index;
            self.synced_commit = self.synced_commit.max(write.commit);
            self.synced_write_id = write.id;
        }
    }

    /// Entries from an index on are replaced, so no earlier write covers their successors.
    fn forget_from(&mut self, index: u64) {
        let kept = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(kept);
        for write in &mut self.inflight {
            write.last_index = write.last_index.min(kept);
        }
    }
}
