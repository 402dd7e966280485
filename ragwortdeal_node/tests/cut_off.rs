//! An availability zone that is cut off goes on with what it had in force, and never with less.

use googletest::prelude::*;
use ragwortdeal_standins::{caller, deployment};
use ragwortdeal_wire::operator as wire;

const ZONE: &str = "amman";

/// Entry 0, voter 0, engine 0 and the ledger are in the zone that is cut off.
fn plan() -> deployment::Plan {
    deployment::Plan { entries: 3, engines: 3, network: true, ..deployment::Plan::default() }
}

async fn status(deployment: &deployment::Deployment, entry: usize) -> Option<wire::Status> {
    deployment.operator(entry).status().await
}

async fn applied(deployment: &deployment::Deployment, entry: usize) -> u64 {
    status(deployment, entry).await.map_or(0, |status| status.revision)
}

/// The last change is in force everywhere but at voter 0, which was down. The zone is cut off,
/// voter 0 comes back with its older disk, and entry 0 is restarted: the only voter that it
/// reaches knows less than the zone had applied. Callers would be served by a route that an
/// operator had already taken away.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_entry_never_serves_by_less_than_its_zone_had_applied() {
    let mut deployment = deployment::Deployment::start(plan()).await.unwrap();
    deployment.open_routes().await;
    let works = async || {
        let answer = deployment.caller(0).operate(deployment::LEDGER, "t-before", "{}").await;
        answer.status == 200
    };
    deployment::wait_for("the route is in force", works).await;
    let before = applied(&deployment, 0).await;

    deployment.voters[0].process.take().unwrap().kill();
    let none = wire::Route {
        accounts: "name=nobody".to_owned(),
        targets: String::new(),
        upstreams: String::new(),
    };
    deployment.set("route/all", wire::Object::Route(none)).await;
    let everywhere = async || {
        let Some(status) = status(&deployment, 0).await else { return false };
        status.revision > before && status.instances.iter().all(|one| one.applied_revision > before)
    };
    deployment::wait_for("the change is in force in the zone", everywhere).await;
    let in_force = applied(&deployment, 0).await;

    deployment.set_cut(ZONE, true);
    deployment.restart_voter(0).await.unwrap();
    deployment.entries[0].process.take().unwrap().kill();
    deployment.restart_entry(0).await.unwrap();
    let mut refused = 0;
    while applied(&deployment, 0).await < in_force {
        let answer = deployment.caller(0).operate(deployment::LEDGER, "t-after", "{}").await;
        assert_ne!(answer.status, 200, "served by a route that was taken away");
        refused += 1;
        assert!(refused < 2_000, "the entry does not learn what its zone has in force");
    }
    let answer = deployment.caller(0).operate(deployment::LEDGER, "t-after", "{}").await;
    expect_that!(answer.status, not(eq(200)));
    expect_that!(deployment.ledger.effects().contains_key("t-after"), eq(false));
}

/// A cut-off zone serves what it can, refuses changes and operations as not run, and says in its
/// status that it is cut off. After the cut it takes the changes of the others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_off_zone_refuses_changes_as_not_run_and_catches_up() {
    let deployment = deployment::Deployment::start(plan()).await.unwrap();
    deployment.open_routes().await;
    let reads = async || {
        deployment.caller(0).send("GET", "/services/ledger/", None, String::new()).await.status
            == 200
    };
    deployment::wait_for("the ledger is read", reads).await;
    deployment.set_cut(ZONE, true);
    let operator = deployment.operator(0);
    let change = wire::Change {
        id: "cut-off".to_owned(),
        key: "model/other".to_owned(),
        expected_revision: None,
        object: Some(caller::labels(&[("k", "v")])),
    };
    let body = serde_json::to_vec(&change).unwrap();
    let refused = async || {
        let bytes = operator.send("POST", "/api/changes", body.clone()).await.unwrap_or_default();
        let problem: Option<wire::Problem> = serde_json::from_slice(&bytes).ok();
        problem.is_some_and(|problem| problem.ran == wire::Ran::DidNotRun)
    };
    deployment::wait_for("a change is refused as not run", refused).await;
    expect_true!(reads().await);
    let operation = deployment.caller(0).operate(deployment::LEDGER, "t-cut", "{}").await;
    expect_that!(operation.status, ge(400));

    deployment.operator(1).set("others", "model/third", caller::labels(&[("k", "v")])).await;
    let ahead = applied(&deployment, 1).await;
    deployment.set_cut(ZONE, false);
    let caught_up = async || applied(&deployment, 0).await >= ahead;
    deployment::wait_for("the zone has the change of the others", caught_up).await;
}
