//! Delays before callers of refused requests retry.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::retry_after::{self, Room};

const DRAWS: std::ops::Range<u64> = 0..5_000;

fn delays(room: Option<Room>, remaining_ms: u64) -> collections::BTreeSet<u64> {
    let delay = |draw| match room {
        Some(room) => room.retry_after_ms(remaining_ms, draw),
        None => retry_after::unknown_ms(remaining_ms, draw),
    };
    DRAWS.map(delay).collect()
}

macro_rules! delays_within {
    ($($(#[$guards:meta])* $name:ident: $room:expr, $remaining_ms:expr => $first:expr, $last:expr;)*) => {
        $(
            $(#[$guards])*
            #[googletest::test]
            fn $name() {
                let delays = delays($room, $remaining_ms);
                expect_that!(delays.first(), some(eq(&$first)));
                expect_that!(delays.last(), some(eq(&$last)));
            }
        )*
    };
}

const SOON: Room = Room { in_ms: 300.0, spread_ms: 800.0 };

delays_within! {
    retries_come_when_there_is_room: Some(SOON), 6_000 => 300, 1_100;
    /// Guards against delays that take the time for the answer.
    retries_leave_two_thirds_of_the_time: Some(SOON), 2_400 => 300, 800;
    a_caller_with_little_time_returns_earlier: Some(SOON), 600 => 200, 200;
    /// Guards against a retry that is decided on the same knowledge.
    retries_wait_for_news: Some(Room::default()), 6_000 => 100, 100;
    a_caller_without_time_is_told_none: Some(SOON), 2 => 0, 0;
    /// Guards against one delay for all callers, which was longer than some of them wait.
    an_outage_of_unknown_length_leaves_time_for_the_answer: None, 600 => 100, 200;
    patient_callers_sit_out_longer_outages: None, 6_000 => 1_000, 2_000;
}
