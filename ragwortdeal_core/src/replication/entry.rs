//! Entries, positions and what a replica keeps on its disk.

use std::fmt;

use crate::{
    name,
    replication::{membership, payload},
};

/// Random number that a data folder gets when it is made. An emptied disk gets another one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct StorageId(pub u64);

/// One replica: an instance together with the memory that it has.
///
/// Votes and acknowledgements are counted by this pair. Were they counted by instance, one that
/// came back with an empty disk would vote as if it still knew what it once acknowledged, and an
/// accepted change could be lost.
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

/// A place in the log. The derived order, term first, tells which log is more up to date.
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
    /// Term of the leader that made the entry; 0 before the first entry.
    pub term: u64,
    /// Number of the entry; the first is 1.
    pub index: u64,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Payload {
    /// Opens a term: once it commits, so have all entries of former terms.
    TermStart,
    /// A proposal, opaque to replication.
    Data(payload::Bytes),
    /// The membership from this entry on, in force as soon as it is in the log.
    Membership(membership::Membership),
}

impl Payload {
    /// Bytes of opaque data, for the bounds on messages.
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
    /// Its place.
    pub position: Position,
    /// What it carries.
    pub payload: Payload,
}

/// The small state that must be on disk before a replica acts on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// The newest term heard of.
    pub term: u64,
    /// The candidate voted for in this term.
    pub vote: Option<ReplicaId>,
    /// Entries up to this index are committed. It is on disk before they are applied, so that a
    /// process restarted in a cut-off zone does not fall back behind what it had applied.
    pub commit: u64,
    /// How often this data folder was opened; tells answers of two lives of a process apart.
    #[serde(rename = "start")]
    pub incarnation: u64,
}

/// The state machine's state at an index.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The last entry that the state holds.
    pub position: Position,
    /// The membership as of that entry.
    pub membership: membership::Membership,
    /// The state, opaque to replication.
    pub state: payload::Bytes,
}

/// One ordered write; its parts are carried out in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Write {
    /// Number of the write; later ones are greater.
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

/// What a data folder holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The hard state, the default one on a new disk.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The content of a new group with one voter, from which it grows by learners.
    ///
    /// A group is founded by one voter alone, because no voter can tell its own first start from
    /// the return of an emptied disk; two founders would each accept changes.
    pub fn bootstrap(id: &ReplicaId) -> Self {
        let position = Position { term: 1, index: 1 };
        let payload = Payload::Membership(membership::Membership::single_voter(id.clone()));
        let hard_state = HardState { term: 1, commit: 1, ..HardState::default() };
        Self { hard_state, snapshot: None, entries: vec![Entry { position, payload }] }
    }

    /// The write that brings an empty folder to this content.
    pub fn as_write(&self) -> Write {
        Write {
            id: 0,
            snapshot: self.snapshot.clone(),
            truncate_from: None,
            entries: self.entries.clone(),
            hard_state: Some(self.hard_state.clone()),
        }
    }

    /// Carries out a write; the reference for what a storage must hold afterwards.
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
        let continues = self.entries.iter().any(|entry| entry.position == snapshot.position);
        let index = snapshot.position.index;
        self.entries.retain(|entry| continues && entry.position.index > index);
        self.snapshot = Some(snapshot);
    }
}
