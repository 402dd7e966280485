//! One attempt at a call, up to the first byte of its answer.

use std::{sync, time};

use http_body_util::BodyExt as _;
use ragwortdeal_core::{name, retry, routing};
use ragwortdeal_wire::operator as wire;

use super::super::{Entry, stream::source};
use super::{Call, Chosen};
use crate::http;

/// Largest error of an agent that is read.
const PROBLEM_MAX_BYTES: usize = 64 << 10;

/// An answer whose first byte is here.
pub(super) struct Begun {
    pub(super) head: hyper::http::response::Parts,
    pub(super) first: Option<bytes::Bytes>,
    pub(super) body: http::RequestBody,
    pub(super) chosen: Chosen,
    pub(super) cancel: source::Cancel,
}

/// An attempt that came to nothing.
pub(super) struct Failed {
    pub(super) instance: name::InstanceName,
    pub(super) failure: retry::Failure,
    pub(super) detail: String,
}

/// Sends a call to one upstream and waits for the first byte of its answer.
///
/// An upstream often answers the head at once and dies while it works on the prompt. As long as
/// nothing has reached the caller, that call can run elsewhere.
pub(super) async fn begin(
    entry: &sync::Arc<Entry>,
    call: &Call,
    mut chosen: Chosen,
    patience_ms: u64,
) -> Result<Begun, Failed> {
    let instance = chosen.instance.clone();
    let failed = |failure, detail| Failed { instance: instance.clone(), failure, detail };
    let mut cancel = source::Cancel::new(entry.clone(), &chosen, &call.hop_id);
    match first_byte(entry, call, &chosen, patience_ms).await {
        Ok((head, first, body)) => Ok(Begun { head, first, body, chosen, cancel }),
        Err((failure, detail)) => {
            if failure == retry::Failure::NotRun {
                cancel.disarm();
            }
            chosen.in_flight.ended(routing::Outcome::Failed);
            Err(failed(failure, format!("{instance}: {detail}")))
        }
    }
}

type FirstByte = (hyper::http::response::Parts, Option<bytes::Bytes>, http::RequestBody);

async fn first_byte(
    entry: &Entry,
    call: &Call,
    chosen: &Chosen,
    patience_ms: u64,
) -> Result<FirstByte, (retry::Failure, String)> {
    let lost = |detail: String| (retry::Failure::NoAnswer, detail);
    let mut request = entry.to_agent(chosen, "POST", &call.path, &call.hop_id, call.body.clone());
    Entry::trace(&mut request, call.traceparent.as_deref());
    let priority = hyper::header::HeaderValue::from_static(call.urgency.priority_text());
    request.headers_mut().insert(http::PRIORITY, priority);
    let response = self::head(entry, chosen, request, patience_ms).await?;
    if response.status().is_server_error() || response.status() == 409 {
        return Err(refused(response, patience_ms).await);
    }
    let (head, mut body) = response.into_parts();
    let made_by = head.headers.get(http::MODEL_VERSION);
    let made_by = made_by.and_then(|value| value.to_str().ok());
    if head.status.is_success() && made_by != chosen.version.as_deref() {
        return Err(lost("answered by another version".to_owned()));
    }
    let patience = time::Duration::from_millis(patience_ms);
    match tokio::time::timeout(patience, body.frame()).await {
        Ok(Some(Ok(frame))) => Ok((head, frame.into_data().ok(), body)),
        Ok(None) => Ok((head, None, body)),
        Ok(Some(Err(error))) => Err(lost(format!("broke off before the first byte: {error}"))),
        Err(_) => Err(lost(format!("no first byte within {patience_ms} ms"))),
    }
}

/// Sends a request to an agent and waits for the head of its answer. An answer by which the agent
/// says that it could not reach its upstream is a failure.
pub(super) async fn head(
    entry: &Entry,
    chosen: &Chosen,
    request: hyper::Request<http::Body>,
    patience_ms: u64,
) -> Result<hyper::Response<http::RequestBody>, (retry::Failure, String)> {
    let sent = entry.http.send("call agent", &chosen.address, request, patience_ms).await;
    let response = sent.map_err(|error| match error {
        http::HttpError::NotSent { .. } => (retry::Failure::NotRun, error.to_string()),
        _ => (retry::Failure::NoAnswer, error.to_string()),
    })?;
    match matches!(response.status().as_u16(), 502 | 503) && is_problem(response.headers()) {
        true => Err(refused(response, patience_ms).await),
        false => Ok(response),
    }
}

fn is_problem(headers: &hyper::HeaderMap) -> bool {
    headers.get("content-type").is_some_and(|kind| kind == http::PROBLEM_JSON)
}

/// Reads why an agent refused. Only its own word makes a call one that did not run.
async fn refused(
    response: hyper::Response<http::RequestBody>,
    patience_ms: u64,
) -> (retry::Failure, String) {
    let (head, body) = response.into_parts();
    let typed = is_problem(&head.headers);
    let bytes = http::read(body, PROBLEM_MAX_BYTES, patience_ms).await.unwrap_or_default();
    let problem = serde_json::from_slice::<wire::Problem>(&bytes).ok().filter(|_| typed);
    let not_run = problem.is_some_and(|problem| problem.ran == wire::Ran::DidNotRun);
    let failure = if not_run { retry::Failure::NotRun } else { retry::Failure::NoAnswer };
    (failure, format!("answered {}", head.status))
}
