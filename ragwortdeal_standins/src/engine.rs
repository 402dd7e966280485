//! An engine that batches continuously: takes orders to load versions, and streams tokens that
//! name the version they were made by.

use std::{
    collections, io, net,
    sync::{self, atomic},
    time,
};

use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};
use ragwortdeal_core::{digest, spread::manifest};
use ragwortdeal_wire::engine as wire;
use tokio::sync::{Semaphore, mpsc};

use crate::http;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Whether it refuses an order with a lower fencing number than it has seen.
    pub checks_fence: bool,
    /// Time to the first token of a request that need not wait.
    pub first_token_ms: u64,
    /// Time between two tokens.
    pub token_ms: u64,
    /// Requests that run at the same time; more wait.
    pub slots: usize,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { checks_fence: true, first_token_ms: 2, token_ms: 1, slots: 64 }
    }
}

#[derive(Clone, Debug)]
struct Stream {
    version: String,
    model: String,
    prompt: String,
    tokens: u64,
}

#[derive(Debug, Default)]
struct Held {
    /// Loaded versions, and whether their bytes were whole.
    loaded: collections::BTreeMap<String, bool>,
    active: Option<String>,
    highest_fence: u64,
    role: String,
    streams: collections::BTreeMap<String, Stream>,
    cancelled: collections::BTreeSet<String>,
    orders: Vec<wire::Order>,
    begun: Vec<time::Instant>,
    traceparents: Vec<String>,
}

#[derive(Debug)]
struct Shared {
    behaviour: Behaviour,
    held: sync::Mutex<Held>,
    slots: sync::Arc<Semaphore>,
    queued: atomic::AtomicU64,
    partial_loads: atomic::AtomicU64,
    finished: atomic::AtomicU64,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    shared: sync::Arc<Shared>,
    server: http::Server,
}

impl Engine {
    /// Starts an engine on a loopback port.
    pub async fn start(behaviour: Behaviour) -> io::Result<Self> {
        Self::start_at(http::any_port(), behaviour).await
    }

    /// Starts an engine on an address.
    pub async fn start_at(address: net::SocketAddr, behaviour: Behaviour) -> io::Result<Self> {
        let slots = sync::Arc::new(Semaphore::new(behaviour.slots));
        let shared = sync::Arc::new(Shared {
            behaviour,
            held: sync::Mutex::default(),
            slots,
            queued: atomic::AtomicU64::new(0),
            partial_loads: atomic::AtomicU64::new(0),
            finished: atomic::AtomicU64::new(0),
        });
        let answering = shared.clone();
        let server = http::serve(address, move |request| {
            let shared = answering.clone();
            async move { shared.answer(request).await }
        });
        Ok(Self { shared, server: server.await? })
    }

    /// Its address.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Digest of the version that serves new requests.
    pub fn active(&self) -> Option<String> {
        self.shared.held.lock().expect("no panic under lock").active.clone()
    }

    /// Loads whose bytes were not exactly the manifest's.
    pub fn partial_loads(&self) -> u64 {
        self.shared.partial_loads.load(atomic::Ordering::Relaxed)
    }

    /// Requests that were answered to their end.
    pub fn finished(&self) -> u64 {
        self.shared.finished.load(atomic::Ordering::Relaxed)
    }

    /// Requests that somebody cancelled.
    pub fn cancelled(&self) -> usize {
        self.shared.held.lock().expect("no panic under lock").cancelled.len()
    }

    /// When requests began, resumed streams left out.
    pub fn begun(&self) -> Vec<time::Instant> {
        self.shared.held.lock().expect("no panic under lock").begun.clone()
    }

    /// Trace contexts that requests carried.
    pub fn traceparents(&self) -> Vec<String> {
        self.shared.held.lock().expect("no panic under lock").traceparents.clone()
    }

    /// All orders that arrived, carried out or not.
    pub fn orders(&self) -> Vec<wire::Order> {
        self.shared.held.lock().expect("no panic under lock").orders.clone()
    }
}

impl Shared {
    async fn answer(self: sync::Arc<Self>, request: http::Request) -> http::Response {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts[..] {
            ["orders"] => self.order(request).await,
            ["state"] => json(200, &self.state()),
            ["v1", "completions"] => self.complete(request).await,
            ["streams", id, "cancel"] => self.cancel(id),
            ["streams", id, "from", token] => self.resume(id, token),
            _ => http::respond(404, "text/plain", "no such path"),
        }
    }

