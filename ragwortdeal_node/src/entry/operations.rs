//! Calls to plain services, among them operations that may not be repeated.

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

/// Label of a service whose upstreams together run each key once, and its value. Without it a key
/// that may have run is never sent a second time.
const KEY_SUPPORT_LABEL: (&str, &str) = ("operation-keys", "honoured");

/// How many upstreams one request may be sent to, as long as none of them started it.
const UPSTREAMS_MAX: usize = 3;

/// Answers a call to a plain service below `/services/NAME/`.
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
    let Ok(body) = http::read(request.body, limits.request_max_bytes, limits.gap_ms).await else {
        return refuse(http::Kind::BadRequest, "the body is too large or too slow");
    };
    if matches!(call.method, hyper::Method::GET | hyper::Method::HEAD) {
        return repeatable(&entry, &call, urgency, body).await;
    }
    let mut permit = match entry.admit(&call.account, &call.target(), urgency, &id).await {
        Ok(permit) => permit,
        Err(refusal) => return refused(&entry, call, body, refusal).await,
    };
    permit.answered();
    once(&entry, call, body).await
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

async fn repeatable(
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

/// Runs an operation that may not be repeated.
async fn once(entry: &sync::Arc<Entry>, call: Call, body: bytes::Bytes) -> http::Response {
    let order = match Order::read(call, body) {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    let mut tried = Vec::new();
    loop {
        let (chosen, claim) = match order.prepare(entry, &tried) {
            Ok(prepared) => prepared,
            Err(kind) => {
                let detail = "no upstream may serve this call";
                let refusal = callers::not_run(kind, detail, &order.call.id);
                return unless_known(entry, &order, refusal).await;
            }
        };
        tried.push(chosen.instance.clone());
        let reply = order.run(entry, chosen, claim).await;
        if tried.len() >= UPSTREAMS_MAX || !may_run_elsewhere(&reply) {
            return reply::to_caller(reply, &order.call.id);
        }
    }
}

/// Whether the log says that nothing ran, so that another upstream may be tried at once.
fn may_run_elsewhere(reply: &operation::Reply) -> bool {
    let reason = operation::NotRunReason::NotStarted;
    *reply == operation::Reply::DidNotRun { reason, earlier_unknown: false }
}

/// A caller's request for an operation.
struct Order {
    call: sync::Arc<Call>,
    key: key::ScopedKey,
    body: bytes::Bytes,
    body_digest: digest::Digest,
}

impl Order {
    fn read(call: Call, body: bytes::Bytes) -> Result<Self, http::Response> {
        let Some(Ok(key)) = call.key.as_deref().map(name::OperationKey::new) else {
            // Without a key a resend cannot be told from a second order, so nothing is passed on.
            let detail = "this call needs an Idempotency-Key";
            return Err(callers::not_run(http::Kind::BadRequest, detail, &call.id));
        };
        let (account, service) = (call.account.clone(), call.service.clone());
        let key = key::ScopedKey { account, service, key };
        let parts = (call.method.as_str(), &call.path, &body[..]);
        let body_digest = digest::Digest::of_value(&parts);
        Ok(Self { call: sync::Arc::new(call), key, body, body_digest })
    }

    /// Chooses an upstream that was not tried yet, and makes the claim for it.
    fn prepare(
        &self,
        entry: &sync::Arc<Entry>,
        tried: &[name::InstanceName],
    ) -> Result<(calls::Chosen, state::Claim), http::Kind> {
        let target = self.call.target();
        let chosen = entry.choose(&self.call.account, &target, tried)?;
        let known = entry.announced(&chosen.instance).ok_or(http::Kind::Unavailable)?;
        let claim = state::Claim {
            key: self.key.clone(),
            body_digest: self.body_digest,
            attempt: entry.attempts.lock().expect("no panic under lock").next_id(),
            replaces: None,
            upstream: core_attempt::Upstream {
                instance: chosen.instance.clone(),
                incarnation: core_attempt::Incarnation(known.incarnation),
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
        let times = operation::OperationTimings::default();
        let (operation, first) = operation::Operation::begin(claim, times);
        let (call, body) = (self.call.clone(), self.body.clone());
        let sending = driver::Sending { call, body, chosen };
        let reply = driver::start(entry, id, Some(sending), operation, first);
        reply::within(entry, id, reply).await
    }
}

/// Answers an operation that was not admitted.
async fn refused(
    entry: &sync::Arc<Entry>,
    call: Call,
    body: bytes::Bytes,
    refusal: http::Response,
) -> http::Response {
    match Order::read(call, body) {
        Ok(order) => unless_known(entry, &order, refusal).await,
        Err(refusal) => refusal,
    }
}

/// Refuses an operation that cannot be run now. An earlier request with the key may have an answer
/// all the same, and a plain refusal would make its caller order the operation once more.
async fn unless_known(
    entry: &sync::Arc<Entry>,
    order: &Order,
    refusal: http::Response,
) -> http::Response {
    let (id, call) = (order.key.id(), &order.call);
    match entry.propose_operation(state::Command::Get(id)).await {
        Some(state::Outcome::Existing(standing)) if standing.body_digest != order.body_digest => {
            reply::to_caller(operation::Reply::BodyMismatch, &call.id)
        }
        Some(state::Outcome::Existing(standing)) => settled(entry, *standing, &call.id).await,
        Some(_) => refusal,
        None => {
            let reason = operation::NotRunReason::NoQuorum;
            let reply = operation::Reply::DidNotRun { reason, earlier_unknown: true };
            reply::to_caller(reply, &call.id)
        }
    }
}

/// Replies with what stands, after having settled what only waits for somebody to ask the agent.
async fn settled(
    entry: &sync::Arc<Entry>,
    standing: state::ClaimRecord,
    request_id: &str,
) -> http::Response {
    let id = standing.key.id();
    let times = operation::OperationTimings::default();
    let (operation, first) = operation::Operation::reconcile(standing, times);
    let reply = driver::start(entry, id, None, operation, first);
    reply::to_caller(reply::within(entry, id, reply).await, request_id)
}

/// Answers a caller who asks by the id of an operation, below `/operations/`.
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
    let standing = match entry.propose_operation(state::Command::Get(id)).await {
        Some(state::Outcome::Existing(standing)) if standing.key.account == account => standing,
        Some(_) => return refuse(http::Kind::NotFound, "no such operation is remembered"),
        None => return refuse(http::Kind::CutOff, "no quorum of voters can be reached"),
    };
    settled(&entry, *standing, &request_id).await
}

/// Records an answer that an agent offers because nobody else did.
pub(super) async fn record_late_answer(entry: &Entry, payload: &[u8]) -> wire::Message {
    let Some(late) = attempt::decode::<attempt::LateAnswer>(payload) else {
        return link::refused("late answer", "malformed");
    };
    let attempt::LateAnswer { operation: id, attempt, answer } = late;
    let record = state::Command::Record { id, attempt: attempt.clone(), answer };
    let Some(outcome) = entry.propose_operation(record).await else {
        return link::refused("late answer", "no quorum of voters can be reached");
    };
    if let state::Outcome::Conflict(standing) | state::Outcome::Superseded(standing) = &outcome {
        report_conflict(id, &attempt, standing);
    }
    wire::Message::Proposed(wire::Proposed { payload: attempt::encode(&outcome).into() })
}

/// Somebody has to look at an answer that contradicts what stands: the effect exists, and it may
/// have been asked for again under another key.
fn report_conflict(
    id: key::OperationId,
    attempt: &core_attempt::AttemptId,
    standing: &state::ClaimRecord,
) {
    let state = &standing.state;
    log::error!("operations: answer contradicts, operation={id} attempt={attempt} state={state:?}");
}

impl Entry {
    /// The announcement of an upstream, one that is leaving included.
    fn announced(&self, instance: &name::InstanceName) -> Option<sync::Arc<wire::Announcement>> {
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
