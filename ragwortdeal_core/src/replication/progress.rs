//! A leader's replication progress and flow control for each follower.

use std::collections;

use crate::replication::entry;

/// How the log is sent to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Searches for the last common entry, one message at a time.
    Probe {
        /// Whether a message is unanswered; the next one is sent after its reply or as a heartbeat.
        awaiting_reply: bool,
    },
    /// Pipelines messages without waiting for replies, up to the in-flight limit.
    Replicate {
        /// Last index of each unacknowledged message.
        inflight: collections::VecDeque<u64>,
    },
    /// Sends a snapshot, one piece at a time.
    Snapshot {
        /// The snapshot, kept until it is sent completely even if a newer one is taken.
        snapshot: entry::Snapshot,
        /// Offset of the piece in flight.
        offset_bytes: u64,
    },
}

/// A leader's view of one follower or learner.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Entries up to this index are synced on the follower.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// How the log is sent to it.
    pub mode: Mode,
    /// When it was last heard from in this term, by the leader's clock.
    pub last_heard_ms: u64,
    /// Latest read confirmation round that it has answered.
    pub round: u64,
    /// Latest [`entry::HardState::incarnation`] in its replies.
    pub incarnation: u64,
    /// Its disk lacks entries that it has acknowledged, so it no longer counts towards a quorum.
    pub memory_lost: bool,
}

impl Progress {
    /// Creates the progress of a follower whose log is unknown.
    pub fn new(last_index: u64, now_ms: u64) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            mode: Mode::Probe { awaiting_reply: false },
            last_heard_ms: now_ms,
            round: 0,
            incarnation: 0,
            memory_lost: false,
        }
    }

    /// Acknowledged index that counts towards a commit.
    pub fn acknowledged_index(&self) -> u64 {
        if self.memory_lost { 0 } else { self.match_index }
    }

    /// Whether a message with entries may be sent now.
    pub fn can_send(&self, max_inflight: usize) -> bool {
        match &self.mode {
            Mode::Probe { awaiting_reply } => !awaiting_reply,
            Mode::Replicate { inflight } => inflight.len() < max_inflight,
            Mode::Snapshot { .. } => false,
        }
    }

    /// Records that entries up to an index were sent.
    pub fn record_sent(&mut self, last_index: u64) {
        match &mut self.mode {
            Mode::Probe { awaiting_reply } => *awaiting_reply = true,
            Mode::Replicate { inflight } => {
                inflight.push_back(last_index);
                self.next_index = last_index + 1;
            }
            Mode::Snapshot { .. } => {}
        }
    }

    /// Records that the logs match up to an index; replies may be delayed or duplicated.
    pub fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.mode {
            Mode::Replicate { inflight } => inflight.retain(|last| *last > index),
            Mode::Snapshot { snapshot, .. } if snapshot.position.index > self.match_index => {}
            Mode::Probe { .. } | Mode::Snapshot { .. } => {
                self.next_index = self.match_index + 1;
                self.mode = Mode::Replicate { inflight: collections::VecDeque::new() };
            }
        }
    }

    /// Falls back to probing after a mismatch and returns whether the reply was still current.
    pub fn record_mismatch(&mut self, probed: u64, hint: u64) -> bool {
        let current = match &self.mode {
            Mode::Probe { .. } => probed + 1 == self.next_index,
            Mode::Replicate { .. } => probed > self.match_index,
            Mode::Snapshot { .. } => false,
        };
        if current {
            self.next_index = probed.min(hint + 1).max(self.match_index + 1);
            self.mode = Mode::Probe { awaiting_reply: false };
        }
        current
    }
}
