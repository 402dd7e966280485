//! Voters and learners of a group, and the single-step changes of its membership.

use std::collections;

use crate::replication::entry;

/// Voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Membership {
    /// Replicas whose votes and acknowledgements count towards a quorum.
    pub voters: collections::BTreeSet<entry::ReplicaId>,
    /// Replicas that receive the log but do not count towards a quorum.
    pub learners: collections::BTreeSet<entry::ReplicaId>,
}

/// One membership change. It adds or removes at most one voter, so that every quorum before it and
/// every quorum after it have a replica in common.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// Adds a replica that receives the log. It replaces any other learner on the same instance.
    AddLearner(entry::ReplicaId),
    /// Makes a learner that has caught up a voter.
    Promote(entry::ReplicaId),
    /// Removes a voter or learner.
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

    /// The greatest value that a quorum of the voters has reached.
    pub fn quorum_value(&self, value_of: impl Fn(&entry::ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = &entry::ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// The membership after a change, or `None` if the change does not apply.
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
