//! How bodies of requests share the memory for them.

use googletest::prelude::*;
use ragwortdeal_core::inbound::body_memory::{BodyId, BodyMemory, NoRoom, SMALL_MAX_BYTES};

const TOTAL_BYTES: usize = 32 << 20;
const LARGE_BYTES: usize = 1 << 20;
const STALLED_MS: u64 = 1_000;

fn memory() -> BodyMemory<&'static str> {
    BodyMemory::new(TOTAL_BYTES, STALLED_MS)
}

/// Bodies of this size that a client gets in at one moment.
fn fill(
    memory: &mut BodyMemory<&'static str>,
    client: &'static str,
    bytes: usize,
    now_ms: u64,
) -> Vec<BodyId> {
    let mut ids = Vec::new();
    while let Ok(granted) = memory.begin(client, bytes, now_ms) {
        ids.push(granted.id);
    }
    ids
}

/// Guards against one client that takes all memory with large bodies.
#[googletest::test]
fn a_client_leaves_room_for_another() {
    let mut memory = memory();
    let first = fill(&mut memory, "a", LARGE_BYTES, 0);
    expect_that!(first.len(), all!(ge(10), le(16)));
    let second = fill(&mut memory, "b", LARGE_BYTES, 0);
    expect_that!(second.len(), ge(5));
    expect_that!(memory.begin("c", LARGE_BYTES, 0).is_ok(), eq(true));
    expect_that!(memory.held_bytes(), le(TOTAL_BYTES));
}

/// Guards against small bodies that wait for large ones which hold the memory.
#[googletest::test]
fn large_bodies_leave_room_for_small_ones() {
    let mut memory = memory();
    for client in ["a", "b", "c", "d", "e", "f", "g"] {
        fill(&mut memory, client, LARGE_BYTES, 0);
    }
    for _ in 0..100 {
        expect_that!(memory.begin("a", SMALL_MAX_BYTES, 0).is_ok(), eq(true));
    }
}

/// Guards against bodies that hold memory on purpose by stopping short of their end.
#[googletest::test]
fn a_body_that_stands_still_gives_way() {
    let mut memory = memory();
    let held = fill(&mut memory, "a", LARGE_BYTES, 0);
    expect_that!(memory.begin("a", LARGE_BYTES, STALLED_MS - 1), err(eq(&NoRoom)));
    let granted = memory.begin("a", LARGE_BYTES, STALLED_MS).unwrap();
    expect_that!(granted.given_up, not(is_empty()));
    expect_that!(held.contains(&granted.given_up[0]), eq(true));
    expect_that!(memory.held_bytes(), le(TOTAL_BYTES));
}

/// Guards against single bytes that keep the memory of a body.
#[googletest::test]
fn single_bytes_are_no_progress() {
    let mut memory = memory();
    let held = fill(&mut memory, "a", LARGE_BYTES, 0);
    held.iter().for_each(|id| memory.record_arrived(*id, 1, STALLED_MS - 1));
    expect_that!(memory.begin("a", LARGE_BYTES, STALLED_MS).is_ok(), eq(true));
}

/// Guards against bodies that are given up although they arrive.
#[googletest::test]
fn a_body_that_arrives_is_kept() {
    let mut memory = memory();
    let held = fill(&mut memory, "a", LARGE_BYTES, 0);
    held.iter().for_each(|id| memory.record_arrived(*id, 8 << 10, STALLED_MS));
    expect_that!(memory.begin("a", LARGE_BYTES, 2 * STALLED_MS - 1), err(eq(&NoRoom)));
}

/// Guards against whole bodies that are taken from requests under way.
#[googletest::test]
fn a_whole_body_is_kept() {
    let mut memory = memory();
    let held = fill(&mut memory, "a", LARGE_BYTES, 0);
    held.iter().for_each(|id| memory.record_whole(*id));
    expect_that!(memory.begin("a", LARGE_BYTES, 60_000), err(eq(&NoRoom)));
    memory.release(held[0]);
    expect_that!(memory.begin("a", LARGE_BYTES, 60_000).is_ok(), eq(true));
}

/// Guards against bodies that are given up although that does not make room enough.
#[googletest::test]
fn nothing_is_given_up_in_vain() {
    let mut memory = memory();
    let whole = fill(&mut memory, "a", LARGE_BYTES, 0);
    whole.iter().skip(1).for_each(|id| memory.record_whole(*id));
    let count = memory.count();
    expect_that!(memory.begin("a", TOTAL_BYTES / 2, STALLED_MS), err(eq(&NoRoom)));
    expect_that!(memory.count(), eq(count));
}

/// Guards against steps of a body without a length that count twice or are lost.
#[googletest::test]
fn a_body_without_a_length_takes_steps() {
    let mut memory = memory();
    let id = memory.begin("a", SMALL_MAX_BYTES, 0).unwrap().id;
    let mut bytes = SMALL_MAX_BYTES;
    while memory.grow(id, 2 * bytes, 0).is_ok() {
        bytes *= 2;
        expect_that!(memory.held_bytes(), eq(bytes));
    }
    expect_that!(bytes, ge(TOTAL_BYTES / 4));
    memory.release(id);
    expect_that!(memory.held_bytes(), eq(0));
    expect_that!(memory.largest_client(), none());
}

/// Guards against a body that grows after it was given up.
#[googletest::test]
fn a_body_that_was_given_up_gets_nothing() {
    let mut memory = memory();
    let held = fill(&mut memory, "a", LARGE_BYTES, 0);
    let granted = memory.begin("a", LARGE_BYTES, STALLED_MS).unwrap();
    let lost = granted.given_up[0];
    expect_that!(memory.grow(lost, 2 * LARGE_BYTES, STALLED_MS), err(eq(&NoRoom)));
    memory.release(lost);
    expect_that!(memory.count(), eq(held.len() + 1 - granted.given_up.len()));
}
