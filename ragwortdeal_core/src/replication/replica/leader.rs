//! The leader's side: appends, replication, commits, membership changes and leadership transfer.

use std::collections;

use super::{Replica, Role, reads};
use crate::replication::{Output, Rejection, entry, membership, message, payload, progress};

/// State that exists only while the replica is the leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) followers: collections::BTreeMap<entry::ReplicaId, progress::Progress>,
    /// Index of the first entry of this term.
    pub(super) term_start: u64,
    pub(super) reads: reads::PendingReads,
    heartbeat_due_ms: u64,
    transfer: Option<LeadershipTransfer>,
}

/// A leadership transfer in progress.
#[derive(Debug)]
struct LeadershipTransfer {
    to: entry::ReplicaId,
    deadline_ms: u64,
}

impl LeaderState {
    pub(super) fn new(term_start: u64, now_ms: u64) -> Self {
        Self {
            followers: collections::BTreeMap::new(),
            term_start,
            reads: reads::PendingReads::default(),
            heartbeat_due_ms: now_ms,
            transfer: None,
        }
    }

    /// Tracks the progress of exactly the members of a membership.
    pub(super) fn track_members(
        &mut self,
        membership: &membership::Membership,
        own: &entry::ReplicaId,
        now_ms: u64,
    ) {
        self.followers.retain(|id, _| membership.members().any(|member| member == id));
        for id in membership.members().filter(|id| *id != own) {
            let new = || progress::Progress::new(self.term_start - 1, now_ms);
            self.followers.entry(id.clone()).or_insert_with(new);
        }
    }
}

impl Replica {
    pub(super) fn tick_leader(&mut self) {
        let now_ms = self.now_ms;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        if leader_state.transfer.as_ref().is_some_and(|transfer| now_ms >= transfer.deadline_ms) {
            leader_state.transfer = None;
        }
        if now_ms >= leader_state.heartbeat_due_ms {
            self.broadcast();
        }
    }

    pub(super) fn propose(&mut self, token: u64, data: payload::Bytes) {
        let uncommitted = self.log.last().index - self.hard_state.commit;
        let refusal = match &self.role {
            Role::Leader(leader_state) if leader_state.transfer.is_some() => {
                Rejection::Transferring
            }
            Role::Leader(_) if uncommitted >= self.options.max_uncommitted_entries => {
                Rejection::Overloaded
            }
            Role::Leader(_) => {
                let position = self.append(entry::Payload::Data(data));
                self.outputs.push(Output::Appended { token, position });
                return self.replicate_to_all();
            }
            _ => Rejection::NotLeader,
        };
        self.reject(token, refusal);
    }

    pub(super) fn append(&mut self, payload: entry::Payload) -> entry::Position {
        let index = self.log.last().index + 1;
        let position = entry::Position { term: self.hard_state.term, index };
        let entry = entry::Entry { position, payload };
        self.log.append(entry.clone());
        self.disk.pending.entries.push(entry);
        position
    }

