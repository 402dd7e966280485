//! An origin that is lost while versions are distributed, and returns.

#[path = "spread/model.rs"]
mod model;

use googletest::prelude::*;
use ragwortdeal_core::spread::limits;

/// 99 instances in three regions, an origin as slow as each machine's link, chunks of half a usual
/// size.
fn small_chunks(seed: u64) -> model::Setup {
    let mut setup = model::Setup::new(99, 96);
    (setup.regions, setup.chunk_ms, setup.tick_ms, setup.seed) = (3, 27, 40, seed);
    setup.start_within_ms = Some(150);
    setup.faults.origin_connections_max = 48;
    let times = limits::ChunkTimes { origin_ms: 26.9, machine_ms: 26.9 };
    let limits = limits::Limits::for_bursts(&times, 60);
    setup.limits = limits::Limits { region_copies: 7.1, ..limits };
    setup
}

fn origin_copies(setup: &model::Setup, outcome: &model::Outcome) -> f64 {
    outcome.origin_chunks as f64 / f64::from(setup.chunks)
}

macro_rules! lost_origin {
    ($($(#[$doc:meta])* $case:ident: from $from_ms:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            const RETURN_MS: u64 = 5_500;
            for seed in 1..=3 {
                let mut setup = small_chunks(seed);
                setup.faults.origin_lost_ms = Some(($from_ms, RETURN_MS));
                let outcome = model::run(setup.clone());
                let time_ms = outcome.time_ms(&[]).expect("an instance never got the version");
                let last_first_ms = outcome.first_held_ms.values().max().copied().unwrap_or(u64::MAX);
                // What was left when the origin was lost, over its link, a connect that times out,
                // and a quarter of a copy.
                let copy_ms = f64::from(setup.chunks) * setup.origin_chunk_ms();
                let left_ms = copy_ms - $from_ms as f64;
                let by_ms = RETURN_MS as f64 + left_ms.max(0.0) + 700.0 + copy_ms / 4.0;
                expect_that!(last_first_ms as f64, le(by_ms), "seed {seed}");
                expect_that!(origin_copies(&setup, &outcome), le(1.5), "seed {seed}");
                let spread_ms = setup.bound_ms() - copy_ms;
                expect_that!(time_ms as f64, le(by_ms + spread_ms + copy_ms / 2.0), "seed {seed}");
            }
        }
    )*};
}

lost_origin! {
    /// Guards against an origin whose link carries three copies at once when it returns, because by
    /// then each chunk's owner and all that act for it are due.
    an_origin_that_is_lost_at_the_naming_sends_each_chunk_once_first: from 100;
    /// Guards against a version that lacks its last chunks for longer than the origin was away.
    an_origin_that_is_lost_before_the_last_chunks_sends_them_at_once: from 2_400;
}

/// Chunks of 32 KiB over links of 7.6 Mbit/s, of which uploads may use four fifths, with the delays
/// of processes that are busy with calls.
fn busy_links(instances: usize, origin_ms: f64, seed: u64) -> model::Setup {
    let mut setup = small_chunks(seed);
    (setup.instances, setup.chunks, setup.chunk_ms) = (instances, 64, 34);
    (setup.upload_share, setup.delay_ms) = (0.8, 5.0);
    let times = limits::ChunkTimes { origin_ms, machine_ms: 34.5 };
    let limits = limits::Limits::for_bursts(&times, 60);
    setup.limits = limits::Limits { region_copies: 6.6, ..limits };
    setup
}

/// A copy over the slower of the origin's link and an instance's uploads, and the doublings of the
/// first chunk.
fn floor_ms(setup: &model::Setup) -> f64 {
    let upload_ms = setup.chunk_ms as f64 / setup.upload_share;
    let doublings = (setup.instances as f64).log2().ceil() + 1.0;
    f64::from(setup.chunks) * setup.origin_chunk_ms().max(upload_ms) + doublings * upload_ms
}

macro_rules! busy_links {
    ($($(#[$doc:meta])* $case:ident: $instances:expr, origin $origin_ms:expr,
        manifests within $within_ms:expr, lost $lost:expr, back at $back_ms:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            for seed in 1..=3 {
                let mut setup = busy_links($instances, $origin_ms, seed);
                setup.start_within_ms = Some($within_ms);
                setup.faults.origin_lost_ms = $lost;
                let outcome = model::run(setup.clone());
                let time_ms = outcome.time_ms(&[]).expect("an instance never got the version");
                let by_ms = ($back_ms + setup.limits.settle_ms) as f64 + 1.3 * floor_ms(&setup);
                expect_that!(time_ms as f64, le(by_ms), "seed {seed}");
                expect_that!(origin_copies(&setup, &outcome), le(1.5), "seed {seed}");
            }
        }
    )*};
}

busy_links! {
    /// Guards against uploads that are idle between two chunks: an upload slot waits for the next
    /// request for as long as a message and a turn of the receiver take.
    a_version_whose_manifest_comes_with_the_origin_is_soon_everywhere:
        58, origin 26.5, manifests within 300, lost None, back at 300;
    /// Guards against the same where the first chunks left the origin before it was lost.
    a_version_named_before_the_loss_is_soon_everywhere_after_it:
        98, origin 44.1, manifests within 150, lost Some((500, 6_500)), back at 6_500;
}
