//! Calls in progress while the serving version is switched.

use googletest::prelude::*;
use ragwortdeal_core::{
    digest, name,
    orders::{order, serving_set, weights},
};

fn id(number: u8) -> order::WeightsId {
    order::WeightsId {
        model: name::ModelName::new("matcher").unwrap(),
        adapter: None,
        version: digest::Digest::of(&[number]),
    }
}

fn loaded(number: u8) -> weights::Weights<weights::Loaded> {
    let whole = digest::Digest::of(&[number, number]);
    let staged = weights::Weights::new(id(number), whole).staged();
    staged.verify(whole).expect("the hash is the same").loaded()
}

/// A chunk that passed its own verification is staged at the wrong place, so the hash over all
/// weights differs. If they were served, answers would be wrong but look right.
#[googletest::test]
fn weights_with_another_hash_go_back_to_announced() {
    let staged = weights::Weights::new(id(1), digest::Digest::of(b"whole")).staged();
    expect_that!(staged.verify(digest::Digest::of(b"other")).is_err(), eq(true));
}

/// The version is switched while a call is in progress. The whole answer must come from one
/// version, so the former weights stay until the call ends.
#[googletest::test]
fn a_call_ends_on_the_version_it_began_on() {
    let mut serving_set = serving_set::ServingSet::default();
    serving_set.switch(loaded(1));
    let call = serving_set.begin_call(&id(1)).expect("version 1 serves");
    serving_set.switch(loaded(2));
    expect_that!(call.weights(), eq(&id(1)));
    expect_that!(serving_set.take_drained().len(), eq(0));
    expect_that!(serving_set.is_in_use(&id(1)), eq(true));
    serving_set.end_call(call);
    let drained = serving_set.take_drained();
    expect_that!(drained.len(), eq(1));
    expect_that!(serving_set.is_in_use(&id(1)), eq(false));
    expect_that!(drained[0].id(), eq(&id(1)));
}

/// An entry selected the instance by an announcement from before the switch.
#[googletest::test]
fn a_call_for_another_version_does_not_begin() {
    let mut serving_set = serving_set::ServingSet::default();
    let nothing = serving_set.begin_call(&id(1)).map(|_| ());
    expect_that!(nothing, err(eq(&serving_set::BeginCallError::NothingServes)));
    serving_set.switch(loaded(2));
    let other = serving_set.begin_call(&id(1)).map(|_| ());
    let serving = Box::new(id(2));
    expect_that!(other, err(eq(&serving_set::BeginCallError::OtherVersion { serving })));
}

/// A version is rolled back while the former one is still draining.
#[googletest::test]
fn switching_back_to_draining_weights_keeps_the_calls_of_both_versions() {
    let mut serving_set = serving_set::ServingSet::default();
    serving_set.switch(loaded(1));
    let old = serving_set.begin_call(&id(1)).expect("version 1 serves");
    serving_set.switch(loaded(2));
    let new = serving_set.begin_call(&id(2)).expect("version 2 serves");
    expect_that!(serving_set.switch_back(&id(1)), eq(true));
    expect_that!(serving_set.switch_back(&id(3)), eq(false));
    expect_that!(serving_set.serving(), some(eq(&id(1))));
    expect_that!(serving_set.take_drained().len(), eq(0));
    serving_set.end_call(new);
    expect_that!(serving_set.take_drained().len(), eq(1));
    serving_set.end_call(old);
}
