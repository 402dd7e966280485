//! Many short seeded runs with all faults combined.

use std::{env, panic, thread};

use googletest::prelude::*;

use crate::{checks, simulation};

/// Number of runs; `RAGWORTDEAL_REPLICATION_RUNS` overrides it.
const DEFAULT_RUNS: u64 = 10_000;
const THREADS: u64 = 4;

pub fn plan(seed: u64) -> simulation::Plan {
    let replicas = if seed.is_multiple_of(3) { 5 } else { 3 };
    simulation::Plan {
        replicas,
        duration_ms: 5_000,
        injected: None,
        changing: true,
        refusing: false,
        final_loss: false,
    }
}

/// Runs one seed; a panic of a replica is reported like a broken invariant.
pub fn explore(seed: u64, plan: simulation::Plan) -> std::result::Result<checks::Tally, String> {
    let outcome = panic::catch_unwind(|| {
        let mut simulation = simulation::Simulation::new(seed, plan);
        simulation.run().map(|()| simulation.checks.tally)
    });
    let verdict = outcome.unwrap_or_else(|_| Err("a replica panicked".to_owned()));
    verdict.map_err(|fault| format!("seed {seed}, {plan:?}: {fault}"))
}

fn runs() -> u64 {
    let asked = env::var("RAGWORTDEAL_REPLICATION_RUNS").ok();
    asked.and_then(|runs| runs.parse().ok()).unwrap_or(DEFAULT_RUNS)
}

fn explore_share(
    first: u64,
    runs: u64,
    ending: Ending,
) -> std::result::Result<checks::Tally, String> {
    let seeds = (first..runs).step_by(THREADS as usize);
    let Ending { refusing, final_loss } = ending;
    seeds.map(|seed| explore(seed, simulation::Plan { refusing, final_loss, ..plan(seed) })).sum()
}

macro_rules! no_seed_breaks_an_invariant {
    ($($case:ident: refusing $refusing:expr, final_loss $final_loss:expr;)*) => {$(
        // Messages are delayed, lost, duplicated and reordered, processes crash, pause and lose
        // their disks, clocks run at different rates and the membership changes. A broken
        // invariant means that a committed change is lost, or that two operators were both told
        // that their conflicting change won.
        #[googletest::test]
        fn $case() -> googletest::Result<()> {
            explore_all(Ending { refusing: $refusing, final_loss: $final_loss })
        }
    )*};
}

no_seed_breaks_an_invariant! {
    no_seed_breaks_an_invariant: refusing false, final_loss false;
    no_seed_breaks_an_invariant_where_disks_refuse_writes: refusing true, final_loss false;
    no_seed_breaks_an_invariant_where_disks_and_power_are_lost_at_the_end:
        refusing false, final_loss true;
}

/// How runs differ between the cases.
#[derive(Clone, Copy, Debug)]
struct Ending {
    refusing: bool,
    final_loss: bool,
}

fn explore_all(ending: Ending) -> googletest::Result<()> {
    let runs = runs();
    let outcomes = thread::scope(|scope| {
        let share = |first| scope.spawn(move || explore_share(first, runs, ending));
        let handles: Vec<_> = (0..THREADS).map(share).collect();
        handles.into_iter().map(|handle| handle.join().expect("joined")).collect::<Vec<_>>()
    });
    let checked: std::result::Result<checks::Tally, String> = outcomes.into_iter().sum();
    println!("replication: {checked:?}");
    let tally = checked.or_fail()?;
    // Runs that never reach these states would pass even with faulty replicas.
    expect_that!(tally.runs, eq(runs));
    expect_that!(tally.committed, gt(20 * runs));
    expect_that!(tally.reads, gt(5 * runs));
    expect_that!(tally.restores, gt(runs / 2));
    expect_that!(tally.elections, gt(2 * runs));
    expect_that!(tally.memberships, gt(2 * runs));
    expect_that!(tally.unrecoverable, lt(runs / 10));
    Ok(())
}

/// Regression tests: seeds that once exposed a fault, with the duration of their run.
macro_rules! regression_seeds {
    ($($case:ident: $seed:expr, $duration_ms:expr;)*) => {$(
        #[googletest::test]
        fn $case() {
            let plan = simulation::Plan { duration_ms: $duration_ms, ..plan($seed) };
            expect_that!(explore($seed, plan), ok(anything()));
        }
    )*};
}

regression_seeds! {
    // A learner that had missed some terms was promoted, and its votes were dropped as outdated.
    grant_of_a_voter_in_an_older_term: 7018, 2_500;
}
