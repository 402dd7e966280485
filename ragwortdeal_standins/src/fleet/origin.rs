//! A stand-in for the origin of weights.

use std::{io, net, sync, sync::atomic};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body, server::conn::http1, service};
use hyper_util::rt;
use ragwortdeal_node::http;
use sha2::Digest as _;
use tokio::{net as tokio_net, task};

/// Chunks of each version.
pub const CHUNKS: u32 = 6;

/// Bytes of a chunk.
pub const CHUNK_BYTES: u32 = 2_048;

/// Chunks of a version, different for each.
pub fn chunks(version: u64) -> Vec<Bytes> {
    let chunk = |number: u32| {
        let seed = version as u32 * 131 + number * 17;
        let bytes = (0..CHUNK_BYTES).map(|at| (seed.wrapping_mul(at + 7) >> 3) as u8);
        bytes.collect::<Vec<u8>>().into()
    };
    (0..CHUNKS).map(chunk).collect()
}

/// Hashes of a version's chunks.
pub fn hashes(version: u64) -> Vec<[u8; 32]> {
    chunks(version).iter().map(|chunk| sha2::Sha256::digest(chunk).into()).collect()
}

/// An origin and what it sent.
#[derive(Debug)]
pub struct Origin {
    /// Its address.
    pub address: net::SocketAddrV4,
    sent_chunks: atomic::AtomicU64,
    spoil: atomic::AtomicU64,
    lost: atomic::AtomicBool,
}

impl Origin {
    /// Starts an origin.
    pub async fn start(address: net::SocketAddrV4) -> sync::Arc<Self> {
        let listener = tokio_net::TcpListener::bind(address).await.expect("a free address");
        let origin = sync::Arc::new(Self {
            address,
            sent_chunks: atomic::AtomicU64::new(0),
            spoil: atomic::AtomicU64::new(0),
            lost: atomic::AtomicBool::new(false),
        });
        let accepting = origin.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if accepting.lost.load(atomic::Ordering::Relaxed) {
                    continue;
                }
                let origin = accepting.clone();
                task::spawn(async move {
                    let service = service::service_fn(move |request| {
                        let answer = origin.answer(&request);
                        async move { Ok::<_, io::Error>(answer) }
                    });
                    let stream = rt::TokioIo::new(stream);
                    // A connection that breaks is the agent's matter.
                    let _ = http1::Builder::new().serve_connection(stream, service).await;
                });
            }
        });
        origin
    }

    /// Chunks that were sent.
    pub fn sent_chunks(&self) -> u64 {
        self.sent_chunks.load(atomic::Ordering::Relaxed)
    }

    /// Closes every connection from now on, or serves again.
    pub fn lose(&self, lost: bool) {
        self.lost.store(lost, atomic::Ordering::Relaxed);
    }

    /// Spoils the next chunks that are sent.
    pub fn spoil(&self, chunks: u64) {
        self.spoil.store(chunks, atomic::Ordering::Relaxed);
    }

    fn answer(
        &self,
        request: &Request<body::Incoming>,
    ) -> Response<UnsyncBoxBody<Bytes, io::Error>> {
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok())
        };
        let version = number("version=").unwrap_or(1);
        if request.uri().path().starts_with("/manifest/") {
            let hex = |hash: &[u8; 32]| hash.iter().map(|byte| format!("{byte:02x}")).collect();
            let digests: Vec<String> = hashes(version).iter().map(hex).collect();
            let manifest = serde_json::json!({
                "model": "model-a", "version": version, "chunk-bytes": CHUNK_BYTES, "layers": 2,
                "digests": digests,
            });
            return http::respond(200, "application/json", http::full(manifest.to_string()));
        }
        self.sent_chunks.fetch_add(1, atomic::Ordering::Relaxed);
        let chunk = chunks(version).get(number("number=").unwrap_or(0) as usize).cloned();
        let spoilt =
            self.spoil.fetch_update(atomic::Ordering::Relaxed, atomic::Ordering::Relaxed, |left| {
                left.checked_sub(1)
            });
        match (chunk, spoilt) {
            (Some(chunk), Ok(_)) => {
                let mut bytes = chunk.to_vec();
                bytes[0] ^= 1;
                http::respond(200, "application/octet-stream", http::full(bytes))
            }
            (Some(chunk), Err(_)) => {
                http::respond(200, "application/octet-stream", http::full(chunk))
            }
            (None, _) => http::respond(404, "text/plain", http::full("")),
        }
    }
}
