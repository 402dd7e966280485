//! Operations over real sockets: processes are killed midway, and the ledger counts the effects.

use std::time;

use googletest::prelude::*;
use ragwortdeal_standins::{caller, deployment, service};
use ragwortdeal_wire::operator as wire;

const BODY: &str = "{\"hours\":3}";

/// Delay between the effect at the ledger and its answer, so that a test can act in between.
const ANSWER_DELAY_MS: u64 = 1_500;

fn plan() -> deployment::Plan {
    deployment::Plan {
        voters: 1,
        entries: 2,
        engines: 0,
        ledgers: 1,
        portals: 0,
        ..deployment::Plan::default()
    }
}

fn delayed_answer() -> service::Behaviour {
    service::Behaviour {
        before_ms: 1,
        after_ms: ANSWER_DELAY_MS,
        honours_key: false,
        ..service::Behaviour::default()
    }
}

/// Starts a deployment in which both entries forward operations.
async fn start_with_route(plan: deployment::Plan) -> deployment::Deployment {
    let deployment = deployment::Deployment::start(plan).await.unwrap();
    let all = String::new;
    let route = wire::Route { accounts: all(), targets: all(), upstreams: all() };
    let route = wire::Object::Route(route);
    // The entry may not be linked to the voter yet; retrying the change is idempotent.
    deployment::wait_for("the route is accepted", async || {
        deployment.operator(0).set("open", "route/all", route.clone()).await.is_some()
    })
    .await;
    for entry in 0..deployment.entries.len() {
        wait_for_route(&deployment, entry).await;
    }
    deployment
}

async fn wait_for_route(deployment: &deployment::Deployment, entry: usize) {
    deployment::wait_for("the route is in force", async || {
        deployment
            .caller(entry)
            .send("GET", "/services/ledger/balance", None, String::new())
            .await
            .status
            == 200
    })
    .await;
}

async fn operate(deployment: &deployment::Deployment, entry: usize, key: &str) -> caller::Answer {
    deployment.caller(entry).operate(deployment::LEDGER, key, BODY).await
}

/// Sends an operation and returns once it took effect, while the ledger still delays its answer.
async fn send_until_effect(
    deployment: &deployment::Deployment,
    entry: usize,
    key: &str,
) -> tokio::task::JoinHandle<caller::Answer> {
    deployment.services[0].service.as_ref().unwrap().set_behaviour(delayed_answer());
    let (caller, sent_key) = (deployment.caller(entry), key.to_owned());
    let call =
        tokio::spawn(async move { caller.operate(deployment::LEDGER, &sent_key, BODY).await });
    deployment::wait_for("the operation took effect", async || effects(deployment, key) == 1).await;
    call
}

/// Restarts the killed agent, once the address of its previous process is free.
async fn restart_agent(deployment: &mut deployment::Deployment) {
    deployment.restart_service_agent(0).await.unwrap();
}

/// Restarts the killed voter with its disk unchanged.
async fn restart_voter(deployment: &mut deployment::Deployment) {
    deployment.restart_voter(0).await.unwrap();
}

fn effects(deployment: &deployment::Deployment, key: &str) -> u64 {
    deployment.ledger.effects().get(key).copied().unwrap_or(0)
}

fn ran(answer: &caller::Answer) -> Option<wire::Ran> {
    answer.problem().map(|problem| problem.ran)
}

