//! A replica: its state, and the ordering of disk writes, messages and applied entries.

use std::{collections, mem};

use crate::replication::{
    self, Input, Options, Output, RoleKind, StopReason, entry, log, membership, message, payload,
    progress,
};

mod election;
mod follower;
mod leader;
mod reads;

/// A member of a replicated log.
#[derive(Debug)]
pub struct Replica {
    id: entry::ReplicaId,
    options: Options,
    random_state: u64,
    now_ms: u64,
    hard_state: entry::HardState,
    snapshot: Option<entry::Snapshot>,
    log: log::Log,
    role: Role,
    leader: Option<entry::ReplicaId>,
    last_leader_contact_ms: u64,
    election_deadline_ms: u64,
    incoming: Option<follower::IncomingSnapshot>,
    applied: u64,
    disk: Persistence,
    outputs: Vec<Output>,
}

/// The current role with its state.
#[derive(Debug)]
enum Role {
    Follower,
    Candidate(election::Election),
    Leader(Box<leader::LeaderState>),
    Stopped,
}

/// Requested disk writes, and the messages that wait for them.
#[derive(Debug)]
struct Persistence {
    pending: entry::Write,
    last_write_id: u64,
    synced_write_id: u64,
    inflight: collections::VecDeque<InflightWrite>,
    /// Last index of the current log that is synced.
    synced_index: u64,
    /// Commit index that is synced; entries up to it may be applied.
    synced_commit: u64,
    /// Messages of this step that must not be sent before its writes are synced.
    unsent: Vec<(entry::ReplicaId, message::Message)>,
    deferred: collections::VecDeque<DeferredMessage>,
    /// Messages to itself: its own votes, which are counted like all others once they are synced.
    loopback: collections::VecDeque<message::Message>,
}

#[derive(Debug)]
struct InflightWrite {
    id: u64,
    last_index: u64,
    commit: u64,
}

#[derive(Debug)]
struct DeferredMessage {
    write_id: u64,
    to: entry::ReplicaId,
    message: message::Message,
}

/// The status of a replica, for operators and metrics.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The current term.
    pub term: u64,
    /// Whether it is the leader.
    pub is_leader: bool,
    /// The leader of the term, if known.
    pub leader: Option<entry::ReplicaId>,
    /// Position of the last entry in the log.
    pub last: entry::Position,
    /// Commit index.
    pub commit: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// The effective membership.
    pub membership: membership::Membership,
    /// On a leader, the status of each other member; otherwise empty.
    pub followers: Vec<FollowerStatus>,
}

/// The status of a follower as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FollowerStatus {
    /// The follower.
    pub id: entry::ReplicaId,
    /// Entries up to this index are synced on the follower.
    #[serde(rename = "matched")]
    pub match_index: u64,
    /// Time since it was last heard from.
    pub silent_ms: u64,
    /// Whether its disk lacks entries that it had acknowledged.
    pub memory_lost: bool,
}

impl Replica {
    /// Creates a replica from the content of its data folder.
    pub fn new(
        id: entry::ReplicaId,
        options: Options,
        stored: entry::PersistentState,
        now_ms: u64,
    ) -> Self {
        let log = log::Log::new(&stored);
        let mut hard_state = stored.hard_state;
        hard_state.incarnation += 1;
        let disk = Persistence::new(&hard_state, log.last().index);
        let mut replica = Self {
            id,
            random_state: options.seed,
            options,
            now_ms,
            hard_state,
            snapshot: stored.snapshot,
            log,
            role: Role::Follower,
            leader: None,
            last_leader_contact_ms: now_ms,
            election_deadline_ms: 0,
            incoming: None,
            applied: 0,
            disk,
            outputs: Vec::new(),
        };
        replica.reset_election_deadline();
        replica
    }

