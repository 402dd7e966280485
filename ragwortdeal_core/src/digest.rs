//! Content hashes of chunks and versions.

use std::{fmt, str};

use sha2::Digest as _;
use snafu::Snafu;

/// Length of a digest in bytes.
pub const DIGEST_BYTES: usize = 32;

/// The hash function of a digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Algorithm {
    /// The default, which is fast on every machine.
    #[default]
    Blake3,
    /// Published by many origins.
    Sha256,
}

impl Algorithm {
    /// Hashes the given bytes.
    pub fn hash(self, bytes: &[u8]) -> Digest {
        match self {
            Algorithm::Blake3 => Digest::of(bytes),
            Algorithm::Sha256 => Digest(sha2::Sha256::digest(bytes).into()),
        }
    }
}

/// A 256-bit hash, BLAKE3 unless stated otherwise, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

/// The text is not 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a digest is written as 64 hexadecimal digits"))]
pub struct DigestError;

impl Digest {
    /// Hashes the given bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Hashes the CBOR encoding of a value, which is the same in all programs of one release.
    ///
    /// # Panics
    ///
    /// Panics if the `Serialize` implementation itself fails, which those of this project's types
    /// never do.
    pub fn of_value<T: serde::Serialize>(value: &T) -> Self {
        let mut hasher = blake3::Hasher::new();
        ciborium::into_writer(value, &mut hasher).expect("own types encode into a hasher");
        Self(*hasher.finalize().as_bytes())
    }

    /// The raw 32 bytes.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// Wraps raw bytes that are known to be a hash.
    pub fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex()[..12])
    }
}

impl str::FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| DigestError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}
