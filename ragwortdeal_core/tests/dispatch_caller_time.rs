//! Decisions on requests by the time that their callers have.

mod figures;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    caller_time::CallerTime,
    choice::Candidate,
    forecast::{self, LatencyModel},
    gate::{Gate, Work},
};

/// Longest pause between two events that the route promises.
const PAUSE_MAX_MS: u64 = 300;

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    /// Milliseconds until its deadline.
    left_ms: u64,
    /// Milliseconds until it leaves unless an event has come.
    first_event_within_ms: u64,
    answer_tokens: f64,
}

/// A caller with as much time as most have.
fn caller() -> Caller {
    Caller { left_ms: 6_000, first_event_within_ms: 2_300, answer_tokens: 119.0 }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Decision {
    Sent(usize),
    Refused { retry_after_ms: u64 },
}

/// An entry before the engines of one service.
#[derive(Default)]
struct Entry {
    gate: Gate,
}

impl Entry {
    fn decide(&mut self, engines: &[Candidate], caller: &Caller, now_ms: u64) -> Decision {
        self.decide_drawn(engines, caller, now_ms, 0)
    }

    fn decide_drawn(
        &mut self,
        engines: &[Candidate],
        caller: &Caller,
        now_ms: u64,
        draw: u64,
    ) -> Decision {
        let latency_model = LatencyModel::new(&figures::engine());
        let prefill_ms = latency_model.mean_prefill_ms();
        let work = Work {
            latency_model,
            time: CallerTime {
                first_event_ms: caller.first_event_within_ms as f64,
                answer_ms: caller.left_ms as f64,
            },
            pause_max_ms: PAUSE_MAX_MS,
            prefill_ms,
            answer_tokens: caller.answer_tokens,
            admitted: false,
            class: None,
        };
        match self.gate.choose(engines, &work, now_ms, draw) {
            Ok(choice) => Decision::Sent(choice.engine),
            Err(_) => {
                let room = self.gate.room(engines, &work);
                let retry_after_ms = room.retry_after_ms(caller.left_ms, draw);
                Decision::Refused { retry_after_ms }
            }
        }
    }
}

fn engine(open: u32) -> Candidate {
    Candidate { open, slots: 16, same_zone: true, ..Candidate::default() }
}

/// An engine that may read no more prompts for this long, or its streams pause too long.
fn reading(prefill_ms: f64) -> Candidate {
    Candidate { prefill_ms, ..engine(5) }
}

/// Guards against callers with a shorter timeout that are taken for returning ones and get only
/// what the others leave.
#[googletest::test]
fn a_caller_with_less_time_waits_like_the_others() {
    let mut entry = Entry::default();
    expect_that!(entry.decide(&[engine(16)], &caller(), 0), eq(Decision::Sent(0)));
    let shorter = Caller { left_ms: 4_700, ..caller() };
    expect_that!(entry.decide(&[engine(16)], &shorter, 10), eq(Decision::Sent(0)));
}

/// Guards against callers with a shorter timeout that are refused because others were.
#[googletest::test]
fn a_refusal_of_others_refuses_no_caller_with_less_time() {
    let mut entry = Entry::default();
    let refused = entry.decide(&[reading(400.0)], &caller(), 0);
    expect_that!(refused, matches_pattern!(Decision::Refused { .. }));
    let shorter = Caller { left_ms: 4_700, ..caller() };
    expect_that!(entry.decide(&[engine(3)], &shorter, 100), eq(Decision::Sent(0)));
}

/// Guards against one delay for all refused callers, however soon there is room for them.
#[googletest::test]
fn a_refused_caller_returns_when_the_work_ahead_has_gone() {
    let retry_after_ms = |engine| match Entry::default().decide(&[engine], &caller(), 0) {
        Decision::Refused { retry_after_ms } => retry_after_ms,
        Decision::Sent(_) => 0,
    };
    expect_that!(retry_after_ms(reading(350.0)), all!(ge(300), le(600)));
    expect_that!(retry_after_ms(reading(1_400.0)), all!(ge(1_300), le(2_000)));
}

/// Guards against callers that are sent away for longer than they can wait.
#[googletest::test]
fn a_refused_caller_waits_for_a_third_of_its_time_at_most() {
    let hurried = Caller { left_ms: 600, first_event_within_ms: 600, ..caller() };
    for draw in (0..1_000).map(|step| step * 0x1_0000_0001) {
        let decision = Entry::default().decide_drawn(&[reading(1_400.0)], &hurried, 0, draw);
        let within_ms = hurried.left_ms / 3;
        let refused = matches_pattern!(Decision::Refused { retry_after_ms: le(within_ms) });
        expect_that!(decision, refused);
    }
}

/// Guards against refusals of requests that the engines would finish well within the callers' time.
#[googletest::test]
fn a_request_that_fits_into_its_callers_time_is_sent() {
    expect_that!(Entry::default().decide(&[engine(22)], &caller(), 0), eq(Decision::Sent(0)));
}

/// Guards against engines that work for callers who leave before their first event.
#[googletest::test]
fn a_request_is_not_sent_whose_caller_leaves_before_its_first_event() {
    let leaving = Caller { first_event_within_ms: 500, ..caller() };
    let decision = Entry::default().decide(&[engine(24)], &leaving, 0);
    expect_that!(decision, matches_pattern!(Decision::Refused { .. }));
    expect_that!(Entry::default().decide(&[engine(3)], &leaving, 0), eq(Decision::Sent(0)));
}

/// Guards against engines that work on answers which their callers cannot wait for.
#[googletest::test]
fn a_request_is_not_sent_whose_answer_would_end_after_the_deadline() {
    let hurried = Caller { left_ms: 1_400, first_event_within_ms: 1_400, ..caller() };
    let decision = Entry::default().decide(&[engine(15)], &hurried, 0);
    expect_that!(decision, matches_pattern!(Decision::Refused { .. }));
    expect_that!(Entry::default().decide(&[engine(0)], &hurried, 0), eq(Decision::Sent(0)));
    let short = Caller { answer_tokens: 20.0, ..hurried };
    expect_that!(Entry::default().decide(&[engine(15)], &short, 0), eq(Decision::Sent(0)));
}

/// Guards against refusals of prompts that keep the promise to the streams beside them.
#[googletest::test]
fn streams_may_pause_for_as_long_as_promised() {
    let latency_model = LatencyModel::new(&figures::engine());
    let prefill_ms = latency_model.mean_prefill_ms();
    let unread_ms = |pause_ms: f64| {
        let pause_without_ms = latency_model.pause_ms(&engine(5), prefill_ms);
        pause_ms - pause_without_ms
    };
    let within = reading(unread_ms(0.98 * PAUSE_MAX_MS as f64));
    let beyond = reading(unread_ms(1.02 * PAUSE_MAX_MS as f64));
    expect_that!(Entry::default().decide(&[within], &caller(), 0), eq(Decision::Sent(0)));
    let decision = Entry::default().decide(&[beyond], &caller(), 0);
    expect_that!(decision, matches_pattern!(Decision::Refused { .. }));
}

/// Guards against an entry that sends nothing to an idle engine because answers were late, so that
/// no answer shows that it has recovered.
#[googletest::test]
fn late_answers_do_not_exclude_an_idle_engine() {
    let mut excess = forecast::ExcessDelay::default();
    (0..20).for_each(|answer| excess.record(100.0, 1_500.0, answer * 10));
    let slow = Candidate { excess_delay_ms: excess.current_ms(200), ..engine(0) };
    for left_ms in [1_500, 6_000] {
        let caller = Caller { left_ms, first_event_within_ms: left_ms.min(2_300), ..caller() };
        expect_that!(Entry::default().decide(&[slow], &caller, 200), eq(Decision::Sent(0)));
    }
}
