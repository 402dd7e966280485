//! What callers get from several entries and engines under overload.

mod engine;
mod fleet;
mod paces;
mod slow_engines;

use googletest::prelude::*;
use ragwortdeal_core::{
    dispatch::{
        gate::{Choice, Gate, Work},
        priority::{Class, Level},
    },
    document,
};

/// Loads past which no less work may be useful, as fractions of the capacity.
const LOADS: [f64; 5] = [0.9, 1.0, 1.1, 1.2, 1.5];

const UNTIL_MS: u64 = 40_000;

/// Requests of the first seconds find empty engines and do not count.
const COUNTED_FROM_MS: u64 = 5_000;

/// Callers who may leave before their answer is whole, as a fraction of those who get it.
const ABANDONED_MAX: f64 = 0.05;

/// The entry's own rules.
#[derive(Default)]
struct EntryRule {
    gate: Gate,
}

impl fleet::Rule for EntryRule {
    fn decide(&mut self, question: &fleet::Question<'_>) -> std::result::Result<Choice, u64> {
        let fleet::Question {
            latency_model, time, prefill_ms, answer_tokens, now_ms, draw, ..
        } = *question;
        let class = question.level.map(|number| Class { level: Level::new(number), account: None });
        let pause_max_ms = fleet::PAUSE_MAX_MS;
        let work = Work {
            latency_model,
            time,
            pause_max_ms,
            prefill_ms,
            answer_tokens,
            admitted: false,
            class,
        };
        let chosen = self.gate.choose(question.engines, &work, now_ms, draw);
        chosen.map_err(|_| {
            let room = self.gate.room(question.engines, &work);
            room.retry_after_ms(time.answer_ms as u64, draw)
        })
    }

    fn record_first_event(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.gate.record_first_event(forecast_ms, took_ms, now_ms);
    }
}

/// Naive rule: every request is sent, and waits until its caller leaves.
#[derive(Default)]
struct UnboundedWait;

impl fleet::Rule for UnboundedWait {
    fn decide(&mut self, question: &fleet::Question<'_>) -> std::result::Result<Choice, u64> {
        let fleet::Question { latency_model, prefill_ms, .. } = *question;
        let forecasts = question.engines.iter();
        let forecasts = forecasts.map(|engine| latency_model.first_event_ms(engine, prefill_ms));
        let soonest = forecasts.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
        let (engine, forecast_ms) = soonest.ok_or(0_u64)?;
        Ok(Choice { engine, forecast_ms, starts_first: false })
    }

    fn record_first_event(&mut self, _forecast_ms: f64, _took_ms: f64, _now_ms: u64) {}
}

fn kind(share: f64, tokens: (f64, f64)) -> fleet::Kind {
    let (prompt_tokens, answer_tokens) = tokens;
    fleet::Kind { share, prompt_tokens, answer_tokens, level: None }
}

/// Engines that spend about as much time on prefill as on decoding.
fn prefill_heavy() -> fleet::Setup {
    let engine = document::Engine {
        slots: 16,
        steps_per_pass: 5,
        models: Vec::new(),
        step_ms: 9.27,
        step_per_request_ms: 0.0232,
        step_per_context_ms: 0.0322,
        prefill_tokens_per_s: 20_700.0,
        prefill_pairs_ms: 1.18,
        prefill_chunk_tokens: 2_048,
        memory_tokens: 317_000,
        mean_request: document::MeanRequest { prompt_tokens: 964.0, answer_tokens: 92.0 },
        layers: 16,
        chunks: 48,
        chunk_bytes: 49_152,
    };
    let kinds = vec![
        kind(0.406, (1_330.0, 101.0)),
        kind(0.308, (827.0, 101.0)),
        kind(0.286, (647.0, 70.0)),
    ];
    fleet::Setup {
        engine,
        engines: 9,
        zones: 3,
        entries: 4,
        kinds,
        report_ms: Some(100),
        paces: None,
        told: fleet::Told::Exactly,
    }
}

