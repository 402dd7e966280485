//! The steps that replace a lost voter, one membership change at a time.

use crate::replication::{entry, membership};

/// The next change that brings a replica in as voter and takes the one it replaces out.
///
/// The new replica votes first and the lost one leaves after: were it the other way round, the
/// group would for a time consist of the remaining voters alone, with one copy fewer. None when
/// nothing is left to do.
pub fn next_change(
    present: &membership::Membership,
    new: &entry::ReplicaId,
    lost: Option<&entry::ReplicaId>,
) -> Option<membership::Change> {
    if !present.voters.contains(new) {
        let is_learner = present.learners.contains(new);
        return Some(if is_learner {
            membership::Change::Promote(new.clone())
        } else {
            membership::Change::AddLearner(new.clone())
        });
    }
    lost.filter(|lost| present.voters.contains(lost) || present.learners.contains(lost))
        .map(|lost| membership::Change::Remove(lost.clone()))
}

/// The voter on the same instance whose storage a newly announced replica stands in for.
pub fn replaced_by<'m>(
    present: &'m membership::Membership,
    new: &entry::ReplicaId,
) -> Option<&'m entry::ReplicaId> {
    present.voters.iter().find(|voter| voter.instance == new.instance && *voter != new)
}
