//! Calls to plain services, among them operations that may not be repeated.

use std::sync;

use ragwortdeal_core::{command, config, digest, name};

use super::{Entry, callers, calls, control, stream};
use crate::http;

/// Answers a call to a plain service below `/services/NAME/`.
pub(super) async fn service(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    let id = request.header(http::REQUEST_ID).map_or_else(|| entry.request_id(), str::to_owned);
    let refuse = |kind, detail: &str| callers::not_run(kind, detail, &id);
    let Some(account) = callers::account(&entry, &request) else {
        return refuse(http::Kind::Unauthorized, "no account has this secret");
    };
    let path = request.uri.path().trim_start_matches("/services/").to_owned();
    let (service, rest) = path.split_once('/').unwrap_or((&path, ""));
    let Ok(service) = name::ServiceName::new(service) else {
        return refuse(http::Kind::BadRequest, "the path names no service");
    };
    let call = Call {
        id: id.clone(),
        account,
        service,
        method: request.method.clone(),
        path: format!("/{rest}"),
        key: request.header("idempotency-key").map(str::to_owned),
    };
    let limits = &entry.settings.limits;
    let Ok(body) = http::read(request.body, limits.request_max_bytes, limits.gap_ms).await else {
        return refuse(http::Kind::BadRequest, "the body is too large or too slow");
    };
    match call.method {
        hyper::Method::GET | hyper::Method::HEAD => repeatable(&entry, &call, body).await,
        _ => once(&entry, &call, body).await,
    }
}

struct Call {
    id: String,
    account: name::AccountName,
    service: name::ServiceName,
    method: hyper::Method,
    path: String,
    key: Option<String>,
}

async fn repeatable(entry: &Entry, call: &Call, body: bytes::Bytes) -> http::Response {
    let target = config::object::ObjectKey::Service(call.service.clone());
    let chosen = match entry.choose(&call.account, &target, &[]) {
        Ok(chosen) => chosen,
        Err(kind) => return callers::not_run(kind, "no upstream may serve this call", &call.id),
    };
    let request = entry.to_agent(&chosen, call.method.as_str(), &call.path, &call.id, body);
    let limits = &entry.settings.limits;
    match entry.http.send("call agent", &chosen.address, request, limits.first_byte_ms).await {
        Ok(response) => {
            let (request_id, gap_ms) = (call.id.clone(), limits.gap_ms);
            let in_flight = chosen.in_flight;
            stream::relay(response, stream::Watch { request_id, events: false, gap_ms, in_flight })
        }
        Err(error) => callers::not_run(http::Kind::Unavailable, &error.to_string(), &call.id),
    }
}

/// Runs an operation that may not be repeated.
async fn once(entry: &Entry, call: &Call, body: bytes::Bytes) -> http::Response {
    let refuse = |kind, detail: &str| callers::not_run(kind, detail, &call.id);
    let Some(key) = call.key.as_deref().filter(|key| name::check(key).is_ok()) else {
        return refuse(http::Kind::BadRequest, "this call needs an Idempotency-Key");
    };
    let target = config::object::ObjectKey::Service(call.service.clone());
    let chosen = match entry.choose(&call.account, &target, &[]) {
        Ok(chosen) => chosen,
        Err(kind) => return refuse(kind, "no upstream may serve this call"),
    };
    let operation = digest::Digest::of_value(&(&call.account, &call.service, key));
    let body_digest = digest::Digest::of_value(&(call.method.as_str(), &call.path, &body[..]));
    let claim = command::Command::Claim { operation, body: body_digest };
    match entry.propose(&claim).await {
        Ok(command::Outcome::Granted) => (),
        Ok(command::Outcome::Recorded(answer)) => return recorded(&answer),
        Ok(command::Outcome::BodyMismatch) => {
            return refuse(http::Kind::KeyReused, "this key was used for another request");
        }
        Ok(_) => return in_doubt(call, operation, "the operation was sent before"),
        Err(control::ProposeError::NotTaken) => {
            return refuse(http::Kind::CutOff, "no quorum of voters can be reached");
        }
        // The claim may stand; the call has not left, but another resend could see the claim.
        Err(control::ProposeError::Unknown) => {
            return in_doubt(call, operation, "the answer of the voters was lost");
        }
    }
    let answer = match send(entry, call, key, &chosen, body).await {
        Ok(answer) => answer,
        Err(error) => return in_doubt(call, operation, &error.to_string()),
    };
    let record = command::Command::Record { operation, answer: answer.clone() };
    if let Err(error) = entry.propose(&record).await {
        log::warn!("entry: {}: the answer was not recorded: {error}", call.id);
    }
    recorded(&answer)
}

async fn send(
    entry: &Entry,
    call: &Call,
    key: &str,
    chosen: &calls::Chosen,
    body: bytes::Bytes,
) -> Result<command::Answer, http::HttpError> {
    let mut request = entry.to_agent(chosen, call.method.as_str(), &call.path, &call.id, body);
    if let Ok(key) = key.parse() {
        request.headers_mut().insert("idempotency-key", key);
    }
    let limits = &entry.settings.limits;
    let max_bytes = limits.operation_answer_max_bytes;
    let step = "call agent";
    let fetched =
        entry.http.fetch(step, &chosen.address, request, max_bytes, limits.operation_ms).await;
    let (head, bytes) = fetched?;
    let content_type = head.headers.get("content-type").and_then(|value| value.to_str().ok());
    Ok(command::Answer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
        body: bytes.to_vec(),
    })
}

fn recorded(answer: &command::Answer) -> http::Response {
    http::respond(answer.status, &answer.content_type, http::full(answer.body.clone()))
}

fn in_doubt(call: &Call, operation: digest::Digest, detail: &str) -> http::Response {
    let mut problem = calls::unknown(detail, &call.id);
    problem.operation_id = Some(operation.to_string());
    http::answer(&problem)
}
