//! What a leader knows of one follower, and how much it may send to it.

use std::collections;

use crate::replication::entry;

/// How a follower is being sent the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Looks for the last common entry, one message at a time.
    Probe {
        /// A message is under way; the next goes with a heartbeat or after the answer.
        awaiting_reply: bool,
    },
    /// Sends ahead of the answers, within the window.
    Replicate {
        /// Last index of each unanswered message.
        inflight: collections::VecDeque<u64>,
    },
    /// Sends a snapshot, one piece at a time.
    Snapshot {
        /// The snapshot, kept whole while it is sent even if a newer one is taken.
        snapshot: entry::Snapshot,
        /// Start of the piece under way.
        offset_bytes: u64,
    },
}

/// A leader's view of one follower or learner.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Entries up to this index are synced there.
    pub match_index: u64,
    /// First index to send next.
    pub next_index: u64,
    /// How it is being sent the log.
    pub mode: Mode,
    /// When it was last heard in this term, on the leader's clock.
    pub last_heard_ms: u64,
    /// Newest confirmation round that it answered.
    pub round: u64,
    /// Newest [`entry::HardState::incarnation`] that it answered with.
    pub incarnation: u64,
    /// Its disk lacks entries that it acknowledged, so it no longer counts.
    pub memory_lost: bool,
}

impl Progress {
    /// A follower of which nothing is known yet.
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

    /// Index that may be counted towards a commit.
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

    /// Notes that entries up to an index were sent.
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

    /// Notes that the logs agree up to an index; answers may come late or twice.
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

    /// Goes back after a mismatch and tells whether the answer was news.
    pub fn record_mismatch(&mut self, probed: u64, hint: u64) -> bool {
        let news = match &self.mode {
            Mode::Probe { .. } => probed + 1 == self.next_index,
            Mode::Replicate { .. } => probed > self.match_index,
            Mode::Snapshot { .. } => false,
        };
        if news {
            self.next_index = probed.min(hint + 1).max(self.match_index + 1);
            self.mode = Mode::Probe { awaiting_reply: false };
        }
        news
    }
}
