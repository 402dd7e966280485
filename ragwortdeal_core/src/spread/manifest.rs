//! What a version is made of: the hash of each chunk, and the hash over all of them.

use std::collections;

use snafu::{Snafu, ensure};

use crate::digest;

/// First bytes of the canonical encoding, so that it can never collide with another hashed thing.
const ENCODING_MAGIC: &[u8] = b"ragwortdeal manifest 1\n";

/// Most chunks of one version: bounds what an instance keeps per peer to 8 KiB.
pub const CHUNKS_MAX: usize = 65_536;

/// The chunks of one version. It is immutable, and its own hash is the version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "ManifestData", into = "ManifestData")]
pub struct Manifest {
    data: ManifestData,
    version: digest::Digest,
    algorithm: digest::Algorithm,
}

/// The fields of a manifest as they cross a border, not yet checked.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ManifestData {
    /// Length of every chunk but the last.
    pub chunk_bytes: u32,
    /// Length of the whole.
    pub size_bytes: u64,
    /// Hash of each chunk in order.
    pub chunks: Vec<digest::Digest>,
}

/// Why some fields are no manifest.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ManifestError {
    /// Nothing to spread.
    #[snafu(display("a manifest needs at least one byte and a chunk length above zero"))]
    Empty,
    /// The count of hashes does not fit the lengths.
    #[snafu(display("{size_bytes} bytes in chunks of {chunk_bytes} are not {chunks} chunks"))]
    WrongCount {
        /// Length of the whole.
        size_bytes: u64,
        /// Length of a chunk.
        chunk_bytes: u32,
        /// Hashes given.
        chunks: usize,
    },
    /// More chunks than [`CHUNKS_MAX`].
    #[snafu(display("a manifest has at most {CHUNKS_MAX} chunks, this one has {chunks}"))]
    TooMany {
        /// Hashes given.
        chunks: usize,
    },
}

/// What is wrong with a chunk that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ChunkFault {
    /// The manifest has no such chunk.
    #[snafu(display("the manifest has no such chunk"))]
    Unknown,
    /// The length is wrong: truncated or too long.
    #[snafu(display("the chunk has {len_bytes} bytes in place of {expected_bytes}"))]
    Length {
        /// Bytes that arrived.
        len_bytes: u64,
        /// Bytes that the manifest says.
        expected_bytes: u64,
    },
    /// The bytes differ from those that the manifest names.
    #[snafu(display("the chunk does not have the hash that the manifest names"))]
    Corrupt,
}

/// Proof that the bytes of one chunk have the hash that the manifest names.
///
/// Only [`Manifest::verify_chunk`] makes one, so a caller cannot report an unchecked chunk.
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

/// Proof that all bytes of a version are at hand and unchanged; an engine may load them.
///
/// Only [`Manifest::verify_version`] makes one: it is the gate in front of the order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedVersion {
    version: digest::Digest,
}

impl VerifiedVersion {
    /// The version that was checked.
    pub fn version(&self) -> digest::Digest {
        self.version
    }
}

/// Why a staged set of chunks is not the version.
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
    /// Checks the fields and computes the version.
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

    /// A manifest that an origin published under a version and hash function of its own.
    pub fn with_version(
        version: digest::Digest,
        algorithm: digest::Algorithm,
        data: ManifestData,
    ) -> Result<Self, ManifestError> {
        let Self { data, .. } = Self::new(data)?;
        Ok(Self { data, version, algorithm })
    }

    /// Cuts bytes into chunks and hashes them.
    pub fn of_bytes(bytes: &[u8], chunk_bytes: u32) -> Result<Self, ManifestError> {
        ensure!(chunk_bytes > 0, EmptySnafu);
        let chunks = bytes.chunks(chunk_bytes as usize).map(digest::Digest::of).collect();
        Self::new(ManifestData { chunk_bytes, size_bytes: bytes.len() as u64, chunks })
    }

    /// The hash over the canonical encoding. Another chunk, order or length is another version.
    pub fn version(&self) -> digest::Digest {
        self.version
    }

    /// The hashes of the chunks in order.
    pub fn chunks(&self) -> &[digest::Digest] {
        &self.data.chunks
    }

    /// Length of the whole.
    pub fn size_bytes(&self) -> u64 {
        self.data.size_bytes
    }

    /// Length of every chunk but the last.
    pub fn chunk_bytes(&self) -> u32 {
        self.data.chunk_bytes
    }

    /// Where a chunk starts in the whole and how long it is.
    pub fn range_bytes(&self, chunk: u32) -> Option<(u64, u64)> {
        if chunk as usize >= self.data.chunks.len() {
            return None;
        }
        let start = u64::from(chunk) * u64::from(self.data.chunk_bytes);
        let len = (self.data.size_bytes - start).min(u64::from(self.data.chunk_bytes));
        Some((start, len))
    }

    /// Checks one chunk on its arrival.
    pub fn verify_chunk(&self, chunk: u32, bytes: &[u8]) -> Result<VerifiedChunk, ChunkFault> {
        let (_, expected_bytes) = self.range_bytes(chunk).ok_or(ChunkFault::Unknown)?;
        let len_bytes = bytes.len() as u64;
        ensure!(len_bytes == expected_bytes, LengthSnafu { len_bytes, expected_bytes });
        let expected = self.data.chunks[chunk as usize];
        ensure!(self.algorithm.hash(bytes) == expected, CorruptSnafu);
        Ok(VerifiedChunk { version: self.version, chunk })
    }

    /// Checks all chunks, in order, as they are staged.
    ///
    /// Each chunk was checked on arrival, but memory may have been reused or a staged file
    /// changed since; without this check the engine would load mixed weights unnoticed.
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
