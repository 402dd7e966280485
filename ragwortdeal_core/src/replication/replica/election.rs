//! Elections: pre-votes, votes and election timeouts.

use std::collections;

use super::{Replica, Role, leader};
use crate::replication::{RoleKind, entry, message};

/// An election in which this replica is the candidate.
#[derive(Debug)]
pub(super) struct Election {
    phase: Phase,
    votes: collections::BTreeSet<entry::ReplicaId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Asks whether it could win, before it increases the term.
    PreVote,
    /// Requests votes in the current term.
    Vote { transfer: bool },
}

impl Replica {
    pub(super) fn tick(&mut self) {
        if self.is_leader() {
            self.tick_leader();
        } else if self.now_ms >= self.election_deadline_ms || self.is_sole_voter() {
            self.reset_election_deadline();
            if self.is_voter() {
                self.start_election(Phase::PreVote);
            }
        }
    }

    fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.id)
    }

    /// Whether no other voter exists, so that waiting for another candidate is pointless.
    fn is_sole_voter(&self) -> bool {
        let voters = &self.log.membership().voters;
        voters.len() == 1 && self.is_voter() && self.role() == RoleKind::Follower
    }

    pub(super) fn reset_election_deadline(&mut self) {
        let timeout_ms = self.options.election_timeout_ms;
        let jitter_ms = self.next_random() % timeout_ms.max(1);
        self.election_deadline_ms = self.now_ms + timeout_ms + jitter_ms;
    }

    /// Whether this replica is the leader or has heard from it within an election timeout. While
    /// that holds it ignores candidates, except in a leadership transfer, so that a voter with a
    /// one-way network fault cannot depose a leader that the others can reach.
    fn has_live_leader(&self) -> bool {
        let timeout_ms = self.options.election_timeout_ms;
        let silent_ms = self.now_ms.saturating_sub(self.last_leader_contact_ms);
        self.is_leader() || (self.leader.is_some() && silent_ms < timeout_ms)
    }

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<entry::ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.save_hard_state();
        }
        self.reject_pending_reads();
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_deadline();
        self.report_role();
    }

    fn start_election(&mut self, phase: Phase) {
        let last = self.log.last();
        self.leader = None;
        self.incoming = None;
        let election = Election { phase, votes: collections::BTreeSet::new() };
        self.role = Role::Candidate(election);
        let term = self.hard_state.term;
        let (request, own_reply) = match phase {
            Phase::PreVote => {
                let for_term = term + 1;
                let reply = message::Body::PreVoteReply { for_term, granted: true };
                (message::Body::PreVote { for_term, last }, reply)
            }
            Phase::Vote { transfer } => {
                self.hard_state.term = term + 1;
                self.hard_state.vote = Some(self.id.clone());
                self.save_hard_state();
                let reply = message::Body::VoteReply { granted: true };
                (message::Body::Vote { last, transfer }, reply)
            }
        };
        self.report_role();
        // Its own vote, like all others, counts only once it is synced.
        self.send_when_synced(self.id.clone(), own_reply);
        let mut others = self.log.membership().voters.clone();
        others.remove(&self.id);
        for voter in others {
            self.send_when_synced(voter, request.clone());
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: entry::ReplicaId,
        for_term: u64,
        last: entry::Position,
    ) {
        if self.has_live_leader() {
            return;
        }
        let granted = for_term > self.hard_state.term && last >= self.log.last();
        self.send_when_synced(from, message::Body::PreVoteReply { for_term, granted });
    }

    pub(super) fn on_vote(
        &mut self,
        from: entry::ReplicaId,
        term: u64,
        last: entry::Position,
        transfer: bool,
    ) {
        if !transfer && term > self.hard_state.term && self.has_live_leader() {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let can_vote = self.hard_state.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = term == self.hard_state.term && can_vote && last >= self.log.last();
        if granted {
            self.hard_state.vote = Some(from.clone());
            self.save_hard_state();
            self.reset_election_deadline();
        }
        self.send_when_synced(from, message::Body::VoteReply { granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: entry::ReplicaId,
        for_term: u64,
        granted: bool,
    ) {
        let is_current = for_term == self.hard_state.term + 1;
        if is_current && granted && self.count_vote(from, Phase::PreVote) {
            self.start_election(Phase::Vote { transfer: false });
        }
    }

    pub(super) fn on_vote_reply(&mut self, from: entry::ReplicaId, granted: bool) {
        let won = |replica: &mut Self, transfer| {
            replica.count_vote(from.clone(), Phase::Vote { transfer })
        };
        if granted && (won(self, false) || won(self, true)) {
            self.become_leader();
        }
    }

    /// Counts a vote of the given phase and returns whether a quorum has voted for this replica.
    fn count_vote(&mut self, from: entry::ReplicaId, phase: Phase) -> bool {
        let Role::Candidate(election) = &mut self.role else {
            return false;
        };
        if election.phase != phase {
            return false;
        }
        election.votes.insert(from);
        self.log.membership().is_quorum(&election.votes)
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.id.clone());
        let term_start = self.log.last().index + 1;
        let mut leader_state = leader::LeaderState::new(term_start, self.now_ms);
        leader_state.track_members(self.log.membership(), &self.id, self.now_ms);
        self.role = Role::Leader(Box::new(leader_state));
        self.report_role();
        self.append(entry::Payload::TermStart);
        self.broadcast();
    }

    pub(super) fn on_timeout_now(&mut self, from: &entry::ReplicaId) {
        if self.leader.as_ref() == Some(from) && self.is_voter() {
            self.start_election(Phase::Vote { transfer: true });
        }
    }

    /// Makes a leader step down that has not heard from a quorum for an election timeout, before it
    /// handles any input. Otherwise a leader that is partitioned, or was suspended and resumed,
    /// would continue to accept proposals that can never commit while their callers wait.
    pub(super) fn check_quorum(&mut self) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let heard_ms = |id: &entry::ReplicaId| match leader_state.followers.get(id) {
            Some(progress) => progress.last_heard_ms,
            None => self.now_ms,
        };
        let quorum_heard_ms = self.log.membership().quorum_value(heard_ms);
        if self.now_ms.saturating_sub(quorum_heard_ms) > self.options.election_timeout_ms {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// The current role.
    pub fn role(&self) -> RoleKind {
        match &self.role {
            Role::Follower => RoleKind::Follower,
            Role::Candidate(_) => RoleKind::Candidate,
            Role::Leader(_) => RoleKind::Leader,
            Role::Stopped => RoleKind::Stopped,
        }
    }
}
