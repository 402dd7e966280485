//! Announcements that come late, twice, out of order and by several ways.

use googletest::prelude::*;
use ragwortdeal_core::directory::{Age, Announcement, Directory, Effect, Standing};

fn said(instance: &str, born_ms: u64, sequence: u64, standing: Standing) -> Announcement {
    Announcement {
        instance: instance.into(),
        age: Age { born_ms, sequence },
        service: "models".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "zone".into(),
        standing,
        slots: 16,
        held: Vec::new(),
        layers: None,
    }
}

fn standing(directory: &Directory, instance: &str) -> Option<Standing> {
    directory.get(instance).map(|upstream| upstream.said.standing)
}

/// A voter was told that an engine leaves, and tells an entry that heard a later announcement of
/// the same engine from another voter before. Requests would go on to an engine that ends.
#[googletest::test]
fn leaving_counts_whatever_was_heard_later_by_another_way() {
    let mut directory = Directory::default();
    directory.announced(said("a", 1, 9, Standing::Ready), 0);
    let effect = directory.announced(said("a", 1, 5, Standing::Draining), 1);
    expect_that!(effect, eq(Effect::Changed));
    expect_that!(standing(&directory, "a"), some(eq(Standing::Draining)));
    expect_that!(directory.announced(said("a", 1, 10, Standing::Ready), 2), eq(Effect::Stale));
}

/// An engine says to a voter that has just started that it is gone, and that voter never heard of
/// it. Its word has to count as much as at one that knew it.
#[googletest::test]
fn an_unknown_upstream_that_leaves_is_gone() {
    let mut directory = Directory::default();
    expect_that!(
        directory.left("a", Some(Age { born_ms: 1, sequence: 7 }), 0),
        eq(Effect::Changed)
    );
    expect_that!(directory.announced(said("a", 1, 6, Standing::Ready), 1), eq(Effect::Stale));
    expect_that!(directory.announced(said("a", 2, 1, Standing::Ready), 2), eq(Effect::Changed));
    expect_that!(standing(&directory, "a"), some(eq(Standing::Ready)));
}

#[googletest::test]
fn an_upstream_without_age_leaves_where_it_is_known() {
    let mut directory = Directory::default();
    directory.announced(said("a", 1, 9, Standing::Ready), 0);
    expect_that!(directory.left("a", None, 1), eq(Effect::Changed));
    expect_that!(standing(&directory, "a"), some(eq(Standing::Gone)));
}

/// An engine starts again under its name while its former self's word that it is gone is late.
#[googletest::test]
fn a_new_life_is_not_ended_by_the_word_of_the_former() {
    let mut directory = Directory::default();
    directory.announced(said("a", 2, 1, Standing::Ready), 0);
    let former = Some(Age { born_ms: 1, sequence: 40 });
    expect_that!(directory.left("a", former, 1), eq(Effect::Stale));
    expect_that!(standing(&directory, "a"), some(eq(Standing::Ready)));
}

/// An engine died behind a cut, and another one took its address. The dead one's announcement
/// arrives after the cut and must not take the address back.
#[googletest::test]
fn a_late_announcement_does_not_take_an_address_back() {
    let mut directory = Directory::default();
    directory.announced(said("new", 5, 1, Standing::Ready), 0);
    expect_that!(directory.announced(said("old", 1, 30, Standing::Ready), 1), eq(Effect::Stale));
    expect_that!(standing(&directory, "old"), none());
}

#[googletest::test]
fn a_repeated_announcement_only_refreshes() {
    let mut directory = Directory::default();
    directory.announced(said("a", 1, 1, Standing::Ready), 0);
    expect_that!(directory.announced(said("a", 1, 2, Standing::Ready), 1), eq(Effect::Refreshed));
    expect_that!(directory.announced(said("a", 1, 2, Standing::Ready), 2), eq(Effect::Stale));
}
