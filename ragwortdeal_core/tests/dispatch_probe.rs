//! Path states derived from probes, and load derived from reports.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    backlog::{Backlog, PeerEntries, UpstreamInfo},
    choice,
    peer_load::RequestCounts,
    probe::{PathState, Probe},
};

/// Sends a probe every 100 ms until `until_ms`. Each is answered after its round trip, if at all.
fn probed(until_ms: u64, round_trip_ms: impl Fn(u64) -> Option<u64>) -> Probe {
    let mut probe = Probe::default();
    let mut answers = Vec::new();
    for now_ms in 0..=until_ms {
        if now_ms % 100 == 0 {
            probe.record_sent(now_ms);
            answers.extend(
                round_trip_ms(now_ms).map(|round_trip_ms| (now_ms + round_trip_ms, now_ms)),
            );
        }
        for (_, sent_at_ms) in answers.extract_if(.., |(at_ms, _)| *at_ms == now_ms) {
            probe.record_reply(sent_at_ms, now_ms);
        }
    }
    probe
}

macro_rules! path_is {
    ($($(#[$guards:meta])* $name:ident: $answers:expr => $state:expr;)*) => {
        $(
            $(#[$guards])*
            #[googletest::test]
            fn $name() {
                expect_that!(probed(2_000, $answers).path_state(2_000), eq($state));
            }
        )*
    };
}

path_is! {
    a_path_with_prompt_answers_is_free: |_| Some(6) => PathState::Free;
    /// Guards against never using an instance that has no agent.
    a_path_that_was_never_answered_is_unknown: |_| None => PathState::Unknown;
    /// Guards against excluding an engine because of one lost datagram.
    a_path_with_one_lost_answer_is_free: |at| (at != 1_900).then_some(6) => PathState::Free;
    /// Guards against sending requests to a hung machine.
    a_path_without_answers_is_silent: |at| (at < 1_500).then_some(6) => PathState::Silent;
    /// Guards against sending for half a second more into a link that became narrow: the late
    /// answer itself comes only after that.
    a_path_whose_answer_is_overdue_is_not_free: |at| (at < 1_800).then_some(6) => PathState::Overdue;
    /// Guards against requests that wait for seconds on a congested link.
    a_path_with_a_queue_is_slow: |at| Some(if at < 1_500 { 6 } else { 300 }) => PathState::Slow;
    /// Guards against taking a queue that grows faster than answers arrive for a dead agent.
    a_path_with_a_growing_queue_is_slow: |at| Some(6 + (at.max(1_400) - 1_400) * 2) => PathState::Slow;
}

/// Guards against sending requests to superseded weights over a path whose state is no longer
/// known.
#[googletest::test]
fn only_a_recently_free_path_is_confirmed() {
    let free = probed(2_000, |_| Some(6));
    expect_that!(
        [free.is_confirmed(2_010), free.is_confirmed(2_600)],
        elements_are![eq(true), eq(false)]
    );
    expect_that!(probed(2_000, |at| (at < 1_500).then_some(6)).is_confirmed(2_000), eq(false));
    expect_that!(probed(2_000, |_| Some(200)).is_confirmed(2_000), eq(false));
    expect_that!(probed(2_000, |_| None).is_confirmed(2_000), eq(true));
}

/// Guards against an old answer that makes a blocked path look clear.
#[googletest::test]
fn an_overtaken_answer_is_ignored() {
    let mut probe = Probe::default();
    probe.record_sent(0);
    probe.record_sent(100);
    expect_that!(probe.record_reply(100, 400), eq(true));
    expect_that!(probe.record_reply(0, 405), eq(false));
    expect_that!(probe.path_state(410), eq(PathState::Slow));
}

/// Guards against entries that take an engine for idle because its answers are late: they send it
/// more, and its answers come later still.
#[googletest::test]
fn a_report_between_answers_shows_the_load_of_other_entries() {
    let upstream = UpstreamInfo { same_zone: false, slots: 16 };
    let mut backlog = Backlog::default();
    backlog.open_request(40.0);
    let all = RequestCounts { open: 22.0, unstarted: 6.0 };
    backlog.record_report(all, 0);
    let load = |backlog: &Backlog, now_ms| {
        choice::load(&backlog.candidate(&upstream, &PeerEntries::default(), now_ms))
    };
    expect_that!(load(&backlog, 3_000), lt(2.0));
    backlog.record_report(all, 2_950);
    expect_that!(load(&backlog, 3_000), eq(22.0));
}

/// Guards against avoiding a new engine because of its predecessor's failures.
#[googletest::test]
fn a_restart_keeps_only_open_requests() {
    let upstream = UpstreamInfo { same_zone: true, slots: 16 };
    let mut backlog = Backlog::default();
    backlog.open_request(40.0);
    backlog.record_shed(16, 0);
    backlog.record_first_event(100.0, 900.0, 0);
    let restarted = backlog.after_restart().candidate(&upstream, &PeerEntries::default(), 0);
    expect_that!(restarted.open, eq(1));
    expect_that!(restarted.peer_open + restarted.excess_delay_ms + restarted.prefill_ms, eq(0.0));
}

/// A deployment comes back and all entries see idle engines. Guards against a flood of prompts that
/// keeps each engine from decoding for seconds.
#[googletest::test]
fn all_entries_are_assumed_to_send_to_an_engine_without_reports() {
    let upstream = UpstreamInfo { same_zone: false, slots: 16 };
    let peers = PeerEntries { same_zone: 0.0, all: 3.0 };
    let mut backlog = Backlog::default();
    backlog.open_request(40.0);
    expect_that!(backlog.candidate(&upstream, &peers, 0).peer_open, eq(3.0));
    backlog.record_report(RequestCounts { open: 1.0, unstarted: 1.0 }, 100);
    expect_that!(backlog.candidate(&upstream, &peers, 110).peer_open, eq(0.0));
}
