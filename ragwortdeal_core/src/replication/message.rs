//! Messages between replicas.

use crate::replication::{entry, membership, payload};

/// A message with the sender's current term.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// The sender's term.
    pub term: u64,
    /// The sender's [`entry::HardState::incarnation`].
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// Asks whether an election could be won, without increasing any term: an isolated voter that
    /// returns must not depose a working leader by a higher term.
    PreVote {
        /// The term that the election would have.
        for_term: u64,
        /// Position of the last entry in the sender's log.
        last: entry::Position,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// The term of the [`Body::PreVote`] request.
        for_term: u64,
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote in the message's term.
    Vote {
        /// Position of the last entry in the sender's log.
        last: entry::Position,
        /// Whether the election was started by a leadership transfer.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted; a granted vote is synced.
        granted: bool,
    },
    /// Entries to append, or a heartbeat if there are none.
    Append {
        /// Position of the entry that precedes them.
        previous: entry::Position,
        /// Consecutive entries.
        entries: Vec<entry::Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Round that confirms leadership for reads, echoed in the reply.
        round: u64,
    },
    /// Answers [`Body::Append`] and the last piece of a snapshot; what it acknowledges is synced.
    AppendReply {
        /// Up to which index the logs match, or where they do not.
        outcome: AppendOutcome,
        /// The round of the message that is answered.
        round: u64,
    },
    /// One piece of a snapshot.
    SnapshotPiece {
        /// Position of the snapshot.
        position: entry::Position,
        /// Membership as of the snapshot.
        membership: membership::Membership,
        /// Offset of the piece.
        offset_bytes: u64,
        /// Length of the whole state.
        total_bytes: u64,
        /// The piece.
        piece: payload::Bytes,
        /// Round that confirms leadership for reads, echoed in the reply.
        round: u64,
    },
    /// Requests the next piece of a snapshot.
    SnapshotReply {
        /// Position of the snapshot.
        position: entry::Position,
        /// Offset of the next piece.
        next_offset_bytes: u64,
        /// The round of the message that is answered.
        round: u64,
    },
    /// Tells a follower that has caught up to start an election immediately.
    TimeoutNow,
    /// Tells a replica that its disk lacks entries that it had acknowledged.
    MemoryLost,
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AppendOutcome {
    /// The logs match up to this index.
    Matched {
        /// The last matching index.
        index: u64,
    },
    /// The follower has no entry, or a different one, at the previous position.
    Mismatch {
        /// Index of the previous position.
        probed: u64,
        /// The last index at which the logs may match.
        hint: u64,
        /// The last index of the follower's log.
        last_index: u64,
    },
    /// The message was of an earlier term.
    StaleTerm,
}