/// Engines that spend most of their time on decoding, behind many entries.
fn many_entries() -> fleet::Setup {
    let engine = document::Engine {
        slots: 12,
        steps_per_pass: 7,
        step_ms: 6.73,
        step_per_request_ms: 0.0219,
        step_per_context_ms: 0.0068,
        prefill_tokens_per_s: 30_600.0,
        prefill_pairs_ms: 0.647,
        memory_tokens: 1_640_000,
        mean_request: document::MeanRequest { prompt_tokens: 964.0, answer_tokens: 119.0 },
        ..prefill_heavy().engine
    };
    let kinds = vec![
        kind(0.394, (1_330.0, 147.0)),
        kind(0.272, (827.0, 147.0)),
        kind(0.334, (647.0, 70.0)),
    ];
    fleet::Setup {
        engine,
        engines: 40,
        zones: 3,
        entries: 18,
        kinds,
        report_ms: Some(100),
        paces: None,
        told: fleet::Told::Exactly,
    }
}

fn steady<R: fleet::Rule>(setup: &fleet::Setup, load: f64, seed: u64) -> fleet::Outcome {
    let rate_per_s = load * setup.capacity_per_s();
    fleet::simulate::<R>(setup, &[(0, rate_per_s)], UNTIL_MS, COUNTED_FROM_MS, seed)
}

/// Engine time spent on whole answers under a steady load, as a fraction of the capacity.
fn useful_work<R: fleet::Rule>(setup: &fleet::Setup, load: f64, seed: u64) -> f64 {
    let outcome = steady::<R>(setup, load, seed);
    // The curves of docs/design/overload.md, with --nocapture.
    println!("load {load}, seed {seed}: {outcome}");
    outcome.useful_work() * load
}

fn expect_flat(setup: &fleet::Setup, seed: u64) {
    let useful = LOADS.map(|load| useful_work::<EntryRule>(setup, load, seed));
    let best = useful.into_iter().fold(0.0, f64::max);
    for (useful, load) in useful.into_iter().zip(LOADS) {
        // Below capacity no more work can be useful than is offered.
        expect_that!(useful, ge(0.9 * best.min(load)), "seed {seed}, load {load}");
    }
}

macro_rules! flat_past_capacity {
    ($($name:ident: $setup:expr, $seed:expr;)*) => {
        $(
            /// Guards against congestion collapse: work for callers who leave in place of others.
            #[googletest::test]
            fn $name() {
                expect_flat(&$setup, $seed);
            }
        )*
    };
}

flat_past_capacity! {
    useful_work_stays_flat_where_prompts_are_long: prefill_heavy(), 1;
    useful_work_stays_flat_where_prompts_are_long_again: prefill_heavy(), 2;
    useful_work_stays_flat_behind_many_entries: many_entries(), 3;
    useful_work_stays_flat_behind_many_entries_again: many_entries(), 4;
}

/// Guards against a simulation so lenient that any rule would pass.
#[googletest::test]
fn useful_work_collapses_when_requests_wait_without_bound() {
    let setup = fleet::Setup { report_ms: None, ..prefill_heavy() };
    let best = useful_work::<UnboundedWait>(&setup, 1.0, 1);
    let outcome = steady::<UnboundedWait>(&setup, 1.5, 1);
    expect_that!(outcome.useful_work() * 1.5, lt(0.9 * best));
    expect_that!(outcome.abandoned_fraction(), gt(ABANDONED_MAX));
}

/// Guards against an overload that lasts longer than its cause.
#[googletest::test]
fn callers_are_answered_soon_again_after_a_burst() {
    let setup = prefill_heavy();
    let capacity = setup.capacity_per_s();
    let load = [(0, 0.7 * capacity), (10_000, 2.0 * capacity), (15_000, 0.7 * capacity)];
    let before = [(0, 0.7 * capacity)];
    for seed in 1..=4 {
        let outcome = fleet::simulate::<EntryRule>(&setup, &load, 30_000, 18_000, seed);
        let usual = fleet::simulate::<EntryRule>(&setup, &before, 30_000, 18_000, seed);
        expect_that!(outcome.all.fraction(), ge(0.95), "seed {seed}");
        expect_that!(outcome.mean_wait_ms(), le(2.0 * usual.mean_wait_ms()), "seed {seed}");
    }
}

