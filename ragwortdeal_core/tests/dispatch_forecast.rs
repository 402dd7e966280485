//! Forecasts of the first event, and the selection based on them under load.

mod figures;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    choice::{self, Candidate, Prompt},
    forecast::{self, ExcessDelay, ForecastError, LatencyModel, Urgency},
    gate::{Gate, Work},
    peer_load::{PeerLoad, RequestCounts},
};
use rand::{RngExt as _, SeedableRng as _};

const OBJECTIVE_MS: f64 = 400.0;

fn latency_model() -> LatencyModel {
    LatencyModel::new(&figures::engine())
}

fn idle() -> Candidate {
    Candidate { slots: 16, same_zone: true, ..Candidate::default() }
}

fn prompt() -> Prompt {
    Prompt {
        prefill_ms: latency_model().mean_prefill_ms(),
        first_event_max_ms: OBJECTIVE_MS,
        pause_max_ms: f64::INFINITY,
        start_margin_ms: 0.0,
        needs_slot: false,
    }
}

#[googletest::test]
fn pending_prefill_and_busy_slots_delay_the_first_event() {
    let first_ms =
        |candidate: Candidate| latency_model().first_event_ms(&candidate, prompt().prefill_ms);
    let alone = first_ms(idle());
    let prefill = first_ms(Candidate { open: 4, prefill_ms: 100.0, ..idle() });
    let full = first_ms(Candidate { open: 18, ..idle() });
    expect_that!(alone, all!(gt(40.0), lt(80.0)));
    expect_that!(prefill, all!(gt(alone + 100.0), lt(300.0)));
    expect_that!(full, all!(gt(prefill), lt(OBJECTIVE_MS)));
    expect_that!(first_ms(Candidate { open: 22, ..idle() }), gt(OBJECTIVE_MS));
}

/// All engines are overloaded. Requests that are sent anyway are all late, and take engine time
/// from those that could be in time.
#[googletest::test]
fn a_request_that_cannot_be_in_time_is_not_sent() {
    let full = Candidate { open: 22, ..idle() };
    expect_that!(choice::fastest_engine(&[full, full], &latency_model(), &prompt(), 1), none());
    let late = Prompt { first_event_max_ms: 3.0 * OBJECTIVE_MS, ..prompt() };
    expect_that!(
        choice::fastest_engine(&[full, full], &latency_model(), &late, 1),
        some(anything())
    );
}

#[googletest::test]
fn an_engine_in_another_zone_is_selected_when_those_nearby_are_slower() {
    let other_zone = Candidate { same_zone: false, ..idle() };
    let busy = Candidate { open: 6, ..idle() };
    expect_that!(
        choice::fastest_engine(&[other_zone, busy], &latency_model(), &prompt(), 0),
        some(eq(1))
    );
    let busier = Candidate { open: 15, prefill_ms: 90.0, ..idle() };
    expect_that!(
        choice::fastest_engine(&[other_zone, busier], &latency_model(), &prompt(), 0),
        some(eq(0))
    );
}

/// An engine or the path to it is slow, and only its late answers show it. Requests go to the
/// others, and return once the engine may have recovered.
#[googletest::test]
fn an_engine_that_answers_later_than_forecast_is_avoided_for_a_while() {
    let mut excess = ExcessDelay::default();
    (0..10).for_each(|answer| excess.record(100.0, 900.0, answer * 50));
    let slow = Candidate { excess_delay_ms: excess.current_ms(500), ..idle() };
    let busy = Candidate { open: 12, ..idle() };
    expect_that!(
        choice::fastest_engine(&[slow, busy], &latency_model(), &prompt(), 0),
        some(eq(1))
    );
    let later = Candidate { excess_delay_ms: excess.current_ms(12_000), ..idle() };
    expect_that!(
        choice::fastest_engine(&[later, busy], &latency_model(), &prompt(), 0),
        some(eq(0))
    );
}

