//! Which silence of an upstream counts.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::silence::{
    Change, Observation, SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX, SILENT_CHECKS_MAX, SilenceDetector,
};

const SILENT: Observation =
    Observation { sent_data: false, others_sent_data: true, owes_data: true, has_started: true };

fn looks(silence: &mut SilenceDetector, look: Observation, count: u32) -> Vec<Change> {
    (0..count).filter_map(|_| silence.observe(look)).collect()
}

/// A machine stands still in the middle of its streams. Callers notice that no event comes; all that
/// waits there must be taken back once, and once more for what came later.
#[googletest::test]
fn an_upstream_that_owes_and_says_nothing_goes_quiet() {
    let mut silence = SilenceDetector::default();
    expect_that!(looks(&mut silence, SILENT, SILENT_CHECKS_MAX - 1), is_empty());
    expect_that!(silence.is_silent(), eq(false));
    expect_that!(silence.observe(SILENT), some(eq(Change::Silent)));
    expect_that!(silence.is_silent(), eq(true));
    expect_that!(
        looks(&mut silence, SILENT, SILENT_CHECKS_MAX),
        elements_are![eq(&Change::Silent)]
    );
    let heard = Observation { sent_data: true, ..SILENT };
    expect_that!(silence.observe(heard), some(eq(Change::Recovered)));
    expect_that!(silence.observe(heard), none());
    expect_that!(silence.is_silent(), eq(false));
}

/// An engine works through large prompts between two events, or its packets are lost and sent
/// again. Streams that were taken from it would be read again elsewhere for nothing.
#[googletest::test]
fn a_word_in_time_begins_the_silence_anew() {
    let mut silence = SilenceDetector::default();
    for _ in 0..20 {
        expect_that!(looks(&mut silence, SILENT, SILENT_CHECKS_MAX - 1), is_empty());
        expect_that!(silence.observe(Observation { sent_data: true, ..SILENT }), none());
    }
}

/// The entry itself stood still, or lost its link. All upstreams seem silent to it, and taking all
/// requests back would send them all twice.
#[googletest::test]
fn a_silence_of_all_upstreams_says_nothing_of_one() {
    let mut silence = SilenceDetector::default();
    let nobody = Observation { others_sent_data: false, ..SILENT };
    expect_that!(looks(&mut silence, nobody, 100), is_empty());
    expect_that!(silence.is_silent(), eq(false));
}

/// All that an entry has at an engine waits for its first event when the machine stands still. The
/// wait is longer than within a stream, as the engine may be reading for others.
#[googletest::test]
fn an_upstream_that_has_begun_on_nothing_goes_quiet_later() {
    let mut silence = SilenceDetector::default();
    let unbegun = Observation { has_started: false, ..SILENT };
    expect_that!(
        looks(&mut silence, unbegun, SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX - 1),
        is_empty()
    );
    expect_that!(silence.observe(unbegun), some(eq(Change::Silent)));
}

#[googletest::test]
fn an_upstream_that_owes_nothing_may_be_silent() {
    let mut silence = SilenceDetector::default();
    let idle = Observation { owes_data: false, has_started: false, ..SILENT };
    expect_that!(looks(&mut silence, idle, 100), is_empty());
    looks(&mut silence, SILENT, SILENT_CHECKS_MAX - 1);
    expect_that!(silence.observe(idle), none());
    expect_that!(looks(&mut silence, SILENT, SILENT_CHECKS_MAX - 1), is_empty());
}
