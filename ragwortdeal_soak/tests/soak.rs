//! A short run of the programs as processes, with a fixed seed.

mod support;

use googletest::prelude::*;
use ragwortdeal_soak::run;

/// Processes are killed, frozen, stopped and restarted, and ways are cut, while callers go on. What
/// a user would notice of a fault: a transfer that ran twice, an answer of another request, a
/// refusal that was not true.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_are_kept_under_faults() {
    let folder = tempfile::tempdir().unwrap();
    let plan = run::Plan {
        seed: 1,
        faults_s: 8,
        folder: folder.path().to_owned(),
        programs: support::programs(),
    };
    let verdict = run::run(&plan).await.expect("the fleet starts");
    let broken: Vec<_> = verdict.violations.iter().collect();
    if !broken.is_empty() {
        println!("schedule of seed {}:\n{}", plan.seed, verdict.schedule);
        println!("logs are kept in {}", folder.keep().display());
    }
    expect_that!(broken, is_empty());
    // A run in which little happened shows nothing.
    expect_that!(verdict.served, gt(200));
    expect_that!(verdict.judged, gt(100));
    expect_that!(verdict.documents.0, ge(3));
    expect_that!(verdict.documents.1, gt(10));
    expect_that!(verdict.named, ge(2));
    expect_that!(verdict.silences, ge(1));
    expect_that!(verdict.on_loaded, gt(50));
}
