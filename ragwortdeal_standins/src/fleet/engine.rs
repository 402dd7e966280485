//! A stand-in for an upstream: answers requests, announces itself, takes weights and orders.

mod behaviour;
mod endless;
mod fatal;
mod listener;
mod loads;
mod silence;
mod weights;

use std::{collections, io, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, body, header};
use ragwortdeal_node::http;
use tokio::{
    net as tokio_net,
    sync::{mpsc, watch},
    task,
};

pub use behaviour::{Asks, Behaviour};
pub use fatal::{Fatal, Moment, Trigger};
pub use silence::{AgentCall, Spells};

/// Layers of the model.
pub const LAYERS: u64 = 3;

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: header::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When it arrived.
    pub at: time::Instant,
    /// Version on which it began to run, none where the engine refused it.
    pub ran_on: Option<u64>,
    /// What the engine asks in its answer.
    pub asked: Asks,
    /// Hashes of the chunks of the weights on which it began to run, as the engine took them.
    pub ran_on_chunks: Vec<[u8; 32]>,
}

/// State of an engine, shared with the test.
#[derive(Debug)]
pub struct Engine {
    /// Its identifier.
    pub instance: String,
    /// Its address.
    pub address: net::SocketAddrV4,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    arrivals: Vec<Arrival>,
    /// Requests that were cut off because their connection was closed.
    abandoned: u64,
    running: u64,
    staged: collections::BTreeMap<u32, Bytes>,
    version: u64,
    /// Layers that it holds: the first, and the one behind the last.
    layers: (u64, u64),
    orders: u64,
    loads: loads::Loads,
    silence: silence::Silence,
    events: u64,
    event_gap: time::Duration,
    work: time::Duration,
    frozen: watch::Sender<bool>,
    asks: Asks,
    /// How long it says that it stays cold.
    cold: time::Duration,
    fatal: Option<Fatal>,
    /// When the engine ended.
    ended_at: Vec<time::Instant>,
    /// How long it is down from its last end on.
    down: time::Duration,
    /// Number of its ends.
    ends: watch::Sender<u64>,
    /// Number of its starts.
    starts: u64,
}

/// Counts a request as running until it ends or its connection is closed.
struct Running {
    engine: sync::Arc<Engine>,
    ended: bool,
}

impl Running {
    fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        state.running -= 1;
        state.abandoned += u64::from(!self.ended);
    }
}

impl State {
    fn held_layers(&self) -> serde_json::Value {
        let (from, to) = self.layers;
        serde_json::json!({"from": from, "to": to, "version": self.version})
    }
}

impl Engine {
    /// Starts an engine that serves this version of weights, 0 for none.
    pub async fn start(
        instance: &str,
        address: net::SocketAddrV4,
        version: u64,
    ) -> sync::Arc<Self> {
        let listener = tokio_net::TcpListener::bind(address).await.expect("a free address");
        let state = State {
            behaviour: Behaviour::Good,
            arrivals: Vec::new(),
            abandoned: 0,
            running: 0,
            staged: collections::BTreeMap::new(),
            version,
            layers: (0, LAYERS),
            orders: 0,
            loads: loads::Loads::default(),
            silence: silence::Silence::default(),
            events: 5,
            event_gap: time::Duration::from_millis(5),
            work: time::Duration::ZERO,
            frozen: watch::Sender::new(false),
            asks: Asks::default(),
            cold: time::Duration::ZERO,
            fatal: None,
            ended_at: Vec::new(),
            down: time::Duration::ZERO,
            ends: watch::Sender::new(0),
            starts: 1,
        };
        let state = sync::Mutex::new(state);
        let engine = sync::Arc::new(Self { instance: instance.to_owned(), address, state });
        task::spawn(listener::accept(engine.clone(), listener));
        engine
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }

    /// Changes what the engine does from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Lets the machine of the engine stand still, or wakes it. Its connections stay open and take
    /// in what is sent, and that is all it does.
    pub fn freeze(&self, frozen: bool) {
        self.state().frozen.send_replace(frozen);
    }

    /// Sets all that it asks in its answers from now on.
    pub fn ask(&self, asks: Asks) {
        self.state().asks = asks;
    }

    /// Names a rate in each answer from now on: requests a second that it takes from all entries.
    pub fn name_limit(&self, limit_per_s: Option<f64>) {
        self.state().asks.limit_per_s = limit_per_s;
    }

    /// Turns each request away from now on and asks for so many seconds of pause, or takes requests
    /// again.
    pub fn ask_pause(&self, pause_s: Option<f64>) {
        self.state().asks.pause_s = pause_s;
    }

    /// Says in each answer from now on that it leaves, and goes on serving.
    pub fn leave(&self, leaving: bool) {
        self.state().asks.leaving = leaving;
    }

