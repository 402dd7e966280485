//! The turns in which engines change their weights.

use googletest::prelude::*;
use ragwortdeal_core::orders::switch_schedule::{self, Engine, VersionTimes};

const SPAN_MS: f64 = 3_200.0;
/// An engine lets its answers end for 0.9 s and loads for 0.3 s.
const AWAY_MS: f64 = 1_200.0;

fn seats(count: usize) -> Vec<(String, String)> {
    let seat =
        |index: usize| (format!("10.{}.0.{index}", index % 3), format!("zone-{}", index % 3));
    (0..count).map(seat).collect()
}

fn times(seats: &[(String, String)], version: u64) -> Vec<f64> {
    let views: Vec<_> = seats.iter().map(|(instance, zone)| Engine { instance, zone }).collect();
    let share = |own: &Engine<'_>| {
        switch_schedule::position(*own, views.iter().copied(), version) * SPAN_MS
    };
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

/// Guards against weights that are superseded before all engines have them: engines that waited for
/// the newest all changed within one second, and callers found nobody.
#[googletest::test]
fn few_engines_are_away_at_once_where_weights_are_superseded_before_they_change() {
    let seats = seats(15);
    let views: Vec<_> = seats.iter().map(|(instance, zone)| Engine { instance, zone }).collect();
    // Version 1 is superseded by 2 at zero and by 3 later, whose chunks do not come.
    let since = VersionTimes { named_ms: Some(0), superseded_ms: Some(0) };
    let changes = |own: &Engine<'_>| {
        let share = switch_schedule::position(*own, views.iter().copied(), 2);
        let first = (0..8_000).find(|now_ms| since.is_due(share, 8_000, *now_ms));
        first.map_or(f64::INFINITY, |at_ms| at_ms as f64)
    };
    let times: Vec<_> = views.iter().map(changes).collect();
    expect_that!(away_most(&times), le(8));
    // The last one is back before the bound.
    let last_ms = times.iter().copied().fold(0.0, f64::max);
    expect_that!(last_ms, le(8_000.0 - AWAY_MS));
}

#[googletest::test]
fn an_engine_whose_weights_were_superseded_long_ago_changes_at_once() {
    let since = VersionTimes { named_ms: Some(5_000), superseded_ms: Some(0) };
    expect_that!(since.is_due(1.0, 8_000, 5_500), eq(false));
    expect_that!(since.is_due(1.0, 8_000, 6_600), eq(true));
    expect_that!(VersionTimes::default().is_due(1.0, 8_000, 0), eq(true));
}

/// An engine that gets no newer weights serves on, and requests that arrive late begin on old ones.
#[googletest::test]
fn an_engine_is_withdrawn_before_the_bound_and_sooner_behind_a_narrow_link() {
    let since = VersionTimes { named_ms: None, superseded_ms: Some(1_000) };
    let at = |narrow, now_ms| since.must_withdraw(narrow, 8_000, now_ms);
    expect_that!((at(false, 8_199), at(false, 8_200)), eq((false, true)));
    expect_that!((at(true, 6_499), at(true, 6_500)), eq((false, true)));
    expect_that!(VersionTimes::default().must_withdraw(true, 8_000, 1_000_000), eq(false));
}
