//! The manifest of a version: the hash of each chunk, and the hash over all of them.

use std::collections;

use snafu::{Snafu, ensure};

use crate::digest;

/// Prefix of the canonical encoding, for domain separation from other hashed data.
const ENCODING_MAGIC: &[u8] = b"ragwortdeal manifest 1\n";

/// Maximum number of chunks of a version; bounds the bitmap that is kept per peer to 8 KiB.
pub const CHUNKS_MAX: usize = 65_536;

/// The immutable list of a version's chunks; its own hash identifies the version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "ManifestData", into = "ManifestData")]
pub struct Manifest {
    data: ManifestData,
    version: digest::Digest,
    algorithm: digest::Algorithm,
}

/// The fields of a manifest as they are sent and stored, not validated.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ManifestData {
    /// Length of every chunk but the last.
    pub chunk_bytes: u32,
    /// Total length.
    pub size_bytes: u64,
    /// Hash of each chunk in order.
    pub chunks: Vec<digest::Digest>,
}

/// Why fields do not form a valid manifest.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ManifestError {
    /// The content is empty, or the chunk length is zero.
    #[snafu(display("a manifest needs at least one byte and a chunk length above zero"))]
    Empty,
    /// The number of hashes does not match the lengths.
    #[snafu(display("{size_bytes} bytes in chunks of {chunk_bytes} are not {chunks} chunks"))]
    WrongCount {
        /// Total length.
        size_bytes: u64,
        /// Length of a chunk.
        chunk_bytes: u32,
        /// Number of hashes.
        chunks: usize,
    },
    /// More chunks than [`CHUNKS_MAX`].
    #[snafu(display("a manifest has at most {CHUNKS_MAX} chunks, this one has {chunks}"))]
    TooMany {
        /// Number of hashes.
        chunks: usize,
    },
}

/// What is wrong with a received chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ChunkFault {
    /// The manifest has no such chunk.
    #[snafu(display("the manifest has no such chunk"))]
    Unknown,
    /// The length is wrong: truncated or too long.
    #[snafu(display("the chunk has {len_bytes} bytes in place of {expected_bytes}"))]
    Length {
        /// Length that was received.
        len_bytes: u64,
        /// Length by the manifest.
        expected_bytes: u64,
    },
    /// The hash differs from the one in the manifest.
    #[snafu(display("the chunk does not have the hash that the manifest names"))]
    Corrupt,
}

/// Proof that the bytes of one chunk match their hash in the manifest.
///
/// Only [`Manifest::verify_chunk`] creates one, so a caller cannot report an unverified chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedChunk {
    version: digest::Digest,
    chunk: u32,
}

impl VerifiedChunk {
    /// The version whose chunk it is.
    pub fn version(&self) -> digest::Digest {
        self.version
    }

    /// The number of the chunk.
    pub fn chunk(&self) -> u32 {
        self.chunk
    }
}

/// Proof that all bytes of a version are present and unmodified, so an engine may load them.
///
/// Only [`Manifest::verify_version`] creates one; it guards the order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedVersion {
    version: digest::Digest,
}

impl VerifiedVersion {
    /// The version that was verified.
    pub fn version(&self) -> digest::Digest {
        self.version
    }
}

/// Why the staged chunks are not the version.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum VersionError {
    /// One chunk is wrong.
    #[snafu(display("chunk {chunk}: {source}"))]
    BadChunk {
        /// Number of the chunk.
        chunk: u32,
        /// What is wrong with it.
        source: ChunkFault,
    },
    /// Chunks are missing.
    #[snafu(display("only {present} of {expected} chunks are present"))]
    Missing {
        /// Chunks given.
        present: usize,
        /// Chunks of the manifest.
        expected: usize,
    },
}

impl Manifest {
    /// Validates the fields and computes the version.
    pub fn new(data: ManifestData) -> Result<Self, ManifestError> {
        let ManifestData { chunk_bytes, size_bytes, ref chunks } = data;
        let chunks = chunks.len();
        ensure!(chunk_bytes > 0 && size_bytes > 0, EmptySnafu);
        ensure!(chunks <= CHUNKS_MAX, TooManySnafu { chunks });
        let expected = size_bytes.div_ceil(u64::from(chunk_bytes));
        ensure!(chunks as u64 == expected, WrongCountSnafu { size_bytes, chunk_bytes, chunks });
        let version = digest::Digest::of(&encode(&data));
        Ok(Self { data, version, algorithm: digest::Algorithm::Blake3 })
    }

