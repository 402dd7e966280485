//! Calls in progress across a switch of versions.

use googletest::prelude::*;
use ragwortdeal_core::{
    digest, name,
    orders::{lineup, order, weights},
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
    let mut lineup = lineup::Lineup::default();
    lineup.switch(loaded(1));
    let call = lineup.begin_call(&id(1)).expect("version 1 serves");
    lineup.switch(loaded(2));
    expect_that!(call.weights(), eq(&id(1)));
    expect_that!(lineup.take_drained().len(), eq(0));
    expect_that!(lineup.is_in_use(&id(1)), eq(true));
    lineup.end_call(call);
    let drained = lineup.take_drained();
    expect_that!(drained.len(), eq(1));
    expect_that!(lineup.is_in_use(&id(1)), eq(false));
    expect_that!(drained[0].id(), eq(&id(1)));
}

/// An entry chose the instance by an announcement from before the switch.
#[googletest::test]
fn a_call_for_another_version_does_not_begin() {
    let mut lineup = lineup::Lineup::default();
    let nothing = lineup.begin_call(&id(1)).map(|_| ());
    expect_that!(nothing, err(eq(&lineup::BeginError::NothingServes)));
    lineup.switch(loaded(2));
    let other = lineup.begin_call(&id(1)).map(|_| ());
    let serving = Box::new(id(2));
    expect_that!(other, err(eq(&lineup::BeginError::OtherVersion { serving })));
}

/// A version is taken back while the former one still drains.
#[googletest::test]
fn going_back_to_draining_weights_keeps_both_versions_calls() {
    let mut lineup = lineup::Lineup::default();
    lineup.switch(loaded(1));
    let old = lineup.begin_call(&id(1)).expect("version 1 serves");
    lineup.switch(loaded(2));
    let new = lineup.begin_call(&id(2)).expect("version 2 serves");
    expect_that!(lineup.switch_back(&id(1)), eq(true));
    expect_that!(lineup.switch_back(&id(3)), eq(false));
    expect_that!(lineup.serving(), some(eq(&id(1))));
    expect_that!(lineup.take_drained().len(), eq(0));
    lineup.end_call(new);
    expect_that!(lineup.take_drained().len(), eq(1));
    lineup.end_call(old);
}
