//! Requests to engines whose work takes longer than their document says.

mod figures;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    caller_time::CallerTime,
    choice::Candidate,
    forecast::LatencyModel,
    gate::{Gate, Work},
    pace::{Factor, Pace, ServiceMean},
};

/// Upper bound that all callers tell, about three times the mean answer.
const TOLD_TOKENS: f64 = 360.0;

/// Engines that have reported this pace for a while.
fn engines(pace: f64, open: u32) -> Vec<Candidate> {
    let (mut reported, mut mean) = (Pace::default(), ServiceMean::default());
    (0..1_000).for_each(|at| reported.record(Factor::new(pace).unwrap(), at * 100, &mut mean));
    let pace = reported.expected(&mean, 100_000);
    vec![Candidate { open, slots: 16, same_zone: true, pace, ..Candidate::default() }; 12]
}

fn work(prefill_ms: f64) -> Work<'static> {
    Work {
        latency_model: LatencyModel::new(&figures::engine()),
        time: CallerTime { first_event_ms: 2_000.0, answer_ms: 6_000.0 },
        pause_max_ms: 300,
        prefill_ms,
        answer_tokens: TOLD_TOKENS,
        admitted: false,
        class: None,
    }
}

/// Whether a request is sent, after others of the same callers.
fn is_sent(engines: &[Candidate], prefill_ms: f64) -> bool {
    let mut gate = Gate::default();
    let small = work(10.0);
    (0..200).for_each(|_| _ = gate.choose(engines, &small, 0, 0));
    gate.choose(engines, &work(prefill_ms), 0, 0).is_ok()
}

macro_rules! sent {
    ($($(#[$guards:meta])* $name:ident:
        $prefill_ms:expr, $pace:expr, $open:expr => $sent:expr;)*) => {
        $(
            $(#[$guards])*
            #[googletest::test]
            fn $name() {
                expect_that!(is_sent(&engines($pace, $open), $prefill_ms), eq($sent));
            }
        )*
    };
}

sent! {
    /// Guards against refusals for the time of the longest answer, which hardly any request gets.
    a_mean_prompt_goes_to_engines_of_twice_the_time_with_free_slots: 32.0, 2.0, 8 => true;
    a_mean_prompt_goes_to_engines_of_three_times_the_time_with_free_slots: 32.0, 3.0, 2 => true;
    /// Guards against large prompts that are refused for pauses of streams which are slow anyway.
    a_large_prompt_goes_to_engines_of_twice_the_time: 130.0, 2.0, 2 => true;
    a_large_prompt_goes_to_engines_of_three_times_the_time: 130.0, 3.0, 2 => true;
    /// Guards against prompts that alone exceed the promise and are refused wherever a stream runs.
    a_prompt_beyond_the_promise_goes_to_an_engine_that_reads_no_other: 290.0, 1.0, 2 => true;
    /// Guards against engines that are never tried, so that no answer shows that they are quicker.
    a_mean_prompt_goes_to_idle_engines_that_report_an_implausible_time: 32.0, 9.0, 0 => true;
    /// Guards against long answers that are cut because requests waited for a slot.
    no_request_waits_where_the_longest_answer_would_be_late: 32.0, 2.0, 20 => false;
}

/// Guards against slow engines that get prompts while others keep the promise on pauses.
#[googletest::test]
fn engines_that_keep_the_promise_on_pauses_go_first() {
    let engines = [engines(3.0, 2)[0], Candidate { open: 12, ..engines(1.0, 2)[0] }];
    let chosen = Gate::default().choose(&engines, &work(130.0), 0, 0);
    expect_that!(chosen.map(|it| it.engine), eq(Ok(1)));
}
