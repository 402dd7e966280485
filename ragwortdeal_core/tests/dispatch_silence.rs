//! Detection of silent upstreams.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    backlog::Backlog,
    silence::{
        Change, Due, Observation, SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX, SILENT_CHECKS_MAX,
        SILENT_CHECKS_SLOW_MAX, SilenceDetector,
    },
};

const SILENT: Observation =
    Observation { sent_data: false, others_sent_data: true, due: Some(Due::NextEvent), pace: 1.0 };

fn observe(silence: &mut SilenceDetector, observation: Observation, count: u32) -> Vec<Change> {
    (0..count).filter_map(|_| silence.observe(observation)).collect()
}

/// A machine hangs in the middle of its streams. The requests waiting there must be taken back
/// once, and again for those that arrived later.
#[googletest::test]
fn an_upstream_without_due_data_becomes_silent() {
    let mut silence = SilenceDetector::default();
    expect_that!(observe(&mut silence, SILENT, SILENT_CHECKS_MAX - 1), is_empty());
    expect_that!(silence.is_silent(), eq(false));
    expect_that!(silence.observe(SILENT), some(eq(Change::Silent)));
    expect_that!(silence.is_silent(), eq(true));
    expect_that!(
        observe(&mut silence, SILENT, SILENT_CHECKS_MAX),
        elements_are![eq(&Change::Silent)]
    );
    let recovered = Observation { sent_data: true, ..SILENT };
    expect_that!(silence.observe(recovered), some(eq(Change::Recovered)));
    expect_that!(silence.observe(recovered), none());
    expect_that!(silence.is_silent(), eq(false));
}

/// An engine reads large prompts between two events, or its packets are lost and sent again.
/// Streams that were moved elsewhere would repeat their prefill for nothing.
#[googletest::test]
fn data_in_time_resets_the_count() {
    let mut silence = SilenceDetector::default();
    for _ in 0..20 {
        expect_that!(observe(&mut silence, SILENT, SILENT_CHECKS_MAX - 1), is_empty());
        expect_that!(silence.observe(Observation { sent_data: true, ..SILENT }), none());
    }
}

/// The entry itself was hung, or lost its link. All upstreams seem silent to it, and taking all
/// requests back would send all of them twice.
#[googletest::test]
fn silence_of_all_upstreams_is_ignored() {
    let mut silence = SilenceDetector::default();
    let all_silent = Observation { others_sent_data: false, ..SILENT };
    expect_that!(observe(&mut silence, all_silent, 100), is_empty());
    expect_that!(silence.is_silent(), eq(false));
}

/// A machine hangs while all requests of an entry wait for their first event. The limit is higher
/// than within a stream, as the engine may be reading prompts of other entries.
#[googletest::test]
fn the_limit_is_higher_before_the_first_event() {
    let mut silence = SilenceDetector::default();
    let not_started = Observation { due: Some(Due::FirstEvent), ..SILENT };
    expect_that!(
        observe(&mut silence, not_started, SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX - 1),
        is_empty()
    );
    expect_that!(silence.observe(not_started), some(eq(Change::Silent)));
}

#[googletest::test]
fn an_upstream_that_owes_nothing_is_not_silent() {
    let mut silence = SilenceDetector::default();
    let idle = Observation { due: None, ..SILENT };
    expect_that!(observe(&mut silence, idle, 100), is_empty());
    observe(&mut silence, SILENT, SILENT_CHECKS_MAX - 1);
    expect_that!(silence.observe(idle), none());
    expect_that!(observe(&mut silence, SILENT, SILENT_CHECKS_MAX - 1), is_empty());
}

/// The machine of a plain service hangs. Its answers have no events, so only a whole answer that is
/// overdue shows it.
#[googletest::test]
fn an_upstream_without_a_due_answer_becomes_silent() {
    let mut silence = SilenceDetector::default();
    let due = Some(Due::Answer { silent_checks_max: 6 });
    let waiting = Observation { due, ..SILENT };
    expect_that!(observe(&mut silence, waiting, 5), is_empty());
    expect_that!(silence.observe(waiting), some(eq(Change::Silent)));
}

/// Guards against engines that are taken for silent because an entry's only request there waits
/// behind those of other entries, as was forecast when it was sent.
#[googletest::test]
fn a_first_event_is_due_when_it_was_forecast() {
    let mut backlog = Backlog::default();
    backlog.open_request(40.0);
    backlog.expect_first_event(2_000);
    expect_that!(backlog.is_first_event_due(1_999), eq(false));
    expect_that!(backlog.is_first_event_due(2_000), eq(true));
    backlog.open_request(40.0);
    backlog.expect_first_event(2_500);
    expect_that!(backlog.is_first_event_due(2_000), eq(true));
    backlog.prefill_done(40.0);
    backlog.prefill_done(40.0);
    backlog.open_request(40.0);
    backlog.expect_first_event(3_000);
    expect_that!(backlog.is_first_event_due(2_600), eq(false));
}

macro_rules! checks_of_a_slow_engine {
    ($($name:ident: $due:expr, $pace:expr => $checks:expr;)*) => {
        $(
            /// Guards against requests that are taken back from engines which are slow, not silent.
            #[googletest::test]
            fn $name() {
                let mut silence = SilenceDetector::default();
                let slow = Observation { due: Some($due), pace: $pace, ..SILENT };
                expect_that!(observe(&mut silence, slow, $checks - 1), is_empty());
                expect_that!(silence.observe(slow), some(eq(Change::Silent)));
            }
        )*
    };
}

checks_of_a_slow_engine! {
    an_engine_of_twice_the_time_has_twice_the_checks: Due::NextEvent, 2.0 => 2 * SILENT_CHECKS_MAX;
    callers_do_not_wait_for_an_engine_of_nine_times_the_time:
        Due::NextEvent, 9.0 => SILENT_CHECKS_SLOW_MAX;
    a_first_event_of_twice_the_time_is_due_before_its_caller_leaves:
        Due::FirstEvent, 2.0 => SILENT_CHECKS_SLOW_MAX;
    a_quick_engine_has_the_usual_checks: Due::NextEvent, 0.5 => SILENT_CHECKS_MAX;
}