    /// Validates a manifest that an origin published under its own version and hash function.
    pub fn with_version(
        version: digest::Digest,
        algorithm: digest::Algorithm,
        data: ManifestData,
    ) -> Result<Self, ManifestError> {
        let Self { data, .. } = Self::new(data)?;
        Ok(Self { data, version, algorithm })
    }

    /// Splits bytes into chunks and hashes them.
    pub fn of_bytes(bytes: &[u8], chunk_bytes: u32) -> Result<Self, ManifestError> {
        ensure!(chunk_bytes > 0, EmptySnafu);
        let chunks = bytes.chunks(chunk_bytes as usize).map(digest::Digest::of).collect();
        Self::new(ManifestData { chunk_bytes, size_bytes: bytes.len() as u64, chunks })
    }

    /// The hash over the canonical encoding: any other chunk, order or length is another version.
    pub fn version(&self) -> digest::Digest {
        self.version
    }

    /// The hashes of the chunks in order.
    pub fn chunks(&self) -> &[digest::Digest] {
        &self.data.chunks
    }

    /// Total length.
    pub fn size_bytes(&self) -> u64 {
        self.data.size_bytes
    }

    /// Length of every chunk but the last.
    pub fn chunk_bytes(&self) -> u32 {
        self.data.chunk_bytes
    }

    /// Offset and length of a chunk within the version.
    pub fn range_bytes(&self, chunk: u32) -> Option<(u64, u64)> {
        if chunk as usize >= self.data.chunks.len() {
            return None;
        }
        let start = u64::from(chunk) * u64::from(self.data.chunk_bytes);
        let len = (self.data.size_bytes - start).min(u64::from(self.data.chunk_bytes));
        Some((start, len))
    }

    /// Verifies a received chunk.
    pub fn verify_chunk(&self, chunk: u32, bytes: &[u8]) -> Result<VerifiedChunk, ChunkFault> {
        let (_, expected_bytes) = self.range_bytes(chunk).ok_or(ChunkFault::Unknown)?;
        let len_bytes = bytes.len() as u64;
        ensure!(len_bytes == expected_bytes, LengthSnafu { len_bytes, expected_bytes });
        let expected = self.data.chunks[chunk as usize];
        ensure!(self.algorithm.hash(bytes) == expected, CorruptSnafu);
        Ok(VerifiedChunk { version: self.version, chunk })
    }

    /// Verifies all staged chunks, in order.
    ///
    /// Each chunk was verified on arrival, but memory may have been reused or a staged file
    /// modified since; without this check the engine could load mixed weights undetected.
    pub fn verify_version<'b, C>(&self, chunks: C) -> Result<VerifiedVersion, VersionError>
    where
        C: IntoIterator<Item = &'b [u8]>,
    {
        let mut present = 0usize;
        for bytes in chunks {
            let chunk = present as u32;
            let verified = self.verify_chunk(chunk, bytes);
            verified.map_err(|source| VersionError::BadChunk { chunk, source })?;
            present += 1;
        }
        let expected = self.data.chunks.len();
        ensure!(present == expected, MissingSnafu { present, expected });
        Ok(VerifiedVersion { version: self.version })
    }

    /// Pairs `(mine, theirs)` of chunk numbers with equal content, so that a chunk staged for the
    /// other version is not fetched again.
    pub fn shared_with(&self, other: &Manifest) -> Vec<(u32, u32)> {
        let numbered = other.data.chunks.iter().zip(0u32..);
        let theirs: collections::BTreeMap<_, _> = numbered.collect();
        let mine = self.data.chunks.iter().zip(0u32..);
        mine.filter_map(|(digest, chunk)| Some((chunk, *theirs.get(digest)?))).collect()
    }
}

/// The canonical encoding: fixed-width little-endian fields in a fixed order.
fn encode(data: &ManifestData) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64 + data.chunks.len() * digest::DIGEST_BYTES);
    bytes.extend_from_slice(ENCODING_MAGIC);
    bytes.extend_from_slice(&data.chunk_bytes.to_le_bytes());
    bytes.extend_from_slice(&data.size_bytes.to_le_bytes());
    bytes.extend_from_slice(&(data.chunks.len() as u64).to_le_bytes());
    data.chunks.iter().for_each(|chunk| bytes.extend_from_slice(chunk.as_bytes()));
    bytes
}

impl TryFrom<ManifestData> for Manifest {
    type Error = ManifestError;

    fn try_from(data: ManifestData) -> Result<Self, ManifestError> {
        Self::new(data)
    }
}

impl From<Manifest> for ManifestData {
    fn from(manifest: Manifest) -> ManifestData {
        manifest.data
    }
}
