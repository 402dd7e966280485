//! Evacuations of availability zones: revisions, delayed steps, concurrent operators, stored data.

use googletest::prelude::*;
use ragwortdeal_core::{
    command,
    document::{
        evacuation::{Decision, Evacuation, Evacuations, Request},
        store::{Step, Store},
    },
};
use rand::{RngExt as _, SeedableRng as _, rngs};

const ZONE: &str = "zone-0";
/// Age of a call whose caller has long repeated it.
const LONG_AGO_MS: u64 = 3_000;

fn request(evacuated: bool) -> Request {
    Request { zone: ZONE.into(), evacuated }
}

fn evacuation(revision: u64, evacuated: bool) -> Evacuation {
    Evacuation { zone: ZONE.into(), revision, evacuated }
}

fn holding(steps: &[Evacuation]) -> Store {
    let mut store = Store::default();
    steps.iter().for_each(|step| store.apply(&Step::Evacuate(step.clone())));
    store
}

macro_rules! steps {
    ($($(#[$guards:meta])* $case:ident: $steps:expr => $revision:expr, $evacuated:expr;)*) => {$(
        $(#[$guards])*
        #[googletest::test]
        fn $case() {
            let held = holding(&$steps).evacuations;
            expect_that!((held.revision(ZONE), held.is_evacuated(ZONE)), eq(($revision, $evacuated)));
        }
    )*};
}

steps! {
    /// Guards against upstreams that are avoided though nobody evacuated their zone.
    a_zone_is_not_evacuated_at_first: [] => 0, false;
    /// Guards against a start that was delayed in transit and evacuates the zone again.
    a_delayed_start_does_not_undo_the_end:
        [evacuation(1, true), evacuation(2, false), evacuation(1, true)] => 2, false;
    /// Guards against an end that was delayed in transit and sends requests to the zone again.
    a_delayed_end_does_not_undo_a_later_start:
        [evacuation(1, true), evacuation(2, false), evacuation(3, true), evacuation(2, false)]
        => 3, true;
    /// Guards against two operators' steps of one revision, the later of which counts at some voters.
    the_first_of_two_steps_with_one_revision_counts:
        [evacuation(1, true), evacuation(1, false)] => 1, true;
}

macro_rules! decisions {
    ($($(#[$guards:meta])* $case:ident:
        $held:expr, $evacuated:expr, $found:expr, $age_ms:expr => $decision:expr;)*) => {$(
        $(#[$guards])*
        #[googletest::test]
        fn $case() {
            let held = holding(&$held).evacuations;
            expect_that!(held.decide(&request($evacuated), $found, $age_ms), eq(&$decision));
        }
    )*};
}

decisions! {
    /// Guards against a first call that changes nothing.
    the_first_start_proposes_revision_one:
        [], true, 0, 0 => Decision::Propose(evacuation(1, true));
    /// Guards against a call that proposes again what has been applied, without end.
    a_start_is_acknowledged_after_its_step: [evacuation(1, true)], true, 0, 0 => Decision::AsAsked;
    /// Guards against an end that proposes again what has been applied, without end.
    an_end_is_acknowledged_after_its_step:
        [evacuation(1, true), evacuation(2, false)], false, 1, 0 => Decision::AsAsked;
    /// Guards against a repeated start that is acknowledged while an unanswered end can be applied.
    a_repeated_start_takes_the_next_revision:
        [evacuation(1, true)], true, 1, 0 => Decision::Propose(evacuation(2, true));
    /// Guards against a repeated end that is acknowledged while an unanswered start can be applied.
    a_repeated_end_takes_the_next_revision:
        [evacuation(1, true), evacuation(2, false)], false, 2, 0
        => Decision::Propose(evacuation(3, false));
    /// Guards against two equal calls at once, each of which waits for a step of its own.
    a_call_is_acknowledged_after_the_step_of_an_equal_one:
        [evacuation(1, true), evacuation(2, true)], true, 1, 0 => Decision::AsAsked;
    /// Guards against an end of a revision that the log ignores.
    an_end_proposes_the_next_revision:
        [evacuation(4, true)], false, 4, 0 => Decision::Propose(evacuation(5, false));
    /// Guards against a call that is stuck in a voter and undoes what operators ordered later.
    a_call_of_long_ago_proposes_nothing:
        [evacuation(2, false)], true, 2, LONG_AGO_MS => Decision::TooLate;
    /// Guards against a call that is stuck in a voter and is acknowledged by what others ordered.
    a_call_of_long_ago_that_proposed_nothing_is_not_acknowledged:
        [evacuation(1, true)], true, 1, LONG_AGO_MS => Decision::TooLate;
    /// Guards against an error for a call whose step was applied late.
    a_call_of_long_ago_is_acknowledged_where_it_is_as_asked:
        [evacuation(1, true)], true, 0, LONG_AGO_MS => Decision::AsAsked;
}

/// Takes an order up to its acknowledgement. Before each of its steps those are applied that are
/// held back in the network.
fn order(group: &mut Store, evacuated: bool, held_back: &[Evacuation]) {
    let found = group.evacuations.revision(ZONE);
    for _ in 0..10 {
        match group.evacuations.decide(&request(evacuated), found, 0) {
            Decision::Propose(step) => {
                held_back.iter().for_each(|late| group.apply(&Step::Evacuate(late.clone())));
                group.apply(&Step::Evacuate(step));
            }
            Decision::AsAsked => return,
            Decision::TooLate => break,
        }
    }
    panic!("the order is not acknowledged");
}

macro_rules! opposite_orders {
    ($($(#[$guards:meta])* $case:ident: $held:expr, $last:expr;)*) => {$(
        $(#[$guards])*
        #[googletest::test]
        fn $case() {
            let mut group = holding(&$held);
            let found = group.evacuations.revision(ZONE);
            let decided = group.evacuations.decide(&request(!$last), found, 0);
            let Decision::Propose(unanswered) = decided else { panic!("{decided:?}") };
            for held_back in [&[][..], std::slice::from_ref(&unanswered)] {
                let mut group = group.clone();
                order(&mut group, $last, held_back);
                expect_that!(group.evacuations.is_evacuated(ZONE), eq($last));
                group.apply(&Step::Evacuate(unanswered.clone()));
                expect_that!(group.evacuations.is_evacuated(ZONE), eq($last));
            }
            order(&mut group, $last, &[]);
            order(&mut group, $last, &[]);
            group.apply(&Step::Evacuate(unanswered));
            expect_that!(group.evacuations.is_evacuated(ZONE), eq($last));
        }
    )*};
}

opposite_orders! {
    /// Guards against an unanswered end that is applied after a later start was acknowledged.
    an_unanswered_end_does_not_undo_a_later_start: [evacuation(1, true)], true;
    /// Guards against an unanswered start that is applied after a later end was acknowledged.
    an_unanswered_start_does_not_undo_a_later_end:
        [evacuation(1, true), evacuation(2, false)], false;
    /// Guards against a first start that is applied after a later end was acknowledged.
    an_unanswered_first_start_does_not_undo_a_later_end: [], false;
}

/// Guards against an answer that tells an operator of a state which was never reached: two operators
/// ask for opposite states through voters that lag, and their steps arrive late, twice and in any
/// order.
#[googletest::test]
fn concurrent_operators_are_acknowledged_only_as_they_asked() {
    for seed in 0..500 {
        let mut draws = rngs::SmallRng::seed_from_u64(seed);
        let (mut group, mut old_steps) = (Store::default(), Vec::new());
        let mut waiting = vec![(true, Evacuations::default()), (false, Evacuations::default())];
        // Both begin while nothing is held.
        let found = 0;
        let mut rounds = 0;
        while !waiting.is_empty() && rounds < 100 {
            rounds += 1;
            let caller = draws.random_range(0..waiting.len());
            let (asked, known) = &mut waiting[caller];
            if let Decision::Propose(step) = known.decide(&request(*asked), found, 0) {
                group.apply(&Step::Evacuate(step.clone()));
                old_steps.push(step);
            }
            let resent = old_steps.get(draws.random_range(0..=old_steps.len()));
            resent.iter().for_each(|step| group.apply(&Step::Evacuate((*step).clone())));
            // What a quorum confirms, on which the acknowledgement rests.
            *known = group.evacuations.clone();
            if known.decide(&request(*asked), found, 0) == Decision::AsAsked {
                expect_that!(group.evacuations.is_evacuated(ZONE), eq(*asked));
                waiting.remove(caller);
            }
        }
        expect_that!(waiting.len(), eq(0));
    }
}

/// Guards against a replay of the log, or a snapshot together with older steps, that reverts a zone.
#[googletest::test]
fn a_replay_of_the_log_ends_where_the_log_ended() {
    let steps = [evacuation(1, true), evacuation(2, false), evacuation(3, true)];
    let mut store = holding(&steps);
    let before = store.clone();
    steps.iter().for_each(|step| store.apply(&Step::Evacuate(step.clone())));
    expect_that!(store, eq(&before));
}

/// Guards against a voter that starts over and forgets, or reverts, what it told its followers.
#[googletest::test]
fn a_merge_keeps_the_highest_revision_of_each_zone() {
    let other_zone = Evacuation { zone: "zone-1".into(), revision: 1, evacuated: true };
    let (mut newer, older) = (holding(&[evacuation(2, false)]), holding(&[evacuation(1, true)]));
    expect_that!(newer.merge(&older), eq(false));
    expect_that!(newer.merge(&holding(std::slice::from_ref(&other_zone))), eq(true));
    expect_that!(newer.evacuations.is_evacuated(ZONE), eq(false));
    expect_that!(newer.evacuations.is_evacuated(&other_zone.zone), eq(true));
    let news: Vec<_> = newer.evacuations.newer_than(&older.evacuations).cloned().collect();
    expect_that!(news, elements_are![eq(&evacuation(2, false)), eq(&other_zone)]);
}

/// Guards against a voter that cannot read the snapshot of an earlier version.
#[googletest::test]
fn an_older_snapshot_without_evacuations_is_read() {
    let mut encoded = Vec::new();
    ciborium::into_writer(&Store::default(), &mut encoded).unwrap();
    let mut value: ciborium::Value = ciborium::from_reader(&encoded[..]).unwrap();
    let fields = value.as_map_mut().unwrap();
    let before = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some("evacuations"));
    expect_that!(fields.len(), eq(before - 1));
    let mut older = Vec::new();
    ciborium::into_writer(&value, &mut older).unwrap();
    let store: Store = ciborium::from_reader(&older[..]).unwrap();
    expect_that!(store, eq(&Store::default()));
}

/// Guards against an evacuation that a voter writes to its disk and does not read back.
#[googletest::test]
fn an_evacuation_outlives_the_log_and_the_snapshot() {
    let command = command::Command::Document(Step::Evacuate(evacuation(1, true)));
    let mut machine = command::StateMachine::default();
    let mut entry = Vec::new();
    ciborium::into_writer(&command, &mut entry).unwrap();
    machine.apply(&ciborium::from_reader(&entry[..]).unwrap());
    let mut snapshot = Vec::new();
    ciborium::into_writer(&machine, &mut snapshot).unwrap();
    let read: command::StateMachine = ciborium::from_reader(&snapshot[..]).unwrap();
    expect_that!(read.documents().evacuations.is_evacuated(ZONE), eq(true));
}
