//! A receiver's copy of the configuration, which only ever moves upwards.

use snafu::Snafu;

use super::{Revision, delta, object};

/// Why an update could not be applied. The receiver asks for the whole state instead.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// Steps between what is held and what was sent are missing.
    #[snafu(display("the update builds on revision {from_revision}, held is {held_revision}"))]
    Gap {
        /// Revision held.
        held_revision: Revision,
        /// Revision on which the update builds.
        from_revision: Revision,
    },
    /// The state after the update has another digest than the sender's.
    #[snafu(display("the state at revision {revision} has another digest than its sender's"))]
    DigestMismatch {
        /// Revision at which the states differ.
        revision: Revision,
    },
}

/// The configuration as far as this process has learned it.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: Revision,
    objects: object::Objects,
    digest: delta::SetDigest,
}

impl Replica {
    /// The revision that is in force here.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All objects in force here.
    pub fn objects(&self) -> &object::Objects {
        &self.objects
    }

    /// Digest of all objects, to compare with a peer's.
    pub fn digest(&self) -> delta::SetDigest {
        self.digest
    }

    /// The whole state, for a receiver that lacks steps.
    pub fn snapshot(&self) -> delta::Update {
        let objects = self.objects.iter().map(|(key, stored)| (key.clone(), stored.clone()));
        delta::Update::Snapshot(delta::Snapshot {
            revision: self.revision,
            objects: objects.collect(),
            digest: self.digest.value(),
        })
    }

    /// Applies an update. Returns whether the revision rose.
    ///
    /// An update that is older than what is held is passed over: a delayed or stale sender must
    /// never take an accepted change back.
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
        let mut next = self.clone();
        for step in delta.steps.iter().filter(|step| step.revision > held_revision) {
            if step.revision != next.revision + 1 {
                let from_revision = step.revision - 1;
                return Err(ApplyError::Gap { held_revision, from_revision });
            }
            next.apply_step(step);
        }
        if next.revision == held_revision {
            return Ok(false);
        }
        if next.digest.value() != delta.digest {
            return Err(ApplyError::DigestMismatch { revision: next.revision });
        }
        *self = next;
        Ok(true)
    }

    fn apply_step(&mut self, step: &delta::Step) {
        self.revision = step.revision;
        let old = match &step.object {
            Some(object) => {
                let stored = object::Stored { object: object.clone(), revision: step.revision };
                self.digest.toggle(&step.key, &stored);
                self.objects.insert(step.key.clone(), stored)
            }
            None => self.objects.remove(&step.key),
        };
        if let Some(old) = old {
            self.digest.toggle(&step.key, &old);
        }
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
