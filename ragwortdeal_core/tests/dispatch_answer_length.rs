//! Expected length of answers of which callers tell a bound.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::answer_length::AnswerLength;

const MEAN_TOKENS: f64 = 119.0;

fn after(told: impl Iterator<Item = f64>) -> AnswerLength {
    let mut length = AnswerLength::default();
    told.for_each(|tokens| length.record(tokens, MEAN_TOKENS));
    length
}

/// Guards against a bound that is taken for the length of answers.
#[googletest::test]
fn a_common_bound_is_set_against_the_documented_mean() {
    let length = after(std::iter::repeat_n(360.0, 2_000));
    expect_that!(length.tokens(360.0).expected, near(MEAN_TOKENS, 0.1 * MEAN_TOKENS));
    expect_that!(length.tokens(360.0).longest, eq(360.0));
}

/// Guards against answers whose length is told and which are taken for shorter ones.
#[googletest::test]
fn lengths_that_are_told_are_taken_as_they_are() {
    let lengths = (0..2_000).map(|number| MEAN_TOKENS * (0.1 + f64::from(number % 19) * 0.1));
    expect_that!(after(lengths).tokens(300.0).expected, near(300.0, 1.0));
}

/// Guards against one caller whose bound has no measure, after which all answers count as short.
#[googletest::test]
fn a_bound_without_measure_hardly_counts() {
    let usual = std::iter::repeat_n(360.0, 500);
    let before = after(usual.clone()).tokens(360.0).expected;
    let odd = usual.chain(std::iter::once(f64::from(u32::MAX)));
    expect_that!(after(odd).tokens(360.0).expected, near(before, 0.05 * before));
}

/// Guards against resumed streams, whose rest is not told, that make bounds look shorter.
#[googletest::test]
fn requests_without_a_bound_do_not_count() {
    let told = (0..1_000).map(|number| if number % 2 == 0 { 360.0 } else { 0.0 });
    let known = after(std::iter::repeat_n(360.0, 500)).tokens(360.0).expected;
    expect_that!(after(told).tokens(360.0).expected, near(known, 1.0));
}
