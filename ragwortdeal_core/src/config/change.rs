//! Changes by operators, and the answers that a resend gets again.

use std::collections;

use crate::{digest, name};

use super::{Revision, object};

/// How many decided change ids are remembered. At 22,000 changes a day this is more than two days,
/// which is longer than any operator's tool keeps resending.
pub const DECIDED_CHANGES_MAX: usize = 50_000;

/// One change of one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The operator's identifier of this change, the same on every resend.
    pub id: name::ChangeId,
    /// What is changed.
    pub key: object::ObjectKey,
    /// Revision at which the operator saw the object, 0 where it must not exist yet.
    /// `None` changes it whatever it is now.
    pub expected_revision: Option<Revision>,
    /// The new object, or `None` to remove it.
    pub object: Option<object::Object>,
}

impl Change {
    /// Digest of everything but the identifier, to tell a resend from another change that was
    /// given the same identifier by mistake.
    pub fn body_digest(&self) -> digest::Digest {
        digest::Digest::of_value(&(&self.key, &self.expected_revision, &self.object))
    }
}

/// Why a change was refused. A refused change has not been made and never will be.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// Somebody else changed the object first; here is what stands now.
    Conflict {
        /// Revision of the object now, 0 where it does not exist.
        present_revision: Revision,
        /// The object now.
        present: Option<object::Object>,
    },
    /// Two placements would claim one instance.
    Ambiguous {
        /// The instance that both would claim.
        instance: name::InstanceName,
        /// The placement that claims it already.
        placement: name::SelectorName,
    },
    /// The object's shape does not belong under this key.
    WrongKind,
    /// A placement names a version that nobody registered.
    UnknownVersion {
        /// Digest of the version's manifest.
        version: digest::Digest,
    },
    /// A version never changes its meaning once it was accepted.
    VersionIsFixed,
    /// A placement still names the version that was to be removed.
    VersionInUse {
        /// The placement that names it.
        placement: name::SelectorName,
    },
    /// The change id was used before for another change.
    IdReused,
    /// The configuration holds as many objects as it may.
    TooManyObjects,
    /// The object holds more labels than it may.
    TooManyLabels,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// It was made at this revision.
    Accepted {
        /// The revision that the change brought about.
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

/// What a change id is known for.
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The id is new.
    New,
    /// This very change was decided before.
    Decided(Decision),
    /// Another change carried this id.
    OtherBody,
}

/// Bounded memory of decided changes, oldest forgotten first.
///
/// Without it a resend after a lost answer would be judged against its own effect and be refused
/// as a conflict, and the operator would believe that somebody else had won.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct DecidedChanges {
    decided: collections::BTreeMap<name::ChangeId, DecidedChange>,
    order: collections::VecDeque<name::ChangeId>,
}

impl DecidedChanges {
    /// Looks a change up by its id.
    pub fn lookup(&self, change: &Change) -> Lookup {
        match self.decided.get(&change.id) {
            None => Lookup::New,
            Some(seen) if seen.body == change.body_digest() => {
                Lookup::Decided(seen.decision.clone())
            }
            Some(_) => Lookup::OtherBody,
        }
    }

    /// Remembers a decision and forgets the oldest beyond the bound.
    pub fn record(&mut self, change: &Change, decision: Decision) {
        let remembered = DecidedChange { body: change.body_digest(), decision };
        if self.decided.insert(change.id.clone(), remembered).is_none() {
            self.order.push_back(change.id.clone());
        }
        while self.order.len() > DECIDED_CHANGES_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.decided.remove(&oldest);
            }
        }
    }

    /// How many decisions are remembered.
    pub fn len(&self) -> usize {
        self.decided.len()
    }

    /// Whether nothing was decided yet.
    pub fn is_empty(&self) -> bool {
        self.decided.is_empty()
    }
}
