//! The clock of fetches from the origin.

use googletest::prelude::*;
use ragwortdeal_core::spread::fetch_clock::FetchClock;

fn started(at_ms: u64) -> FetchClock {
    let mut clock = FetchClock::default();
    clock.start(at_ms);
    clock
}

#[googletest::test]
fn it_runs_from_its_start() {
    let mut clock = started(100);
    clock.start(900);
    expect_that!((clock.is_started(99), clock.is_started(100)), eq((false, true)));
    expect_that!((clock.elapsed_ms(50), clock.elapsed_ms(350)), eq((0, 250)));
    expect_that!(FetchClock::default().is_started(1_000_000), eq(false));
}

/// Guards against all fetches being due at once when the origin returns.
#[googletest::test]
fn it_nearly_stands_still_while_the_origin_fails() {
    let mut clock = started(0);
    clock.hold(400, 1_000);
    expect_that!(clock.elapsed_ms(1_000), eq(400));
    expect_that!(clock.elapsed_ms(7_000), le(800));
    // Further failures do not set it back.
    clock.hold(0, 7_000);
    expect_that!(clock.elapsed_ms(7_000), ge(400));
    clock.resume(500, 7_000);
    let resumed_ms = clock.elapsed_ms(7_000);
    expect_that!(resumed_ms, ge(500));
    expect_that!(clock.elapsed_ms(8_000), eq(resumed_ms + 1_000));
}

/// Guards against an origin that is idle because one instance learnt late that it is back.
#[googletest::test]
fn it_catches_up_with_what_has_left_the_origin() {
    let mut clock = started(0);
    clock.hold(0, 10);
    clock.resume(2_000, 500);
    expect_that!(clock.elapsed_ms(500), eq(2_000));
}
