//! The voters' replicated log: elections, replication, reads and membership.
//!
//! A [`replica::Replica`] is a state machine that takes an [`Input`] and a monotonic time and
//! returns [`Output`]s; it performs no I/O. `docs/design/control-state.md` compares the protocols.

pub mod departure;
pub mod entry;
pub mod log;
pub mod membership;
pub mod message;
pub mod payload;
pub mod progress;
pub mod reconfiguration;
pub mod replacement;
pub mod replica;

use std::collections;

/// Limits and timeouts of a replica, the same on all replicas of a group but for the seed.
#[derive(Clone, Debug)]
pub struct Options {
    /// Minimum time without a leader before an election, and the maximum time for which a leader
    /// stays leader without hearing from a quorum. Each election timeout is drawn at random from
    /// one to two times this value.
    pub election_timeout_ms: u64,
    /// Interval between a leader's messages to an idle follower.
    pub heartbeat_ms: u64,
    /// Maximum payload of one append message; a larger entry is sent in a message of its own.
    pub max_append_bytes: usize,
    /// Maximum number of unacknowledged append messages with entries per follower.
    pub max_inflight_appends: usize,
    /// Size of one piece of a snapshot.
    pub snapshot_piece_bytes: usize,
    /// Size of the largest snapshot that a follower accepts.
    pub max_snapshot_bytes: usize,
    /// Entries before a snapshot that are kept in memory, so that a follower that is slightly
    /// behind is sent entries instead of the whole state.
    pub retained_entries: u64,
    /// Maximum number of uncommitted entries; further proposals are rejected until some commit.
    pub max_uncommitted_entries: u64,
    /// Seed of the random election timeouts. Replicas with equal seeds would time out together.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_timeout_ms: 1_000,
            heartbeat_ms: 150,
            max_append_bytes: 256 * 1024,
            max_inflight_appends: 16,
            snapshot_piece_bytes: 256 * 1024,
            max_snapshot_bytes: 64 * 1024 * 1024,
            retained_entries: 1_000,
            max_uncommitted_entries: 4_096,
            seed: 0,
        }
    }
}

/// An event that the replica's host reports.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Expected several times within [`Options::heartbeat_ms`].
    Tick,
    /// A message addressed to this replica arrived.
    Receive {
        /// The sending replica, as authenticated by the link.
        from: entry::ReplicaId,
        /// The message.
        message: message::Message,
    },
    /// All writes up to this one are synced, in the order in which they were requested.
    WriteSynced {
        /// [`entry::Write::id`] of the newest synced write.
        write_id: u64,
    },
    /// A write or its sync failed. The replica stops permanently; another one may continue with
    /// the state that was synced before, as after a crash.
    WriteFailed,
    /// Requests that an opaque entry is appended.
    Propose {
        /// Identifies the request in the output that answers it.
        token: u64,
        /// The entry.
        data: payload::Bytes,
    },
    /// Requests an index for a linearizable read: one that covers everything committed so far.
    Read {
        /// Identifies the request in the output that answers it.
        token: u64,
    },
    /// Requests a membership change.
    ChangeMembership {
        /// Identifies the request in the output that answers it.
        token: u64,
        /// The change.
        change: membership::Change,
    },
    /// Transfers leadership to the most up-to-date other voter, before a planned stop.
    TransferLeadership {
        /// Identifies the request if it is rejected.
        token: u64,
        /// Voters that are about to stop as well.
        except: collections::BTreeSet<entry::ReplicaId>,
    },
    /// Bootstraps a group with these voters. Ignored unless this replica is empty.
    ///
    /// The host passes this to one replica only, and only after all these voters have reported
    /// that they are empty: two bootstraps would make two groups that each accept changes.
    Bootstrap {
        /// The first membership.
        membership: membership::Membership,
    },
    /// A snapshot of the state machine at an applied index; the log up to it may be dropped.
    Compact {
        /// Index of the last entry that the state covers.
        index: u64,
        /// The state.
        state: payload::Bytes,
    },
}

/// An action that the host must carry out, in the order of the outputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The receiver. A replica on the same instance with another storage must not receive it.
        to: entry::ReplicaId,
        /// The message.
        message: message::Message,
    },
    /// Write and sync, then report [`Input::WriteSynced`].
    Persist(entry::Write),
    /// Replace the state machine's state.
    Restore(entry::Snapshot),
    /// Apply committed entries to the state machine.
    Apply(Vec<entry::Entry>),
    /// A proposal or membership change was appended to the log. It takes effect if and only if an
    /// entry with this index *and* this term is applied.
    Appended {
        /// Token of the proposal.
        token: u64,
        /// Position in the log.
        position: entry::Position,
    },
    /// A read may be served: all entries that it has to reflect are applied.
    ReadReady {
        /// Token of the read.
        token: u64,
        /// Index that covers everything committed when the read was requested.
        index: u64,
    },
    /// The request had no effect and will have none.
    Rejected {
        /// Token of the request.
        token: u64,
        /// The reason.
        reason: Rejection,
        /// The current leader, if known.
        leader: Option<entry::ReplicaId>,
    },
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// The new role.
        role: RoleKind,
        /// The current term.
        term: u64,
        /// The leader of this term, if known.
        leader: Option<entry::ReplicaId>,
    },
    /// The replica stopped permanently; the reason tells what may take its place.
    Stopped {
        /// The reason.
        reason: StopReason,
    },
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleKind {
    /// Accepts entries from a leader.
    Follower,
    /// Requests votes.
    Candidate,
    /// Appends and commits entries.
    Leader,
    /// Stopped permanently.
    Stopped,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This replica is not the leader.
    NotLeader,
    /// Leadership was lost before the read was confirmed.
    LostLeadership,
    /// Too many entries are uncommitted.
    Overloaded,
    /// A leadership transfer is in progress.
    Transferring,
    /// No entry of this term is committed yet, or an earlier membership change is not.
    ChangeInProgress,
    /// The membership is already as requested, or does not contain the replica.
    NotApplicable,
    /// The target lacks entries or has not been heard from recently.
    NotCaughtUp,
    /// The change would leave fewer reachable voters than a quorum.
    WouldLoseQuorum,
    /// A leader cannot remove itself; it has to transfer leadership first.
    IsLeader,
}

/// Why a replica stopped permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// A write or a sync failed. What was synced before it is kept.
    WriteFailed,
    /// This replica's disk lacks entries that it has acknowledged to the leader.
    MemoryLost,
}
