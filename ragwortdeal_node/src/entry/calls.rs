//! Completions: from a caller to an engine and back.

use std::sync;

use ragwortdeal_core::{config, name};
use ragwortdeal_wire::{link as announced, operator as wire};

use super::{Entry, callers, members, stream};
use crate::http;

/// How many upstreams one call may be sent to, as long as none of them has run it to a first byte.
const ATTEMPTS_MAX: usize = 3;

/// A parsed call for a completion.
pub(super) struct Call {
    pub(super) id: String,
    pub(super) account: name::AccountName,
    path: String,
    model: name::ModelName,
    body: bytes::Bytes,
    events: bool,
}

/// An upstream that was chosen for a call.
pub(super) struct Chosen {
    pub(super) instance: name::InstanceName,
    pub(super) address: String,
    pub(super) version: Option<String>,
    /// Counts the call as in flight until it is dropped.
    pub(super) in_flight: sync::Arc<()>,
}

/// Answers a call for a completion.
pub(super) async fn complete(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    let id = request.header(http::REQUEST_ID).map_or_else(|| entry.request_id(), str::to_owned);
    match read(&entry, request, id).await {
        Ok(call) => serve(entry, call).await,
        Err(refusal) => refusal,
    }
}

async fn read(entry: &Entry, request: http::Request, id: String) -> Result<Call, http::Response> {
    let refuse = |kind, detail: &str| Err(callers::not_run(kind, detail, &id));
    let Some(account) = callers::account(entry, &request) else {
        return refuse(http::Kind::Unauthorized, "no account has this secret");
    };
    let limits = &entry.settings.limits;
    let path = request.uri.path().to_owned();
    let Ok(body) = http::read(request.body, limits.request_max_bytes, limits.gap_ms).await else {
        return refuse(http::Kind::BadRequest, "the body is too large or too slow");
    };
    let Ok(fields) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return refuse(http::Kind::BadRequest, "the body is no JSON");
    };
    let Some(Ok(model)) = fields["model"].as_str().map(name::ModelName::new) else {
        return refuse(http::Kind::BadRequest, "the field model is missing or no name");
    };
    let events = fields["stream"].as_bool().unwrap_or(false);
    Ok(Call { id, account, path, model, body, events })
}

async fn serve(entry: sync::Arc<Entry>, call: Call) -> http::Response {
    let target = config::object::ObjectKey::Model(call.model.clone());
    let mut tried = Vec::new();
    let mut last_error = None;
    while tried.len() < ATTEMPTS_MAX {
        let chosen = match entry.choose(&call.account, &target, &tried) {
            Ok(chosen) => chosen,
            Err(kind) if last_error.is_none() => {
                let detail = "no upstream may serve this call now";
                return callers::not_run(kind, detail, &call.id);
            }
            Err(_) => break,
        };
        tried.push(chosen.instance.clone());
        match attempt(&entry, &call, chosen).await {
            Ok(response) => return response,
            Err(error) => last_error = Some(error),
        }
    }
    // Completions change nothing, so even a lost answer may be asked for again.
    let detail = last_error.unwrap_or_default();
    callers::not_run(http::Kind::Unavailable, &detail, &call.id)
}

impl Entry {
    /// Chooses an upstream for an account's call to a model or a service.
    pub(super) fn choose(
        &self,
        account: &name::AccountName,
        target: &config::object::ObjectKey,
        excluded: &[name::InstanceName],
    ) -> Result<Chosen, http::Kind> {
        let config = self.config.borrow();
        let reach = config::intent::reach(config.objects(), account, target);
        if reach.is_empty() {
            return Err(http::Kind::NoRoute);
        }
        let members = self.members.lock().expect("no panic under lock");
        let eligible = members
            .available(self.clock.now_ms())
            .filter(|(_, member)| serves(&member.announcement, target))
            .filter(|(name, _)| !excluded.contains(name) && reach.allows(config.objects(), name));
        let least = eligible.min_by_key(|(_, member)| load(member));
        let (instance, member) = least.ok_or(http::Kind::Unavailable)?;
        Ok(Chosen {
            instance: instance.clone(),
            address: member.announcement.call_address.clone(),
            version: member.announcement.serving.clone(),
            in_flight: member.in_flight.clone(),
        })
    }
}

fn serves(announcement: &announced::Announcement, target: &config::object::ObjectKey) -> bool {
    use announced::AnnouncementKind::{Engine, Service};
    match (target, announcement.kind) {
        (config::object::ObjectKey::Model(model), Engine) => {
            announcement.serving.is_some() && announcement.target == model.as_str()
        }
        (config::object::ObjectKey::Service(service), Service) => {
            announcement.target == service.as_str()
        }
        _ => false,
    }
}

fn load(member: &members::Member) -> usize {
    sync::Arc::strong_count(&member.in_flight) + member.announcement.queued as usize
}

/// Sends the call to one upstream. An error means that no byte of an answer came.
async fn attempt(
    entry: &sync::Arc<Entry>,
    call: &Call,
    chosen: Chosen,
) -> Result<http::Response, String> {
    let request = entry.to_agent(&chosen, "POST", &call.path, &call.id, call.body.clone());
    let limits = &entry.settings.limits;
    let sent = entry.http.send("call agent", &chosen.address, request, limits.first_byte_ms).await;
    let response = sent.map_err(|error| error.to_string())?;
    if response.status().is_server_error() || response.status() == 409 {
        return Err(format!("{} answered {}", chosen.instance, response.status()));
    }
    let made_by = response.headers().get(http::MODEL_VERSION);
    let made_by = made_by.and_then(|value| value.to_str().ok()).map(str::to_owned);
    if response.status().is_success() && made_by != chosen.version {
        return Err(format!("{} answered by another version", chosen.instance));
    }
    let watch = stream::Watch {
        request_id: call.id.clone(),
        events: call.events,
        gap_ms: limits.gap_ms,
        in_flight: chosen.in_flight,
    };
    Ok(stream::relay(response, watch))
}

impl Entry {
    /// Builds the request to an agent for a caller's request.
    pub(super) fn to_agent(
        &self,
        chosen: &Chosen,
        method: &str,
        path: &str,
        id: &str,
        body: bytes::Bytes,
    ) -> hyper::Request<http::Body> {
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}/call{path}", chosen.address))
            .header("authorization", self.credential.header_value())
            .header("content-type", "application/json")
            .header(http::REQUEST_ID, id);
        if let Some(version) = &chosen.version {
            request = request.header(http::MODEL_VERSION, version);
        }
        request.body(http::full(body)).expect("checked names make valid headers")
    }
}

/// An error that says that the request may have run.
pub(super) fn unknown(detail: &str, request_id: &str) -> wire::Problem {
    let mut problem = http::problem(http::Kind::InDoubt, wire::Ran::Unknown, detail);
    problem.request_id = Some(request_id.to_owned());
    problem
}
