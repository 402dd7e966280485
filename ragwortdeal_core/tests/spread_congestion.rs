//! How much an instance sends and requests while its link becomes narrow.

use googletest::prelude::*;
use ragwortdeal_core::spread::congestion;

/// Time of a chunk on an uncongested link.
const CHUNK_MS: f64 = 42.0;

/// A link drops to an eighth of its rate while new weights are distributed. If chunks continued to
/// fill it, callers of the engine behind it would wait for seconds.
#[googletest::test]
fn a_link_that_becomes_narrow_is_left_to_callers() {
    let mut congestion = congestion::CongestionControl::new(CHUNK_MS, 2);
    expect_that!(congestion.rate_share(), eq(1.0));
    expect_that!(congestion.window(), eq(2));
    (0..4).for_each(|_| congestion.on_sent(340));
    expect_that!(congestion.rate_share(), le(0.125));
    (0..2).for_each(|_| congestion.on_received(340));
    expect_that!(congestion.window(), eq(1));
}

/// One peer behind a narrow link receives and sends chunks slowly. If every instance that exchanges
/// chunks with it slowed down, one link would delay the whole distribution.
#[googletest::test]
fn one_slow_peer_does_not_slow_down_others() {
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

/// The link recovers. An instance that stayed slow would be the last one on the old weights.
#[googletest::test]
fn a_link_that_recovers_is_fully_used_again() {
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
fn a_busy_link_is_not_a_narrow_one() {
    let mut congestion = congestion::CongestionControl::new(CHUNK_MS, 2);
    (0..9).for_each(|_| congestion.on_sent(200));
    (0..9).for_each(|_| congestion.on_received(200));
    expect_that!(congestion.rate_share(), eq(1.0));
    expect_that!(congestion.window(), eq(2));
}

#[googletest::test]
fn nothing_counts_as_slow_if_the_link_rate_is_unknown() {
    let mut congestion = congestion::CongestionControl::new(0.0, 2);
    (0..9).for_each(|_| congestion.on_sent(5_000));
    expect_that!(congestion.rate_share(), eq(1.0));
}
