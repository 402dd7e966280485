//! The order of entries at upstreams, as voters list them.

use std::net;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    entry_roster::{EntryInfo, EntryRoster},
    flow_control::share::Place,
};

const VOTER: net::Ipv4Addr = net::Ipv4Addr::new(10, 0, 0, 1);
const OTHER_VOTER: net::Ipv4Addr = net::Ipv4Addr::new(10, 0, 0, 2);
const ENTRIES: u32 = 9;
/// Longer than an entry that no voter lists is kept.
const LONG_MS: u64 = 1_000_000;

fn address(number: u32) -> net::Ipv4Addr {
    net::Ipv4Addr::from_bits(0x0a01_0000 + number)
}

fn info(number: u32) -> EntryInfo {
    EntryInfo { address: address(number), zone: format!("zone-{}", number % 3).into() }
}

fn all() -> Vec<EntryInfo> {
    (0..ENTRIES).map(info).collect()
}

fn roster() -> EntryRoster {
    let mut roster = EntryRoster::default();
    roster.record_all(VOTER, all(), 0);
    roster
}

fn ranks(roster: &EntryRoster, instance: &str, zone: &str) -> Vec<u32> {
    (0..ENTRIES).map(|number| roster.place(address(number), instance, zone).rank).collect()
}

/// Guards against two entries that take the same share.
#[googletest::test]
fn each_entry_has_a_rank_of_its_own() {
    let mut ranks = ranks(&roster(), "engine-1", "zone-1");
    ranks.sort_unstable();
    expect_that!(ranks, eq(&(0..ENTRIES).collect::<Vec<_>>()));
}

/// Guards against shares that entries hold which send nothing there.
#[googletest::test]
fn entries_of_the_zone_of_the_upstream_come_first() {
    let ranks = ranks(&roster(), "engine-1", "zone-1");
    for number in (0..ENTRIES).filter(|number| number % 3 == 1) {
        expect_that!(ranks[number as usize], lt(3));
    }
}

/// Guards against one entry that holds a share of every upstream.
#[googletest::test]
fn upstreams_of_a_zone_have_different_orders() {
    let roster = roster();
    let firsts: std::collections::BTreeSet<_> = (0..20)
        .map(|number| ranks(&roster, &format!("engine-{number}"), "zone-1"))
        .filter_map(|ranks| ranks.iter().position(|rank| *rank == 0))
        .collect();
    expect_that!(firsts.len(), eq(3));
}

/// What voters tell of the entry with the number 0, and whether it is known afterwards.
enum Told {
    LeftByOne,
    LeftByAll,
    LeftLongAgo,
    MissingInAList,
}

macro_rules! entry_is_kept {
    ($($(#[$doc:meta])* $case:ident: $told:expr => $entries:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let mut roster = roster();
            roster.record_all(OTHER_VOTER, all(), 0);
            let left = || vec![address(0)];
            match $told {
                Told::LeftByOne => roster.record_changes(VOTER, Vec::new(), left(), 10),
                Told::LeftByAll => {
                    roster.record_changes(VOTER, Vec::new(), left(), 10);
                    roster.record_changes(OTHER_VOTER, Vec::new(), left(), 10);
                }
                Told::LeftLongAgo => {
                    roster.record_changes(VOTER, Vec::new(), left(), 10);
                    roster.record_changes(OTHER_VOTER, Vec::new(), left(), 10);
                    roster.record_changes(VOTER, Vec::new(), Vec::new(), LONG_MS);
                }
                Told::MissingInAList => {
                    let others = all().split_off(1);
                    roster.record_all(VOTER, others.clone(), 10);
                    roster.record_all(OTHER_VOTER, others, LONG_MS);
                }
            }
            let place = roster.place(address(1), "engine-1", "zone-1");
            expect_that!(place.entries, some(eq($entries)));
        }
    )*};
}

entry_is_kept! {
    an_entry_that_one_voter_still_lists_is_kept: Told::LeftByOne => ENTRIES;
    /// Guards against an entry that is cut off from the voters, sends on, and whose share others take.
    an_entry_that_no_voter_lists_is_kept_for_a_while: Told::LeftByAll => ENTRIES;
    /// Guards against shares that stay with entries which are gone for good.
    an_entry_that_no_voter_lists_for_long_is_forgotten: Told::LeftLongAgo => ENTRIES - 1;
    an_entry_that_a_restarted_voter_does_not_list_counts_from_then: Told::MissingInAList => ENTRIES;
}

/// Guards against an entry that takes all of a rate before it is listed.
#[googletest::test]
fn an_entry_that_is_not_listed_knows_no_number_of_entries() {
    let place = roster().place(address(ENTRIES), "engine-1", "zone-1");
    expect_that!(place, eq(Place { rank: 0, entries: None }));
}
