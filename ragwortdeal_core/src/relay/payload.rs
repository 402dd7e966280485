//! Shared bytes that are encoded as a byte string.

use std::{fmt, ops, sync};

use serde::de;

/// Immutable bytes, shared by all messages that carry them.
///
/// Without this type the encoder would write a list of numbers, up to twice as long.
#[derive(Clone, PartialEq, Eq)]
pub struct Payload(sync::Arc<[u8]>);

impl Payload {
    /// Shares the bytes.
    pub fn new(bytes: impl Into<sync::Arc<[u8]>>) -> Self {
        Self(bytes.into())
    }
}

impl ops::Deref for Payload {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({} bytes)", self.0.len())
    }
}

impl serde::Serialize for Payload {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> serde::Deserialize<'de> for Payload {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl de::Visitor<'_> for BytesVisitor {
    type Value = Payload;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Payload, E> {
        Ok(Payload::new(bytes))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Payload, E> {
        Ok(Payload::new(bytes))
    }
}
