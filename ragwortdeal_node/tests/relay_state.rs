//! The configuration as a relay's state: steps, refusals and snapshots.

use googletest::prelude::*;
use ragwortdeal_core::{
    config::{change, delta, object, state},
    digest, labels, name,
    relay::{self, State as _, payload},
};
use ragwortdeal_node::relay as node_relay;

fn change(number: usize) -> change::Change {
    let instance = name::InstanceName::new(&format!("engine-{}", number % 3)).expect("valid");
    let key = name::LabelKey::new("round").expect("valid");
    let value = name::LabelValue::new(&number.to_string()).expect("valid");
    let labels = object::Object::Labels(labels::Labels::from([(key, value)]));
    change::Change {
        id: name::ChangeId::new(&format!("change-{number}")).expect("valid"),
        key: object::ObjectKey::Instance(instance),
        expected_revision: None,
        // Each fourth change removes the object again.
        object: (number % 4 != 3).then_some(labels),
    }
}

/// The voters' state after some changes, and the step of each.
fn accepted(count: usize) -> (state::State, Vec<relay::Delta>) {
    let mut config = state::State::default();
    let mut steps = Vec::new();
    for number in 0..count {
        let before = config.revision();
        config.apply(&change(number));
        let Some(delta::Update::Delta(delta)) = config.update_since(before) else {
            panic!("one accepted change is one step");
        };
        steps.push(node_relay::step(&delta));
    }
    (config, steps)
}

fn follower(steps: &[relay::Delta]) -> node_relay::Configuration {
    let mut follower = node_relay::Configuration::default();
    for step in steps {
        follower.apply(step).expect("the next step");
    }
    follower
}

#[googletest::test]
fn a_follower_of_all_steps_equals_the_voter() {
    let (config, steps) = accepted(40);
    let follower = follower(&steps);
    expect_that!(follower.replica().objects(), eq(config.objects()));
    expect_that!(follower.position().revision, eq(config.revision()));
}

#[googletest::test]
fn a_snapshot_equals_all_steps() {
    let (_, steps) = accepted(40);
    let follower = follower(&steps);
    let mut fresh = node_relay::Configuration::default();
    fresh.install(&follower.position(), &follower.snapshot()).expect("a whole snapshot");
    expect_that!(fresh.replica().objects(), eq(follower.replica().objects()));
    expect_that!(fresh.position(), eq(follower.position()));
}

macro_rules! refused {
    ($($case:ident: $spoil:expr;)*) => {$(
        /// A parent sends a step that is not what it says, from a fault of its own. A receiver
        /// that took it would route by another configuration than everybody else.
        #[googletest::test]
        fn $case() {
            let (_, steps) = accepted(5);
            let mut follower = follower(&steps[..4]);
            let before = follower.position();
            let mut step = steps[4].clone();
            let spoil: fn(&mut relay::Delta) = $spoil;
            spoil(&mut step);
            expect_that!(follower.apply(&step), err(anything()));
            expect_that!(follower.position(), eq(before));
            expect_that!(follower.apply(&steps[4]), ok(anything()));
        }
    )*};
}

refused! {
    a_step_with_another_hash: |step| step.to.digest = digest::Digest::of(b"other");
    a_step_with_another_number: |step| step.to.revision += 1;
    a_step_with_a_torn_payload: |step| {
        step.payload = payload::Payload::new(&step.payload[..step.payload.len() / 2]);
    };
    a_step_over_a_gap: |step| {
        step.from += 1;
        step.to.revision += 1;
    };
}

/// Pieces of a snapshot come from a parent whose state is spoiled.
#[googletest::test]
fn a_spoiled_snapshot_is_refused_and_changes_nothing() {
    let (_, steps) = accepted(5);
    let whole = follower(&steps);
    let mut late = follower(&steps[..2]);
    let before = late.position();
    let other = follower(&steps[..4]).snapshot();
    expect_that!(late.install(&whole.position(), &other), err(anything()));
    expect_that!(late.install(&whole.position(), &other[..7]), err(anything()));
    expect_that!(late.position(), eq(before));
}
