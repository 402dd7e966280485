//! Reads and validates a caller's request.

use std::time;

use hyper::header;
use ragwortdeal_core::{
    directory,
    dispatch::{
        caller_time, forecast, gate, isolation::fingerprint, priority, prompt, residency,
        retry_after, size,
    },
    document,
    document::table,
};

use super::Entry;
use crate::http;

/// Longest time to wait for a request body.
const BODY_MS: u64 = 10_000;

/// When a body that found no memory may find some. One that stands still gives way after a second,
/// and others are held for as long as their requests run.
const BODY_ROOM: retry_after::Room = retry_after::Room { in_ms: 1_000.0, spread_ms: 1_000.0 };

/// A caller gives up on a stream without an event after this time at the earliest.
const ABANDON_MIN: time::Duration = time::Duration::from_secs(2);

/// The same as a multiple of the route's objective for the first event.
const ABANDON_OBJECTIVES: u64 = 4;

/// The same as a multiple of the route's objective for the gap between two events.
const ABANDON_GAP_OBJECTIVES: u64 = 8;

/// How long before the request was read here the caller started to wait, including the way back of
/// the answer.
const ABANDON_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Hop-by-hop headers.
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

/// A valid request of a caller.
pub(super) struct CallerRequest {
    pub(super) id: header::HeaderValue,
    pub(super) method: hyper::Method,
    pub(super) uri: hyper::Uri,
    /// Headers for the upstream, without those that are set for each attempt.
    pub(super) headers: header::HeaderMap,
    pub(super) body: bytes::Bytes,
    pub(super) route: document::Route,
    pub(super) service: directory::Text,
    /// Models of the service, if it is a service of engines.
    pub(super) models: Option<Vec<directory::Text>>,
    /// Latency model of the engines, if it is a service of engines.
    pub(super) latency_model: Option<forecast::LatencyModel>,
    /// Level of the request, if those to its service are ordered.
    pub(super) level: Option<priority::Level>,
    /// Name of the account that calls.
    pub(super) account: Option<directory::Text>,
    /// Milliseconds that an engine takes to read the prompt, 0 if there is none.
    pub(super) reading_ms: f64,
    /// Largest number of tokens of the answer.
    pub(super) answer_tokens: f64,
    pub(super) started: time::Instant,
    /// When the caller or the route's timeout ends the request.
    pub(super) deadline: time::Instant,
    /// Number of the last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// Regions in which it may be served.
    pub(super) residency: residency::Residency,
    /// Parts of its prompt that other requests may hold too.
    pub(super) parts: Vec<prompt::Part>,
    /// What it has in common with the other attempts of its caller.
    pub(super) fingerprint: prompt::Part,
}

impl CallerRequest {
    /// Time until the deadline.
    pub(super) fn remaining(&self) -> time::Duration {
        self.deadline.saturating_duration_since(time::Instant::now())
    }

    /// Time of the caller, who got the last event at `last_event_at`, if any.
    pub(super) fn time(&self, last_event_at: Option<time::Instant>) -> caller_time::CallerTime {
        let remaining_ms = self.remaining().as_secs_f64() * 1_000.0;
        let waiting_since = last_event_at.unwrap_or(self.started);
        let first_event_ms = match self.abandoned_after() {
            Some(after) => {
                let left = after.saturating_sub(waiting_since.elapsed() + ABANDON_MARGIN);
                remaining_ms.min(left.as_secs_f64() * 1_000.0)
            }
            None => remaining_ms,
        };
        caller_time::CallerTime { first_event_ms, answer_ms: remaining_ms }
    }

    /// How long the caller of a stream waits for an event.
    pub(super) fn abandoned_after(&self) -> Option<time::Duration> {
        if !self.route.streams {
            return None;
        }
        let objectives = self.route.objective_ms * ABANDON_OBJECTIVES;
        let gaps = self.route.gap_objective_ms.unwrap_or(0) * ABANDON_GAP_OBJECTIVES;
        Some(time::Duration::from_millis(objectives.max(gaps)).max(ABANDON_MIN))
    }

