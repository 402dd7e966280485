//! The forecast of the first event, and where it sends requests under load.

mod figures;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    choice::{self, Candidate, Prompt},
    forecast::{self, ExcessDelay, ForecastError, LatencyModel, Urgency},
    gate::{Gate, Work},
    peer_load::{PeerLoad, RequestCounts},
};
use rand::{RngExt as _, SeedableRng as _};

const AIM_MS: f64 = 400.0;

fn pace() -> LatencyModel {
    LatencyModel::new(&figures::engine())
}

fn idle() -> Candidate {
    Candidate { slots: 16, same_zone: true, ..Candidate::default() }
}

fn prompt() -> Prompt {
    Prompt {
        prefill_ms: pace().mean_prefill_ms(),
        first_event_max_ms: AIM_MS,
        pause_max_ms: f64::INFINITY,
        needs_slot: false,
    }
}

#[googletest::test]
fn unread_prompts_and_taken_slots_put_the_first_event_off() {
    let first_ms = |candidate: Candidate| pace().first_event_ms(&candidate, prompt().prefill_ms);
    let alone = first_ms(idle());
    let reading = first_ms(Candidate { open: 4, prefill_ms: 100.0, ..idle() });
    let full = first_ms(Candidate { open: 18, ..idle() });
    expect_that!(alone, all!(gt(40.0), lt(80.0)));
    expect_that!(reading, all!(gt(alone + 100.0), lt(300.0)));
    expect_that!(full, all!(gt(reading), lt(AIM_MS)));
    expect_that!(first_ms(Candidate { open: 22, ..idle() }), gt(AIM_MS));
}

/// All engines of a deployment are asked for more than they can do. RequestCounts that are sent all the
/// same come late, each of them, and take the time of those that could be in time.
#[googletest::test]
fn a_request_that_cannot_be_in_time_is_sent_nowhere() {
    let full = Candidate { open: 22, ..idle() };
    expect_that!(choice::fastest_engine(&[full, full], &pace(), &prompt(), 1), none());
    let late = Prompt { first_event_max_ms: 3.0 * AIM_MS, ..prompt() };
    expect_that!(choice::fastest_engine(&[full, full], &pace(), &late, 1), some(anything()));
}

#[googletest::test]
fn a_far_engine_is_taken_where_near_ones_would_keep_a_caller_waiting() {
    let far = Candidate { same_zone: false, ..idle() };
    let busy = Candidate { open: 6, ..idle() };
    expect_that!(choice::fastest_engine(&[far, busy], &pace(), &prompt(), 0), some(eq(1)));
    let busier = Candidate { open: 15, prefill_ms: 90.0, ..idle() };
    expect_that!(choice::fastest_engine(&[far, busier], &pace(), &prompt(), 0), some(eq(0)));
}

/// An engine works slowly, or its way is narrow, and nothing else tells so. RequestCounts go to the others,
/// and come back once it may be well again.
#[googletest::test]
fn an_engine_that_answers_later_than_forecast_is_passed_over_for_a_while() {
    let mut excess = ExcessDelay::default();
    (0..10).for_each(|answer| excess.record(100.0, 900.0, answer * 50));
    let slow = Candidate { excess_delay_ms: excess.current_ms(500), ..idle() };
    let busy = Candidate { open: 12, ..idle() };
    expect_that!(choice::fastest_engine(&[slow, busy], &pace(), &prompt(), 0), some(eq(1)));
    let later = Candidate { excess_delay_ms: excess.current_ms(12_000), ..idle() };
    expect_that!(choice::fastest_engine(&[later, busy], &pace(), &prompt(), 0), some(eq(0)));
}

/// Two engines stand idle, and one was asked before and answered sooner than forecast. Were that
/// counted, the other would never be asked, and its callers' load would all lie on the first.
#[googletest::test]
fn an_engine_that_was_never_asked_looks_no_slower_than_one_that_was() {
    let mut excess = ExcessDelay::default();
    (0..10).for_each(|answer| excess.record(100.0, 5.0, answer * 50));
    expect_that!(excess.current_ms(500), eq(0.0));
    let known = Candidate { excess_delay_ms: excess.current_ms(500), ..idle() };
    let taken = |draw| choice::fastest_engine(&[known, idle()], &pace(), &prompt(), draw);
    expect_that!([taken(0), taken(1)], elements_are![some(eq(0)), some(eq(1))]);
}

