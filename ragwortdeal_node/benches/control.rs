//! Measures the voters: accepted changes a second, time to acceptance, time to a new leader, and
//! the restart after 100,000 changes. Prints one line a figure.

use std::{path, time};

use futures_util::StreamExt as _;
use hdrhistogram::Histogram;
use ragwortdeal_core::{
    command, config, labels, name,
    replication::{self, entry, replica},
};
use ragwortdeal_node::{link, storage};
use ragwortdeal_standins::{caller, deployment};
use ragwortdeal_wire::{link as wire, operator};
use tokio::runtime;

/// Changes of one measurement of the rate.
const CHANGES: usize = 5_000;
/// Changes after which the restart is measured.
const RESTART_CHANGES: u64 = 100_000;
/// Writes that share a sync while the log for the restart is made.
const RESTART_BATCH: u64 = 500;
/// How often the leader is killed.
const KILLS: usize = 10;

fn main() {
    let runtime = runtime::Runtime::new().expect("a runtime");
    measure_sync();
    for concurrent in [1, 16, 256] {
        runtime.block_on(measure_acceptance(concurrent));
    }
    runtime.block_on(measure_new_leader());
    measure_restart();
}

/// What the disk does: an append of 200 bytes with its sync, nothing else.
fn measure_sync() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut storage = storage::Storage::open(folder.path()).expect("opens");
    let mut times = histogram();
    for index in 1..=1_000 {
        let start = time::Instant::now();
        storage.write(&[write_of(index)]).expect("writes");
        record(&mut times, start);
    }
    report("one synced write", &times);
}

fn plan() -> deployment::Plan {
    deployment::Plan {
        voters: 3,
        entries: 1,
        engines: 0,
        ledgers: 0,
        portals: 0,
        ..deployment::Plan::default()
    }
}

/// Three voters and synced writes; the proposer speaks to one voter over its link.
async fn measure_acceptance(concurrent: usize) {
    let deployment = deployment::Deployment::start(plan()).await.expect("starts");
    deployment.open_routes().await;
    let link = deployment.voter_link(0);
    deployment::wait_for("the link is up", async || link.is_up()).await;
    let start = time::Instant::now();
    let proposals = (0..CHANGES).map(|number| propose(&link, number));
    let waits: Vec<time::Duration> =
        futures_util::stream::iter(proposals).buffer_unordered(concurrent).collect().await;
    let elapsed = start.elapsed();
    let mut times = histogram();
    for wait in waits {
        times.record(micros(wait)).expect("the histogram grows");
    }
    let rate = CHANGES as f64 / elapsed.as_secs_f64();
    report(&format!("accepted, {concurrent} at a time, {rate:.0} a second"), &times);
}

async fn propose(link: &link::Link, number: usize) -> time::Duration {
    let start = time::Instant::now();
    let message = wire::Message::Propose(wire::Propose { payload: encoded(number as u64).into() });
    let answer = link.request("bench", message, 30_000).await.expect("an answer");
    assert!(matches!(answer, wire::Message::Proposed(_)), "not accepted: {answer:?}");
    start.elapsed()
}

/// Time from the kill of the leader until the next change is accepted through an entry.
async fn measure_new_leader() {
    let mut deployment = deployment::Deployment::start(plan()).await.expect("starts");
    deployment.open_routes().await;
    let mut times = histogram();
    for kill in 0..KILLS {
        let leader = leader(&deployment).await;
        deployment.voters[leader].process.take().expect("running").kill();
        let start = time::Instant::now();
        let mut accepted = false;
        while !accepted {
            accepted = accept(&deployment, kill).await;
        }
        record(&mut times, start);
        deployment.restart_voter(leader).await.unwrap();
        tokio::time::sleep(time::Duration::from_secs(2)).await;
    }
    report("accepted again after the leader was killed", &times);
}

