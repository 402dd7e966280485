//! Requests that arrive late in the grace of a planned stop.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::planned_stop::{Candidate, admits};

macro_rules! late_in_the_grace {
    ($($(#[$doc:meta])* $case:ident: $remaining_ms:expr, $first_event_ms:expr, rest $rest_ms:expr => $expected:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let (remaining_ms, first_event_ms) = ($remaining_ms, $first_event_ms);
            let candidate = Candidate { remaining_ms, first_event_ms };
            expect_that!(admits(candidate, $rest_ms), eq($expected));
        }
    )*};
}

late_in_the_grace! {
    /// Its answer may come at any time up to its deadline, after the process has ended.
    an_operation_that_may_outlast_the_process_is_refused: 2_500, None, rest 2_000 => false;
    an_operation_that_ends_before_the_process_is_passed_on: 2_500, None, rest 3_000 => true;
    /// Most streams are complete long before their timeout. To refuse them all would turn callers
    /// away as soon as the stop begins.
    a_stream_that_begins_before_the_process_ends_is_passed_on: 6_000, Some(2_400), rest 3_000 => true;
    a_stream_that_may_begin_after_the_end_is_refused: 6_000, Some(2_400), rest 2_000 => false;
    a_request_with_little_time_left_is_passed_on: 100, Some(2_400), rest 200 => true;
}
