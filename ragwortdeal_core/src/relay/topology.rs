//! Who passes deltas on to whom: a tree over the live members of a zone.
//!
//! Every member works the tree out for itself. A member's place follows from a hash of its name, so
//! a death moves its children and those few whose level changes, and nobody else.

use std::cmp;

use crate::{membership, name};

/// Members of a zone that draw from outside; two, so that the loss of one stalls nobody for long.
pub const ROOTS_PER_ZONE: usize = 2;

/// Children per member on average. Eight carry 1,170 members in four levels.
pub const FANOUT: usize = 8;

/// Members that remember which revisions the zone may have applied.
pub const WITNESSES_PER_ZONE: usize = 5;

/// Parents that are tried in turn.
const PARENTS_MAX: usize = 8;

/// One member's place in the tree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Whether this member draws from outside the zone.
    pub is_root: bool,
    /// Members of the zone to draw from, the preferred one first.
    pub parents: Vec<name::InstanceName>,
    /// The zone's witnesses.
    pub witnesses: Vec<name::InstanceName>,
}

impl View {
    /// The place of `own` among the live members, itself included.
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
        let place = ranked.iter().position(|member| member == own).unwrap_or(ranked.len());
        let witnesses = ranked.iter().take(WITNESSES_PER_ZONE).cloned().collect();
        Self { is_root: place < ROOTS_PER_ZONE, parents: parents(own, place, &ranked), witnesses }
    }

    /// Hash over the witnesses, equal where two members agree on them.
    pub fn witnesses_hash(&self) -> u64 {
        let weight = |hash, name: &name::InstanceName| {
            membership::splitmix64(hash ^ membership::rendezvous_weight("", name))
        };
        self.witnesses.iter().fold(0, weight)
    }

    /// Witnesses that must take note of a revision before it is applied.
    pub fn ack_quorum(&self) -> usize {
        self.witnesses.len() / 2 + 1
    }

    /// Witnesses that must answer a starting process so that one of them took note.
    pub fn floor_quorum(&self) -> usize {
        self.witnesses.len() + 1 - self.ack_quorum().min(self.witnesses.len())
    }
}

/// The level above `place`, in the order of this member's own preference, then the roots.
fn parents(
    own: &name::InstanceName,
    place: usize,
    ranked: &[name::InstanceName],
) -> Vec<name::InstanceName> {
    let roots = &ranked[..ROOTS_PER_ZONE.min(ranked.len())];
    if place < ROOTS_PER_ZONE {
        return roots.iter().filter(|root| *root != own).cloned().collect();
    }
    let (mut start, mut end) = (0, ROOTS_PER_ZONE);
    while place >= end + (end - start) * FANOUT {
        (start, end) = (end, end + (end - start) * FANOUT);
    }
    let above = &ranked[start..end.min(ranked.len())];
    let mut preferred: Vec<_> = above.iter().collect();
    preferred.sort_by_key(|parent| cmp::Reverse(membership::rendezvous_weight(own, parent)));
    preferred.truncate(PARENTS_MAX - ROOTS_PER_ZONE);
    let others: Vec<_> = roots.iter().filter(|root| !preferred.contains(root)).collect();
    preferred.into_iter().chain(others).cloned().collect()
}
