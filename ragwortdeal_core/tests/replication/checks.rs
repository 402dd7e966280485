//! Invariants that must hold after every step.

use std::{collections, iter};

use ragwortdeal_core::replication::{entry, payload};

/// Checks the invariants independently of the replicas' own state.
#[derive(Default)]
pub struct Checks {
    leaders: collections::BTreeMap<u64, entry::ReplicaId>,
    /// For each index, a hash over all entries up to it as first applied on any replica.
    chain: Vec<u64>,
    reads: collections::BTreeMap<u64, u64>,
    /// What was checked, to prove that a run exercised the replicas.
    pub tally: Tally,
}

/// Counts of the events in some runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub runs: u64,
    pub committed: u64,
    pub reads: u64,
    pub restores: u64,
    pub elections: u64,
    pub memberships: u64,
    /// Runs that lost more disks than any protocol can survive.
    pub unrecoverable: u64,
}

impl iter::Sum for Tally {
    fn sum<I: Iterator<Item = Self>>(tallies: I) -> Self {
        tallies.fold(Self::default(), |sum, it| Self {
            runs: sum.runs + it.runs,
            committed: sum.committed + it.committed,
            reads: sum.reads + it.reads,
            restores: sum.restores + it.restores,
            elections: sum.elections + it.elections,
            memberships: sum.memberships + it.memberships,
            unrecoverable: sum.unrecoverable + it.unrecoverable,
        })
    }
}

pub type CheckResult = Result<(), String>;

impl Checks {
    pub fn new() -> Self {
        Self { chain: vec![0], ..Self::default() }
    }

    /// Index of the newest entry that any replica has applied.
    pub fn committed(&self) -> u64 {
        self.chain.len() as u64 - 1
    }

    pub fn leader_elected(&mut self, term: u64, id: &entry::ReplicaId) -> CheckResult {
        self.tally.elections += 1;
        let first = self.leaders.entry(term).or_insert_with(|| id.clone());
        if first == id {
            return Ok(());
        }
        Err(format!("term {term} has two leaders, {first} and {id}"))
    }

    /// Checks an entry that is applied on a replica whose applied index was `before`.
    pub fn applied(&mut self, before: u64, entry: &entry::Entry) -> CheckResult {
        let index = entry.position.index;
        if index != before + 1 {
            return Err(format!("entry {index} applied after {before}"));
        }
        let Some(&former) = self.chain.get(index as usize - 1) else {
            return Err(format!("entry {index} applied before its predecessor on any replica"));
        };
        let hash = chain_hash(former, &format!("{entry:?} {:?}", data_of(entry)));
        match self.chain.get(index as usize) {
            None => {
                self.chain.push(hash);
                self.tally.committed += 1;
                self.tally.memberships +=
                    u64::from(matches!(entry.payload, entry::Payload::Membership(_)));
            }
            Some(&known) if known != hash => {
                return Err(format!("committed entry {index} was changed"));
            }
            Some(_) => {}
        }
        Ok(())
    }

    /// The state at an index, padded so that most snapshots are sent in several pieces.
    pub fn state_at(&self, index: u64) -> payload::Bytes {
        let mut state = self.chain[index as usize].to_le_bytes().to_vec();
        state.resize(8 + (index as usize * 37) % 400, 0);
        state.into()
    }

    pub fn restored(&mut self, before: u64, snapshot: &entry::Snapshot) -> CheckResult {
        let index = snapshot.position.index;
        if index <= before {
            return Err(format!("snapshot {index} restored over {before}"));
        }
        if index > self.committed() || self.state_at(index) != snapshot.state {
            return Err(format!("snapshot {index} is not the committed state"));
        }
        self.tally.restores += 1;
        Ok(())
    }

    pub fn read_requested(&mut self, token: u64) {
        self.reads.insert(token, self.committed());
    }

    pub fn read_answered(&mut self, token: u64, index: u64, applied: u64) -> CheckResult {
        let Some(floor) = self.reads.remove(&token) else {
            return Err(format!("read {token} answered twice"));
        };
        self.tally.reads += 1;
        if index < floor || applied < index {
            return Err(format!("read at {index}, applied {applied}, but {floor} was committed"));
        }
        Ok(())
    }
}

fn data_of(entry: &entry::Entry) -> Option<&[u8]> {
    match &entry.payload {
        entry::Payload::Data(data) => Some(data),
        _ => None,
    }
}

/// FNV-1a, seeded with the hash of the previous entries.
fn chain_hash(seed: u64, text: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, fold)
}
