//! Five voters' replicas that accept changes, with disks that sync at once.

use std::collections;

use ragwortdeal_core::{
    name,
    replication::{Input, Options, Output, entry, membership, message, replica},
};

use crate::{meter, trees, zones};

const STEP_MS: u64 = 50;
const VOTERS: u64 = 5;

/// A group of voters.
pub struct Voters {
    now_ms: u64,
    replicas: collections::BTreeMap<entry::ReplicaId, replica::Replica>,
    /// Cost by voter since the last reset.
    pub costs: collections::BTreeMap<entry::ReplicaId, zones::Cost>,
    queue: collections::VecDeque<(entry::ReplicaId, entry::ReplicaId, Vec<u8>)>,
    accepted: u64,
}

fn id(number: u64) -> entry::ReplicaId {
    let instance = name::InstanceName::new(&format!("voter-{number}")).expect("valid");
    entry::ReplicaId { instance, storage: entry::StorageId(number) }
}

impl Voters {
    /// Starts the voters and waits for a leader.
    pub fn new() -> Self {
        let voters = (0..VOTERS).map(id).collect();
        let membership = membership::Membership { voters, learners: collections::BTreeSet::new() };
        let mut stored = entry::PersistentState::bootstrap(&id(0));
        stored.entries[0].payload = entry::Payload::Membership(membership);
        let replica = |number| {
            let options = Options { seed: number, ..Options::default() };
            (id(number), replica::Replica::new(id(number), options, stored.clone(), 0))
        };
        let replicas = (0..VOTERS).map(replica).collect();
        let costs = (0..VOTERS).map(|number| (id(number), zones::Cost::default())).collect();
        let queue = collections::VecDeque::new();
        let mut voters = Self { now_ms: 0, replicas, costs, queue, accepted: 0 };
        voters.run(10_000);
        assert!(voters.leader().is_some(), "five voters that reach each other have a leader");
        voters
    }

    /// The leader.
    pub fn leader(&self) -> Option<entry::ReplicaId> {
        self.replicas.iter().find(|(_, replica)| replica.is_leader()).map(|(id, _)| id.clone())
    }

    /// Changes that the leader has given out to be applied.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Proposes a change to the leader.
    pub fn propose(&mut self, number: u64) {
        let leader = self.leader().expect("there is one");
        let data = meter::encode(&trees::change(number, 10_000)).into();
        self.step(&leader, Input::Propose { token: number, data });
        self.deliver();
    }

    /// Lets the time pass.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for number in 0..VOTERS {
                self.step(&id(number), Input::Tick);
            }
            self.deliver();
        }
    }

    /// Forgets what was counted.
    pub fn reset(&mut self) {
        self.accepted = 0;
        self.costs.values_mut().for_each(|cost| *cost = zones::Cost::default());
    }

    fn deliver(&mut self) {
        while let Some((from, to, bytes)) = self.queue.pop_front() {
            let started_ns = meter::thread_cpu_ns();
            let message: message::Message = meter::decode(&bytes);
            let cost = self.costs.get_mut(&to).expect("known");
            cost.messages += 1;
            cost.received_bytes += bytes.len() as u64 + meter::MESSAGE_OVERHEAD_BYTES;
            cost.cpu_ns += meter::thread_cpu_ns() - started_ns;
            self.step(&to, Input::Receive { from, message });
        }
    }

    fn step(&mut self, voter: &entry::ReplicaId, input: Input) {
        let started_ns = meter::thread_cpu_ns();
        let mut inputs = collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let replica = self.replicas.get_mut(voter).expect("known");
            for output in replica.step(input, self.now_ms) {
                match output {
                    Output::Persist(write) => {
                        // Encoded as the storage does it, and synced at once.
                        meter::encode(&write);
                        inputs.push_back(Input::WriteSynced { write_id: write.id });
                    }
                    Output::Send { to, message } => self.send(voter, to, &message),
                    Output::Apply(entries) if self.leader().as_ref() == Some(voter) => {
                        self.accepted += entries.len() as u64;
                    }
                    _ => {}
                }
            }
        }
        let cost = self.costs.get_mut(voter).expect("known");
        cost.cpu_ns += meter::thread_cpu_ns() - started_ns;
    }

    fn send(&mut self, from: &entry::ReplicaId, to: entry::ReplicaId, message: &message::Message) {
        let bytes = meter::encode(message);
        let cost = self.costs.get_mut(from).expect("known");
        cost.messages += 1;
        cost.sent_bytes += bytes.len() as u64 + meter::MESSAGE_OVERHEAD_BYTES;
        self.queue.push_back((from.clone(), to, bytes));
    }
}
