//! Answers to peers that ask for chunks or announce theirs.

use std::sync::{self, atomic};

use futures_util::stream;
use http_body_util::BodyExt as _;
use ragwortdeal_core::{
    digest, name,
    spread::{event, roster},
};
use ragwortdeal_wire::operator as wire;

use super::{Agent, INSTANCE};
use crate::{chunk_answers, http};

/// Piece in which a chunk is sent: the unit of pacing, and the most that waits in a socket's queue
/// beyond what the kernel buffers.
const PIECE_BYTES: usize = 64 << 10;

/// Largest announcement: every number of the longest manifest.
const HOLDINGS_MAX_BYTES: usize = 512 << 10;

/// Longest time an announcement may take to arrive.
const HOLDINGS_MS: u64 = 5_000;

/// A chunk under way to a peer. Its end, in whatever way, frees the upload's slot.
#[derive(Debug)]
pub(in crate::agent) struct Upload {
    agent: sync::Weak<Agent>,
    to: name::InstanceName,
    version: digest::Digest,
    chunk: u32,
    aborted: atomic::AtomicBool,
}

impl Drop for Upload {
    fn drop(&mut self) {
        let Some(agent) = self.agent.upgrade() else {
            return;
        };
        let mut state = agent.transfer.state();
        state.uploads.remove(&(self.to.clone(), self.chunk));
        if let Some(download) = state.download.as_mut().filter(|d| d.version() == self.version) {
            download.upload_ended(&self.to, self.chunk);
        }
    }
}

/// Ends an upload at its next piece.
pub(super) fn abort(upload: &sync::Weak<Upload>) {
    // The upload may be at its end; its state is locked then, so it must not be dropped here.
    if let Some(upload) = upload.upgrade() {
        upload.aborted.store(true, atomic::Ordering::Relaxed);
        tokio::spawn(async move { drop(upload) });
    }
}

/// A peer asks for a chunk: `/internal/peers/{version}/{chunk}`.
pub(in crate::agent) async fn ask(
    agent: sync::Arc<Agent>,
    request: http::Request,
) -> http::Response {
    if !authorized(&agent, &request) {
        return refuse(http::Kind::Unauthorized, "wrong credential");
    }
    let path = request.uri.path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').skip(2).collect();
    let from = request.header(INSTANCE).and_then(|name| name::InstanceName::new(name).ok());
    let (Some(from), [version, chunk]) = (from, &parts[..]) else {
        return refuse(http::Kind::NotFound, "no such path");
    };
    let (Ok(version), Ok(chunk)) = (version.parse(), chunk.parse()) else {
        return refuse(http::Kind::NotFound, "no such chunk");
    };
    answer(&agent, from, version, chunk)
}

/// A peer announces chunks.
pub(in crate::agent) async fn hear(
    agent: sync::Arc<Agent>,
    request: http::Request,
) -> http::Response {
    if !authorized(&agent, &request) {
        return refuse(http::Kind::Unauthorized, "wrong credential");
    }
    let bounds = request.body_bounds(HOLDINGS_MAX_BYTES, HOLDINGS_MS);
    let body = http::read_request_body(request.body, &bounds, &request.inbound).await;
    let holdings = body.ok().and_then(|body| ciborium::from_reader(&body[..]).ok());
    let Some(roster::Holdings { instance, version, chunks }) = holdings else {
        return refuse(http::Kind::BadRequest, "no holdings");
    };
    agent.feed(event::Event::Holds { instance, version, chunks });
    empty(204)
}

fn authorized(agent: &Agent, request: &http::Request) -> bool {
    let given = request.headers.get("authorization").map(hyper::header::HeaderValue::as_bytes);
    agent.credential.accepts(given)
}

fn answer(
    agent: &sync::Arc<Agent>,
    from: name::InstanceName,
    version: digest::Digest,
    chunk: u32,
) -> http::Response {
    let now_ms = agent.transfer.clock.now_ms();
    let mut state = agent.transfer.state();
    let Some(download) = &mut state.download else {
        return chunk_answers::not_yet(0, false);
    };
    match download.serve(now_ms, &from, version, chunk) {
        event::Answer::Busy => empty(429),
        event::Answer::NotYet { held, origin_fails } => chunk_answers::not_yet(held, origin_fails),
        // The peer follows a newer or an older revision; it is no fault of either side.
        event::Answer::OtherVersion => chunk_answers::not_yet(0, false),
        event::Answer::Send => {
            let digest = download.manifest().chunks()[chunk as usize];
            let bytes = agent.store.lock().expect("no panic under lock").chunk(&digest);
            let Some(bytes) = bytes else {
                download.upload_ended(&from, chunk);
                return chunk_answers::not_yet(0, false);
            };
            let aborted = atomic::AtomicBool::new(false);
            let to = from.clone();
            let upload = Upload { agent: sync::Arc::downgrade(agent), to, version, chunk, aborted };
            let upload = sync::Arc::new(upload);
            state.uploads.insert((from, chunk), sync::Arc::downgrade(&upload));
            send(agent, upload, bytes)
        }
    }
}

fn send(agent: &Agent, upload: sync::Arc<Upload>, bytes: bytes::Bytes) -> http::Response {
    let len_bytes = bytes.len();
    let pace = agent.upload_pace.clone();
    let pieces = stream::unfold((upload, bytes, pace), async |(upload, mut rest, pace)| {
        if rest.is_empty() {
            return None;
        }
        if upload.aborted.load(atomic::Ordering::Relaxed) {
            let error = std::io::Error::other("the upload was given up");
            return Some((Err(error), (upload, bytes::Bytes::new(), pace)));
        }
        let piece = rest.split_to(rest.len().min(PIECE_BYTES));
        pace.turn(piece.len(), 1.0).await;
        Some((Ok(hyper::body::Frame::data(piece)), (upload, rest, pace)))
    });
    let body = http_body_util::StreamBody::new(pieces).boxed_unsync();
    let mut response = http::respond(200, "application/octet-stream", body);
    let length = hyper::header::HeaderValue::from(len_bytes);
    response.headers_mut().insert("content-length", length);
    response
}

fn empty(status: u16) -> http::Response {
    http::respond(status, "text/plain", http::full(bytes::Bytes::new()))
}

fn refuse(kind: http::Kind, detail: &str) -> http::Response {
    http::answer(&http::problem(kind, wire::Ran::DidNotRun, detail))
}
