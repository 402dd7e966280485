//! What upstreams ask of entries in their answers.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::flow_control::{
    Answer, Change, FlowControl, Signals, rate_limit::Seat,
};

const SEAT: Seat = Seat { rank: 0, entries: Some(1) };

fn answer(limit_per_s: Option<f64>, sent_at_ms: u64) -> Answer {
    Answer { signals: Signals { limit_per_s }, sent_at_ms, executed: true }
}

macro_rules! limits {
    ($($(#[$doc:meta])* $case:ident: $answers:expr => $held:expr, $change:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let mut control = FlowControl::default();
            let mut change = None;
            for (number, answer) in $answers.iter().enumerate() {
                change = control.record_answer(answer, SEAT, 1_000 + number as u64 * 100);
            }
            expect_that!(control.limit_per_s(), eq($held));
            expect_that!(change, eq($change));
        }
    )*};
}

limits! {
    no_rate_is_held_before_one_is_named:
        [answer(None, 900)] => None, None;
    a_rate_is_held_once_it_is_named:
        [answer(Some(2.4), 900)] => Some(2.4), Some(Change::LimitNamed { per_s: 2.4 });
    a_rate_named_again_changes_nothing:
        [answer(Some(2.4), 900), answer(Some(2.4), 950)] => Some(2.4), None;
    a_rate_that_falls_is_taken:
        [answer(Some(2.4), 900), answer(Some(0.5), 950)]
        => Some(0.5), Some(Change::LimitNamed { per_s: 0.5 });
    a_rate_ends_with_an_answer_that_names_none:
        [answer(Some(2.4), 900), answer(None, 1_050)] => None, Some(Change::LimitEnded);
    /// Guards against a rate that is forgotten over an answer that was made before it was named.
    an_overtaken_answer_does_not_end_a_rate:
        [answer(Some(2.4), 900), answer(None, 950)] => Some(2.4), None;
    /// Guards against a rate that is forgotten over a refusal, which need not name it.
    a_refusal_does_not_end_a_rate:
        [answer(Some(2.4), 900), Answer { executed: false, ..answer(None, 1_050) }]
        => Some(2.4), None;
}
