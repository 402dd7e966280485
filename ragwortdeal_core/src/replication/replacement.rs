//! Replacement of a lost voter, one membership change at a time.

use crate::replication::{entry, membership};

/// The next change that adds a replica as a voter and removes the one that it replaces, or `None`
/// if no change is left.
///
/// The new replica becomes a voter before the lost one is removed. In the opposite order the group
/// would temporarily consist of the remaining voters only, with one copy fewer.
pub fn next_change(
    current: &membership::Membership,
    new: &entry::ReplicaId,
    lost: Option<&entry::ReplicaId>,
) -> Option<membership::Change> {
    if !current.voters.contains(new) {
        let is_learner = current.learners.contains(new);
        return Some(if is_learner {
            membership::Change::Promote(new.clone())
        } else {
            membership::Change::AddLearner(new.clone())
        });
    }
    lost.filter(|lost| current.voters.contains(lost) || current.learners.contains(lost))
        .map(|lost| membership::Change::Remove(lost.clone()))
}

/// The voter on the same instance, with another storage, that a newly announced replica replaces.
pub fn replaced_by<'m>(
    current: &'m membership::Membership,
    new: &entry::ReplicaId,
) -> Option<&'m entry::ReplicaId> {
    current.voters.iter().find(|voter| voter.instance == new.instance && *voter != new)
}