    fn state(&self) -> wire::EngineState {
        let held = self.held.lock().expect("no panic under lock");
        wire::EngineState {
            loaded: held.loaded.keys().cloned().collect(),
            active: held.active.clone(),
            highest_fence: held.highest_fence,
            role: held.role.clone(),
            running: (self.behaviour.slots - self.slots.available_permits()) as u64,
            queued: self.queued.load(atomic::Ordering::Relaxed),
        }
    }

    async fn order(&self, request: http::Request) -> http::Response {
        let bytes = http::body(request).await;
        let Ok(order) = serde_json::from_slice::<wire::Order>(&bytes) else {
            return http::respond(400, "text/plain", "no order");
        };
        if let Err(reason) = self.admit_order(&order) {
            return self.order_answer(false, Some(reason));
        }
        if order.action == wire::OrderAction::Load {
            let whole = load(&order).await;
            if !whole {
                self.partial_loads.fetch_add(1, atomic::Ordering::Relaxed);
            }
            let mut held = self.held.lock().expect("no panic under lock");
            held.loaded.insert(order.version.clone(), whole);
        }
        self.order_answer(true, None)
    }

    fn admit_order(&self, order: &wire::Order) -> Result<(), String> {
        let mut held = self.held.lock().expect("no panic under lock");
        held.orders.push(order.clone());
        if self.behaviour.checks_fence {
            if order.fence < held.highest_fence {
                return Err(format!("fence {} is old", order.fence));
            }
            held.highest_fence = order.fence;
        }
        match order.action {
            wire::OrderAction::Load => (),
            wire::OrderAction::Activate if held.loaded.contains_key(&order.version) => {
                held.active = Some(order.version.clone());
            }
            wire::OrderAction::Activate => return Err("not loaded".to_owned()),
            wire::OrderAction::Unload => {
                if held.active.as_ref() == Some(&order.version) {
                    return Err("active".to_owned());
                }
                held.loaded.remove(&order.version);
            }
            wire::OrderAction::ChangeRole => held.role = order.role.clone().unwrap_or_default(),
        }
        Ok(())
    }

    fn order_answer(&self, done: bool, reason: Option<String>) -> http::Response {
        let highest_fence = self.held.lock().expect("no panic under lock").highest_fence;
        let highest_fence = self.behaviour.checks_fence.then_some(highest_fence);
        json(if done { 200 } else { 409 }, &wire::OrderAnswer { done, reason, highest_fence })
    }

    async fn complete(self: sync::Arc<Self>, request: http::Request) -> http::Response {
        let header = |name: &str| Some(request.headers().get(name)?.to_str().ok()?.to_owned());
        let id = header("x-request-id").unwrap_or_else(|| "none".to_owned());
        let wanted = header("x-model-version");
        let traceparent = header("traceparent");
        let body = http::body(request).await;
        let Ok(call) = serde_json::from_slice::<serde_json::Value>(&body) else {
            return http::respond(400, "text/plain", "no JSON");
        };
        let stream = {
            let mut held = self.held.lock().expect("no panic under lock");
            let version = wanted.or_else(|| held.active.clone());
            let Some(version) = version.filter(|version| held.loaded.contains_key(version)) else {
                return http::respond(409, "text/plain", "version not loaded");
            };
            let stream = Stream {
                version,
                model: call["model"].as_str().unwrap_or_default().to_owned(),
                prompt: call["prompt"].as_str().unwrap_or_default().to_owned(),
                tokens: call["max_tokens"].as_u64().unwrap_or(16),
            };
            held.begun.push(time::Instant::now());
            held.traceparents.extend(traceparent);
            held.streams.insert(id.clone(), stream.clone());
            stream
        };
        let events = call["stream"].as_bool().unwrap_or(false);
        self.produce(id, stream, 0, events).await
    }

    fn cancel(&self, id: &str) -> http::Response {
        let mut held = self.held.lock().expect("no panic under lock");
        held.cancelled.insert(id.to_owned());
        http::respond(200, "text/plain", "cancelled")
    }

    fn resume(self: sync::Arc<Self>, id: &str, token: &str) -> http::Response {
        let held = self.held.lock().expect("no panic under lock");
        let Some(stream) = held.streams.get(id).cloned() else {
            return http::respond(404, "text/plain", "no such stream");
        };
        drop(held);
        let from = token.parse().unwrap_or(0);
        self.stream(id.to_owned(), stream, from)
    }

