//! Answers of operations, bounded in size, as they are recorded for resends.

use std::fmt;

use serde::{Deserializer, Serializer, de};

use crate::digest;

/// Longest content type that is kept; a longer one is dropped, for it steers no caller.
const CONTENT_TYPE_MAX_BYTES: usize = 256;

/// The whole answer of an operation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status that the upstream gave.
    pub status: u16,
    /// Media type of the body as the upstream gave it.
    pub content_type: Option<String>,
    /// The body or what is known of it.
    pub body: Body,
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// The whole body.
    Kept(#[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")] Vec<u8>),
    /// The body was longer than the bound. A resend learns that the operation ran and which body
    /// it had, because a cut body would look whole.
    Dropped {
        /// Length of the body in bytes.
        len_bytes: u64,
        /// Hash of the body.
        digest: digest::Digest,
    },
}

impl Answer {
    /// An answer with the whole body.
    pub fn new(status: u16, content_type: Option<&str>, body: &[u8]) -> Self {
        let content_type = content_type.map(ToOwned::to_owned);
        Self { status, content_type, body: Body::Kept(body.to_vec()) }
    }

    /// The answer with its body replaced by a hash where it is longer than the bound.
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

/// Reads bytes from compact formats and, where a format has none, from a list of numbers.
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
