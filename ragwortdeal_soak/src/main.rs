//! The `ragwortdeal-soak` program.

mod cli;

use std::{env, fs, io, process};

use clap::Parser as _;
use ragwortdeal_node::stop;
use ragwortdeal_soak::run;

/// Violations that are printed of each run.
const PRINTED: usize = 20;

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

fn print(plan: &run::Plan, verdict: &run::Verdict) {
    let broken = verdict.violations.len();
    for violation in verdict.violations.iter().take(PRINTED) {
        println!("violation: {}: {}", violation.promise, violation.seen);
    }
    if broken > 0 {
        println!("schedule of seed {}:\n{}", plan.seed, verdict.schedule);
    }
    println!(
        "soak: {} seed={} seconds={} violations={broken} sent={} ends={:?} judged={} acked={} \
         read_back={} named={} late={} logs={}",
        if broken == 0 { "ok" } else { "broken" },
        plan.seed,
        plan.faults_s,
        verdict.sent,
        verdict.ends,
        verdict.judged,
        verdict.documents.0,
        verdict.documents.1,
        verdict.named,
        verdict.late,
        plan.folder.display()
    );
}
