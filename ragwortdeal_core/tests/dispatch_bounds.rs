//! What a refusal tells of the bounds that were exceeded.

mod figures;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    bounds::Refused,
    caller_time::CallerTime,
    choice::Candidate,
    forecast::LatencyModel,
    gate::{Gate, Work},
    size::Size,
};

fn engine(open: u32) -> Candidate {
    Candidate { open, slots: 16, same_zone: true, ..Candidate::default() }
}

fn explain(engines: &[Candidate], time: CallerTime) -> Refused {
    let work = Work {
        latency_model: LatencyModel::new(&figures::engine()),
        time,
        pause_max_ms: 300,
        prefill_ms: 32.0,
        answer_tokens: 119.0,
        admitted: false,
        class: None,
    };
    Gate::default().explain(engines, &work, 0)
}

/// Guards against refusals that do not tell whether engines were full or an estimate decided.
#[googletest::test]
fn each_bound_is_counted_by_itself() {
    let reading = Candidate { prefill_ms: 400.0, ..engine(5) };
    let engines = [engine(0), engine(24), reading];
    let short = explain(&engines, CallerTime { first_event_ms: 2_000.0, answer_ms: 500.0 });
    expect_that!((short.engines, short.with_slot), eq((3, 2)));
    expect_that!((short.by_answer, short.by_first_event), eq((3, 0)));
    expect_that!((short.by_pause, short.by_queue), eq((1, 0)));
    let hasty = explain(&engines, CallerTime { first_event_ms: 200.0, answer_ms: 6_000.0 });
    expect_that!((hasty.by_answer, hasty.by_first_event), eq((0, 2)));
}

#[googletest::test]
fn sizes_are_told_by_the_prompt() {
    let model = LatencyModel::new(&figures::engine());
    let size = |factor| model.size(model.mean_prefill_ms() * factor);
    expect_that!([0.5, 1.5, 2.5].map(size), eq([Size::Small, Size::Medium, Size::Large]));
}
