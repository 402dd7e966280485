//! Listing and settling of operations in doubt by operators.

use std::sync;

use ragwortdeal_core::{
    claims::{key, operation, state},
    name,
};
use ragwortdeal_wire::operator as wire;

use super::driver;
use crate::{
    entry::{Entry, callers},
    http,
};

/// Limit of operations in one list.
const LISTED_OPERATIONS_MAX: usize = 1_000;

/// Largest request body of a settlement.
const SETTLEMENT_MAX_BYTES: usize = 4 << 10;

/// Timeout of reading a settlement.
const SETTLEMENT_READ_TIMEOUT_MS: u64 = 5_000;

/// Lists unresolved operations, and reconciles each with its agent, which may know the outcome.
pub(in crate::entry) async fn list(entry: sync::Arc<Entry>, only_in_doubt: bool) -> http::Response {
    let request_id = entry.request_id();
    let command = state::Command::ListUnresolved { max: LISTED_OPERATIONS_MAX };
    let Some(state::Outcome::Unresolved(records)) = entry.propose_operation(command).await else {
        let detail = "no quorum of voters can be reached";
        return callers::not_run(http::Kind::CutOff, detail, &request_id);
    };
    for record in &records {
        reconcile_in_background(&entry, record.clone());
    }
    let is_listed = |record: &&state::ClaimRecord| {
        !only_in_doubt || matches!(record.state, state::State::InDoubt(_))
    };
    let operations = records.iter().filter(is_listed).map(operation_view).collect();
    http::json(200, &wire::OperationList { operations })
}

fn reconcile_in_background(entry: &sync::Arc<Entry>, record: state::ClaimRecord) {
    let id = record.key.id();
    let timings = operation::OperationTimings::default();
    let (operation, first_actions) = operation::Operation::reconcile(record, timings);
    // The outcome is recorded in the log; no caller waits for the reply.
    drop(driver::start(entry, id, None, operation, first_actions));
}

/// Settles an operation by the outcome that the operator found in the upstream's own records.
pub(in crate::entry) async fn settle(
    entry: sync::Arc<Entry>,
    operator: name::AccountName,
    body: http::Body,
) -> http::Response {
    let request_id = entry.request_id();
    let refuse = |kind, detail: &str| callers::not_run(kind, detail, &request_id);
    let Ok(body) = http::read(body, SETTLEMENT_MAX_BYTES, SETTLEMENT_READ_TIMEOUT_MS).await else {
        return refuse(http::Kind::BadRequest, "the body is too large or too slow");
    };
    let settlement = match serde_json::from_slice::<wire::Settlement>(&body) {
        Ok(settlement) => settlement,
        Err(error) => return refuse(http::Kind::BadRequest, &error.to_string()),
    };
    let Ok(id) = key::OperationId::parse(&settlement.operation_id) else {
        return refuse(http::Kind::BadRequest, "operation_id is no id of an operation");
    };
    let record = match entry.propose_operation(state::Command::Get(id)).await {
        Some(state::Outcome::Existing(record)) => record,
        Some(_) => return refuse(http::Kind::NotFound, "no such operation is remembered"),
        None => return refuse(http::Kind::CutOff, "no quorum of voters can be reached"),
    };
    let verdict = match settlement.ran {
        true => state::Verdict::Ran,
        false => state::Verdict::DidNotRun,
    };
    let attempt = record.attempt.clone();
    let command = state::Command::Settle { id, attempt, verdict, operator: operator.clone() };
    match entry.propose_operation(command).await {
        Some(state::Outcome::Done) => {
            log::info!("operations: operator {operator} settled operation={id} as {verdict:?}");
            let late_answer = None;
            let state = state::State::Settled { verdict, operator, late_answer };
            http::json(200, &operation_view(&state::ClaimRecord { state, ..*record }))
        }
        Some(state::Outcome::TooEarly) => {
            let detail = "the operation may still start; settle it later";
            refuse(http::Kind::Conflict, detail)
        }
        Some(_) => refuse(http::Kind::Conflict, "the operation is not in doubt any more"),
        None => refuse(http::Kind::CutOff, "no quorum confirmed it; send it again"),
    }
}

fn operation_view(record: &state::ClaimRecord) -> wire::OperationView {
    let state = match &record.state {
        state::State::InDoubt(state::DoubtReason::AgentUnreachable) => {
            "in doubt: agent unreachable"
        }
        state::State::InDoubt(state::DoubtReason::AgentReplaced) => "in doubt: agent replaced",
        state::State::InDoubt(state::DoubtReason::UpstreamLost) => "in doubt: upstream lost",
        state::State::Settled { verdict: state::Verdict::Ran, .. } => "settled: ran",
        state::State::Settled { .. } => "settled: did not run",
        _ => "under way for too long",
    };
    wire::OperationView {
        account: record.key.account.to_string(),
        operation_id: record.key.id().to_string(),
        service: record.key.service.to_string(),
        state: state.to_owned(),
        upstream: Some(record.upstream.instance.to_string()),
    }
}
