//! What one entry says of its upstreams, as a sequence that others follow by number.

use std::{collections, net};

use crate::{
    membership::{self, leases},
    name,
};

/// Short number of one life of one entry, the same everywhere.
pub type OriginId = u64;

/// One life of one entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Origin {
    /// The entry's instance.
    pub name: name::InstanceName,
    /// Number of the life of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Where other entries and agents reach it.
    pub address: net::SocketAddr,
}

impl Origin {
    /// The number under which others know this life.
    pub fn id(&self) -> OriginId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.name.as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        membership::first_u64(hasher.finalize().as_bytes())
    }
}

/// A step of an origin's sequence.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// The origin.
    pub origin: Origin,
    /// The receiver must hold exactly this number or zero; a zero step replaces all it holds.
    pub from: u32,
    /// The number that the receiver holds afterwards.
    pub to: u32,
    /// Records that changed on the way, each in its last state.
    pub put: Vec<membership::Record>,
    /// Names that were forgotten on the way.
    pub forget: Vec<name::InstanceName>,
    /// Whether the entry has said that it ends.
    pub closed: bool,
}

impl Delta {
    /// Whether it must be everywhere within the bound for leaving.
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

/// The records of one origin with the number at which each last changed.
#[derive(Clone, Debug)]
pub struct Log {
    origin: Origin,
    seq: u32,
    /// Steps that start below this number are no longer complete, so that all is sent.
    complete_from: u32,
    slots: collections::BTreeMap<name::InstanceName, (u32, Slot)>,
    closed: bool,
}

/// Forgotten names that a log keeps for followers that are behind; older ones force a full step.
const FORGOTTEN_MAX: usize = 256;

impl Log {
    /// An empty sequence.
    pub fn new(origin: Origin) -> Self {
        let slots = collections::BTreeMap::new();
        Self { origin, seq: 0, complete_from: 0, slots, closed: false }
    }

    /// The origin of which this log tells.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Number of the last change.
    pub fn seq(&self) -> u32 {
        self.seq
    }

    /// Whether the entry has said that it ends.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Records a change of the own entry.
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

    /// Records that the own entry ends.
    pub fn close(&mut self) {
        self.seq += 1;
        self.closed = true;
    }

    /// Drops every forgotten name at once when there are too many; this keeps the cost per change
    /// low and costs followers that are behind one full step.
    fn drop_old_forgotten(&mut self) {
        let is_forgotten = |slot: &(u32, Slot)| matches!(slot.1, Slot::Forgotten);
        if self.slots.values().filter(|slot| is_forgotten(slot)).count() > FORGOTTEN_MAX {
            self.slots.retain(|_, slot| !is_forgotten(slot));
            self.complete_from = self.seq;
        }
    }

    /// The step from the given number to the present one.
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

    /// Takes a step of another entry's sequence.
    ///
    /// # Returns
    /// Whether the log advanced; a step with a gap before it or an old one changes nothing.
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

    /// The records that the origin holds.
    pub fn records(&self) -> impl Iterator<Item = &membership::Record> {
        self.slots.values().filter_map(|(_, slot)| match slot {
            Slot::Held(record) => Some(record),
            Slot::Forgotten => None,
        })
    }
}
