//! Which instances fetch a version's manifest for the others.

use std::collections::BTreeSet;

use googletest::prelude::*;
use ragwortdeal_core::spread::fetchers;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("10.1.0.{index}")).collect()
}

fn first(names: &[String], version: u64) -> Vec<&str> {
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    fetchers::first(&names, version, 2)
}

/// Hundreds of agents hear of a version at once. If each chose for itself, all would ask the origin
/// or none.
#[googletest::test]
fn all_instances_select_the_same_fetchers() {
    let names = names(37);
    let mut reversed = names.clone();
    reversed.reverse();
    for version in 1..20 {
        expect_that!(first(&names, version).len(), eq(2));
        expect_that!(first(&reversed, version), eq(&first(&names, version)));
    }
}

/// A machine whose link is narrow must not be the one that all others wait for each time.
#[googletest::test]
fn versions_have_different_fetchers() {
    let names = names(37);
    let mut fetchers: Vec<_> = (1..20).flat_map(|version| first(&names, version)).collect();
    fetchers.sort_unstable();
    fetchers.dedup();
    expect_that!(fetchers.len(), gt(19));
}

#[googletest::test]
fn a_zone_of_one_fetches_itself() {
    let names = names(1);
    expect_that!(first(&names, 1), elements_are![eq(&"10.1.0.0")]);
}

/// Guards against agents that hear of a manifest one poll after the other when an origin returns:
/// their schedules of fetches would differ, and standbys would fetch chunks once more.
#[googletest::test]
fn each_instance_is_offered_what_any_fetcher_got_within_two_messages() {
    let names: Vec<_> = (0..30).map(|index| format!("10.0.0.{index}")).collect();
    let zones = ["a", "b", "c"];
    let all: Vec<_> =
        names.iter().enumerate().map(|(index, name)| (name.as_str(), zones[index % 3])).collect();
    let receivers = |own: (&str, &str)| {
        let others: Vec<_> = all.iter().copied().filter(|other| other.0 != own.0).collect();
        fetchers::offer_receivers(own, &others, 7, 2)
    };
    let fetching: Vec<_> = all.iter().filter(|own| !receivers(**own).is_empty()).collect();
    expect_that!(fetching.len(), eq(6));
    for fetcher in fetching {
        let first = receivers(*fetcher);
        let forwards = |name: &&str| {
            let zone = all.iter().find(|other| other.0 == *name).unwrap().1;
            receivers((name, zone))
        };
        let reached: BTreeSet<_> =
            first.iter().flat_map(forwards).chain(first.iter().copied()).collect();
        expect_that!(reached.len(), eq(names.len()));
    }
}
