//! Calls from entries to the upstream, and the staged weights that its engine reads.

use std::{collections, sync};

use gotham::{
    hyper, router,
    router::builder::{DefineSingleRoute as _, DrawRoutes as _},
};
use http_body_util::BodyExt as _;
use ragwortdeal_core::digest;
use ragwortdeal_wire::operator as wire;

use super::{Agent, guard, transfer};
use crate::{attempt, http, telemetry};

/// Longest time an upstream may take to the head of its answer. The mainframe behind a ledger may
/// take minutes; entries give up earlier by their own limits.
const HEAD_MS: u64 = 600_000;

/// Headers that belong to one hop and are not passed on.
const HOP_HEADERS: [&str; 6] =
    ["authorization", "connection", "host", "transfer-encoding", http::ACCOUNT, http::ENTRY];

/// Routes of an agent.
pub(super) fn router(agent: &sync::Arc<Agent>) -> router::Router {
    router::builder::build_simple_router(|route| {
        let staged = http::route(agent.clone(), staged);
        route.get("/internal/staged/*").to_new_handler(staged);
        let ask = http::route(agent.clone(), guard::ask);
        route.post(attempt::QUESTIONS_PATH).to_new_handler(ask);
        let chunks = http::route(agent.clone(), transfer::ask);
        route.get("/internal/peers/*").to_new_handler(chunks);
        let hear = http::route(agent.clone(), transfer::hear);
        route.post("/internal/peers/holdings").to_new_handler(hear);
        // gotham's glob needs at least one segment, which the root of a service has not.
        let root = http::route(agent.clone(), call);
        route.request(http::methods(), "/call").to_new_handler(root);
        let call = http::route(agent.clone(), call);
        route.request(http::methods(), "/call/*").to_new_handler(call);
    })
}

impl Agent {
    /// URL below which the engine reads a staged version. Its secret part keeps others out.
    pub(super) fn staged_url(&self, version: digest::Digest) -> String {
        let secret = self.staging_secret();
        format!("http://{}/internal/staged/{secret}/{version}", self.settings.listen.calls)
    }

    fn staging_secret(&self) -> digest::Digest {
        let cluster = self.settings.credentials.cluster.as_bytes();
        let name = self.identity.name.as_bytes();
        digest::Digest::of(&[cluster, b"/staged/", name].concat())
    }

    /// Versions on which calls are in progress.
    pub(super) fn running_versions(&self) -> Vec<digest::Digest> {
        let running = self.running.lock().expect("no panic under lock");
        running.keys().copied().flatten().collect()
    }
}

/// Counts a call from its start until its answer was passed on or given up.
pub(super) struct InProgress {
    agent: sync::Arc<Agent>,
    version: Option<digest::Digest>,
    entry: String,
}

impl InProgress {
    pub(super) fn start(
        agent: sync::Arc<Agent>,
        version: Option<digest::Digest>,
        entry: &str,
    ) -> Self {
        let mut by_entry = agent.by_entry.lock().expect("no panic under lock");
        *by_entry.entry(entry.to_owned()).or_default() += 1;
        drop(by_entry);
        let mut running = agent.running.lock().expect("no panic under lock");
        *running.entry(version).or_default() += 1;
        drop(running);
        Self { agent, version, entry: entry.to_owned() }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        count_down(&self.agent.running, &self.version);
        count_down(&self.agent.by_entry, &self.entry);
    }
}

