//! What must hold after every step, whatever happened.

use std::{collections, iter};

use ragwortdeal_core::replication::{entry, payload};

/// The invariants, kept apart from the replicas that they judge.
#[derive(Default)]
pub struct Checks {
    leaders: collections::BTreeMap<u64, entry::ReplicaId>,
    /// For each index, a hash over all entries up to it as first applied anywhere.
    chain: Vec<u64>,
    reads: collections::BTreeMap<u64, u64>,
    /// What was checked, so that a run can show that it was no empty one.
    pub tally: Tally,
}

/// Counts of what happened in some runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub runs: u64,
    pub accepted: u64,
    pub reads: u64,
    pub restores: u64,
    pub elections: u64,
    pub memberships: u64,
    /// Runs that lost more disks than any protocol outlives.
    pub beyond_repair: u64,
}

impl iter::Sum for Tally {
    fn sum<I: Iterator<Item = Self>>(tallies: I) -> Self {
        tallies.fold(Self::default(), |sum, it| Self {
            runs: sum.runs + it.runs,
            accepted: sum.accepted + it.accepted,
            reads: sum.reads + it.reads,
            restores: sum.restores + it.restores,
            elections: sum.elections + it.elections,
            memberships: sum.memberships + it.memberships,
            beyond_repair: sum.beyond_repair + it.beyond_repair,
        })
    }
}

pub type Verdict = Result<(), String>;

impl Checks {
    pub fn new() -> Self {
        Self { chain: vec![0], ..Self::default() }
    }

    /// Index of the newest entry that any replica has applied.
    pub fn accepted(&self) -> u64 {
        self.chain.len() as u64 - 1
    }

    pub fn leader(&mut self, term: u64, id: &entry::ReplicaId) -> Verdict {
        self.tally.elections += 1;
        let first = self.leaders.entry(term).or_insert_with(|| id.clone());
        if first == id {
            return Ok(());
        }
        Err(format!("term {term} has two leaders, {first} and {id}"))
    }

    /// An entry is applied on a replica whose applied index was `before`.
    pub fn applied(&mut self, before: u64, entry: &entry::Entry) -> Verdict {
        let index = entry.position.index;
        if index != before + 1 {
            return Err(format!("entry {index} applied after {before}"));
        }
        let Some(&former) = self.chain.get(index as usize - 1) else {
            return Err(format!("entry {index} applied before its predecessor anywhere"));
        };
        let hash = mix(former, &format!("{entry:?} {:?}", data_of(entry)));
        match self.chain.get(index as usize) {
            None => {
                self.chain.push(hash);
                self.tally.accepted += 1;
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

    /// The state at an index, padded so that it is sent in several pieces.
    pub fn state_at(&self, index: u64) -> payload::Bytes {
        let mut state = self.chain[index as usize].to_le_bytes().to_vec();
        state.resize(8 + (index as usize * 37) % 400, 0);
        state.into()
    }

    pub fn restored(&mut self, before: u64, snapshot: &entry::Snapshot) -> Verdict {
        let index = snapshot.position.index;
        if index <= before {
            return Err(format!("snapshot {index} restored over {before}"));
        }
        if index > self.accepted() || self.state_at(index) != snapshot.state {
            return Err(format!("snapshot {index} is not the accepted state"));
        }
        self.tally.restores += 1;
        Ok(())
    }

    pub fn read_asked(&mut self, token: u64) {
        self.reads.insert(token, self.accepted());
    }

    pub fn read_answered(&mut self, token: u64, index: u64, applied: u64) -> Verdict {
        let Some(floor) = self.reads.remove(&token) else {
            return Err(format!("read {token} answered twice"));
        };
        self.tally.reads += 1;
        if index < floor || applied < index {
            return Err(format!("read at {index}, applied {applied}, but {floor} was accepted"));
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

/// FNV-1a, started from the hash of the entries before.
fn mix(seed: u64, text: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, fold)
}