/// Guards against useful work that is gained by rejecting large prompts.
#[googletest::test]
fn large_requests_are_served_at_least_half_as_often_in_an_overload() {
    for load in [1.0, 1.2, 1.5] {
        for setup in [prefill_heavy(), many_entries()] {
            let outcome = steady::<EntryRule>(&setup, load, 1);
            expect_that!(outcome.large_share(), ge(0.5), "load {load}");
        }
    }
}

/// Guards against engines that are kept busy for callers who leave before they have their answer.
#[googletest::test]
fn few_answers_are_for_callers_who_left_in_an_overload() {
    for load in [1.0, 1.2, 1.5] {
        for setup in [prefill_heavy(), many_entries()] {
            let outcome = steady::<EntryRule>(&setup, load, 1);
            expect_that!(outcome.abandoned_fraction(), le(ABANDONED_MAX), "load {load}");
        }
    }
}

/// Guards against prompts that are read while the streams beside them pause for too long.
#[googletest::test]
fn few_streams_pause_for_longer_than_promised() {
    for load in [0.75, 1.2] {
        let outcome = steady::<EntryRule>(&prefill_heavy(), load, 1);
        expect_that!(outcome.paused_fraction(), le(0.05), "load {load}");
    }
}

/// Guards against refusals although engines have free capacity.
#[googletest::test]
fn a_load_below_capacity_is_served() {
    for seed in 1..=3 {
        let outcome = steady::<EntryRule>(&prefill_heavy(), 0.75, seed);
        expect_that!(outcome.all.fraction(), ge(0.98));
    }
}

/// Three kinds, of which the least urgent has short prompts.
fn three_levels() -> fleet::Setup {
    let urgent = fleet::Kind { level: Some(0), ..kind(0.37, (1_330.0, 147.0)) };
    let middle = fleet::Kind { level: Some(1), ..kind(0.31, (827.0, 147.0)) };
    let least = fleet::Kind { level: Some(2), ..kind(0.32, (647.0, 70.0)) };
    fleet::Setup { engines: 12, entries: 6, kinds: vec![urgent, middle, least], ..many_entries() }
}

/// Mean fractions of the requests of each kind that are answered, and of the work that is useful.
fn answered_by_kind(setup: &fleet::Setup, load: f64) -> ([f64; 3], f64) {
    let rate_per_s = load * setup.capacity_per_s();
    let seeds = 1..=4;
    let mut means = ([0.0; 3], 0.0);
    for seed in seeds.clone() {
        let outcome =
            fleet::simulate::<EntryRule>(setup, &[(0, rate_per_s)], 25_000, COUNTED_FROM_MS, seed);
        let weight = 1.0 / seeds.clone().count() as f64;
        for (mean, kind) in means.0.iter_mut().zip(&outcome.by_kind) {
            *mean += weight * kind.fraction();
        }
        means.1 += weight * outcome.useful_work();
    }
    means
}

/// Guards against engines that are filled by the least urgent requests, against an order that
/// starves these, and against one that wastes capacity.
#[googletest::test]
fn more_urgent_requests_are_answered_first_in_an_overload() {
    let ordered = three_levels();
    let mut unordered = ordered.clone();
    unordered.kinds.iter_mut().for_each(|kind| kind.level = None);
    let (within_capacity, _) = answered_by_kind(&ordered, 0.9);
    expect_that!(within_capacity, each(ge(0.9)));
    for load in [1.1, 1.3, 1.6] {
        let (with, useful_with) = answered_by_kind(&ordered, load);
        let (without, useful_without) = answered_by_kind(&unordered, load);
        expect_that!(with[0], gt(without[0]), "load {load}");
        expect_that!(with[0], gt(with[1].max(with[2])), "load {load}");
        expect_that!(with[2], ge(0.25 * without[2]), "load {load}");
        expect_that!(useful_with, ge(0.9 * useful_without), "load {load}");
    }
}