    /// Sets for how long it says in its announcements that it stays cold.
    pub fn cool(&self, cold: time::Duration) {
        self.state().cold = cold;
    }

    /// Sets on what the engine ends, if on anything.
    pub fn end_on(&self, fatal: Option<Fatal>) {
        self.state().fatal = fatal;
    }

    /// Ends the engine at once, with all its connections. It is back after a time.
    pub fn end(&self, down: time::Duration) {
        let mut state = self.state();
        state.down = down;
        state.ended_at.push(time::Instant::now());
        state.ends.send_modify(|ends| *ends += 1);
    }

    /// When the engine ended.
    pub fn ended_at(&self) -> Vec<time::Instant> {
        self.state().ended_at.clone()
    }

    /// Number of its starts.
    pub fn starts(&self) -> u64 {
        self.state().starts
    }

    /// What the engine ends on, if the request holds it.
    fn fatal_to(&self, head: &hyper::http::request::Parts) -> Option<Fatal> {
        self.state().fatal.clone().filter(|fatal| fatal.trigger.is_in(head))
    }

    async fn awake(&self) {
        let mut frozen = self.state().frozen.subscribe();
        // The sender lives as long as the engine.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// Sets how many events a stream has, and the pause before each.
    pub fn stream(&self, events: u64, gap: time::Duration) {
        let mut state = self.state();
        (state.events, state.event_gap) = (events, gap);
    }

    /// Sets how long a plain answer takes.
    pub fn work(&self, work: time::Duration) {
        self.state().work = work;
    }

    /// Requests that arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Requests that arrived, without so many of the first.
    pub fn arrivals_after(&self, first: usize) -> Vec<Arrival> {
        self.state().arrivals[first..].to_vec()
    }

    /// Requests whose connection was closed before their answer ended.
    pub fn abandoned(&self) -> u64 {
        self.state().abandoned
    }

    /// Version that it serves.
    pub fn version(&self) -> u64 {
        self.state().version
    }

    /// Whether it holds all layers, which a request needs.
    pub fn is_whole(&self) -> bool {
        self.state().layers == (0, LAYERS)
    }

    /// Stages chunks beforehand, as an engine that was there at the start has them.
    pub fn stage_all(&self, chunks: &[Bytes]) {
        let numbered = (0..).zip(chunks.iter().cloned());
        self.state().staged.extend(numbered);
    }

    /// Spoils a staged chunk.
    pub fn rot(&self, chunk: u32) {
        self.state().staged.insert(chunk, loads::SPOILT);
    }

    /// What the engine announces.
    pub fn announcement(&self, service: &str, zone: &str, standing: &str, number: u64) -> String {
        let version = self.version();
        let cold_ms = self.state().cold.as_millis() as u64;
        let models = match version {
            0 => serde_json::json!([]),
            _ => serde_json::json!([{"name": "model-a", "version": version, "adapters": []}]),
        };
        serde_json::json!({
            "service": service, "address": self.address.to_string(), "zone": zone, "version": "v1",
            "slots": 8, "state": standing, "cold-remaining-ms": cold_ms, "stage": "combined",
            "models": models, "sequence": number, "born": 999 + self.starts(),
            "layers": self.state().held_layers(),
        })
        .to_string()
    }
}

fn plain(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    http::respond(status, "application/json", http::full(body.into()))
}

impl Engine {
    fn note(&self, arrival: Arrival) -> usize {
        let mut state = self.state();
        state.arrivals.push(arrival);
        state.arrivals.len() - 1
    }

    fn begin(self: &sync::Arc<Self>, index: usize) -> Running {
        let mut state = self.state();
        state.running += 1;
        state.arrivals[index].ran_on = Some(state.version);
        state.arrivals[index].ran_on_chunks = state.loads.held_chunks();
        Running { engine: self.clone(), ended: false }
    }

