//! The dissemination tree over the live members of a zone.
//!
//! Every member computes the tree for itself. A member's rank follows from a hash of its name, so
//! the failure of a member moves only its children and the few members whose level changes.

use std::cmp;

use crate::{membership, name};

/// Members of a zone that receive deltas from outside; two, so that the failure of one stalls the
/// zone only briefly.
pub const ROOTS_PER_ZONE: usize = 2;

/// Children per member on average. With eight, four levels hold 1,170 members.
pub const FANOUT: usize = 8;

/// Members that record which revisions the zone may have applied.
pub const WITNESSES_PER_ZONE: usize = 5;

/// Candidate parents of a member.
const PARENTS_MAX: usize = 8;

/// The tree as seen from one member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Whether this member receives deltas from outside the zone.
    pub is_root: bool,
    /// Members of the zone that may serve as its parent, in order of preference.
    pub parents: Vec<name::InstanceName>,
    /// The zone's witnesses.
    pub witnesses: Vec<name::InstanceName>,
}

impl View {
    /// Computes the view of `own` from the live members, which include itself.
    pub fn compute(
        zone: &name::ZoneName,
        own: &name::InstanceName,
        members: impl IntoIterator<Item = name::InstanceName>,
    ) -> Self {
        let mut ranked: Vec<_> = members
            .into_iter()
            .map(|member| cmp::Reverse((membership::rendezvous_weight(zone, &member), member)))
            .collect();
        ranked.sort();
        ranked.dedup();
        let ranked: Vec<_> = ranked.into_iter().map(|cmp::Reverse((_, member))| member).collect();
        let rank = ranked.iter().position(|member| member == own).unwrap_or(ranked.len());
        let witnesses = ranked.iter().take(WITNESSES_PER_ZONE).cloned().collect();
        Self { is_root: rank < ROOTS_PER_ZONE, parents: parents(own, rank, &ranked), witnesses }
    }

    /// Hash over the witnesses, by which two members compare their views of them.
    pub fn witnesses_hash(&self) -> u64 {
        let combine = |hash, name: &name::InstanceName| {
            membership::splitmix64(hash ^ membership::rendezvous_weight("", name))
        };
        self.witnesses.iter().fold(0, combine)
    }

    /// Witnesses that must acknowledge a revision before it is applied.
    pub fn ack_quorum(&self) -> usize {
        self.witnesses.len() / 2 + 1
    }

    /// Witnesses that must answer a starting process so that at least one of them has acknowledged
    /// any applied revision.
    pub fn floor_quorum(&self) -> usize {
        self.witnesses.len() + 1 - self.ack_quorum().min(self.witnesses.len())
    }
}

/// The members on the level above `rank` in the order of this member's preference, then the roots.
fn parents(
    own: &name::InstanceName,
    rank: usize,
    ranked: &[name::InstanceName],
) -> Vec<name::InstanceName> {
    let roots = &ranked[..ROOTS_PER_ZONE.min(ranked.len())];
    if rank < ROOTS_PER_ZONE {
        return roots.iter().filter(|root| *root != own).cloned().collect();
    }
    let (mut start, mut end) = (0, ROOTS_PER_ZONE);
    while rank >= end + (end - start) * FANOUT {
        (start, end) = (end, end + (end - start) * FANOUT);
    }
    let above = &ranked[start..end.min(ranked.len())];
    let mut preferred: Vec<_> = above.iter().collect();
    preferred.sort_by_key(|parent| cmp::Reverse(membership::rendezvous_weight(own, parent)));
    preferred.truncate(PARENTS_MAX - ROOTS_PER_ZONE);
    let others: Vec<_> = roots.iter().filter(|root| !preferred.contains(root)).collect();
    preferred.into_iter().chain(others).cloned().collect()
}
