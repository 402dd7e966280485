//! A whole deployment in one process: a model is rolled out and replaced under live calls.
//!
//! `cargo run --release --example quickstart -- --deployment anza` runs it by the other users'
//! settings. The last line says what was measured; the exit code is not zero where something that
//! must always hold did not.

mod live;
mod report;

use std::{process, sync, time};

use clap::Parser as _;
use ragwortdeal_node::logging;
use ragwortdeal_standins::{deployment, origin};

/// Size of the model: small enough for a laptop, large enough for many chunks.
const MODEL_BYTES: usize = 24 << 20;

/// Size of a chunk.
const CHUNK_BYTES: u32 = 256 << 10;

/// Rate of the origin's link: four copies take about eight seconds.
const ORIGIN_BYTES_PER_S: u64 = 12 << 20;

/// Callers that ask for completions all the time.
const CALLERS: usize = 16;

/// Callers that make transfers all the time, each sent twice.
const OPERATORS: usize = 4;

/// How long the deployment is watched after an instance was lost.
const AFTER_LOSS: time::Duration = time::Duration::from_secs(4);

/// Whose settings to run by.
#[derive(clap::ValueEnum, Clone, Copy, Debug)]
enum Users {
    /// Halden & Rusk: time until all replicas serve counts most.
    Halden,
    /// ANZA: bytes drawn from the origin count most.
    Anza,
}

/// Runs a whole deployment on loopback.
#[derive(clap::Parser, Debug)]
struct Options {
    /// Whose settings to run by.
    #[arg(long, value_enum, default_value = "halden")]
    deployment: Users,
}

fn plan(users: Users) -> deployment::Plan {
    let (zones, origin_weight_percent) = match users {
        Users::Halden => (vec!["amman", "irbid", "aqaba"], 0),
        Users::Anza => (vec!["bizkaia", "cantabria", "asturias"], 100),
    };
    deployment::Plan {
        zones,
        entries: 4,
        engines: 12,
        ledgers: 3,
        portals: 1,
        origin_bytes_per_s: ORIGIN_BYTES_PER_S,
        origin_weight_percent,
        ..deployment::Plan::default()
    }
}

fn main() -> process::ExitCode {
    let options = Options::parse();
    logging::start("error");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let report = runtime.block_on(run(plan(options.deployment)));
    report.print();
    if report.holds() { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

async fn run(plan: deployment::Plan) -> report::Report {
    let engines = plan.engines;
    let mut running = deployment::Deployment::start(plan).await.expect("loopback ports are free");
    running.open_routes().await;
    let first = origin::Weights::of_seed(1, MODEL_BYTES, CHUNK_BYTES);
    let second = origin::Weights::of_seed(2, MODEL_BYTES, CHUNK_BYTES);

    let mut report = report::Report::default();
    report.rollouts.push(roll_out(&running, "first version", &first, engines).await);
    let live = sync::Arc::new(live::Live::default());
    let callers = live::start(&running, &live, CALLERS, OPERATORS);
    report.rollouts.push(roll_out(&running, "change of version", &second, engines).await);

    let lost = &mut running.engines[0];
    lost.process.take().expect("the agent runs").kill();
    drop(lost.engine.take());
    tokio::time::sleep(AFTER_LOSS).await;
    live.stop();
    for caller in callers {
        caller.await.expect("callers do not panic");
    }
    report.take(&live, &running);
    report
}

/// Rolls a version out and draws its progress.
async fn roll_out(
    running: &deployment::Deployment,
    what: &'static str,
    weights: &origin::Weights,
    replicas: usize,
) -> report::Rollout {
    let version = weights.version().to_string();
    let served_before = running.origin.served_bytes();
    let start = time::Instant::now();
    let bar = indicatif::ProgressBar::new((replicas * MODEL_BYTES) as u64);
    let style = "{prefix:18} [{bar:40}] {bytes}/{total_bytes} {msg} {elapsed}";
    bar.set_style(indicatif::ProgressStyle::with_template(style).expect("a valid template"));
    bar.set_prefix(what);
    running.roll_out(weights).await;
    let operator = running.operator(0);
    loop {
        let status = operator.status().await.expect("the entry answers");
        let of_version =
            status.instances.iter().filter(|one| one.intended.as_ref() == Some(&version));
        let done = of_version.clone().filter(|one| one.serving.as_ref() == Some(&version)).count();
        bar.set_position(of_version.map(|one| one.staged_bytes).sum());
        bar.set_message(format!("{done}/{replicas} replicas"));
        if done >= replicas {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let time_to_n = start.elapsed();
    bar.finish();
    let origin_bytes = running.origin.served_bytes() - served_before;
    let origin_copies = origin_bytes as f64 / MODEL_BYTES as f64;
    report::Rollout { what, replicas, time_to_n, origin_copies }
}
