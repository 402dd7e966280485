//! The spread policy in a small deterministic model of links, clean and with faults.

#[path = "spread/model.rs"]
mod model;
#[path = "spread/planner.rs"]
mod planner;
#[path = "spread/shapes.rs"]
mod shapes;

use googletest::prelude::*;
use ragwortdeal_core::spread::limits;

use model::setup;

const TIME_END: u8 = 0;
const BYTES_END: u8 = 100;

fn small(instances: usize, weight: u8) -> model::Setup {
    let mut setup = model::Setup::new(instances, 200);
    setup.limits.origin_weight_percent = weight;
    setup
}

fn time_ratio(setup: &model::Setup, outcome: &model::Outcome, skip: &[usize]) -> f64 {
    let time_ms = outcome.time_ms(skip).expect("an instance never got the whole version");
    time_ms as f64 / setup.bound_ms()
}

fn origin_copies(setup: &model::Setup, outcome: &model::Outcome) -> f64 {
    outcome.origin_chunks as f64 / f64::from(setup.chunks)
}

macro_rules! clean {
    ($($case:ident: $instances:expr, $zones:expr, $regions:expr, $weight:expr
        => time $time:expr, origin $origin:expr;)*) => {$(
        #[googletest::test]
        fn $case() {
            let mut setup = small($instances, $weight);
            (setup.zones, setup.regions) = ($zones, $regions);
            let outcome = model::run(setup.clone());
            expect_that!(time_ratio(&setup, &outcome, &[]), le($time));
            expect_that!(origin_copies(&setup, &outcome), le($origin));
            // Nobody receives a chunk twice, and a link between regions carries its share once.
            let peer_copies = outcome.peer_chunks as f64 / f64::from(setup.chunks);
            expect_that!(peer_copies, le($instances as f64));
            let region_copies = outcome.region_chunks as f64 / f64::from(setup.chunks);
            expect_that!(region_copies, le(1.05 * ($regions - 1) as f64));
        }
    )*};
}

clean! {
    twelve_for_time: 12, 3, 1, TIME_END => time 1.25, origin 2.05;
    twelve_for_bytes: 12, 3, 1, BYTES_END => time 1.25, origin 1.05;
    forty_eight_for_time: 48, 3, 1, TIME_END => time 1.25, origin 2.05;
    forty_eight_for_bytes: 48, 3, 1, BYTES_END => time 1.25, origin 1.05;
    two_hundred_for_time: 200, 3, 1, TIME_END => time 1.5, origin 2.05;
    two_hundred_for_bytes: 200, 3, 1, BYTES_END => time 1.5, origin 1.05;
    four_regions_for_time: 200, 12, 4, TIME_END => time 1.5, origin 2.05;
    four_regions_for_bytes: 200, 12, 4, BYTES_END => time 1.5, origin 1.05;
    two_regions_for_bytes: 24, 4, 2, BYTES_END => time 1.3, origin 1.05;
    one_zone_of_two: 2, 1, 1, BYTES_END => time 1.5, origin 1.05;
}

/// Eight times the instances may cost the pipeline's fill, which the bound holds, but no factor.
#[googletest::test]
fn time_grows_no_faster_than_the_logarithm_of_the_instances() {
    let ratio = |instances| {
        let setup = small(instances, BYTES_END);
        time_ratio(&setup, &model::run(setup.clone()), &[])
    };
    expect_that!(ratio(192), le(1.15 * ratio(24)));
}

/// The link between regions carries a twentieth of a machine's link. Then the setting decides:
/// origin bytes buy time.
#[googletest::test]
fn slow_links_between_regions_make_the_setting_trade_bytes_for_time() {
    let run = |weight| {
        let mut setup = small(48, weight);
        (setup.zones, setup.regions, setup.limits.region_copies) = (12, 4, 0.1);
        let outcome = model::run(setup.clone());
        (time_ratio(&setup, &outcome, &[]), origin_copies(&setup, &outcome))
    };
    let (fast, many) = run(TIME_END);
    let (slow, few) = run(BYTES_END);
    expect_that!(fast, le(0.75 * slow));
    expect_that!(few, le(1.05));
    expect_that!(many, all!(ge(1.5), le(4.0)));
}

