//! Spreads over real sockets: a rate-limited origin, agents that exchange chunks, their engines.

use googletest::prelude::*;
use ragwortdeal_standins::{deployment, origin};

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