/// Two engines are idle, and one of them has answered earlier than forecast. If that counted, the
/// other would never be used, and the first would carry all the load.
#[googletest::test]
fn an_unused_engine_looks_no_slower_than_a_used_one() {
    let mut excess = ExcessDelay::default();
    (0..10).for_each(|answer| excess.record(100.0, 5.0, answer * 50));
    expect_that!(excess.current_ms(500), eq(0.0));
    let known = Candidate { excess_delay_ms: excess.current_ms(500), ..idle() };
    let taken = |draw| choice::fastest_engine(&[known, idle()], &latency_model(), &prompt(), draw);
    expect_that!([taken(0), taken(1)], elements_are![some(eq(0)), some(eq(1))]);
}

/// Weights were changed, and one engine is back while others still load. Each of six entries sees
/// it idle. If each filled it alone, callers would wait six times as long.
#[googletest::test]
fn entries_without_reports_share_an_idle_engine() {
    let sent = |similar_entries: f64| {
        let report = PeerLoad::default();
        let mut own = 0;
        loop {
            let open = RequestCounts { open: f64::from(own), unstarted: 0.0 };
            let peer_open = report.estimate(open, similar_entries, 100).open;
            let candidate = Candidate { open: own, peer_open, ..idle() };
            if choice::fastest_engine(&[candidate], &latency_model(), &prompt(), 0).is_none() {
                return own;
            }
            own += 1;
        }
    };
    expect_that!(sent(0.0), all!(ge(17), le(22)));
    expect_that!(6 * sent(5.0), le(24));
}

#[googletest::test]
fn a_fresh_report_takes_precedence_over_the_estimate() {
    let mut report = PeerLoad::default();
    let own = RequestCounts { open: 2.0, unstarted: 1.0 };
    report.record_report(RequestCounts { open: 12.0, unstarted: 3.0 }, own, 1_000);
    expect_that!(
        report.estimate(own, 5.0, 1_000),
        eq(RequestCounts { open: 10.0, unstarted: 2.0 })
    );
    let old = report.estimate(own, 5.0, 3_500);
    expect_that!(old, eq(RequestCounts { open: 10.0, unstarted: 5.0 }));
    expect_that!(report.estimate(own, 0.0, 2_500).open, eq(10.0));
}

/// Engines are offered a quarter more than their capacity for a minute. An answer whose first event
/// is late is worth a quarter. The forecast is compared with the naive rule, which fills each
/// engine up to a fixed number of requests.
#[googletest::test]
fn refusing_late_requests_keeps_most_answers_in_time() {
    let (forecast, forecast_refused) = overload(true);
    let (naive, naive_refused) = overload(false);
    expect_that!(forecast, gt(naive * 1.3), "worth {forecast:.2} and {naive:.2}");
    expect_that!(forecast, gt(0.7));
    expect_that!(forecast_refused, lt(0.3));
    expect_that!(naive_refused, lt(forecast_refused));
}

/// Simulates an overload with a simple engine model: prompts are read one after the other, and a
/// request holds a slot from its first event to its last. Returns the worth of all requests as a
/// fraction of the whole, and the fraction of requests that were refused.
fn overload(forecasts: bool) -> (f64, f64) {
    const ENGINES: usize = 8;
    const REQUESTS: usize = 6_000;
    /// Engine time of a mean request, prompt and answer, in milliseconds.
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
            true => choice::fastest_engine(&engines, &latency_model(), &prompt(), random.random()),
            // The waiting requests fill the engine's own queue of 8.
            false => (0..ENGINES)
                .filter(|&engine| engines[engine].open < 16 + 8)
                .min_by_key(|&engine| engines[engine].open),
        };
        let Some(chosen) = chosen else {
            refused += 1.0;
            continue;
        };
        // The engine completes one request per service time; requests beyond its slots wait.
        let ahead = f64::from(engines[chosen].open);
        let last_ms = backlog[chosen].last().copied().unwrap_or(now_ms).max(now_ms);
        let wait_ms = (ahead + 1.0 - 16.0).max(0.0) * SERVICE_MS;
        let first_ms = 0.5 * 42.0 + 42.0 + latency_model().mean_prefill_ms() + wait_ms;
        worth += if first_ms <= OBJECTIVE_MS { 1.0 } else { 0.25 };
        let shortest_ms = now_ms + 16.0 * SERVICE_MS;
        backlog[chosen].push((last_ms + SERVICE_MS).max(shortest_ms));
    }
    (worth / REQUESTS as f64, refused / REQUESTS as f64)
}

