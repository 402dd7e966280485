//! When a voter that was asked to stop may end.

use googletest::prelude::*;
use ragwortdeal_core::{
    name,
    replication::{
        departure::{DepartureView, may_end},
        entry::{ReplicaId, StorageId},
        membership::Membership,
    },
};

fn id(instance: &str) -> ReplicaId {
    ReplicaId { instance: name::InstanceName::new(instance).unwrap(), storage: StorageId(1) }
}

fn members(voters: &[&str], learners: &[&str]) -> Membership {
    let ids = |names: &[&str]| names.iter().map(|name| id(name)).collect();
    Membership { voters: ids(voters), learners: ids(learners) }
}

macro_rules! stops {
    ($($(#[$doc:meta])* $case:ident: $voters:expr, $learners:expr, $change:expr => $expected:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let (own, membership) = (id("a"), members(&$voters, &$learners));
            let mut view = DepartureView {
                own: &own,
                membership: &membership,
                is_membership_committed: true,
                is_told_removed: false,
                is_leader: false,
                has_standby: false,
                target_voters: 3,
                elapsed_ms: 1_000,
                limit_ms: 6_500,
            };
            let change: fn(&mut DepartureView<'_>) = $change;
            change(&mut view);
            expect_that!(may_end(&view), eq($expected));
        }
    )*};
}

stops! {
    /// All instances stop together and nobody is left to take a vote: waiting would only use the grace.
    a_voter_without_a_standby_ends: ["a", "b", "c"], [], |_| () => true;
    /// Its announcement has not been heard yet, so it could still be chosen as a replacement.
    a_voter_announces_its_stop_first: ["a", "b", "c"], [], |view| view.elapsed_ms = 100 => false;
    /// A second stop before it is replaced would take the quorum.
    a_voter_with_a_standby_waits: ["a", "b", "c"], [], |view| view.has_standby = true => false;
    /// The standby is already a learner, and so no standby any more.
    a_voter_waits_for_the_promotion: ["a", "b", "c"], ["d"], |_| () => false;
    /// The standby votes, but the quorum still counts the one that leaves.
    a_voter_waits_for_its_removal: ["a", "b", "c", "d"], [], |_| () => false;
    a_voter_that_was_removed_ends: ["b", "c", "d"], [], |view| view.has_standby = true => true;
    /// Another leader could still bring the earlier membership back.
    a_voter_waits_until_its_removal_is_committed: ["b", "c", "d"], ["e"], |view| {
        (view.is_membership_committed, view.has_standby, view.is_leader) = (false, true, true);
    } => false;
    /// It was removed without being sent the entry.
    a_voter_that_was_told_of_its_removal_ends: ["a", "b", "c"], [], |view| {
        (view.is_told_removed, view.has_standby) = (true, true);
    } => true;
    /// The group cannot replace it in time, and SIGKILL would follow.
    a_voter_ends_within_its_grace: ["a", "b", "c"], [], |view| {
        (view.has_standby, view.elapsed_ms) = (true, 6_500);
    } => true;
    /// Ending at once would cost an election.
    a_leader_hands_over_first: ["a", "b", "c"], [], |view| view.is_leader = true => false;
    /// Nobody takes over, as all others stop as well.
    a_leader_that_nobody_follows_ends: ["a", "b", "c"], [], |view| {
        (view.is_leader, view.elapsed_ms) = (true, 2_000);
    } => true;
    a_sole_voter_ends: ["a"], [], |view| view.is_leader = true => true;
}

/// A standby has no vote that could leave with it.
#[googletest::test]
fn a_standby_ends_once_it_has_announced_its_stop() {
    let own = id("d");
    let view = DepartureView {
        own: &own,
        membership: &members(&["a", "b", "c"], &[]),
        is_membership_committed: true,
        is_told_removed: false,
        is_leader: false,
        has_standby: true,
        target_voters: 3,
        elapsed_ms: 200,
        limit_ms: 6_500,
    };
    expect_that!(may_end(&view), eq(true));
}
