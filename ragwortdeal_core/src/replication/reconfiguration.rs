//! Automatic reconfiguration: adds voters and removes lost ones without an operator.
//!
//! `docs/design/platform.md` describes the number of voters in a group and their placement.

use std::collections;

use crate::replication::{entry, membership, replacement};

/// A reachable replica that is or could become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveReplica {
    /// Its identifier.
    pub id: entry::ReplicaId,
    /// Its availability zone.
    pub zone: String,
}

/// What a leader knows about the group when it decides on the next change.
#[derive(Clone, Debug, Default)]
pub struct GroupView {
    /// The effective membership.
    pub membership: membership::Membership,
    /// Replicas heard from recently, including the leader.
    pub live_replicas: Vec<LiveReplica>,
    /// Voters to replace, because they have been silent for too long or have lost their data.
    pub failed: collections::BTreeSet<entry::ReplicaId>,
    /// Replicas that were asked to stop and still run. They are replaced like failed ones, and none
    /// of them is chosen as a replacement.
    pub leaving: collections::BTreeSet<entry::ReplicaId>,
    /// The leader, which cannot remove itself.
    pub leader: Option<entry::ReplicaId>,
    /// Availability zones of all members ever heard from, by instance.
    pub zones: collections::BTreeMap<String, String>,
    /// Number of voters that the group should have.
    pub target_voters: usize,
}

/// Number of voters that a group needs to tolerate this many simultaneous failures.
pub fn voters_tolerating(tolerated_failures: usize) -> usize {
    2 * tolerated_failures + 1
}

/// The next change of the membership, or `None` if none is needed or no replica is available.
///
/// A voter that lost its data is replaced first, since that data cannot come back. A new voter is
/// added before the lost one is removed, so that the group never has fewer copies than before.
pub fn next_change(view: &GroupView) -> Option<membership::Change> {
    replace_emptied_voter(view)
        .or_else(|| promote_or_remove_learner(view))
        .or_else(|| remove_surplus_voter(view))
        .or_else(|| add_learner(view))
}

/// Replaces a voter whose instance returned with another storage by the new replica.
fn replace_emptied_voter(view: &GroupView) -> Option<membership::Change> {
    let current = &view.membership;
    view.live_replicas.iter().find_map(|replica| {
        let emptied = replacement::replaced_by(current, &replica.id)?;
        replacement::next_change(current, &replica.id, Some(emptied))
    })
}

/// Promotes a learner that is live, or removes it if it is silent or leaves. The leader rejects the
/// promotion until the learner has caught up.
fn promote_or_remove_learner(view: &GroupView) -> Option<membership::Change> {
    let learner = view.membership.learners.iter().next()?;
    let live = view.live_replicas.iter().any(|replica| replica.id == *learner);
    Some(match live && !view.leaving.contains(learner) {
        true => membership::Change::Promote(learner.clone()),
        false => membership::Change::Remove(learner.clone()),
    })
}

/// Removes a failed or leaving voter once there are enough voters without it. A failed one goes
/// first: the group is closer to losing its quorum by it.
fn remove_surplus_voter(view: &GroupView) -> Option<membership::Change> {
    let voters = &view.membership.voters;
    if voters.len() <= view.target_voters {
        return None;
    }
    let removable = |voter: &&entry::ReplicaId| view.leader.as_ref() != Some(*voter);
    let mut candidates = voters.iter().filter(removable);
    let failed = candidates.clone().find(|voter| view.failed.contains(voter));
    let surplus = failed.or_else(|| candidates.find(|voter| view.leaving.contains(voter)))?;
    Some(membership::Change::Remove(surplus.clone()))
}

/// Adds a standby if there are too few healthy voters, from the zone with the fewest of them.
fn add_learner(view: &GroupView) -> Option<membership::Change> {
    let voters = &view.membership.voters;
    let stays = |id: &entry::ReplicaId| !view.failed.contains(id) && !view.leaving.contains(id);
    let healthy = voters.iter().filter(|voter| stays(voter));
    if healthy.clone().count() >= view.target_voters {
        return None;
    }
    let mut voters_in_zone: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
    for voter in healthy {
        let zone = view.zones.get(&*voter.instance).map_or("", String::as_str);
        *voters_in_zone.entry(zone).or_default() += 1;
    }
    let hosts_voter =
        |id: &entry::ReplicaId| voters.iter().any(|voter| voter.instance == id.instance);
    let standbys = view
        .live_replicas
        .iter()
        .filter(|replica| !hosts_voter(&replica.id) && !view.leaving.contains(&replica.id));
    let zone_load = |replica: &&LiveReplica| {
        (voters_in_zone.get(replica.zone.as_str()).copied().unwrap_or(0), replica.id.clone())
    };
    let chosen = standbys.min_by_key(zone_load)?;
    Some(membership::Change::AddLearner(chosen.id.clone()))
}
