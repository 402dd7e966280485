//! Operations in doubt, as operators list and settle them.

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

/// Most operations listed at once.
const LISTED_MAX: usize = 1_000;

/// Largest settlement that is read.
const SETTLEMENT_MAX_BYTES: usize = 4 << 10;

/// Longest time to send a settlement.
const SETTLEMENT_READ_MS: u64 = 5_000;

/// Lists operations that wait for somebody, and has those settled that an agent can still settle.
pub(in crate::entry) async fn list(entry: sync::Arc<Entry>, only_in_doubt: bool) -> http::Response {
    let request_id = entry.request_id();
    let command = state::Command::ListUnresolved { max: LISTED_MAX };
    let Some(state::Outcome::Unresolved(open)) = entry.propose_operation(command).await else {
        let detail = "no quorum of voters can be reached";
        return callers::not_run(http::Kind::CutOff, detail, &request_id);
    };
    for standing in &open {
        take_over(&entry, standing.clone());
    }
    let is_listed = |standing: &&state::ClaimRecord| {
        !only_in_doubt || matches!(standing.state, state::State::InDoubt(_))
    };
    let operations = open.iter().filter(is_listed).map(view).collect();
    http::json(200, &wire::OperationList { operations })
}

fn take_over(entry: &sync::Arc<Entry>, standing: state::ClaimRecord) {
    let id = standing.key.id();
    let times = operation::OperationTimings::default();
    let (operation, first) = operation::Operation::reconcile(standing, times);
    // The outcome stands in the log; nobody waits for the reply.
    drop(driver::start(entry, id, None, operation, first));
}

/// Settles an operation by what the operator found in the upstream's own records.
pub(in crate::entry) async fn settle(
    entry: sync::Arc<Entry>,
    operator: name::AccountName,
    body: http::Body,
) -> http::Response {
    let request_id = entry.request_id();
    let refuse = |kind, detail: &str| callers::not_run(kind, detail, &request_id);
    let Ok(body) = http::read(body, SETTLEMENT_MAX_BYTES, SETTLEMENT_READ_MS).await else {
        return refuse(http::Kind::BadRequest, "the body is too large or too slow");
    };
    let settlement = match serde_json::from_slice::<wire::Settlement>(&body) {
        Ok(settlement) => settlement,
        Err(error) => return refuse(http::Kind::BadRequest, &error.to_string()),
    };
    let Ok(id) = key::OperationId::parse(&settlement.operation_id) else {
        return refuse(http::Kind::BadRequest, "operation_id is no id of an operation");
    };
    let standing = match entry.propose_operation(state::Command::Get(id)).await {
        Some(state::Outcome::Existing(standing)) => standing,
        Some(_) => return refuse(http::Kind::NotFound, "no such operation is remembered"),
        None => return refuse(http::Kind::CutOff, "no quorum of voters can be reached"),
    };
    let verdict = match settlement.ran {
        true => state::Verdict::Ran,
        false => state::Verdict::DidNotRun,
    };
    let attempt = standing.attempt.clone();
    let command = state::Command::Settle { id, attempt, verdict, operator: operator.clone() };
    match entry.propose_operation(command).await {
        Some(state::Outcome::Done) => {
            log::info!("operations: operator {operator} settled operation={id} as {verdict:?}");
            let late_answer = None;
            let state = state::State::Settled { verdict, operator, late_answer };
            http::json(200, &view(&state::ClaimRecord { state, ..*standing }))
        }
        Some(state::Outcome::TooEarly) => {
            let detail = "the operation may still start; settle it later";
            refuse(http::Kind::Conflict, detail)
        }
        Some(_) => refuse(http::Kind::Conflict, "the operation is not in doubt any more"),
        None => refuse(http::Kind::CutOff, "no quorum confirmed it; send it again"),
    }
}

fn view(standing: &state::ClaimRecord) -> wire::OperationView {
    let state = match &standing.state {
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
        account: standing.key.account.to_string(),
        operation_id: standing.key.id().to_string(),
        service: standing.key.service.to_string(),
        state: state.to_owned(),
        upstream: Some(standing.upstream.instance.to_string()),
    }
}
