//! Changes by operators, and the decisions that are kept to make them idempotent.

use std::collections;

use crate::{digest, name};

use super::{Revision, object};

/// Decisions that are kept. At 22,000 changes a day this covers more than two days, which is longer
/// than any operator's tool retries a change.
pub const DECIDED_CHANGES_MAX: usize = 50_000;

/// One change of one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The operator's identifier of this change, the same on every retry.
    pub id: name::ChangeId,
    /// Key of the changed object.
    pub key: object::ObjectKey,
    /// Expected revision of the object, or 0 if it must not exist yet. `None` changes it
    /// unconditionally.
    pub expected_revision: Option<Revision>,
    /// The new object, or `None` to remove it.
    pub object: Option<object::Object>,
}

impl Change {
    /// Digest of everything but the identifier, which distinguishes a retry from another change that
    /// reuses the identifier by mistake.
    pub fn body_digest(&self) -> digest::Digest {
        digest::Digest::of_value(&(&self.key, &self.expected_revision, &self.object))
    }
}

/// Why a change was refused. A refused change was not made and never will be.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The object's revision is not the expected one.
    Conflict {
        /// Present revision of the object, or 0 if it does not exist.
        present_revision: Revision,
        /// The present object.
        present: Option<object::Object>,
    },
    /// Two placements would select the same instance.
    Ambiguous {
        /// The instance that both would select.
        instance: name::InstanceName,
        /// The other placement that selects it.
        placement: name::SelectorName,
    },
    /// The object's kind does not match its key.
    WrongKind,
    /// The placement refers to a version that is not registered.
    UnknownVersion {
        /// Digest of the version's manifest.
        version: digest::Digest,
    },
    /// A registered version cannot be changed.
    VersionIsFixed,
    /// A placement still refers to the version that was to be removed.
    VersionInUse {
        /// The placement that refers to it.
        placement: name::SelectorName,
    },
    /// The change identifier was used before for another change.
    IdReused,
    /// The configuration holds the maximum number of objects.
    TooManyObjects,
    /// The object holds more than the maximum number of labels.
    TooManyLabels,
}

/// The decision on a change.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// It was made at this revision.
    Accepted {
        /// The revision that the change produced.
        revision: Revision,
    },
    /// It was not made.
    Refused(Refusal),
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct DecidedChange {
    body: digest::Digest,
    decision: Decision,
}

/// Result of looking up a change by its identifier.
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The identifier is new.
    New,
    /// The same change was decided before.
    Decided(Decision),
    /// The identifier belongs to another change.
    OtherBody,
}

/// The most recent decisions by change identifier; beyond the bound the oldest is dropped.
///
/// Without it, a retry after a lost answer would be checked against its own effect and be refused
/// as a conflict, and the operator would conclude that another change had come first.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct DecidedChanges {
    decided: collections::BTreeMap<name::ChangeId, DecidedChange>,
    order: collections::VecDeque<name::ChangeId>,
}

impl DecidedChanges {
    /// Looks a change up by its identifier.
    pub fn lookup(&self, change: &Change) -> Lookup {
        match self.decided.get(&change.id) {
            None => Lookup::New,
            Some(known) if known.body == change.body_digest() => {
                Lookup::Decided(known.decision.clone())
            }
            Some(_) => Lookup::OtherBody,
        }
    }

    /// Records a decision and drops the oldest beyond the bound.
    pub fn record(&mut self, change: &Change, decision: Decision) {
        let decided = DecidedChange { body: change.body_digest(), decision };
        if self.decided.insert(change.id.clone(), decided).is_none() {
            self.order.push_back(change.id.clone());
        }
        while self.order.len() > DECIDED_CHANGES_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.decided.remove(&oldest);
            }
        }
    }

    /// Number of decisions kept.
    pub fn len(&self) -> usize {
        self.decided.len()
    }

    /// Whether no decision is kept.
    pub fn is_empty(&self) -> bool {
        self.decided.is_empty()
    }
}
