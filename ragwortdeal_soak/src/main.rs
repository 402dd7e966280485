//! The `ragwortdeal-soak` program.

mod cli;

use std::{collections, env, fs, io, process};

use clap::Parser as _;
use ragwortdeal_node::stop;
use ragwortdeal_soak::{run, verdict};

/// Violations of each promise that are printed of a run.
const PRINTED_OF_EACH: usize = 5;

fn main() -> process::ExitCode {
    let options = cli::Options::parse();
    match run_all(&options) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            process::ExitCode::from(2)
        }
    }
}

fn run_all(options: &cli::Options) -> io::Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    let own = env::current_exe()?;
    let beside = own.parent().map(ToOwned::to_owned).unwrap_or_default();
    let programs = fs::canonicalize(options.programs.as_ref().unwrap_or(&beside))?;
    let mut kept = true;
    for (seed, faults_s) in options.runs() {
        let folder = options.folder.join(format!("seed-{seed}"));
        match fs::remove_dir_all(&folder) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => fs::create_dir_all(&folder)?,
        }
        let folder = fs::canonicalize(folder)?;
        let programs = programs.clone();
        let plan = run::Plan { seed, faults_s, folder, programs };
        // A run that is broken off ends its processes as the runtime is dropped.
        let verdict = runtime.block_on(async {
            tokio::select! {
                verdict = run::run(&plan) => verdict,
                stopped = stopped() => Err(stopped),
            }
        })?;
        kept &= verdict.violations.is_empty();
        print(&plan, &verdict);
    }
    Ok(kept)
}

/// Waits for SIGTERM or SIGINT.
async fn stopped() -> io::Error {
    let (stopper, stop) = stop::pair();
    tokio::select! {
        Err(error) = stop::on_signal(stopper) => error,
        () = stop.wait() => io::Error::other("broken off by a signal"),
    }
}

fn print(plan: &run::Plan, verdict: &verdict::Verdict) {
    let broken = verdict.violations.len();
    let mut printed = collections::BTreeMap::<&str, usize>::new();
    for violation in &verdict.violations {
        let of_promise = printed.entry(violation.promise).or_default();
        *of_promise += 1;
        if *of_promise <= PRINTED_OF_EACH {
            println!("violation: {}: {}", violation.promise, violation.seen);
        }
    }
    for (promise, count) in printed.iter().filter(|(_, count)| **count > PRINTED_OF_EACH) {
        println!("violations of this promise in all: {promise}: {count}");
    }
    if broken > 0 {
        println!("schedule of seed {}:\n{}", plan.seed, verdict.schedule);
    }
    println!(
        "soak: {} seed={} seconds={} violations={broken} sent={} ends={:?} judged={} \
         on_loaded={} silences={} acked={} read_back={} named={} late={} logs={}",
        if broken == 0 { "ok" } else { "broken" },
        plan.seed,
        plan.faults_s,
        verdict.sent,
        verdict.ends,
        verdict.judged,
        verdict.on_loaded,
        verdict.silences,
        verdict.documents.0,
        verdict.documents.1,
        verdict.named,
        verdict.late,
        plan.folder.display()
    );
}