/// Retries until the entry answers something other than "did not run".
async fn retry_while_not_run(
    deployment: &deployment::Deployment,
    entry: usize,
    key: &str,
) -> caller::Answer {
    loop {
        let answer = operate(deployment, entry, key).await;
        if ran(&answer) != Some(wire::Ran::DidNotRun) {
            return answer;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// The entry is killed after the transfer took effect. The coordinator's app retries it, the load
/// balancer picks another entry, and the transfer must take effect once.
#[googletest::test]
#[tokio::test]
async fn a_retry_after_the_entry_died_gets_the_answer_of_the_first_run() {
    let mut deployment = start_with_route(plan()).await;
    let lost = send_until_effect(&deployment, 0, "t-1").await;
    deployment.entries[0].process.take().unwrap().kill();
    let second = operate(&deployment, 1, "t-1").await;
    expect_that!(lost.await.unwrap().status, eq(0));
    expect_that!(second.status, eq(200));
    expect_that!(effects(&deployment, "t-1"), eq(1));
    expect_that!(operate(&deployment, 1, "t-1").await.body, eq(&second.body));
}

/// The mainframe behind the ledger takes longer than a caller waits. The caller is told "unknown"
/// with an id, and gets the answer by that id, or by a retry, once it is available.
#[googletest::test]
#[tokio::test]
async fn a_late_answer_reaches_the_caller_by_the_id() {
    let mut plan = plan();
    plan.limits.operation_ms = 200;
    let deployment = start_with_route(plan).await;
    let first = send_until_effect(&deployment, 0, "t-1").await.await.unwrap();
    expect_that!(first.status, eq(504));
    expect_that!(ran(&first), some(eq(wire::Ran::Unknown)));
    let id = first.problem().unwrap().operation_id.unwrap();
    let path = format!("/operations/{id}");
    deployment::wait_for("the answer is available", async || {
        deployment.caller(1).send("GET", &path, None, String::new()).await.status == 200
    })
    .await;
    expect_that!(operate(&deployment, 1, "t-1").await.status, eq(200));
    expect_that!(effects(&deployment, "t-1"), eq(1));
}

/// Two copies of one transfer arrive at two entries at the same time.
#[googletest::test]
#[tokio::test]
async fn two_copies_at_two_entries_take_effect_once() {
    let deployment = start_with_route(plan()).await;
    let first = send_until_effect(&deployment, 0, "t-1").await;
    let second = operate(&deployment, 1, "t-1").await;
    let first = first.await.unwrap();
    expect_that!((first.status, second.status), eq((200, 200)));
    expect_that!(second.body, eq(&first.body));
    expect_that!(effects(&deployment, "t-1"), eq(1));
}

/// The agent, which alone knows of the call, is killed. Only the ledger knows the outcome now:
/// callers are told "unknown" with an id, and operators find the operation in their list.
#[googletest::test]
#[tokio::test]
async fn an_operation_whose_agent_died_is_in_doubt_and_listed() {
    let mut deployment = start_with_route(plan()).await;
    let first = send_until_effect(&deployment, 0, "t-1").await;
    deployment.services[0].process.take().unwrap().kill();
    restart_agent(&mut deployment).await;
    let first = first.await.unwrap();
    let second = retry_while_not_run(&deployment, 1, "t-1").await;
    expect_that!(ran(&first), some(eq(wire::Ran::Unknown)));
    expect_that!(ran(&second), some(eq(wire::Ran::Unknown)));
    expect_that!(effects(&deployment, "t-1"), eq(1));

    let id = second.problem().unwrap().operation_id.unwrap();
    let listed = deployment.operator(1).send("GET", "/api/operations", Vec::new()).await.unwrap();
    let listed: wire::OperationList = serde_json::from_slice(&listed).unwrap();
    let ids: Vec<_> = listed.operations.iter().map(|one| one.operation_id.as_str()).collect();
    expect_that!(ids, eq(&vec![id.as_str()]));
    let settlement = wire::Settlement { operation_id: id.clone(), ran: true };
    let body = serde_json::to_vec(&settlement).unwrap();
    let early = deployment.operator(1).send("POST", "/api/operations/settle", body).await.unwrap();
    let early: wire::Problem = serde_json::from_slice(&early).unwrap();
    expect_that!(early.status, eq(409));
    let path = format!("/operations/{id}");
    let asked = deployment.caller(1).send("GET", &path, None, String::new()).await;
    expect_that!(asked.status, eq(504));
}

/// The agent is killed as before, but the ledger runs each key once and has the label that says so.
#[googletest::test]
#[tokio::test]
async fn an_honoured_key_leaves_no_doubt() {
    let mut deployment = start_with_route(plan()).await;
    let labels = caller::labels(&[("operation-keys", "honoured")]);
    deployment.operator(0).set("honoured", "service/ledger", labels).await.unwrap();
    for entry in 0..2 {
        deployment::wait_for("the label is in force", async || {
            deployment.operator(entry).status().await.is_some_and(|status| status.revision >= 2)
        })
        .await;
    }
    let first = send_until_effect(&deployment, 0, "t-1").await;
    let honouring = service::Behaviour { honours_key: true, ..service::Behaviour::default() };
    deployment.services[0].service.as_ref().unwrap().set_behaviour(honouring);
    deployment.services[0].process.take().unwrap().kill();
    restart_agent(&mut deployment).await;
    expect_that!(ran(&first.await.unwrap()), some(eq(wire::Ran::Unknown)));
    // The entry may still hold the agent's previous incarnation, whose calls the new one refuses.
    deployment::wait_for("a retry is answered", async || {
        operate(&deployment, 1, "t-1").await.status == 200
    })
    .await;
    expect_that!(effects(&deployment, "t-1"), eq(1));
}

/// The ledger's instance fails while it processes the call.
#[googletest::test]
#[tokio::test]
async fn an_operation_whose_upstream_died_is_in_doubt() {
    let mut deployment = start_with_route(plan()).await;
    let first = send_until_effect(&deployment, 0, "t-1").await;
    drop(deployment.services[0].service.take());
    expect_that!(ran(&first.await.unwrap()), some(eq(wire::Ran::Unknown)));
    let second = operate(&deployment, 1, "t-1").await;
    expect_that!(ran(&second), some(eq(wire::Ran::Unknown)));
    expect_that!(effects(&deployment, "t-1"), eq(1));
}

/// The ledger is down before the call reaches it. The caller is told that nothing ran, and the key
/// is released.
#[googletest::test]
#[tokio::test]
async fn an_operation_that_could_not_be_forwarded_did_not_run() {
    let mut deployment = start_with_route(plan()).await;
    drop(deployment.services[0].service.take());
    for entry in [0, 1, 0] {
        let answer = operate(&deployment, entry, "t-1").await;
        expect_that!(answer.status, eq(503));
        expect_that!(ran(&answer), some(eq(wire::Ran::DidNotRun)));
    }
    expect_that!(effects(&deployment, "t-1"), eq(0));
}

/// The ledger closes an idle connection just as the next call takes it. Guards against a transfer
/// that is in doubt although it never ran.
#[googletest::test]
#[tokio::test]
async fn an_operation_does_not_share_a_connection_that_its_upstream_closes() {
    let deployment = start_with_route(plan()).await;
    let ledger = deployment.services[0].service.as_ref().unwrap();
    ledger.set_behaviour(service::Behaviour { hangs_up: true, ..service::Behaviour::default() });
    for (entry, key) in [(0, "t-1"), (1, "t-2"), (0, "t-3")] {
        let answer = operate(&deployment, entry, key).await;
        expect_that!(answer.status, eq(200));
        expect_that!(effects(&deployment, key), eq(1));
    }
}

/// The availability zone is cut off from the voters, so no key can be claimed and no call may go
/// out.
#[googletest::test]
#[tokio::test]
async fn without_voters_nothing_runs_until_they_are_back() {
    let mut deployment = start_with_route(plan()).await;
    deployment.voters[0].process.take().unwrap().kill();
    let refused = operate(&deployment, 0, "t-1").await;
    expect_that!(refused.status, eq(503));
    let problem = refused.problem().unwrap();
    expect_that!(problem.ran, eq(wire::Ran::DidNotRun));
    expect_that!(problem.retry_after_ms, some(gt(0)));
    expect_that!(effects(&deployment, "t-1"), eq(0));
    restart_voter(&mut deployment).await;
    expect_that!(retry_while_not_run(&deployment, 1, "t-1").await.status, eq(200));
    expect_that!(effects(&deployment, "t-1"), eq(1));
}

/// The voters fail between the claim and the answer. The caller gets its answer, although it
/// cannot be recorded, and a retry gets the same answer once they are back.
#[googletest::test]
#[tokio::test]
async fn an_answer_that_could_not_be_recorded_is_not_lost() {
    let mut deployment = start_with_route(plan()).await;
    let first = send_until_effect(&deployment, 0, "t-1").await;
    deployment.voters[0].process.take().unwrap().kill();
    let first = first.await.unwrap();
    expect_that!(first.status, eq(200));
    restart_voter(&mut deployment).await;
    let second = retry_while_not_run(&deployment, 1, "t-1").await;
    expect_that!(second.status, eq(200));
    expect_that!(second.body, eq(&first.body));
    expect_that!(effects(&deployment, "t-1"), eq(1));
}

/// The entry is killed and the agent is stopped for maintenance before the answer arrives. The
/// agent waits for it and has it recorded, so that a retry gets it although no upstream is left.
#[googletest::test]
#[tokio::test]
async fn a_planned_stop_of_the_agent_loses_no_answer() {
    let mut deployment = start_with_route(plan()).await;
    let lost = send_until_effect(&deployment, 0, "t-1").await;
    deployment.entries[0].process.take().unwrap().kill();
    deployment.services[0].process.take().unwrap().stop().await;
    expect_that!(lost.await.unwrap().status, eq(0));
    let second = operate(&deployment, 1, "t-1").await;
    expect_that!(second.status, eq(200));
    expect_that!(effects(&deployment, "t-1"), eq(1));
    let new = operate(&deployment, 1, "t-2").await;
    expect_that!(ran(&new), some(eq(wire::Ran::DidNotRun)));
}

/// A caller omits the key. A retry could not be told from a new operation, so nothing runs.
#[googletest::test]
#[tokio::test]
async fn a_call_without_a_key_is_refused_as_not_run() {
    let deployment = start_with_route(plan()).await;
    let path = "/services/ledger/transfers";
    let answer = deployment.caller(0).send("POST", path, None, BODY.to_owned()).await;
    expect_that!(answer.status, eq(400));
    expect_that!(ran(&answer), some(eq(wire::Ran::DidNotRun)));
    expect_that!(deployment.ledger.effects().len(), eq(0));
}

/// The same key with another body is a mistake of the caller: at any entry, it must get neither a
/// second run nor the answer of the first.
#[googletest::test]
#[tokio::test]
async fn a_key_with_another_body_is_refused_at_any_entry() {
    let deployment = start_with_route(plan()).await;
    expect_that!(operate(&deployment, 0, "t-1").await.status, eq(200));
    let other = deployment.caller(1).operate(deployment::LEDGER, "t-1", "{\"hours\":4}").await;
    expect_that!(other.status, eq(422));
    expect_that!(ran(&other), some(eq(wire::Ran::DidNotRun)));
    expect_that!(effects(&deployment, "t-1"), eq(1));
}
