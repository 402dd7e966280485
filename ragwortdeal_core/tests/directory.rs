//! Announcements that arrive late, twice, out of order and by several paths.

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
        cold_remaining_ms: 0,
    }
}

fn status(directory: &Directory, instance: &str) -> Option<Status> {
    directory.get(instance).map(|upstream| upstream.announcement.status)
}

/// An entry learns from one voter that an engine leaves, after another voter has forwarded a later
/// announcement of the engine. If the leaving were ignored, requests would still be sent to it.
#[googletest::test]
fn leaving_counts_after_a_later_announcement_by_another_path() {
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

/// An engine announces that it is gone to a voter that has just started and does not know it. The
/// departure must be recorded as by a voter that knows the engine.
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
fn a_departure_without_order_counts_for_a_known_upstream() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 1, 9, Status::Ready), 0);
    expect_that!(directory.apply_departure("a", None, 1), eq(Effect::Changed));
    expect_that!(status(&directory, "a"), some(eq(Status::Gone)));
}

/// An engine restarts under its name, and the departure of its earlier incarnation arrives late.
#[googletest::test]
fn a_late_departure_does_not_end_a_new_incarnation() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 2, 1, Status::Ready), 0);
    let earlier = Some(AnnouncementOrder { born_ms: 1, sequence: 40 });
    expect_that!(directory.apply_departure("a", earlier, 1), eq(Effect::Stale));
    expect_that!(status(&directory, "a"), some(eq(Status::Ready)));
}

/// An engine in a partition crashed, and another one took its address. An announcement of the former
/// arrives after the partition heals and must not take the address back.
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

/// An announcement of another upstream's, at the same address and with a later start.
fn rival(service: &str, status: Status) -> Announcement {
    Announcement { service: service.into(), ..announcement("rival", 5, 1, status) }
}

macro_rules! disputes {
    ($($(#[$doc:meta])* $case:ident: $known:expr, $rival:expr, $said:expr => $expected:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            let mut directory = Directory::default();
            directory.set_named_services(["models".into()]);
            let known: Option<Announcement> = $known;
            known.into_iter().for_each(|it| _ = directory.apply_announcement(it, 0));
            directory.apply_announcement($rival, 1);
            expect_that!(directory.apply_announcement($said, 2), eq($expected));
        }
    )*};
}

disputes! {
    /// Requests would go on to an upstream whose drain was acknowledged.
    a_dispute_over_an_address_hides_no_drain:
        Some(announcement("a", 1, 1, Status::Ready)), rival("models", Status::Ready),
        announcement("a", 1, 2, Status::Draining) => Effect::Changed;
    a_dispute_over_an_address_hides_no_end:
        Some(announcement("a", 1, 1, Status::Draining)), rival("models", Status::Ready),
        announcement("a", 1, 2, Status::Gone) => Effect::Changed;
    /// Entries may know an upstream that this process has not heard of.
    a_dispute_over_an_address_hides_no_drain_of_an_unknown_upstream:
        None, rival("models", Status::Ready),
        announcement("a", 1, 2, Status::Draining) => Effect::Changed;
    /// Another writer's report names no upstream to use. Sound ones at its address must go on.
    an_upstream_of_an_unnamed_service_owns_no_address:
        None, rival("elsewhere", Status::Ready),
        announcement("a", 1, 1, Status::Ready) => Effect::Changed;
    an_upstream_of_a_named_service_owns_its_address:
        None, rival("models", Status::Ready),
        announcement("a", 1, 1, Status::Ready) => Effect::Stale;
}

/// A service is named after the first announcement of its upstream, which then owns its address.
#[googletest::test]
fn a_service_that_is_named_later_counts_from_then_on() {
    let mut directory = Directory::default();
    directory.set_named_services(["models".into()]);
    directory.apply_announcement(rival("later", Status::Ready), 0);
    directory.apply_announcement(announcement("a", 1, 1, Status::Ready), 1);
    directory.set_named_services(["models".into(), "later".into()]);
    let effect = directory.apply_announcement(announcement("b", 1, 1, Status::Ready), 2);
    expect_that!(effect, eq(Effect::Stale));
}

/// The clock of an upstream's machine went back before it started again, so its present start looks
/// earlier than the one before. Its drain was acknowledged and must count.
#[googletest::test]
fn a_drain_counts_after_the_clock_of_an_upstream_went_back() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 5, 9, Status::Ready), 0);
    directory.apply_announcement(announcement("a", 2, 1, Status::Ready), 1);
    let effect = directory.apply_announcement(announcement("a", 2, 2, Status::Draining), 2);
    expect_that!(effect, eq(Effect::Changed));
    expect_that!(status(&directory, "a"), some(eq(Status::Draining)));
    let again = directory.apply_announcement(announcement("a", 2, 3, Status::Ready), 3);
    expect_that!(again, eq(Effect::Stale));
}

/// A drain of an earlier start arrives late. The present start is used again from its next
/// announcement on.
#[googletest::test]
fn a_late_drain_of_an_earlier_start_counts_until_the_next_announcement() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 5, 9, Status::Ready), 0);
    directory.apply_announcement(announcement("a", 2, 40, Status::Draining), 1);
    let effect = directory.apply_announcement(announcement("a", 5, 10, Status::Ready), 2);
    expect_that!(effect, eq(Effect::Changed));
    expect_that!(status(&directory, "a"), some(eq(Status::Ready)));
}

/// An upstream leaves, and then words of an earlier start arrive late. It must not come back by them.
#[googletest::test]
fn late_words_of_an_earlier_start_bring_no_leaving_upstream_back() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("a", 5, 9, Status::Draining), 0);
    let late = directory.apply_announcement(announcement("a", 2, 40, Status::Gone), 1);
    expect_that!(late, eq(Effect::Stale));
    let ready = directory.apply_announcement(announcement("a", 5, 8, Status::Ready), 2);
    expect_that!(ready, eq(Effect::Stale));
    expect_that!(status(&directory, "a"), some(eq(Status::Draining)));
}
