//! Who is to vote: brings voters in and takes lost ones out without an operator.
//!
//! `docs/design/platform.md` tells how many voters a group gets and where they stand.

use std::collections;

use crate::replication::{entry, membership, replacement};

/// A process that could vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveReplica {
    /// Its replica.
    pub id: entry::ReplicaId,
    /// Where it stands.
    pub zone: String,
}

/// What a leader knows when it looks for the next step.
#[derive(Clone, Debug, Default)]
pub struct GroupView {
    /// The membership in force.
    pub membership: membership::Membership,
    /// Processes heard lately, this one included.
    pub live_replicas: Vec<LiveReplica>,
    /// Voters that were silent for so long that another one takes their place.
    pub unresponsive: collections::BTreeSet<entry::ReplicaId>,
    /// Zones of all members that were ever heard, by instance.
    pub zones: collections::BTreeMap<String, String>,
    /// Voters that the group should have.
    pub target_voters: usize,
}

/// Voters that bear the loss of so many of them.
pub fn voters_tolerating(tolerated_failures: usize) -> usize {
    2 * tolerated_failures + 1
}

/// The next change of the membership, or none where all is well or nobody can help.
///
/// An emptied voter goes first, as its memory is gone for good. A new voter comes in before the
/// lost one goes out, so that the group never has fewer copies than before.
pub fn next_change(view: &GroupView) -> Option<membership::Change> {
    replace_emptied(view)
        .or_else(|| finish_learner(view))
        .or_else(|| take_out_surplus(view))
        .or_else(|| bring_in(view))
}

/// A voter whose process came back with another memory is replaced by itself.
fn replace_emptied(view: &GroupView) -> Option<membership::Change> {
    let present = &view.membership;
    view.live_replicas.iter().find_map(|candidate| {
        let emptied = replacement::replaced_by(present, &candidate.id)?;
        replacement::next_change(present, &candidate.id, Some(emptied))
    })
}

/// A learner is promoted once it has caught up, or dropped where it is silent.
fn finish_learner(view: &GroupView) -> Option<membership::Change> {
    let learner = view.membership.learners.iter().next()?;
    let heard = view.live_replicas.iter().any(|candidate| candidate.id == *learner);
    Some(match heard {
        true => membership::Change::Promote(learner.clone()),
        false => membership::Change::Remove(learner.clone()),
    })
}

/// A lost voter goes once there are enough without it.
fn take_out_surplus(view: &GroupView) -> Option<membership::Change> {
    let voters = &view.membership.voters;
    if voters.len() <= view.target_voters {
        return None;
    }
    let lost = voters.iter().find(|voter| view.unresponsive.contains(voter))?;
    Some(membership::Change::Remove(lost.clone()))
}

/// A standby is brought in where voters are lost or too few, from the zone with the fewest.
fn bring_in(view: &GroupView) -> Option<membership::Change> {
    let voters = &view.membership.voters;
    let sound = voters.iter().filter(|voter| !view.unresponsive.contains(voter));
    if sound.clone().count() >= view.target_voters {
        return None;
    }
    let mut in_zone: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
    for voter in sound {
        let zone = view.zones.get(&*voter.instance).map_or("", String::as_str);
        *in_zone.entry(zone).or_default() += 1;
    }
    let taken = |id: &entry::ReplicaId| voters.iter().any(|voter| voter.instance == id.instance);
    let standbys = view.live_replicas.iter().filter(|candidate| !taken(&candidate.id));
    let crowd = |candidate: &&LiveReplica| {
        (in_zone.get(candidate.zone.as_str()).copied().unwrap_or(0), candidate.id.clone())
    };
    let chosen = standbys.min_by_key(crowd)?;
    Some(membership::Change::AddLearner(chosen.id.clone()))
}
