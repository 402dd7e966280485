//! What agents ask each other: manifests, chunks, and who holds what.

use std::{net, sync, time};

use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use ragwortdeal_core::{
    name,
    spread::{event, roster},
};

use super::{Agent, origin};
use crate::{chunk_answers, http};

/// Header by which an agent names itself.
pub(super) const INSTANCE: &str = "x-ragwortdeal-instance";

/// Piece in which a chunk is sent. An event of a stream waits behind one piece, 4 ms at 9.4 Mbit/s,
/// in place of a whole chunk.
const PIECE_BYTES: usize = 4 << 10;

/// Largest message about chunks that are held.
const HOLDINGS_MAX_BYTES: usize = 256 << 10;

/// How long such a message may take to arrive.
const HOLDINGS_MS: u64 = 3_000;

/// Peers that are asked for a manifest before the origin is.
const MANIFEST_PEERS: usize = 2;

/// Start of all paths between agents; calls to them carry the credential.
pub(super) const PREFIX: &str = "/internal/";

/// Path of the message about chunks that are held.
pub(super) const HOLDINGS_PATH: &str = "/internal/holdings";

/// Path of a manifest.
pub(super) fn manifest_path(weights: &origin::Weights) -> String {
    format!("/internal/manifests/{}/{}", weights.model, weights.version)
}

/// Path of a chunk.
pub(super) fn chunk_path(weights: &origin::Weights, chunk: u32) -> String {
    format!("/internal/chunks/{}/{}/{chunk}", weights.model, weights.version)
}

/// Answers another agent.
pub(super) async fn answer(agent: sync::Arc<Agent>, request: http::Request) -> http::Response {
    let given = request.headers.get("authorization").map(hyper::header::HeaderValue::as_bytes);
    if !agent.credential.accepts(given) {
        log::warn!("agent: refused {:?}, its credential is wrong", request.client);
        return status(401);
    }
    let path = request.uri.path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match parts.as_slice() {
        ["internal", "manifests", model, version] => match weights(model, version) {
            Some(weights) => agent.give_manifest(&weights),
            None => status(400),
        },
        ["internal", "chunks", model, version, chunk] => {
            match (weights(model, version), chunk.parse(), sender(&request)) {
                (Some(weights), Ok(chunk), Some(to)) => agent.give_chunk(&weights, chunk, &to),
                _ => status(400),
            }
        }
        ["internal", "holdings"] => {
            let body = http::read(request.body, HOLDINGS_MAX_BYTES, HOLDINGS_MS).await;
            let holdings = body.ok().and_then(|body| ciborium::from_reader(&body[..]).ok());
            match holdings {
                Some(told) => {
                    agent.told_chunks(told);
                    status(204)
                }
                None => status(400),
            }
        }
        _ => status(404),
    }
}

fn weights(model: &str, version: &str) -> Option<origin::Weights> {
    Some(origin::Weights { model: model.to_owned(), version: version.parse().ok()? })
}

fn sender(request: &http::Request) -> Option<name::InstanceName> {
    name::InstanceName::new(request.header(INSTANCE)?).ok()
}

fn status(status: u16) -> http::Response {
    http::respond(status, "text/plain", http::full(""))
}

/// Tells the policy that an upload ended, whole or not.
struct Upload {
    agent: sync::Arc<Agent>,
    to: name::InstanceName,
    chunk: u32,
    begun: time::Instant,
    /// Time for which it waited for its turn, which is not the link's doing.
    paced: time::Duration,
}

impl Upload {
    async fn turn(&mut self, len_bytes: usize) {
        let begun = time::Instant::now();
        let share = self.agent.spread.congestion().rate_share();
        self.agent.upload_pace.turn(len_bytes, share).await;
        self.paced += begun.elapsed();
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let held_up = self.begun.elapsed().saturating_sub(self.paced);
        self.agent.spread.congestion().on_sent(held_up.as_millis() as u64);
        self.agent.upload_ended(&self.to, self.chunk);
    }
}

impl Agent {
    fn told_chunks(self: &sync::Arc<Self>, told: roster::Holdings) {
        let (instance, version) = (told.instance.clone(), told.version);
        self.spread.heard().keep(told);
        if self.spread.knows(&instance, version) {
            let heard = self.spread.heard().take(&instance, version);
            heard.into_iter().for_each(|event| self.feed(event));
        }
    }

    fn give_manifest(&self, weights: &origin::Weights) -> http::Response {
        match self.spread.listed(weights) {
            Some(listed) => http::respond(200, "application/json", http::full(listed.source)),
            None => status(404),
        }
    }

    fn give_chunk(
        self: &sync::Arc<Self>,
        weights: &origin::Weights,
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
                        upload.turn(piece.len()).await;
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

    /// Some peers to ask for a manifest, those of the own zone first.
    pub(super) fn likely_peers(&self) -> Vec<String> {
        let own_zone = &self.settings.process.availability_zone;
        let mut seats: Vec<_> = self.seats().into_values().collect();
        let own = self.settings.fleet.address.to_bits();
        // Each agent begins elsewhere, so that not all ask the same peer.
        seats
            .sort_by_key(|seat| (seat.zone != *own_zone, seat.address.to_bits().wrapping_sub(own)));
        seats.iter().take(MANIFEST_PEERS).map(|seat| self.peer_address(seat.address)).collect()
    }
}
