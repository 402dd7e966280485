//! Who votes: emptied, lost, new and standing-by voters.

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

/// A group of voters `a`, `b`, `c` in zones of the same names, all heard and sound.
fn view() -> GroupView {
    let voters = ["a", "b", "c"];
    GroupView {
        membership: Membership {
            voters: voters.iter().map(|voter| id(voter, 1)).collect(),
            learners: collections::BTreeSet::new(),
        },
        live_replicas: voters.iter().map(|voter| candidate(voter, 1, voter)).collect(),
        unresponsive: collections::BTreeSet::new(),
        zones: voters.iter().map(|voter| ((*voter).to_owned(), (*voter).to_owned())).collect(),
        target_voters: voters_tolerating(1),
    }
}

fn candidate(instance: &str, storage: u64, zone: &str) -> LiveReplica {
    LiveReplica { id: id(instance, storage), zone: zone.to_owned() }
}

/// Carries changes out until none is left, as a leader does, and returns them.
fn settle(view: &mut GroupView) -> Vec<Change> {
    let mut changes = Vec::new();
    while let Some(change) = next_change(view) {
        view.membership = view.membership.with_change(&change).unwrap();
        changes.push(change);
        assert!(changes.len() < 20, "the changes do not end: {changes:?}");
    }
    changes
}

#[googletest::test]
fn a_sound_group_stays_as_it_is() {
    expect_that!(next_change(&view()), none());
}

/// A voter came back with an empty disk. Its former self must leave only after it votes, or the
/// group would have one copy fewer for a time.
#[googletest::test]
fn an_emptied_voter_comes_in_before_its_former_self_goes() {
    let mut view = view();
    view.live_replicas[0] = candidate("a", 2, "a");
    view.unresponsive.insert(id("a", 1));
    let changes = settle(&mut view);
    expect_that!(
        changes,
        elements_are![
            eq(&Change::AddLearner(id("a", 2))),
            eq(&Change::Promote(id("a", 2))),
            eq(&Change::Remove(id("a", 1))),
        ]
    );
}

/// A voter is silent and nobody stands by. Taken out, the group would bear nothing more.
#[googletest::test]
fn a_lost_voter_stays_where_nobody_can_replace_it() {
    let mut view = view();
    view.unresponsive.insert(id("a", 1));
    view.live_replicas.remove(0);
    expect_that!(next_change(&view), none());
}

#[googletest::test]
fn a_standby_takes_the_place_of_a_lost_voter() {
    let mut view = view();
    view.unresponsive.insert(id("a", 1));
    view.live_replicas[0] = candidate("d", 1, "a");
    settle(&mut view);
    let voters: Vec<_> = view.membership.voters.iter().map(|it| it.instance.to_string()).collect();
    expect_that!(voters, elements_are![eq("b"), eq("c"), eq("d")]);
}

/// Two losses are to be borne, and six machines stand in three zones. Voters in one zone alone would
/// be lost with it.
#[googletest::test]
fn a_group_grows_over_the_zones_with_the_fewest_voters() {
    let mut view = view();
    view.target_voters = voters_tolerating(2);
    for (standby, zone) in [("d", "a"), ("e", "b"), ("f", "c")] {
        view.live_replicas.push(candidate(standby, 1, zone));
        view.zones.insert(standby.to_owned(), zone.to_owned());
    }
    settle(&mut view);
    expect_that!(view.membership.voters.len(), eq(5));
    for zone in ["a", "b", "c"] {
        let here = view.membership.voters.iter().filter(|it| view.zones[&*it.instance] == zone);
        expect_that!(here.count(), le(2));
    }
}

#[googletest::test]
fn a_silent_learner_is_dropped() {
    let mut view = view();
    view.membership.learners.insert(id("d", 1));
    expect_that!(next_change(&view), some(eq(&Change::Remove(id("d", 1)))));
}
