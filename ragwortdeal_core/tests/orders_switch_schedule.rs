//! The schedule by which engines switch to new weights.

use googletest::prelude::*;
use ragwortdeal_core::orders::switch_schedule::{self, Engine, VersionTimes};

const SPAN_MS: f64 = 3_200.0;
/// A switching engine drains its answers for 0.9 s and loads for 0.3 s.
const UNAVAILABLE_MS: f64 = 1_200.0;

fn engines(count: usize) -> Vec<(String, String)> {
    let engine =
        |index: usize| (format!("10.{}.0.{index}", index % 3), format!("zone-{}", index % 3));
    (0..count).map(engine).collect()
}

fn times(engines: &[(String, String)], version: u64) -> Vec<f64> {
    let switching: Vec<_> =
        engines.iter().map(|(instance, zone)| Engine { instance, zone }).collect();
    let position = |own: &Engine<'_>| {
        switch_schedule::position(*own, switching.iter().copied(), version) * SPAN_MS
    };
    switching.iter().map(position).collect()
}

fn max_unavailable(times: &[f64]) -> usize {
    let unavailable =
        |at: f64| times.iter().filter(|from| **from <= at && at < **from + UNAVAILABLE_MS).count();
    times.iter().map(|&at| unavailable(at)).max().unwrap_or(0)
}

/// New weights are named while callers keep all engines busy. If all engines, or all of a zone,
/// were unavailable together, callers would be refused or wait for engines behind narrow links.
#[googletest::test]
fn few_engines_are_unavailable_at_once_in_total_and_per_zone() {
    for count in [3, 12, 19, 68] {
        let engines = engines(count);
        let times = times(&engines, 2);
        let even = count as f64 * UNAVAILABLE_MS / SPAN_MS;
        expect_that!(max_unavailable(&times), le(even.ceil() as usize + 2), "{count} engines");
        for zone in 0..3 {
            let in_zone = times.iter().skip(zone).step_by(3).copied().collect::<Vec<_>>();
            let even = in_zone.len() as f64 * UNAVAILABLE_MS / SPAN_MS;
            expect_that!(
                max_unavailable(&in_zone),
                le(even.ceil() as usize + 1),
                "{count} engines"
            );
        }
    }
}

#[googletest::test]
fn all_switches_lie_within_the_span_and_differ_by_version() {
    let engines = engines(19);
    let (second, third) = (times(&engines, 2), times(&engines, 3));
    expect_that!(second, each(all!(ge(&0.0), lt(&SPAN_MS))));
    expect_that!(second, not(eq(&third)));
}

#[googletest::test]
fn a_single_engine_switches_at_once() {
    expect_that!(times(&engines(1), 2), elements_are![eq(&0.0)]);
}

/// Weights are superseded before all engines have them. If engines waited for the newest weights,
/// all would switch within one second, and callers would find no engine.
#[googletest::test]
fn few_engines_are_unavailable_at_once_if_weights_are_superseded_before_the_switch() {
    let engines = engines(15);
    let switching: Vec<_> =
        engines.iter().map(|(instance, zone)| Engine { instance, zone }).collect();
    // Version 1 is superseded by 2 at zero, and later by 3, whose chunks do not arrive.
    let times_of_version =
        VersionTimes { named_ms: Some(0), superseded_ms: Some(0), complete_ms: None };
    let switch_ms = |own: &Engine<'_>| {
        let position = switch_schedule::position(*own, switching.iter().copied(), 2);
        let first = (0..8_000).find(|now_ms| times_of_version.is_due(position, 8_000, *now_ms));
        first.map_or(f64::INFINITY, |at_ms| at_ms as f64)
    };
    let times: Vec<_> = switching.iter().map(switch_ms).collect();
    expect_that!(max_unavailable(&times), le(8));
    // The last engine is available again before the bound.
    let last_ms = times.iter().copied().fold(0.0, f64::max);
    expect_that!(last_ms, le(8_000.0 - UNAVAILABLE_MS));
}

/// Weights come later than the span of turns begins. If the turns that had passed were made up for at
/// once, a third of all engines would be unavailable at the same time.
#[googletest::test]
fn few_engines_are_unavailable_at_once_if_weights_come_late() {
    const BOUND_MS: u64 = 10_000;
    let engines = engines(99);
    let switching: Vec<_> =
        engines.iter().map(|(instance, zone)| Engine { instance, zone }).collect();
    let times_of_version =
        VersionTimes { named_ms: Some(0), superseded_ms: Some(0), complete_ms: Some(5_000) };
    let switch_ms = |own: &Engine<'_>| {
        let position = switch_schedule::position(*own, switching.iter().copied(), 2);
        let first = (5_000..10_000).find(|at| times_of_version.is_due(position, BOUND_MS, *at));
        first.map_or(f64::INFINITY, |at_ms| at_ms as f64)
    };
    let times: Vec<_> = switching.iter().map(switch_ms).collect();
    let span_ms = 10_000.0 - 1_400.0 - 5_000.0;
    let even = 99.0 * UNAVAILABLE_MS / span_ms;
    expect_that!(max_unavailable(&times), le(even.ceil() as usize + 3));
    expect_that!(times, each(le(&8_600.0)));
}

#[googletest::test]
fn an_engine_with_long_superseded_weights_switches_at_once() {
    let times_of_version =
        VersionTimes { named_ms: Some(5_000), superseded_ms: Some(0), complete_ms: None };
    expect_that!(times_of_version.is_due(1.0, 8_000, 5_500), eq(false));
    expect_that!(times_of_version.is_due(1.0, 8_000, 6_600), eq(true));
    expect_that!(VersionTimes::default().is_due(1.0, 8_000, 0), eq(true));
}

/// Guards against an engine without newer weights that serves late requests on old ones.
#[googletest::test]
fn an_engine_is_withdrawn_before_the_bound_and_sooner_behind_a_narrow_link() {
    let times_of_version = VersionTimes { superseded_ms: Some(1_000), ..VersionTimes::default() };
    let at = |narrow, now_ms| times_of_version.must_withdraw(narrow, 8_000, now_ms);
    expect_that!((at(false, 8_199), at(false, 8_200)), eq((false, true)));
    expect_that!((at(true, 6_499), at(true, 6_500)), eq((false, true)));
    expect_that!(VersionTimes::default().must_withdraw(true, 8_000, 1_000_000), eq(false));
}

/// Guards against engines that are away for longer than they then serve, and against giving up
/// weights that nothing newer replaces.
#[googletest::test]
fn superseded_weights_are_loaded_only_if_they_serve_longer_than_the_engine_is_away() {
    const BOUND_MS: u64 = 8_000;
    let since = VersionTimes { superseded_ms: Some(0), ..Default::default() };
    let end_ms = (BOUND_MS - switch_schedule::WITHDRAW_MARGIN_MS) as f64;
    let last_ms = (end_ms - 2.0 * UNAVAILABLE_MS) as i64;
    let worth = |serves, at_ms| since.is_worth_loading(serves, false, BOUND_MS, at_ms);
    expect_that!((worth(true, last_ms - 1), worth(true, last_ms)), eq((true, false)));
    // An engine that serves nothing has nothing to lose.
    expect_that!((worth(false, last_ms), worth(false, end_ms as i64)), eq((true, false)));
    let newest = VersionTimes::default();
    expect_that!(newest.is_worth_loading(true, false, BOUND_MS, i64::MAX / 2), eq(true));
}
