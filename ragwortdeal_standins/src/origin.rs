//! The origin of weights: a store whose link carries a stated number of bytes a second.

use std::{
    collections, io, net,
    sync::{self, atomic},
    time,
};

use ragwortdeal_core::{digest, spread::manifest};
use tokio::sync::Mutex;

use crate::http;

/// A version to serve.
#[derive(Clone, Debug)]
pub struct Weights {
    /// Its manifest.
    pub manifest: manifest::Manifest,
    /// Its chunks in order.
    pub chunks: Vec<bytes::Bytes>,
}

impl Weights {
    /// Makes weights of the given size from a seed, the same for the same seed.
    ///
    /// # Panics
    ///
    /// Where the size or the chunk length is zero.
    pub fn of_seed(seed: u64, size_bytes: usize, chunk_bytes: u32) -> Self {
        let mut bytes = vec![0; size_bytes];
        let mut reader = blake3::Hasher::new().update(&seed.to_le_bytes()).finalize_xof();
        reader.fill(&mut bytes);
        let manifest = manifest::Manifest::of_bytes(&bytes, chunk_bytes);
        let manifest = manifest.expect("test weights have a size and a chunk length");
        let bytes = bytes::Bytes::from(bytes);
        let cut = |start: usize| bytes.slice(start..bytes.len().min(start + chunk_bytes as usize));
        let chunks = (0..bytes.len()).step_by(chunk_bytes as usize).map(cut).collect();
        Self { manifest, chunks }
    }

    /// The same weights but for one chunk, as after a small update.
    ///
    /// # Panics
    ///
    /// Where there is no such chunk.
    pub fn with_changed_chunk(&self, chunk: usize) -> Self {
        let mut chunks = self.chunks.clone();
        let mut changed = chunks[chunk].to_vec();
        changed[0] ^= 1;
        chunks[chunk] = changed.into();
        let manifest = manifest::Manifest::of_bytes(&chunks.concat(), self.manifest.chunk_bytes());
        Self { manifest: manifest.expect("as long as the manifest before"), chunks }
    }

    /// Digest of the manifest.
    pub fn version(&self) -> digest::Digest {
        self.manifest.version()
    }
}

/// How the origin misbehaves.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Chunks whose first byte is wrong for the next so many requests.
    pub corrupt_next: u64,
    /// Requests that are answered with an error.
    pub fail_next: u64,
}

#[derive(Debug)]
struct Shared {
    chunks: sync::Mutex<collections::HashMap<digest::Digest, bytes::Bytes>>,
    manifests: sync::Mutex<collections::HashMap<digest::Digest, manifest::Manifest>>,
    served_bytes: atomic::AtomicU64,
    rate_bytes_per_s: u64,
    free_at: Mutex<time::Instant>,
    faults: sync::Mutex<Faults>,
}

/// A running origin.
#[derive(Debug)]
pub struct Origin {
    shared: sync::Arc<Shared>,
    server: http::Server,
}

impl Origin {
    /// Starts an origin whose link carries that many bytes a second.
    pub async fn start(rate_bytes_per_s: u64) -> io::Result<Self> {
        Self::start_at(http::any_port(), rate_bytes_per_s).await
    }

    /// Starts an origin on an address.
    pub async fn start_at(address: net::SocketAddr, rate_bytes_per_s: u64) -> io::Result<Self> {
        let shared = sync::Arc::new(Shared {
            chunks: sync::Mutex::default(),
            manifests: sync::Mutex::default(),
            served_bytes: atomic::AtomicU64::new(0),
            rate_bytes_per_s,
            free_at: Mutex::new(time::Instant::now()),
            faults: sync::Mutex::default(),
        });
        let answering = shared.clone();
        let server = http::serve(address, move |request| {
            let shared = answering.clone();
            async move { shared.answer(request.uri().path()).await }
        });
        Ok(Self { shared, server: server.await? })
    }

    /// Offers a version.
    pub fn offer(&self, weights: &Weights) {
        let mut manifests = self.shared.manifests.lock().expect("no panic under lock");
        manifests.insert(weights.version(), weights.manifest.clone());
        let mut chunks = self.shared.chunks.lock().expect("no panic under lock");
        for chunk in &weights.chunks {
            chunks.insert(digest::Digest::of(chunk), chunk.clone());
        }
    }

    /// Sets how the origin misbehaves from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock().expect("no panic under lock") = faults;
    }

    /// Its address.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Bytes of chunks that left it.
    pub fn served_bytes(&self) -> u64 {
        self.shared.served_bytes.load(atomic::Ordering::Relaxed)
    }
}

impl Shared {
    async fn answer(&self, path: &str) -> http::Response {
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let found = match parts[..] {
            ["manifests", digest] => self.manifest(digest),
            ["chunks", digest] => self.chunk(digest),
            _ => None,
        };
        let Some((content_type, mut bytes)) = found else {
            return http::respond(404, "text/plain", "no such thing");
        };
        if take_one(&mut self.faults.lock().expect("no panic under lock").fail_next) {
            return http::respond(500, "text/plain", "told to fail");
        }
        if take_one(&mut self.faults.lock().expect("no panic under lock").corrupt_next) {
            let mut changed = bytes.to_vec();
            changed[0] ^= 1;
            bytes = changed.into();
        }
        self.pace(bytes.len()).await;
        self.served_bytes.fetch_add(bytes.len() as u64, atomic::Ordering::Relaxed);
        http::respond(200, content_type, bytes)
    }

    fn manifest(&self, digest: &str) -> Option<(&'static str, bytes::Bytes)> {
        let digest = digest.parse().ok()?;
        let manifests = self.manifests.lock().expect("no panic under lock");
        let bytes = serde_json::to_vec(manifests.get(&digest)?).ok()?;
        Some(("application/json", bytes.into()))
    }

    fn chunk(&self, digest: &str) -> Option<(&'static str, bytes::Bytes)> {
        let digest = digest.parse().ok()?;
        let chunks = self.chunks.lock().expect("no panic under lock");
        Some(("application/octet-stream", chunks.get(&digest)?.clone()))
    }

    /// Holds an answer back until the link would have carried it.
    async fn pace(&self, len_bytes: usize) {
        let needed = len_bytes as f64 / self.rate_bytes_per_s as f64;
        let mut free_at = self.free_at.lock().await;
        let done_at = (*free_at).max(time::Instant::now()) + time::Duration::from_secs_f64(needed);
        *free_at = done_at;
        drop(free_at);
        tokio::time::sleep_until(done_at.into()).await;
    }
}

fn take_one(count: &mut u64) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