/// The prompt is so long, or the objective so short, that even an idle engine sends the first event
/// late. If the objective were the bound, such callers would never be served.
#[googletest::test]
fn a_request_that_is_late_even_at_an_idle_engine_is_served() {
    for (objective_ms, prefill_ms) in [(400, 800.0), (50, 32.0), (1, 0.0)] {
        let urgency = latency_model().urgency(objective_ms, prefill_ms);
        expect_that!(urgency, eq(Urgency::Late));
        let work = Work {
            latency_model: latency_model(),
            objective_ms,
            gap_objective_ms: 300,
            prefill_ms,
            urgency,
            class: None,
        };
        let chosen = Gate::default().choose(&[idle()], &work, 0, 0);
        expect_that!(chosen.map(|chosen| chosen.engine), eq(Ok(0)));
    }
}

/// Guards against forecasts that use the whole objective, so that every second request is late, and
/// against a bound below the time that an idle engine takes.
#[googletest::test]
fn the_wait_of_a_request_in_time_stays_within_the_objective() {
    let max_ms = |objective_ms, prefill_ms, urgency| {
        latency_model().first_event_max_ms(
            objective_ms,
            prefill_ms,
            urgency,
            ForecastError::default().mean_ms(),
        )
    };
    for prefill_ms in [0.0, 32.0, 150.0] {
        let idle_ms = latency_model().first_event_ms(&idle(), prefill_ms);
        let in_time_ms = max_ms(400, prefill_ms, Urgency::InTime);
        expect_that!(in_time_ms, all!(gt(idle_ms), lt(OBJECTIVE_MS)));
        expect_that!(max_ms(400, prefill_ms, Urgency::Late), gt(1_200.0));
    }
    expect_that!(max_ms(0, 32.0, Urgency::InTime), eq(f64::INFINITY));
}

/// Guards against one of many entries that sends requests forecast to be just in time although its
/// forecasts are inaccurate, so that most of them are late.
#[googletest::test]
fn larger_forecast_errors_tighten_the_bound() {
    let mut error = ForecastError::default();
    let max_ms = |error: &ForecastError| {
        latency_model().first_event_max_ms(400, 32.0, Urgency::InTime, error.mean_ms())
    };
    let assumed_ms = max_ms(&error);
    (0..200).for_each(|_| error.record(200.0, 210.0));
    expect_that!(max_ms(&error), gt(assumed_ms));
    (0..200).for_each(|answer| error.record(200.0, if answer % 2 == 0 { 20.0 } else { 380.0 }));
    let idle_ms = latency_model().first_event_ms(&idle(), 32.0);
    expect_that!(max_ms(&error), all!(lt(assumed_ms), gt(idle_ms)));
}

/// Guards against forecasts that count the prompts of waiting requests twice, as prefill time and
/// as slot time: requests that could be in time were rejected.
#[googletest::test]
fn prefill_of_requests_that_wait_for_a_slot_is_not_counted_twice() {
    let full = Candidate { open: 20, ..idle() };
    let with_prefill = Candidate { prefill_ms: 100.0, ..full };
    let first_ms = |engine| latency_model().first_event_ms(&engine, 32.0);
    expect_that!(first_ms(with_prefill), eq(first_ms(full)));
}

#[googletest::test]
fn prefill_time_grows_with_tokens_and_pairs() {
    let prefill = |tokens| forecast::prefill_ms(&figures::engine(), tokens);
    expect_that!(prefill(0.0), eq(0.0));
    expect_that!(prefill(1_290.0), all!(gt(42.0), lt(43.0)));
}
