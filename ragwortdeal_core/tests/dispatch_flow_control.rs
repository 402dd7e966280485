//! What upstreams ask of entries in their answers.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::flow_control::{
    Answer, Change, FlowControl, Signals, share::Place,
};

const PLACE: Place = Place { rank: 0, entries: Some(1) };

fn answer(limit_per_s: Option<f64>, sent_at_ms: u64) -> Answer {
    let signals = Signals { limit_per_s, ..Signals::default() };
    Answer { signals, sent_at_ms, executed: true }
}

macro_rules! limits {
    ($($(#[$doc:meta])* $case:ident: $answers:expr => $held:expr, $changes:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let mut control = FlowControl::default();
            let mut changes = Vec::new();
            for (number, answer) in $answers.iter().enumerate() {
                changes = control.record_answer(answer, PLACE, 1_000 + number as u64 * 100);
            }
            expect_that!(control.limit_per_s(), eq($held));
            expect_that!(changes, eq(&$changes));
        }
    )*};
}

limits! {
    no_rate_is_held_before_one_is_named:
        [answer(None, 900)] => None, [];
    a_rate_is_held_once_it_is_named:
        [answer(Some(2.4), 900)] => Some(2.4), [Change::LimitNamed { per_s: 2.4 }];
    a_rate_named_again_changes_nothing:
        [answer(Some(2.4), 900), answer(Some(2.4), 950)] => Some(2.4), [];
    a_rate_that_falls_is_taken:
        [answer(Some(2.4), 900), answer(Some(0.5), 950)]
        => Some(0.5), [Change::LimitNamed { per_s: 0.5 }];
    a_rate_ends_with_an_answer_that_names_none:
        [answer(Some(2.4), 900), answer(None, 1_050)] => None, [Change::LimitEnded];
    /// Guards against a rate that is forgotten over an answer that was made before it was named.
    an_overtaken_answer_does_not_end_a_rate:
        [answer(Some(2.4), 900), answer(None, 950)] => Some(2.4), [];
    /// Guards against a rate that is forgotten over a refusal, which need not name it.
    a_refusal_does_not_end_a_rate:
        [answer(Some(2.4), 900), Answer { executed: false, ..answer(None, 1_050) }]
        => Some(2.4), [];
}

fn refusal(pause_ms: u64, sent_at_ms: u64) -> Answer {
    let signals = Signals { pause_ms: Some(pause_ms), ..Signals::default() };
    Answer { signals, sent_at_ms, executed: false }
}

macro_rules! pauses {
    ($($(#[$doc:meta])* $case:ident: $answers:expr => $left_ms:expr, $changes:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let mut control = FlowControl::default();
            let mut changes = Vec::new();
            let answers: Vec<(u64, Answer)> = $answers;
            for (now_ms, answer) in &answers {
                changes = control.record_answer(answer, PLACE, *now_ms);
            }
            let now_ms = answers.last().map_or(0, |(now_ms, _)| *now_ms);
            expect_that!(control.pause_left_ms(now_ms), eq($left_ms));
            expect_that!(changes, eq(&$changes));
        }
    )*};
}

pauses! {
    a_refusal_without_a_time_begins_no_pause:
        vec![(1_000, Answer { executed: false, ..answer(None, 900) })] => 0, [];
    a_refusal_with_a_time_begins_a_pause:
        vec![(1_000, refusal(3_000, 900))] => 3_000, [Change::PauseBegan { pause_ms: 3_000 }];
    a_second_refusal_prolongs_the_pause:
        vec![(1_000, refusal(3_000, 900)), (1_500, refusal(3_000, 950))] => 3_000, [];
    /// Guards against a pause that ends early because a later refusal asks for a shorter one.
    a_shorter_pause_does_not_end_a_longer_one:
        vec![(1_000, refusal(3_000, 900)), (1_500, refusal(100, 950))] => 2_500, [];
    /// Guards against a pause that ends with an answer that was on its way.
    an_answer_to_an_earlier_request_does_not_end_a_pause:
        vec![(1_000, refusal(3_000, 900)), (1_500, answer(None, 950))] => 2_500, [];
    a_request_that_is_executed_after_the_pause_ends_it:
        vec![(1_000, refusal(3_000, 900)), (4_200, answer(None, 4_100))]
        => 0, [Change::PauseEnded];
    a_new_refusal_after_the_pause_begins_another_one:
        vec![(1_000, refusal(3_000, 900)), (4_200, refusal(2_000, 4_100))]
        => 2_000, [Change::PauseBegan { pause_ms: 2_000 }];
}

/// Times at which requests may be sent, of those in steps of 100 ms.
fn sendable(control: &mut FlowControl, from_ms: u64, until_ms: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for now_ms in (from_ms..until_ms).step_by(100) {
        if control.may_send(now_ms) {
            control.record_sent(now_ms);
            sent.push(now_ms);
        }
    }
    sent
}

/// Guards against a flood of an upstream whose pause is over while it still has too much.
#[googletest::test]
fn after_a_pause_one_request_at_a_time_is_sent_until_one_is_executed() {
    let mut control = FlowControl::default();
    control.record_answer(&refusal(3_000, 900), PLACE, 1_000);
    expect_that!(sendable(&mut control, 1_000, 5_500), eq(&[4_000, 5_000]));
    control.record_answer(&refusal(500, 5_000), PLACE, 5_500);
    expect_that!(sendable(&mut control, 5_500, 6_100), eq(&[6_000]));
    control.record_answer(&answer(None, 6_000), PLACE, 6_100);
    expect_that!(sendable(&mut control, 6_100, 6_400), eq(&[6_100, 6_200, 6_300]));
}

/// Guards against a rate that hides a pause, or the other way round.
#[googletest::test]
fn the_later_of_a_rate_and_a_pause_decides() {
    let mut control = FlowControl::default();
    let signals = Signals { limit_per_s: Some(0.5), pause_ms: Some(1_000), leaving: false };
    let both = Answer { signals, sent_at_ms: 900, executed: false };
    control.record_answer(&both, PLACE, 1_000);
    expect_that!(control.may_send(2_000), eq(false));
    let mut paused = FlowControl::default();
    let signals = Signals { limit_per_s: Some(10.0), pause_ms: Some(9_000), leaving: false };
    paused.record_answer(&Answer { signals, ..both }, PLACE, 1_000);
    expect_that!(paused.may_send(9_900), eq(false));
    expect_that!(paused.takes_work_in_ms(1_000), eq(9_000));
}

/// Guards against an upstream that gets requests again over an answer without the word.
#[googletest::test]
fn an_upstream_that_leaves_does_so_whatever_later_answers_say() {
    let mut control = FlowControl::default();
    let signals = Signals { leaving: true, ..Signals::default() };
    let leaves = Answer { signals, sent_at_ms: 900, executed: false };
    expect_that!(control.record_answer(&leaves, PLACE, 1_000), eq(&[Change::Leaving]));
    expect_that!(control.record_answer(&leaves, PLACE, 1_100), is_empty());
    control.record_answer(&answer(None, 1_200), PLACE, 1_300);
    expect_that!(control.is_leaving(), eq(true));
}
