//! The document and the named weights as kept in the voters' log.

use std::{collections, sync};

use super::{Version, evacuation};
use crate::dispatch::isolation::verdicts;

/// A document as it was received, opaque to the log.
///
/// The bytes are kept so that a reader gets back exactly what the operator sent, including fields
/// that this program does not know.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredDocument {
    /// Its version.
    pub version: Version,
    /// The compressed bytes.
    #[serde(with = "shared_bytes")]
    pub body: sync::Arc<[u8]>,
}

mod shared_bytes {
    use std::sync;

    use serde::de::Visitor;

    pub fn serialize<S: serde::Serializer>(
        bytes: &sync::Arc<[u8]>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    struct Bytes;

    impl<'de> Visitor<'de> for Bytes {
        type Value = sync::Arc<[u8]>;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Self::Value, E> {
            Ok(sync::Arc::from(bytes))
        }

        fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
            Ok(sync::Arc::from(bytes))
        }
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<sync::Arc<[u8]>, D::Error> {
        // Requests an owned buffer, because decoders lend only short ones.
        deserializer.deserialize_byte_buf(Bytes)
    }
}

/// A version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub model: String,
    /// Its version. Higher ones replace lower ones.
    pub version: u64,
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Step {
    /// Puts a document in force.
    Install(StoredDocument),
    /// Names a new version of weights.
    Name(ModelVersion),
    /// Records that the deadline has passed up to which older weights may be served.
    Due(ModelVersion),
    /// Records that a part of prompts is isolated or released.
    Isolate(verdicts::Verdict),
    /// Records that so many entries were connected at once.
    Entries(u32),
    /// Evacuates an availability zone, or ends that.
    Evacuate(evacuation::Evacuation),
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Store {
    /// The document with the highest version.
    pub document: Option<StoredDocument>,
    /// The highest named version of each model.
    pub weights: collections::BTreeMap<String, u64>,
    /// The lowest version of each model that may still be served. Ages of namings are lost when the
    /// processes that know them restart; this is not. Absent in older snapshots.
    #[serde(default)]
    pub due: collections::BTreeMap<String, u64>,
    /// Parts of prompts that end engines, which outlast a restart of all processes. Absent in older
    /// snapshots.
    #[serde(default)]
    pub verdicts: verdicts::Verdicts,
    /// The highest number of entries that were connected to a voter at once. Limits that all
    /// entries share are divided by it, so it must not be low while all processes start. Absent in
    /// older snapshots.
    #[serde(default)]
    pub entries: u32,
    /// Availability zones to which nothing more is sent. Absent in older snapshots.
    #[serde(default)]
    pub evacuations: evacuation::Evacuations,
}

impl Store {
    /// Applies a step. A step with an outdated version changes nothing, so that a delayed resend
    /// never reverts what was accepted after it.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Install(stored) => {
                if stored.version > self.version() {
                    self.document = Some(stored.clone());
                }
            }
            Step::Name(weights) => _ = raise(&mut self.weights, &weights.model, weights.version),
            Step::Due(weights) => _ = raise(&mut self.due, &weights.model, weights.version),
            Step::Isolate(verdict) => _ = self.verdicts.merge([verdict.clone()]),
            Step::Entries(count) => self.entries = self.entries.max(*count),
            Step::Evacuate(evacuation) => _ = self.evacuations.record(evacuation),
        }
    }

    /// Version of the document in force, 0 before the first.
    pub fn version(&self) -> Version {
        self.document.as_ref().map_or(0, |stored| stored.version)
    }

    /// Takes over everything that is newer in another store. Returns whether anything was.
    pub fn merge(&mut self, other: &Store) -> bool {
        let mut newer = false;
        if other.version() > self.version() {
            self.document = other.document.clone();
            newer = true;
        }
        for (model, version) in &other.weights {
            newer |= raise(&mut self.weights, model, *version);
        }
        for (model, version) in &other.due {
            newer |= raise(&mut self.due, model, *version);
        }
        newer |= !self.verdicts.merge(other.verdicts.all().cloned()).is_empty();
        newer |= other.entries > self.entries;
        self.entries = self.entries.max(other.entries);
        for evacuation in other.evacuations.all() {
            newer |= self.evacuations.record(evacuation);
        }
        newer
    }
}

/// Raises a version to a higher one. Returns whether it changed.
fn raise(held: &mut collections::BTreeMap<String, u64>, model: &str, version: u64) -> bool {
    let held = held.entry(model.to_owned()).or_default();
    let higher = version > *held;
    *held = version.max(*held);
    higher
}