    /// The work that it is for an engine, if its service is one of engines.
    pub(super) fn work(
        &self,
        sent_before: bool,
        last_event_at: Option<time::Instant>,
    ) -> Option<gate::Work<'_>> {
        let latency_model = self.latency_model?;
        let class = |level| priority::Class { level, account: self.account.as_ref() };
        // How much of an answer is left of which the caller holds a part is not told.
        let holds_part = self.last_event.is_some() || last_event_at.is_some();
        Some(gate::Work {
            latency_model,
            time: self.time(last_event_at),
            pause_max_ms: self.route.gap_objective_ms.unwrap_or(0),
            prefill_ms: self.reading_ms,
            answer_tokens: if holds_part { 0.0 } else { self.answer_tokens },
            admitted: sent_before,
            class: self.level.map(class),
        })
    }

    /// Its size, if its service is one of engines.
    pub(super) fn size(&self) -> Option<size::Size> {
        Some(self.latency_model?.size(self.reading_ms))
    }

    /// The identifier as text, for logs.
    pub(super) fn id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}

/// A refusal: the request did not run and will not run, or it is invalid.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) status: u16,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<time::Duration>,
    /// Whether the connection still carries a part of the request, so that it is closed.
    pub(super) closes: bool,
    /// Level of the refused request, if those to its service are ordered.
    pub(super) level: Option<priority::Level>,
    /// Size of the refused request, if its service is one of engines.
    pub(super) size: Option<size::Size>,
}

impl Refusal {
    pub(super) fn new(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None, closes: false, level: None, size: None }
    }

    /// A refusal with a time after which to retry.
    pub(super) fn retry_after(status: u16, reason: &'static str, after: time::Duration) -> Self {
        Self { retry_after: Some(after), ..Self::new(status, reason) }
    }

    /// The refusal of a request of which a part was not read.
    pub(super) fn closing(self) -> Self {
        Self { closes: true, ..self }
    }

    /// The refusal of this request.
    pub(super) fn of_request(self, request: &CallerRequest) -> Self {
        Self { level: request.level, size: request.size(), ..self }
    }
}

impl Entry {
    /// The parts of a request's prompt that others may hold too. None are taken from a list that
    /// cannot be read: the request is served all the same.
    fn shared_parts(
        &self,
        headers: &header::HeaderMap,
        id: &header::HeaderValue,
    ) -> Vec<prompt::Part> {
        match self.dialect.prompt_parts(headers) {
            Ok(names) => {
                let parts = prompt::shared_parts(&names);
                self.isolation.record_request(&parts, self.clock.now_ms());
                parts
            }
            Err(error) => {
                let request = id.to_str().unwrap_or("?");
                log::info!(request, reason:% = error; "entry: the parts of a prompt are unreadable");
                self.telemetry.count("entry.prompts_unreadable", 1);
                Vec::new()
            }
        }
    }

    /// The fingerprint of a request whose body has been read.
    fn fingerprint(&self, request: &CallerRequest) -> prompt::Part {
        let host = request.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let prompt = request.headers.get(&self.dialect.headers().prompt_parts);
        self.fingerprints.fingerprint(&fingerprint::Identity {
            method: request.method.as_str(),
            host: host.or_else(|| request.uri.host()).unwrap_or_default(),
            path: request.uri.path_and_query().map_or("", |path| path.as_str()),
            account: request.account.as_deref().unwrap_or_default(),
            prompt: prompt.map_or(&[], header::HeaderValue::as_bytes),
            body: &request.body,
        })
    }

    /// Headers for the upstream, without the caller's key and those that the entry sets itself.
    fn upstream_headers(&self, headers: &header::HeaderMap) -> header::HeaderMap {
        let names = self.dialect.headers();
        let mut headers = forwarded(headers);
        headers.remove(header::AUTHORIZATION);
        headers.remove(&names.account);
        headers.remove(&names.expected_instance);
        headers.remove(&names.expected_version);
        headers.remove(&names.priority);
        headers
    }

