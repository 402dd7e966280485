//! The bound on what an upstream gets that names a rate, over many entries with a backlog each.

use std::net;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    entry_roster::{EntryInfo, EntryRoster},
    flow_control::{rate_limit::RateLimit, share::Place},
};
use rand::{RngExt as _, SeedableRng as _};

const WINDOW_MS: u64 = 4_000;
const VOTER: net::Ipv4Addr = net::Ipv4Addr::new(10, 0, 0, 1);
/// Longest time that a request takes from an entry to the upstream.
const DELAY_MAX_MS: u64 = 300;
/// Time after the first answer that names the rate, from which on requests count.
const SETTLED_MS: u64 = 3_000;
const LASTS_MS: u64 = 60_000;

/// Requests that may come in a window at this rate.
fn allowed(per_s: f64) -> usize {
    (per_s * 1.5 * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

fn most_in_a_window(arrivals: &mut [u64]) -> usize {
    arrivals.sort_unstable();
    let windows = arrivals.iter().enumerate().map(|(first, begins_ms)| {
        arrivals[first..].iter().take_while(|at_ms| **at_ms < begins_ms + WINDOW_MS).count()
    });
    windows.max().unwrap_or(0)
}

/// How the entries see each other.
#[derive(Clone, Copy, PartialEq)]
enum View {
    /// All know all.
    Same,
    /// One of them does not know that there are others.
    OneAlone,
    /// One of them has just started and is not listed yet.
    OneUnlisted,
}

struct Play {
    entries: u32,
    /// The rate, and the time from which on it holds.
    rates: Vec<(u64, f64)>,
    view: View,
    seed: u64,
}

fn info(number: u32) -> EntryInfo {
    let address = net::Ipv4Addr::from_bits(0x0a01_0000 + number);
    EntryInfo { address, zone: format!("zone-{}", number % 3).into() }
}

fn place(play: &Play, number: u32) -> Place {
    let mut roster = EntryRoster::default();
    let listed = match play.view {
        View::OneAlone if number == 0 => vec![info(0)],
        View::OneUnlisted if number == 0 => Vec::new(),
        _ => (0..play.entries).map(info).collect(),
    };
    roster.record_all(VOTER, listed, 0);
    roster.place(info(number).address, "engine-1", "zone-1")
}

/// Times at which requests arrive from entries that send whatever they may.
fn arrivals(play: &Play) -> Vec<u64> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(play.seed);
    let mut arrivals = Vec::new();
    for number in 0..play.entries {
        let told_ms = rng.random_range(0..2_000);
        let mut limit = RateLimit::new(play.rates[0].1, place(play, number), told_ms);
        for now_ms in (told_ms..LASTS_MS).step_by(5) {
            let mut known = play.rates.iter().filter(|(from_ms, _)| from_ms + 200 <= now_ms);
            if let Some((_, per_s)) = known.next_back() {
                limit.record_named(*per_s, now_ms);
            }
            if limit.next_send_ms() <= now_ms {
                limit.record_sent(now_ms);
                arrivals.push(now_ms + rng.random_range(1..DELAY_MAX_MS));
            }
        }
    }
    arrivals
}

macro_rules! rate_is_kept {
    ($($(#[$doc:meta])* $case:ident: $view:expr, $entries:expr, $rates:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            for entries in $entries {
                for (number, per_s) in $rates.into_iter().enumerate() {
                    let rates = vec![(0, per_s)];
                    let play = Play { entries, rates, view: $view, seed: number as u64 };
                    let mut arrivals = arrivals(&play);
                    arrivals.retain(|at_ms| *at_ms >= SETTLED_MS);
                    let most = most_in_a_window(&mut arrivals);
                    expect_that!(most, le(allowed(per_s)), "{entries} entries at {per_s}");
                }
            }
        }
    )*};
}

const RATES: [f64; 10] = [0.0, 0.1, 0.3, 0.5, 1.0, 2.0, 2.8, 5.0, 10.0, 40.0];

rate_is_kept! {
    /// Guards against shares that add up to more than the rate.
    all_entries_together_keep_to_a_rate: View::Same, [1, 2, 3, 4, 7, 13, 18, 39, 120], RATES;
    /// Guards against an entry that takes more than its share because it knows no other.
    an_entry_that_knows_no_other_keeps_the_bound: View::OneAlone, [2, 4, 13, 39], RATES;
    /// Guards against an entry that has just started and takes the whole rate.
    an_entry_that_is_not_listed_yet_keeps_the_bound: View::OneUnlisted, [2, 4, 13, 39], RATES;
}

/// Guards against an upstream that names a lower rate and gets requests at the higher one.
#[googletest::test]
fn a_rate_that_falls_holds_from_the_next_window_on() {
    for entries in [1, 4, 13, 39] {
        let rates = vec![(0, 20.0), (20_000, 1.0)];
        let mut arrivals = arrivals(&Play { entries, rates, view: View::Same, seed: 1 });
        arrivals.retain(|at_ms| *at_ms >= 20_000 + 200 + DELAY_MAX_MS);
        expect_that!(most_in_a_window(&mut arrivals), le(allowed(1.0)), "{entries} entries");
    }
}

/// Guards against a rate that is so divided that the upstream gets next to nothing.
#[googletest::test]
fn most_of_a_rate_is_used() {
    // One entry alone leaves two thirds of a rate to others that may have just started.
    for (entries, least) in [(1, 0.3), (4, 0.9), (13, 0.9), (39, 0.9)] {
        for per_s in [1.0, 2.8, 10.0] {
            let rates = vec![(0, per_s)];
            let count = arrivals(&Play { entries, rates, view: View::Same, seed: 1 }).len();
            let offered = per_s * LASTS_MS as f64 / 1_000.0;
            expect_that!(count as f64 / offered, ge(least), "{entries} entries at {per_s}");
        }
    }
}

/// Guards against entries that never learn that a rate has ended: each of them sends a trial.
#[googletest::test]
fn every_entry_sends_a_trial_now_and_then() {
    let entries = 6;
    for number in 0..entries {
        let play = Play { entries, rates: Vec::new(), view: View::Same, seed: 0 };
        let limit = RateLimit::new(1.0, place(&play, number), 0);
        expect_that!(limit.next_send_ms(), le(LASTS_MS));
    }
}
