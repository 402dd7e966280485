//! Linearizable reads, confirmed by a quorum instead of a clock-based lease.

use std::collections;

use super::{Replica, Role};
use crate::replication::{Output, Rejection, entry};

/// Reads that wait until a quorum has replied to a message that the leader sent after them.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    round: u64,
    waiting: collections::VecDeque<PendingRead>,
}

#[derive(Debug)]
struct PendingRead {
    token: u64,
    /// Index that must be applied first.
    index: u64,
    /// Round that a quorum must have answered first.
    round: u64,
}

impl PendingReads {
    pub(super) fn begin_round(&mut self) {
        self.round += 1;
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Whether an earlier read waits for a round that is in progress.
    fn awaits_round(&self) -> bool {
        self.waiting.front().is_some_and(|read| read.round <= self.round)
    }

    /// Whether a read waits for a round that has not begun.
    fn needs_round(&self) -> bool {
        self.waiting.back().is_some_and(|read| read.round > self.round)
    }
}

impl Replica {
    /// Queues a read until a quorum answers a round that begins after it. A deposed leader cannot
    /// get a quorum for a new round, however long it was suspended, so it never serves stale state.
    pub(super) fn read(&mut self, token: u64) {
        let commit = self.hard_state.commit;
        let Role::Leader(leader_state) = &mut self.role else {
            return self.reject(token, Rejection::NotLeader);
        };
        // Until the first entry of its term commits, a new leader may not know the commit index.
        let index = commit.max(leader_state.term_start);
        let reads = &mut leader_state.reads;
        let round = reads.round + 1;
        let joins_next_round = reads.awaits_round();
        reads.waiting.push_back(PendingRead { token, index, round });
        if !joins_next_round {
            self.broadcast();
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let followers = &leader_state.followers;
        let own_round = leader_state.reads.round;
        let answered = |id: &entry::ReplicaId| match followers.get(id) {
            Some(progress) if progress.memory_lost => 0,
            Some(progress) => progress.round,
            None => own_round,
        };
        let confirmed = self.log.membership().quorum_value(answered);
        let reads = &mut leader_state.reads;
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

    pub(super) fn reject_pending_reads(&mut self) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let waiting: Vec<_> = leader_state.reads.waiting.drain(..).collect();
        self.leader = None;
        for read in waiting {
            self.reject(read.token, Rejection::LostLeadership);
        }
    }
}
