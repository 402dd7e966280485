//! Announcements that come late, twice, out of order and by several ways.

use googletest::prelude::*;
use ragwortdeal_core::directory::{Announcement, AnnouncementOrder, Directory, Effect, Status};

fn announcement(instance: &str, born_ms: u64, sequence: u64, status: Status) -> Announcement {
    Announcement {
        instance: instance.into(),
        order: AnnouncementOrder { born_ms, sequence },
        service: "models".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "zone".into(),
        status,
        slots: 16,
        models: Vec::new(),
        layers: None,
    }
}

fn status(directory: &Directory, instance: &str) -> Option<Status> {
    directory.get(instance).map(|upstream| upstream.announcement.status)
}

/// A voter was told that an engine leaves, and tells an entry that heard a later announcement of
/// the same engine from another voter before. Requests would go on to an engine that ends.
#[googletest::test]
fn leaving_counts_whatever_was_heard_later_by_another_way() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 1, 9, Status::Ready), 0);
    let effect = directory.apply_announcement(announcement("a", 1, 5, Status::Draining), 1);
    expect_that!(effect, eq(Effect::Changed));
    expect_that!(status(&directory, "a"), some(eq(Status::Draining)));
    expect_that!(
        directory.apply_announcement(announcement("a", 1, 10, Status::Ready), 2),
        eq(Effect::Stale)
    );
}

/// An engine says to a voter that has just started that it is gone, and that voter never heard of
/// it. Its word has to count as much as at one that knew it.
#[googletest::test]
fn an_unknown_upstream_that_leaves_is_gone() {
    let mut directory = Directory::default();
    expect_that!(
        directory.apply_departure("a", Some(AnnouncementOrder { born_ms: 1, sequence: 7 }), 0),
        eq(Effect::Changed)
    );
    expect_that!(
        directory.apply_announcement(announcement("a", 1, 6, Status::Ready), 1),
        eq(Effect::Stale)
    );
    expect_that!(
        directory.apply_announcement(announcement("a", 2, 1, Status::Ready), 2),
        eq(Effect::Changed)
    );
    expect_that!(status(&directory, "a"), some(eq(Status::Ready)));
}

#[googletest::test]
fn an_upstream_without_age_leaves_where_it_is_known() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 1, 9, Status::Ready), 0);
    expect_that!(directory.apply_departure("a", None, 1), eq(Effect::Changed));
    expect_that!(status(&directory, "a"), some(eq(Status::Gone)));
}

/// An engine starts again under its name while its former self's word that it is gone is late.
#[googletest::test]
fn a_new_life_is_not_ended_by_the_word_of_the_former() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 2, 1, Status::Ready), 0);
    let former = Some(AnnouncementOrder { born_ms: 1, sequence: 40 });
    expect_that!(directory.apply_departure("a", former, 1), eq(Effect::Stale));
    expect_that!(status(&directory, "a"), some(eq(Status::Ready)));
}

/// An engine died behind a cut, and another one took its address. The dead one's announcement
/// arrives after the cut and must not take the address back.
#[googletest::test]
fn a_late_announcement_does_not_take_an_address_back() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("new", 5, 1, Status::Ready), 0);
    expect_that!(
        directory.apply_announcement(announcement("old", 1, 30, Status::Ready), 1),
        eq(Effect::Stale)
    );
    expect_that!(status(&directory, "old"), none());
}

#[googletest::test]
fn a_repeated_announcement_only_refreshes() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 1, 1, Status::Ready), 0);
    expect_that!(
        directory.apply_announcement(announcement("a", 1, 2, Status::Ready), 1),
        eq(Effect::Refreshed)
    );
    expect_that!(
        directory.apply_announcement(announcement("a", 1, 2, Status::Ready), 2),
        eq(Effect::Stale)
    );
}
