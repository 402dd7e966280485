//! The document and the named weights as the voters' log keeps them.

use std::{collections, sync};

use super::Version;

/// A document as it was given, opaque to the log.
///
/// The bytes are kept so that a reader gets back exactly what the operator sent, also where it
/// holds fields that this program does not know.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredDocument {
    /// Its number.
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
        // Asked for as a buffer of its own: a decoder lends out short ones only.
        deserializer.deserialize_byte_buf(Bytes)
    }
}

/// Weights that are to be served: a model's newest version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub model: String,
    /// Its version; higher ones replace lower ones.
    pub version: u64,
}

/// A step of the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Step {
    /// Puts a document in force.
    Install(StoredDocument),
    /// Names new weights.
    Name(ModelVersion),
    /// Notes that the time in which older weights may be served is up.
    Due(ModelVersion),
}

/// What is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Store {
    /// The highest document.
    pub document: Option<StoredDocument>,
    /// The highest version of each model that was named.
    pub weights: collections::BTreeMap<String, u64>,
    /// The highest version of each model below which nothing may be served any more. Ages of namings
    /// are lost with the processes that remember them; this is not. Absent in older snapshots.
    #[serde(default)]
    pub due: collections::BTreeMap<String, u64>,
}

impl Store {
    /// Applies a step. One that a higher version has overtaken changes nothing: a delayed resend
    /// must never take back what was accepted after it.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Install(sealed) => {
                if sealed.version > self.version() {
                    self.document = Some(sealed.clone());
                }
            }
            Step::Name(weights) => _ = raise(&mut self.weights, &weights.model, weights.version),
            Step::Due(weights) => _ = raise(&mut self.due, &weights.model, weights.version),
        }
    }

    /// Version of the document in force, 0 before the first.
    pub fn version(&self) -> Version {
        self.document.as_ref().map_or(0, |sealed| sealed.version)
    }

    /// Takes over what is newer in another store. Returns whether anything was.
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
        newer
    }
}

/// Takes a version where it is higher than the one that is held. Returns whether it is.
fn raise(held: &mut collections::BTreeMap<String, u64>, model: &str, version: u64) -> bool {
    let held = held.entry(model.to_owned()).or_default();
    let higher = version > *held;
    *held = version.max(*held);
    higher
}
