//! What an instance sends and asks for while its link turns narrow.

use googletest::prelude::*;
use ragwortdeal_core::spread::congestion;

/// A chunk on a free link.
const CHUNK_MS: f64 = 42.0;

/// A link falls to an eighth of its rate while new weights spread. Callers of the engine behind it
/// wait for seconds where chunks go on to fill it.
#[googletest::test]
fn a_link_that_turns_narrow_is_left_to_callers() {
    let mut congestion = congestion::CongestionControl::new(CHUNK_MS, 2);
    expect_that!(congestion.rate_share(), eq(1.0));
    expect_that!(congestion.window(), eq(2));
    (0..4).for_each(|_| congestion.on_sent(340));
    expect_that!(congestion.rate_share(), le(0.125));
    (0..2).for_each(|_| congestion.on_received(340));
    expect_that!(congestion.window(), eq(1));
}

/// One peer behind a narrow link takes and gives chunks slowly. Were all who deal with it to slow
/// down, one link would hold up the whole spread.
#[googletest::test]
fn one_slow_peer_slows_nobody_else_down() {
    let mut congestion = congestion::CongestionControl::new(CHUNK_MS, 2);
    for _ in 0..9 {
        congestion.on_sent(900);
        congestion.on_sent(60);
        congestion.on_received(900);
        congestion.on_received(60);
    }
    expect_that!(congestion.rate_share(), eq(1.0));
    expect_that!(congestion.window(), eq(2));
}

/// The link is wide again. An instance that stayed slow would be the last one on the old weights.
#[googletest::test]
fn a_link_that_is_wide_again_is_used_again() {
    let mut congestion = congestion::CongestionControl::new(CHUNK_MS, 2);
    (0..20).for_each(|_| congestion.on_sent(900));
    (0..20).for_each(|_| congestion.on_received(900));
    expect_that!(congestion.rate_share(), gt(0.05));
    (0..40).for_each(|_| congestion.on_sent(50));
    (0..4).for_each(|_| congestion.on_received(50));
    expect_that!(congestion.rate_share(), eq(1.0));
    expect_that!(congestion.window(), eq(2));
}

#[googletest::test]
fn a_busy_but_free_link_is_no_narrow_one() {
    let mut congestion = congestion::CongestionControl::new(CHUNK_MS, 2);
    (0..9).for_each(|_| congestion.on_sent(200));
    (0..9).for_each(|_| congestion.on_received(200));
    expect_that!(congestion.rate_share(), eq(1.0));
    expect_that!(congestion.window(), eq(2));
}

#[googletest::test]
fn nothing_counts_as_slow_where_the_link_is_not_told() {
    let mut congestion = congestion::CongestionControl::new(0.0, 2);
    (0..9).for_each(|_| congestion.on_sent(5_000));
    expect_that!(congestion.rate_share(), eq(1.0));
}
