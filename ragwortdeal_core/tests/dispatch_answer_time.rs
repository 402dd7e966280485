//! When the answer of a plain service is overdue.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::answer_time::AnswerTime;

const CHECK_INTERVAL_MS: u64 = 100;

fn checks_after(times_ms: &[u64]) -> u32 {
    let mut time = AnswerTime::default();
    times_ms.iter().for_each(|&took_ms| time.record(took_ms));
    time.silent_checks_max(CHECK_INTERVAL_MS)
}

/// A lost packet is sent again after 200 ms. A service that answers in 30 ms must not count as
/// silent for it.
#[googletest::test]
fn a_fast_service_may_lose_a_packet() {
    expect_that!(checks_after(&[]), eq(4));
    expect_that!(checks_after(&[30; 20]), eq(4));
}

/// A service is overloaded and takes a quarter of a second. Its answers must not be given up.
#[googletest::test]
fn a_slow_service_has_more_time() {
    expect_that!(checks_after(&[30, 250, 30]), ge(9));
    expect_that!(checks_after(&[5_000]), eq(15));
}

/// After an overload a hung machine must be found as fast as before.
#[googletest::test]
fn a_slow_time_is_forgotten() {
    let mut times_ms = vec![2_000];
    times_ms.extend([30; 100]);
    expect_that!(checks_after(&times_ms), eq(4));
}
