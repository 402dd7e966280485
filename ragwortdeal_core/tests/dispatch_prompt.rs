//! Parts of prompts that several requests may hold.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::prompt;

fn names(parts: &[prompt::Part]) -> Vec<String> {
    parts.iter().map(|part| part.name.to_string()).collect()
}

/// Guards against requests that are held back for what is theirs alone.
#[googletest::test]
fn the_last_part_is_not_shared() {
    expect_that!(names(&prompt::shared_parts(&["a", "b", "c"])), elements_are![eq("a"), eq("b")]);
    expect_that!(prompt::shared_parts(&["a"]), is_empty());
    expect_that!(prompt::shared_parts(&[]), is_empty());
}

#[googletest::test]
fn a_part_that_comes_twice_is_taken_once() {
    expect_that!(
        names(&prompt::shared_parts(&["a", "b", "A", "c"])),
        elements_are![eq("a"), eq("b")]
    );
}

/// Guards against one name for two parts whose names differ behind what is kept of them.
#[googletest::test]
fn long_names_are_told_apart_and_kept_in_part() {
    let (first, second) = ("a".repeat(10_000), "a".repeat(10_001));
    let parts = prompt::shared_parts(&[&first, &second, "c"]);
    expect_that!(parts, len(eq(2)));
    expect_that!(parts[0].name.len(), le(64));
}

/// Guards against a list of thousands of parts that makes log lines as long as itself.
#[googletest::test]
fn a_log_line_names_few_parts() {
    let many: Vec<String> = (0..5_000).map(|number| format!("{number:x}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let parts = prompt::shared_parts(&many);
    expect_that!(parts, len(eq(4_999)));
    expect_that!(prompt::names(&parts).len(), lt(64));
}
