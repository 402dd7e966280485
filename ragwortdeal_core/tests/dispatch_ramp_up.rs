//! Many entries and an engine that comes back idle among busy ones.

use googletest::prelude::*;
use ragwortdeal_core::{
    dispatch::{
        answer_length::Tokens,
        backlog::{Backlog, PeerEntries, UpstreamInfo},
        caller_time::CallerTime,
        choice::{self, Prompt},
        forecast, peer_load, ramp_up,
    },
    document,
};

const ENTRIES: usize = 13;
const SLOTS: u32 = 12;
/// Requests of each entry arrive at this interval.
const ARRIVAL_MS: u64 = 26;
const REPORT_MS: u64 = 100;
/// Requests at each of the other engines, some of them unread.
const BUSY: peer_load::RequestCounts = peer_load::RequestCounts { open: 8.0, unstarted: 3.0 };

fn latency_model() -> forecast::LatencyModel {
    forecast::LatencyModel::new(&document::Engine {
        slots: SLOTS,
        steps_per_pass: 5,
        models: Vec::new(),
        step_ms: 8.87,
        step_per_request_ms: 0.0388,
        step_per_context_ms: 0.0227,
        prefill_tokens_per_s: 19_100.0,
        prefill_pairs_ms: 1.47,
        prefill_chunk_tokens: 2_048,
        memory_tokens: 1_180_000,
        mean_request: document::MeanRequest { prompt_tokens: 950.0, answer_tokens: 100.0 },
        layers: 16,
        chunks: 96,
        chunk_bytes: 24_576,
    })
}

/// An entry's views of the engine that comes back, and of the busy ones.
struct Entry {
    views: Vec<Backlog>,
    seed: u64,
}

impl Entry {
    fn new(seed: u64, busy: usize) -> Self {
        let mut views = vec![Backlog::default(); busy + 1];
        views[1..].iter_mut().for_each(|view| view.record_report(BUSY, 0));
        Self { views, seed }
    }

    /// Sends one request; returns whether it went to the engine that has come back.
    fn send(&mut self, ramps_up: bool, now_ms: u64) -> bool {
        let model = latency_model();
        let mean_ms = model.mean_prefill_ms();
        let peers = PeerEntries { same_zone: 4.0, all: ENTRIES as f64 - 1.0 };
        let entries = ramp_up::Entries { same_zone: 5.0, all: ENTRIES as f64 };
        let delay_ms = ramp_up::delay_ms(&entries, mean_ms, self.seed.is_multiple_of(3), self.seed);
        let upstream = UpstreamInfo { same_zone: true, slots: SLOTS };
        let mut engines: Vec<_> =
            self.views.iter().map(|view| view.candidate(&upstream, &peers, now_ms)).collect();
        engines[0].ramping_up = ramps_up && (now_ms as f64) < delay_ms;
        let prompt = Prompt {
            prefill_ms: mean_ms,
            answer: Tokens {
                expected: model.mean_answer_tokens(),
                longest: model.mean_answer_tokens(),
            },
            time: CallerTime { first_event_ms: 400.0, answer_ms: 6_000.0 },
            error_ms: 0.0,
            pause_max_ms: f64::INFINITY,
            waiting_max: f64::INFINITY,
        };
        let Some(engine) = choice::fastest_engine(&engines, &model, &prompt, self.seed + now_ms)
        else {
            return false;
        };
        self.views[engine].open_request(mean_ms);
        engine == 0
    }
}

/// Milliseconds of prefill that the engine got beyond what it can read, at most, in the first half
/// second after its return.
fn queue_max_ms(ramps_up: bool, busy: usize) -> f64 {
    let mean_ms = latency_model().mean_prefill_ms();
    let mut entries: Vec<_> = (0..ENTRIES as u64).map(|seed| Entry::new(seed, busy)).collect();
    let (mut queued_ms, mut max_ms) = (0.0_f64, 0.0_f64);
    for now_ms in 0..500 {
        queued_ms = (queued_ms - 1.0).max(0.0);
        if now_ms % REPORT_MS == REPORT_MS - 1 {
            let waiting = (queued_ms / mean_ms).ceil();
            let load = peer_load::RequestCounts { open: waiting + 1.0, unstarted: waiting };
            entries.iter_mut().for_each(|entry| entry.views[0].record_report(load, now_ms));
        }
        for (index, entry) in entries.iter_mut().enumerate() {
            if now_ms % ARRIVAL_MS == 2 * index as u64 && entry.send(ramps_up, now_ms) {
                queued_ms += mean_ms;
            }
        }
        max_ms = max_ms.max(queued_ms);
    }
    max_ms
}

/// Guards against all entries sending their next request to the one engine that has just come back,
/// where most of them are late.
#[googletest::test]
fn an_engine_that_comes_back_among_busy_ones_is_not_flooded() {
    const OBJECTIVE_MS: f64 = 400.0;
    expect_that!(queue_max_ms(true, 30), lt(OBJECTIVE_MS / 2.0));
    // Without the ramp-up the last request would come late.
    expect_that!(queue_max_ms(false, 30), gt(OBJECTIVE_MS));
}

/// Guards against callers that are refused while an engine that has come back is idle.
#[googletest::test]
fn the_only_engine_is_used_at_once() {
    let mut entry = Entry::new(7, 0);
    expect_that!(entry.send(true, 0), eq(true));
}

/// Guards against entries that wait longer than the engine needs for a prompt of each, and against
/// those of other zones that take the first turns.
#[googletest::test]
fn entries_begin_one_after_the_other_and_those_of_the_zone_first() {
    let entries = ramp_up::Entries { same_zone: 5.0, all: 13.0 };
    let delays = |same_zone: bool| {
        (0..200).map(move |seed| ramp_up::delay_ms(&entries, 40.0, same_zone, seed))
    };
    expect_that!(delays(true).collect::<Vec<_>>(), each(all!(ge(&0.0), lt(&200.0))));
    expect_that!(delays(false).collect::<Vec<_>>(), each(all!(ge(&200.0), lt(&520.0))));
    let alone = ramp_up::Entries { same_zone: 1.0, all: 1.0 };
    expect_that!(ramp_up::delay_ms(&alone, 40.0, true, 3), lt(40.0));
}
