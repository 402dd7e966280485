//! Reads that are current, by asking a quorum and not by a clock.

use std::collections;

use super::{Replica, Role};
use crate::replication::{Output, Rejection, entry};

/// Reads that wait until a quorum has answered a later message of this leader.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    round: u64,
    waiting: collections::VecDeque<PendingRead>,
}

#[derive(Debug)]
struct PendingRead {
    token: u64,
    /// Index that must be applied.
    index: u64,
    /// Round that a quorum must have answered.
    round: u64,
}

impl PendingReads {
    pub(super) fn begin_round(&mut self) {
        self.round += 1;
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Whether a round is under way on which an earlier read waits.
    fn awaits_round(&self) -> bool {
        self.waiting.front().is_some_and(|read| read.round <= self.round)
    }

    /// Whether reads wait for a round that is not yet begun.
    fn needs_round(&self) -> bool {
        self.waiting.back().is_some_and(|read| read.round > self.round)
    }
}

impl Replica {
    /// The read waits for a round begun after it came in. A deposed leader cannot get a quorum to
    /// answer one, however long it was stopped, so it never gives an old state for a current one.
    pub(super) fn read(&mut self, token: u64) {
        let commit = self.hard_state.commit;
        let Role::Leader(leadership) = &mut self.role else {
            return self.reject(token, Rejection::NotLeader);
        };
        // Until its own first entry commits, a new leader may not know all that is committed.
        let index = commit.max(leadership.term_start);
        let reads = &mut leadership.reads;
        let round = reads.round + 1;
        let joins_next_round = reads.awaits_round();
        reads.waiting.push_back(PendingRead { token, index, round });
        if !joins_next_round {
            self.broadcast();
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let followers = &leadership.followers;
        let own_round = leadership.reads.round;
        let answered = |id: &entry::ReplicaId| match followers.get(id) {
            Some(progress) if progress.memory_lost => 0,
            Some(progress) => progress.round,
            None => own_round,
        };
        let confirmed = self.log.membership().quorum_value(answered);
        let reads = &mut leadership.reads;
        let applied = self.applied;
        let ready = |read: &&PendingRead| read.round <= confirmed && read.index <= applied;
        let count = reads.waiting.iter().take_while(ready).count();
        for read in reads.waiting.drain(..count) {
            self.outputs.push(Output::ReadReady { token: read.token, index: read.index });
        }
        let begins_next = reads.needs_round() && !reads.awaits_round();
        if begins_next {
            self.broadcast();
        }
    }

    pub(super) fn refuse_pending_reads(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let waiting: Vec<_> = leadership.reads.waiting.drain(..).collect();
        self.leader = None;
        for read in waiting {
            self.reject(read.token, Rejection::LostLeadership);
        }
    }
}
