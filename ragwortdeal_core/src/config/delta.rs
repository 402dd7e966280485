//! Deltas and snapshots by which a configuration reaches its receivers.

use crate::digest;

use super::{Revision, object};

/// One accepted change as receivers apply it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// Revision that this step brings about.
    pub revision: Revision,
    /// What it changes.
    pub key: object::ObjectKey,
    /// The new object, or `None` where it was removed.
    pub object: Option<object::Object>,
}

/// Consecutive steps with the digest of the state after the last of them.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// Revision on which the first step builds.
    pub from_revision: Revision,
    /// The steps in order, none left out.
    pub steps: Vec<Step>,
    /// Digest of all objects after the last step.
    pub digest: digest::Digest,
}

/// All objects at one revision, for a receiver that is too far behind for deltas.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Revision of the state.
    pub revision: Revision,
    /// All objects.
    pub objects: Vec<(object::ObjectKey, object::Stored)>,
    /// Digest of all objects.
    pub digest: digest::Digest,
}

/// What a receiver is sent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Update {
    /// Steps from the revision the receiver said it has.
    Delta(Delta),
    /// The whole state.
    Snapshot(Snapshot),
}

/// Digest of a set of objects that is cheap to keep up to date.
///
/// Each object's hash is combined by exclusive or, so a change costs two hashes whatever the size
/// of the configuration. It guards against gaps and bugs, not against a forger: all senders of
/// deltas hold the cluster's credential.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SetDigest([u8; digest::DIGEST_BYTES]);

impl SetDigest {
    /// Adds an object to the set, or takes it out again: the operation is its own inverse.
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

    /// The digest as it travels in deltas.
    pub fn value(&self) -> digest::Digest {
        digest::Digest::from_bytes(self.0)
    }
}
