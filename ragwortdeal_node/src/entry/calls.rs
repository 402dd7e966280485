//! Completions: from a caller to an engine and back.

mod attempt;
pub(super) mod demand;
mod history;
pub(super) mod permit;
pub(super) mod reads;
pub(super) mod traffic;

use std::sync;

use ragwortdeal_core::{admission::refusal, config, digest, name};
use ragwortdeal_wire::operator as wire;

use super::{Entry, callers, stream};
use crate::{http, telemetry};

/// Start of a prompt that engines may share, in bytes. Shorter prompts are not worth an affinity.
const PREFIX_BYTES: usize = 256;

/// Longest identifier that a caller may give its request.
const REQUEST_ID_MAX_BYTES: usize = 64;

/// A parsed call for a completion.
pub(super) struct Call {
    /// Identifier towards the caller.
    pub(super) id: String,
    /// Identifier on all hops behind the entry. Callers choose theirs freely, and two calls with
    /// one identifier at an engine could be handed each other's answer on a resume.
    pub(super) hop_id: String,
    pub(super) account: name::AccountName,
    path: String,
    model: name::ModelName,
    body: bytes::Bytes,
    events: bool,
    urgency: permit::Urgency,
    /// When the caller stops waiting.
    deadline_ms: u64,
    prefix: Option<u64>,
    /// Trace context for the hop to the agent.
    traceparent: Option<String>,
}

/// An upstream that was chosen for a call.
pub(super) struct Chosen {
    pub(super) instance: name::InstanceName,
    pub(super) address: String,
    pub(super) version: Option<String>,
    /// Counts the call as in flight until it is dropped.
    pub(super) in_flight: traffic::InFlight,
}

/// The way to an agent.
struct Hop<'a> {
    address: &'a str,
    version: Option<&'a str>,
    id: &'a str,
}

/// Answers a call for a completion.
pub(super) async fn complete(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    let id = request.header(http::REQUEST_ID).map_or_else(|| entry.request_id(), str::to_owned);
    let span = entry.telemetry.span("entry", request.header(telemetry::TRACEPARENT));
    span.note("request_id", &id);
    entry.telemetry.count("entry.completions", 1);
    let answer = match read(&entry, request, id).await {
        Ok(call) => {
            let traceparent = span.traceparent();
            serve(entry.clone(), Call { traceparent, ..call }).await
        }
        Err(refusal) => refusal,
    };
    if !answer.status().is_success() {
        entry.telemetry.count("entry.completions_refused", 1);
    }
    answer
}

async fn read(entry: &Entry, request: http::Request, id: String) -> Result<Call, http::Response> {
    let refuse = |kind, detail: &str| Err(callers::not_run(kind, detail, &id));
    let Some(account) = callers::account(entry, &request) else {
        return refuse(http::Kind::Unauthorized, "no account has this secret");
    };
    let limits = &entry.settings.limits;
    let path = request.uri.path().to_owned();
    let request_id_given = request.headers.contains_key(http::REQUEST_ID);
    let urgency = permit::Urgency::of(&request);
    let deadline_ms = urgency.deadline_ms(entry.clock.now_ms());
    let bounds = http::BodyBounds {
        client: account.as_str().into(),
        ..request.body_bounds(limits.request_max_bytes, limits.gap_ms)
    };
    let body = match http::read_request_body(request.body, &bounds, &request.inbound).await {
        Ok(body) => body,
        Err(error) => return Err(callers::body_refused(&error, &id)),
    };
    let Ok(fields) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return refuse(http::Kind::BadRequest, "the body is no JSON");
    };
    let Some(Ok(model)) = fields["model"].as_str().map(name::ModelName::new) else {
        return refuse(http::Kind::BadRequest, "the field model is missing or no name");
    };
    let events = fields["stream"].as_bool().unwrap_or(false);
    let prefix = prefix(&fields);
    let hop_id = match request_id_given {
        true => hop_id(entry, &id),
        false => id.clone(),
    };
    let traceparent = None;
    Ok(Call {
        id,
        hop_id,
        account,
        path,
        model,
        body,
        events,
        urgency,
        deadline_ms,
        prefix,
        traceparent,
    })
}

