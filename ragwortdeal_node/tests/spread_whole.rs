//! Spreads over real sockets: a rate-limited origin, agents that exchange chunks, their engines.

use googletest::prelude::*;
use ragwortdeal_standins::{deployment, origin, peer};

const MIB: usize = 1 << 20;

fn twelve(weight: u8) -> deployment::Plan {
    deployment::Plan {
        voters: 1,
        entries: 2,
        engines: 12,
        ledgers: 0,
        portals: 0,
        origin_bytes_per_s: 4 << 20,
        origin_weight_percent: weight,
        ..deployment::Plan::default()
    }
}

fn copies(deployment: &deployment::Deployment, weights: &origin::Weights) -> f64 {
    deployment.origin.served_bytes() as f64 / weights.manifest.size_bytes() as f64
}

fn expect_no_partial_loads(deployment: &deployment::Deployment) {
    for agent in &deployment.engines {
        expect_that!(agent.engine.as_ref().unwrap().partial_loads(), eq(0));
    }
}

/// Twelve engines get a version while the finance officer watches the origin's bytes.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn twelve_engines_share_one_copy_from_the_origin() {
    let deployment = deployment::Deployment::start(twelve(100)).await.unwrap();
    let weights = origin::Weights::of_seed(7, 8 * MIB, 128 << 10);
    deployment.roll_out(&weights).await;
    deployment.serving(0, &weights.version().to_string(), 12).await;
    // The twelve manifests are counted too.
    expect_that!(copies(&deployment, &weights), le(1.05));
    expect_no_partial_loads(&deployment);
}

/// A small update of the weights: only the changed chunks travel.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn an_update_fetches_only_the_chunks_that_changed() {
    let deployment = deployment::Deployment::start(twelve(100)).await.unwrap();
    let first = origin::Weights::of_seed(7, 2 * MIB, 64 << 10);
    deployment.roll_out(&first).await;
    deployment.serving(0, &first.version().to_string(), 12).await;
    let before = deployment.origin.served_bytes();

    let second = first.with_changed_chunk(5);
    deployment.roll_out(&second).await;
    deployment.serving(0, &second.version().to_string(), 12).await;
    let drawn = deployment.origin.served_bytes() - before;
    // One chunk of 64 KiB, perhaps drawn once more, and twelve manifests.
    expect_that!(drawn, le(3 * (64 << 10)));
    expect_no_partial_loads(&deployment);
}

/// The origin corrupts some chunks and fails some requests. Every engine still gets the whole
/// version, and none is ever told to load anything else.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_origin_delays_but_never_spoils_a_version() {
    let deployment = deployment::Deployment::start(twelve(100)).await.unwrap();
    let weights = origin::Weights::of_seed(9, 4 * MIB, 128 << 10);
    deployment.origin.offer(&weights);
    deployment.origin.set_faults(origin::Faults { corrupt_next: 4, fail_next: 4 });
    deployment.roll_out(&weights).await;
    deployment.serving(0, &weights.version().to_string(), 12).await;
    expect_that!(copies(&deployment, &weights), le(1.4));
    expect_no_partial_loads(&deployment);
}

macro_rules! bad_peers {
    ($($(#[$doc:meta])* $case:ident: $answers:expr, asked at most $asked:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        #[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let deployment = deployment::Deployment::start(twelve(100)).await.unwrap();
            let weights = origin::Weights::of_seed(11, 4 * MIB, 128 << 10);
            let (zone, entry) = ("amman", deployment.links(0));
            let bad = peer::Peer::start("bad", zone, entry, &weights, $answers).await.unwrap();
            deployment::wait_for("the peer is announced", async || {
                let status = deployment.operator(0).status().await;
                status.is_some_and(|status| status.instances.len() > 12)
            })
            .await;
            deployment.roll_out(&weights).await;
            deployment.serving(0, &weights.version().to_string(), 12).await;
            expect_no_partial_loads(&deployment);
            // The peer takes part as an owner too, so the test is void if nobody asked it.
            expect_that!(bad.asked(), all!(ge(1), le($asked)));
            expect_that!(copies(&deployment, &weights), le(1.4));
        }
    )*};
}

bad_peers! {
    /// An instance with a broken memory module sends chunks with a flipped bit. Each agent notices
    /// at the first, and asks it no more after the second.
    a_peer_that_corrupts_is_blamed_and_every_engine_gets_whole_weights:
        peer::Answers::Corrupt, asked at most 12 * 6;
    /// An instance sends half of each chunk.
    a_peer_that_sends_too_little_is_blamed_and_every_engine_gets_whole_weights:
        peer::Answers::Short, asked at most 12 * 6;
    /// An instance announces what it does not hold.
    a_peer_that_lies_about_its_chunks_is_found_out:
        peer::Answers::Deny, asked at most 12 * 8;
    /// An instance hangs: it accepts connections and never answers.
    a_peer_that_hangs_is_replaced:
        peer::Answers::Stall, asked at most 12 * 6;
}

/// Instances are lost in the middle of a rollout, with the chunks that only they had drawn.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn engines_get_the_version_though_two_agents_die_in_the_middle() {
    let mut deployment = deployment::Deployment::start(twelve(100)).await.unwrap();
    let weights = origin::Weights::of_seed(13, 8 * MIB, 128 << 10);
    deployment.roll_out(&weights).await;
    let origin = &deployment.origin;
    let started = async || origin.served_bytes() > 2 * MIB as u64;
    deployment::wait_for("the transfer is under way", started).await;
    for number in [3, 7] {
        deployment.engines[number].process.take().unwrap().kill();
    }
    deployment.serving(0, &weights.version().to_string(), 10).await;
    expect_that!(copies(&deployment, &weights), le(1.4));
    expect_no_partial_loads(&deployment);
}

/// An operator places a corrected version while the first is still under way. The first one's
/// chunks that did not change must not be drawn again, and no engine may get a mixture.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_newer_version_in_the_middle_keeps_what_both_share() {
    let deployment = deployment::Deployment::start(twelve(100)).await.unwrap();
    let first = origin::Weights::of_seed(17, 8 * MIB, 128 << 10);
    let second = first.with_changed_chunk(5);
    deployment.roll_out(&first).await;
    let started = async || deployment.origin.served_bytes() > 2 * MIB as u64;
    deployment::wait_for("the first is under way", started).await;
    deployment.roll_out(&second).await;
    deployment.serving(0, &second.version().to_string(), 12).await;
    // Fetched anew, two versions would be two copies. Chunks that were on their way are drawn twice.
    expect_that!(copies(&deployment, &first), le(1.4));
    expect_no_partial_loads(&deployment);
}