    /// Processes one input and returns the resulting actions, in order.
    ///
    /// `now_ms` is a monotonic time that is local to this replica: clocks of different replicas are
    /// never compared.
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
            Input::TransferLeadership { token, except } => {
                self.transfer_leadership(token, &except);
            }
            Input::Bootstrap { membership } => self.bootstrap(membership),
            Input::Compact { index, state } => self.compact(index, state),
        }
    }

    /// The current status, for operators and metrics.
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
        let Role::Leader(leader_state) = &self.role else {
            return Vec::new();
        };
        let status = |(id, progress): (&entry::ReplicaId, &progress::Progress)| FollowerStatus {
            id: id.clone(),
            match_index: progress.match_index,
            silent_ms: self.now_ms.saturating_sub(progress.last_heard_ms),
            memory_lost: progress.memory_lost,
        };
        leader_state.followers.iter().map(status).collect()
    }

    /// The identifier of this replica.
    pub fn id(&self) -> &entry::ReplicaId {
        &self.id
    }

    /// The leader that this replica knows of.
    pub fn leader(&self) -> Option<&entry::ReplicaId> {
        self.leader.as_ref()
    }

    /// Whether this replica considers itself the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether the effective membership is committed.
    pub fn is_membership_committed(&self) -> bool {
        self.log.membership_index() <= self.hard_state.commit
    }

    /// Whether this replica has never been part of a group.
    pub fn is_empty(&self) -> bool {
        self.hard_state.term == 0 && self.log.last().index == 0
    }

    /// Index of the last entry that was output to be applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    fn receive(&mut self, from: entry::ReplicaId, message: message::Message) {
        let message::Message { term, incarnation, body } = message;
        match body {
            message::Body::PreVote { for_term, last } => self.on_pre_vote(from, for_term, last),
            message::Body::Vote { last, transfer } => self.on_vote(from, term, last, transfer),
            message::Body::MemoryLost => self.on_memory_lost(term),
            // A granted pre-vote names its term, so it counts even if the voter's own term is
            // older. If it were dropped, a newly promoted learner that had missed some terms could
            // never help to elect a leader.
            message::Body::PreVoteReply { for_term, granted } if term <= self.hard_state.term => {
                self.on_pre_vote_reply(from, for_term, granted);
            }
            _ if term < self.hard_state.term => self.reply_stale_term(from, &body),
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
            // Handled in `receive`, before the terms are compared.
            message::Body::PreVote { .. }
            | message::Body::PreVoteReply { .. }
            | message::Body::Vote { .. }
            | message::Body::MemoryLost => {}
        }
    }

    /// Informs a deposed leader of the newer term; other messages of earlier terms are dropped.
    fn reply_stale_term(&mut self, from: entry::ReplicaId, body: &message::Body) {
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

    /// Stops permanently and discards all pending writes and messages. After a failed sync it is
    /// unknown which of the pending writes reached the disk, and a retried sync may report success
    /// for pages that the operating system has already dropped. No message that depends on them
    /// has left, so a replica that starts from the synced state contradicts nothing.
    fn stop(&mut self, reason: StopReason) {
        self.role = Role::Stopped;
        self.leader = None;
        self.disk.pending = entry::Write::default();
        self.disk.unsent.clear();
        self.disk.deferred.clear();
        self.report_role();
        self.outputs.push(Output::Stopped { reason });
    }

    fn report_role(&mut self) {
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

    /// Sends a message that does not depend on this replica's disk.
    fn send_now(&mut self, to: entry::ReplicaId, body: message::Body) {
        let message = self.message(body);
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a message, such as a vote or an acknowledgement, once all writes so far are synced.
    fn send_when_synced(&mut self, to: entry::ReplicaId, body: message::Body) {
        let message = self.message(body);
        self.disk.unsent.push((to, message));
    }

    fn save_hard_state(&mut self) {
        self.disk.pending.hard_state = Some(self.hard_state.clone());
    }

    /// Outputs the writes of this step, and the deferred messages whose writes are synced.
    fn flush(&mut self) {
        if matches!(self.role, Role::Stopped) {
            return;
        }
        if !self.disk.pending.is_empty() {
            let last_index = self.log.last().index;
            let write = self.disk.begin_write(last_index, self.hard_state.commit);
            self.outputs.push(Output::Persist(write));
        }
        self.disk.defer_unsent();
        self.release_synced_messages();
        self.advance_applied();
    }

    fn release_synced_messages(&mut self) {
        while let Some(deferred) = self.disk.next_releasable() {
            if deferred.to == self.id {
                self.disk.loopback.push_back(deferred.message);
            } else {
                self.outputs.push(Output::Send { to: deferred.to, message: deferred.message });
            }
        }
    }

    fn write_synced(&mut self, write_id: u64) {
        self.disk.record_synced(write_id);
        self.advance_commit();
    }

    fn set_commit(&mut self, commit: u64) {
        if commit > self.hard_state.commit {
            self.hard_state.commit = commit;
            self.save_hard_state();
        }
    }

    /// Outputs committed entries once the commit index is synced. Otherwise a process that restarts
    /// in a partitioned zone would fall behind what it had already applied.
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

    fn bootstrap(&mut self, membership: membership::Membership) {
        if !self.is_empty() {
            return;
        }
        self.hard_state.term = 1;
        self.save_hard_state();
        self.append(entry::Payload::Membership(membership));
        self.election_deadline_ms = self.now_ms;
    }

    /// Stores the state machine's state as a snapshot and trims the entries that it covers.
    fn compact(&mut self, index: u64, state: payload::Bytes) {
        let latest = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        let Some(term) = self.log.term_at(index).filter(|_| index > latest) else {
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

    /// One step of SplitMix64, whose outputs differ widely even for adjacent seeds.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl Persistence {
    fn new(hard_state: &entry::HardState, last_index: u64) -> Self {
        // The new incarnation is written first, so that no message is sent with an earlier one.
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
            deferred: collections::VecDeque::new(),
            loopback: collections::VecDeque::new(),
        }
    }

    fn begin_write(&mut self, last_index: u64, commit: u64) -> entry::Write {
        self.last_write_id += 1;
        let id = self.last_write_id;
        self.inflight.push_back(InflightWrite { id, last_index, commit });
        entry::Write { id, ..mem::take(&mut self.pending) }
    }

    fn defer_unsent(&mut self) {
        let write_id = self.last_write_id;
        let unsent = self.unsent.drain(..);
        self.deferred.extend(unsent.map(|(to, message)| DeferredMessage { write_id, to, message }));
    }

    fn next_releasable(&mut self) -> Option<DeferredMessage> {
        let synced = self.deferred.front()?.write_id <= self.synced_write_id;
        if synced { self.deferred.pop_front() } else { None }
    }

    fn record_synced(&mut self, write_id: u64) {
        let count = self.inflight.iter().take_while(|write| write.id <= write_id).count();
        for write in self.inflight.drain(..count) {
            self.synced_index = write.last_index;
            self.synced_commit = self.synced_commit.max(write.commit);
            self.synced_write_id = write.id;
        }
    }

    /// Marks the entries from an index on as not synced, because they are being replaced and
    /// earlier writes do not cover the new ones.
    fn invalidate_from(&mut self, index: u64) {
        let last_valid = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(last_valid);
        for write in &mut self.inflight {
            write.last_index = write.last_index.min(last_valid);
        }
    }
}