    async fn serve(
        self: &sync::Arc<Self>,
        id: &str,
        index: usize,
        head: &hyper::http::request::Parts,
    ) -> Result<Response<Body>, io::Error> {
        let behaviour = self.state().behaviour.at(index);
        let expected = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let other_instance =
            expected("x-expected-instance").is_some_and(|it| *it != *self.instance);
        let version = self.version().to_string();
        let other_version = expected("x-expected-version").is_some_and(|it| *it != *version);
        if other_instance || other_version || !self.is_whole() {
            return Ok(self.signed(plain(421, ""), id, &version));
        }
        let pause_s = self.state().asks.pause_s;
        if behaviour == Behaviour::Shed || pause_s.is_some() {
            return Ok(self.turned_away(id, &version, pause_s));
        }
        let mut running = self.begin(index);
        let fatal = self.fatal_to(head);
        if let Some(after) = fatal.as_ref().and_then(Fatal::ends_after) {
            tokio::time::sleep(after).await;
            running.end();
            self.end(fatal.map_or(time::Duration::ZERO, |fatal| fatal.down));
            return std::future::pending().await;
        }
        match behaviour {
            Behaviour::Hang => std::future::pending().await,
            Behaviour::LoseAnswer => {
                running.end();
                return Err(io::Error::other("the answer is lost"));
            }
            _ => (),
        }
        if behaviour == Behaviour::Endless {
            let body = endless::body(running);
            return Ok(self.signed(Response::new(body), id, &version));
        }
        if head.uri.path().starts_with("/stream/") && !matches!(behaviour, Behaviour::Fail(_)) {
            let after = expected("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
            let body = self.events(after, running, &behaviour, fatal);
            return Ok(self.signed(Response::new(body), id, &version));
        }
        let work = self.state().work;
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        running.end();
        let status = match behaviour {
            Behaviour::Fail(status) => status,
            _ => 200,
        };
        let body = match head.uri.query().and_then(|query| query.strip_prefix("bytes=")) {
            Some(len) => long_body(id, len.parse().unwrap_or(0)),
            None => format!("by {}", self.instance).into(),
        };
        let id = if behaviour == Behaviour::OtherAnswer { "another" } else { id };
        Ok(self.signed(plain(status, body), id, &version))
    }

    fn turned_away(&self, id: &str, version: &str, pause_s: Option<f64>) -> Response<Body> {
        let mut response = self.signed(plain(503, ""), id, version);
        let headers = response.headers_mut();
        headers.insert("x-not-executed", "1".parse().expect("a value"));
        if let Some(pause_s) = pause_s {
            headers.insert(header::RETRY_AFTER, pause_s.to_string().parse().expect("a value"));
        }
        response
    }

    fn signed(&self, mut response: Response<Body>, id: &str, version: &str) -> Response<Body> {
        let headers = response.headers_mut();
        let fields = [
            ("x-request-id", id),
            ("x-server-signature", &format!("proof-of-{}", self.instance)),
            ("x-instance-id", &self.instance),
            ("x-weight-versions", version),
        ];
        for (name, value) in fields {
            let name = header::HeaderName::from_static(name);
            headers.insert(name, value.parse().expect("a value"));
        }
        let asks = self.state().asks;
        if let Some(limit_per_s) = asks.limit_per_s {
            let value = limit_per_s.to_string().parse().expect("a value");
            headers.insert("server-limit", value);
        }
        if asks.leaving {
            headers.insert("server-leaving", "1".parse().expect("a value"));
        }
        response
    }

    fn events(
        self: &sync::Arc<Self>,
        after: u64,
        mut running: Running,
        behaviour: &Behaviour,
        fatal: Option<Fatal>,
    ) -> Body {
        let (events, gap) = {
            let state = self.state();
            (state.events, state.event_gap)
        };
        let cut = match behaviour {
            Behaviour::CutWithin(number) => Some(*number),
            _ => None,
        };
        let (sender, receiver) = mpsc::channel::<Result<body::Frame<Bytes>, io::Error>>(1);
        task::spawn(async move {
            for number in after + 1..=events {
                tokio::select! {
                    () = tokio::time::sleep(gap) => (),
                    () = sender.closed() => return,
                }
                running.engine.awake().await;
                let event = event(number);
                let half = event.len() / 2;
                let sent = match cut == Some(number) {
                    true => Bytes::from(event.as_bytes()[..half].to_vec()),
                    false => Bytes::from(event),
                };
                if sender.send(Ok(body::Frame::data(sent))).await.is_err() {
                    return;
                }
                if let Some(fatal) = fatal.as_ref().filter(|it| it.ends_at_event(number)) {
                    running.end();
                    running.engine.end(fatal.down);
                    // Else the body would end as a whole one before its connection does.
                    return sender.closed().await;
                }
                if cut == Some(number) {
                    running.end();
                    let _ = sender.send(Err(io::Error::other("cut"))).await;
                    return;
                }
            }
            running.end();
        });
        let frames = futures_util::stream::unfold(receiver, |mut receiver| async {
            Some((receiver.recv().await?, receiver))
        });
        StreamBody::new(Box::pin(frames)).boxed_unsync()
    }
}

/// Body of an answer to a request that asks for so many bytes, different for each request.
pub fn long_body(id: &str, len: usize) -> Bytes {
    id.bytes().cycle().take(len).collect::<Vec<u8>>().into()
}

/// One event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// A whole stream of so many events.
pub fn whole_stream(events: u64) -> String {
    (1..=events).map(event).collect()
}
