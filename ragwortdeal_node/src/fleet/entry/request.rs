//! A caller's request, read and judged.

use std::time;

use hyper::header;
use ragwortdeal_core::{
    directory,
    dispatch::{forecast, gate, retry_detection},
    document,
    document::table,
};

use super::Entry;
use crate::http;

/// Longest time for which a body is waited for where the caller names no deadline.
const BODY_MS: u64 = 10_000;

/// Shortest time after which the caller of a stream that has no event leaves.
const LEAVES_MIN: time::Duration = time::Duration::from_secs(2);

/// The same as a multiple of the operator's objective for the first event.
const LEAVES_OBJECTIVES: u64 = 4;

/// The same as a multiple of the operator's objective for the pause between two events.
const LEAVES_GAPS: u64 = 8;

/// How much earlier a caller began to wait than its request was read here, with what an answer takes
/// on its way back.
const LEAVES_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// A request that may be served.
pub(super) struct Asked {
    pub(super) id: header::HeaderValue,
    pub(super) method: hyper::Method,
    pub(super) uri: hyper::Uri,
    /// Headers for the upstream, without those that are set for each attempt.
    pub(super) headers: header::HeaderMap,
    pub(super) body: bytes::Bytes,
    pub(super) route: document::Route,
    pub(super) service: directory::Text,
    /// Models of the service where it is one of engines.
    pub(super) models: Option<Vec<directory::Text>>,
    /// How the engines work, where it is one of engines.
    pub(super) pace: Option<forecast::LatencyModel>,
    /// What is left of the caller's time.
    pub(super) patience: retry_detection::RemainingTime,
    /// Milliseconds that an engine takes to read the prompt, 0 where there is none.
    pub(super) reading_ms: f64,
    pub(super) started: time::Instant,
    /// When the caller or the operator stops waiting.
    pub(super) deadline: time::Instant,
    /// Number of the last event that the caller has.
    pub(super) last_event: Option<u64>,
}

impl Asked {
    /// Time that is left.
    pub(super) fn left(&self) -> time::Duration {
        self.deadline.saturating_duration_since(time::Instant::now())
    }

    /// What it asks of an engine, where its service is one of engines. A request that was sent
    /// before goes on elsewhere.
    pub(super) fn work(&self, sent_before: bool) -> Option<gate::Work> {
        let pace = self.pace?;
        let (aim_ms, reading_ms) = (self.route.objective_ms, self.reading_ms);
        let urgency = if sent_before || self.last_event.is_some() {
            forecast::Urgency::Resumed
        } else if self.patience.is_retry() {
            forecast::Urgency::Late
        } else {
            pace.urgency(aim_ms, reading_ms)
        };
        let gap_ms = self.route.gap_objective_ms.unwrap_or(0);
        Some(gate::Work {
            latency_model: pace,
            objective_ms: aim_ms,
            gap_objective_ms: gap_ms,
            prefill_ms: reading_ms,
            urgency,
        })
    }

    /// Whether the caller of a stream without an event leaves before one comes so many milliseconds
    /// from now. Sent on all the same, the request would only run for nobody.
    pub(super) fn is_left_before(&self, first_event_ms: f64) -> bool {
        if !self.route.streams {
            return false;
        }
        let objectives = self.route.objective_ms * LEAVES_OBJECTIVES;
        let gaps = self.route.gap_objective_ms.unwrap_or(0) * LEAVES_GAPS;
        let leaves = time::Duration::from_millis(objectives.max(gaps)).max(LEAVES_MIN);
        let first_event = time::Duration::from_secs_f64(first_event_ms / 1_000.0);
        self.started.elapsed() + first_event + LEAVES_MARGIN >= leaves
    }

    /// The identifier as text, for logs.
    pub(super) fn id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}

/// A refusal: the request did not run and never will, or it is no proper request.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) status: u16,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<time::Duration>,
}

