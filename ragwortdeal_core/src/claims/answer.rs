//! Answers of operations, limited in size, as they are recorded for retries.

use std::fmt;

use serde::{Deserializer, Serializer, de};

use crate::digest;

/// Maximum length of a recorded content type; a longer one is of no use to a caller and dropped.
const CONTENT_TYPE_MAX_BYTES: usize = 256;

/// The answer of an operation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status code of the upstream's response.
    pub status: u16,
    /// Media type of the body as sent by the upstream.
    pub content_type: Option<String>,
    /// The body, or its length and hash.
    pub body: Body,
}

/// The body of an answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// The whole body.
    Kept(#[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")] Vec<u8>),
    /// The body exceeded the size limit. A retry learns that the operation ran and the hash of its
    /// body; a truncated body could be mistaken for a complete one.
    Dropped {
        /// Length of the body in bytes.
        len_bytes: u64,
        /// Hash of the body.
        digest: digest::Digest,
    },
}

impl Answer {
    /// Creates an answer with its whole body.
    pub fn new(status: u16, content_type: Option<&str>, body: &[u8]) -> Self {
        let content_type = content_type.map(ToOwned::to_owned);
        Self { status, content_type, body: Body::Kept(body.to_vec()) }
    }

    /// Replaces the body by its hash if it is longer than `max_bytes`.
    #[must_use]
    pub fn bounded(mut self, max_bytes: usize) -> Self {
        self.content_type = self.content_type.filter(|text| text.len() <= CONTENT_TYPE_MAX_BYTES);
        if let Body::Kept(bytes) = &self.body
            && bytes.len() > max_bytes
        {
            let len_bytes = bytes.len() as u64;
            self.body = Body::Dropped { len_bytes, digest: digest::Digest::of(bytes) };
        }
        self
    }
}

fn write_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

fn read_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_byte_buf(BytesVisitor)
}

/// Reads a byte string, or a list of numbers in formats without byte strings.
struct BytesVisitor;

impl<'de> de::Visitor<'de> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut list: A) -> Result<Vec<u8>, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = list.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}