/// An identifier that is unique and still shows the caller's own.
fn hop_id(entry: &Entry, id: &str) -> String {
    let own = entry.request_id();
    let given = id.len() <= REQUEST_ID_MAX_BYTES && name::check(id).is_ok();
    if given { format!("{id}.{own}") } else { own }
}

/// Hash of the start of the prompt, if it is long enough to be worth finding again.
fn prefix(fields: &serde_json::Value) -> Option<u64> {
    let start = match &fields["prompt"] {
        serde_json::Value::String(prompt) => prompt.as_bytes().get(..PREFIX_BYTES)?.to_vec(),
        _ => fields["messages"][0]["content"].as_str()?.as_bytes().get(..PREFIX_BYTES)?.to_vec(),
    };
    let hash = digest::Digest::of(&start);
    Some(hash.as_bytes()[..8].iter().fold(0, |value, &byte| value << 8 | u64::from(byte)))
}

async fn serve(entry: sync::Arc<Entry>, call: Call) -> http::Response {
    let target = config::object::ObjectKey::Model(call.model.clone());
    let permit = match entry.admit(&call.account, &target, call.urgency, &call.id).await {
        Ok(permit) => permit,
        Err(refusal) => return refusal,
    };
    let mut history = history::History::new(&call.id, call.deadline_ms);
    loop {
        let wanted = traffic::Wanted {
            account: &call.account,
            target: &target,
            excluded: &history.tried,
            prefix: call.prefix,
        };
        let chosen = match entry.choose_for(&wanted) {
            Ok(chosen) => chosen,
            Err(kind) => return history.nobody_left(kind),
        };
        history.tried.push(chosen.instance.clone());
        let patience_ms = history.patience_ms(&entry);
        let failed = match attempt::begin(&entry, &call, chosen, patience_ms).await {
            Ok(begun) => return answer(entry, &call, begun, permit),
            Err(failed) => failed,
        };
        if let Err(answer) = history.again(&entry, failed) {
            return answer;
        }
    }
}

fn answer(
    entry: sync::Arc<Entry>,
    call: &Call,
    begun: attempt::Begun,
    permit: permit::Permit,
) -> http::Response {
    let attempt::Begun { head, first, body, chosen, cancel } = begun;
    let mut in_flight = chosen.in_flight;
    in_flight.hold(permit);
    let watch = stream::Watch {
        request_id: call.id.clone(),
        events: call.events,
        gap_ms: entry.settings.limits.gap_ms,
        in_flight,
    };
    let version = chosen.version.unwrap_or_default();
    let (instance, address) = (chosen.instance, chosen.address);
    let hop_id = call.hop_id.clone();
    let source = stream::source::Source::new(entry, instance, address, version, hop_id, cancel);
    stream::relay_begun(head, first, body, watch, source)
}

impl Entry {
    /// Lets a caller in, or gives the refusal to answer with.
    pub(super) async fn admit(
        self: &sync::Arc<Self>,
        account: &name::AccountName,
        target: &config::object::ObjectKey,
        urgency: permit::Urgency,
        id: &str,
    ) -> Result<permit::Permit, http::Response> {
        if !self.knows_configuration() {
            let detail = "the configuration in force is not known here yet";
            return Err(callers::not_run(http::Kind::Unavailable, detail, id));
        }
        if let Err(kind) = self.routable(account, target) {
            return Err(callers::not_run(kind, "no upstream may serve this call now", id));
        }
        let deadline_ms = urgency.deadline_ms(self.clock.now_ms());
        let acquired = permit::acquire(self, account, target, deadline_ms, urgency).await;
        acquired.map_err(|refusal| refused(&refusal, id))
    }

