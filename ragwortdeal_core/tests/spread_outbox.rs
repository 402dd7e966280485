//! Announcements of chunks to peers.

use googletest::prelude::*;
use ragwortdeal_core::{
    digest, name,
    spread::{outbox::Outbox, roster::Holdings},
};

fn peer(number: u32) -> name::InstanceName {
    name::InstanceName::new(&format!("i{number}")).unwrap()
}

fn holdings(chunks: &[u32]) -> Holdings {
    let version = digest::Digest::of(b"version");
    Holdings { instance: peer(0), version, chunks: chunks.to_vec() }
}

/// Messages to a peer behind a link that became narrow would queue up there ahead of requests.
#[googletest::test]
fn messages_do_not_queue_up_behind_one_in_flight() {
    let mut outbox = Outbox::default();
    let first = outbox.push(&peer(1), holdings(&[0]));
    expect_that!(first, some(eq(&holdings(&[0]))));
    for chunk in 1..20 {
        expect_that!(outbox.push(&peer(1), holdings(&[chunk])), none());
    }
    let rest: Vec<_> = (1..20).collect();
    expect_that!(outbox.finish(&peer(1), holdings(&[0]), true), some(eq(&holdings(&rest))));
    expect_that!(outbox.push(&peer(1), holdings(&[20])), none());
    expect_that!(outbox.finish(&peer(1), holdings(&rest), true), some(eq(&holdings(&[20]))));
    expect_that!(outbox.finish(&peer(1), holdings(&[20]), true), none());
    expect_that!(outbox.push(&peer(1), holdings(&[21])), some(eq(&holdings(&[21]))));
}

#[googletest::test]
fn one_peer_does_not_delay_another() {
    let mut outbox = Outbox::default();
    expect_that!(outbox.push(&peer(1), holdings(&[0])), some(anything()));
    expect_that!(outbox.push(&peer(2), holdings(&[0])), some(anything()));
}

/// A message is lost in transit; the peer would never learn of the chunks that it announced.
#[googletest::test]
fn undelivered_chunks_are_announced_with_the_next_message() {
    let mut outbox = Outbox::default();
    expect_that!(outbox.push(&peer(1), holdings(&[0, 1])), some(anything()));
    expect_that!(outbox.finish(&peer(1), holdings(&[0, 1]), false), none());
    expect_that!(outbox.push(&peer(1), holdings(&[2])), some(eq(&holdings(&[0, 1, 2]))));
    expect_that!(outbox.push(&peer(1), holdings(&[3])), none());
    let repeated = outbox.finish(&peer(1), holdings(&[0, 1, 2]), false);
    expect_that!(repeated, some(eq(&holdings(&[0, 1, 2, 3]))));
}
