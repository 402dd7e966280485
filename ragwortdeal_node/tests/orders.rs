//! Orders to engines over real sockets: what an engine was told, in which order, and when.

use googletest::prelude::*;
use ragwortdeal_standins::{deployment, engine, origin};
use ragwortdeal_wire::engine as wire;

const ORDER_LIFE_MS: u64 = 1_500;

fn plan(checks_fence: bool) -> deployment::Plan {
    deployment::Plan {
        voters: 1,
        entries: 1,
        engines: 1,
        ledgers: 0,
        portals: 0,
        order_life_ms: ORDER_LIFE_MS,
        engine: engine::Behaviour { checks_fence, ..engine::Behaviour::default() },
        ..deployment::Plan::default()
    }
}

fn weights(seed: u64) -> origin::Weights {
    origin::Weights::of_seed(seed, 200_000, 64 << 10)
}

/// A deployment in which the only engine serves the given weights.
async fn serving(plan: deployment::Plan, weights: &origin::Weights) -> deployment::Deployment {
    let deployment = deployment::Deployment::start(plan).await.unwrap();
    place(&deployment, weights).await;
    deployment
}

async fn place(deployment: &deployment::Deployment, weights: &origin::Weights) {
    deployment::wait_for("the entry reaches the voter", async || {
        let labels = ragwortdeal_standins::caller::labels(&[]);
        deployment.operator(0).set("probe", "account/probe", labels).await.is_some()
    })
    .await;
    deployment.roll_out(weights).await;
    deployment.serving(0, &weights.version().to_string(), 1).await;
}

fn orders(deployment: &deployment::Deployment) -> Vec<wire::Order> {
    deployment.engines[0].engine.as_ref().unwrap().orders()
}

fn steps(orders: &[wire::Order], version: &str) -> Vec<wire::OrderAction> {
    let of_version = orders.iter().filter(|order| order.version == version);
    of_version.map(|order| order.action).filter(is_no_change_of_role).collect()
}

fn is_no_change_of_role(action: &wire::OrderAction) -> bool {
    *action != wire::OrderAction::ChangeRole
}

/// Operators replace a version. Callers must never meet an engine that was told to serve what it
/// has not loaded, or to drop what it serves.
async fn replaced(checks_fence: bool) {
    let (first, second) = (weights(1), weights(2));
    let deployment = serving(plan(checks_fence), &first).await;
    place(&deployment, &second).await;
    let (old, new) = (first.version().to_string(), second.version().to_string());
    deployment::wait_for("the former version is unloaded", async || {
        steps(&orders(&deployment), &old).contains(&wire::OrderAction::Unload)
    })
    .await;
    let orders = orders(&deployment);
    let loaded = [wire::OrderAction::Load, wire::OrderAction::Activate];
    expect_that!(steps(&orders, &new), eq(&loaded.to_vec()));
    expect_that!(steps(&orders, &old)[..2], eq(loaded));
    expect_true!(orders.is_sorted_by_key(|order| order.fence));
    expect_that!(deployment.engines[0].engine.as_ref().unwrap().partial_loads(), eq(0));
}

macro_rules! replaced_on {
    ($($case:ident: $checks_fence:expr,)*) => {$(
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            replaced($checks_fence).await;
        }
    )*};
}

replaced_on! {
    a_version_is_replaced_on_an_engine_that_checks_numbers: true,
    a_version_is_replaced_on_an_engine_that_ignores_numbers: false,
}

/// The agent dies and comes back beside an engine that ignores numbers. Orders of its former life
/// may still arrive, so it gives none for a while; callers are served all the same.
#[googletest::test]
#[tokio::test]
async fn a_restarted_agent_announces_at_once_and_orders_nothing() {
    let first = weights(1);
    let mut deployment = serving(plan(false), &first).await;
    let before = orders(&deployment).len();
    deployment.engines[0].process.take().unwrap().kill();
    deployment.restart_engine_agent(0).await.unwrap();
    deployment.open_routes().await;
    deployment::wait_for("a caller is served", async || {
        deployment.caller(0).complete(deployment::MODEL, "hello", 4).await.status == 200
    })
    .await;
    expect_that!(orders(&deployment).len(), eq(before));
}

/// A change is taken back before it was carried out. The engine goes on with the former version.
#[googletest::test]
#[tokio::test]
async fn a_change_taken_back_while_staging_switches_nothing() {
    let (first, second) = (weights(1), weights(2));
    let deployment = serving(plan(true), &first).await;
    // The origin does not have the new version, so its staging cannot end.
    let operator = deployment.operator(0);
    let (old, new) = (first.version().to_string(), second.version().to_string());
    let version = ragwortdeal_wire::operator::Version {
        model: deployment::MODEL.to_owned(),
        adapter: None,
        size_bytes: 200_000,
    };
    let object = ragwortdeal_wire::operator::Object::Version(version);
    operator.set("register", &format!("version/{new}"), object).await.unwrap();
    for (id, version) in [("forth", &new), ("back", &old)] {
        let placement = ragwortdeal_wire::operator::Placement {
            instances: "name".to_owned(),
            version: version.clone(),
        };
        let object = ragwortdeal_wire::operator::Object::Placement(placement);
        operator.set(id, "placement/all", object).await.unwrap();
    }
    deployment::wait_for("the change back is in force", async || {
        let status = operator.status().await.unwrap();
        let applied = status.instances.iter().all(|one| one.applied_revision == status.revision);
        applied && status.instances.iter().all(|one| one.serving.as_ref() == Some(&old))
    })
    .await;
    expect_that!(steps(&orders(&deployment), &new).len(), eq(0));
}
