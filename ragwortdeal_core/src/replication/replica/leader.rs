//! What a leader does: append, replicate, commit, change the membership, hand over.

use std::collections;

use super::{Replica, Role, reads};
use crate::replication::{Output, Rejection, entry, membership, message, payload, progress};

/// A leader's state, gone with its leadership.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) followers: collections::BTreeMap<entry::ReplicaId, progress::Progress>,
    /// Index of the entry that opened this term.
    pub(super) term_start: u64,
    pub(super) reads: reads::PendingReads,
    heartbeat_due_ms: u64,
    handover: Option<Handover>,
}

/// A leadership transfer under way.
#[derive(Debug)]
struct Handover {
    to: entry::ReplicaId,
    gives_up_ms: u64,
}

impl Leadership {
    pub(super) fn new(term_start: u64, now_ms: u64) -> Self {
        Self {
            followers: collections::BTreeMap::new(),
            term_start,
            reads: reads::PendingReads::default(),
            heartbeat_due_ms: now_ms,
            handover: None,
        }
    }

    /// Follows exactly the members of a membership.
    pub(super) fn follow(
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
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership.handover.as_ref().is_some_and(|handover| now_ms >= handover.gives_up_ms) {
            leadership.handover = None;
        }
        if now_ms >= leadership.heartbeat_due_ms {
            self.broadcast();
        }
    }

