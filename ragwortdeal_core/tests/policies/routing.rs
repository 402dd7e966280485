//! The ways to choose an upstream, under load reports that lag.

use googletest::prelude::*;

use crate::{model, model::setup};

fn run(choosing: setup::Choosing, lag_ms: u64) -> setup::Outcome {
    let setup = setup::Setup {
        lag_ms,
        offered: 0.9,
        prefixes: 200,
        prefixes_kept: 20,
        ..setup::Setup::new(11, choosing)
    };
    let outcome = model::run(&setup);
    println!(
        "| {choosing:?} | {lag_ms} | {:.1} | {} | {} | {} | {:.1} |",
        outcome.good() as f64 * 100.0 / outcome.offered() as f64,
        outcome.response_percentile_ms(50),
        outcome.response_percentile_ms(95),
        outcome.response_percentile_ms(99),
        outcome.hits as f64 * 100.0 / outcome.sent as f64
    );
    outcome
}

macro_rules! under_lag {
    ($($case:ident: $lag_ms:expr,)*) => {$(
        /// Load reports arrive late, and entries run after the upstream that looked idle when the
        /// report was taken. Users see answers that stall while other upstreams stand idle.
        #[googletest::test]
        fn $case() {
            let random = run(setup::Choosing::Random, $lag_ms);
            let round_robin = run(setup::Choosing::RoundRobin, $lag_ms);
            let least = run(setup::Choosing::LeastReported, $lag_ms);
            let two = run(setup::Choosing::TwoChoices, $lag_ms);
            let affinity = run(setup::Choosing::Affinity, $lag_ms);

            let p95_ms = |outcome: &setup::Outcome| outcome.response_percentile_ms(95);
            expect_that!(p95_ms(&two), lt(p95_ms(&random)));
            expect_that!(p95_ms(&two), lt(p95_ms(&round_robin)));
            expect_that!(p95_ms(&two), lt(p95_ms(&least)));
            expect_that!(p95_ms(&affinity) * 10, lt(p95_ms(&two) * 9));
            expect_that!(affinity.hits * two.sent, gt(3 * two.hits * affinity.sent));
            expect_that!(two.good() * 1_000, ge(two.offered() * 995));
            expect_that!(affinity.good() * 1_000, ge(affinity.offered() * 995));
        }
    )*};
}

under_lag! {
    fresh_reports: 0,
    reports_one_second_old: 1_000,
    reports_five_seconds_old: 5_000,
}
