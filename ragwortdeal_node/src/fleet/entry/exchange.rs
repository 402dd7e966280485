//! One attempt: sends a request to one upstream and reads the head of its answer.

use std::time;

use hyper::{
    body::{Body as _, Incoming},
    header,
    http::response,
};

use super::{Entry, endings, pool, request::CallerRequest, upstreams::selection};
use crate::http;

/// Longest idle time of a connection that is used for a request which must not be repeated. If the
/// connection died meanwhile, it would be unknown whether the request ran.
const IDLE_MAX_UNREPEATABLE: time::Duration = time::Duration::from_millis(200);

/// Longest idle time of a connection that is used for other requests.
const IDLE_MAX_REPEATABLE: time::Duration = time::Duration::from_secs(30);

/// Bytes that may be read for an answer beside its body: its head, what is read ahead of the body,
/// and the framing of small pieces.
pub(super) const UNDELIVERED_MAX_BYTES: u64 = 4 * pool::BUFFER_MAX_BYTES as u64;

/// Bytes that the framing of a body takes at most, as a multiple of the body.
const FRAMING_MAX: u64 = 4;

/// Bytes that may be read for so many bytes of a body.
pub(super) fn framed_bytes(body_bytes: usize) -> u64 {
    FRAMING_MAX * body_bytes as u64
}

/// Outcome of an attempt.
pub(super) enum Outcome {
    /// Nothing was sent, or nothing arrived.
    NotSent(String),
    /// The upstream reports that it did not execute the request.
    NotExecuted(response::Parts),
    /// The request may have been executed, and there is no answer.
    Lost(Loss),
    /// It was withdrawn from the upstream, which may have executed it, as it or a part of its prompt
    /// was isolated.
    Withdrawn,
    /// The head of the answer to this request.
    Answer(Box<Answer>),
}

/// Why there is no answer, or only a part of one.
#[derive(Debug)]
pub(super) struct Loss {
    pub(super) reason: String,
    /// Whether the connection ended.
    pub(super) connection_ended: bool,
    /// Bytes that were read from the upstream for the answer.
    pub(super) read_bytes: u64,
}

impl Loss {
    /// A loss on a connection that did not end.
    pub(super) fn new(reason: impl Into<String>) -> Self {
        Self { reason: reason.into(), connection_ended: false, read_bytes: 0 }
    }

    /// A loss by the end of the connection.
    pub(super) fn connection_end(reason: impl Into<String>) -> Self {
        Self { connection_ended: true, ..Self::new(reason) }
    }

    /// A loss by an error on the connection.
    pub(super) fn of_error(step: &str, error: &hyper::Error) -> Self {
        let connection_ended = endings::is_connection_end(error);
        Self { connection_ended, ..Self::new(format!("{step}: {error}")) }
    }

    /// The same loss, with the bytes that were read on a connection.
    pub(super) fn on(self, connection: &pool::Connection) -> Self {
        Self { read_bytes: connection.meter.read_bytes(), ..self }
    }
}

/// An answer whose body is still to be read.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: pool::Connection,
    /// Whether the framing tells where the body ends. Else it ends with the connection, as it also
    /// does where the upstream ends.
    pub(super) framed: bool,
    /// How long the connection may be kept idle afterwards.
    pub(super) keep_alive: Option<time::Duration>,
    /// Time from sending the request to the head.
    pub(super) took: time::Duration,
}

