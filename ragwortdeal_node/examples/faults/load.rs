//! Live callers and operators who write down what they are told.

use std::{
    sync::{self, atomic},
    time,
};

use ragwortdeal_standins::{caller, deployment, history};
use ragwortdeal_wire::operator as wire;
use tokio::{sync::Mutex, task};

/// Callers of completions.
const CALLERS: usize = 8;

/// Callers of transfers.
const TRANSFERRING: usize = 3;

/// Operators who change labels and race each other.
const OPERATORS: usize = 3;

/// Tokens of a completion.
const TOKENS: u64 = 60;

/// What the scenario tells the callers about.
#[derive(Debug, Default)]
struct Phase {
    stopping: atomic::AtomicBool,
    /// Set while planned stops are the only thing that happens.
    planned_stops_only: atomic::AtomicBool,
}

/// The running load.
#[derive(Clone)]
pub(crate) struct Load {
    phase: sync::Arc<Phase>,
    tasks: sync::Arc<Mutex<task::JoinSet<()>>>,
}

impl Load {
    pub(crate) fn start(running: &deployment::Deployment, recorder: &history::Recorder) -> Self {
        let phase = sync::Arc::new(Phase::default());
        let mut tasks = task::JoinSet::new();
        let callers: Vec<_> = (0..running.entries.len()).map(|one| running.caller(one)).collect();
        let operators: Vec<_> =
            (0..running.entries.len()).map(|one| running.operator(one)).collect();
        for number in 0..CALLERS {
            let entry = callers[number % callers.len()].clone();
            tasks.spawn(complete(phase.clone(), recorder.clone(), entry, number));
        }
        for number in 0..TRANSFERRING {
            tasks.spawn(transfer(phase.clone(), recorder.clone(), callers.clone(), number));
        }
        for number in 0..OPERATORS {
            tasks.spawn(change(phase.clone(), recorder.clone(), operators.clone(), number));
        }
        Self { phase, tasks: sync::Arc::new(Mutex::new(tasks)) }
    }

    /// Says whether planned stops are the only thing that happens from now on.
    pub(crate) fn set_planned_stops_only(&self, only: bool) {
        self.phase.planned_stops_only.store(only, atomic::Ordering::SeqCst);
    }

    pub(crate) async fn stop(&self) {
        self.phase.stopping.store(true, atomic::Ordering::SeqCst);
        let mut tasks = self.tasks.lock().await;
        while let Some(ended) = tasks.join_next().await {
            ended.expect("callers do not panic");
        }
    }
}

impl Phase {
    fn stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    fn planned_stops_only(&self) -> bool {
        self.planned_stops_only.load(atomic::Ordering::SeqCst)
    }
}

async fn pause(pause_ms: u64) {
    tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
}

async fn complete(
    phase: sync::Arc<Phase>,
    recorder: history::Recorder,
    entry: caller::Caller,
    caller: usize,
) {
    for call in 0.. {
        if phase.stopping() {
            return;
        }
        let prompt = format!("caller-{caller}-call-{call}");
        let planned_before = phase.planned_stops_only();
        let answer = entry.complete(deployment::MODEL, &prompt, TOKENS).await;
        let planned_stop_only = planned_before && phase.planned_stops_only();
        if answer.status != 200 {
            pause(20).await;
        }
        let completion = history::Completion { prompt, tokens: TOKENS, answer, planned_stop_only };
        recorder.note(|history| history.completions.push(completion));
    }
}

/// Sends each transfer to one entry and then, whatever came, to another.
async fn transfer(
    phase: sync::Arc<Phase>,
    recorder: history::Recorder,
    entries: Vec<caller::Caller>,
    caller: usize,
) {
    for call in 0.. {
        if phase.stopping() {
            return;
        }
        let key = format!("transfer-{caller}-{call}");
        for resend in 0..2 {
            let entry = &entries[(caller + call + resend) % entries.len()];
            let answer = entry.operate(deployment::LEDGER, &key, "{\"hours\": 2}").await;
            let ran = answer.problem().map(|problem| problem.ran);
            let answer = history::OperationAnswer {
                key: key.clone(),
                status: answer.status,
                ran,
                body: answer.body,
            };
            recorder.note(|history| history.operations.push(answer));
        }
        pause(10).await;
    }
}

/// Labels a model, racing the other operators by the same expected revision, and sends each change
/// again at another entry where its answer was lost.
async fn change(
    phase: sync::Arc<Phase>,
    recorder: history::Recorder,
    entries: Vec<caller::Operator>,
    operator: usize,
) {
    let mut expected_revision = 0;
    for number in 0.. {
        if phase.stopping() {
            return;
        }
        let id = format!("operator-{operator}-change-{number}");
        let object = caller::labels(&[("last", &id)]);
        let key = "model/raced".to_owned();
        let change = wire::Change {
            id,
            key,
            expected_revision: Some(expected_revision),
            object: Some(object),
        };
        for resend in 0..entries.len() {
            let entry = &entries[(operator + number + resend) % entries.len()];
            let Some(answer) = entry.change(&change).await else {
                continue;
            };
            if answer.outcome == wire::ChangeAnswerOutcome::Unknown {
                continue;
            }
            if let Some(revision) = answer.revision.or(answer.present_revision) {
                expected_revision = revision;
            }
            note(&recorder, &change, &answer);
            break;
        }
        pause(60).await;
    }
}

fn note(recorder: &history::Recorder, change: &wire::Change, answer: &wire::ChangeAnswer) {
    let Some(revision) = answer.revision else {
        return;
    };
    let accepted = history::Accepted {
        id: change.id.clone(),
        key: change.key.clone(),
        object: change.object.clone(),
        revision,
        at: recorder.now(),
    };
    recorder.note(|history| history.accepted.push(accepted));
}