/// Weights were changed, and one engine is back while others load. Each of six entries sees it idle.
/// If each filled it alone, callers would wait for six times as long.
#[googletest::test]
fn entries_that_cannot_hear_each_other_share_an_engine() {
    let sent = |alike: f64| {
        let word = PeerLoad::default();
        let mut own = 0;
        loop {
            let open = RequestCounts { open: f64::from(own), unstarted: 0.0 };
            let elsewhere = word.estimate(open, alike, 100).open;
            let candidate = Candidate { open: own, peer_open: elsewhere, ..idle() };
            if choice::fastest_engine(&[candidate], &pace(), &prompt(), 0).is_none() {
                return own;
            }
            own += 1;
        }
    };
    expect_that!(sent(0.0), all!(ge(17), le(22)));
    expect_that!(6 * sent(5.0), le(24));
}

#[googletest::test]
fn the_fresh_word_of_an_upstream_goes_before_the_guess() {
    let mut word = PeerLoad::default();
    let own = RequestCounts { open: 2.0, unstarted: 1.0 };
    word.record_report(RequestCounts { open: 12.0, unstarted: 3.0 }, own, 1_000);
    expect_that!(word.estimate(own, 5.0, 1_000), eq(RequestCounts { open: 10.0, unstarted: 2.0 }));
    let old = word.estimate(own, 5.0, 3_500);
    expect_that!(old, eq(RequestCounts { open: 10.0, unstarted: 5.0 }));
    expect_that!(word.estimate(own, 0.0, 2_500).open, eq(10.0));
}

/// Engines are asked for a quarter more than they can do, for a minute. The worth of an answer falls
/// to a quarter where its first event is late. The rule is compared with the one that fills each
/// engine up to a number of requests.
#[googletest::test]
fn refusing_what_would_be_late_keeps_most_answers_in_time() {
    let (forecast, forecast_refused) = overload(true);
    let (naive, naive_refused) = overload(false);
    expect_that!(forecast, gt(naive * 1.3), "worth {forecast:.2} and {naive:.2}");
    expect_that!(forecast, gt(0.7));
    expect_that!(forecast_refused, lt(0.3));
    expect_that!(naive_refused, lt(forecast_refused));
}

/// Plays an overload on a small model of the engines: prompts are read one after the other, and a
/// request holds a slot from its first event to its last. Returns the worth of all requests as a
/// share of the whole, and the share that was refused.
fn overload(forecasts: bool) -> (f64, f64) {
    const ENGINES: usize = 8;
    const REQUESTS: usize = 6_000;
    /// Milliseconds of an engine's time for a usual request, prompt and answer.
    const SERVICE_MS: f64 = 85.0;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(11);
    let mut backlog: Vec<Vec<f64>> = vec![Vec::new(); ENGINES];
    let (mut now_ms, mut worth, mut refused) = (0.0, 0.0, 0.0);
    let between_ms = SERVICE_MS / ENGINES as f64 / 1.25;
    for _ in 0..REQUESTS {
        now_ms += -between_ms * (1.0 - random.random::<f64>()).ln();
        let engines: Vec<Candidate> = backlog
            .iter_mut()
            .map(|ends| {
                ends.retain(|end| *end > now_ms);
                Candidate { open: ends.len() as u32, ..idle() }
            })
            .collect();
        let chosen = match forecasts {
            true => choice::fastest_engine(&engines, &pace(), &prompt(), random.random()),
            // A number of waiting requests as deep as the engines' own queue.
            false => (0..ENGINES)
                .filter(|&engine| engines[engine].open < 16 + 8)
                .min_by_key(|&engine| engines[engine].open),
        };
        let Some(chosen) = chosen else {
            refused += 1.0;
            continue;
        };
        // The engine ends one request each service time; beyond its slots a request waits for it.
        let ahead = f64::from(engines[chosen].open);
        let last_ms = backlog[chosen].last().copied().unwrap_or(now_ms).max(now_ms);
        let waits_ms = (ahead + 1.0 - 16.0).max(0.0) * SERVICE_MS;
        let first_ms = 0.5 * 42.0 + 42.0 + pace().mean_prefill_ms() + waits_ms;
        worth += if first_ms <= AIM_MS { 1.0 } else { 0.25 };
        let shortest_ms = now_ms + 16.0 * SERVICE_MS;
        backlog[chosen].push((last_ms + SERVICE_MS).max(shortest_ms));
    }
    (worth / REQUESTS as f64, refused / REQUESTS as f64)
}

