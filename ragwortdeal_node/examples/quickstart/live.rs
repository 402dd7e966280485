//! Live callers, each of which checks every answer it gets.

use std::{
    collections,
    sync::{self, atomic},
    time,
};

use ragwortdeal_standins::{caller, deployment, engine};
use ragwortdeal_wire::operator as wire;
use tokio::task;

/// Tokens of each completion.
const TOKENS: u64 = 40;

/// How often a caller asks again for an answer it did not get.
const TRIES: usize = 20;

/// What the callers saw.
#[derive(Debug, Default)]
pub(crate) struct Live {
    stopping: atomic::AtomicBool,
    pub(crate) whole: atomic::AtomicU64,
    pub(crate) asked_again: atomic::AtomicU64,
    pub(crate) mixed: atomic::AtomicU64,
    pub(crate) lost: atomic::AtomicU64,
    pub(crate) transfers: atomic::AtomicU64,
    pub(crate) in_doubt: atomic::AtomicU64,
    /// Keys that some caller was told did not run, by its last answer.
    pub(crate) not_run: sync::Mutex<collections::BTreeSet<String>>,
    pub(crate) first_bytes: sync::Mutex<Vec<time::Duration>>,
    pub(crate) gaps: sync::Mutex<Vec<time::Duration>>,
}

impl Live {
    pub(crate) fn stop(&self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
    }

    fn stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }
}

fn count(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

/// Starts the callers.
pub(crate) fn start(
    running: &deployment::Deployment,
    live: &sync::Arc<Live>,
    callers: usize,
    operators: usize,
) -> Vec<task::JoinHandle<()>> {
    let entries: Vec<caller::Caller> =
        (0..running.entries.len()).map(|entry| running.caller(entry)).collect();
    let completing = (0..callers).map(|number| {
        tokio::spawn(complete(live.clone(), entries[number % entries.len()].clone(), number))
    });
    let transferring =
        (0..operators).map(|number| tokio::spawn(transfer(live.clone(), entries.clone(), number)));
    completing.chain(transferring).collect()
}

async fn complete(live: sync::Arc<Live>, entry: caller::Caller, caller: usize) {
    for call in 0.. {
        if live.stopping() {
            return;
        }
        let prompt = format!("caller-{caller}-call-{call}");
        if !until_whole(&live, &entry, &prompt).await {
            count(&live.lost);
        }
    }
}

/// Asks until a whole answer came, as callers of idempotent calls may.
async fn until_whole(live: &Live, entry: &caller::Caller, prompt: &str) -> bool {
    for _ in 0..TRIES {
        let answer = entry.complete(deployment::MODEL, prompt, TOKENS).await;
        if answer.status == 200 && answer.ended() && !answer.broken {
            check(live, &answer, prompt);
            return true;
        }
        count(&live.asked_again);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    false
}

/// An answer must be the whole answer to this very prompt, made by one version alone.
fn check(live: &Live, answer: &caller::Answer, prompt: &str) {
    let version = answer.version.clone().unwrap_or_default();
    let expected: String =
        (0..TOKENS).map(|token| engine::token_text(&version, prompt, token)).collect();
    if answer.text() == expected {
        count(&live.whole);
    } else {
        count(&live.mixed);
    }
    live.first_bytes.lock().expect("no panic under lock").push(answer.first_byte);
    live.gaps.lock().expect("no panic under lock").push(answer.longest_gap);
}

/// Makes transfers, each sent twice at different entries as an impatient caller does.
async fn transfer(live: sync::Arc<Live>, entries: Vec<caller::Caller>, caller: usize) {
    for call in 0.. {
        if live.stopping() {
            return;
        }
        let key = format!("transfer-{caller}-{call}");
        let (one, other) = (&entries[call % entries.len()], &entries[(call + 1) % entries.len()]);
        let body = "{\"hours\": 2}";
        let (first, second) = tokio::join!(
            one.operate(deployment::LEDGER, &key, body),
            other.operate(deployment::LEDGER, &key, body),
        );
        let mut last = first;
        for answer in [second, one.operate(deployment::LEDGER, &key, body).await] {
            if answer.status == 200 || last.status != 200 {
                last = answer;
            }
        }
        note(&live, &key, &last);
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

fn note(live: &Live, key: &str, answer: &caller::Answer) {
    count(&live.transfers);
    let ran = answer.problem().map(|problem| problem.ran);
    match (answer.status, ran) {
        (200, _) => (),
        (_, Some(wire::Ran::DidNotRun)) => {
            live.not_run.lock().expect("no panic under lock").insert(key.to_owned());
        }
        _ => count(&live.in_doubt),
    }
}
