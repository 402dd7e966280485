//! The bound on what a cold upstream gets in any second, over many entries under full load.

use std::net;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    entry_roster::{EntryInfo, EntryRoster},
    flow_control::{
        Answer, Change, FlowControl, Signals,
        cold::{Bound, Reason},
        cold_changes::Evidence,
        share::Place,
    },
};
use rand::{RngExt as _, SeedableRng as _};

const WINDOW_MS: u64 = 1_000;
const COLD_MS: u64 = 20_000;
const VOTER: net::Ipv4Addr = net::Ipv4Addr::new(10, 0, 0, 1);
/// Longest time that a request takes from an entry to the upstream.
const DELAY_MAX_MS: u64 = 250;
/// Time between two requests of one entry's callers.
const STEP_MS: u64 = 5;
/// How long an upstream that starts again is down.
const DOWN_MS: u64 = 1_500;
/// Longest time in which a word from voters reaches an entry.
const TOLD_WITHIN_MS: u64 = 400;
const ENTRIES: [u32; 10] = [1, 2, 3, 4, 7, 13, 18, 38, 39, 120];
const RATES: [f64; 9] = [0.0, 0.05, 0.3, 1.0, 2.0, 4.0, 8.0, 20.0, 100.0];

/// What happens around the cold upstream. It is cold from the start of the play on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Its zone returns from an evacuation, of which the entries learn one after the other.
    ZoneReturns,
    /// The same, while all entries start again one after the other, three times.
    EntriesStart,
    /// The same, while two entries that are first at other upstreams know of no other entry.
    TwoCutOff,
    /// It starts again and nobody tells; entries see that connects fail.
    NobodyTells,
}

#[derive(Clone, Copy)]
struct Play {
    event: Event,
    entries: u32,
    bound: Bound,
    seed: u64,
}

fn bound(requests_per_s: f64) -> Bound {
    Bound { cold_ms: COLD_MS, requests_per_s, overrun: 1.5, slack: 5.0 }
}

fn allowed(bound: &Bound) -> usize {
    (bound.requests_per_s * bound.overrun + bound.slack) as usize
}

fn info(number: u32) -> EntryInfo {
    let address = net::Ipv4Addr::from_bits(0x0a01_0000 + number);
    EntryInfo { address, zone: format!("zone-{}", number % 3).into() }
}

fn place_among(number: u32, listed: Vec<EntryInfo>) -> Place {
    let mut roster = EntryRoster::default();
    roster.record_all(VOTER, listed, 0);
    roster.place(info(number).address, "engine-1", "zone-1")
}

fn place(play: &Play, number: u32) -> Place {
    let alone = play.event == Event::TwoCutOff && number + 2 >= play.entries;
    let listed = if alone { number..number + 1 } else { 0..play.entries };
    place_among(number, listed.map(info).collect())
}

const UNLISTED: Place = Place { rank: 0, entries: None };

/// Sends whatever an entry may send, from a time on until another one. Returns the arrivals.
fn send_all(
    control: &mut FlowControl,
    (from_ms, until_ms): (u64, u64),
    rng: &mut impl rand::Rng,
) -> Vec<u64> {
    let mut arrivals = Vec::new();
    for now_ms in (from_ms..until_ms).step_by(STEP_MS as usize) {
        if control.may_send(now_ms) {
            control.record_sent(now_ms);
            arrivals.push(now_ms + rng.random_range(1..DELAY_MAX_MS));
        }
    }
    arrivals
}

/// Arrivals from an entry that hears of the end of an evacuation.
fn after_evacuation(play: &Play, number: u32, rng: &mut impl rand::Rng) -> Vec<u64> {
    let told_ms = rng.random_range(0..TOLD_WITHIN_MS);
    let mut control = FlowControl::default();
    let place = place(play, number);
    control.record_cold(Evidence::EvacuationEnded, play.bound, place, told_ms);
    send_all(&mut control, (told_ms, COLD_MS), rng)
}

/// Arrivals from an entry that starts again and again. It is told first how long the upstream stays
/// cold, and is listed later.
fn while_entries_start(play: &Play, number: u32, rng: &mut impl rand::Rng) -> Vec<u64> {
    let mut arrivals = Vec::new();
    for round in 0..4 {
        let from_ms = round * 5_000 + u64::from(number) * 4_000 / u64::from(play.entries);
        let until_ms = from_ms + 5_000;
        let listed_ms = from_ms + rng.random_range(1..TOLD_WITHIN_MS);
        let mut control = FlowControl::default();
        let told = Evidence::Announced { remaining_ms: COLD_MS };
        control.record_cold(told, play.bound, UNLISTED, from_ms);
        arrivals.extend(send_all(&mut control, (from_ms, listed_ms), rng));
        control.set_place(place(play, number), listed_ms);
        arrivals.extend(send_all(&mut control, (listed_ms, until_ms), rng));
    }
    arrivals
}

