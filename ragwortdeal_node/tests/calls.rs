//! Calls over real sockets while upstreams die, fall silent, or have too much to do.

use std::time;

use googletest::prelude::*;
use ragwortdeal_node::{http, settings};
use ragwortdeal_standins::{caller, deployment, engine, origin};
use ragwortdeal_wire::{engine as engine_wire, operator as wire};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net,
};

/// Secret of a second account.
const SMALL_TOKEN: &str = "token-of-a-small-account";

fn plan(engines: usize, engine: engine::Behaviour) -> deployment::Plan {
    let limits = settings::entry::Limits {
        gap_ms: 500,
        first_byte_ms: 6_000,
        ..settings::entry::Limits::default()
    };
    deployment::Plan {
        voters: 1,
        entries: 1,
        engines,
        ledgers: 0,
        portals: 0,
        limits,
        engine,
        ..deployment::Plan::default()
    }
}

/// Starts a deployment whose voters take changes. On a busy machine their first leader may come
/// after the upstreams have announced themselves.
async fn start(plan: deployment::Plan) -> deployment::Deployment {
    let deployment = deployment::Deployment::start(plan).await.unwrap();
    deployment::wait_for("the voters take changes", async || {
        let probe = caller::labels(&[]);
        deployment.operator(0).set("probe", "account/probe", probe).await.is_some()
    })
    .await;
    deployment
}

async fn serving(plan: deployment::Plan) -> (deployment::Deployment, String) {
    let engines = plan.engines;
    let deployment = start(plan).await;
    deployment.open_routes().await;
    let weights = origin::Weights::of_seed(1, 100_000, 32 << 10);
    deployment.roll_out(&weights).await;
    let version = weights.version().to_string();
    deployment.serving(0, &version, engines).await;
    (deployment, version)
}

fn expected(version: &str, prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|token| engine::token_text(version, prompt, token)).collect()
}

fn is_whole(answer: &caller::Answer, version: &str, prompt: &str, tokens: u64) -> bool {
    answer.status == 200 && answer.ended() && answer.text() == expected(version, prompt, tokens)
}

/// The last event of an answer that was cut.
fn cut_by(answer: &caller::Answer) -> Option<wire::Problem> {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let event = body.split("\n\n").find(|event| event.starts_with("event: error"))?;
    serde_json::from_str(event.split_once("data: ")?.1).ok()
}

/// An agent is killed, and until its lease ends the entry still sends calls to it. Without a retry
/// a part of the callers would see errors for seconds.
#[googletest::test]
#[tokio::test]
async fn an_upstream_that_died_before_the_first_byte_costs_no_caller_its_answer() {
    let (mut deployment, version) = serving(plan(3, engine::Behaviour::default())).await;
    deployment.engines[0].process.take().unwrap().kill();
    for call in 0..30 {
        let prompt = format!("p{call}");
        let answer = deployment.caller(0).complete(deployment::MODEL, &prompt, 5).await;
        expect_that!(is_whole(&answer, &version, &prompt, 5), eq(true), "{answer:?}");
    }
}

/// An engine dies while it works on a prompt, after the head of the answer has arrived. Nothing has
/// reached the caller yet, so the call runs elsewhere.
#[googletest::test]
#[tokio::test]
async fn an_engine_that_dies_on_the_prompt_costs_no_caller_its_answer() {
    let slow = engine::Behaviour { first_token_ms: 700, ..engine::Behaviour::default() };
    let (mut deployment, version) = serving(plan(2, slow)).await;
    let caller = deployment.caller(0);
    let calls: Vec<_> = (0..8)
        .map(|call| {
            let caller = caller.clone();
            let prompt = format!("p{call}");
            tokio::spawn(
                async move { (caller.complete(deployment::MODEL, &prompt, 5).await, prompt) },
            )
        })
        .collect();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    deployment.engines[0].engine.take();
    for call in calls {
        let (answer, prompt) = call.await.unwrap();
        expect_that!(is_whole(&answer, &version, &prompt, 5), eq(true), "{answer:?}");
    }
}

/// An engine dies in the middle of an answer. Its part is with the caller, so no other engine may
/// begin anew, and the caller must see that the answer is not whole.
#[googletest::test]
#[tokio::test]
async fn an_engine_that_dies_in_an_answer_leaves_a_typed_error_and_no_short_answer() {
    let slow = engine::Behaviour { token_ms: 20, ..engine::Behaviour::default() };
    let (mut deployment, version) = serving(plan(1, slow)).await;
    let caller = deployment.caller(0);
    let call = tokio::spawn(async move { caller.complete(deployment::MODEL, "p", 200).await });
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    deployment.engines[0].engine.take();
    let answer = call.await.unwrap();
    expect_that!(answer.ended(), eq(false));
    expect_that!(expected(&version, "p", 200).starts_with(&answer.text()), eq(true));
    expect_that!(answer.text(), not(eq("")));
    let problem = cut_by(&answer).expect("a typed error");
    expect_that!(problem.ran, eq(wire::Ran::Ran));
    expect_that!(problem.request_id, some(anything()));
}

