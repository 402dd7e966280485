//! Which instances fetch a version's manifest for the others.

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