impl Refusal {
    pub(super) fn new(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// A refusal that says when to come back.
    pub(super) fn later(status: u16, reason: &'static str, after: time::Duration) -> Self {
        Self { status, reason, retry_after: Some(after) }
    }
}

impl Entry {
    /// What is left of the time of a caller that goes on waiting for so long.
    fn patience(&self, route: &directory::Text, left_ms: u64) -> retry_detection::RemainingTime {
        self.fleet().patience(route, left_ms, self.clock.now_ms())
    }

    /// Reads a request and finds its route, its account and its service.
    pub(super) async fn read_request(
        &self,
        request: http::Request,
        id: header::HeaderValue,
    ) -> Result<Asked, Refusal> {
        let started = time::Instant::now();
        let Some(table) = self.table.load_full() else {
            let after = time::Duration::from_millis(300);
            return Err(Refusal::later(503, "no document is known here yet", after));
        };
        let names = self.spoken.headers();
        let host = request.header("host").or_else(|| request.uri.host()).unwrap_or_default();
        let route = table.route(host, request.uri.path());
        let route = route.ok_or(Refusal::new(404, "no route"))?;
        let caller = table.caller(route, self.spoken.api_key(&request.headers));
        let mut headers = forwarded(&request.headers);
        headers.remove(header::AUTHORIZATION);
        headers.remove(&names.account);
        headers.remove(&names.expected_instance);
        headers.remove(&names.expected_version);
        headers.remove(&names.priority);
        match caller {
            table::Caller::Unknown => return Err(Refusal::new(401, "no account holds this key")),
            table::Caller::Anonymous => (),
            table::Caller::Account(account) => {
                let value = header::HeaderValue::from_str(&account.name);
                let value =
                    value.map_err(|_| Refusal::new(503, "the account has no usable name"))?;
                headers.insert(names.account.clone(), value);
            }
        }
        let service = document::table::pick_target(route, self.draw()).cloned();
        let service = service.ok_or(Refusal::new(503, "the route leads nowhere"))?;
        let engine = table.engine(&service);
        let models = engine.map(|engine| engine.models.clone());
        let pace = engine.map(forecast::LatencyModel::new);
        let tokens = request.header(names.tokens.as_str());
        let tokens = tokens.and_then(|value| self.spoken.tokens(value));
        let reading_ms = match (engine, tokens) {
            (Some(engine), Some(tokens)) => forecast::prefill_ms(engine, f64::from(tokens.prompt)),
            _ => 0.0,
        };
        let number = |name: &header::HeaderName| {
            request.headers.get(name)?.to_str().ok()?.trim().parse::<u64>().ok()
        };
        let waits_ms = number(&names.deadline_ms).unwrap_or(u64::MAX).min(route.timeout_ms);
        let deadline = started + time::Duration::from_millis(waits_ms);
        let last_event = number(&names.last_event);
        let body_max_bytes = table.document().limits.body_max_bytes;
        let asked = Asked {
            id,
            method: request.method,
            uri: request.uri,
            headers,
            body: bytes::Bytes::new(),
            route: route.clone(),
            service,
            models,
            pace,
            patience: self.patience(&route.name, waits_ms),
            reading_ms,
            started,
            deadline,
            last_event,
        };
        let body = http::read(request.body, body_max_bytes, waits_ms.min(BODY_MS)).await;
        match body {
            Ok(body) => Ok(Asked { body, ..asked }),
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                Err(Refusal::new(408, "the body did not come in time"))
            }
            Err(error) => {
                log::info!(request = asked.id(), reason:% = error; "entry: the body did not come");
                Err(Refusal::new(413, "the body is too large or was cut"))
            }
        }
    }
}

/// Headers that go on to the next hop.
pub(super) fn forwarded(headers: &header::HeaderMap) -> header::HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = header::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop =
            HOP_HEADERS.contains(&name.as_str()) || named.iter().any(|it| it == name.as_str());
        if !hop && name != header::CONTENT_LENGTH {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
