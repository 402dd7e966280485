//! A simulated process with its clock, disk and links.

use std::{cmp, collections};

use ragwortdeal_core::{
    name,
    replication::{self, Options, entry, membership, replica},
};
use rand::RngExt as _;

const ELECTION_TIMEOUT_MS: u64 = 200;

pub struct Node {
    pub id: entry::ReplicaId,
    pub replica: Option<replica::Replica>,
    pub durable: entry::PersistentState,
    pub unsynced: collections::VecDeque<entry::Write>,
    pub old_disk: entry::PersistentState,
    pub applied: u64,
    pub incarnation: u64,
    pub rate_percent: u64,
    pub offset_ms: u64,
    pub paused_until_ms: u64,
    pub inbound_cut: bool,
    pub outbound_cut: bool,
}

impl Node {
    pub fn new(
        id: entry::ReplicaId,
        bootstrap: &entry::PersistentState,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Self {
        Self {
            id,
            replica: None,
            durable: bootstrap.clone(),
            unsynced: collections::VecDeque::new(),
            old_disk: bootstrap.clone(),
            applied: 0,
            incarnation: 0,
            rate_percent: random.random_range(80..=120),
            offset_ms: 0,
            paused_until_ms: 0,
            inbound_cut: false,
            outbound_cut: false,
        }
    }

    pub fn describe(&self) -> String {
        let status = self.replica.as_ref().map(replica::Replica::status);
        format!("{}: {status:?}", self.id)
    }

    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms * self.rate_percent / 100
    }

    pub fn term(&self) -> cmp::Reverse<cmp::Reverse<u64>> {
        let term = self.replica.as_ref().map_or(0, |replica| replica.status().term);
        cmp::Reverse(cmp::Reverse(term))
    }

    pub fn last(&self) -> entry::Position {
        match &self.replica {
            Some(replica) => replica.status().last,
            None => replication::log::Log::new(&self.durable).last(),
        }
    }

    pub fn membership(&self) -> membership::Membership {
        match &self.replica {
            Some(replica) => replica.status().membership,
            None => replication::log::Log::new(&self.durable).membership().clone(),
        }
    }
}

pub fn replica_id(node: usize, storage: u64) -> entry::ReplicaId {
    let instance = name::InstanceName::new(&format!("voter-{node}")).expect("a valid name");
    entry::ReplicaId { instance, storage: entry::StorageId(storage) }
}

/// The initial state of a group with these voters.
pub fn bootstrap(ids: &[entry::ReplicaId]) -> entry::PersistentState {
    let mut stored = entry::PersistentState::bootstrap(&ids[0]);
    let voters = ids.iter().cloned().collect();
    let membership = membership::Membership { voters, ..membership::Membership::default() };
    stored.entries[0].payload = entry::Payload::Membership(membership);
    stored
}

/// Small limits, so that short runs reach them.
pub fn options(seed: u64) -> Options {
    Options {
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        heartbeat_ms: 40,
        max_append_bytes: 200,
        max_inflight_appends: 3,
        snapshot_piece_bytes: 64,
        max_snapshot_bytes: 10_000,
        retained_entries: 5,
        max_uncommitted_entries: 50,
        seed,
    }
}
