//! A receiver's copy of the configuration, whose revision only increases.

use std::collections;

use snafu::Snafu;

use super::{Revision, delta, object};

/// Why an update could not be applied. The receiver then requests a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// Steps between the held revision and the update are missing.
    #[snafu(display("the update builds on revision {from_revision}, held is {held_revision}"))]
    Gap {
        /// Revision held.
        held_revision: Revision,
        /// Revision before the update.
        from_revision: Revision,
    },
    /// The state after the update has another digest than the sender's.
    #[snafu(display("the state at revision {revision} has another digest than its sender's"))]
    DigestMismatch {
        /// Revision at which the states differ.
        revision: Revision,
    },
}

/// The configuration as replicated to this process.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: Revision,
    objects: object::Objects,
    digest: delta::SetDigest,
}

impl Replica {
    /// The held revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All objects at the held revision.
    pub fn objects(&self) -> &object::Objects {
        &self.objects
    }

    /// Digest of all objects, to compare with a peer's.
    pub fn digest(&self) -> delta::SetDigest {
        self.digest
    }

    /// The whole state, for a receiver that is too far behind for a delta.
    pub fn snapshot(&self) -> delta::Update {
        let objects = self.objects.iter().map(|(key, stored)| (key.clone(), stored.clone()));
        delta::Update::Snapshot(delta::Snapshot {
            revision: self.revision,
            objects: objects.collect(),
            digest: self.digest.value(),
        })
    }

    /// Applies an update. Returns whether the revision increased.
    ///
    /// An update that is not newer than the held revision is ignored: a delayed or stale sender must
    /// never revert an accepted change.
    pub fn apply(&mut self, update: &delta::Update) -> Result<bool, ApplyError> {
        match update {
            delta::Update::Delta(delta) => self.apply_delta(delta),
            delta::Update::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        }
    }

    fn apply_delta(&mut self, delta: &delta::Delta) -> Result<bool, ApplyError> {
        let held_revision = self.revision;
        if delta.from_revision > held_revision {
            return Err(ApplyError::Gap { held_revision, from_revision: delta.from_revision });
        }
        let steps = delta.steps.iter().filter(|step| step.revision > held_revision);
        let mut pending = Pending::new(self);
        for step in steps {
            if step.revision != pending.revision + 1 {
                let from_revision = step.revision - 1;
                return Err(ApplyError::Gap { held_revision, from_revision });
            }
            pending.add(step);
        }
        if pending.revision == held_revision {
            return Ok(false);
        }
        if pending.digest.value() != delta.digest {
            return Err(ApplyError::DigestMismatch { revision: pending.revision });
        }
        let Pending { revision, digest, changed, .. } = pending;
        for (key, stored) in changed {
            match stored {
                Some(stored) => self.objects.insert(key.clone(), stored),
                None => self.objects.remove(key),
            };
        }
        (self.revision, self.digest) = (revision, digest);
        Ok(true)
    }

    fn apply_snapshot(&mut self, snapshot: &delta::Snapshot) -> Result<bool, ApplyError> {
        if snapshot.revision <= self.revision {
            return Ok(false);
        }
        let objects: object::Objects = snapshot.objects.iter().cloned().collect();
        let digest = delta::SetDigest::of(&objects);
        if digest.value() != snapshot.digest {
            return Err(ApplyError::DigestMismatch { revision: snapshot.revision });
        }
        *self = Self { revision: snapshot.revision, objects, digest };
        Ok(true)
    }
}

/// The effect of a delta. Its digest is computed before anything is changed, so that a delta with
/// another digest has no effect, without copying the whole configuration.
struct Pending<'r, 'd> {
    held: &'r object::Objects,
    revision: Revision,
    digest: delta::SetDigest,
    changed: collections::BTreeMap<&'d object::ObjectKey, Option<object::Stored>>,
}

impl<'r, 'd> Pending<'r, 'd> {
    fn new(replica: &'r Replica) -> Self {
        Self {
            held: &replica.objects,
            revision: replica.revision,
            digest: replica.digest,
            changed: collections::BTreeMap::new(),
        }
    }

    fn add(&mut self, step: &'d delta::Step) {
        self.revision = step.revision;
        let old = match self.changed.get(&step.key) {
            Some(pending) => pending.as_ref(),
            None => self.held.get(&step.key),
        };
        if let Some(old) = old {
            self.digest.toggle(&step.key, old);
        }
        let new = step.object.clone();
        let new = new.map(|object| object::Stored { object, revision: step.revision });
        if let Some(new) = &new {
            self.digest.toggle(&step.key, new);
        }
        self.changed.insert(&step.key, new);
    }
}
