//! Announcements of chunks to peers.

use googletest::prelude::*;
use ragwortdeal_core::{
    digest, name,
    spread::{outbox::Outbox, roster::Holdings},
};

fn peer(number: u32) -> name::InstanceName {
    name::InstanceName::new(&format!("i{number}")).unwrap()
}

fn told(chunks: &[u32]) -> Holdings {
    let version = digest::Digest::of(b"version");
    Holdings { instance: peer(0), version, chunks: chunks.to_vec() }
}

/// Messages to a peer behind a link that turned narrow queue up there in front of requests.
#[googletest::test]
fn messages_do_not_queue_up_behind_one_that_is_under_way() {
    let mut outbox = Outbox::default();
    let first = outbox.push(&peer(1), told(&[0]));
    expect_that!(first, some(eq(&told(&[0]))));
    for chunk in 1..20 {
        expect_that!(outbox.push(&peer(1), told(&[chunk])), none());
    }
    let rest: Vec<_> = (1..20).collect();
    expect_that!(outbox.finish(&peer(1), told(&[0]), true), some(eq(&told(&rest))));
    expect_that!(outbox.push(&peer(1), told(&[20])), none());
    expect_that!(outbox.finish(&peer(1), told(&rest), true), some(eq(&told(&[20]))));
    expect_that!(outbox.finish(&peer(1), told(&[20]), true), none());
    expect_that!(outbox.push(&peer(1), told(&[21])), some(eq(&told(&[21]))));
}

#[googletest::test]
fn one_peer_does_not_hold_up_another() {
    let mut outbox = Outbox::default();
    expect_that!(outbox.push(&peer(1), told(&[0])), some(anything()));
    expect_that!(outbox.push(&peer(2), told(&[0])), some(anything()));
}

/// A message is lost on its way; the chunks that it named would stay unknown at the peer.
#[googletest::test]
fn what_did_not_arrive_is_told_with_the_next_message() {
    let mut outbox = Outbox::default();
    expect_that!(outbox.push(&peer(1), told(&[0, 1])), some(anything()));
    expect_that!(outbox.finish(&peer(1), told(&[0, 1]), false), none());
    expect_that!(outbox.push(&peer(1), told(&[2])), some(eq(&told(&[0, 1, 2]))));
    expect_that!(outbox.push(&peer(1), told(&[3])), none());
    let again = outbox.finish(&peer(1), told(&[0, 1, 2]), false);
    expect_that!(again, some(eq(&told(&[0, 1, 2, 3]))));
}
