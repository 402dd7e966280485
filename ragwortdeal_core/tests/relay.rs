//! Dissemination of configuration deltas in the relay trees of several zones on a seeded network.

#[path = "support/network.rs"]
mod network;
#[path = "support/tree.rs"]
mod tree;

use googletest::prelude::*;
use ragwortdeal_core::relay::{children, topology};
use rand::RngExt as _;

/// Time after the start within which all members of a small zone serve.
const SETTLE_MS: u64 = 10_000;

fn settled(seed: u64, zones: usize, members: usize) -> tree::Trees {
    let mut trees = tree::Trees::new(seed, zones, members);
    trees.change(b"first");
    trees.run(SETTLE_MS);
    assert_all_serve_newest(&trees);
    trees
}

fn assert_all_serve_newest(trees: &tree::Trees) {
    for node in trees.all_members().filter(|node| trees.relay(*node).is_some()) {
        assert_eq!(trees.served(node), Some(trees.newest()), "at node {node}");
    }
}

/// The members of a zone that receive from voters now.
fn roots_of(trees: &tree::Trees, zone: usize) -> Vec<usize> {
    let is_root = |node: &usize| {
        let parent = trees.relay(*node).and_then(|relay| relay.parent()).expect("a parent");
        (0..tree::VOTERS).any(|voter| *parent == tree::name_of(voter))
    };
    trees.members_of(zone).filter(is_root).collect()
}

macro_rules! seeded {
    ($($case:ident: $run:ident($($seed:expr),*);)*) => {$(
        #[test]
        fn $case() {
            for seed in [$($seed),*] {
                $run(seed);
            }
        }
    )*};
}

seeded! {
    every_change_reaches_every_member: spreads(1, 2, 3);
    a_restart_with_a_stale_source_serves_nothing_older: restarts_cut_off(11, 12, 13, 14);
    a_revision_known_only_to_one_root_is_not_lost: root_restarts_alone(21, 22, 23);
    a_dead_parent_is_replaced: loses_parents(31, 32, 33);
    a_stale_parent_is_replaced: loses_root_link(41, 42);
    a_member_far_behind_takes_a_snapshot: far_behind(51, 52);
    random_faults_never_revert: random_faults(61, 62, 63, 64, 65, 66, 67, 68);
}

fn spreads(seed: u64) {
    let mut trees = settled(seed, 3, 40);
    trees.network.faults = network::Faults::ROUGH;
    for change in 0..100_u8 {
        trees.change(&[change]);
        trees.run(50);
    }
    trees.run(10_000);
    assert_all_serve_newest(&trees);
}

/// The voter of zone 1 is isolated from the leader while the zone applies later changes from other
/// voters. Then the zone is partitioned off together with its voter. A process that restarts reaches
/// no other source, and serving that voter's state would revert accepted changes.
fn restarts_cut_off_with(seed: u64, skip_floor: bool) {
    let mut trees = settled(seed, 3, 12);
    trees.skip_floor = skip_floor;
    trees.network.sides.insert(1, 9);
    for change in 0..20_u8 {
        trees.change(&[change]);
        trees.run(500);
    }
    trees.run(10_000);
    trees.cut(1);
    trees.network.sides.insert(1, 2);
    let applied = trees.newest();
    trees.change(b"while cut off");
    let members: Vec<_> = trees.members_of(1).collect();
    for node in members.iter().copied() {
        trees.kill(node);
        trees.run(500);
        trees.restart(node);
        trees.run(6_000);
        assert_eq!(trees.served(node), Some(applied), "node {node} after its restart");
    }
    trees.network.sides.clear();
    trees.run(15_000);
    assert_all_serve_newest(&trees);
}

fn restarts_cut_off(seed: u64) {
    restarts_cut_off_with(seed, false);
}

#[test]
#[should_panic(expected = "its zone had")]
fn serving_without_asking_is_noticed() {
    restarts_cut_off_with(11, true);
}

