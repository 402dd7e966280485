//! The follower's side: appending entries and receiving snapshots.

use super::Replica;
use crate::replication::{entry, log, membership, message};

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    position: entry::Position,
    membership: membership::Membership,
    state: Vec<u8>,
    total_bytes: u64,
}

impl Replica {
    /// Records a message from the leader of the current term.
    fn record_leader_contact(&mut self, from: &entry::ReplicaId) {
        if self.leader.as_ref() != Some(from) || self.role() != super::RoleKind::Follower {
            self.become_follower(self.hard_state.term, Some(from.clone()));
        }
        self.last_leader_contact_ms = self.now_ms;
        self.reset_election_deadline();
    }

    pub(super) fn on_append(
        &mut self,
        from: entry::ReplicaId,
        previous: entry::Position,
        entries: Vec<entry::Entry>,
        commit: u64,
        round: u64,
    ) {
        self.record_leader_contact(&from);
        let outcome = if previous.index < self.hard_state.commit {
            // Committed entries are the same on all replicas, and the log may be trimmed here.
            message::AppendOutcome::Matched { index: self.hard_state.commit }
        } else if self.log.contains(previous) {
            let matched = previous.index + entries.len() as u64;
            self.append_new_entries(entries);
            self.set_commit(commit.min(matched));
            message::AppendOutcome::Matched { index: matched }
        } else {
            self.mismatch(previous)
        };
        self.send_when_synced(from, message::Body::AppendReply { outcome, round });
    }

    /// Appends the entries that are not in the log yet. Matching entries and those after them are
    /// kept: a delayed message must not truncate entries that were acknowledged since.
    fn append_new_entries(&mut self, entries: Vec<entry::Entry>) {
        for entry in entries {
            if self.log.contains(entry.position) {
                continue;
            }
            let index = entry.position.index;
            if index <= self.log.last().index {
                self.truncate_from(index);
            }
            self.log.append(entry.clone());
            self.disk.pending.entries.push(entry);
        }
    }

    fn truncate_from(&mut self, index: u64) {
        assert!(
            index > self.hard_state.commit,
            "replication: a committed entry would be truncated"
        );
        self.log.truncate_from(index);
        self.disk.invalidate_from(index);
        self.disk.pending.truncate_from = Some(index);
    }

    /// Reports a mismatch with a hint that skips entries of newer terms than the leader's, so that
    /// the uncommitted entries of a deposed leader cost one message per term, not one per entry.
    fn mismatch(&self, previous: entry::Position) -> message::AppendOutcome {
        let last_index = self.log.last().index;
        let mut hint = last_index.min(previous.index.saturating_sub(1));
        while hint > self.hard_state.commit
            && self.log.term_at(hint).is_some_and(|term| term > previous.term)
        {
            hint -= 1;
        }
        message::AppendOutcome::Mismatch { probed: previous.index, hint, last_index }
    }

    pub(super) fn on_snapshot_piece(&mut self, from: entry::ReplicaId, body: message::Body) {
        let message::Body::SnapshotPiece {
            position,
            membership,
            offset_bytes,
            total_bytes,
            piece,
            round,
        } = body
        else {
            return;
        };
        self.record_leader_contact(&from);
        if position.index <= self.hard_state.commit || self.log.contains(position) {
            self.incoming = None;
            self.set_commit(position.index);
            let outcome = message::AppendOutcome::Matched { index: self.hard_state.commit };
            return self.send_when_synced(from, message::Body::AppendReply { outcome, round });
        }
        if total_bytes > self.options.max_snapshot_bytes as u64 {
            return;
        }
        let partial = self.incoming.take().filter(|incoming| incoming.position == position);
        let mut incoming = partial.unwrap_or_else(|| IncomingSnapshot {
            position,
            membership,
            state: Vec::new(),
            total_bytes,
        });
        incoming.add(offset_bytes, &piece);
        self.reply_to_piece(from, incoming, round);
    }

    fn reply_to_piece(&mut self, from: entry::ReplicaId, incoming: IncomingSnapshot, round: u64) {
        let position = incoming.position;
        if incoming.is_complete() {
            self.install(incoming.into_snapshot());
            let outcome = message::AppendOutcome::Matched { index: position.index };
            self.send_when_synced(from, message::Body::AppendReply { outcome, round });
        } else {
            let next_offset_bytes = incoming.state.len() as u64;
            self.incoming = Some(incoming);
            let reply = message::Body::SnapshotReply { position, next_offset_bytes, round };
            self.send_when_synced(from, reply);
        }
    }

    fn install(&mut self, snapshot: entry::Snapshot) {
        self.log = log::Log::from_snapshot(&snapshot);
        self.disk.invalidate_from(0);
        self.disk.pending.snapshot = Some(snapshot.clone());
        self.set_commit(snapshot.position.index);
        self.snapshot = Some(snapshot);
    }
}

impl IncomingSnapshot {
    /// Adds a piece if it is the next one; duplicated and reordered pieces are ignored.
    fn add(&mut self, offset_bytes: u64, piece: &[u8]) {
        let missing_bytes = self.total_bytes.saturating_sub(self.state.len() as u64);
        if offset_bytes == self.state.len() as u64 && piece.len() as u64 <= missing_bytes {
            self.state.extend_from_slice(piece);
        }
    }

    fn is_complete(&self) -> bool {
        self.state.len() as u64 == self.total_bytes
    }

    fn into_snapshot(self) -> entry::Snapshot {
        entry::Snapshot {
            position: self.position,
            membership: self.membership,
            state: self.state.into(),
        }
    }
}
