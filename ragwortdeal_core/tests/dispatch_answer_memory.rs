//! How answers under way share the memory for them.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::answer_memory::{AnswerMemory, Denied};

const TOTAL_BYTES: usize = 64 << 20;
const EACH_MAX_BYTES: usize = 16 << 20;
const STEP_BYTES: usize = 16 << 10;

/// Bytes that so many answers without end hold when all of them have been denied more.
fn held_by_endless(answers: usize) -> usize {
    let mut memory = AnswerMemory::new(TOTAL_BYTES, EACH_MAX_BYTES);
    let mut held_bytes = vec![0; answers];
    let mut denied = vec![false; answers];
    while !denied.iter().all(|it| *it) {
        for (own_bytes, denied) in held_bytes.iter_mut().zip(&mut denied) {
            match memory.take(*own_bytes, STEP_BYTES) {
                Ok(()) => *own_bytes += STEP_BYTES,
                Err(_) => *denied = true,
            }
        }
    }
    assert_eq!(memory.held_bytes(), held_bytes.iter().sum::<usize>());
    memory.held_bytes()
}

/// Guards against many endless answers that leave no room for a small one.
#[googletest::test]
fn endless_answers_leave_room_for_one_more() {
    for answers in [1, 2, 10, 100, 500] {
        let held_bytes = held_by_endless(answers);
        // Memory is taken in steps.
        expect_that!(held_bytes, le(answers * TOTAL_BYTES / (answers + 1) + STEP_BYTES));
        expect_that!(held_bytes, le(answers * EACH_MAX_BYTES));
    }
}

/// Guards against sound answers that are denied memory which nobody holds.
#[googletest::test]
fn forty_answers_of_a_megabyte_fit() {
    let mut memory = AnswerMemory::new(TOTAL_BYTES, EACH_MAX_BYTES);
    for _ in 0..40 {
        expect_that!(memory.take(0, 1 << 20), ok(eq(())));
    }
}

/// Guards against memory that is lost when answers are over.
#[googletest::test]
fn memory_comes_back() {
    let mut memory = AnswerMemory::new(TOTAL_BYTES, EACH_MAX_BYTES);
    expect_that!(memory.take(0, EACH_MAX_BYTES), ok(eq(())));
    expect_that!(memory.take(EACH_MAX_BYTES, 1), err(eq(Denied::TooLarge)));
    memory.give_back(EACH_MAX_BYTES);
    expect_that!(memory.held_bytes(), eq(0));
}
