//! Staged chunks in memory, bounded by the settings.

use std::collections;

use ragwortdeal_core::{digest, spread::manifest};
use snafu::Snafu;

/// The version does not fit beside what has to be kept.
#[derive(Debug, Snafu)]
#[snafu(display("staging {size_bytes} bytes would exceed the bound of {max_bytes} bytes"))]
pub struct TooLarge {
    size_bytes: u64,
    max_bytes: u64,
}

/// Chunks by digest, and the manifests of the versions they belong to.
///
/// Chunks are shared between versions, so an update fetches only what changed.
#[derive(Debug)]
pub(super) struct Store {
    max_bytes: u64,
    manifests: collections::BTreeMap<digest::Digest, manifest::Manifest>,
    chunks: collections::HashMap<digest::Digest, bytes::Bytes>,
    /// Versions by last use, the one to be given up first at the front.
    order: Vec<digest::Digest>,
}

impl Store {
    pub(super) fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            manifests: collections::BTreeMap::new(),
            chunks: collections::HashMap::new(),
            order: Vec::new(),
        }
    }

    /// Makes room for a version and keeps its chunks from now on. Versions that were used longest
    /// ago are given up first.
    pub(super) fn begin(&mut self, manifest: manifest::Manifest) -> Result<(), TooLarge> {
        let version = manifest.version();
        if manifest.size_bytes() > self.max_bytes {
            let (size_bytes, max_bytes) = (manifest.size_bytes(), self.max_bytes);
            return Err(TooLarge { size_bytes, max_bytes });
        }
        self.order.retain(|held| *held != version);
        self.order.push(version);
        self.manifests.insert(version, manifest);
        while self.planned_bytes() > self.max_bytes && self.order.len() > 1 {
            let oldest = self.order.remove(0);
            self.manifests.remove(&oldest);
            self.drop_unused();
        }
        Ok(())
    }

    /// Bytes of all chunks of all kept versions, each counted once.
    fn planned_bytes(&self) -> u64 {
        let mut seen = collections::HashSet::new();
        let mut total = 0;
        for manifest in self.manifests.values() {
            for (index, chunk) in manifest.chunks().iter().enumerate() {
                if seen.insert(*chunk) {
                    total += manifest.range_bytes(index as u32).map_or(0, |(_, len)| len);
                }
            }
        }
        total
    }

    fn drop_unused(&mut self) {
        let used: collections::HashSet<digest::Digest> = self
            .manifests
            .values()
            .flat_map(|manifest| manifest.chunks().iter().copied())
            .collect();
        self.chunks.retain(|chunk, _| used.contains(chunk));
    }

    pub(super) fn put(&mut self, chunk: digest::Digest, bytes: bytes::Bytes) {
        self.chunks.insert(chunk, bytes);
    }

    pub(super) fn chunk(&self, chunk: &digest::Digest) -> Option<bytes::Bytes> {
        self.chunks.get(chunk).cloned()
    }

    pub(super) fn manifest(&self, version: &digest::Digest) -> Option<&manifest::Manifest> {
        self.manifests.get(version)
    }

    /// The chunks of a version in order, if all are staged. They are shared, not copied.
    pub(super) fn staged(&self, version: &digest::Digest) -> Option<Vec<bytes::Bytes>> {
        let manifest = self.manifests.get(version)?;
        manifest.chunks().iter().map(|chunk| self.chunks.get(chunk).cloned()).collect()
    }
}
