//! Who votes, who learns, and the one change at a time that is allowed.

use std::collections;

use crate::replication::entry;

/// Voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Membership {
    /// Replicas whose acknowledgements and votes count.
    pub voters: collections::BTreeSet<entry::ReplicaId>,
    /// Replicas that are sent the log but do not count.
    pub learners: collections::BTreeSet<entry::ReplicaId>,
}

/// One membership change. Each moves at most one voter, so that any quorum before it and any
/// quorum after it share a replica.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// Starts to send the log to a replica. Another learner on the same instance is dropped.
    AddLearner(entry::ReplicaId),
    /// Makes a learner that has caught up a voter.
    Promote(entry::ReplicaId),
    /// Drops a voter or learner.
    Remove(entry::ReplicaId),
}

impl Membership {
    /// A group with a single voter.
    pub fn single_voter(id: entry::ReplicaId) -> Self {
        Self { voters: [id].into(), learners: collections::BTreeSet::new() }
    }

    /// Number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether these replicas include a quorum of the voters.
    pub fn is_quorum(&self, replicas: &collections::BTreeSet<entry::ReplicaId>) -> bool {
        self.voters.intersection(replicas).count() >= self.quorum()
    }

    /// The greatest number that a quorum of the voters has reached.
    pub fn quorum_value(&self, number_of: impl Fn(&entry::ReplicaId) -> u64) -> u64 {
        let mut numbers: Vec<u64> = self.voters.iter().map(number_of).collect();
        numbers.sort_unstable_by(|a, b| b.cmp(a));
        numbers.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = &entry::ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// The membership after a change, or none if the change does not apply.
    pub fn with_change(&self, change: &Change) -> Option<Self> {
        let mut next = self.clone();
        let applies = match change {
            Change::AddLearner(id) => {
                next.learners.retain(|other| other.instance != id.instance || other == id);
                !self.voters.contains(id) && next.learners.insert(id.clone())
            }
            Change::Promote(id) => next.learners.remove(id) && next.voters.insert(id.clone()),
            Change::Remove(id) => next.voters.remove(id) || next.learners.remove(id),
        };
        (applies && !next.voters.is_empty()).then_some(next)
    }
}
