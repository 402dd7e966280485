//! Who is to vote: brings voters in and takes lost ones out without an operator.
//!
//! `docs/design/platform.md` tells how many voters a group gets and where they stand.

use std::collections;

use crate::replication::{entry, membership, repair};

/// A process that could vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its replica.
    pub id: entry::ReplicaId,
    /// Where it stands.
    pub zone: String,
}

/// What a leader knows when it looks for the next step.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The membership in force.
    pub present: membership::Membership,
    /// Processes heard lately, this one included.
    pub candidates: Vec<Candidate>,
    /// Voters that were silent for so long that another one takes their place.
    pub lost: collections::BTreeSet<entry::ReplicaId>,
    /// Zones of all members that were ever heard, by instance.
    pub zones: collections::BTreeMap<String, String>,
    /// Voters that the group should have.
    pub wanted: usize,
}

/// Voters that bear the loss of so many of them.
pub fn wanted_voters(losses_borne: usize) -> usize {
    2 * losses_borne + 1
}

/// The next change of the membership, or none where all is well or nobody can help.
///
/// An emptied voter goes first, as its memory is gone for good. A new voter comes in before the
/// lost one goes out, so that the group never has fewer copies than before.
pub fn next_change(view: &View) -> Option<membership::Change> {
    replace_emptied(view)
        .or_else(|| finish_learner(view))
        .or_else(|| take_out_surplus(view))
        .or_else(|| bring_in(view))
}

/// A voter whose process came back with another memory is replaced by itself.
fn replace_emptied(view: &View) -> Option<membership::Change> {
    let present = &view.present;
    view.candidates.iter().find_map(|candidate| {
        let emptied = repair::replaced_by(present, &candidate.id)?;
        repair::next_change(present, &candidate.id, Some(emptied))
    })
}

/// A learner is promoted once it has caught up, or dropped where it is silent.
fn finish_learner(view: &View) -> Option<membership::Change> {
    let learner = view.present.learners.iter().next()?;
    let heard = view.candidates.iter().any(|candidate| candidate.id == *learner);
    Some(match heard {
        true => membership::Change::Promote(learner.clone()),
        false => membership::Change::Remove(learner.clone()),
    })
}

/// A lost voter goes once there are enough without it.
fn take_out_surplus(view: &View) -> Option<membership::Change> {
    let voters = &view.present.voters;
    if voters.len() <= view.wanted {
        return None;
    }
    let lost = voters.iter().find(|voter| view.lost.contains(voter))?;
    Some(membership::Change::Remove(lost.clone()))
}

/// A standby is brought in where voters are lost or too few, from the zone with the fewest.
fn bring_in(view: &View) -> Option<membership::Change> {
    let voters = &view.present.voters;
    let sound = voters.iter().filter(|voter| !view.lost.contains(voter));
    if sound.clone().count() >= view.wanted {
        return None;
    }
    let mut in_zone: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
    for voter in sound {
        let zone = view.zones.get(&*voter.instance).map_or("", String::as_str);
        *in_zone.entry(zone).or_default() += 1;
    }
    let taken = |id: &entry::ReplicaId| voters.iter().any(|voter| voter.instance == id.instance);
    let standbys = view.candidates.iter().filter(|candidate| !taken(&candidate.id));
    let crowd = |candidate: &&Candidate| {
        (in_zone.get(candidate.zone.as_str()).copied().unwrap_or(0), candidate.id.clone())
    };
    let chosen = standbys.min_by_key(crowd)?;
    Some(membership::Change::AddLearner(chosen.id.clone()))
}
