//! Fetches manifests from peers or from the origin.

use std::{sync::atomic, time};

use bytes::Bytes;
use ragwortdeal_core::{digest, spread, spread::manifest};

use super::{Agent, peers};
use crate::fleet::dialect;

/// Timeout of a request for a manifest to the origin.
const MANIFEST_TIMEOUT_MS: u64 = 2_000;

/// The same to a peer. One that hangs must not delay a whole distribution.
const PEER_MANIFEST_TIMEOUT_MS: u64 = 250;

/// Agents of each zone that fetch a manifest from the origin at once. If all did, hundreds of
/// manifests would take as long on the origin's link as a third of the chunks, and more connections
/// than it accepts.
const FIRST_FETCHERS: usize = 2;

/// How long other agents wait for those to have the manifest.
const FETCHERS_WAIT: time::Duration = time::Duration::from_millis(400);

/// The same after the origin has failed: it would send the manifest to all agents as soon as it is
/// back, in place of chunks. Those that fetch it first ask it all the while.
const FETCHERS_WAIT_FAILED: time::Duration = time::Duration::from_millis(2_500);

/// Interval between two requests to them.
const FETCHERS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(30);

/// The same after the origin has failed, so that they are not busy with answering all others.
const FETCHERS_POLL_INTERVAL_FAILED: time::Duration = time::Duration::from_millis(250);

/// Largest manifest as sent.
const MANIFEST_MAX_BYTES: usize = 8 << 20;

/// Asks for the connection to be closed after the response. An origin accepts few connections; idle
/// ones of many agents would shut out those that fetch.
pub(super) fn close_after_response(
    request: hyper::http::request::Builder,
) -> hyper::http::request::Builder {
    request.header("connection", "close")
}

/// A version of weights, as named.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Weights {
    pub(super) model: String,
    pub(super) version: u64,
}

/// A manifest and the bytes that it was parsed from, for peers that request it.
#[derive(Clone, Debug)]
pub(super) struct ManifestFile {
    pub(super) manifest: manifest::Manifest,
    pub(super) source: Bytes,
}

impl Agent {
    /// Asks some peers, which have it unless it was named just now; then those of its zone that
    /// fetch it first; then the origin. A manifest is small, but bytes of the origin are the most
    /// expensive, and its link is busy when all agents ask at once.
    pub(super) async fn fetch_manifest(
        &self,
        weights: &Weights,
        from_origin: bool,
    ) -> Option<ManifestFile> {
        if !from_origin {
            for address in self.manifest_peers() {
                if let Some(file) = self.fetch_manifest_from_peer(weights, &address).await {
                    return Some(file);
                }
            }
            if let Some(file) = self.await_first_fetchers(weights).await {
                return Some(file);
            }
        }
        let origin = self.voter_state.borrow().document.as_ref()?.origin()?.address.to_string();
        let call = self.dialect.manifest_call(&weights.model, weights.version);
        let file = self.request_manifest(weights, &origin, call, MANIFEST_TIMEOUT_MS).await;
        self.origin_failed.store(file.is_none(), atomic::Ordering::Relaxed);
        file
    }

    /// Waits for the agents that fetch the manifest first, unless this agent is one of them.
    async fn await_first_fetchers(&self, weights: &Weights) -> Option<ManifestFile> {
        let zone = self.zone_agents();
        let names: Vec<_> = zone.iter().map(|(name, _)| name.as_str()).collect();
        let first = spread::fetchers::first(&names, weights.version, FIRST_FETCHERS);
        if first.contains(&self.identity.name.as_str()) {
            return None;
        }
        let addresses: Vec<_> =
            zone.iter().filter(|(name, _)| first.contains(&name.as_str())).collect();
        let (wait, interval) = match self.origin_failed.load(atomic::Ordering::Relaxed) {
            true => (FETCHERS_WAIT_FAILED, FETCHERS_POLL_INTERVAL_FAILED),
            false => (FETCHERS_WAIT, FETCHERS_POLL_INTERVAL),
        };
        let begun = time::Instant::now();
        while begun.elapsed() < wait {
            tokio::time::sleep(interval).await;
            for (_, address) in &addresses {
                if let Some(file) = self.fetch_manifest_from_peer(weights, address).await {
                    return Some(file);
                }
            }
        }
        None
    }

    async fn fetch_manifest_from_peer(
        &self,
        weights: &Weights,
        address: &str,
    ) -> Option<ManifestFile> {
        let call = dialect::Call {
            method: hyper::Method::GET,
            path: peers::manifest_path(weights),
            body: Bytes::new(),
        };
        self.request_manifest(weights, address, call, PEER_MANIFEST_TIMEOUT_MS).await
    }

    async fn request_manifest(
        &self,
        weights: &Weights,
        peer: &str,
        call: dialect::Call,
        deadline_ms: u64,
    ) -> Option<ManifestFile> {
        let answer = self.call("fetch manifest", peer, call, MANIFEST_MAX_BYTES, deadline_ms);
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
        match self.parse_manifest(weights, &source) {
            Ok(manifest) => Some(ManifestFile { manifest, source }),
            Err(reason) => {
                log::warn!("agent: manifest of {weights:?} from {peer}: {reason}");
                None
            }
        }
    }

    fn parse_manifest(
        &self,
        weights: &Weights,
        source: &[u8],
    ) -> Result<manifest::Manifest, String> {
        let published = self.dialect.manifest(source).map_err(|error| error.to_string())?;
        let expected = self.voter_state.borrow().document.as_ref().and_then(|document| {
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