/// A prompt is so long, or the operator's aim so short, that even an idle engine gives its first
/// event late. Were the aim the bound, such callers would never be served.
#[googletest::test]
fn a_request_that_is_late_at_an_idle_engine_is_served_all_the_same() {
    for (aim_ms, reading_ms) in [(400, 800.0), (50, 32.0), (1, 0.0)] {
        let urgency = pace().urgency(aim_ms, reading_ms);
        expect_that!(urgency, eq(Urgency::Late));
        let work = Work {
            latency_model: pace(),
            objective_ms: aim_ms,
            gap_objective_ms: 300,
            prefill_ms: reading_ms,
            urgency,
        };
        let chosen = Gate::default().choose(&[idle()], &work, 0, 0);
        expect_that!(chosen.map(|chosen| chosen.engine), eq(Ok(0)));
    }
}

/// Guards against forecasts that use the whole aim, so that every second one is late, and against a
/// bound below what an idle engine takes.
#[googletest::test]
fn the_wait_of_a_request_in_time_stays_within_the_aim() {
    let max_ms = |aim_ms, reading_ms, urgency| {
        pace().first_event_max_ms(aim_ms, reading_ms, urgency, ForecastError::default().mean_ms())
    };
    for reading_ms in [0.0, 32.0, 150.0] {
        let idle_ms = pace().first_event_ms(&idle(), reading_ms);
        let in_time_ms = max_ms(400, reading_ms, Urgency::InTime);
        expect_that!(in_time_ms, all!(gt(idle_ms), lt(AIM_MS)));
        expect_that!(max_ms(400, reading_ms, Urgency::Late), gt(1_200.0));
    }
    expect_that!(max_ms(0, 32.0, Urgency::InTime), eq(f64::INFINITY));
}

/// Guards against an entry among many that sends what it forecasts to be just in time, though its
/// forecasts are far off: most of it is late.
#[googletest::test]
fn the_further_forecasts_are_off_the_sooner_a_request_is_turned_away() {
    let mut error = ForecastError::default();
    let max_ms = |error: &ForecastError| {
        pace().first_event_max_ms(400, 32.0, Urgency::InTime, error.mean_ms())
    };
    let assumed_ms = max_ms(&error);
    (0..200).for_each(|_| error.record(200.0, 210.0));
    expect_that!(max_ms(&error), gt(assumed_ms));
    (0..200).for_each(|answer| error.record(200.0, if answer % 2 == 0 { 20.0 } else { 380.0 }));
    let idle_ms = pace().first_event_ms(&idle(), 32.0);
    expect_that!(max_ms(&error), all!(lt(assumed_ms), gt(idle_ms)));
}

/// Guards against forecasts that count the prompts of those that wait twice, once as prompts and
/// once as time of their slots: requests that could be in time were turned away.
#[googletest::test]
fn prompts_that_wait_for_a_slot_are_not_counted_beside_its_time() {
    let full = Candidate { open: 20, ..idle() };
    let unread = Candidate { prefill_ms: 100.0, ..full };
    let first_ms = |engine| pace().first_event_ms(&engine, 32.0);
    expect_that!(first_ms(unread), eq(first_ms(full)));
}

#[googletest::test]
fn reading_takes_tokens_and_pairs() {
    let reading = |tokens| forecast::prefill_ms(&figures::engine(), tokens);
    expect_that!(reading(0.0), eq(0.0));
    expect_that!(reading(1_290.0), all!(gt(42.0), lt(43.0)));
}