    async fn produce(
        self: sync::Arc<Self>,
        id: String,
        stream: Stream,
        from: u64,
        events: bool,
    ) -> http::Response {
        if events {
            return self.stream(id, stream, from);
        }
        let version = stream.version.clone();
        let (sender, mut receiver) = mpsc::channel(8);
        let text = text_of(&stream);
        tokio::spawn(self.generate(id, stream, from, sender));
        while receiver.recv().await.is_some() {}
        let answer = serde_json::json!({"choices": [{"index": 0, "text": text}]});
        with_version(json(200, &answer), &version)
    }

    fn stream(self: sync::Arc<Self>, id: String, stream: Stream, from: u64) -> http::Response {
        let version = stream.version.clone();
        let (sender, receiver) = mpsc::channel(8);
        tokio::spawn(self.generate(id, stream, from, sender));
        let frames = futures_util::stream::unfold(receiver, |mut receiver| async {
            let event: String = receiver.recv().await?;
            Some((Ok(hyper::body::Frame::data(bytes::Bytes::from(event))), receiver))
        });
        let body = http_body_util::StreamBody::new(frames.boxed()).boxed_unsync();
        with_version(http::stream(200, "text/event-stream", body), &version)
    }

    /// Makes the tokens one by one until the end, a cancel, or the reader's going.
    async fn generate(
        self: sync::Arc<Self>,
        id: String,
        stream: Stream,
        from: u64,
        sender: mpsc::Sender<String>,
    ) {
        self.queued.fetch_add(1, atomic::Ordering::Relaxed);
        let place = self.slots.clone().acquire_owned().await;
        self.queued.fetch_sub(1, atomic::Ordering::Relaxed);
        tokio::time::sleep(time::Duration::from_millis(self.behaviour.first_token_ms)).await;
        for token in from..stream.tokens {
            if self.held.lock().expect("no panic under lock").cancelled.contains(&id) {
                return;
            }
            let event = token_event(&id, &stream, token);
            if sender.send(event).await.is_err() {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(self.behaviour.token_ms)).await;
        }
        if sender.send("data: [DONE]\n\n".to_owned()).await.is_ok() {
            self.finished.fetch_add(1, atomic::Ordering::Relaxed);
        }
        drop(place);
    }
}

/// The text of one token: it names the version and the prompt, so that a mixed answer shows.
pub fn token_text(version: &str, prompt: &str, token: u64) -> String {
    format!("{}/{prompt}/{token} ", &version[..8.min(version.len())])
}

fn text_of(stream: &Stream) -> String {
    (0..stream.tokens).map(|token| token_text(&stream.version, &stream.prompt, token)).collect()
}

fn token_event(id: &str, stream: &Stream, token: u64) -> String {
    let text = token_text(&stream.version, &stream.prompt, token);
    let reason = (token + 1 == stream.tokens).then_some("length");
    let event = serde_json::json!({
        "id": id,
        "object": "text_completion",
        "model": stream.model,
        "choices": [{"index": 0, "text": text, "finish_reason": reason}],
    });
    format!("data: {event}\n\n")
}

fn json<T: serde::Serialize>(status: u16, value: &T) -> http::Response {
    let bytes = serde_json::to_vec(value).expect("own types encode as JSON");
    http::respond(status, "application/json", bytes)
}

fn with_version(mut response: http::Response, version: &str) -> http::Response {
    if let Ok(value) = version.parse() {
        response.headers_mut().insert("x-model-version", value);
    }
    response
}

/// Reads the version from its source. Returns whether all bytes are exactly the manifest's.
async fn load(order: &wire::Order) -> bool {
    let Some(source) = &order.source else {
        return false;
    };
    let Some(manifest) = get(&format!("{source}/manifest")).await else {
        return false;
    };
    let Ok(manifest) = serde_json::from_slice::<manifest::Manifest>(&manifest) else {
        return false;
    };
    let mut chunks = Vec::new();
    for chunk in manifest.chunks() {
        let Some(bytes) = get(&format!("{source}/chunks/{chunk}")).await else {
            return false;
        };
        chunks.push(bytes);
    }
    let whole = manifest.verify_version(chunks.iter().map(|chunk| &chunk[..]));
    let ordered: Option<digest::Digest> = order.version.parse().ok();
    whole.is_ok_and(|whole| Some(whole.version()) == ordered)
}

async fn get(url: &str) -> Option<bytes::Bytes> {
    let client: legacy::Client<_, http_body_util::Empty<bytes::Bytes>> =
        legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let response = client.get(url.parse().ok()?).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    Some(response.into_body().collect().await.ok()?.to_bytes())
}
