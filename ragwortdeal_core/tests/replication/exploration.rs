//! Many short seeded runs through all faults at once.

use std::{env, panic, thread};

use googletest::prelude::*;

use crate::{checks, world};

/// Short runs in CI; `RAGWORTDEAL_REPLICATION_RUNS` asks for more.
const DEFAULT_RUNS: u64 = 10_000;
const THREADS: u64 = 4;

pub fn plan(seed: u64) -> world::Plan {
    let replicas = if seed.is_multiple_of(3) { 5 } else { 3 };
    world::Plan { replicas, duration_ms: 5_000, planted: None, changing: true }
}

/// Runs one seed; a panic of a replica is a finding like any other.
pub fn explore(seed: u64, plan: world::Plan) -> std::result::Result<checks::Tally, String> {
    let outcome = panic::catch_unwind(|| {
        let mut world = world::World::new(seed, plan);
        world.run().map(|()| world.checks.tally)
    });
    let verdict = outcome.unwrap_or_else(|_| Err("a replica panicked".to_owned()));
    verdict.map_err(|fault| format!("seed {seed}, {plan:?}: {fault}"))
}

fn runs() -> u64 {
    let asked = env::var("RAGWORTDEAL_REPLICATION_RUNS").ok();
    asked.and_then(|runs| runs.parse().ok()).unwrap_or(DEFAULT_RUNS)
}

fn explore_share(first: u64, runs: u64) -> std::result::Result<checks::Tally, String> {
    let seeds = (first..runs).step_by(THREADS as usize);
    seeds.map(|seed| explore(seed, plan(seed))).sum()
}

// Messages are delayed, lost, doubled and reordered, processes crash, pause and lose their disks,
// clocks run at different rates and the membership changes. A fault here shows to a user as an
// accepted change that is gone, or as two operators who were both told that they won.
#[googletest::test]
fn no_seed_breaks_an_invariant() -> googletest::Result<()> {
    let runs = runs();
    let outcomes = thread::scope(|scope| {
        let shares: Vec<_> =
            (0..THREADS).map(|first| scope.spawn(move || explore_share(first, runs))).collect();
        shares.into_iter().map(|share| share.join().expect("joined")).collect::<Vec<_>>()
    });
    let checked: std::result::Result<checks::Tally, String> = outcomes.into_iter().sum();
    println!("replication: {checked:?}");
    let tally = checked.or_fail()?;
    // A run that reached none of these states would pass whatever the replicas did.
    expect_that!(tally.runs, eq(runs));
    expect_that!(tally.accepted, gt(20 * runs));
    expect_that!(tally.reads, gt(5 * runs));
    expect_that!(tally.restores, gt(runs / 2));
    expect_that!(tally.elections, gt(2 * runs));
    expect_that!(tally.memberships, gt(2 * runs));
    expect_that!(tally.beyond_repair, lt(runs / 10));
    Ok(())
}

/// Seeds that once showed a fault stay here unchanged, with the length of their run.
macro_rules! kept_seeds {
    ($($case:ident: $seed:expr, $duration_ms:expr;)*) => {$(
        #[googletest::test]
        fn $case() {
            let plan = world::Plan { duration_ms: $duration_ms, ..plan($seed) };
            expect_that!(explore($seed, plan), ok(anything()));
        }
    )*};
}

kept_seeds! {
    // A learner that had missed some terms was promoted, and its grants were dropped as late.
    grant_of_a_voter_in_an_older_term: 7018, 2_500;
}
