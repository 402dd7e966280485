//! The turns in which engines change their weights.

use googletest::prelude::*;
use ragwortdeal_core::orders::turns::{self, Seat};

const SPAN_MS: f64 = 3_200.0;
/// An engine lets its answers end for 0.9 s and loads for 0.3 s.
const AWAY_MS: f64 = 1_200.0;

fn seats(count: usize) -> Vec<(String, String)> {
    let seat =
        |index: usize| (format!("10.{}.0.{index}", index % 3), format!("zone-{}", index % 3));
    (0..count).map(seat).collect()
}

fn times(seats: &[(String, String)], version: u64) -> Vec<f64> {
    let views: Vec<_> = seats.iter().map(|(instance, zone)| Seat { instance, zone }).collect();
    let share = |own: &Seat<'_>| turns::share(*own, views.iter().copied(), version) * SPAN_MS;
    views.iter().map(share).collect()
}

fn away_most(times: &[f64]) -> usize {
    let away = |at: f64| times.iter().filter(|from| **from <= at && at < **from + AWAY_MS).count();
    times.iter().map(|&at| away(at)).max().unwrap_or(0)
}

/// New weights are named while callers keep all engines busy. Were the engines of a zone, or all,
/// away together, their callers would be refused or wait for engines behind narrow links.
#[googletest::test]
fn few_engines_are_away_at_once_in_all_and_in_each_zone() {
    for count in [3, 12, 19, 68] {
        let seats = seats(count);
        let times = times(&seats, 2);
        let even = count as f64 * AWAY_MS / SPAN_MS;
        expect_that!(away_most(&times), le(even.ceil() as usize + 2), "{count} engines");
        for zone in 0..3 {
            let here = times.iter().skip(zone).step_by(3).copied().collect::<Vec<_>>();
            let even = here.len() as f64 * AWAY_MS / SPAN_MS;
            expect_that!(away_most(&here), le(even.ceil() as usize + 1), "{count} engines");
        }
    }
}

#[googletest::test]
fn all_turns_lie_within_the_span_and_change_with_the_version() {
    let seats = seats(19);
    let (second, third) = (times(&seats, 2), times(&seats, 3));
    expect_that!(second, each(all!(ge(&0.0), lt(&SPAN_MS))));
    expect_that!(second, not(eq(&third)));
}

#[googletest::test]
fn one_engine_alone_changes_at_once() {
    expect_that!(times(&seats(1), 2), elements_are![eq(&0.0)]);
}
