//! The voters' state machine: validates committed changes and keeps recent steps for receivers.

use std::collections;

use crate::{labels, name};

use super::{Revision, change, delta, intent, object};

/// Recent steps that are kept for receivers that are slightly behind. At 22,000 changes a day this
/// covers more than four hours; a receiver that is further behind gets a snapshot.
pub const RECENT_STEPS_MAX: usize = 4_096;

/// Objects at most: twice the instances, models, services and accounts of the target size.
pub const OBJECTS_MAX: usize = 20_000;

/// The configuration with everything needed to validate the next change.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct State {
    revision: Revision,
    #[serde(with = "pairs")]
    objects: object::Objects,
    digest: delta::SetDigest,
    #[serde(rename = "memory")]
    decided: change::DecidedChanges,
    recent: collections::VecDeque<delta::Step>,
}

/// Serialises a map as a list of pairs, because not every format allows keys other than strings.
mod pairs {
    use serde::Deserialize as _;

    use super::object;

    pub(super) fn serialize<S: serde::Serializer>(
        objects: &object::Objects,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(objects)
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<object::Objects, D::Error> {
        let pairs = Vec::<(object::ObjectKey, object::Stored)>::deserialize(deserializer)?;
        Ok(pairs.into_iter().collect())
    }
}

impl State {
    /// The revision of the last accepted change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All objects.
    pub fn objects(&self) -> &object::Objects {
        &self.objects
    }

    /// Applies one committed change. The decision is the same on every voter and on every retry.
    pub fn apply(&mut self, change: &change::Change) -> change::Decision {
        match self.decided.lookup(change) {
            change::Lookup::Decided(decision) => return decision,
            change::Lookup::OtherBody => {
                return change::Decision::Refused(change::Refusal::IdReused);
            }
            change::Lookup::New => (),
        }
        let decision = match self.validate(change) {
            Ok(()) => change::Decision::Accepted { revision: self.commit(change) },
            Err(refusal) => change::Decision::Refused(refusal),
        };
        self.decided.record(change, decision.clone());
        decision
    }

    /// The update for a receiver at that revision, or `None` if it is up to date.
    pub fn update_since(&self, held_revision: Revision) -> Option<delta::Update> {
        if held_revision >= self.revision {
            return None;
        }
        let missing = (self.revision - held_revision) as usize;
        if missing > self.recent.len() {
            return Some(delta::Update::Snapshot(self.snapshot()));
        }
        let skipped = self.recent.len() - missing;
        let steps = self.recent.iter().skip(skipped).cloned().collect();
        let digest = self.digest.value();
        Some(delta::Update::Delta(delta::Delta { from_revision: held_revision, steps, digest }))
    }

    /// A delta without steps, which tells a receiver that it is up to date with this voter.
    pub fn empty_delta(&self) -> delta::Update {
        let (from_revision, digest) = (self.revision, self.digest.value());
        delta::Update::Delta(delta::Delta { from_revision, steps: Vec::new(), digest })
    }

    /// The whole state for a receiver.
    pub fn snapshot(&self) -> delta::Snapshot {
        let objects = self.objects.iter().map(|(key, stored)| (key.clone(), stored.clone()));
        delta::Snapshot {
            revision: self.revision,
            objects: objects.collect(),
            digest: self.digest.value(),
        }
    }

    fn validate(&self, change: &change::Change) -> Result<(), change::Refusal> {
        let present = self.objects.get(&change.key);
        let present_revision = present.map_or(0, |stored| stored.revision);
        if change.expected_revision.is_some_and(|expected| expected != present_revision) {
            let present = present.map(|stored| stored.object.clone());
            return Err(change::Refusal::Conflict { present_revision, present });
        }
        match &change.object {
            Some(object) => self.validate_object(&change.key, object, present),
            None => self.validate_removal(&change.key),
        }
    }