    /// Sends a heartbeat with a new read confirmation round to all followers.
    pub(super) fn broadcast(&mut self) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        leader_state.heartbeat_due_ms = self.now_ms + self.options.heartbeat_ms;
        leader_state.reads.begin_round();
        let ids: Vec<_> = leader_state.followers.keys().cloned().collect();
        for id in ids {
            self.send_heartbeat(&id);
        }
        self.answer_reads();
    }

    /// Sends an empty append after the last entry sent. If an earlier message was lost, the reply
    /// is a mismatch and replication resumes from there.
    fn send_heartbeat(&mut self, to: &entry::ReplicaId) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.followers.get_mut(to) else {
            return;
        };
        if let progress::Mode::Probe { awaiting_reply } = &mut progress.mode {
            *awaiting_reply = false;
        }
        match &progress.mode {
            progress::Mode::Probe { .. } => self.send_entries(to),
            progress::Mode::Replicate { .. } => self.send_append(to, Vec::new()),
            progress::Mode::Snapshot { .. } => self.send_piece(to),
        }
    }

    fn replicate_to_all(&mut self) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let ids: Vec<_> = leader_state.followers.keys().cloned().collect();
        for id in ids {
            self.replicate_to(&id);
        }
    }

    /// Sends entries to one follower up to its in-flight limit.
    fn replicate_to(&mut self, to: &entry::ReplicaId) {
        loop {
            let Role::Leader(leader_state) = &self.role else {
                return;
            };
            let Some(progress) = leader_state.followers.get(to) else {
                return;
            };
            let up_to_date = progress.next_index > self.log.last().index;
            if up_to_date || !progress.can_send(self.options.max_inflight_appends) {
                return;
            }
            self.send_entries(to);
        }
    }

    /// Sends the next entries, or starts to send a snapshot if they are no longer in memory.
    fn send_entries(&mut self, to: &entry::ReplicaId) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.followers.get_mut(to) else {
            return;
        };
        if self.log.term_at(progress.next_index - 1).is_some() {
            let entries = self.log.slice(progress.next_index, self.options.max_append_bytes);
            return self.send_append(to, entries);
        }
        if let Some(snapshot) = self.snapshot.clone() {
            progress.mode = progress::Mode::Snapshot { snapshot, offset_bytes: 0 };
            self.send_piece(to);
        }
    }

    fn send_append(&mut self, to: &entry::ReplicaId, entries: Vec<entry::Entry>) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.followers.get_mut(to) else {
            return;
        };
        let index = progress.next_index - 1;
        let Some(term) = self.log.term_at(index) else {
            // The previous entry has been trimmed since the last message; probe again.
            progress.mode = progress::Mode::Probe { awaiting_reply: false };
            return;
        };
        if let Some(last) = entries.last() {
            progress.record_sent(last.position.index);
        } else if let progress::Mode::Probe { awaiting_reply } = &mut progress.mode {
            *awaiting_reply = true;
        }
        let previous = entry::Position { term, index };
        let (commit, round) = (self.hard_state.commit, leader_state.reads.round());
        self.send_now(to.clone(), message::Body::Append { previous, entries, commit, round });
    }

    fn send_piece(&mut self, to: &entry::ReplicaId) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let Some(progress) = leader_state.followers.get(to) else {
            return;
        };
        let progress::Mode::Snapshot { snapshot, offset_bytes } = &progress.mode else {
            return;
        };
        let start = usize::try_from(*offset_bytes).unwrap_or(usize::MAX).min(snapshot.state.len());
        let end = (start + self.options.snapshot_piece_bytes).min(snapshot.state.len());
        let body = message::Body::SnapshotPiece {
            position: snapshot.position,
            membership: snapshot.membership.clone(),
            offset_bytes: *offset_bytes,
            total_bytes: snapshot.state.len() as u64,
            piece: snapshot.state[start..end].into(),
            round: leader_state.reads.round(),
        };
        self.send_now(to.clone(), body);
    }

    /// Records a reply of a follower and returns its progress, or `None` if the reply must not
    /// count, such as one from before a restart or from a replica that has lost entries.
    fn record_follower_reply(
        &mut self,
        from: &entry::ReplicaId,
        incarnation: u64,
        round: u64,
    ) -> Option<&mut progress::Progress> {
        let now_ms = self.now_ms;
        let Role::Leader(leader_state) = &mut self.role else {
            return None;
        };
        let progress = leader_state.followers.get_mut(from)?;
        if incarnation < progress.incarnation || progress.memory_lost {
            return None;
        }
        progress.last_heard_ms = now_ms;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: &entry::ReplicaId,
        incarnation: u64,
        outcome: message::AppendOutcome,
        round: u64,
    ) {
        let Some(progress) = self.record_follower_reply(from, incarnation, round) else {
            return;
        };
        let restarted = incarnation > progress.incarnation;
        progress.incarnation = incarnation;
        match outcome {
            message::AppendOutcome::Matched { index } => {
                progress.record_match(index);
                self.advance_commit();
                self.replicate_to(from);
                self.continue_transfer();
            }
            message::AppendOutcome::Mismatch { last_index, .. }
                if restarted && last_index < progress.match_index =>
            {
                progress.memory_lost = true;
                self.send_now(from.clone(), message::Body::MemoryLost);
            }
            message::AppendOutcome::Mismatch { probed, hint, .. } => {
                if progress.record_mismatch(probed, hint) {
                    self.send_entries(from);
                }
            }
            message::AppendOutcome::StaleTerm => {}
        }
        self.answer_reads();
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: &entry::ReplicaId,
        incarnation: u64,
        position: entry::Position,
        next_offset_bytes: u64,
        round: u64,
    ) {
        let Some(progress) = self.record_follower_reply(from, incarnation, round) else {
            return;
        };
        if let progress::Mode::Snapshot { snapshot, offset_bytes } = &mut progress.mode
            && snapshot.position == position
            && *offset_bytes != next_offset_bytes
        {
            *offset_bytes = next_offset_bytes;
            self.send_piece(from);
        }
        self.answer_reads();
    }

    /// Commits the entries that a quorum has synced. Only an entry of the current term is counted
    /// and it commits the earlier ones with it: entries of earlier terms could still be replaced
    /// after a quorum has synced them.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let synced_index = |id: &entry::ReplicaId| match leader_state.followers.get(id) {
            Some(progress) => progress.acknowledged_index(),
            None => self.disk.synced_index,
        };
        let index = self.log.membership().quorum_value(synced_index);
        let in_term = index >= leader_state.term_start;
        if in_term && index > self.hard_state.commit {
            self.set_commit(index);
        }
    }

    pub(super) fn change_membership(&mut self, token: u64, change: &membership::Change) {
        match self.changed_membership(change) {
            Err(reason) => self.reject(token, reason),
            Ok(next) => {
                let position = self.append(entry::Payload::Membership(next.clone()));
                self.outputs.push(Output::Appended { token, position });
                if let Role::Leader(leader_state) = &mut self.role {
                    leader_state.track_members(&next, &self.id, self.now_ms);
                }
                self.replicate_to_all();
            }
        }
    }

    fn changed_membership(
        &self,
        change: &membership::Change,
    ) -> Result<membership::Membership, Rejection> {
        let Role::Leader(leader_state) = &self.role else {
            return Err(Rejection::NotLeader);
        };
        if leader_state.transfer.is_some() {
            return Err(Rejection::Transferring);
        }
        let commit = self.hard_state.commit;
        // Otherwise two leaders could each have a membership change that the other lacks, with
        // quorums that do not intersect. A committed entry of this term rules out the other change.
        if commit < leader_state.term_start || self.log.membership_index() > commit {
            return Err(Rejection::ChangeInProgress);
        }
        match change {
            membership::Change::Remove(id) if *id == self.id => return Err(Rejection::IsLeader),
            membership::Change::Promote(id) if !self.has_caught_up(leader_state, id) => {
                return Err(Rejection::NotCaughtUp);
            }
            _ => {}
        }
        let next = self.log.membership().with_change(change).ok_or(Rejection::NotApplicable)?;
        let reachable = |id: &&entry::ReplicaId| self.is_reachable(leader_state, id);
        if next.voters.iter().filter(reachable).count() < next.quorum() {
            return Err(Rejection::WouldLoseQuorum);
        }
        Ok(next)
    }

    fn is_reachable(&self, leader_state: &LeaderState, id: &entry::ReplicaId) -> bool {
        leader_state.followers.get(id).is_none_or(|progress| {
            let silent_ms = self.now_ms.saturating_sub(progress.last_heard_ms);
            silent_ms <= self.options.election_timeout_ms && !progress.memory_lost
        })
    }

    /// Whether everything committed is synced on a learner. If it were promoted earlier, the quorum
    /// would grow without an additional copy of the data.
    fn has_caught_up(&self, leader_state: &LeaderState, id: &entry::ReplicaId) -> bool {
        let commit = self.hard_state.commit;
        let synced =
            leader_state.followers.get(id).is_some_and(|it| it.acknowledged_index() >= commit);
        synced && self.is_reachable(leader_state, id)
    }

    pub(super) fn transfer_leadership(
        &mut self,
        token: u64,
        except: &collections::BTreeSet<entry::ReplicaId>,
    ) {
        let Role::Leader(leader_state) = &self.role else {
            return self.reject(token, Rejection::NotLeader);
        };
        let voters = &self.log.membership().voters;
        let candidates = leader_state
            .followers
            .iter()
            .filter(|(id, _)| voters.contains(id) && !except.contains(id))
            .filter(|(id, _)| self.is_reachable(leader_state, id));
        let best = candidates.max_by_key(|(_, progress)| progress.match_index);
        let Some(to) = best.map(|(id, _)| id.clone()) else {
            return self.reject(token, Rejection::NotCaughtUp);
        };
        let deadline_ms = self.now_ms + self.options.election_timeout_ms;
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.transfer = Some(LeadershipTransfer { to, deadline_ms });
        }
        self.continue_transfer();
    }

    /// Tells the target of a leadership transfer to start its election once it has the whole log.
    fn continue_transfer(&mut self) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let Some(transfer) = &leader_state.transfer else {
            return;
        };
        let matched = leader_state.followers.get(&transfer.to).map_or(0, |it| it.match_index);
        if matched == self.log.last().index {
            let to = transfer.to.clone();
            self.send_now(to, message::Body::TimeoutNow);
        }
    }
}
