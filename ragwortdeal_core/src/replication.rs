//! The voters' replicated log: elections, replication, reads and membership.
//!
//! A [`replica::Replica`] takes an [`Input`] and a monotonic time and returns [`Output`]s; it opens
//! no socket and no file. `docs/design/control-state.md` tells which protocols were weighed.

pub mod entry;
pub mod log;
pub mod membership;
pub mod message;
pub mod payload;
pub mod progress;
pub mod reconfiguration;
pub mod replacement;
pub mod replica;

/// Bounds and times of one replica. All replicas of a group are given the same.
#[derive(Clone, Debug)]
pub struct Options {
    /// Shortest time without a leader before an election, and the longest time for which a leader
    /// goes on without having heard a quorum. Each wait is drawn from one to two times this.
    pub election_timeout_ms: u64,
    /// Time between two messages of a leader to an idle follower.
    pub heartbeat_ms: u64,
    /// Bytes of payload in one append message; a single larger entry travels alone.
    pub max_append_bytes: usize,
    /// Append messages with entries sent to a follower and not yet answered.
    pub max_inflight_appends: usize,
    /// Bytes in one piece of a snapshot.
    pub snapshot_piece_bytes: usize,
    /// Largest snapshot that a follower takes in, in bytes.
    pub max_snapshot_bytes: usize,
    /// Entries kept in memory before a snapshot, so that a follower that is slightly behind is
    /// sent entries and not the whole state.
    pub retained_entries: u64,
    /// Entries that may wait for a quorum; further proposals are refused until some commit.
    pub max_uncommitted_entries: u64,
    /// Seed of the election times. Two replicas with the same seed would time out together.
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

/// What happened outside the replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time went on. Expected several times within [`Options::heartbeat_ms`].
    Tick,
    /// A message arrived that was addressed to this replica.
    Receive {
        /// The replica that sent it, as proved by the link.
        from: entry::ReplicaId,
        /// What it says.
        message: message::Message,
    },
    /// All writes up to this one are synced, in the order in which they were asked for.
    WriteSynced {
        /// [`entry::Write::id`] of the newest synced write.
        write_id: u64,
    },
    /// A write or its sync failed. The replica stops for good.
    WriteFailed,
    /// Asks to append an opaque entry.
    Propose {
        /// Returned with the answer.
        token: u64,
        /// The entry.
        data: payload::Bytes,
    },
    /// Asks for an index that covers everything accepted so far.
    Read {
        /// Returned with the answer.
        token: u64,
    },
    /// Asks for one membership change.
    ChangeMembership {
        /// Returned with the answer.
        token: u64,
        /// The change.
        change: membership::Change,
    },
    /// Hands leadership to the best other voter, before a planned stop.
    TransferLeadership {
        /// Returned with a refusal.
        token: u64,
    },
    /// Founds a group with these voters. Does nothing unless this replica's memory is empty.
    ///
    /// The surroundings give this to one replica only, and only when all these voters have said
    /// that they are empty: two foundings would be two groups that each accept changes.
    Bootstrap {
        /// The first membership.
        membership: membership::Membership,
    },
    /// The state machine's state at an applied index; the log up to it may be dropped.
    Compact {
        /// Index of the last entry in the state.
        index: u64,
        /// The state.
        state: payload::Bytes,
    },
}

/// What the surroundings are to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The addressed replica. One with the same instance but other storage must not get it.
        to: entry::ReplicaId,
        /// What to send.
        message: message::Message,
    },
    /// Write and sync, then report [`Input::WriteSynced`].
    Persist(entry::Write),
    /// Replace the state machine's state.
    Restore(entry::Snapshot),
    /// Apply committed entries to the state machine.
    Apply(Vec<entry::Entry>),
    /// A proposal or change got a place in the log. It ran if and only if an entry with this index
    /// *and* this term is applied.
    Appended {
        /// Token of the proposal.
        token: u64,
        /// Place in the log.
        position: entry::Position,
    },
    /// A read is current once entries up to this index are applied; they have been.
    ReadReady {
        /// Token of the read.
        token: u64,
        /// Index that covers all that was accepted when the read was asked for.
        index: u64,
    },
    /// The request did not run and will not.
    Rejected {
        /// Token of the request.
        token: u64,
        /// Why.
        reason: Rejection,
        /// Whom to ask instead, where known.
        leader: Option<entry::ReplicaId>,
    },
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// The new role.
        role: RoleKind,
        /// The current term.
        term: u64,
        /// The leader of this term, where known.
        leader: Option<entry::ReplicaId>,
    },
    /// The replica takes no further part; its process needs an operator or a repair.
    Stopped {
        /// Why.
        reason: StopReason,
    },
}

/// The part that a replica plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleKind {
    /// Takes entries from a leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Appends and commits entries.
    Leader,
    /// Stopped for good.
    Stopped,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This replica is not the leader.
    NotLeader,
    /// Leadership was lost before the read was confirmed.
    LostLeadership,
    /// Too many entries wait for a quorum.
    Overloaded,
    /// Leadership is being handed over.
    Transferring,
    /// Nothing of this term is committed yet, or an earlier membership change is not.
    ChangeInProgress,
    /// The membership already is as asked, or the replica is not in it.
    NotApplicable,
    /// The learner lacks entries or was not heard lately.
    NotCaughtUp,
    /// The change would leave fewer reachable voters than a quorum.
    WouldLoseQuorum,
    /// A leader cannot remove itself; it has to hand over first.
    IsLeader,
}

/// Why a replica stopped for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// A write or a sync failed; what the disk holds is unknown.
    WriteFailed,
    /// The leader holds acknowledgements of entries that this disk no longer has.
    MemoryLost,
}