    fn validate_object(
        &self,
        key: &object::ObjectKey,
        object: &object::Object,
        present: Option<&object::Stored>,
    ) -> Result<(), change::Refusal> {
        if !object.matches_key(key) {
            return Err(change::Refusal::WrongKind);
        }
        if present.is_none() && self.objects.len() >= OBJECTS_MAX {
            return Err(change::Refusal::TooManyObjects);
        }
        match (key, object) {
            (object::ObjectKey::Version(_), new) => match present {
                Some(stored) if stored.object != *new => Err(change::Refusal::VersionIsFixed),
                _ => Ok(()),
            },
            (object::ObjectKey::Placement(name), object::Object::Placement(placement)) => {
                self.validate_placement(name, placement)
            }
            (object::ObjectKey::Instance(name), object::Object::Labels(labels)) => {
                check_label_count(labels)?;
                self.validate_instance(name, labels)
            }
            (_, object::Object::Labels(labels)) => check_label_count(labels),
            _ => Ok(()),
        }
    }

    fn validate_placement(
        &self,
        name: &name::SelectorName,
        placement: &object::Placement,
    ) -> Result<(), change::Refusal> {
        let version = placement.version;
        if !self.objects.contains_key(&object::ObjectKey::Version(version)) {
            return Err(change::Refusal::UnknownVersion { version });
        }
        for (instance, labels) in instances(&self.objects) {
            let labels = object::with_name(Some(labels), instance);
            if !placement.instances.matches(&labels) {
                continue;
            }
            let other = intent::placements(&self.objects)
                .find(|(other, it)| *other != name && it.instances.matches(&labels));
            if let Some((other, _)) = other {
                return Err(ambiguous(instance, other));
            }
        }
        Ok(())
    }

    fn validate_instance(
        &self,
        instance: &name::InstanceName,
        labels: &labels::Labels,
    ) -> Result<(), change::Refusal> {
        let labels = object::with_name(Some(labels), instance);
        let mut selecting =
            intent::placements(&self.objects).filter(|(_, it)| it.instances.matches(&labels));
        selecting.next();
        match selecting.next() {
            Some((second, _)) => Err(ambiguous(instance, second)),
            None => Ok(()),
        }
    }

    fn validate_removal(&self, key: &object::ObjectKey) -> Result<(), change::Refusal> {
        let object::ObjectKey::Version(version) = key else {
            return Ok(());
        };
        match intent::placements(&self.objects).find(|(_, it)| it.version == *version) {
            Some((name, _)) => Err(change::Refusal::VersionInUse { placement: name.clone() }),
            None => Ok(()),
        }
    }

    fn commit(&mut self, change: &change::Change) -> Revision {
        self.revision += 1;
        let revision = self.revision;
        let old = match &change.object {
            Some(object) => {
                let stored = object::Stored { object: object.clone(), revision };
                self.digest.toggle(&change.key, &stored);
                self.objects.insert(change.key.clone(), stored)
            }
            None => self.objects.remove(&change.key),
        };
        if let Some(old) = old {
            self.digest.toggle(&change.key, &old);
        }
        let step = delta::Step { revision, key: change.key.clone(), object: change.object.clone() };
        self.recent.push_back(step);
        if self.recent.len() > RECENT_STEPS_MAX {
            self.recent.pop_front();
        }
        revision
    }
}

fn instances(
    objects: &object::Objects,
) -> impl Iterator<Item = (&name::InstanceName, &labels::Labels)> {
    objects.iter().filter_map(|(key, stored)| match (key, &stored.object) {
        (object::ObjectKey::Instance(name), object::Object::Labels(labels)) => Some((name, labels)),
        _ => None,
    })
}

fn ambiguous(instance: &name::InstanceName, placement: &name::SelectorName) -> change::Refusal {
    change::Refusal::Ambiguous { instance: instance.clone(), placement: placement.clone() }
}

fn check_label_count(labels: &labels::Labels) -> Result<(), change::Refusal> {
    if labels.len() > labels::LABELS_MAX {
        return Err(change::Refusal::TooManyLabels);
    }
    Ok(())
}