    pub(super) fn propose(&mut self, token: u64, data: payload::Bytes) {
        let uncommitted = self.log.last().index - self.hard_state.commit;
        let refusal = match &self.role {
            Role::Leader(leadership) if leadership.handover.is_some() => Rejection::Transferring,
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

    /// Sends a heartbeat with a new confirmation round to all followers.
    pub(super) fn broadcast(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.heartbeat_due_ms = self.now_ms + self.options.heartbeat_ms;
        leadership.reads.begin_round();
        let ids: Vec<_> = leadership.followers.keys().cloned().collect();
        for id in ids {
            self.send_heartbeat(&id);
        }
        self.answer_reads();
    }

    /// An empty append after the last entry sent: if any message before it was lost, the answer is
    /// a mismatch, and sending starts again from there.
    fn send_heartbeat(&mut self, to: &entry::ReplicaId) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.followers.get_mut(to) else {
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
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let ids: Vec<_> = leadership.followers.keys().cloned().collect();
        for id in ids {
            self.replicate_to(&id);
        }
    }

    /// Fills the window of one follower.
    fn replicate_to(&mut self, to: &entry::ReplicaId) {
        loop {
            let Role::Leader(leadership) = &self.role else {
                return;
            };
            let Some(progress) = leadership.followers.get(to) else {
                return;
            };
            let idle = progress.next_index > self.log.last().index;
            if idle || !progress.can_send(self.options.max_inflight_appends) {
                return;
            }
            self.send_entries(to);
        }
    }

    /// Sends the next entries, or starts a snapshot where they are no longer held.
    fn send_entries(&mut self, to: &entry::ReplicaId) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.followers.get_mut(to) else {
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
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.followers.get_mut(to) else {
            return;
        };
        let index = progress.next_index - 1;
        let Some(term) = self.log.term_at(index) else {
            // A follower in the window whose place was trimmed meanwhile is probed again.
            progress.mode = progress::Mode::Probe { awaiting_reply: false };
            return;
        };
        if let Some(last) = entries.last() {
            progress.record_sent(last.position.index);
        } else if let progress::Mode::Probe { awaiting_reply } = &mut progress.mode {
            *awaiting_reply = true;
        }
        let previous = entry::Position { term, index };
        let (commit, round) = (self.hard_state.commit, leadership.reads.round());
        self.send_now(to.clone(), message::Body::Append { previous, entries, commit, round });
    }

    fn send_piece(&mut self, to: &entry::ReplicaId) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let Some(progress) = leadership.followers.get(to) else {
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
            round: leadership.reads.round(),
        };
        self.send_now(to.clone(), body);
    }

    /// Notes an answer of a follower and returns its progress, or none where it must not count.
    fn heard_follower(
        &mut self,
        from: &entry::ReplicaId,
        incarnation: u64,
        round: u64,
    ) -> Option<&mut progress::Progress> {
        let now_ms = self.now_ms;
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let progress = leadership.followers.get_mut(from)?;
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
        let Some(progress) = self.heard_follower(from, incarnation, round) else {
            return;
        };
        let restarted = incarnation > progress.incarnation;
        progress.incarnation = incarnation;
        match outcome {
            message::AppendOutcome::Matched { index } => {
                progress.record_match(index);
                self.advance_commit();
                self.replicate_to(from);
                self.finish_handover();
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
        let Some(progress) = self.heard_follower(from, incarnation, round) else {
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

    /// Commits what a quorum has synced. Only an entry of the present term is counted; it carries
    /// the former ones with it, which could else be replaced after they were counted.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let synced_index = |id: &entry::ReplicaId| match leadership.followers.get(id) {
            Some(progress) => progress.acknowledged_index(),
            None => self.disk.synced_index,
        };
        let index = self.log.membership().quorum_value(synced_index);
        let in_term = index >= leadership.term_start;
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
                if let Role::Leader(leadership) = &mut self.role {
                    leadership.follow(&next, &self.id, self.now_ms);
                }
                self.replicate_to_all();
            }
        }
    }

    fn changed_membership(
        &self,
        change: &membership::Change,
    ) -> Result<membership::Membership, Rejection> {
        let Role::Leader(leadership) = &self.role else {
            return Err(Rejection::NotLeader);
        };
        if leadership.handover.is_some() {
            return Err(Rejection::Transferring);
        }
        let commit = self.hard_state.commit;
        // Two leaders could each hold one change that the other has not; their quorums would not
        // meet. An entry of this term committed first rules the other one out.
        if commit < leadership.term_start || self.log.membership_index() > commit {
            return Err(Rejection::ChangeInProgress);
        }
        match change {
            membership::Change::Remove(id) if *id == self.id => return Err(Rejection::IsLeader),
            membership::Change::Promote(id) if !self.has_caught_up(leadership, id) => {
                return Err(Rejection::NotCaughtUp);
            }
            _ => {}
        }
        let next = self.log.membership().with_change(change).ok_or(Rejection::NotApplicable)?;
        let reachable = |id: &&entry::ReplicaId| self.is_reachable(leadership, id);
        if next.voters.iter().filter(reachable).count() < next.quorum() {
            return Err(Rejection::WouldLoseQuorum);
        }
        Ok(next)
    }

    fn is_reachable(&self, leadership: &Leadership, id: &entry::ReplicaId) -> bool {
        leadership.followers.get(id).is_none_or(|progress| {
            let silent_ms = self.now_ms.saturating_sub(progress.last_heard_ms);
            silent_ms <= self.options.election_timeout_ms && !progress.memory_lost
        })
    }

    /// A learner may vote once everything committed is synced on it: only then does the group
    /// have one copy more and not merely one head more.
    fn has_caught_up(&self, leadership: &Leadership, id: &entry::ReplicaId) -> bool {
        let commit = self.hard_state.commit;
        let synced =
            leadership.followers.get(id).is_some_and(|it| it.acknowledged_index() >= commit);
        synced && self.is_reachable(leadership, id)
    }

    pub(super) fn transfer(&mut self, token: u64) {
        let Role::Leader(leadership) = &self.role else {
            return self.reject(token, Rejection::NotLeader);
        };
        let voters = &self.log.membership().voters;
        let candidates = leadership
            .followers
            .iter()
            .filter(|(id, _)| voters.contains(id) && self.is_reachable(leadership, id));
        let best = candidates.max_by_key(|(_, progress)| progress.match_index);
        let Some(to) = best.map(|(id, _)| id.clone()) else {
            return self.reject(token, Rejection::NotCaughtUp);
        };
        let gives_up_ms = self.now_ms + self.options.election_timeout_ms;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.handover = Some(Handover { to, gives_up_ms });
        }
        self.finish_handover();
    }

    /// Lets the successor start its election once it has the whole log.
    fn finish_handover(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let Some(handover) = &leadership.handover else {
            return;
        };
        let matched = leadership.followers.get(&handover.to).map_or(0, |it| it.match_index);
        if matched == self.log.last().index {
            let to = handover.to.clone();
            self.send_now(to, message::Body::TimeoutNow);
        }
    }
}
