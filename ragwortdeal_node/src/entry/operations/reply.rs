//! Replies to callers about their operations.

use std::time;

use ragwortdeal_core::claims::{answer, key, operation, state};
use ragwortdeal_wire::operator as wire;
use tokio::sync::oneshot;

use crate::{
    entry::{Entry, callers, calls},
    http,
};

/// Header that marks an answer as that of an earlier request with the same key.
const REPLAYED_HEADER: &str = "x-ragwortdeal-replayed";

/// Delay after which a caller whose outcome is unknown should ask again.
const UNKNOWN_RETRY_AFTER_MS: u64 = 5_000;

/// Waits for the reply until the caller's timeout; the operation continues after that.
pub(super) async fn wait(
    entry: &Entry,
    id: key::OperationId,
    reply: oneshot::Receiver<operation::Reply>,
) -> operation::Reply {
    let timeout = time::Duration::from_millis(entry.settings.limits.operation_ms);
    match tokio::time::timeout(timeout, reply).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => operation::Reply::Unknown { id },
    }
}

/// Converts a reply into the response to the caller.
pub(super) fn into_response(reply: operation::Reply, request_id: &str) -> http::Response {
    match reply {
        operation::Reply::Answer { answer, replayed } => {
            answer_response(answer, replayed, request_id)
        }
        operation::Reply::DidNotRun { reason, earlier_unknown } => {
            not_run_response(reason, earlier_unknown, request_id)
        }
        operation::Reply::Unknown { id } => {
            let detail = "the operation may have run: ask by its id, or send the same key again";
            let mut problem = calls::unknown(detail, request_id);
            problem.operation_id = Some(id.to_string());
            problem.retry_after_ms = Some(UNKNOWN_RETRY_AFTER_MS);
            http::answer(&problem)
        }
        operation::Reply::BodyMismatch => {
            let detail = "this key was used for another request";
            callers::not_run(http::Kind::KeyReused, detail, request_id)
        }
        operation::Reply::Settled(state::Verdict::Ran) => {
            let detail = "an operator found that the operation ran; its answer is not known";
            ran_without_answer_response(detail, request_id)
        }
        operation::Reply::Settled(state::Verdict::DidNotRun) => {
            let detail = "an operator found that the operation did not run; if it is still wanted, \
                          send it with a new key";
            callers::not_run(http::Kind::Conflict, detail, request_id)
        }
    }
}

fn not_run_response(
    reason: operation::NotRunReason,
    earlier_unknown: bool,
    request_id: &str,
) -> http::Response {
    let (kind, reason) = match reason {
        operation::NotRunReason::NoQuorum => {
            (http::Kind::CutOff, "no quorum of voters can be reached")
        }
        operation::NotRunReason::Full => {
            (http::Kind::Unavailable, "no more operations can be remembered")
        }
        operation::NotRunReason::NotStarted => {
            (http::Kind::Unavailable, "the upstream's agent did not start it")
        }
    };
    // Without a quorum the outcome of earlier requests is unknown. A caller that applied this
    // refusal to all of them would order the operation again under another key.
    let earlier = match earlier_unknown {
        true => "; an earlier request with this key may have run, so send the same key again",
        false => "",
    };
    callers::not_run(kind, &format!("{reason}{earlier}"), request_id)
}

fn answer_response(answer: answer::Answer, replayed: bool, request_id: &str) -> http::Response {
    let answer::Answer { status, content_type, body } = answer;
    let bytes = match body {
        answer::Body::Kept(bytes) => bytes,
        answer::Body::Dropped { .. } => {
            let detail = "the operation ran; its answer was too long to be kept for resends";
            return ran_without_answer_response(detail, request_id);
        }
    };
    let content_type = content_type.unwrap_or_else(|| "application/octet-stream".to_owned());
    let mut response = http::respond(status, &content_type, http::full(bytes));
    if replayed {
        response
            .headers_mut()
            .insert(REPLAYED_HEADER, hyper::header::HeaderValue::from_static("true"));
    }
    if let Ok(id) = request_id.parse() {
        response.headers_mut().insert(http::REQUEST_ID, id);
    }
    response
}

fn ran_without_answer_response(detail: &str, request_id: &str) -> http::Response {
    let mut problem = http::problem(http::Kind::Conflict, wire::Ran::Ran, detail);
    problem.request_id = Some(request_id.to_owned());
    http::answer(&problem)
}
