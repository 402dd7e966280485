//! One attempt: a request to one upstream, and the head of its answer.

use std::time;

use hyper::{body::Incoming, header, http::response};

use super::{Entry, pool, request::Asked, upstreams::chosen};

/// A connection that was idle for longer is not used for a request that may not be repeated: if it
/// went silent meanwhile, nobody could tell whether the request ran.
const FRESH_UNSAFE: time::Duration = time::Duration::from_millis(200);

/// Idle time up to which a connection is used for other requests.
const FRESH: time::Duration = time::Duration::from_secs(30);

/// How an attempt ended.
pub(super) enum Outcome {
    /// Nothing left this process, or nothing arrived.
    NotSent(String),
    /// The upstream says that it did not run the request.
    NotRun(response::Parts),
    /// The request may have run, and there is no answer.
    Lost(String),
    /// The head of the answer to this very request.
    Answer(Box<Answer>),
}

/// An answer whose body is still to come.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: pool::Connection,
    /// For how long the connection may be kept afterwards.
    pub(super) keep: Option<time::Duration>,
    /// Time from the sending to the head.
    pub(super) took: time::Duration,
}

impl Entry {
    /// Sends a request to an upstream and waits for the head of the answer.
    pub(super) async fn exchange(
        &self,
        asked: &Asked,
        chosen: &chosen::Chosen,
        last_event: Option<u64>,
    ) -> Outcome {
        use ragwortdeal_core::document::RetryPolicy;
        let fresh = match asked.route.retry_policy {
            RetryPolicy::Never => FRESH_UNSAFE,
            RetryPolicy::Idempotent | RetryPolicy::Resume => FRESH,
        };
        let kept = self.pool.take(&chosen.peer, fresh);
        let mut connection = match kept {
            Some(connection) => connection,
            None => match pool::connect(&chosen.peer).await {
                Ok(connection) => connection,
                Err(reason) => return Outcome::NotSent(reason),
            },
        };
        let request = self.outgoing(asked, chosen, last_event);
        let begun = time::Instant::now();
        let sent = connection.sender.try_send_request(request);
        let left = chosen.left_to_begin().map_or(asked.left(), |left| left.min(asked.left()));
        let answered = tokio::select! {
            answered = tokio::time::timeout(left, sent) => answered,
            () = chosen.stalled() => {
                return Outcome::Lost("its upstream has gone quiet".to_owned());
            }
        };
        let response = match answered {
            Err(_) => return Outcome::Lost("no answer in time".to_owned()),
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(_) => Outcome::NotSent(error.error().to_string()),
                    None => Outcome::Lost(error.error().to_string()),
                };
            }
            Ok(Ok(response)) => response,
        };
        chosen.spoke();
        let (head, body) = response.into_parts();
        let keep = pool::keep(&head.headers);
        self.judge(asked, Answer { keep, head, body, connection, took: begun.elapsed() })
    }

    /// Tells an answer to this request from a late one to another, which may come on a connection
    /// whose upstream sent more than it was asked for.
    fn judge(&self, asked: &Asked, answer: Answer) -> Outcome {
        let names = self.spoken.headers();
        let headers = &answer.head.headers;
        let echoed = headers.get(&names.request_id);
        let not_run = headers.contains_key(&names.not_executed) || answer.head.status == 421;
        match echoed {
            Some(id) if *id != asked.id => {
                Outcome::Lost("the answer belongs to another request".to_owned())
            }
            None if !not_run || answer.connection.reused => {
                Outcome::Lost("the answer names no request".to_owned())
            }
            _ if not_run => Outcome::NotRun(answer.head),
            _ => Outcome::Answer(Box::new(answer)),
        }
    }

    fn outgoing(
        &self,
        asked: &Asked,
        chosen: &chosen::Chosen,
        last_event: Option<u64>,
    ) -> hyper::Request<pool::RequestBody> {
        let names = self.spoken.headers();
        let mut headers = asked.headers.clone();
        let left_ms = asked.left().as_millis() as u64;
        headers.insert(names.deadline_ms.clone(), header::HeaderValue::from(left_ms));
        if let Ok(instance) = header::HeaderValue::from_str(&chosen.peer.instance) {
            headers.insert(names.expected_instance.clone(), instance);
        }
        if let Some(version) = chosen.version {
            headers.insert(names.expected_version.clone(), header::HeaderValue::from(version));
        }
        if let Some(last) = last_event {
            headers.insert(names.last_event.clone(), header::HeaderValue::from(last));
        }
        let path = asked.uri.path_and_query().cloned();
        let mut request = hyper::Request::new(pool::RequestBody::new(asked.body.clone()));
        *request.method_mut() = asked.method.clone();
        *request.uri_mut() = path.map_or_else(hyper::Uri::default, hyper::Uri::from);
        *request.headers_mut() = headers;
        request
    }
}