/// The process beside an engine stands still, so its connections go silent while the engine still
/// has the stream. A new connection carries the answer on from the next token by the same version.
#[googletest::test]
#[tokio::test]
async fn a_silent_connection_is_replaced_and_the_answer_goes_on() {
    let slow = engine::Behaviour { token_ms: 20, ..engine::Behaviour::default() };
    let (deployment, version) = serving(plan(1, slow)).await;
    let caller = deployment.caller(0);
    let call = tokio::spawn(async move { caller.complete(deployment::MODEL, "p", 100).await });
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let agent = deployment.engines[0].process.as_ref().unwrap();
    agent.freeze(time::Duration::from_millis(2_000));
    let answer = call.await.unwrap();
    expect_that!(is_whole(&answer, &version, "p", 100), eq(true), "{answer:?}");
    expect_that!(answer.longest_gap, gt(time::Duration::from_millis(500)));
}

/// A caller hangs up while the engine works on its prompt. Unless told, the engine works on for
/// nobody, and its place is missing for others.
#[googletest::test]
#[tokio::test]
async fn a_caller_that_goes_away_cancels_its_call_at_the_engine() {
    let slow = engine::Behaviour { first_token_ms: 1_500, ..engine::Behaviour::default() };
    let (deployment, _) = serving(plan(1, slow)).await;
    let caller = deployment.caller(0);
    let call = tokio::spawn(async move { caller.complete(deployment::MODEL, "p", 50).await });
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    call.abort();
    let engine = deployment.engines[0].engine.as_ref().unwrap();
    deployment::wait_for("the engine was told", async || engine.cancelled() == 1).await;
    expect_that!(engine.finished(), eq(0));
}

/// One account sends far more than all engines can take. It is refused early, with a time to come
/// back, and a small account beside it is served at once.
#[googletest::test]
#[tokio::test]
async fn an_overloaded_account_is_refused_while_a_small_one_is_served() {
    let few = engine::Behaviour { slots: 2, token_ms: 20, ..engine::Behaviour::default() };
    let small = settings::entry::Account {
        name: "small".to_owned(),
        token: SMALL_TOKEN.to_owned(),
        weight: None,
    };
    let plan = deployment::Plan { accounts: vec![small], ..plan(2, few) };
    let (deployment, version) = serving(plan).await;
    let caller = deployment.caller(0);
    let flood: Vec<_> = (0..60)
        .map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.complete(deployment::MODEL, "large", 20).await })
        })
        .collect();
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let small = caller::Caller::with_token(deployment.entries[0].callers, SMALL_TOKEN);
    for _ in 0..3 {
        let answer = small.complete(deployment::MODEL, "small", 5).await;
        expect_that!(is_whole(&answer, &version, "small", 5), eq(true), "{answer:?}");
    }
    let mut refused = 0;
    for call in flood {
        let answer = call.await.unwrap();
        if is_whole(&answer, &version, "large", 20) {
            continue;
        }
        refused += 1;
        let problem = answer.problem().expect("a typed refusal");
        expect_that!(answer.status, eq(429));
        expect_that!(problem.ran, eq(wire::Ran::DidNotRun));
        expect_that!(problem.retry_after_ms, some(ge(100)));
    }
    expect_that!(refused, ge(20));
    expect_that!(refused, lt(60));
    let finished = |agent: &deployment::AgentProcess| agent.engine.as_ref().unwrap().finished();
    let finished: u64 = deployment.engines.iter().map(finished).sum();
    expect_that!(finished, eq(60 - refused + 3));
}

/// A caller stops reading in the middle of a long answer. Its pieces must not pile up in the entry,
/// and other callers must not wait for it.
#[googletest::test]
#[tokio::test]
async fn a_slow_caller_holds_up_no_other_and_bounds_what_waits_for_it() {
    let fast = engine::Behaviour { token_ms: 0, ..engine::Behaviour::default() };
    let (deployment, version) = serving(plan(1, fast)).await;
    let mut slow = net::TcpStream::connect(deployment.entries[0].callers).await.unwrap();
    let body = format!(
        "{{\"model\":\"{}\",\"prompt\":\"slow\",\"max_tokens\":200000,\"stream\":true}}",
        deployment::MODEL
    );
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n",
        caller::ACCOUNT_TOKEN,
        body.len()
    );
    slow.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    let mut first = [0; 1];
    slow.read_exact(&mut first).await.unwrap();
    for call in 0..20 {
        let prompt = format!("p{call}");
        let answer = deployment.caller(0).complete(deployment::MODEL, &prompt, 5).await;
        expect_that!(is_whole(&answer, &version, &prompt, 5), eq(true), "{answer:?}");
    }
    let engine = deployment.engines[0].engine.as_ref().unwrap();
    // The engine can only end the long answer if somebody took all of it.
    expect_that!(engine.finished(), eq(20));
    drop(slow);
    deployment::wait_for("the engine was told", async || engine.cancelled() == 1).await;
}

