//! The whole path over real sockets: operator, voter, entry, agent, upstream and back.

use googletest::prelude::*;
use ragwortdeal_standins::{deployment, engine, origin};

/// One voter, as a first deployment has it.
fn small() -> deployment::Plan {
    deployment::Plan { voters: 1, entries: 2, engines: 3, ..deployment::Plan::default() }
}

#[googletest::test]
#[tokio::test]
async fn a_version_reaches_all_engines_and_a_caller_gets_a_whole_answer_by_it() {
    let deployment = deployment::Deployment::start(small()).await.unwrap();
    deployment.open_routes().await;
    let weights = origin::Weights::of_seed(1, 300_000, 64 << 10);
    deployment.roll_out(&weights).await;
    let version = weights.version().to_string();
    deployment.serving(1, &version, 3).await;

    let answer = deployment.caller(1).complete(deployment::MODEL, "hello", 20).await;
    expect_that!(answer.status, eq(200));
    expect_true!(answer.ended());
    let expected: String =
        (0..20).map(|token| engine::token_text(&version, "hello", token)).collect();
    expect_that!(answer.text(), eq(&expected));
    expect_that!(answer.version.as_deref(), some(eq(version.as_str())));
    for agent in &deployment.engines {
        expect_that!(agent.engine.as_ref().unwrap().partial_loads(), eq(0));
    }
}

#[googletest::test]
#[tokio::test]
async fn a_transfer_that_is_sent_again_takes_effect_once() {
    let deployment = deployment::Deployment::start(small()).await.unwrap();
    deployment.open_routes().await;
    deployment::wait_for("the route is in force", async || {
        deployment.caller(1).operate(deployment::LEDGER, "probe", "{}").await.status == 200
    })
    .await;

    let first = deployment.caller(0).operate(deployment::LEDGER, "t-1", "{\"hours\":2}").await;
    let second = deployment.caller(1).operate(deployment::LEDGER, "t-1", "{\"hours\":2}").await;
    expect_that!(first.status, eq(200));
    expect_that!(second.status, eq(200));
    expect_that!(second.body, eq(&first.body));
    expect_that!(deployment.ledger.effects()["t-1"], eq(1));

    let other_body = deployment.caller(0).operate(deployment::LEDGER, "t-1", "{}").await;
    expect_that!(other_body.status, eq(422));
    expect_that!(deployment.ledger.effects()["t-1"], eq(1));
}

/// A caller without a route must not reach an upstream, and must learn that nothing ran.
#[googletest::test]
#[tokio::test]
async fn a_call_without_a_route_is_refused_as_not_run() {
    let deployment = deployment::Deployment::start(small()).await.unwrap();
    let answer = deployment.caller(0).operate(deployment::LEDGER, "t-2", "{}").await;
    expect_that!(answer.status, eq(403));
    let problem = answer.problem().unwrap();
    expect_that!(problem.ran, eq(ragwortdeal_wire::operator::Ran::DidNotRun));
    expect_that!(deployment.ledger.effects().len(), eq(0));
}

/// A caller's answer is slow and its operator looks for the hop that took the time. With a hop that
/// starts a trace of its own, or passes the context on unchanged, nobody could tell.
#[googletest::test]
#[tokio::test]
async fn one_request_is_followed_through_all_hops_by_one_trace_id() {
    const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
    let plan = deployment::Plan { spans: true, ..small() };
    let deployment = deployment::Deployment::start(plan).await.unwrap();
    deployment.open_routes().await;
    let weights = origin::Weights::of_seed(1, 10_000, 64 << 10);
    deployment.roll_out(&weights).await;
    deployment.serving(0, &weights.version().to_string(), 3).await;
    let mut caller = deployment.caller(0);
    caller.traceparent = Some(format!("00-{TRACE_ID}-00f067aa0ba902b7-01"));
    expect_that!(caller.complete(deployment::MODEL, "hello", 5).await.status, eq(200));

    let text = std::fs::read_to_string(deployment.spans_file()).unwrap();
    let spans: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let span = |name: &str| {
        let found = spans.iter().find(|span| span["name"] == name && span["trace_id"] == TRACE_ID);
        found.unwrap_or_else(|| panic!("no span {name} in {text}")).clone()
    };
    let (entry, agent) = (span("entry"), span("agent"));
    expect_that!(entry["parent_span_id"].as_str(), some(eq("00f067aa0ba902b7")));
    expect_that!(agent["parent_span_id"], eq(&entry["span_id"]));
    let engines = deployment.engines.iter().filter_map(|agent| agent.engine.as_ref());
    let arrived: Vec<String> = engines.flat_map(engine::Engine::traceparents).collect();
    let expected = format!("00-{TRACE_ID}-{}-01", agent["span_id"].as_str().unwrap());
    expect_that!(arrived, elements_are![eq(&expected)]);
}
