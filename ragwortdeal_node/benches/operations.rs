//! What an operation that runs at most once costs beside a call that may be repeated.
//!
//! Both go through the same entry and agent to the same stand-in on loopback, in turn, so that the
//! ratio in one run is free of what else the machine does.

use std::{hint, time};

use ragwortdeal_core::{
    claims::{answer, attempt, key, state, table},
    digest, name,
};
use ragwortdeal_standins::{caller, deployment, service};
use ragwortdeal_wire::operator as wire;

const CALLS: usize = 2_000;

/// Longest call that the histograms tell from longer ones.
const LONGEST_US: u64 = 60_000_000;

const APPLIED: u64 = 100_000;

fn main() {
    table_costs();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("a runtime").block_on(call_costs());
}

/// Claims and records on a table that fills up, in nanoseconds each.
fn table_costs() {
    let slots = (0..=u8::MAX).map(key::Slot);
    let mut table = table::ClaimTable::new(table::TableLimits::default(), slots);
    let start = time::Instant::now();
    for sequence in 0..APPLIED {
        let claim = claim(sequence);
        let (id, attempt) = (claim.key.id(), claim.attempt.clone());
        let answer = answer::Answer::new(200, Some("application/json"), b"{\"entry\":1}");
        let record = state::Command::Record { id, attempt, answer };
        for command in [state::Command::Claim(claim), record] {
            hint::black_box(table.apply(state::TimestampedCommand { now_ms: sequence, command }));
        }
    }
    let each_ns = start.elapsed().as_nanos() / u128::from(APPLIED);
    println!("table: claim and record together {each_ns} ns at up to {APPLIED} claims");
}

fn claim(sequence: u64) -> state::Claim {
    let instance = |text| name::InstanceName::new(text).expect("a valid name");
    state::Claim {
        key: key::ScopedKey {
            account: name::AccountName::new("irbid-branch").expect("a valid name"),
            service: name::ServiceName::new("ledger").expect("a valid name"),
            key: name::OperationKey::new(&format!("transfer-{sequence}")).expect("a valid name"),
        },
        body_digest: digest::Digest::of(&sequence.to_le_bytes()),
        attempt: attempt::AttemptId { entry: instance("entry-1"), entry_incarnation: 1, sequence },
        replaces: None,
        upstream: attempt::Upstream {
            instance: instance("ledger-1"),
            incarnation: attempt::Incarnation(1),
        },
        key_support: state::KeySupport::None,
    }
}

async fn call_costs() {
    let plan = deployment::Plan {
        entries: 1,
        engines: 0,
        portals: 0,
        ledger: service::Behaviour {
            before_ms: 0,
            after_ms: 0,
            honours_key: false,
            ..service::Behaviour::default()
        },
        ..deployment::Plan::default()
    };
    let deployment = deployment::Deployment::start(plan).await.expect("a deployment on loopback");
    let all = String::new;
    let route = wire::Route { accounts: all(), targets: all(), upstreams: all() };
    let route = wire::Object::Route(route);
    deployment::wait_for("the route is accepted", async || {
        deployment.operator(0).set("open", "route/all", route.clone()).await.is_some()
    })
    .await;
    let caller = deployment.caller(0);
    deployment::wait_for("calls pass", async || read(&caller).await == 200).await;
    let histogram =
        || hdrhistogram::Histogram::<u64>::new_with_max(LONGEST_US, 3).expect("valid bounds");
    let (mut repeatable, mut claimed) = (histogram(), histogram());
    for number in 0..CALLS {
        let start = time::Instant::now();
        assert_eq!(read(&caller).await, 200);
        repeatable.saturating_record(start.elapsed().as_micros() as u64);
        let start = time::Instant::now();
        let answer = caller.operate(deployment::LEDGER, &format!("t-{number}"), "{}").await;
        assert_eq!(answer.status, 200);
        claimed.saturating_record(start.elapsed().as_micros() as u64);
    }
    assert_eq!(deployment.ledger.duplicates(), 0);
    for quantile in [0.50, 0.95, 0.99] {
        let (plain, held) =
            (repeatable.value_at_quantile(quantile), claimed.value_at_quantile(quantile));
        let ratio = held as f64 / plain as f64;
        println!(
            "calls: p{:.0} repeatable {plain} us, claimed {held} us, ratio {ratio:.1}",
            quantile * 100.0
        );
    }
}

async fn read(caller: &caller::Caller) -> u16 {
    caller.send("GET", "/services/ledger/balance", None, String::new()).await.status
}
