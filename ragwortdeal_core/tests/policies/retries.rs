//! Load that retries add when upstreams fail.

use googletest::prelude::*;

use crate::{model, model::setup};

fn run(retrying: setup::Retrying, choosing: setup::Choosing) -> (f64, f64) {
    let setup = setup::Setup {
        retrying,
        offered: 0.6,
        faults: vec![(20_000, setup::Fault::UpstreamsFail(4))],
        ..setup::Setup::new(31, choosing)
    };
    let outcome = model::run(&setup);
    let amplification = outcome.attempts as f64 / outcome.offered() as f64;
    let good = outcome.good() as f64 * 100.0 / outcome.offered() as f64;
    println!("| {retrying:?} | {choosing:?} | {amplification:.3} | {good:.2} |");
    (amplification, good)
}

/// A third of the upstreams refuse connections. Unbounded retries add their load to what is left,
/// and callers whose upstream was healthy wait behind the repeated calls of the others.
#[googletest::test]
fn a_third_of_the_upstreams_fails() {
    let (_, good_without) = run(setup::Retrying::Never, setup::Choosing::RoundRobin);
    let (naive, _) = run(setup::Retrying::Unbounded, setup::Choosing::RoundRobin);
    let (_, good_ejection) = run(setup::Retrying::Never, setup::Choosing::TwoChoices);
    let (budgeted, good) = run(setup::Retrying::Budgeted, setup::Choosing::TwoChoices);
    expect_that!(naive, gt(1.2));
    expect_that!(budgeted, le(1.1));
    expect_that!(good, gt(99.0));
    expect_that!(good, gt(good_without));
    expect_that!(good, ge(good_ejection));
}

fn hedged(offered: f64, hedge_after_ms: Option<u64>) -> (u64, f64) {
    let setup = setup::Setup {
        hedge_after_ms,
        offered,
        ..setup::Setup::new(32, setup::Choosing::TwoChoices)
    };
    let outcome = model::run(&setup);
    let sent = outcome.attempts as f64 / outcome.offered() as f64;
    let (p95_ms, p99_ms) = (outcome.response_percentile_ms(95), outcome.response_percentile_ms(99));
    println!("| {hedge_after_ms:?} | {offered} | {p95_ms} | {p99_ms} | {sent:.3} |");
    (p99_ms, sent)
}

/// Hedging sends what takes long once more. It shortens the tail while there is room, and adds its
/// load just when there is none: callers then wait longer than without it. So calls aren't hedged.
#[googletest::test]
fn hedging_costs_load_for_its_tail() {
    let (without_ms, _) = hedged(0.8, None);
    let (with_ms, sent) = hedged(0.8, Some(600));
    expect_that!(with_ms, lt(without_ms));
    expect_that!(sent, lt(1.1));
    let (without_ms, _) = hedged(0.95, None);
    let (with_ms, sent) = hedged(0.95, Some(600));
    expect_that!(with_ms, gt(without_ms));
    expect_that!(sent, gt(1.1));
}
