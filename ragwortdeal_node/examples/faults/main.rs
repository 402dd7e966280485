//! A mixed run of faults over real sockets, under live calls, transfers, changes and rollouts.
//!
//! `cargo run --release --example faults -- --seed 7` makes the same faults in the same order for
//! the same seed; what the network and the scheduler do in between is not repeated. The recorded
//! history is then checked against the list of what must always hold.

mod load;
mod scenario;
mod watch;

use std::{process, time};

use clap::Parser as _;
use ragwortdeal_node::logging;
use ragwortdeal_standins::{checkers, deployment, engine, history, service};

/// Runs faults and checks the history.
#[derive(clap::Parser, Debug)]
struct Options {
    /// Decides which faults come in which order and where.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn plan() -> deployment::Plan {
    deployment::Plan {
        engines: 6,
        ledgers: 2,
        origin_bytes_per_s: 8 << 20,
        engine: engine::Behaviour { token_ms: 3, ..engine::Behaviour::default() },
        ledger: service::Behaviour {
            before_ms: 5,
            after_ms: 20,
            honours_key: false,
            ..service::Behaviour::default()
        },
        network: true,
        ..deployment::Plan::default()
    }
}

fn main() -> process::ExitCode {
    let options = Options::parse();
    logging::start("error");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let history = runtime.block_on(run(options.seed));
    runtime.shutdown_timeout(time::Duration::from_secs(1));
    let violations = checkers::check(&history);
    for violation in &violations {
        println!("violation: {}: {}", violation.line, violation.seen);
    }
    let verdict = if violations.is_empty() { "ok" } else { "failed" };
    let events = history.completions.len()
        + history.operations.len()
        + history.applied.len()
        + history.accepted.len();
    println!(
        "faults: {verdict} seed={} histories={events} violations={}",
        options.seed,
        violations.len()
    );
    match violations.is_empty() {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::FAILURE,
    }
}

async fn run(seed: u64) -> history::History {
    let mut running = deployment::Deployment::start(plan()).await.expect("loopback ports are free");
    running.open_routes().await;
    let recorder = history::Recorder::default();
    let load = load::Load::start(&running, &recorder);
    let watch = watch::start(&running, &recorder);
    scenario::Scenario::new(seed, recorder.clone(), load.clone()).play(&mut running).await;
    load.stop().await;
    watch.abort();
    watch::finish(&running, &recorder).await;
    recorder.history()
}