/// As many instances as make one request each fill the origin's link several times over: all chunks
/// then arrive together at the end in place of one after the other, what waits counts as stalled, and
/// others draw it again. Users see a version that comes many seconds late, or not before the next.
#[googletest::test]
fn many_instances_before_a_small_origin_draw_one_after_the_other() {
    let mut setup = model::Setup::new(68, 48);
    (setup.regions, setup.chunk_ms) = (3, 42);
    setup.faults.origin_connections_max = 48;
    setup.limits = limits::Limits {
        origin_copies: 3.2,
        region_copies: 5.5,
        origin_chunk_ms: 26.0,
        downloads_max: 2,
        uploads_max: 2,
        remote_requests_max: 3,
        uploads_per_peer_max: 1,
        announce_interval_ms: 60,
        probe_interval_ms: 150,
        busy_backoff_ms: 25,
        settle_ms: 60,
        origin_requests_max: 20,
        deadline_min_ms: 400,
        deadline_far_min_ms: 1_000,
        deadline_first_ms: 600,
        deadline_max_ms: 3_000,
        stall_ms: 800,
        ban_ms: 3_000,
        ..limits::Limits::default()
    };
    let outcome = model::run(setup.clone());
    expect_that!(outcome.origin_open_max, le(12));
    expect_that!(origin_copies(&setup, &outcome), le(1.6));
    expect_that!(time_ratio(&setup, &outcome, &[]), le(1.6));
    expect_that!(outcome.faults.get("Stalled"), none());
}

macro_rules! faulty {
    ($($(#[$doc:meta])* $case:ident: $faults:expr, skip $skip:expr, weight $weight:expr
        => time $time:expr, origin $origin:expr, blamed $blamed:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let mut setup = small(48, $weight);
            setup.faults = $faults;
            let skip: &[usize] = &$skip;
            let outcome = model::run(setup.clone());
            expect_that!(time_ratio(&setup, &outcome, skip), le($time));
            expect_that!(origin_copies(&setup, &outcome), le($origin));
            let blamed: Vec<_> = outcome.blamed.keys().map(String::as_str).collect();
            expect_that!(blamed.is_empty(), eq(!$blamed), "blamed: {blamed:?}");
        }
    )*};
}

fn no_faults() -> setup::Faults {
    setup::Faults::default()
}

faulty! {
    /// A bad memory module or link flips a bit in one chunk of a hundred. Without the check on
    /// arrival the engine would answer nonsense.
    corrupted_chunks_are_fetched_again:
        setup::Faults { corrupt_permille: 10, ..no_faults() }, skip [], weight BYTES_END
        => time 1.35, origin 1.05, blamed true;
    /// A connection breaks in the middle and the body is cut. The rollout must not stop there.
    short_chunks_are_fetched_again:
        setup::Faults { short_permille: 10, ..no_faults() }, skip [], weight BYTES_END
        => time 1.35, origin 1.05, blamed true;
    /// A retry in the network delivers a chunk twice. Nothing is blamed, and nothing counts twice.
    chunks_that_arrive_twice_change_nothing:
        setup::Faults { twice_permille: 50, ..no_faults() }, skip [], weight BYTES_END
        => time 1.3, origin 1.05, blamed false;
    /// One answer of a hundred hangs for a minute, five times the length of the whole rollout. The
    /// others must not wait for it.
    late_chunks_are_fetched_elsewhere:
        setup::Faults { late_permille: 10, ..no_faults() }, skip [], weight BYTES_END
        => time 3.0, origin 1.1, blamed true;
    /// An instance accepts every request and sends nothing, and it owns chunks that nobody else
    /// draws. Without takeover these chunks would be missing everywhere.
    a_stalled_owner_is_replaced:
        setup::Faults { stalled: vec![7], ..no_faults() }, skip [7], weight BYTES_END
        => time 1.9, origin 1.1, blamed true;
    /// The same where time goes before bytes: other zones draw the chunk as well.
    a_stalled_owner_costs_little_on_the_time_end:
        setup::Faults { stalled: vec![7], ..no_faults() }, skip [7], weight TIME_END
        => time 1.7, origin 2.1, blamed true;
    /// Two instances announce every chunk before they hold any.
    peers_that_lie_are_found_out:
        setup::Faults { liars: vec![3, 8], ..no_faults() }, skip [], weight BYTES_END
        => time 1.6, origin 1.1, blamed true;
    /// One instance corrupts all that it sends.
    a_peer_that_corrupts_everything_is_avoided:
        setup::Faults { corrupters: vec![5], ..no_faults() }, skip [], weight BYTES_END
        => time 1.6, origin 1.1, blamed true;
    /// A rack goes in the middle: one instance of twenty dies.
    the_death_of_one_in_twenty_leaves_the_others_whole:
        setup::Faults { deaths: vec![(4_000, 9), (4_100, 30), (4_200, 31)], ..no_faults() },
        skip [9, 30, 31], weight BYTES_END
        => time 1.5, origin 1.1, blamed true;
    /// The origin fails one request in ten.
    errors_of_the_origin_are_retried:
        setup::Faults { origin_error_permille: 100, ..no_faults() }, skip [], weight BYTES_END
        => time 1.35, origin 1.05, blamed true;
    /// The origin cuts one body in twenty. These bytes are drawn again.
    truncated_bodies_of_the_origin_are_drawn_again:
        setup::Faults { origin_short_permille: 50, ..no_faults() }, skip [], weight BYTES_END
        => time 1.35, origin 1.12, blamed true;
    /// The origin is silent for ten seconds. Nobody must take that for a fault of the owners, or
    /// all would draw everything once it is back.
    a_silent_origin_is_not_drawn_more_often:
        setup::Faults { origin_silent_until_ms: 10_000, ..no_faults() }, skip [], weight BYTES_END
        => time 2.3, origin 1.05, blamed false;
    /// Autoscaling adds instances while the rollout runs.
    instances_that_join_in_the_middle_are_served_by_peers:
        setup::Faults { late_joins: vec![(5_000, 40), (6_000, 41), (9_000, 42)], ..no_faults() },
        skip [], weight BYTES_END
        => time 2.0, origin 1.1, blamed false;
    /// Agents are restarted in the middle and find their verified chunks again.
    restarted_instances_go_on_with_what_they_verified:
        setup::Faults { restarts: vec![(5_000, 10), (6_000, 11), (7_000, 12)], ..no_faults() },
        skip [], weight BYTES_END
        => time 1.5, origin 1.1, blamed false;
    /// All at once, as on a bad day.
    several_faults_together:
        setup::Faults {
            corrupt_permille: 10,
            short_permille: 5,
            twice_permille: 5,
            stalled: vec![7],
            liars: vec![3],
            deaths: vec![(4_000, 9), (4_100, 30)],
            restarts: vec![(5_000, 10)],
            origin_error_permille: 50,
            ..no_faults()
        },
        skip [7, 9, 30], weight BYTES_END
        => time 2.5, origin 1.25, blamed true;
}

