//! Load that retries add when upstreams fail.

use googletest::prelude::*;

use crate::model;

fn run(retrying: model::Retrying, choosing: model::Choosing) -> (f64, f64) {
    let setup = model::Setup {
        retrying,
        offered: 0.6,
        faults: vec![(20_000, model::Fault::UpstreamsFail(4))],
        ..model::Setup::new(31, choosing)
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
    let (_, good_without) = run(model::Retrying::Never, model::Choosing::RoundRobin);
    let (naive, _) = run(model::Retrying::Unbounded, model::Choosing::RoundRobin);
    let (_, good_aside) = run(model::Retrying::Never, model::Choosing::TwoChoices);
    let (budgeted, good) = run(model::Retrying::Budgeted, model::Choosing::TwoChoices);
    expect_that!(naive, gt(1.2));
    expect_that!(budgeted, le(1.1));
    expect_that!(good, gt(99.0));
    expect_that!(good, gt(good_without));
    expect_that!(good, ge(good_aside));
}
