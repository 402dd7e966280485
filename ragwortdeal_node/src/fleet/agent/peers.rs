//! Serves other agents: manifests, chunks, and announcements of holdings.

use std::{net, sync, time};

use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use ragwortdeal_core::{
    name,
    spread::{event, roster},
};

use super::{Agent, manifests};
use crate::{chunk_answers, http};

/// Header by which an agent identifies itself.
pub(super) const INSTANCE_HEADER: &str = "x-ragwortdeal-instance";

/// Size of the pieces in which a chunk is sent. An event of a stream waits behind one piece, 4 ms
/// at 9.4 Mbit/s, instead of a whole chunk.
const PIECE_BYTES: usize = 4 << 10;

/// Largest announcement of holdings.
const HOLDINGS_MAX_BYTES: usize = 256 << 10;

/// Timeout for its body.
const HOLDINGS_TIMEOUT_MS: u64 = 3_000;

/// Peers that are asked for a manifest before the origin.
const MANIFEST_PEERS_MAX: usize = 2;

/// Prefix of all paths between agents; calls to them carry the credential.
pub(super) const PATH_PREFIX: &str = "/internal/";

/// Path of announcements of holdings.
pub(super) const HOLDINGS_PATH: &str = "/internal/holdings";

/// Path of a manifest.
pub(super) fn manifest_path(weights: &manifests::Weights) -> String {
    format!("/internal/manifests/{}/{}", weights.model, weights.version)
}

/// Path of a chunk.
pub(super) fn chunk_path(weights: &manifests::Weights, chunk: u32) -> String {
    format!("/internal/chunks/{}/{}/{chunk}", weights.model, weights.version)
}

/// Answers a request of another agent.
pub(super) async fn answer(agent: sync::Arc<Agent>, request: http::Request) -> http::Response {
    let given = request.headers.get("authorization").map(hyper::header::HeaderValue::as_bytes);
    if !agent.credential.accepts(given) {
        log::warn!("agent: refused {:?}: invalid credential", request.client);
        return status(401);
    }
    let path = request.uri.path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match parts.as_slice() {
        ["internal", "manifests", model, version] => match parse_weights(model, version) {
            Some(weights) => agent.serve_manifest(&weights),
            None => status(400),
        },
        ["internal", "chunks", model, version, chunk] => {
            match (parse_weights(model, version), chunk.parse(), sender(&request)) {
                (Some(weights), Ok(chunk), Some(to)) => agent.serve_chunk(&weights, chunk, &to),
                _ => status(400),
            }
        }
        ["internal", "holdings"] => {
            let bounds = request.body_bounds(HOLDINGS_MAX_BYTES, HOLDINGS_TIMEOUT_MS);
            let body = http::read_request_body(request.body, &bounds, &request.inbound).await;
            let holdings = body.ok().and_then(|body| ciborium::from_reader(&body[..]).ok());
            match holdings {
                Some(holdings) => {
                    agent.record_holdings(holdings);
                    status(204)
                }
                None => status(400),
            }
        }
        _ => status(404),
    }
}

fn parse_weights(model: &str, version: &str) -> Option<manifests::Weights> {
    Some(manifests::Weights { model: model.to_owned(), version: version.parse().ok()? })
}

fn sender(request: &http::Request) -> Option<name::InstanceName> {
    name::InstanceName::new(request.header(INSTANCE_HEADER)?).ok()
}

fn status(status: u16) -> http::Response {
    http::respond(status, "text/plain", http::full(""))
}

/// Reports to the policy that an upload ended, complete or not.
struct Upload {
    agent: sync::Arc<Agent>,
    to: name::InstanceName,
    chunk: u32,
    begun: time::Instant,
    /// Time spent waiting for the rate limit, which does not count as time of the link.
    paced: time::Duration,
}

impl Upload {
    async fn wait_turn(&mut self, len_bytes: usize) {
        let begun = time::Instant::now();
        let share = self.agent.spread.congestion().rate_share();
        self.agent.upload_pace.turn(len_bytes, share).await;
        self.paced += begun.elapsed();
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let transfer_time = self.begun.elapsed().saturating_sub(self.paced);
        self.agent.spread.congestion().on_sent(transfer_time.as_millis() as u64);
        self.agent.upload_ended(&self.to, self.chunk);
    }
}

impl Agent {
    fn record_holdings(self: &sync::Arc<Self>, holdings: roster::Holdings) {
        let (instance, version) = (holdings.instance.clone(), holdings.version);
        self.spread.early_holdings().keep(holdings);
        if self.spread.can_use_holdings(&instance, version) {
            let early = self.spread.early_holdings().take(&instance, version);
            early.into_iter().for_each(|event| self.handle_event(event));
        }
    }

    fn serve_manifest(&self, weights: &manifests::Weights) -> http::Response {
        match self.spread.manifest_file(weights) {
            Some(file) => http::respond(200, "application/json", http::full(file.source)),
            None => status(404),
        }
    }

    fn serve_chunk(
        self: &sync::Arc<Self>,
        weights: &manifests::Weights,
        chunk: u32,
        to: &name::InstanceName,
    ) -> http::Response {
        let now_ms = self.clock.now_ms();
        match self.spread.serve(weights, chunk, to, now_ms) {
            Ok(bytes) => {
                let upload = Upload {
                    agent: self.clone(),
                    to: to.clone(),
                    chunk,
                    begun: time::Instant::now(),
                    paced: time::Duration::ZERO,
                };
                let pieces = futures_util::stream::unfold(
                    (upload, bytes),
                    async |(mut upload, mut rest): (Upload, bytes::Bytes)| {
                        if rest.is_empty() {
                            return None;
                        }
                        let piece = rest.split_to(rest.len().min(PIECE_BYTES));
                        upload.wait_turn(piece.len()).await;
                        Some((Ok(hyper::body::Frame::data(piece)), (upload, rest)))
                    },
                );
                let body = http_body_util::StreamBody::new(pieces.boxed()).boxed_unsync();
                http::respond(200, "application/octet-stream", body)
            }
            Err(event::Answer::NotYet { held, origin_fails }) => {
                chunk_answers::not_yet(held, origin_fails)
            }
            Err(event::Answer::Busy) => status(503),
            Err(_) => status(409),
        }
    }

    /// Address of an agent's listener.
    pub(super) fn peer_address(&self, address: net::Ipv4Addr) -> String {
        self.settings.link_address(&address.to_string())
    }

    /// All agents of the own zone, this one included, with their names and addresses.
    pub(super) fn zone_agents(&self) -> Vec<(String, String)> {
        let own_zone = &self.settings.process.availability_zone;
        let others = self.other_agents().into_values().filter(|agent| agent.zone == *own_zone);
        let own = (self.identity.name.to_string(), String::new());
        let others =
            others.map(|agent| (agent.address.to_string(), self.peer_address(agent.address)));
        others.chain([own]).collect()
    }

    /// Some peers to ask for a manifest, those in the same zone first.
    pub(super) fn manifest_peers(&self) -> Vec<String> {
        let own_zone = &self.settings.process.availability_zone;
        let mut agents: Vec<_> = self.other_agents().into_values().collect();
        let own = self.settings.fleet.address.to_bits();
        // Each agent starts at another peer, so that not all ask the same one.
        agents.sort_by_key(|agent| {
            (agent.zone != *own_zone, agent.address.to_bits().wrapping_sub(own))
        });
        agents
            .iter()
            .take(MANIFEST_PEERS_MAX)
            .map(|agent| self.peer_address(agent.address))
            .collect()
    }
}
