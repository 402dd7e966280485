//! HTTP by `gotham` towards callers and operators, and by `hyper-util` towards upstreams.

mod body;
mod client;
mod inbound;
pub mod metered;
mod problem;
mod server;
mod status;
mod tracked;

pub use body::{BodyBounds, BodyError, read, read_request_body};
pub use client::{Client, HttpError, RequestBody};
pub use inbound::Inbound;
pub use problem::{Kind, answer, problem};
pub use server::{Bounds, Request, route, serve, serve_with};
pub use status::is_final_status;

use gotham::hyper;
use http_body_util::BodyExt as _;

/// Body of answers to callers, and of requests to upstreams.
pub type Body = gotham::helpers::http::Body;

/// Answer to a caller.
pub type Response = hyper::Response<Body>;

/// Media type of errors, by RFC 9457.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Header with the identifier of a request across all hops.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the digest of the version that an answer was made by.
pub const MODEL_VERSION: &str = "x-model-version";

/// Header with the account on whose behalf an entry calls an agent.
pub const ACCOUNT: &str = "x-ragwortdeal-account";

/// Header with the link address of the entry that calls an agent, by which the agent tells each
/// entry how many of its calls are in progress.
pub const ENTRY: &str = "x-ragwortdeal-entry";

/// Header with a request's importance among those of its account: `high`, `normal` or `low`.
pub const PRIORITY: &str = "x-priority";

/// Header with the time in milliseconds for which the caller will wait.
pub const TIMEOUT_MS: &str = "x-request-timeout-ms";

/// Methods that calls to upstreams may have.
pub fn methods() -> Vec<hyper::Method> {
    vec![
        hyper::Method::GET,
        hyper::Method::HEAD,
        hyper::Method::POST,
        hyper::Method::PUT,
        hyper::Method::PATCH,
        hyper::Method::DELETE,
    ]
}

/// A whole body from memory.
pub fn full(bytes: impl Into<bytes::Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer with a JSON body.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Response {
    let bytes = serde_json::to_vec(value).expect("own types encode as JSON");
    respond(status, "application/json", full(bytes))
}

/// An answer with a body of the given media type.
pub fn respond(status: u16, content_type: &str, body: Body) -> Response {
    hyper::Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(body)
        .expect("constant headers are valid")
}