async fn accept(deployment: &deployment::Deployment, kill: usize) -> bool {
    let change = operator::Change {
        id: format!("kill-{kill}"),
        key: format!("instance/kill-{kill}"),
        expected_revision: None,
        object: Some(caller::labels(&[])),
    };
    let answer = deployment.operator(0).change(&change).await;
    answer.is_some_and(|answer| answer.revision.is_some())
}

async fn leader(deployment: &deployment::Deployment) -> usize {
    let mut found = None;
    deployment::wait_for("there is a leader", async || {
        for number in 0..deployment.voters.len() {
            let status = deployment.voter_status(number).await;
            if status.is_some_and(|status| status.is_leader) {
                found = Some(number);
            }
        }
        found.is_some()
    })
    .await;
    found.expect("a leader")
}

/// Opens a folder with 100,000 changes behind no snapshot at all, and applies them.
fn measure_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    write_changes(folder.path());
    let start = time::Instant::now();
    let storage = storage::Storage::open(folder.path()).expect("opens");
    let read = start.elapsed();
    let stored = storage.state().clone();
    let id = entry::ReplicaId {
        instance: name::InstanceName::new("voter-0").expect("a valid name"),
        storage: storage.storage_id(),
    };
    let options = replication::Options::default();
    let mut replica = replica::Replica::new(id, options, stored, 0);
    let mut machine = command::StateMachine::default();
    for output in replica.step(replication::Input::Tick, 0) {
        if let replication::Output::Apply(entries) = output {
            entries.iter().for_each(|entry| apply(&mut machine, entry));
        }
    }
    let revision = machine.config().revision();
    let (read_ms, all_ms) = (read.as_millis(), start.elapsed().as_millis());
    println!("restart after {revision} changes: read in {read_ms} ms, applied in {all_ms} ms");
}

fn apply(machine: &mut command::StateMachine, entry: &entry::Entry) {
    if let entry::Payload::Data(data) = &entry.payload {
        let command: command::Command = ciborium::from_reader(&data[..]).expect("a command");
        machine.apply(&command);
    }
}

fn write_changes(folder: &path::Path) {
    let mut storage = storage::Storage::open(folder).expect("opens");
    let mut first = 1;
    while first <= RESTART_CHANGES {
        let writes: Vec<_> = (first..first + RESTART_BATCH).map(write_of).collect();
        storage.write(&writes).expect("writes");
        first += RESTART_BATCH;
    }
}

fn write_of(index: u64) -> entry::Write {
    let position = entry::Position { term: 1, index };
    let payload = entry::Payload::Data(encoded(index).into());
    let hard_state = entry::HardState { term: 1, commit: index, ..Default::default() };
    entry::Write {
        id: index,
        entries: vec![entry::Entry { position, payload }],
        hard_state: Some(hard_state),
        ..Default::default()
    }
}

/// A change of the labels of one of 5,600 instances.
fn encoded(number: u64) -> Vec<u8> {
    let instance = name::InstanceName::new(&format!("engine-{}", number % 5_600));
    let change = config::change::Change {
        id: name::ChangeId::new(&format!("change-{number}")).expect("a valid name"),
        key: config::object::ObjectKey::Instance(instance.expect("a valid name")),
        expected_revision: None,
        object: Some(config::object::Object::Labels(labels::Labels::default())),
    };
    let mut payload = Vec::new();
    ciborium::into_writer(&command::Command::Change(change), &mut payload).expect("encodes");
    payload
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

fn micros(duration: time::Duration) -> u64 {
    duration.as_micros() as u64
}

fn record(times: &mut Histogram<u64>, start: time::Instant) {
    times.record(micros(start.elapsed())).expect("the histogram grows");
}

fn report(what: &str, times: &Histogram<u64>) {
    let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1_000.0;
    let (half, most, worst) = (at(0.5), at(0.99), at(1.0));
    println!("{what}: median {half:.2} ms, 99 in 100 {most:.2} ms, longest {worst:.2} ms");
}
