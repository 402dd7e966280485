//! Times of namings across restarts of the processes that know them.

use googletest::prelude::*;
use ragwortdeal_core::document::naming::{Naming, Namings};

const WITHIN_MS: u64 = 8_000;

fn naming(version: u64, age_ms: u64) -> Naming {
    Naming { model: "m".to_owned(), version, age_ms }
}

/// An entry restarts eight seconds after weights were named. If it counted the time from its own
/// start, its callers would get answers on the old weights for eight more seconds.
#[googletest::test]
fn a_process_that_starts_later_counts_from_the_naming() {
    let mut sender = Namings::default();
    sender.record(&naming(2, 0), 18_000);
    let mut started = Namings::default();
    sender.export(26_400).iter().for_each(|naming| _ = started.record(naming, 30));
    expect_that!(started.min_servable_version("m", WITHIN_MS, 30), eq(2));
    expect_that!(started.superseded_at_ms("m", 1), some(eq(-8_370)));
}

/// A restarted voter reads the version of the weights from its disk and takes it for new. The
/// longer age that another voter reports counts, in whatever order they arrive.
#[googletest::test]
fn the_earliest_naming_counts() {
    for order in [[9_000, 10], [10, 9_000]] {
        let mut namings = Namings::default();
        order.iter().for_each(|age_ms| _ = namings.record(&naming(2, *age_ms), 10_000));
        expect_that!(namings.named_at_ms("m", 2), some(eq(1_000)));
    }
}

/// Versions are named faster than engines load them. If each were due only when the next one is, or
/// all as soon as the first, callers would find no engine or get superseded weights.
#[googletest::test]
fn each_version_has_its_own_deadline() {
    let mut namings = Namings::default();
    expect_that!(namings.record(&naming(2, 0), 18_000), eq(true));
    expect_that!(namings.record(&naming(3, 0), 20_000), eq(true));
    expect_that!(namings.record(&naming(2, 0), 21_000), eq(false));
    expect_that!(namings.newest("m"), some(eq(3)));
    expect_that!(namings.min_servable_version("m", WITHIN_MS, 25_999), eq(0));
    expect_that!(namings.min_servable_version("m", WITHIN_MS, 26_000), eq(2));
    expect_that!(namings.min_servable_version("m", WITHIN_MS, 28_000), eq(3));
    expect_that!(namings.superseded_at_ms("m", 2), some(eq(20_000)));
    expect_that!(namings.superseded_at_ms("m", 3), none());
    expect_that!(namings.min_servable_version("other", WITHIN_MS, 28_000), eq(0));
}

#[googletest::test]
fn the_number_of_versions_is_bounded() {
    let mut namings = Namings::default();
    (1..1_000).for_each(|version| _ = namings.record(&naming(version, 0), version * 1_000));
    expect_that!(namings.export(1_000_000).len(), eq(32));
    expect_that!(namings.min_servable_version("m", WITHIN_MS, 1_000_000), eq(992));
}

/// A voter restarts among thousands of followers, each of which reports what it remembers. If it
/// were sent all versions ever named, or passed on each report, the links would be congested.
#[googletest::test]
fn only_open_namings_are_sent_to_a_process_without_ages() {
    let mut follower = Namings::default();
    (1..30).for_each(|version| _ = follower.record(&naming(version, 0), version * 1_000));
    let exported = follower.export_open(WITHIN_MS, 30_000);
    let versions: Vec<_> = exported.iter().map(|naming| naming.version).collect();
    expect_that!(versions, elements_are![&22, &23, &24, &25, &26, &27, &28, &29]);

    let mut restarted = Namings::default();
    restarted.record(&naming(29, 0), 500);
    let remembered = naming(29, 1_000);
    expect_that!(restarted.is_news(&remembered, 500), eq(true));
    restarted.record(&remembered, 500);
    expect_that!(restarted.is_news(&naming(29, 1_150), 500), eq(false));
    expect_that!(restarted.is_news(&naming(28, 2_000), 500), eq(true));
}
