//! HTTP towards operators: objects, changes and status.

mod voters;

use std::sync;

use gotham::{
    router,
    router::builder::{DefineSingleRoute as _, DrawRoutes as _},
};
use ragwortdeal_core::{command, config, name};
use ragwortdeal_wire::{link as announced, operator as wire};
use subtle::ConstantTimeEq as _;

use super::{Entry, callers, control, operations};
use crate::{border, http};

/// Largest change that is read.
const CHANGE_MAX_BYTES: usize = 256 << 10;

/// Longest time to send a change.
const CHANGE_READ_MS: u64 = 5_000;

/// Routes towards operators.
pub(super) fn router(entry: &sync::Arc<Entry>) -> router::Router {
    router::builder::build_simple_router(|route| {
        route.get("/api/objects").to_new_handler(http::route(entry.clone(), objects));
        route.post("/api/changes").to_new_handler(http::route(entry.clone(), change));
        let list = http::route(entry.clone(), operations_in_doubt);
        route.get("/api/operations").to_new_handler(list);
        let settle = http::route(entry.clone(), settle);
        route.post("/api/operations/settle").to_new_handler(settle);
        route.get("/api/voters").to_new_handler(http::route(entry.clone(), voters::list));
        let replace = http::route(entry.clone(), voters::replace);
        route.post("/api/voters/replace").to_new_handler(replace);
        route.get("/api/status").to_new_handler(http::route(entry.clone(), status));
    })
}

/// Finds the operator whose secret the request presents, comparing all in constant time.
fn may(entry: &Entry, request: &http::Request) -> Result<name::AccountName, http::Response> {
    let given = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let given = given.unwrap_or_default().as_bytes();
    let mut found = None;
    for operator in &entry.settings.operators {
        if bool::from(operator.token.as_bytes().ct_eq(given)) {
            found = name::AccountName::new(&operator.name).ok();
        }
    }
    if let Some(operator) = found {
        return Ok(operator);
    }
    log::warn!("entry: refused an operator with a wrong secret");
    let id = entry.request_id();
    Err(callers::not_run(http::Kind::Unauthorized, "no operator has this secret", &id))
}

async fn objects(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    if let Err(refusal) = may(&entry, &request) {
        return refusal;
    }
    if !entry.knows_configuration() {
        let detail = "the configuration in force is not known here yet";
        return callers::not_run(http::Kind::CutOff, detail, &entry.request_id());
    }
    let config = entry.config.borrow();
    let view =
        |(key, stored): (&config::object::ObjectKey, &config::object::Stored)| wire::ObjectView {
            key: key.to_string(),
            revision: stored.revision,
            object: border::object_to_wire(&stored.object),
        };
    let objects = config.objects().iter().map(view).collect();
    http::json(200, &wire::ObjectList { revision: config.revision(), objects })
}

/// Reads what an operator sends, within bounds, or refuses it as not run.
async fn read<T: serde::de::DeserializeOwned>(
    request: http::Request,
    id: &str,
) -> Result<T, http::Response> {
    let bad = |detail: &str| callers::not_run(http::Kind::BadRequest, detail, id);
    let bounds = request.body_bounds(CHANGE_MAX_BYTES, CHANGE_READ_MS);
    let body = http::read_request_body(request.body, &bounds, &request.inbound).await;
    let body = body.map_err(|error| callers::body_refused(&error, id))?;
    serde_json::from_slice(&body).map_err(|error| bad(&error.to_string()))
}

async fn change(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    if let Err(refusal) = may(&entry, &request) {
        return refusal;
    }
    let id = entry.request_id();
    let bad = |detail: &str| callers::not_run(http::Kind::BadRequest, detail, &id);
    let change: wire::Change = match read(request, &id).await {
        Ok(change) => change,
        Err(refusal) => return refusal,
    };
    let change = match border::change_from_wire(&change) {
        Ok(change) => change,
        Err(error) => return bad(&error.to_string()),
    };
    match entry.propose(&command::Command::Change(change.clone())).await {
        Ok(command::Outcome::Change(decision)) => {
            let mut answer = border::decision_to_wire(&decision);
            answer.matches = entry.matches(&change);
            let refused = matches!(decision, config::change::Decision::Refused(_));
            http::json(if refused { 409 } else { 200 }, &answer)
        }
        Err(control::ProposeError::NotTaken) => {
            callers::not_run(http::Kind::CutOff, "no quorum of voters can be reached", &id)
        }
        Ok(_) | Err(control::ProposeError::Unknown) => {
            let reason = "the answer was lost: send the change again with the same id".to_owned();
            let outcome = wire::ChangeAnswerOutcome::Unknown;
            let answer = wire::ChangeAnswer {
                outcome,
                revision: None,
                reason: Some(reason),
                present_revision: None,
                present: None,
                matches: None,
            };
            http::json(504, &answer)
        }
    }
}

async fn operations_in_doubt(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    let only_in_doubt = request.uri.query() == Some("in_doubt=true");
    match may(&entry, &request) {
        Ok(_) => operations::list(entry, only_in_doubt).await,
        Err(refusal) => refusal,
    }
}

async fn settle(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    match may(&entry, &request) {
        Ok(operator) => operations::settle(entry, operator, request.body).await,
        Err(refusal) => refusal,
    }
}

impl Entry {
    /// How many known instances a placement's selector matches, to warn of one that matches none.
    fn matches(&self, change: &config::change::Change) -> Option<u64> {
        let Some(config::object::Object::Placement(placement)) = &change.object else {
            return None;
        };
        let config = self.config.borrow();
        let members = self.members.lock().expect("no panic under lock");
        let matched = members.all().filter(|(name, _)| {
            let key = config::object::ObjectKey::Instance((*name).clone());
            let labels = config::object::labels_of(config.objects(), &key);
            placement.instances.matches(&config::object::with_name(labels, name))
        });
        Some(matched.count() as u64)
    }
}

async fn status(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    if let Err(refusal) = may(&entry, &request) {
        return refusal;
    }
    let config = entry.config.borrow();
    let members = entry.members.lock().expect("no panic under lock");
    let view = |(name, member): (&name::InstanceName, &super::members::Member)| {
        let intended = config::intent::for_instance(&config, name);
        instance_status(&member.announcement, intended.as_ref())
    };
    let control = match entry.reaches_voters() && entry.knows_configuration() {
        true => wire::StatusControl::Reachable,
        false => wire::StatusControl::CutOff,
    };
    http::json(
        200,
        &wire::Status {
            revision: config.revision(),
            control,
            entry: entry.identity.name.to_string(),
            instances: members.all().map(view).collect(),
        },
    )
}

fn instance_status(
    announcement: &announced::Announcement,
    intended: Option<&config::intent::Intent>,
) -> wire::InstanceStatus {
    let announced = announcement.clone();
    wire::InstanceStatus {
        instance: announced.instance,
        zone: announced.zone,
        target: announced.target,
        intended: intended.map(|intended| intended.version.to_string()),
        serving: announced.serving,
        phase: announced.phase,
        behind: announced.behind,
        applied_revision: announced.applied_revision,
        leaving: announced.leaving,
        origin_bytes: announced.origin_bytes,
        peer_bytes: announced.peer_bytes,
        region_bytes: announced.region_bytes,
        staged_bytes: announced.staged_bytes,
        size_bytes: announced.size_bytes,
        running: announced.running,
    }
}
