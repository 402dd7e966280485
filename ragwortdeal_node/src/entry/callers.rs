//! HTTP towards callers and the balancer.

use std::sync::{self, atomic};

use gotham::{
    router,
    router::builder::{DefineSingleRoute as _, DrawRoutes as _},
};
use hyper::header;
use ragwortdeal_core::name;
use ragwortdeal_wire::operator as wire;
use subtle::ConstantTimeEq as _;

use super::{Entry, calls, operations};
use crate::http;

/// Routes towards callers.
pub(super) fn router(entry: &sync::Arc<Entry>) -> router::Router {
    router::builder::build_simple_router(|route| {
        route.get("/healthz").to_new_handler(http::route(entry.clone(), health));
        route.get("/readyz").to_new_handler(http::route(entry.clone(), readiness));
        let complete = http::route(entry.clone(), calls::complete);
        route.post("/v1/completions").to_new_handler(complete);
        let complete = http::route(entry.clone(), calls::complete);
        route.post("/v1/chat/completions").to_new_handler(complete);
        let outcome = http::route(entry.clone(), operations::get_outcome);
        route.get("/operations/*").to_new_handler(outcome);
        let service = http::route(entry.clone(), operations::call_service);
        route.request(http::methods(), "/services/*").to_new_handler(service);
    })
}

async fn health(_entry: sync::Arc<Entry>, _request: http::Request) -> http::Response {
    http::respond(200, "text/plain", http::full("alive\n"))
}

/// The balancer stops sending new requests here before a planned stop begins.
async fn readiness(entry: sync::Arc<Entry>, _request: http::Request) -> http::Response {
    if !entry.knows_configuration() {
        return http::respond(503, "text/plain", http::full("starting\n"));
    }
    match entry.ready.load(atomic::Ordering::Relaxed) {
        true => http::respond(200, "text/plain", http::full("ready\n")),
        false => http::respond(503, "text/plain", http::full("stopping\n")),
    }
}

/// Finds the account whose secret the caller presents, comparing all of them in constant time.
pub(super) fn account(entry: &Entry, request: &http::Request) -> Option<name::AccountName> {
    let given = request.header("authorization")?.strip_prefix("Bearer ")?;
    let mut found = None;
    for (token, account) in &entry.accounts {
        if bool::from(token.as_bytes().ct_eq(given.as_bytes())) {
            found = Some(account.clone());
        }
    }
    found
}

/// An error that says that nothing ran.
pub(super) fn not_run(kind: http::Kind, detail: &str, request_id: &str) -> http::Response {
    let mut problem = http::problem(kind, wire::Ran::DidNotRun, detail);
    problem.request_id = Some(request_id.to_owned());
    if matches!(kind, http::Kind::Overloaded | http::Kind::Unavailable | http::Kind::CutOff) {
        problem.retry_after_ms = Some(1_000);
    }
    http::answer(&problem)
}

/// Refuses a request whose body was not read, so that nothing ran.
pub(super) fn body_refused(error: &http::BodyError, request_id: &str) -> http::Response {
    let kind = match error {
        http::BodyError::NoRoom => http::Kind::Unavailable,
        _ => http::Kind::BadRequest,
    };
    let mut response = not_run(kind, &error.to_string(), request_id);
    if error.leaves_bytes() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
