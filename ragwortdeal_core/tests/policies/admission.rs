//! Goodput and shares of accounts under overload and around the death of an entry.

use std::ops;

use googletest::prelude::*;
use ragwortdeal_core::admission;

use crate::{model, model::setup};

/// Two large accounts want most of the capacity, eight small ones a little each.
fn callers() -> Vec<setup::Caller> {
    let names = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];
    let small = names.into_iter().map(|name| setup::Caller { name, part: 0.02 });
    let large = ["l1", "l2"].into_iter().map(|name| setup::Caller { name, part: 0.42 });
    large.chain(small).collect()
}

fn limited(offered: f64) -> setup::Setup {
    setup::Setup {
        offered,
        callers: callers(),
        admission: Some(admission::Settings::default()),
        lag_ms: 1_000,
        deadline_ms: 1_500,
        ..setup::Setup::new(21, setup::Choosing::TwoChoices)
    }
}

fn naive(offered: f64) -> setup::Setup {
    let choosing = setup::Choosing::RoundRobin;
    setup::Setup { admission: None, choosing, ..limited(offered) }
}

/// Answers within the deadline, in percent of the capacity.
fn goodput_percent(setup: &setup::Setup, outcome: &setup::Outcome) -> f64 {
    let capacity = setup.capacity_per_s() * setup.duration_ms as f64 / 1_000.0;
    outcome.good() as f64 * 100.0 / capacity
}

/// Answers of the worst-served account, in percent of its demand or of an equal share, whichever is
/// less.
fn worst_share_percent(setup: &setup::Setup, outcome: &setup::Outcome) -> f64 {
    let capacity = setup.capacity_per_s() * setup.duration_ms as f64 / 1_000.0;
    let equal = capacity / outcome.callers.len() as f64;
    let share = |tally: &setup::Tally| tally.good as f64 * 100.0 / equal.min(tally.offered as f64);
    outcome.callers.iter().map(share).fold(f64::INFINITY, f64::min)
}

fn measured(kind: &str, setup: &setup::Setup) -> (f64, f64) {
    let outcome = model::run(setup);
    let goodput = goodput_percent(setup, &outcome);
    let worst = worst_share_percent(setup, &outcome);
    println!(
        "| {kind} | {} | {goodput:.1} | {worst:.1} | {} | {} |",
        setup.offered,
        outcome.response_percentile_ms(50),
        outcome.response_percentile_ms(95)
    );
    (goodput, worst)
}

macro_rules! under_load {
    ($($case:ident: $offered:expr => goodput $goodput:expr, worst $worst:expr,)*) => {$(
        /// More calls arrive than the upstreams can answer. Without admission control every queue
        /// grows until all answers are too late, and small accounts suffer from the large ones.
        #[googletest::test]
        fn $case() {
            let (naive_goodput, naive_worst) = measured("naive", &naive($offered));
            let (goodput, worst) = measured("shares", &limited($offered));
            expect_that!(goodput, ge($goodput));
            expect_that!(worst, ge($worst));
            expect_that!(goodput, ge(naive_goodput - 1.0));
            expect_that!(worst, ge(naive_worst - 1.0));
        }
    )*};
}

under_load! {
    below_capacity: 0.8 => goodput 79.0, worst 98.0,
    a_little_above_capacity: 1.2 => goodput 90.0, worst 95.0,
    three_times_capacity: 3.0 => goodput 90.0, worst 90.0,
}

/// One of four entries dies under overload. Its calls in flight are lost and its callers move to
/// the other three. Until the shares follow, calls there may be refused although upstreams are
/// idle.
#[googletest::test]
fn shares_recover_after_an_entry_dies() {
    for (kind, setup) in [("naive", naive(1.2)), ("shares", limited(1.2))] {
        let setup = setup::Setup { faults: vec![(30_000, setup::Fault::EntryDies(3))], ..setup };
        let outcome = model::run(&setup);
        let in_second = |tally: &setup::Tally, second: usize| {
            let equal = setup.capacity_per_s() / outcome.callers.len() as f64;
            tally.good_each_s[second] as f64 * 100.0
                / equal.min(tally.offered_each_s[second] as f64).max(1.0)
        };
        let small = |second: usize| {
            let percents = outcome.callers[2..].iter().map(|tally| in_second(tally, second));
            percents.sum::<f64>() / 8.0
        };
        let all = |second: usize| {
            let good: u64 = outcome.callers.iter().map(|tally| tally.good_each_s[second]).sum();
            good as f64 * 100.0 / setup.capacity_per_s()
        };
        for second in 25..35 {
            let large = outcome.callers[..2].iter().map(|tally| tally.good_each_s[second]);
            let large: u64 = large.sum();
            println!(
                "| {kind} | {} | {:.0} | {large} | {:.0} |",
                second as i64 - 30,
                all(second),
                small(second)
            );
        }
        let equal = setup.capacity_per_s() * 10.0 / outcome.callers.len() as f64;
        let in_10_s = |tally: &setup::Tally, from: usize| {
            let good = tally.good_each_s[from..from + 10].iter().sum::<u64>();
            let asked = tally.offered_each_s[from..from + 10].iter().sum::<u64>();
            (good as f64 * 100.0 / equal.min(asked as f64)) as u64
        };
        let before: Vec<u64> = outcome.callers.iter().map(|tally| in_10_s(tally, 20)).collect();
        let after: Vec<u64> = outcome.callers.iter().map(|tally| in_10_s(tally, 30)).collect();
        println!("| {kind} | percent in 10 s | before {before:?} | after {after:?} |");
        if kind == "shares" {
            expect_that!(after.into_iter().min(), some(ge(90)));
            expect_that!((33..40).map(all).sum::<f64>() / 7.0, ge(88.0));
            expect_that!((33..40).map(small).sum::<f64>() / 7.0, ge(90.0));
        }
    }
}

/// An availability zone fails: a third of the upstreams and one entry at once, and three seconds
/// later the leases end. Callers in the other zones see errors until then, and refusals afterwards.
#[googletest::test]
fn a_zone_fails() {
    let faults = vec![
        (20_000, setup::Fault::UpstreamsFail(4)),
        (20_000, setup::Fault::EntryDies(3)),
        (23_000, setup::Fault::LeasesEnd(4)),
    ];
    let zone = |kind: &str, setup: setup::Setup| {
        let outcome = model::run(&setup::Setup { faults: faults.clone(), ..setup.clone() });
        let left = setup.capacity_per_s() * 2.0 / 3.0;
        let good = |seconds: ops::Range<usize>| {
            let length = seconds.len() as f64;
            let good = seconds.map(|second| {
                outcome.callers.iter().map(|tally| tally.good_each_s[second]).sum::<u64>()
            });
            good.sum::<u64>() as f64 * 100.0 / (left * length)
        };
        let failed: u64 = outcome.callers.iter().map(|tally| tally.failed).sum();
        let (first, rest) = (good(20..23), good(23..59));
        println!("| {kind} | {} | {first:.0} | {rest:.0} | {failed} |", setup.offered);
        (first, rest, failed)
    };
    for offered in [0.8, 1.2] {
        let retrying = setup::Retrying::Unbounded;
        let (_, naive_rest, naive_failed) =
            zone("naive", setup::Setup { retrying, ..naive(offered) });
        let retrying = setup::Retrying::Budgeted;
        let (_, rest, failed) = zone("shares", setup::Setup { retrying, ..limited(offered) });
        expect_that!(rest, ge(85.0));
        expect_that!(rest, gt(naive_rest));
        expect_that!(failed, lt(naive_failed));
    }
}