/// Calls that the engines have, running or waiting, by their own word.
async fn at_engines(deployment: &deployment::Deployment) -> u64 {
    let client = http::Client::new(1_000);
    let mut calls = 0;
    for agent in &deployment.engines {
        let peer = agent.engine.as_ref().unwrap().address().to_string();
        let request = hyper::Request::get(format!("http://{peer}/state"));
        let request = request.body(http::full("")).unwrap();
        let fetched = client.fetch("read state", &peer, request, 1 << 16, 5_000).await.unwrap();
        let state: engine_wire::EngineState = serde_json::from_slice(&fetched.1).unwrap();
        calls += state.running + state.queued;
    }
    calls
}

/// One account floods two entries. If each took the whole capacity for its own, the engines would
/// get twice what they can do, and everybody's calls would wait there instead of being refused.
#[googletest::test]
#[tokio::test]
async fn a_flood_at_two_entries_gets_one_capacity() {
    let few = engine::Behaviour { slots: 4, token_ms: 20, ..engine::Behaviour::default() };
    let plan = deployment::Plan { entries: 2, ..plan(2, few) };
    let (deployment, version) = serving(plan).await;
    deployment.serving(1, &version, 2).await;
    let mut flood = tokio::task::JoinSet::new();
    for number in 0..40 {
        let caller = deployment.caller(number % 2);
        flood.spawn(async move {
            loop {
                let answer = caller.complete(deployment::MODEL, "p", 20).await;
                if !answer.ended() {
                    tokio::time::sleep(time::Duration::from_millis(100)).await;
                }
            }
        });
    }
    tokio::time::sleep(time::Duration::from_millis(2_000)).await;
    let mut seen = Vec::new();
    for _ in 0..20 {
        seen.push(at_engines(&deployment).await);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    seen.sort_unstable();
    // Eight slots; each of two entries may round its part up and let a burst in.
    expect_that!(seen[10], all![ge(6), le(12)], "{seen:?}");
    flood.abort_all();
}

/// One of two portal instances dies beside its agent, and the other with its agent. Reads change
/// nothing, so each goes to an instance that answers, and no caller sees an error.
#[googletest::test]
#[tokio::test]
async fn reads_of_a_service_go_on_when_instances_die() {
    let plan = deployment::Plan { portals: 3, ..plan(0, engine::Behaviour::default()) };
    let mut deployment = start(plan).await;
    deployment.open_routes().await;
    let read = async |deployment: &deployment::Deployment| {
        let path = format!("/services/{}/hours", deployment::PORTAL);
        deployment.caller(0).send("GET", &path, None, String::new()).await
    };
    deployment::wait_for("the route is in force", async || read(&deployment).await.status == 200)
        .await;
    deployment.services[0].process.take().unwrap().kill();
    deployment.services[1].service.take();
    for _ in 0..30 {
        let answer = read(&deployment).await;
        expect_that!((answer.status, &answer.body[..]), eq((200, &b"open"[..])));
    }
}

/// A caller that will wait 50 ms cannot get an answer that takes 200 ms. It is told at once, and no
/// engine works for it.
#[googletest::test]
#[tokio::test]
async fn a_request_without_enough_time_is_refused_as_not_run() {
    let (deployment, _) = serving(plan(1, engine::Behaviour::default())).await;
    let request =
        hyper::Request::post(format!("http://{}/v1/completions", deployment.entries[0].callers))
            .header("authorization", format!("Bearer {}", caller::ACCOUNT_TOKEN))
            .header(http::TIMEOUT_MS, "50")
            .body(http::full(format!("{{\"model\":\"{}\",\"prompt\":\"p\"}}", deployment::MODEL)));
    let peer = deployment.entries[0].callers.to_string();
    let client = http::Client::new(1_000);
    let fetched = client.fetch("test call", &peer, request.unwrap(), 1 << 16, 5_000).await;
    let (head, body) = fetched.unwrap();
    let problem: wire::Problem = serde_json::from_slice(&body).unwrap();
    expect_that!(head.status.as_u16(), eq(429));
    expect_that!(problem.ran, eq(wire::Ran::DidNotRun));
    expect_that!(problem.detail.as_deref(), some(eq("deadline_too_close")));
    expect_that!(deployment.engines[0].engine.as_ref().unwrap().finished(), eq(0));
}
