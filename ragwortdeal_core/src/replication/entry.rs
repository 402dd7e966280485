//! Log entries, their positions and the persistent state of a replica.

use std::fmt;

use crate::{
    name,
    replication::{membership, payload},
};

/// Random identifier of a data folder, assigned at its creation. An emptied disk gets a new one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct StorageId(pub u64);

/// Identifies a replica: an instance together with its storage.
///
/// Votes and acknowledgements are counted by this pair. If they were counted by instance, one that
/// returned with an empty disk would vote as if it still held what it had acknowledged, and a
/// committed change could be lost.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct ReplicaId {
    /// The instance.
    pub instance: name::InstanceName,
    /// Its data folder.
    pub storage: StorageId,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.instance, self.storage.0)
    }
}

/// A position in the log. The derived order, term first, decides which log is more up to date.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Position {
    /// Term of the leader that created the entry; 0 before the first entry.
    pub term: u64,
    /// Index of the entry; the first is 1.
    pub index: u64,
}

/// The payload of an entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Payload {
    /// The first entry of a term: once it is committed, so are all entries of earlier terms.
    TermStart,
    /// A proposal, opaque to replication.
    Data(payload::Bytes),
    /// A new membership, effective as soon as the entry is in the log, committed or not.
    Membership(membership::Membership),
}

impl Payload {
    /// Length of the opaque data, for the limits on message sizes.
    pub fn data_bytes(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            Self::TermStart | Self::Membership(_) => 0,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Its position.
    pub position: Position,
    /// Its payload.
    pub payload: Payload,
}

/// The state besides the log that must be synced before a replica acts on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// The latest known term.
    pub term: u64,
    /// The candidate voted for in this term.
    pub vote: Option<ReplicaId>,
    /// Index of the last committed entry. It is synced before the entries are applied, so that a
    /// process restarted in a partitioned zone does not fall behind what it had applied.
    pub commit: u64,
    /// How many times this data folder was opened; distinguishes replies from before and after a
    /// restart.
    #[serde(rename = "start")]
    pub incarnation: u64,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the state covers.
    pub position: Position,
    /// The membership as of that entry.
    pub membership: membership::Membership,
    /// The state, opaque to replication.
    pub state: payload::Bytes,
}

/// A write to the storage; its parts are applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Write {
    /// Identifier of the write; it increases with each write.
    pub id: u64,
    /// Replaces the snapshot and drops the entries that it covers.
    pub snapshot: Option<Snapshot>,
    /// Drops the entries from this index on.
    pub truncate_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
}

impl Write {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
            && self.hard_state.is_none()
    }
}

/// The content of a data folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The hard state; the default on a new disk.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The initial state of a group with a single voter, which grows by adding learners.
    ///
    /// A group is bootstrapped by one voter only, because a voter cannot tell its first start from
    /// a restart with an emptied disk: two bootstrapped groups would each accept changes.
    pub fn bootstrap(id: &ReplicaId) -> Self {
        let position = Position { term: 1, index: 1 };
        let payload = Payload::Membership(membership::Membership::single_voter(id.clone()));
        let hard_state = HardState { term: 1, commit: 1, ..HardState::default() };
        Self { hard_state, snapshot: None, entries: vec![Entry { position, payload }] }
    }

    /// The write that turns an empty folder into this state.
    pub fn as_write(&self) -> Write {
        Write {
            id: 0,
            snapshot: self.snapshot.clone(),
            truncate_from: None,
            entries: self.entries.clone(),
            hard_state: Some(self.hard_state.clone()),
        }
    }

    /// Applies a write; this is the reference for what a storage must contain afterwards.
    pub fn apply(&mut self, write: &Write) {
        if let Some(snapshot) = &write.snapshot {
            self.install(snapshot.clone());
        }
        if let Some(from) = write.truncate_from {
            self.entries.retain(|entry| entry.position.index < from);
        }
        self.entries.extend(write.entries.iter().cloned());
        if let Some(hard_state) = &write.hard_state {
            self.hard_state = hard_state.clone();
        }
    }

    fn install(&mut self, snapshot: Snapshot) {
        let contains = self.entries.iter().any(|entry| entry.position == snapshot.position);
        let index = snapshot.position.index;
        self.entries.retain(|entry| contains && entry.position.index > index);
        self.snapshot = Some(snapshot);
    }
}
