//! The numbered change log of one entry's upstream records, which other entries replicate.

use std::{collections, net};

use crate::{
    membership::{self, leases},
    name,
};

/// Short identifier of one incarnation of an entry, the same at every process.
pub type OriginId = u64;

/// One incarnation of an entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Origin {
    /// The entry's instance.
    pub name: name::InstanceName,
    /// Incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address at which other entries and agents reach it.
    pub address: net::SocketAddr,
}

impl Origin {
    /// Identifier of this incarnation.
    pub fn id(&self) -> OriginId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.name.as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        membership::first_u64(hasher.finalize().as_bytes())
    }
}

/// Consecutive changes of an origin's log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// The origin.
    pub origin: Origin,
    /// Sequence number that the receiver must hold; a delta from zero replaces all its records.
    pub from: u32,
    /// Sequence number that the receiver holds afterwards.
    pub to: u32,
    /// Records that changed in between, each in its latest state.
    pub put: Vec<membership::Record>,
    /// Names that were forgotten in between.
    pub forget: Vec<name::InstanceName>,
    /// Whether the entry has announced that it shuts down.
    pub closed: bool,
}

impl Delta {
    /// Whether it announces that an upstream or the entry leaves, which has to reach every entry
    /// within [`membership::Settings::leave_grace_ms`].
    pub fn is_urgent(&self) -> bool {
        let leaving = |record: &membership::Record| record.status == membership::Status::Leaving;
        self.closed || self.put.iter().any(leaving)
    }
}

#[derive(Clone, Debug)]
enum Slot {
    Held(membership::Record),
    Forgotten,
}

/// The records of one origin with the sequence number at which each last changed.
#[derive(Clone, Debug)]
pub struct Log {
    origin: Origin,
    seq: u32,
    /// Deltas from below this sequence number would lack forgotten names, so that all records are
    /// sent instead.
    complete_from: u32,
    slots: collections::BTreeMap<name::InstanceName, (u32, Slot)>,
    closed: bool,
}

/// Forgotten names that a log keeps for receivers that are behind; a receiver that is further
/// behind gets a full delta.
const FORGOTTEN_MAX: usize = 256;

impl Log {
    /// An empty log.
    pub fn new(origin: Origin) -> Self {
        let slots = collections::BTreeMap::new();
        Self { origin, seq: 0, complete_from: 0, slots, closed: false }
    }

    /// The origin whose records these are.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Sequence number of the last change.
    pub fn seq(&self) -> u32 {
        self.seq
    }

    /// Whether the entry has announced that it shuts down.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Appends a change made by this process.
    pub fn record(&mut self, change: leases::Change) {
        self.seq += 1;
        match change {
            leases::Change::Put(record) => {
                let name = record.upstream.name.clone();
                self.slots.insert(name, (self.seq, Slot::Held(record)));
            }
            leases::Change::Forget(name) => {
                self.slots.insert(name, (self.seq, Slot::Forgotten));
                self.drop_old_forgotten();
            }
        }
    }

    /// Appends that this process shuts down.
    pub fn close(&mut self) {
        self.seq += 1;
        self.closed = true;
    }

    /// Drops all forgotten names at once when there are too many. This keeps the amortised cost of a
    /// change low, and costs receivers that are behind one full delta.
    fn drop_old_forgotten(&mut self) {
        let is_forgotten = |slot: &(u32, Slot)| matches!(slot.1, Slot::Forgotten);
        if self.slots.values().filter(|slot| is_forgotten(slot)).count() > FORGOTTEN_MAX {
            self.slots.retain(|_, slot| !is_forgotten(slot));
            self.complete_from = self.seq;
        }
    }

    /// The changes after the given sequence number.
    pub fn delta_since(&self, from: u32) -> Delta {
        let from = if from < self.complete_from || from > self.seq { 0 } else { from };
        let mut put = Vec::new();
        let mut forget = Vec::new();
        for (name, (seq, slot)) in &self.slots {
            match slot {
                Slot::Held(record) if *seq > from || from == 0 => put.push(record.clone()),
                Slot::Forgotten if *seq > from && from > 0 => forget.push(name.clone()),
                _ => {}
            }
        }
        let origin = self.origin.clone();
        Delta { origin, from, to: self.seq, put, forget, closed: self.closed }
    }

    /// Applies a delta of another entry's log.
    ///
    /// # Returns
    /// Whether the log advanced; an old delta or one after a gap changes nothing.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if delta.to <= self.seq || (delta.from != 0 && delta.from != self.seq) {
            return false;
        }
        if delta.from == 0 {
            self.slots.clear();
            self.complete_from = delta.to;
        }
        for record in &delta.put {
            let slot = (delta.to, Slot::Held(record.clone()));
            self.slots.insert(record.upstream.name.clone(), slot);
        }
        for name in &delta.forget {
            self.slots.insert(name.clone(), (delta.to, Slot::Forgotten));
        }
        self.seq = delta.to;
        self.closed |= delta.closed;
        self.drop_old_forgotten();
        true
    }

    /// The present records of the origin.
    pub fn records(&self) -> impl Iterator<Item = &membership::Record> {
        self.slots.values().filter_map(|(_, slot)| match slot {
            Slot::Held(record) => Some(record),
            Slot::Forgotten => None,
        })
    }
}
