//! Calls to plain services, including operations that must run at most once.

mod driver;
mod reply;
mod settlement;

use std::sync;

use ragwortdeal_core::{
    claims::{attempt as core_attempt, key, operation, state},
    config, digest, name,
};
use ragwortdeal_wire::link as wire;

use super::{Entry, callers, calls};
use crate::{attempt, http, link, telemetry};

pub(super) use settlement::{list, settle};

/// Label, and its value, of a service whose upstreams together run each idempotency key once.
/// Without it, a key that may have run is never sent a second time.
const KEY_SUPPORT_LABEL: (&str, &str) = ("operation-keys", "honoured");

/// Limit of upstreams that one request is sent to; the next is tried only if none has started it.
const UPSTREAMS_MAX: usize = 3;

/// Handles a call to a plain service below `/services/NAME/`.
pub(super) async fn call_service(
    entry: sync::Arc<Entry>,
    request: http::Request,
) -> http::Response {
    let id = request.header(http::REQUEST_ID).map_or_else(|| entry.request_id(), str::to_owned);
    let span = entry.telemetry.span("entry", request.header(telemetry::TRACEPARENT));
    span.note("request_id", &id);
    entry.telemetry.count("entry.service_calls", 1);
    let refuse = |kind, detail: &str| callers::not_run(kind, detail, &id);
    let Some(account) = callers::account(&entry, &request) else {
        return refuse(http::Kind::Unauthorized, "no account has this secret");
    };
    let path = request.uri.path().trim_start_matches("/services/").to_owned();
    let (service, rest) = path.split_once('/').unwrap_or((&path, ""));
    let Ok(service) = name::ServiceName::new(service) else {
        return refuse(http::Kind::BadRequest, "the path names no service");
    };
    let query = request.uri.query().map_or_else(String::new, |query| format!("?{query}"));
    let content_type = request.header("content-type").map(str::to_owned);
    let call = Call {
        id: id.clone(),
        account,
        service,
        method: request.method.clone(),
        path: format!("/{rest}{query}"),
        content_type,
        key: request.header("idempotency-key").map(str::to_owned),
        traceparent: span.traceparent(),
    };
    let limits = &entry.settings.limits;
    let urgency = calls::permit::Urgency::of(&request);
    let bounds = http::BodyBounds {
        client: call.account.as_str().into(),
        ..request.body_bounds(limits.request_max_bytes, limits.gap_ms)
    };
    let body = match http::read_request_body(request.body, &bounds, &request.inbound).await {
        Ok(body) => body,
        Err(error) => return callers::body_refused(&error, &id),
    };
    if matches!(call.method, hyper::Method::GET | hyper::Method::HEAD) {
        return serve_read(&entry, &call, urgency, body).await;
    }
    let mut permit = match entry.admit(&call.account, &call.target(), urgency, &id).await {
        Ok(permit) => permit,
        Err(refusal) => return reply_not_admitted(&entry, call, body, refusal).await,
    };
    permit.answered();
    run_once(&entry, call, body).await
}

struct Call {
    id: String,
    account: name::AccountName,
    service: name::ServiceName,
    method: hyper::Method,
    path: String,
    content_type: Option<String>,
    key: Option<String>,
    /// Trace context for the hop to the agent.
    traceparent: Option<String>,
}

impl Call {
    fn target(&self) -> config::object::ObjectKey {
        config::object::ObjectKey::Service(self.service.clone())
    }
}

async fn serve_read(
    entry: &sync::Arc<Entry>,
    call: &Call,
    urgency: calls::permit::Urgency,
    body: bytes::Bytes,
) -> http::Response {
    let read = calls::reads::Read {
        id: &call.id,
        traceparent: call.traceparent.as_deref(),
        account: &call.account,
        target: &call.target(),
        method: &call.method,
        path: &call.path,
        urgency,
        body,
    };
    calls::reads::serve(entry, &read).await
}

