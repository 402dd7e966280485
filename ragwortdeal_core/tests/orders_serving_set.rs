//! Calls in progress across a switch of versions.

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

/// A chunk that passed its own check ended up in the wrong place, so the whole has another hash.
/// Served, it would give wrong answers that look right.
#[googletest::test]
fn weights_with_another_hash_go_back_to_announced() {
    let staged = weights::Weights::new(id(1), digest::Digest::of(b"whole")).staged();
    expect_that!(staged.verify(digest::Digest::of(b"other")).is_err(), eq(true));
}

/// A version is switched while a call is in progress. The call's answer must come from one version
/// from beginning to end, so the former weights stay until it is over.
#[googletest::test]
fn a_call_ends_on_the_version_it_began_on() {
    let mut set = serving_set::ServingSet::default();
    set.switch(loaded(1));
    let call = set.begin_call(&id(1)).expect("version 1 serves");
    set.switch(loaded(2));
    expect_that!(call.weights(), eq(&id(1)));
    expect_that!(set.take_drained().len(), eq(0));
    expect_that!(set.is_in_use(&id(1)), eq(true));
    set.end_call(call);
    let drained = set.take_drained();
    expect_that!(drained.len(), eq(1));
    expect_that!(set.is_in_use(&id(1)), eq(false));
    expect_that!(drained[0].id(), eq(&id(1)));
}

/// An entry chose the instance by an announcement from before the switch.
#[googletest::test]
fn a_call_for_another_version_does_not_begin() {
    let mut set = serving_set::ServingSet::default();
    let nothing = set.begin_call(&id(1)).map(|_| ());
    expect_that!(nothing, err(eq(&serving_set::BeginCallError::NothingServes)));
    set.switch(loaded(2));
    let other = set.begin_call(&id(1)).map(|_| ());
    let serving = Box::new(id(2));
    expect_that!(other, err(eq(&serving_set::BeginCallError::OtherVersion { serving })));
}

/// A version is taken back while the former one still drains.
#[googletest::test]
fn going_back_to_draining_weights_keeps_both_versions_calls() {
    let mut set = serving_set::ServingSet::default();
    set.switch(loaded(1));
    let old = set.begin_call(&id(1)).expect("version 1 serves");
    set.switch(loaded(2));
    let new = set.begin_call(&id(2)).expect("version 2 serves");
    expect_that!(set.switch_back(&id(1)), eq(true));
    expect_that!(set.switch_back(&id(3)), eq(false));
    expect_that!(set.serving(), some(eq(&id(1))));
    expect_that!(set.take_drained().len(), eq(0));
    set.end_call(new);
    expect_that!(set.take_drained().len(), eq(1));
    set.end_call(old);
}
