//! What voters send each other inside a link's replication message.

use ragwortdeal_core::{
    name,
    replication::{entry, message, payload},
};

use super::Answer;

/// One message between two voters.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(super) enum Letter {
    /// Which replica this voter is, and whether it has never been part of a group.
    Announce {
        /// The sender.
        id: entry::ReplicaId,
        /// Whether its data folder is new.
        empty: bool,
        /// Its availability zone, where voters are chosen by it.
        #[serde(default)]
        zone: String,
        /// Whether it leads the group.
        #[serde(default)]
        leads: bool,
        /// Whether it was asked to stop, so that it has to be replaced. Absent in announcements of
        /// earlier versions of this program.
        #[serde(default)]
        leaves: bool,
        /// Other voters that it knows, so that two which do not know each other get to.
        #[serde(default)]
        known: Vec<name::InstanceName>,
    },
    /// The leader tells a replica that the group goes on without it. One that was removed is sent
    /// no entries any more, so it may not know.
    Removed {
        /// The leader.
        from: entry::ReplicaId,
        /// The replica that is no member.
        to: entry::ReplicaId,
    },
    /// A message of the replicated log.
    Replication {
        /// The sender.
        from: entry::ReplicaId,
        /// The addressed replica. Another replica on the same instance drops it.
        to: entry::ReplicaId,
        /// What it says.
        message: message::Message,
    },
    /// A proposal that a follower was asked for, passed on to the leader. An entry need not know
    /// the leader's address: it may be a voter that came after the entry's settings were written.
    Forward {
        /// The follower.
        from: entry::ReplicaId,
        /// The follower's number for it.
        number: u64,
        /// The proposal.
        payload: payload::Bytes,
    },
    /// What became of a forwarded proposal.
    Forwarded {
        /// The voter that was taken for the leader.
        from: entry::ReplicaId,
        /// The follower's number for it.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// Asks the leader how far the log has to be applied for a read that is current.
    Read {
        /// The follower.
        from: entry::ReplicaId,
        /// The follower's number for it.
        number: u64,
    },
    /// How far, or nothing where the sender cannot tell.
    ReadAt {
        /// The voter that was taken for the leader.
        from: entry::ReplicaId,
        /// The follower's number for it.
        number: u64,
        /// Index that has to be applied.
        index: Option<u64>,
    },
}

impl Letter {
    /// Who claims to have sent it.
    pub(super) fn sender(&self) -> &entry::ReplicaId {
        match self {
            Self::Announce { id, .. } => id,
            Self::Removed { from, .. }
            | Self::Replication { from, .. }
            | Self::Forward { from, .. }
            | Self::Forwarded { from, .. }
            | Self::Read { from, .. }
            | Self::ReadAt { from, .. } => from,
        }
    }
}
