//! When a voter that was asked to stop may end.
//!
//! A vote ends with its process. A voter for which a standby is there therefore stays until the
//! group has replaced it: two voters that end one shortly after the other would otherwise take the
//! quorum with them, and a group without a quorum can no longer change its members.
//! `docs/incidents/planned-replacements.md` tells what was weighed.

use crate::replication::{entry, membership};

/// Time for which a voter announces that it leaves before it may end, so that it isn't chosen as a
/// replacement itself.
const ANNOUNCE_MS: u64 = 200;

/// How long a leader waits for another voter to take over where nobody replaces it.
const HANDOVER_MS: u64 = 2_000;

/// What a voter that was asked to stop knows.
#[derive(Clone, Debug)]
pub struct DepartureView<'a> {
    /// Its identifier.
    pub own: &'a entry::ReplicaId,
    /// The effective membership in its log.
    pub membership: &'a membership::Membership,
    /// Whether that membership is committed.
    pub is_membership_committed: bool,
    /// Whether the leader told it that the group goes on without it.
    pub is_told_removed: bool,
    /// Whether it is the leader.
    pub is_leader: bool,
    /// Whether another replica could take its place.
    pub has_standby: bool,
    /// Number of voters that the group should have.
    pub target_voters: usize,
    /// Time since it was asked to stop, in milliseconds.
    pub elapsed_ms: u64,
    /// Time within which it has to end, in milliseconds.
    pub limit_ms: u64,
}

/// Whether the voter may end now.
pub fn may_end(view: &DepartureView<'_>) -> bool {
    if view.elapsed_ms >= view.limit_ms {
        return true;
    }
    if view.elapsed_ms < ANNOUNCE_MS {
        return false;
    }
    let is_member = view.membership.members().any(|member| member == view.own);
    let has_left = !is_member && view.is_membership_committed;
    if (has_left || view.is_told_removed) && !view.is_leader {
        return true;
    }
    if is_member && is_replacement_possible(view) {
        return false;
    }
    let is_sole_voter = view.membership.voters.len() <= 1;
    !view.is_leader || is_sole_voter || view.elapsed_ms >= HANDOVER_MS
}

/// Whether a standby can still be added, or was added and this voter isn't removed yet.
fn is_replacement_possible(view: &DepartureView<'_>) -> bool {
    view.has_standby
        || !view.membership.learners.is_empty()
        || view.membership.voters.len() > view.target_voters
}
