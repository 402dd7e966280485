//! Automatic reconfiguration with emptied, failed, new and standby voters.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::{
    name,
    replication::{
        entry::{ReplicaId, StorageId},
        membership::{Change, Membership},
        reconfiguration::{GroupView, LiveReplica, next_change, voters_tolerating},
    },
};

fn id(instance: &str, storage: u64) -> ReplicaId {
    ReplicaId { instance: name::InstanceName::new(instance).unwrap(), storage: StorageId(storage) }
}

/// A group of live voters `a`, `b` and `c` in zones of the same names.
fn view() -> GroupView {
    let voters = ["a", "b", "c"];
    GroupView {
        membership: Membership {
            voters: voters.iter().map(|voter| id(voter, 1)).collect(),
            learners: collections::BTreeSet::new(),
        },
        live_replicas: voters.iter().map(|voter| live_replica(voter, 1, voter)).collect(),
        failed: collections::BTreeSet::new(),
        leaving: collections::BTreeSet::new(),
        leader: Some(id("c", 1)),
        zones: voters.iter().map(|voter| ((*voter).to_owned(), (*voter).to_owned())).collect(),
        target_voters: voters_tolerating(1),
    }
}

fn live_replica(instance: &str, storage: u64, zone: &str) -> LiveReplica {
    LiveReplica { id: id(instance, storage), zone: zone.to_owned() }
}

/// Applies changes until none is left, as a leader does, and returns them.
fn apply_changes(view: &mut GroupView) -> Vec<Change> {
    let mut changes = Vec::new();
    while let Some(change) = next_change(view) {
        view.membership = view.membership.with_change(&change).unwrap();
        changes.push(change);
        assert!(changes.len() < 20, "the changes do not end: {changes:?}");
    }
    changes
}

#[googletest::test]
fn a_healthy_group_is_not_changed() {
    expect_that!(next_change(&view()), none());
}

/// A voter returns with an empty disk. Its old replica must be removed only after the new one is a
/// voter, or the group would temporarily have one copy fewer.
#[googletest::test]
fn an_emptied_voter_is_added_before_its_old_replica_is_removed() {
    let mut view = view();
    view.live_replicas[0] = live_replica("a", 2, "a");
    view.failed.insert(id("a", 1));
    let changes = apply_changes(&mut view);
    expect_that!(
        changes,
        elements_are![
            eq(&Change::AddLearner(id("a", 2))),
            eq(&Change::Promote(id("a", 2))),
            eq(&Change::Remove(id("a", 1))),
        ]
    );
}

/// A voter is silent and there is no standby. If it were removed, the group could not tolerate any
/// further failure.
#[googletest::test]
fn a_failed_voter_stays_without_a_standby() {
    let mut view = view();
    view.failed.insert(id("a", 1));
    view.live_replicas.remove(0);
    expect_that!(next_change(&view), none());
}

#[googletest::test]
fn a_standby_replaces_a_failed_voter() {
    let mut view = view();
    view.failed.insert(id("a", 1));
    view.live_replicas[0] = live_replica("d", 1, "a");
    apply_changes(&mut view);
    let voters: Vec<_> = view.membership.voters.iter().map(|it| it.instance.to_string()).collect();
    expect_that!(voters, elements_are![eq("b"), eq("c"), eq("d")]);
}

/// Two failures are to be tolerated by six instances in three zones. If three voters were in one
/// zone, its loss would cost the quorum.
#[googletest::test]
fn a_group_grows_into_the_zones_with_the_fewest_voters() {
    let mut view = view();
    view.target_voters = voters_tolerating(2);
    for (standby, zone) in [("d", "a"), ("e", "b"), ("f", "c")] {
        view.live_replicas.push(live_replica(standby, 1, zone));
        view.zones.insert(standby.to_owned(), zone.to_owned());
    }
    apply_changes(&mut view);
    expect_that!(view.membership.voters.len(), eq(5));
    for zone in ["a", "b", "c"] {
        let here = view.membership.voters.iter().filter(|it| view.zones[&*it.instance] == zone);
        expect_that!(here.count(), le(2));
    }
}

#[googletest::test]
fn a_silent_learner_is_removed() {
    let mut view = view();
    view.membership.learners.insert(id("d", 1));
    expect_that!(next_change(&view), some(eq(&Change::Remove(id("d", 1)))));
}

/// Two voters are asked to stop while standbys run. Each keeps its vote until a standby has it; two
/// that left with their votes would take the quorum with them.
#[googletest::test]
fn leaving_voters_are_replaced_before_they_are_removed() {
    let mut view = view();
    view.leaving = [id("a", 1), id("b", 1)].into();
    view.live_replicas.extend([live_replica("d", 1, "a"), live_replica("e", 1, "b")]);
    let mut fewest = usize::MAX;
    while let Some(change) = next_change(&view) {
        view.membership = view.membership.with_change(&change).unwrap();
        fewest = fewest.min(view.membership.voters.len());
    }
    let voters: Vec<_> = view.membership.voters.iter().map(|it| it.instance.to_string()).collect();
    expect_that!(voters, elements_are![eq("c"), eq("d"), eq("e")]);
    expect_that!(fewest, eq(3));
}

/// A standby is asked to stop too. A vote that it got would leave with it.
#[googletest::test]
fn a_leaving_standby_is_not_chosen() {
    let mut view = view();
    view.leaving = [id("a", 1), id("d", 1)].into();
    view.live_replicas.push(live_replica("d", 1, "a"));
    expect_that!(next_change(&view), none());
    view.membership.learners.insert(id("d", 1));
    expect_that!(next_change(&view), some(eq(&Change::Remove(id("d", 1)))));
}

/// The leader leaves. It cannot remove itself, so it is only replaced; its successor removes it.
#[googletest::test]
fn a_leaving_leader_is_replaced_and_not_removed() {
    let mut view = view();
    view.leaving = [id("c", 1)].into();
    view.live_replicas.push(live_replica("d", 1, "c"));
    let changes = apply_changes(&mut view);
    expect_that!(
        changes,
        elements_are![eq(&Change::AddLearner(id("d", 1))), eq(&Change::Promote(id("d", 1))),]
    );
}

/// A failed voter and a leaving one are surplus at the same time. The failed one already lacks in the
/// quorum.
#[googletest::test]
fn a_failed_voter_is_removed_before_a_leaving_one() {
    let mut view = view();
    view.membership.voters.extend([id("d", 1), id("e", 1)]);
    view.live_replicas.extend([live_replica("d", 1, "a"), live_replica("e", 1, "b")]);
    view.leaving = [id("a", 1)].into();
    view.failed = [id("b", 1)].into();
    expect_that!(next_change(&view), some(eq(&Change::Remove(id("b", 1)))));
}