fn count_down<K: Ord>(counts: &sync::Mutex<collections::BTreeMap<K, u64>>, key: &K) {
    let mut counts = counts.lock().expect("no panic under lock");
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

async fn staged(agent: sync::Arc<Agent>, request: http::Request) -> http::Response {
    let parts: Vec<&str> = request.uri.path().trim_matches('/').split('/').skip(2).collect();
    let secret = agent.staging_secret().to_string();
    let store = agent.store.lock().expect("no panic under lock");
    match parts[..] {
        [given, version, "manifest"] if given == secret => {
            match version.parse().ok().and_then(|version| store.manifest(&version)) {
                Some(manifest) => http::json(200, manifest),
                None => not_found("this version is not staged here"),
            }
        }
        [given, _, "chunks", chunk] if given == secret => {
            match chunk.parse().ok().and_then(|chunk| store.chunk(&chunk)) {
                Some(bytes) => http::respond(200, "application/octet-stream", http::full(bytes)),
                None => not_found("this chunk is not staged here"),
            }
        }
        _ => not_found("no such path"),
    }
}

fn not_found(detail: &str) -> http::Response {
    http::answer(&http::problem(http::Kind::NotFound, wire::Ran::DidNotRun, detail))
}

pub(super) fn refuse(agent: &Agent, kind: http::Kind, detail: &str) -> http::Response {
    let mut response = http::answer(&http::problem(kind, wire::Ran::DidNotRun, detail));
    let serving = agent.weights.borrow().serving;
    if let Some(value) = serving.and_then(|version| version.to_string().parse().ok()) {
        response.headers_mut().insert(http::MODEL_VERSION, value);
    }
    response
}

/// Whether the request comes from a process of the system.
pub(super) fn is_own_process(agent: &Agent, request: &http::Request) -> bool {
    let given = request.headers.get("authorization").map(hyper::header::HeaderValue::as_bytes);
    agent.credential.accepts(given)
}

async fn call(agent: sync::Arc<Agent>, mut request: http::Request) -> http::Response {
    let span = agent.telemetry.span("agent", request.header(telemetry::TRACEPARENT));
    agent.telemetry.count("agent.calls", 1);
    if let Some(value) = span.traceparent().and_then(|text| text.parse().ok()) {
        request.headers.insert(telemetry::TRACEPARENT, value);
    }
    if !is_own_process(&agent, &request) {
        return refuse(&agent, http::Kind::Unauthorized, "wrong credential");
    }
    if attempt::Addressed::is_named_in(&request.headers) {
        return guard::call(agent, request).await;
    }
    let version = request.header(http::MODEL_VERSION).and_then(|version| version.parse().ok());
    // Counted before the check: a version is unloaded once it is not offered any more and no call
    // is counted on it, so a call between the two would otherwise lose its weights.
    let entry = request.header(http::ENTRY).unwrap_or_default();
    let in_progress = InProgress::start(agent.clone(), version, entry);
    if agent.is_engine() && !version.is_some_and(|v| agent.weights.borrow().loaded.contains(&v)) {
        return refuse(&agent, http::Kind::Unavailable, "this version is not loaded here");
    }
    let step = "call upstream";
    let peer = agent.settings.upstream.address.to_string();
    let forwarded = forward(&peer, request);
    let sent_at = std::time::Instant::now();
    match agent.http.send(step, &peer, forwarded, HEAD_MS).await {
        Ok(response) => {
            agent.transfer.call_answered(sent_at.elapsed());
            pass_on(response, version, in_progress)
        }
        Err(error) => {
            let ran = match error {
                http::HttpError::NotSent { .. } => wire::Ran::DidNotRun,
                _ => wire::Ran::Unknown,
            };
            let kind = http::Kind::UpstreamFailed;
            http::answer(&http::problem(kind, ran, &error.to_string()))
        }
    }
}

pub(super) fn forward(peer: &str, request: http::Request) -> hyper::Request<http::Body> {
    let path = request.uri.path_and_query().map_or("/", |path| path.as_str());
    let path = path.strip_prefix("/call").unwrap_or(path);
    let mut forwarded = hyper::Request::new(request.body);
    *forwarded.method_mut() = request.method;
    *forwarded.uri_mut() =
        format!("http://{peer}{path}").parse().expect("a parsed path stays a valid one");
    *forwarded.headers_mut() = request.headers;
    for name in HOP_HEADERS {
        forwarded.headers_mut().remove(name);
    }
    forwarded
}

fn pass_on(
    response: hyper::Response<http::RequestBody>,
    version: Option<digest::Digest>,
    in_progress: InProgress,
) -> http::Response {
    let made_by = response.headers().get(http::MODEL_VERSION);
    let made_by = made_by.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    if version.is_some() && response.status().is_success() && made_by != version {
        // The engine answered by another version than the call was routed for. Passing it on would
        // hand the caller an answer of weights that nobody intended for it.
        let detail = "the upstream answered by another version";
        let problem = http::problem(http::Kind::UpstreamFailed, wire::Ran::Ran, detail);
        return http::answer(&problem);
    }
    let (mut head, body) = response.into_parts();
    for name in ["connection", "transfer-encoding"] {
        head.headers.remove(name);
    }
    let body = body.map_err(std::io::Error::other).map_frame(move |frame| {
        // The call is in progress for as long as its body is read.
        let _ = &in_progress;
        frame
    });
    http::Response::from_parts(head, body.boxed_unsync())
}