impl Entry {
    /// Sends a request to an upstream and waits for the head of the answer.
    pub(super) async fn exchange(
        &self,
        request: &CallerRequest,
        selected: &selection::Selected,
        last_event: Option<u64>,
    ) -> Outcome {
        use ragwortdeal_core::document::RetryPolicy;
        let idle_max = match request.route.retry_policy {
            RetryPolicy::Never => IDLE_MAX_UNREPEATABLE,
            RetryPolicy::Idempotent | RetryPolicy::Resume => IDLE_MAX_REPEATABLE,
        };
        let kept = self.pool.take(&selected.peer, idle_max);
        let mut connection = match kept {
            Some(connection) => connection,
            None => match pool::connect(&selected.peer).await {
                Ok(connection) => connection,
                Err(error) => {
                    let now_ms = self.clock.now_ms();
                    self.upstreams().record_unreachable(&selected.peer.instance, now_ms);
                    return Outcome::NotSent(error.to_string());
                }
            },
        };
        let outgoing = self.outgoing(request, selected, last_event);
        connection.meter.restart(UNDELIVERED_MAX_BYTES);
        let begun = time::Instant::now();
        let sent = connection.sender.try_send_request(outgoing);
        let bound = selected
            .time_to_start()
            .map_or(request.remaining(), |to_start| to_start.min(request.remaining()));
        let answered = tokio::select! {
            answered = tokio::time::timeout(bound, sent) => answered,
            () = selected.stalled() => {
                return Outcome::Lost(Loss::new("the upstream fell silent").on(&connection));
            }
            () = self.isolation.becomes_isolated(request) => {
                return Outcome::Withdrawn;
            }
        };
        let response = match answered {
            Err(_) => return Outcome::Lost(Loss::new("no answer in time").on(&connection)),
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(_) => Outcome::NotSent(error.error().to_string()),
                    None => {
                        let loss = Loss::of_error("await the answer", error.error());
                        Outcome::Lost(loss.on(&connection))
                    }
                };
            }
            Ok(Ok(response)) => response,
        };
        selected.record_activity();
        let (head, body) = response.into_parts();
        let framed = is_framed(&head, &body);
        let keep_alive = pool::keep_alive(&head.headers).filter(|_| framed);
        let took = begun.elapsed();
        self.classify(request, Answer { framed, keep_alive, head, body, connection, took })
    }

    /// Tells the answer to this request from a late answer to another one, which can arrive on a
    /// connection whose upstream sent more than was requested.
    fn classify(&self, request: &CallerRequest, answer: Answer) -> Outcome {
        let names = self.dialect.headers();
        let headers = &answer.head.headers;
        let echoed = headers.get(&names.request_id);
        if !http::is_final_status(answer.head.status) {
            let status = answer.head.status.as_u16();
            return Outcome::Lost(Loss::new(format!("status {status} ends no exchange")));
        }
        let not_executed = headers.contains_key(&names.not_executed) || answer.head.status == 421;
        match echoed {
            Some(id) if *id != request.id => {
                Outcome::Lost(Loss::new("the answer belongs to another request"))
            }
            None if !not_executed || answer.connection.reused => {
                Outcome::Lost(Loss::new("the answer names no request"))
            }
            _ if not_executed => Outcome::NotExecuted(answer.head),
            _ => Outcome::Answer(Box::new(answer)),
        }
    }

    fn outgoing(
        &self,
        request: &CallerRequest,
        selected: &selection::Selected,
        last_event: Option<u64>,
    ) -> hyper::Request<pool::RequestBody> {
        let names = self.dialect.headers();
        let mut headers = request.headers.clone();
        let left_ms = request.remaining().as_millis() as u64;
        headers.insert(names.deadline_ms.clone(), header::HeaderValue::from(left_ms));
        if let Ok(instance) = header::HeaderValue::from_str(&selected.peer.instance) {
            headers.insert(names.expected_instance.clone(), instance);
        }
        if let Some(version) = selected.version {
            headers.insert(names.expected_version.clone(), header::HeaderValue::from(version));
        }
        if let Some(level) = request.level {
            let number = if selected.starts_first { 0 } else { level.number() };
            headers.insert(names.priority.clone(), header::HeaderValue::from(number));
        }
        if let Some(last) = last_event {
            headers.insert(names.last_event.clone(), header::HeaderValue::from(last));
        }
        let path = request.uri.path_and_query().cloned();
        let mut outgoing = hyper::Request::new(pool::RequestBody::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = path.map_or_else(hyper::Uri::default, hyper::Uri::from);
        *outgoing.headers_mut() = headers;
        outgoing
    }
}

/// Whether an answer tells where its body ends.
fn is_framed(head: &response::Parts, body: &Incoming) -> bool {
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    is_chunked || body.is_end_stream() || body.size_hint().exact().is_some()
}
