//! Manifests, from peers or from the origin.

use bytes::Bytes;
use ragwortdeal_core::{digest, spread::manifest};

use super::{Agent, peers};
use crate::fleet::dialect;

/// How long a manifest may take.
const MANIFEST_MS: u64 = 2_000;

/// Largest manifest as it is sent.
const MANIFEST_MAX_BYTES: usize = 8 << 20;

/// Asks for the connection to be closed after the answer. An origin takes few connections, and kept
/// ones of many agents that have nothing to ask would shut out those that draw.
pub(super) fn closing(request: hyper::http::request::Builder) -> hyper::http::request::Builder {
    request.header("connection", "close")
}

/// A version of weights, as it is named.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Weights {
    pub(super) model: String,
    pub(super) version: u64,
}

/// A manifest and the bytes that it was read from, for peers that ask.
#[derive(Clone, Debug)]
pub(super) struct Listed {
    pub(super) manifest: manifest::Manifest,
    pub(super) source: Bytes,
}

impl Agent {
    /// Asks some peers, then the origin. A manifest is small, but the origin's bytes are the
    /// dearest, and its link is busy when all agents ask at once.
    pub(super) async fn manifest(&self, weights: &Weights, from_origin: bool) -> Option<Listed> {
        if !from_origin {
            for address in self.likely_peers() {
                if let Some(listed) = self.manifest_of_peer(weights, &address).await {
                    return Some(listed);
                }
            }
        }
        let origin = self.told.borrow().document.as_ref()?.origin()?.address.to_string();
        let call = self.spoken.manifest_call(&weights.model, weights.version);
        self.read_manifest(weights, &origin, call).await
    }

    async fn manifest_of_peer(&self, weights: &Weights, address: &str) -> Option<Listed> {
        let call = dialect::Call {
            method: hyper::Method::GET,
            path: peers::manifest_path(weights),
            body: Bytes::new(),
        };
        self.read_manifest(weights, address, call).await
    }

    async fn read_manifest(
        &self,
        weights: &Weights,
        peer: &str,
        call: dialect::Call,
    ) -> Option<Listed> {
        let answer = self.call("fetch manifest", peer, call, MANIFEST_MAX_BYTES, MANIFEST_MS);
        let (status, source) = match answer.await {
            Ok(answer) => answer,
            Err(error) => {
                log::info!("agent: {error}");
                return None;
            }
        };
        if status != 200 {
            log::debug!("agent: no manifest of {weights:?} from {peer}, status={status}");
            return None;
        }
        match self.listed(weights, &source) {
            Ok(manifest) => Some(Listed { manifest, source }),
            Err(reason) => {
                log::warn!("agent: manifest of {weights:?} from {peer}: {reason}");
                None
            }
        }
    }

    fn listed(&self, weights: &Weights, source: &[u8]) -> Result<manifest::Manifest, String> {
        let published = self.spoken.manifest(source).map_err(|error| error.to_string())?;
        let expected = self.told.borrow().document.as_ref().and_then(|document| {
            let engine = document.service(&self.service)?.engine.clone()?;
            Some((engine.chunks as usize, engine.chunk_bytes))
        });
        let found = (published.digests.len(), published.chunk_bytes);
        if expected.is_some_and(|expected| expected != found) {
            return Err(format!("{found:?} chunks and bytes in place of {expected:?}"));
        }
        let version =
            digest::Digest::of_value(&(&weights.model, weights.version, &published.digests));
        let data = manifest::ManifestData {
            chunk_bytes: published.chunk_bytes,
            size_bytes: u64::from(published.chunk_bytes) * published.digests.len() as u64,
            chunks: published.digests.into_iter().map(digest::Digest::from_bytes).collect(),
        };
        let algorithm = digest::Algorithm::Sha256;
        manifest::Manifest::with_version(version, algorithm, data)
            .map_err(|error| error.to_string())
    }
}
