//! Deltas and snapshots that carry the configuration to its receivers.

use crate::digest;

use super::{Revision, object};

/// One accepted change as receivers apply it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// Revision after this step.
    pub revision: Revision,
    /// Key of the changed object.
    pub key: object::ObjectKey,
    /// The new object, or `None` if it was removed.
    pub object: Option<object::Object>,
}

/// Consecutive steps with the digest of the state after the last of them.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// Revision before the first step.
    pub from_revision: Revision,
    /// The steps in order and without gaps.
    pub steps: Vec<Step>,
    /// Digest of all objects after the last step.
    pub digest: digest::Digest,
}

/// All objects at one revision, for a receiver that is too far behind for a delta.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Revision of the state.
    pub revision: Revision,
    /// All objects.
    pub objects: Vec<(object::ObjectKey, object::Stored)>,
    /// Digest of all objects.
    pub digest: digest::Digest,
}

/// An update for a receiver.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Update {
    /// The steps after the receiver's revision.
    Delta(Delta),
    /// The whole state.
    Snapshot(Snapshot),
}

/// Digest of a set of objects that can be updated incrementally.
///
/// The hashes of the objects are combined by exclusive or, so that a change costs two hashes
/// whatever the size of the configuration. It detects gaps and bugs but does not protect against
/// forgery: all senders of deltas hold the cluster's credential.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SetDigest([u8; digest::DIGEST_BYTES]);

impl SetDigest {
    /// Adds an object to the set, or removes it again: the operation is its own inverse.
    pub fn toggle(&mut self, key: &object::ObjectKey, stored: &object::Stored) {
        let item = digest::Digest::of_value(&(key, stored));
        for (byte, other) in self.0.iter_mut().zip(item.as_bytes()) {
            *byte ^= other;
        }
    }

    /// The digest of a whole set of objects.
    pub fn of(objects: &object::Objects) -> Self {
        let mut digest = Self::default();
        for (key, stored) in objects {
            digest.toggle(key, stored);
        }
        digest
    }

    /// The digest as it is sent in deltas and snapshots.
    pub fn value(&self) -> digest::Digest {
        digest::Digest::from_bytes(self.0)
    }
}
