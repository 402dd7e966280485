//! Requests to superseded weights over paths that turn slow before the weights' time is up.

use googletest::prelude::*;
use ragwortdeal_core::{
    dispatch::{
        answer_length::Tokens,
        caller_time::CallerTime,
        choice::{self, Candidate, Prompt},
        cutoff::{self, PathKnowledge},
        forecast, probe,
    },
    document,
    orders::switch_schedule::VersionTimes,
};

const BOUND_MS: u64 = 10_000;
const PROBE_MS: u64 = 100;
const REQUEST_MS: u64 = 5;
/// Time in which the agent takes its next step.
const AGENT_STEP_MS: u64 = 150;
/// Time that the engine takes from a request's arrival to its first event.
const PREFILL_MS: u64 = 150;

/// A path whose requests and probes take longer from some time on.
struct Path {
    slow_from_ms: u64,
    slow_ms: u64,
}

impl Path {
    fn delay_ms(&self, sent_ms: u64) -> u64 {
        if sent_ms < self.slow_from_ms { 3 } else { self.slow_ms }
    }
}

/// Sends requests until the cutoff; returns when the last one was sent and the last one began, on
/// weights superseded at 0.
fn last_sent_and_begun(path: &Path, agent_works: bool) -> (u64, u64) {
    let times = VersionTimes { superseded_ms: Some(0), ..VersionTimes::default() };
    let withdrawn_ms = (0..).find(|now_ms| times.must_withdraw(false, BOUND_MS, *now_ms));
    let withdrawn_ms = withdrawn_ms.unwrap().unsigned_abs() + AGENT_STEP_MS;
    let mut probe = probe::Probe::default();
    let mut replies: Vec<(u64, u64)> = Vec::new();
    let (mut sent_ms, mut begun_ms) = (0, 0);
    for now_ms in 7_000..BOUND_MS {
        if now_ms % PROBE_MS == 0 {
            probe.record_sent(now_ms);
            replies.push((now_ms, now_ms + path.delay_ms(now_ms)));
        }
        let arrived = replies.extract_if(.., |(_, at_ms)| *at_ms <= now_ms);
        arrived.for_each(|(asked_ms, at_ms)| _ = probe.record_reply(asked_ms, at_ms));
        let path_knowledge = PathKnowledge {
            confirmed: probe.is_answered(now_ms),
            slow: probe.path_state(now_ms) == probe::PathState::Slow,
            ..PathKnowledge::default()
        };
        let cutoff_ms = BOUND_MS - cutoff::margin_ms(path_knowledge);
        if now_ms % REQUEST_MS > 0 || now_ms >= cutoff_ms || !probe.is_confirmed(now_ms) {
            continue;
        }
        let arrives_ms = now_ms + path.delay_ms(now_ms);
        if !agent_works || arrives_ms < withdrawn_ms {
            (sent_ms, begun_ms) = (now_ms, begun_ms.max(arrives_ms + PREFILL_MS));
        }
    }
    (sent_ms, begun_ms)
}

/// Guards against requests that begin on superseded weights after their time because the path to the
/// engine turned slow while they were under way.
#[googletest::test]
fn nothing_begins_late_however_slow_a_path_turns_before_the_cutoff() {
    for slow_from_ms in (7_500..BOUND_MS).step_by(50) {
        for slow_ms in [50, 200, 500, 1_000, 2_000, 4_000] {
            let (_, begun_ms) = last_sent_and_begun(&Path { slow_from_ms, slow_ms }, true);
            expect_that!(begun_ms, lt(BOUND_MS), "slow by {slow_ms} ms from {slow_from_ms} ms");
        }
    }
}

/// Guards against callers who are refused seconds before the time of the only weights is up.
#[googletest::test]
fn a_path_that_is_known_to_be_clear_is_used_until_a_second_before_the_bound() {
    let clear = Path { slow_from_ms: u64::MAX, slow_ms: 0 };
    let (sent_ms, begun_ms) = last_sent_and_begun(&clear, true);
    expect_that!(sent_ms, ge(BOUND_MS - 1_000));
    expect_that!(begun_ms, lt(BOUND_MS));
    // Its agent may be killed meanwhile.
    expect_that!(last_sent_and_begun(&clear, false).1, lt(BOUND_MS));
}

/// Guards against requests that are still in the engine's queue when the time is up.
#[googletest::test]
fn an_engine_that_would_begin_too_late_is_not_chosen() {
    let engine = document::Engine {
        slots: 12,
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
    };
    let model = forecast::LatencyModel::new(&engine);
    let prompt = Prompt {
        prefill_ms: 45.0,
        answer: Tokens::default(),
        time: CallerTime { first_event_ms: 500.0, answer_ms: 500.0 },
        error_ms: 80.0,
        pause_max_ms: f64::INFINITY,
        waiting_max: f64::INFINITY,
    };
    let within = |start_within_ms: Option<f64>| {
        let queued = Candidate {
            slots: 12,
            open: 4,
            prefill_ms: 100.0,
            start_within_ms,
            ..Candidate::default()
        };
        choice::fastest_engine(&[queued], &model, &prompt, 0)
    };
    expect_that!(within(None), some(eq(0)));
    expect_that!(within(Some(1_000.0)), some(eq(0)));
    expect_that!(within(Some(200.0)), none());
}