    /// Reads a request and determines its route, account and service.
    pub(super) async fn read_request(
        &self,
        request: http::Request,
        id: header::HeaderValue,
    ) -> Result<CallerRequest, Refusal> {
        let started = time::Instant::now();
        let Some(table) = self.table.load_full() else {
            let after = time::Duration::from_millis(300);
            return Err(Refusal::retry_after(503, "no document is known here yet", after));
        };
        let names = self.dialect.headers();
        let host = request.header("host").or_else(|| request.uri.host()).unwrap_or_default();
        let route = table.route(host, request.uri.path());
        let route = route.ok_or(Refusal::new(404, "no route"))?;
        let caller = table.caller(route, self.dialect.api_key(&request.headers));
        let mut headers = self.upstream_headers(&request.headers);
        let account = match caller {
            table::Caller::Unknown => return Err(Refusal::new(401, "no account holds this key")),
            table::Caller::Anonymous => None,
            table::Caller::Account(account) => {
                headers.insert(names.account.clone(), account_value(account)?);
                Some(account)
            }
        };
        let residency = residency::Residency::new(route, account);
        let service = document::table::pick_target(route, self.random_u64()).cloned();
        let service = service.ok_or(Refusal::new(503, "the route leads nowhere"))?;
        let level = table.levels(&service).map(|levels| levels.level(account, route));
        let engine = table.engine(&service);
        let models = engine.map(|engine| engine.models.clone());
        let latency_model = engine.map(forecast::LatencyModel::new);
        let tokens = request.header(names.tokens.as_str());
        let tokens = tokens.and_then(|value| self.dialect.tokens(value));
        let reading_ms = match (engine, tokens) {
            (Some(engine), Some(tokens)) => forecast::prefill_ms(engine, f64::from(tokens.prompt)),
            _ => 0.0,
        };
        let answer_tokens = match tokens {
            Some(tokens) => f64::from(tokens.answer_max),
            None => latency_model.map_or(0.0, |model| model.mean_answer_tokens()),
        };
        let number = |name: &header::HeaderName| {
            request.headers.get(name)?.to_str().ok()?.trim().parse::<u64>().ok()
        };
        let waits_ms = number(&names.deadline_ms).unwrap_or(u64::MAX).min(route.timeout_ms);
        let deadline = started + time::Duration::from_millis(waits_ms);
        let last_event = number(&names.last_event);
        let parts = engine.map_or(Vec::new(), |_| self.shared_parts(&request.headers, &id));
        let body_max_bytes = table.document().limits.body_max_bytes;
        let address_bounds = request.body_bounds(body_max_bytes, waits_ms.min(BODY_MS));
        let caller_request = CallerRequest {
            id,
            method: request.method,
            uri: request.uri,
            headers,
            body: bytes::Bytes::new(),
            route: route.clone(),
            service,
            models,
            latency_model,
            level,
            account: account.map(|account| account.name.clone()),
            reading_ms,
            answer_tokens,
            started,
            deadline,
            last_event,
            residency,
            parts,
            fingerprint: prompt::Part::default(),
        };
        let bounds = match &caller_request.account {
            Some(account) => http::BodyBounds { client: account.clone(), ..address_bounds },
            None => address_bounds,
        };
        let body = http::read_request_body(request.body, &bounds, &request.inbound).await;
        self.with_body(caller_request, body)
    }

    /// The whole request, once its body has been read.
    fn with_body(
        &self,
        caller_request: CallerRequest,
        body: Result<bytes::Bytes, http::BodyError>,
    ) -> Result<CallerRequest, Refusal> {
        let error = match body {
            Ok(body) => {
                let caller_request = CallerRequest { body, ..caller_request };
                let fingerprint = self.fingerprint(&caller_request);
                return Ok(CallerRequest { fingerprint, ..caller_request });
            }
            Err(error) => error,
        };
        log::info!(
            request = caller_request.id(), reason:% = error, account = caller_request.account.as_deref();
            "entry: the request body was not read"
        );
        let refusal = match error {
            http::BodyError::TooLarge { .. } => Refusal::new(413, "the body is too large"),
            http::BodyError::NoRoom => {
                let reason = "other bodies hold the memory";
                self.refuse_until_room(&caller_request, Some(BODY_ROOM), reason)
            }
            http::BodyError::Stalled => {
                Refusal::new(408, "the body stood still while others needed its memory")
            }
            http::BodyError::Late => Refusal::new(408, "the body did not come in time"),
            http::BodyError::Cut { .. } => Refusal::new(400, "the body is malformed or was cut"),
        };
        Err(refusal.closing().of_request(&caller_request))
    }
}

/// The account as upstreams are told it.
fn account_value(account: &document::Account) -> Result<header::HeaderValue, Refusal> {
    header::HeaderValue::from_str(&account.name)
        .map_err(|_| Refusal::new(503, "the account has no usable name"))
}

/// Headers without the hop-by-hop ones.
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
