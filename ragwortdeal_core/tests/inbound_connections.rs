//! Which connections give way where there are too many, and how many there may be.

use googletest::prelude::*;
use ragwortdeal_core::inbound::{
    capacity::Capacity,
    connections::{Phase, choose_to_close},
};

/// Names each case: connections as phase and milliseconds in it, and the index of the one to close.
macro_rules! gives_way {
    ($($(#[$doc:meta])* $name:ident: [$(($phase:ident, $phase_ms:expr)),*], $closed:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $name() {
            let connections = [$((Phase::$phase, $phase_ms)),*];
            let keyed = connections.iter().enumerate().map(|(key, &(phase, ms))| (key, phase, ms));
            expect_that!(choose_to_close(keyed), eq($closed));
        }
    )*};
}

gives_way! {
    /// Guards against connections that send nothing and keep others out.
    the_longest_silent_one_goes_first: [(Idle, 9_000), (Silent, 10), (Silent, 800)], Some(2);
    /// Guards against unfinished heads that outlast kept connections of ordinary callers.
    a_late_head_goes_before_a_kept_connection: [(Idle, 9_000), (Head, 1_500)], Some(1);
    /// Guards against a request that is cut off while its head arrives.
    a_kept_connection_goes_before_a_fresh_head: [(Head, 200), (Idle, 10)], Some(1);
    /// Guards against refused clients that keep others out.
    a_draining_one_goes_before_a_kept_one: [(Idle, 9_000), (Draining, 5)], Some(1);
    /// Guards against callers who take no answer and keep others out.
    an_answer_that_is_not_taken_goes_last: [(Working, 60_000), (AnswerBlocked, 5_000)], Some(1);
    /// Guards against requests that are cut off for new connections.
    those_at_work_are_kept: [(Working, 60_000), (AnswerBlocked, 4_000)], None;
}

const ENTRY: Capacity = Capacity {
    process_bytes: 390 << 20,
    body_percent: 25,
    connection_percent: 35,
    descriptors: 6_300,
    receive_buffer_bytes: 32 << 10,
};

/// Guards against connections whose heads and unread bytes take more than their part.
#[googletest::test]
fn connections_fit_into_their_memory() {
    for head_max_bytes in [8 << 10, 20 << 10, 128 << 10] {
        let connections = ENTRY.connections_max(head_max_bytes);
        let each_bytes = 2 * head_max_bytes + ENTRY.receive_buffer_bytes;
        expect_that!(connections * each_bytes, le(ENTRY.process_bytes * 35 / 100));
    }
}

/// Guards against callers who take the descriptors that their requests need towards upstreams.
#[googletest::test]
fn callers_leave_descriptors_for_upstreams() {
    for descriptors in [400, 2_048, 6_300] {
        let capacity = Capacity { process_bytes: 64 << 30, descriptors, ..ENTRY };
        let connections = capacity.connections_max(20 << 10);
        expect_that!(2 * connections, lt(descriptors));
        expect_that!(connections, ge(descriptors / 3));
    }
}

/// Guards against parts for bodies and connections that leave nothing for the process itself.
#[googletest::test]
fn a_small_process_still_serves() {
    let capacity = Capacity { process_bytes: 16 << 20, descriptors: 64, ..ENTRY };
    expect_that!(capacity.body_bytes(), ge(1 << 20));
    expect_that!(capacity.connections_max(20 << 10), ge(16));
}
