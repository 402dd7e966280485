//! Forecasts of the first event, and the selection based on them under load.

mod figures;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    answer_length::Tokens,
    bounds::Exceeded,
    caller_time::CallerTime,
    choice::{self, Candidate, Prompt},
    forecast::{self, ExcessDelay, ForecastError, LatencyModel},
    gate::{Gate, Rejection, Work},
    peer_load::{PeerLoad, RequestCounts},
};
use rand::{RngExt as _, SeedableRng as _};

/// Time of the callers for the first event.
const TIME_MS: f64 = 400.0;

fn latency_model() -> LatencyModel {
    LatencyModel::new(&figures::engine())
}

/// An answer of the mean length, of which the caller tells the length.
fn mean_answer() -> Tokens {
    let tokens = latency_model().mean_answer_tokens();
    Tokens { expected: tokens, longest: tokens }
}

fn idle() -> Candidate {
    Candidate { slots: 16, same_zone: true, ..Candidate::default() }
}

fn prompt() -> Prompt {
    Prompt {
        prefill_ms: latency_model().mean_prefill_ms(),
        answer: Tokens::default(),
        time: CallerTime { first_event_ms: TIME_MS, answer_ms: 6_000.0 },
        error_ms: 0.0,
        pause_max_ms: f64::INFINITY,
        waiting_max: f64::INFINITY,
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
    expect_that!(full, all!(gt(prefill), lt(TIME_MS)));
    expect_that!(first_ms(Candidate { open: 22, ..idle() }), gt(TIME_MS));
}

/// All engines are overloaded. Requests that are sent anyway find nobody who waits, and take engine
/// time from those that could.
#[googletest::test]
fn a_request_whose_caller_would_have_left_is_not_sent() {
    let full = Candidate { open: 22, ..idle() };
    expect_that!(choice::fastest_engine(&[full, full], &latency_model(), &prompt(), 1), none());
    let time = CallerTime { first_event_ms: 3.0 * TIME_MS, answer_ms: 6_000.0 };
    let patient = Prompt { time, ..prompt() };
    expect_that!(
        choice::fastest_engine(&[full, full], &latency_model(), &patient, 1),
        some(anything())
    );
}

#[googletest::test]
fn an_engine_in_another_zone_is_selected_when_those_nearby_are_slower() {
    let prompt = Prompt { error_ms: 80.0, ..prompt() };
    let other_zone = Candidate { same_zone: false, ..idle() };
    let chosen = |near| choice::fastest_engine(&[other_zone, near], &latency_model(), &prompt, 0);
    expect_that!(chosen(Candidate { open: 6, ..idle() }), some(eq(1)));
    expect_that!(chosen(Candidate { open: 15, prefill_ms: 90.0, ..idle() }), some(eq(0)));
}

/// Guards against a preference for engines nearby that makes callers wait: what they wait more must
/// be less than the error of the forecasts.
#[googletest::test]
fn an_engine_nearby_is_preferred_by_no_more_than_forecasts_are_off() {
    let other_zone = Candidate { same_zone: false, ..idle() };
    let near = Candidate { excess_delay_ms: 50.0, ..idle() };
    let chosen = |error_ms| {
        let prompt = Prompt { error_ms, ..prompt() };
        choice::fastest_engine(&[other_zone, near], &latency_model(), &prompt, 0)
    };
    expect_that!(chosen(60.0), some(eq(1)));
    expect_that!(chosen(40.0), some(eq(0)));
}

/// Guards against engines that are filled one after the other, where all answers are written more
/// slowly.
#[googletest::test]
fn the_emptier_of_two_engines_that_start_at_once_is_selected() {
    let prompt = Prompt { answer: mean_answer(), ..prompt() };
    let loads = [9, 3, 6].map(|open| Candidate { open, ..idle() });
    let chosen = |draw| choice::fastest_engine(&loads, &latency_model(), &prompt, draw);
    expect_that!([chosen(0), chosen(1), chosen(2)], each(some(eq(1))));
}

/// Guards against engines that fail part of their requests and look as good as others.
#[googletest::test]
fn a_failing_engine_costs_the_time_of_a_repeat() {
    let prompt = Prompt { answer: mean_answer(), ..prompt() };
    let failing = Candidate { failure_rate: 0.2, ..idle() };
    let chosen = |delay_ms| {
        let slower = Candidate { open: 4, excess_delay_ms: delay_ms, ..idle() };
        choice::fastest_engine(&[failing, slower], &latency_model(), &prompt, 0)
    };
    expect_that!(chosen(100.0), some(eq(1)));
    expect_that!(chosen(250.0), some(eq(0)));
}

/// Guards against an engine that failed for a while and is never tried again, as no answer shows that
/// it has recovered.
#[googletest::test]
fn an_engine_that_always_failed_is_tried_while_the_others_queue() {
    let prompt = Prompt {
        answer: mean_answer(),
        time: CallerTime { first_event_ms: 2_300.0, answer_ms: 6_000.0 },
        ..prompt()
    };
    let failed = Candidate { failure_rate: 0.999, ..idle() };
    let queue = Candidate { open: 30, ..idle() };
    let chosen = choice::fastest_engine(&[queue, failed], &latency_model(), &prompt, 0);
    expect_that!(chosen, some(eq(1)));
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

/// Engines are offered a quarter more than their capacity for a minute, and callers leave whose
/// first event does not come. The forecast is compared with the naive rule, which fills each engine
/// up to a fixed number of requests.
#[googletest::test]
fn refusing_requests_whose_callers_would_leave_answers_more_of_them() {
    let (forecast, forecast_refused) = overload(true);
    let (naive, naive_refused) = overload(false);
    expect_that!(forecast, gt(naive * 1.3), "answered {forecast:.2} and {naive:.2}");
    expect_that!(forecast, gt(0.7));
    expect_that!(forecast_refused, lt(0.3));
    expect_that!(naive_refused, lt(forecast_refused));
}

/// Simulates an overload with a simple engine model: prompts are read one after the other, and a
/// request holds a slot from its first event to its last. Returns the fractions of requests
/// that were answered and refused.
fn overload(forecasts: bool) -> (f64, f64) {
    const ENGINES: usize = 8;
    const REQUESTS: usize = 6_000;
    /// Engine time of a mean request, prompt and answer, in milliseconds.
    const SERVICE_MS: f64 = 85.0;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(11);
    let mut backlog: Vec<Vec<f64>> = vec![Vec::new(); ENGINES];
    let (mut now_ms, mut answered, mut refused) = (0.0, 0.0, 0.0);
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
        answered += f64::from(u8::from(first_ms <= TIME_MS));
        let shortest_ms = now_ms + 16.0 * SERVICE_MS;
        backlog[chosen].push((last_ms + SERVICE_MS).max(shortest_ms));
    }
    (answered / REQUESTS as f64, refused / REQUESTS as f64)
}

/// Guards against prompts that are never served because forecasts are inaccurate, although an idle
/// engine would answer in time.
#[googletest::test]
fn an_idle_engine_is_used_by_callers_with_just_enough_time() {
    let chosen = |time_ms: f64| {
        let work = Work {
            latency_model: latency_model(),
            time: CallerTime { first_event_ms: time_ms, answer_ms: time_ms + 2_000.0 },
            pause_max_ms: 300,
            prefill_ms: 800.0,
            answer_tokens: latency_model().mean_answer_tokens(),
            admitted: false,
            class: None,
        };
        Gate::default().choose(&[idle()], &work, 0, 0).map(|chosen| chosen.engine)
    };
    expect_that!(chosen(850.0), eq(Ok(0)));
    expect_that!(chosen(750.0), eq(Err(Rejection::Full)));
}

/// The longest forecast with which a request is sent to a busy engine.
fn longest_forecast_ms(error: &ForecastError) -> f64 {
    let busy = Candidate { open: 8, ..idle() };
    let prompt = Prompt { error_ms: error.mean_ms(), ..prompt() };
    let delayed =
        (0..1_000).map(|delay_ms| Candidate { excess_delay_ms: f64::from(delay_ms), ..busy });
    let sent = delayed.filter(|it| !Exceeded::at(it, &latency_model(), &prompt).any());
    let forecasts = sent.map(|it| latency_model().first_event_ms(&it, prompt.prefill_ms));
    forecasts.fold(0.0, f64::max)
}

/// Guards against forecasts that use up the whole time, so that every second caller leaves.
#[googletest::test]
fn forecasts_leave_a_margin_in_the_time_of_a_caller() {
    let assumed = ForecastError::default();
    expect_that!(longest_forecast_ms(&assumed), le(TIME_MS - 2.0 * assumed.mean_ms()));
    expect_that!(longest_forecast_ms(&assumed), gt(0.0));
}

/// Guards against one of many entries that sends requests forecast to be just in time although its
/// forecasts are inaccurate, so that most of their callers leave.
#[googletest::test]
fn larger_forecast_errors_tighten_the_bound() {
    let mut error = ForecastError::default();
    let assumed_ms = longest_forecast_ms(&error);
    (0..200).for_each(|_| error.record(200.0, 210.0));
    expect_that!(longest_forecast_ms(&error), gt(assumed_ms));
    (0..200).for_each(|answer| error.record(200.0, if answer % 2 == 0 { 20.0 } else { 380.0 }));
    expect_that!(longest_forecast_ms(&error), lt(assumed_ms));
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
