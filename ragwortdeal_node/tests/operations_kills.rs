//! Kills one process after another during operations, and counts the outcomes.

use std::{collections, time};

use googletest::prelude::*;
use ragwortdeal_standins::{caller, deployment, service};
use ragwortdeal_wire::operator as wire;
use rand::{RngExt as _, SeedableRng as _};

const SEED: u64 = 6;
const KILLS: usize = 45;
const CALLERS: usize = 8;

/// Limit of sends of one operation by its caller.
const SENDS_MAX: usize = 40;

/// Number of "unknown" answers after which a caller turns to an operator.
const UNKNOWN_ANSWERS_MAX: usize = 5;

/// Upper bound of the pause between the start of the operations and a kill; the ledger takes about
/// as long.
const KILL_DELAY_MAX_MS: u64 = 120;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Victim {
    Entry,
    Agent,
    Voter,
}

/// The outcome of an operation as its caller finally knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallerOutcome {
    Answered,
    InDoubt,
    NotRun,
}

async fn start() -> deployment::Deployment {
    let plan = deployment::Plan {
        voters: 1,
        entries: 3,
        engines: 0,
        ledgers: 2,
        portals: 0,
        ledger: service::Behaviour {
            before_ms: 40,
            after_ms: 40,
            honours_key: false,
            ..service::Behaviour::default()
        },
        ..deployment::Plan::default()
    };
    let deployment = deployment::Deployment::start(plan).await.unwrap();
    let all = String::new;
    let route = wire::Route { accounts: all(), targets: all(), upstreams: all() };
    let route = wire::Object::Route(route);
    deployment::wait_for("the route is accepted", async || {
        deployment.operator(0).set("open", "route/all", route.clone()).await.is_some()
    })
    .await;
    deployment
}

/// Sends one operation until it is answered or several answers were "unknown".
async fn retry_until_known(callers: Vec<caller::Caller>, key: String) -> (String, CallerOutcome) {
    let mut outcome = CallerOutcome::NotRun;
    let mut unknown_answers = 0;
    for (round, caller) in callers.iter().cycle().take(SENDS_MAX).enumerate() {
        let answer = caller.operate(deployment::LEDGER, &key, "{}").await;
        if answer.status == 200 {
            return (key, CallerOutcome::Answered);
        }
        match answer.problem().map(|problem| problem.ran) {
            Some(wire::Ran::DidNotRun) => (),
            // A lost answer counts as "unknown": the caller cannot tell the outcome.
            _ => {
                outcome = CallerOutcome::InDoubt;
                unknown_answers += 1;
            }
        }
        if unknown_answers >= UNKNOWN_ANSWERS_MAX {
            break;
        }
        let pause_ms = 50 * (round as u64 + 1).min(6);
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
    }
    (key, outcome)
}

async fn kill_and_restart(deployment: &mut deployment::Deployment, victim: Victim, number: usize) {
    match victim {
        Victim::Entry => {
            let number = number % deployment.entries.len();
            deployment.entries[number].process.take().unwrap().kill();
            deployment.restart_entry(number).await.unwrap();
        }
        Victim::Agent => {
            let number = number % deployment.services.len();
            deployment.services[number].process.take().unwrap().kill();
            deployment.restart_service_agent(number).await.unwrap();
        }
        Victim::Voter => {
            deployment.voters[0].process.take().unwrap().kill();
            deployment.restart_voter(0).await.unwrap();
        }
    }
}

/// Processes are killed at random moments during transfers, and each caller retries at all entries
/// until it has an answer. No transfer may be recorded twice, none that is answered may be missing,
/// and a transfer whose caller is told only "did not run" must have no effect.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transfers_under_random_kills_take_effect_at_most_once() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let mut deployment = start().await;
    let mut counts = collections::BTreeMap::<(Victim, CallerOutcome), usize>::new();
    for kill in 0..KILLS {
        let victim = [Victim::Entry, Victim::Agent, Victim::Voter][kill % 3];
        let callers: Vec<_> = (0..3).map(|entry| deployment.caller(entry)).collect();
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..CALLERS {
            let mut callers = callers.clone();
            callers.rotate_left(number % 3);
            calls.spawn(retry_until_known(callers, format!("t-{kill}-{number}")));
        }
        let pause_ms = rng.random_range(0..KILL_DELAY_MAX_MS);
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        kill_and_restart(&mut deployment, victim, rng.random_range(0..6)).await;
        for (key, outcome) in calls.join_all().await {
            *counts.entry((victim, outcome)).or_default() += 1;
            let effects = deployment.ledger.effects().get(&key).copied().unwrap_or(0);
            match outcome {
                CallerOutcome::Answered => expect_that!(effects, eq(1), "{key}"),
                CallerOutcome::InDoubt => expect_that!(effects, le(1), "{key}"),
                CallerOutcome::NotRun => expect_that!(effects, eq(0), "{key}"),
            }
        }
    }
    println!("{KILLS} kills, {CALLERS} operations each: {counts:?}");
    expect_that!(deployment.ledger.duplicates(), eq(0));
}
