//! Changes that tests make to a deployment, and waiting for what they lead to.

use std::{sync::atomic, time};

use ragwortdeal_wire::operator as wire;

use super::{Deployment, MODEL};
use crate::{caller, origin};

impl Deployment {
    /// Sets a route from every account to every model, service and upstream.
    pub async fn open_routes(&self) {
        let all = String::new;
        let route = wire::Route { accounts: all(), targets: all(), upstreams: all() };
        self.set("route/all", wire::Object::Route(route)).await;
    }

    /// Registers a version and places it on all engines.
    pub async fn roll_out(&self, weights: &origin::Weights) {
        self.origin.offer(weights);
        let version = weights.version().to_string();
        let object = wire::Object::Version(wire::Version {
            model: MODEL.to_owned(),
            adapter: None,
            size_bytes: weights.manifest.size_bytes(),
        });
        self.set(&format!("version/{version}"), object).await;
        for number in 0..self.plan.engines {
            self.set(&format!("instance/engine-{number}"), caller::labels(&[])).await;
        }
        let instances = "name".to_owned();
        let object = wire::Object::Placement(wire::Placement { instances, version });
        self.set("placement/all", object).await;
    }

    /// Sets an object, at whichever entry answers. A change whose answer was lost is sent again
    /// with its identifier, as an operator's tool does.
    pub async fn set(&self, key: &str, object: wire::Object) {
        let number = self.changes.fetch_add(1, atomic::Ordering::Relaxed);
        let id = format!("deployment-{number}");
        let entries = self.entries.len();
        let mut tries = 0;
        wait_for("a change is accepted", async || {
            let entry = tries % entries;
            tries += 1;
            if self.entries[entry].process.is_none() {
                return false;
            }
            let answer = self.operator(entry).set(&id, key, object.clone()).await;
            let outcome = answer.as_ref().map(|answer| answer.outcome);
            assert!(outcome != Some(wire::ChangeAnswerOutcome::Refused), "{key}: {answer:?}");
            outcome == Some(wire::ChangeAnswerOutcome::Accepted)
        })
        .await;
    }

    /// Waits until so many engines serve a version as seen by an entry.
    pub async fn serving(&self, entry: usize, version: &str, replicas: usize) {
        let operator = self.operator(entry);
        wait_for("the replicas serve the version", async || {
            let Some(status) = operator.status().await else {
                return false;
            };
            let serving =
                status.instances.iter().filter(|one| one.serving.as_deref() == Some(version));
            serving.count() >= replicas
        })
        .await;
    }
}

/// Waits until a condition holds, for as long as a test may take.
///
/// # Panics
///
/// Where it does not hold within a minute.
pub async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = time::Instant::now() + time::Duration::from_secs(60);
    while !holds().await {
        assert!(time::Instant::now() < deadline, "did not come about: {what}");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}
