//! Orders that may still be accepted, and what settles them.

use googletest::prelude::*;
use ragwortdeal_core::orders::outstanding::{Answer, End, OrderBook, OrderCount};

/// What comes back from the engine, in order, after the first order, which expects a count of 3.
enum Step {
    /// The answer to what was sent last.
    Answered(Option<u16>),
    /// The order is sent once more.
    Repeat,
    /// A report with this start, this count, and whether an order is being carried out.
    Report(u64, u64, bool),
}

use Step::{Answered, Repeat, Report};

const BORN_MS: u64 = 1_000;

fn count(born_ms: u64, accepted: u64) -> OrderCount {
    OrderCount { born_ms, accepted }
}

/// How the order ended, if it is settled. Checks that nothing is permitted while it is not.
fn after(steps: &[Step]) -> Option<End> {
    let mut orders = OrderBook::default();
    let (settled, _) = orders.report(count(BORN_MS, 3), false);
    let settled = settled.expect("nothing is outstanding at first");
    assert_eq!(orders.give(settled, "order", 0), Some(count(BORN_MS, 3)));
    let mut end = None;
    for step in steps {
        let ended = match *step {
            Answered(status) => orders.answer(Answer::of_status(status)),
            Repeat => {
                assert_eq!(orders.repeat().map(|(_, expected)| expected), Some(count(BORN_MS, 3)));
                None
            }
            Report(born_ms, accepted, busy) => {
                let (settled, ended) = orders.report(count(born_ms, accepted), busy);
                let open = end.is_none() && ended.is_none();
                assert_eq!(settled.is_none(), open, "permission while it may be accepted");
                ended
            }
        };
        end = end.or(ended.map(|ended| ended.end));
    }
    end
}

macro_rules! orders {
    ($($case:ident: [$($step:expr),*], $end:expr;)*) => {$(
        #[googletest::test]
        fn $case() {
            expect_that!(after(&[$($step),*]), eq($end));
        }
    )*};
}

orders! {
    an_answer_settles_an_order:
        [Answered(Some(202)), Report(BORN_MS, 4, true)], Some(End::Accepted);
    a_refusal_settles_an_order: [Answered(Some(409)), Report(BORN_MS, 3, false)], Some(End::Refused);
    // Guards against an order that is taken as one that will not happen, as it got no answer.
    an_unanswered_order_is_outstanding:
        [Answered(None), Report(BORN_MS, 3, false), Report(BORN_MS, 3, false)], None;
    a_failure_of_the_engine_leaves_it_outstanding:
        [Answered(Some(503)), Report(BORN_MS, 3, false)], None;
    the_count_shows_that_it_was_accepted_late:
        [Answered(None), Report(BORN_MS, 3, false), Report(BORN_MS, 4, true)], Some(End::Accepted);
    a_repeat_that_is_accepted_settles_both:
        [Answered(None), Repeat, Answered(Some(202))], Some(End::Accepted);
    // Guards against a repeat that is refused because the order itself has just been accepted.
    a_repeat_that_is_refused_waits_for_the_count:
        [Answered(None), Repeat, Answered(Some(409)), Report(BORN_MS, 4, false)],
        Some(End::Accepted);
    a_repeat_that_is_refused_at_the_same_count_settles_both:
        [Answered(None), Repeat, Answered(Some(409)), Report(BORN_MS, 3, false)],
        Some(End::Refused);
    // Guards against a refusal that only tells that the engine carries out an earlier order.
    a_refusal_by_a_busy_engine_settles_nothing:
        [Answered(None), Repeat, Answered(Some(409)), Report(BORN_MS, 3, true)], None;
    // Guards against a refusal for being busy that is taken for one of the order once it is idle.
    a_refusal_by_a_busy_engine_settles_nothing_once_it_is_idle:
        [Answered(None), Repeat, Answered(Some(409)), Report(BORN_MS, 3, true), Report(BORN_MS, 3, false)],
        None;
    a_later_repeat_forgets_the_refusal_of_an_earlier_one:
        [Answered(None), Repeat, Answered(Some(409)), Repeat, Answered(None), Report(BORN_MS, 3, false)],
        None;
    a_lower_count_shows_that_the_engine_started_again:
        [Answered(None), Report(0, 0, false)], Some(End::EngineRestarted);
    another_start_shows_that_the_engine_started_again:
        [Answered(None), Report(BORN_MS + 1, 3, false)], Some(End::EngineRestarted);
    an_unknown_start_shows_nothing: [Answered(None), Report(0, 3, false)], None;
}

/// Guards against a permission that outlives the next order.
#[googletest::test]
fn a_second_permission_gives_no_second_order() {
    let mut orders = OrderBook::default();
    let (first, _) = orders.report(count(BORN_MS, 3), false);
    let (second, _) = orders.report(count(BORN_MS, 3), false);
    let mut give =
        |settled: Option<_>, order| orders.give(settled.expect("nothing is outstanding"), order, 0);
    expect_that!(give(first, "one"), some(eq(count(BORN_MS, 3))));
    expect_that!(give(second, "another"), none());
    expect_that!(orders.repeat().map(|(order, _)| order), some(eq("one")));
}