/// Arrivals from an entry under full load at an upstream that is down and back without a word.
/// Times are those since it is back.
fn while_nobody_tells(play: &Play, number: u32, rng: &mut impl rand::Rng) -> Vec<u64> {
    let mut control = FlowControl::default();
    let place = place(play, number);
    let mut arrivals = Vec::new();
    let mut answers: Vec<(u64, u64)> = Vec::new();
    for now_ms in (0..DOWN_MS + COLD_MS).step_by(STEP_MS as usize) {
        while let Some((_, sent_at_ms)) = answers.pop_if(|(at_ms, _)| *at_ms <= now_ms) {
            let answer = Answer { signals: Signals::default(), sent_at_ms, executed: true };
            control.record_answer(&answer, place, now_ms);
        }
        if !control.may_send(now_ms) {
            continue;
        }
        control.record_sent(now_ms);
        if now_ms < DOWN_MS {
            control.record_cold(Evidence::Unreachable, play.bound, place, now_ms);
            continue;
        }
        let takes_ms = rng.random_range(1..DELAY_MAX_MS);
        arrivals.push(now_ms - DOWN_MS + takes_ms);
        answers.insert(0, (now_ms + 2 * takes_ms, now_ms));
    }
    arrivals
}

fn arrivals(play: &Play) -> Vec<u64> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(play.seed);
    let of_entry = |number| match play.event {
        Event::ZoneReturns | Event::TwoCutOff => after_evacuation(play, number, &mut rng),
        Event::EntriesStart => while_entries_start(play, number, &mut rng),
        Event::NobodyTells => while_nobody_tells(play, number, &mut rng),
    };
    let mut arrivals: Vec<_> = (0..play.entries).flat_map(of_entry).collect();
    arrivals.sort_unstable();
    arrivals
}

fn most_in_a_window(arrivals: &[u64]) -> usize {
    let windows = arrivals.iter().enumerate().map(|(first, begins_ms)| {
        arrivals[first..].iter().take_while(|at_ms| **at_ms < begins_ms + WINDOW_MS).count()
    });
    windows.max().unwrap_or(0)
}

macro_rules! bound_is_kept {
    ($($(#[$doc:meta])* $case:ident: $event:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            for entries in ENTRIES {
                for (seed, per_s) in (0..).zip(RATES) {
                    let bound = bound(per_s);
                    let play = Play { event: $event, entries, bound, seed };
                    let most = most_in_a_window(&arrivals(&play));
                    expect_that!(most, le(allowed(&bound)), "{entries} entries at {per_s}");
                }
            }
        }
    )*};
}

bound_is_kept! {
    /// Guards against a zone whose upstreams end by the load that waits for them.
    a_zone_that_returns_cold_under_full_load_is_spared: Event::ZoneReturns;
    /// Guards against processes that start and know neither their rank nor who has just sent.
    entries_that_start_in_series_keep_the_bound: Event::EntriesStart;
    /// Guards against entries that take more than their share because they know no other.
    entries_that_know_no_other_keep_the_bound: Event::TwoCutOff;
    /// Guards against full load on an upstream whose start nobody told.
    a_start_that_nobody_tells_is_seen_by_failed_connects: Event::NobodyTells;
}

/// Guards against arithmetic that holds for the usual settings only.
#[googletest::test]
fn other_settings_are_kept() {
    for (overrun, slack) in [(1.0, 3.0), (1.0, 5.0), (1.2, 4.0), (2.0, 0.0), (0.0, 2.0), (3.0, 9.0)]
    {
        for (seed, per_s) in (0..).zip(RATES) {
            let bound = Bound { overrun, slack, ..bound(per_s) };
            for event in [Event::TwoCutOff, Event::EntriesStart] {
                let most = most_in_a_window(&arrivals(&Play { event, entries: 39, bound, seed }));
                expect_that!(most, le(allowed(&bound)), "{overrun} {slack} at {per_s}, {event:?}");
            }
        }
    }
}

