//! Errors towards callers, each saying whether the request ran.

use ragwortdeal_wire::operator as wire;

use super::{PROBLEM_JSON, Response, full, respond};

/// Kind of an error: its identifier, status and title.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request is malformed or too large.
    BadRequest,
    /// The credential is missing or wrong.
    Unauthorized,
    /// No route leads from the account to what it asked for.
    NoRoute,
    /// Nothing stands under this path.
    NotFound,
    /// The operation's key was used for another body.
    KeyReused,
    /// Somebody else changed the object first, or the change is ambiguous.
    Conflict,
    /// The account or the system is over its limit.
    Overloaded,
    /// No upstream can serve this now.
    Unavailable,
    /// The voters cannot be reached, so nothing durable can be done.
    CutOff,
    /// The upstream failed.
    UpstreamFailed,
    /// The operation was sent and its outcome is not known.
    InDoubt,
}

impl Kind {
    /// Last part of the identifier.
    pub fn slug(self) -> &'static str {
        match self {
            Kind::BadRequest => "bad-request",
            Kind::Unauthorized => "unauthorized",
            Kind::NoRoute => "no-route",
            Kind::NotFound => "not-found",
            Kind::KeyReused => "key-reused",
            Kind::Conflict => "conflict",
            Kind::Overloaded => "overloaded",
            Kind::Unavailable => "unavailable",
            Kind::CutOff => "cut-off",
            Kind::UpstreamFailed => "upstream-failed",
            Kind::InDoubt => "in-doubt",
        }
    }

    /// HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Kind::BadRequest => 400,
            Kind::Unauthorized => 401,
            Kind::NoRoute => 403,
            Kind::NotFound => 404,
            Kind::Conflict => 409,
            Kind::KeyReused => 422,
            Kind::Overloaded => 429,
            Kind::Unavailable | Kind::CutOff => 503,
            Kind::UpstreamFailed => 502,
            Kind::InDoubt => 504,
        }
    }
}

/// Builds an error, to be completed by the caller of this function.
pub fn problem(kind: Kind, ran: wire::Ran, detail: &str) -> wire::Problem {
    wire::Problem {
        type_: format!("urn:ragwortdeal:problem:{}", kind.slug()),
        title: kind.slug().replace('-', " "),
        status: kind.status(),
        detail: Some(detail.to_owned()),
        ran,
        request_id: None,
        operation_id: None,
        retry_after_ms: None,
    }
}

/// Turns an error into an answer, with `Retry-After` where it says when to come back.
pub fn answer(problem: &wire::Problem) -> Response {
    let bytes = serde_json::to_vec(problem).expect("own types encode as JSON");
    let mut response = respond(problem.status, PROBLEM_JSON, full(bytes));
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        response.headers_mut().insert("retry-after", seconds.into());
    }
    if let Some(id) = problem.request_id.as_ref().and_then(|id| id.parse().ok()) {
        response.headers_mut().insert(super::REQUEST_ID, id);
    }
    response
}