/// Runs an operation at most once.
async fn run_once(entry: &sync::Arc<Entry>, call: Call, body: bytes::Bytes) -> http::Response {
    let request = match OperationRequest::parse(call, body) {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let mut tried = Vec::new();
    loop {
        let (chosen, claim) = match request.prepare_claim(entry, &tried) {
            Ok(prepared) => prepared,
            Err(kind) => {
                let detail = "no upstream may serve this call";
                let refusal = callers::not_run(kind, detail, &request.call.id);
                return existing_outcome_or(entry, &request, refusal).await;
            }
        };
        tried.push(chosen.instance.clone());
        let reply = request.run(entry, chosen, claim).await;
        if tried.len() >= UPSTREAMS_MAX || !can_try_another_upstream(&reply) {
            return reply::into_response(reply, &request.call.id);
        }
    }
}

/// Whether the log confirms that nothing ran, so that another upstream may be tried at once.
fn can_try_another_upstream(reply: &operation::Reply) -> bool {
    let reason = operation::NotRunReason::NotStarted;
    *reply == operation::Reply::DidNotRun { reason, earlier_unknown: false }
}

/// A caller's request for an operation.
struct OperationRequest {
    call: sync::Arc<Call>,
    key: key::ScopedKey,
    body: bytes::Bytes,
    body_digest: digest::Digest,
}

impl OperationRequest {
    fn parse(call: Call, body: bytes::Bytes) -> Result<Self, http::Response> {
        let Some(Ok(key)) = call.key.as_deref().map(name::OperationKey::new) else {
            // Without a key, a retry cannot be told from a new operation, so nothing is forwarded.
            let detail = "this call needs an Idempotency-Key";
            return Err(callers::not_run(http::Kind::BadRequest, detail, &call.id));
        };
        let (account, service) = (call.account.clone(), call.service.clone());
        let key = key::ScopedKey { account, service, key };
        let parts = (call.method.as_str(), &call.path, &body[..]);
        let body_digest = digest::Digest::of_value(&parts);
        Ok(Self { call: sync::Arc::new(call), key, body, body_digest })
    }

    /// Chooses an upstream that was not tried yet and builds the claim for it.
    fn prepare_claim(
        &self,
        entry: &sync::Arc<Entry>,
        tried: &[name::InstanceName],
    ) -> Result<(calls::Chosen, state::Claim), http::Kind> {
        let target = self.call.target();
        let chosen = entry.choose(&self.call.account, &target, tried)?;
        let announcement =
            entry.announcement_of(&chosen.instance).ok_or(http::Kind::Unavailable)?;
        let claim = state::Claim {
            key: self.key.clone(),
            body_digest: self.body_digest,
            attempt: entry.attempts.lock().expect("no panic under lock").next_id(),
            replaces: None,
            upstream: core_attempt::Upstream {
                instance: chosen.instance.clone(),
                incarnation: core_attempt::Incarnation(announcement.incarnation),
            },
            key_support: entry.key_support(&target),
        };
        Ok((chosen, claim))
    }

    async fn run(
        &self,
        entry: &sync::Arc<Entry>,
        chosen: calls::Chosen,
        claim: state::Claim,
    ) -> operation::Reply {
        let id = claim.key.id();
        let timings = operation::OperationTimings::default();
        let (operation, first_actions) = operation::Operation::begin(claim, timings);
        let (call, body) = (self.call.clone(), self.body.clone());
        let pending = driver::PendingCall { call, body, chosen };
        let reply = driver::start(entry, id, Some(pending), operation, first_actions);
        reply::wait(entry, id, reply).await
    }
}

/// Replies to an operation that admission control refused.
async fn reply_not_admitted(
    entry: &sync::Arc<Entry>,
    call: Call,
    body: bytes::Bytes,
    refusal: http::Response,
) -> http::Response {
    match OperationRequest::parse(call, body) {
        Ok(request) => existing_outcome_or(entry, &request, refusal).await,
        Err(refusal) => refusal,
    }
}

/// Replies with the outcome of an earlier request with the same key, or else with `refusal`. A
/// plain refusal would make a caller whose earlier request ran order the operation once more.
async fn existing_outcome_or(
    entry: &sync::Arc<Entry>,
    request: &OperationRequest,
    refusal: http::Response,
) -> http::Response {
    let (id, call) = (request.key.id(), &request.call);
    match entry.propose_operation(state::Command::Get(id)).await {
        Some(state::Outcome::Existing(record)) if record.body_digest != request.body_digest => {
            reply::into_response(operation::Reply::BodyMismatch, &call.id)
        }
        Some(state::Outcome::Existing(record)) => reply_from_record(entry, *record, &call.id).await,
        Some(_) => refusal,
        None => {
            let reason = operation::NotRunReason::NoQuorum;
            let reply = operation::Reply::DidNotRun { reason, earlier_unknown: true };
            reply::into_response(reply, &call.id)
        }
    }
}

/// Replies with the recorded outcome. Reconciles the claim with the agent first, because an outcome
/// that the agent knows may not be recorded yet.
async fn reply_from_record(
    entry: &sync::Arc<Entry>,
    record: state::ClaimRecord,
    request_id: &str,
) -> http::Response {
    let id = record.key.id();
    let timings = operation::OperationTimings::default();
    let (operation, first_actions) = operation::Operation::reconcile(record, timings);
    let reply = driver::start(entry, id, None, operation, first_actions);
    reply::into_response(reply::wait(entry, id, reply).await, request_id)
}

/// Handles a caller's query for the outcome of an operation by its id, below `/operations/`.
pub(super) async fn get_outcome(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    let request_id = entry.request_id();
    let refuse = |kind, detail: &str| callers::not_run(kind, detail, &request_id);
    let Some(account) = callers::account(&entry, &request) else {
        return refuse(http::Kind::Unauthorized, "no account has this secret");
    };
    let path = request.uri.path().trim_start_matches("/operations/");
    let Ok(id) = key::OperationId::parse(path) else {
        return refuse(http::Kind::BadRequest, "the path is no id of an operation");
    };
    let record = match entry.propose_operation(state::Command::Get(id)).await {
        Some(state::Outcome::Existing(record)) if record.key.account == account => record,
        Some(_) => return refuse(http::Kind::NotFound, "no such operation is remembered"),
        None => return refuse(http::Kind::CutOff, "no quorum of voters can be reached"),
    };
    reply_from_record(&entry, *record, &request_id).await
}

/// Records an answer that an agent reports because no entry has acknowledged it.
pub(super) async fn record_late_answer(entry: &Entry, payload: &[u8]) -> wire::Message {
    let Some(late) = attempt::decode::<attempt::LateAnswer>(payload) else {
        return link::refused("late answer", "malformed");
    };
    let attempt::LateAnswer { operation: id, attempt, answer } = late;
    let command = state::Command::Record { id, attempt: attempt.clone(), answer };
    let Some(outcome) = entry.propose_operation(command).await else {
        return link::refused("late answer", "no quorum of voters can be reached");
    };
    if let state::Outcome::Conflict(record) | state::Outcome::Superseded(record) = &outcome {
        log_conflict(id, &attempt, record);
    }
    wire::Message::Proposed(wire::Proposed { payload: attempt::encode(&outcome).into() })
}

/// Logs an answer that contradicts the recorded state. An operator has to look at it: the effect
/// exists, and the caller may have requested it again under another key.
fn log_conflict(
    id: key::OperationId,
    attempt: &core_attempt::AttemptId,
    record: &state::ClaimRecord,
) {
    let state = &record.state;
    log::error!(
        "operations: answer contradicts the recorded state, operation={id} attempt={attempt} \
         state={state:?}"
    );
}

impl Entry {
    /// The announcement of an upstream, which may be leaving.
    fn announcement_of(
        &self,
        instance: &name::InstanceName,
    ) -> Option<sync::Arc<wire::Announcement>> {
        let members = self.members.lock().expect("no panic under lock");
        let found = members.all().find(|(name, _)| *name == instance);
        found.map(|(_, member)| member.announcement.clone())
    }

    fn key_support(&self, service: &config::object::ObjectKey) -> state::KeySupport {
        let config = self.config.borrow();
        let labels = config::object::labels_of(config.objects(), service);
        let (label, honoured) = KEY_SUPPORT_LABEL;
        match labels.and_then(|labels| labels.get(label)) {
            Some(value) if value.as_str() == honoured => state::KeySupport::Service,
            _ => state::KeySupport::None,
        }
    }
}