    /// Whether a call may go anywhere. A fresh look at the members is worth its price before a
    /// refusal.
    fn routable(
        &self,
        account: &name::AccountName,
        target: &config::object::ObjectKey,
    ) -> Result<(), http::Kind> {
        let look = || {
            let config = self.config.borrow();
            let mut traffic = self.traffic.lock().expect("no panic under lock");
            traffic.route(account, target, &config).map(|_| ())
        };
        match look() {
            Err(http::Kind::Unavailable) => {
                self.sync_traffic();
                look()
            }
            known => known,
        }
    }

    /// Chooses an upstream for an account's call to a model or a service.
    pub(super) fn choose(
        self: &sync::Arc<Self>,
        account: &name::AccountName,
        target: &config::object::ObjectKey,
        excluded: &[name::InstanceName],
    ) -> Result<Chosen, http::Kind> {
        self.choose_for(&traffic::Wanted { account, target, excluded, prefix: None })
    }

    fn choose_for(
        self: &sync::Arc<Self>,
        wanted: &traffic::Wanted<'_>,
    ) -> Result<Chosen, http::Kind> {
        if !self.knows_configuration() {
            return Err(http::Kind::Unavailable);
        }
        let choose = || {
            let now_ms = self.clock.now_ms();
            let config = self.config.borrow();
            self.traffic.lock().expect("no panic under lock").choose(wanted, &config, now_ms)
        };
        let place = match choose() {
            Err(http::Kind::Unavailable) => {
                self.sync_traffic();
                choose()?
            }
            known => known?,
        };
        Ok(Chosen {
            in_flight: traffic::InFlight::new(self.clone(), place.id),
            instance: place.instance,
            address: place.address,
            version: place.version,
        })
    }

    /// Builds the request to an agent for a caller's request.
    pub(super) fn to_agent(
        &self,
        chosen: &Chosen,
        method: &str,
        path: &str,
        id: &str,
        body: bytes::Bytes,
    ) -> hyper::Request<http::Body> {
        let hop = Hop { address: &chosen.address, version: chosen.version.as_deref(), id };
        self.over(&hop, method, path, body)
    }

    /// Adds the trace context to a request for the next hop.
    pub(super) fn trace(request: &mut hyper::Request<http::Body>, traceparent: Option<&str>) {
        if let Some(value) = traceparent.and_then(|text| text.parse().ok()) {
            request.headers_mut().insert(telemetry::TRACEPARENT, value);
        }
    }

    fn over(
        &self,
        hop: &Hop<'_>,
        method: &str,
        path: &str,
        body: bytes::Bytes,
    ) -> hyper::Request<http::Body> {
        let Hop { address, version, id } = hop;
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{address}/call{path}"))
            .header("authorization", self.credential.header_value())
            .header("content-type", "application/json")
            .header(http::ENTRY, self.settings.listen.links.to_string())
            .header(http::REQUEST_ID, *id);
        if let Some(version) = version {
            request = request.header(http::MODEL_VERSION, *version);
        }
        request.body(http::full(body)).expect("checked names make valid headers")
    }

    /// Builds a request about a stream that an engine has or had.
    pub(super) fn about_stream(
        &self,
        source: &stream::source::Source,
        method: &str,
        path: &str,
    ) -> hyper::Request<http::Body> {
        let id = &source.hop_id;
        let hop = Hop { address: &source.address, version: Some(&source.version), id };
        self.over(&hop, method, &format!("/streams/{id}{path}"), bytes::Bytes::new())
    }
}

/// The answer to a caller that is not let in.
fn refused(refusal: &refusal::Refusal, id: &str) -> http::Response {
    let kind = match refusal.reason {
        refusal::Reason::NoCapacity => http::Kind::Unavailable,
        _ => http::Kind::Overloaded,
    };
    let mut problem = http::problem(kind, wire::Ran::DidNotRun, refusal.reason.code());
    problem.request_id = Some(id.to_owned());
    problem.retry_after_ms = Some(refusal.retry_after_ms);
    http::answer(&problem)
}

/// An error that says that the request may have run.
pub(super) fn unknown(detail: &str, request_id: &str) -> wire::Problem {
    let mut problem = http::problem(http::Kind::InDoubt, wire::Ran::Unknown, detail);
    problem.request_id = Some(request_id.to_owned());
    problem
}