/// A root applies a change and restarts before it has forwarded it, while the zone is partitioned
/// off with a voter that never received it. Only the witnesses know the revision then, and the root
/// must wait rather than serve the older configuration.
fn root_restarts_alone_with(seed: u64, skip_acknowledgements: bool) {
    let mut trees = settled(seed, 3, 12);
    trees.skip_acknowledgements = skip_acknowledgements;
    trees.run(2_500);
    trees.network.sides.insert(1, 9);
    trees.run(15_000);
    let roots = roots_of(&trees, 1);
    let root = roots[0];
    for other in &roots[1..] {
        trees.network.dead_links.extend((0..tree::VOTERS).map(|voter| (*other, voter)));
    }
    trees.change(b"known to one");
    let newest = trees.newest();
    while trees.served(root) != Some(newest) {
        trees.step();
    }
    trees.network.queue.clear();
    trees.skip_acknowledgements = false;
    trees.restart(root);
    trees.cut(1);
    trees.network.sides.insert(1, 2);
    trees.run(30_000);
    trees.network.sides.clear();
    trees.network.dead_links.clear();
    trees.run(15_000);
    assert_all_serve_newest(&trees);
}

fn root_restarts_alone(seed: u64) {
    root_restarts_alone_with(seed, false);
}

#[test]
#[should_panic(expected = "its zone had")]
fn applying_without_acknowledgements_is_noticed() {
    root_restarts_alone_with(21, true);
}

/// Some parents crash. Unless they are replaced, their subtrees would keep an old configuration.
fn loses_parents(seed: u64) {
    let mut trees = settled(seed, 1, 60);
    for _ in 0..8 {
        let node = trees.network.rng.random_range(trees.all_members());
        trees.kill(node);
    }
    trees.change(b"after the loss");
    trees.run(12_000);
    assert_all_serve_newest(&trees);
}

/// A root's links to the voters fail while it still answers inside its zone. Its children receive
/// heartbeats and would wait forever for updates.
fn loses_root_link(seed: u64) {
    let mut trees = settled(seed, 2, 20);
    let root = roots_of(&trees, 0)[0];
    trees.network.dead_links.extend((0..tree::VOTERS).map(|voter| (root, voter)));
    trees.change(b"after the link died");
    trees.run(30_000);
    assert_all_serve_newest(&trees);
    assert!(trees.relay(root).expect("it lives").counts().reparented > 0);
}

/// A process is paused while more changes are accepted than its parent keeps.
fn far_behind(seed: u64) {
    let mut trees = settled(seed, 1, 12);
    trees.network.faults = network::Faults::ROUGH;
    let late = trees.all_members().next_back().expect("a member");
    trees.paused.insert(late, trees.now_ms + 20_000);
    for change in 0..200_u32 {
        trees.change(&[change as u8; 2_000]);
        trees.run(50);
    }
    trees.run(30_000);
    assert_all_serve_newest(&trees);
}

/// Partitions of whole zones, restarts and pauses at random on an unreliable network.
fn random_faults(seed: u64) {
    let mut trees = settled(seed, 3, 10);
    trees.network.faults = network::Faults::ROUGH;
    for round in 0..40_u32 {
        trees.change(&round.to_le_bytes());
        let node = trees.network.rng.random_range(trees.all_members());
        let zone = trees.zone_of(node);
        match trees.network.rng.random_range(0..5) {
            0 => trees.cut(zone),
            1 => trees.network.sides.clear(),
            2 => {
                trees.paused.insert(node, trees.now_ms + 4_000);
            }
            // One restart at a time: the loss of a majority of the witnesses is not survived.
            _ => trees.restart(node),
        }
        trees.run(4_000);
    }
    trees.network.sides.clear();
    trees.network.faults = network::Faults::NONE;
    trees.run(20_000);
    assert_all_serve_newest(&trees);
}

fn received_per_member(zones: usize, members: usize) -> f64 {
    let mut trees = settled(71, zones, members);
    trees.received.fill(0);
    for change in 0..50_u8 {
        trees.change(&[change]);
        trees.run(400);
    }
    let received: u64 = trees.all_members().map(|node| trees.received[node]).sum();
    received as f64 / trees.all_members().len() as f64
}

#[googletest::test]
fn messages_per_member_stay_flat_as_zones_and_members_are_added() {
    let few = received_per_member(3, 20);
    expect_that!(received_per_member(9, 20) / few, lt(1.05));
    expect_that!(received_per_member(3, 80) / few, lt(1.10));
}

#[googletest::test]
fn nobody_serves_more_children_than_the_bound() {
    let trees = settled(81, 2, 150);
    for node in trees.all_members() {
        let children = trees.relay(node).expect("it lives").children();
        expect_that!(children, le(children::CHILDREN_MAX));
        expect_that!(children, le(3 * topology::FANOUT));
    }
}