/// Guards against a bound that is kept by sending next to nothing.
#[googletest::test]
fn a_cold_upstream_gets_half_of_its_rate_or_more() {
    for entries in [4, 13, 39, 120] {
        for per_s in [1.0, 2.0, 4.0, 8.0] {
            let bound = bound(per_s);
            let play = Play { event: Event::ZoneReturns, entries, bound, seed: 1 };
            let count = arrivals(&play).len() as f64;
            let offered = per_s * COLD_MS as f64 / 1_000.0;
            expect_that!(count / offered, ge(0.5), "{entries} entries at {per_s}");
        }
    }
}

const ALONE: Place = Place { rank: 0, entries: Some(1) };
/// An entry without a share of a rate of 4.
const LAST: Place = Place { rank: 38, entries: Some(39) };

macro_rules! cold_by_evidence {
    ($($(#[$doc:meta])* $case:ident: $evidence:expr, $at_ms:expr => $cold:expr, $change:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let mut control = FlowControl::default();
            let mut change = None;
            for (told_ms, evidence) in $evidence {
                change = control.record_cold(evidence, bound(4.0), LAST, told_ms);
            }
            expect_that!(change, eq($change));
            expect_that!(control.is_cold($at_ms), eq($cold));
            expect_that!(control.may_send($at_ms), eq(!$cold));
        }
    )*};
}

fn begins(remaining_ms: u64, reason: Reason) -> Option<Change> {
    Some(Change::ColdBegan { remaining_ms, reason })
}

fn ends(reason: Reason) -> Option<Change> {
    Some(Change::ColdEnded { reason })
}

fn announced(remaining_ms: u64) -> Evidence {
    Evidence::Announced { remaining_ms }
}

cold_by_evidence! {
    /// Guards against a limit on an upstream that everybody knows to be warm.
    an_upstream_that_announces_to_be_warm_is_warm: [(0, announced(0))], 0 => false, None;
    an_announced_time_counts_from_its_receipt:
        [(100, announced(3_000))], 3_099 => true, begins(3_000, Reason::Announced);
    an_announced_time_ends:
        [(100, announced(3_000))], 3_100 => false, begins(3_000, Reason::Announced);
    a_start_counts_for_the_whole_time:
        [(0, Evidence::Started)], COLD_MS - 1 => true, begins(COLD_MS, Reason::Started);
    a_later_announcement_ends_what_was_assumed:
        [(0, Evidence::EvacuationEnded), (900, announced(0))], 900
        => false, ends(Reason::EvacuationEnded);
    /// Guards against a later, shorter assumption in place of a longer announced time.
    an_assumption_does_not_shorten_an_announced_time:
        [(0, announced(90_000)), (1, Evidence::EvacuationEnded)], 89_999 => true, None;
    /// Guards against an upstream that is down for longer than it is cold, and back untold.
    an_upstream_that_stays_unreachable_stays_cold:
        [(0, Evidence::Unreachable)], COLD_MS + 1 => true, begins(COLD_MS, Reason::Unreachable);
    the_time_counts_from_when_it_is_back:
        [(0, Evidence::Unreachable), (9_000, Evidence::Reached { sent_at_ms: 8_900 })],
        9_000 + COLD_MS - 1 => true, None;
    an_upstream_that_is_back_is_warm_in_the_end:
        [(0, Evidence::Unreachable), (9_000, Evidence::Reached { sent_at_ms: 8_900 })],
        9_000 + COLD_MS => false, None;
    /// Guards against an answer that was under way when the upstream was lost.
    an_earlier_answer_does_not_show_that_it_is_back:
        [(500, Evidence::Unreachable), (600, Evidence::Reached { sent_at_ms: 400 })],
        600 + COLD_MS => true, None;
}

/// Guards against an entry that takes a share before it knows its rank, of either kind of rate.
#[googletest::test]
fn an_entry_that_is_not_listed_holds_no_share() {
    let mut cold = FlowControl::default();
    cold.record_cold(announced(COLD_MS), bound(4.0), UNLISTED, 0);
    let mut named = FlowControl::default();
    named.record_rate_of_others(4.0, UNLISTED, 0);
    for mut control in [cold, named] {
        expect_that!(control.may_send(7_999), eq(false));
        control.set_place(ALONE, 7_999);
        expect_that!(control.may_send(8_400), eq(false));
        expect_that!(control.may_send(9_999), eq(true));
    }
}

/// Guards against callers who are told to come back only when the upstream is warm.
#[googletest::test]
fn a_refused_request_gets_the_time_until_work_is_taken() {
    let mut control = FlowControl::default();
    control.record_cold(announced(COLD_MS), bound(4.0), LAST, 0);
    expect_that!(control.takes_work_in_ms(0), le(1_000));
    expect_that!(control.takes_work_in_ms(COLD_MS - 10), le(10));
}
