//! Looks again and again at which revision each process has in force.

use std::{collections, time};

use ragwortdeal_standins::{caller, deployment, history};
use ragwortdeal_wire::operator as wire;
use tokio::task;

/// How often each entry is looked at.
const PERIOD: time::Duration = time::Duration::from_millis(100);

pub(crate) fn start(
    running: &deployment::Deployment,
    recorder: &history::Recorder,
) -> task::JoinHandle<()> {
    let operators: Vec<caller::Operator> =
        (0..running.entries.len()).map(|entry| running.operator(entry)).collect();
    let recorder = recorder.clone();
    tokio::spawn(async move {
        let looking = operators.into_iter().map(|operator| look(operator, recorder.clone()));
        futures_util::future::join_all(looking).await;
    })
}

/// Notes the revision of an entry by its own word. Those of agents reach an entry late and by
/// several ways, so they are judged at the end alone.
async fn look(operator: caller::Operator, recorder: history::Recorder) {
    loop {
        tokio::time::sleep(PERIOD).await;
        let Some(status) = operator.status().await else {
            continue;
        };
        // A cut-off entry cannot know of changes on the other side, and says that it is cut off.
        if status.control == wire::StatusControl::CutOff {
            continue;
        }
        let applied = history::Applied {
            process: status.entry,
            revision: status.revision,
            at: recorder.now(),
        };
        recorder.note(|history| history.applied.push(applied));
    }
}

/// Waits until the system is quiet, and notes the end state.
pub(crate) async fn finish(running: &deployment::Deployment, recorder: &history::Recorder) {
    let last = recorder.history().accepted.iter().map(|one| one.revision).max().unwrap_or(0);
    for entry in 0..running.entries.len() {
        let operator = running.operator(entry);
        deployment::wait_for("each entry and agent has the last change", async || {
            operator.status().await.is_some_and(|status| {
                let agents = status.instances.iter();
                status.revision >= last && agents.clone().all(|one| one.applied_revision >= last)
            })
        })
        .await;
        let objects = objects(&operator).await;
        recorder.note(|history| {
            history.final_objects.insert(format!("entry-{entry}"), objects);
        });
    }
    let partial_loads: u64 = running
        .engines
        .iter()
        .filter_map(|agent| agent.engine.as_ref())
        .map(ragwortdeal_standins::engine::Engine::partial_loads)
        .sum();
    recorder.note(|history| {
        history.partial_loads += partial_loads;
        history.effects = running.ledger.effects();
    });
}

async fn objects(operator: &caller::Operator) -> collections::BTreeMap<String, wire::ObjectView> {
    let bytes = operator.send("GET", "/api/objects", Vec::new()).await.unwrap_or_default();
    let list: Option<wire::ObjectList> = serde_json::from_slice(&bytes).ok();
    let objects = list.map(|list| list.objects).unwrap_or_default();
    objects.into_iter().map(|view| (view.key.clone(), view)).collect()
}
