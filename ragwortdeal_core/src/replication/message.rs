//! What replicas say to each other.

use crate::replication::{entry, membership, payload};

/// A message with the sender's present term.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// The sender's term.
    pub term: u64,
    /// The sender's [`entry::HardState::incarnation`].
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// Asks whether an election could be won, without raising any term: an isolated voter that
    /// returns must not depose a working leader by a high term.
    PreVote {
        /// The term that the election would have.
        for_term: u64,
        /// End of the asker's log.
        last: entry::Position,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// The term that was asked for.
        for_term: u64,
        /// Whether a vote would be given.
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    Vote {
        /// End of the asker's log.
        last: entry::Position,
        /// Set when the leader itself asked for this election.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the vote is given; it is on disk.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    Append {
        /// Position of the entry before the first one sent.
        previous: entry::Position,
        /// Consecutive entries.
        entries: Vec<entry::Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Confirmation round, sent back with the answer.
        round: u64,
    },
    /// Answers [`Body::Append`] and the last piece of a snapshot; what it claims is on disk.
    AppendReply {
        /// How far the logs agree, or where they do not.
        outcome: AppendOutcome,
        /// The round of the message answered.
        round: u64,
    },
    /// One piece of a snapshot.
    SnapshotPiece {
        /// Position of the snapshot.
        position: entry::Position,
        /// Its membership.
        membership: membership::Membership,
        /// Where the piece starts.
        offset_bytes: u64,
        /// Length of the whole state.
        total_bytes: u64,
        /// The piece.
        piece: payload::Bytes,
        /// Confirmation round, sent back with the answer.
        round: u64,
    },
    /// Asks for the next piece of a snapshot.
    SnapshotReply {
        /// Position of the snapshot.
        position: entry::Position,
        /// Where the next piece is to start.
        next_offset_bytes: u64,
        /// The round of the message answered.
        round: u64,
    },
    /// Tells a caught-up follower to hold an election at once.
    TimeoutNow,
    /// Tells a replica that its disk lacks what it had acknowledged.
    MemoryLost,
}

/// How an append went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AppendOutcome {
    /// The logs agree up to this index.
    Matched {
        /// Last agreed index.
        index: u64,
    },
    /// The follower has no entry at the previous position, or another one.
    Mismatch {
        /// The index at which it has not.
        probed: u64,
        /// The last index at which the logs may agree.
        hint: u64,
        /// The last index of the follower's log.
        last_index: u64,
    },
    /// The message was of a former term.
    StaleTerm,
}
