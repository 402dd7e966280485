//! What voters send each other inside a link's replication message.

use ragwortdeal_core::replication::{entry, message};
use ragwortdeal_wire::link as wire;

/// One message between two voters.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(super) enum Letter {
    /// Which replica this voter is, and whether it has never been part of a group.
    Announce {
        /// The sender.
        id: entry::ReplicaId,
        /// Whether its data folder is new.
        empty: bool,
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
}

impl Letter {
    /// Who claims to have sent it.
    pub(super) fn sender(&self) -> &entry::ReplicaId {
        match self {
            Self::Announce { id, .. } => id,
            Self::Replication { from, .. } => from,
        }
    }

    /// Wraps the letter for a link.
    pub(super) fn seal(&self) -> wire::Message {
        let mut payload = Vec::new();
        ciborium::into_writer(self, &mut payload).expect("own types encode into memory");
        wire::Message::Replicate(wire::Replicate { payload: payload.into() })
    }

    /// Reads a letter, or nothing where it is none.
    pub(super) fn open(message: &wire::Message) -> Option<Self> {
        let wire::Message::Replicate(replicate) = message else {
            return None;
        };
        ciborium::from_reader(&replicate.payload[..]).ok()
    }
}