/// A slow receiver, or many of them, must not make a sender hold more chunks in memory.
#[googletest::test]
fn no_sender_ever_holds_more_uploads_than_the_limit() {
    let mut setup = small(48, BYTES_END);
    setup.limits.uploads_max = 3;
    let outcome = model::run(setup.clone());
    expect_that!(outcome.open_uploads_max, all!(gt(0), le(3)));
    expect_that!(time_ratio(&setup, &outcome, &[]), le(1.6));
}

/// Against a planner that knows everything and assigns each transfer by hand.
#[googletest::test]
fn never_much_slower_than_a_planner_with_full_knowledge() {
    for seed in 0..24u64 {
        let mut setup = model::Setup::new(2 + seed as usize % 11, 40 + 10 * (seed as u32 % 7));
        (setup.seed, setup.zones) = (seed, 1 + seed as usize % 3);
        setup.limits.origin_weight_percent = (seed * 37 % 101) as u8;
        let planned_ms = planner::time_ms(&setup);
        let outcome = model::run(setup.clone());
        // The same final state: `model` checks that a complete version verifies as a whole.
        let time_ms = outcome.time_ms(&[]).expect("an instance never got the whole version");
        let start_ms = setup.limits.settle_ms + 2 * setup.limits.announce_interval_ms;
        expect_that!(time_ms as f64, le(1.35 * planned_ms + start_ms as f64), "seed {seed}");
        expect_that!(origin_copies(&setup, &outcome), le(2.1), "seed {seed}");
    }
}

/// What speaks against the other shapes, on the same links.
#[googletest::test]
fn the_other_shapes_lose_by_origin_bytes_or_by_one_slow_machine() {
    let setup = small(48, BYTES_END);
    let swarm = time_ratio(&setup, &model::run(setup.clone()), &[]) * setup.bound_ms();
    expect_that!(shapes::all_from_origin(&setup).time_ms, gt(10.0 * swarm));
    expect_that!(shapes::tree(&setup, 2, None).time_ms, gt(1.5 * swarm));
    expect_that!(shapes::tree(&setup, 1, Some(24)).time_ms, gt(3.0 * swarm));
    expect_that!(shapes::all_from_origin(&setup).origin_copies, eq(48.0));
}
