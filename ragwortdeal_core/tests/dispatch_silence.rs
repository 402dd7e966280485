//! Which silence of an upstream counts.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::silence::{Change, Look, QUIET_LOOKS, Silence, UNBEGUN_LOOKS};

const SILENT: Look = Look { spoke: false, others_spoke: true, owes: true, begun: true };

fn looks(silence: &mut Silence, look: Look, count: u32) -> Vec<Change> {
    (0..count).filter_map(|_| silence.look(look)).collect()
}

/// A machine stands still in the middle of its streams. Callers notice that no event comes; all that
/// waits there must be taken back once, and once more for what came later.
#[googletest::test]
fn an_upstream_that_owes_and_says_nothing_goes_quiet() {
    let mut silence = Silence::default();
    expect_that!(looks(&mut silence, SILENT, QUIET_LOOKS - 1), is_empty());
    expect_that!(silence.is_quiet(), eq(false));
    expect_that!(silence.look(SILENT), some(eq(Change::Quiet)));
    expect_that!(silence.is_quiet(), eq(true));
    expect_that!(looks(&mut silence, SILENT, QUIET_LOOKS), elements_are![eq(&Change::Quiet)]);
    let heard = Look { spoke: true, ..SILENT };
    expect_that!(silence.look(heard), some(eq(Change::Heard)));
    expect_that!(silence.look(heard), none());
    expect_that!(silence.is_quiet(), eq(false));
}

/// An engine works through large prompts between two events, or its packets are lost and sent
/// again. Streams that were taken from it would be read again elsewhere for nothing.
#[googletest::test]
fn a_word_in_time_begins_the_silence_anew() {
    let mut silence = Silence::default();
    for _ in 0..20 {
        expect_that!(looks(&mut silence, SILENT, QUIET_LOOKS - 1), is_empty());
        expect_that!(silence.look(Look { spoke: true, ..SILENT }), none());
    }
}

/// The entry itself stood still, or lost its link. All upstreams seem silent to it, and taking all
/// requests back would send them all twice.
#[googletest::test]
fn a_silence_of_all_upstreams_says_nothing_of_one() {
    let mut silence = Silence::default();
    let nobody = Look { others_spoke: false, ..SILENT };
    expect_that!(looks(&mut silence, nobody, 100), is_empty());
    expect_that!(silence.is_quiet(), eq(false));
}

/// All that an entry has at an engine waits for its first event when the machine stands still. The
/// wait is longer than within a stream, as the engine may be reading for others.
#[googletest::test]
fn an_upstream_that_has_begun_on_nothing_goes_quiet_later() {
    let mut silence = Silence::default();
    let unbegun = Look { begun: false, ..SILENT };
    expect_that!(looks(&mut silence, unbegun, UNBEGUN_LOOKS - 1), is_empty());
    expect_that!(silence.look(unbegun), some(eq(Change::Quiet)));
}

#[googletest::test]
fn an_upstream_that_owes_nothing_may_be_silent() {
    let mut silence = Silence::default();
    let idle = Look { owes: false, begun: false, ..SILENT };
    expect_that!(looks(&mut silence, idle, 100), is_empty());
    looks(&mut silence, SILENT, QUIET_LOOKS - 1);
    expect_that!(silence.look(idle), none());
    expect_that!(looks(&mut silence, SILENT, QUIET_LOOKS - 1), is_empty());
}
