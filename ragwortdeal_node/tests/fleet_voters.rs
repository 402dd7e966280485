//! Voters of a fleet that discover each other, lose disks and are replaced.

use std::{collections, fs};

use googletest::prelude::*;
use ragwortdeal_node::{fleet::notice, link};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::world::{self, Process, World};

/// The version that a voter reads back, or none if it cannot confirm it.
async fn read(world: &World, voter: u8) -> Option<u64> {
    let operator = world.operator();
    let answer = operator.call(world.control(voter), "GET", "/configuration", "").await;
    let (_, text) = answer.filter(|(status, _)| *status == 200)?;
    let document: serde_json::Value = serde_json::from_str(&text).ok()?;
    document["version"].as_u64()
}

async fn until_read(world: &World, voter: u8, version: u64) {
    world::until("the voter reads the newest document", async || {
        read(world, voter).await == Some(version)
    })
    .await;
}

async fn started() -> (World, collections::BTreeMap<u8, Process>) {
    let world = World::new(&DIALECT, 3);
    let voters = world.first_voters().await;
    world.install(&world.document(3, None)).await;
    (world, voters)
}

/// Kills a voter, empties its disk and restarts it at its address.
async fn empty(world: &World, voters: &mut collections::BTreeMap<u8, Process>, number: u8) {
    voters.remove(&number).expect("a running voter").kill().await;
    fs::remove_dir_all(world.data_dir(number)).unwrap();
    voters.insert(number, world.voter(number, false).await);
}

#[googletest::test]
#[tokio::test]
async fn every_voter_reads_what_was_acknowledged_by_any() {
    let (world, _voters) = started().await;
    for voter in 1..=3 {
        until_read(&world, voter, 3).await;
    }
}

/// One voter after the other loses its disk, the leader among them, each right after the previous
/// one has joined again. Two empty disks that still counted could outvote the last intact one.
#[googletest::test]
#[tokio::test]
async fn emptied_voters_are_replaced_one_after_the_other() {
    let (world, mut voters) = started().await;
    for (version, number) in [(4, 1), (5, 2), (6, 3), (7, 1)] {
        world.whole_group(3, &[1, 2, 3]).await;
        empty(&world, &mut voters, number).await;
        until_read(&world, number, version - 1).await;
        world.install(&world.document(version, None)).await;
    }
    for voter in 1..=3 {
        until_read(&world, voter, 7).await;
    }
}

/// A voter is gone for good, and an empty one starts at another address. Nobody tells the group.
#[googletest::test]
#[tokio::test]
async fn a_new_voter_takes_the_place_of_one_that_is_gone() {
    let (world, mut voters) = started().await;
    voters.remove(&1).expect("a running voter").kill().await;
    voters.insert(4, world.voter(4, false).await);
    until_read(&world, 4, 3).await;
    // Once it votes, the group tolerates the loss of another one.
    world.install(&world.document(4, None)).await;
    world.whole_group(3, &[2, 3, 4]).await;
    voters.remove(&2).expect("a running voter").kill().await;
    until_read(&world, 4, 4).await;
    world.install(&world.document(5, None)).await;
    until_read(&world, 3, 5).await;
}

/// All voters are killed at the same time and restart with their disks.
#[googletest::test]
#[tokio::test]
async fn all_voters_come_back_with_what_they_acknowledged() {
    let (world, mut voters) = started().await;
    for number in 1..=3 {
        voters.remove(&number).expect("a running voter").kill().await;
    }
    for number in 1..=3 {
        voters.insert(number, world.voter(number, false).await);
    }
    for number in 1..=3 {
        until_read(&world, number, 3).await;
    }
}

/// A voter alone cannot know whether others accepted something newer. It must say so, and not
/// return what it holds.
#[googletest::test]
#[tokio::test]
async fn a_voter_without_a_quorum_reads_and_accepts_nothing() {
    let (world, mut voters) = started().await;
    until_read(&world, 3, 3).await;
    for number in [1, 2] {
        voters.remove(&number).expect("a running voter").kill().await;
    }
    world::until("it notices", async || read(&world, 3).await.is_none()).await;
    let document = world.document(9, None).to_string();
    let operator = world.operator();
    let answer = operator.call(world.control(3), "PUT", "/configuration", &document).await;
    expect_that!(answer.is_none_or(|(status, _)| status == 503), eq(true));
    expect_that!(read(&world, 3).await, none());
}

/// An emptied voter that cannot reach its group must not found a second one.
#[googletest::test]
#[tokio::test]
async fn an_emptied_voter_founds_no_second_group() {
    let (world, mut voters) = started().await;
    for number in [1, 2, 3] {
        voters.remove(&number).expect("a running voter").kill().await;
    }
    fs::remove_dir_all(world.data_dir(1)).unwrap();
    voters.insert(1, world.voter(1, false).await);
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    expect_that!(read(&world, 1).await, none());
    for number in [2, 3] {
        voters.insert(number, world.voter(number, false).await);
    }
    until_read(&world, 1, 3).await;
}

macro_rules! refused {
    ($($case:ident: $corrupt:expr,)*) => {$(
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            let (world, _voters) = started().await;
            let mut document = world.document(8, None);
            let corrupt: fn(&mut serde_json::Value) -> String = $corrupt;
            let text = corrupt(&mut document);
            let answer = world.operator().order("PUT", "/configuration", &text).await;
            expect_that!(answer.0, eq(400));
            until_read(&world, 1, 3).await;
        }
    )*};
}

refused! {
    a_document_that_is_cut_short: |document| document.to_string()[..200].to_owned(),
    a_document_with_an_unknown_service: |document| {
        document["routes"][0]["service"] = "nowhere".into();
        document.to_string()
    },
    a_document_without_a_timeout: |document| {
        document["routes"][0]["timeout-ms"] = 0.into();
        document.to_string()
    },
}

/// A data folder is corrupt: what was synced does not read back. The voter discards it and joins as
/// a new replica, and its process does not end.
#[googletest::test]
#[tokio::test]
async fn a_voter_with_a_corrupt_data_folder_rejoins() {
    let (world, mut voters) = started().await;
    voters.remove(&2).expect("a running voter").kill().await;
    for file in fs::read_dir(world.data_dir(2).join("log")).unwrap() {
        let path = file.unwrap().path();
        let mut bytes = fs::read(&path).unwrap();
        bytes.iter_mut().for_each(|byte| *byte ^= 0x55);
        fs::write(&path, bytes).unwrap();
    }
    voters.insert(2, world.voter(2, false).await);
    until_read(&world, 2, 3).await;
}

macro_rules! planned_replacements {
    ($($case:ident: stops $stopped:expr, $gap_ms:expr, successors $successors:expr,)*) => {$(
        /// Voters are replaced as planned: their successors run, then they are stopped shortly one
        /// after the other. Votes that left with them would leave the group without a quorum.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            let (world, mut voters) = started().await;
            world.whole_group(3, &[1, 2, 3]).await;
            for successor in $successors {
                voters.insert(successor, world.voter(successor, false).await);
                until_read(&world, successor, 3).await;
            }
            let mut stopping = Vec::new();
            for number in $stopped {
                let voter = voters.remove(&number).expect("a running voter");
                stopping.push(tokio::spawn(voter.stop()));
                tokio::time::sleep(std::time::Duration::from_millis($gap_ms)).await;
            }
            for stop in stopping {
                stop.await.expect("the voter ends");
            }
            for number in voters.keys() {
                until_read(&world, *number, 3).await;
            }
            world.install_at(voters.keys().copied(), &world.document(4, None)).await;
        }
    )*};
}

planned_replacements! {
    two_voters_stop_at_the_same_moment: stops [1, 2], 0, successors [4, 5],
    two_voters_stop_shortly_one_after_the_other: stops [1, 2], 1_300, successors [4, 5],
    all_first_voters_stop_at_the_same_moment: stops [1, 2, 3], 0, successors [4, 5, 6],
}

/// All instances of a larger core are restarted one after the other, each as soon as the one before
/// runs again, twice. Each was replaced while it was down and has to be a standby like another
/// afterwards.
#[googletest::test]
#[tokio::test]
async fn voters_and_standbys_are_restarted_in_series() {
    let (world, mut voters) = started().await;
    for standby in [4, 5] {
        voters.insert(standby, world.voter(standby, false).await);
        until_read(&world, standby, 3).await;
    }
    for round in 0..2 {
        for number in 1..=5 {
            voters.remove(&number).expect("a running voter").stop().await;
            voters.insert(number, world.voter(number, false).await);
        }
        world.install(&world.document(4 + round, None)).await;
    }
    for number in 1..=5 {
        until_read(&world, number, 5).await;
    }
}

/// A voter starts while its disk takes no writes. Were its folder given up, the copy that it holds of
/// each acknowledged change would be lost although the disk lost nothing.
#[googletest::test]
#[tokio::test]
async fn a_voter_that_starts_on_a_full_disk_keeps_its_folder() {
    let (world, mut voters) = started().await;
    world.whole_group(3, &[1, 2, 3]).await;
    let before = world.group(1).await.expect("a voter answers").membership;
    voters.remove(&2).expect("a running voter").kill().await;
    // No file can be removed or written in its place, as on a full disk.
    let obstacle = world.data_dir(2).join("log/obstacle.tmp");
    fs::create_dir(&obstacle).unwrap();
    voters.insert(2, world.voter(2, false).await);
    tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
    voters.remove(&3).expect("a running voter").kill().await;
    fs::remove_dir_all(world.data_dir(3)).unwrap();
    fs::remove_dir(&obstacle).unwrap();
    until_read(&world, 2, 3).await;
    let after = world.group(2).await.expect("a voter answers").membership;
    expect_that!(after, eq(&before));
}

/// A deployment has more engines than a link's queue holds messages. An entry that starts is sent
/// the status of all engines at once; those that did not fit were never sent, and its callers'
/// requests went to engines that were loading.
#[googletest::test]
#[tokio::test]
async fn an_entry_receives_the_status_of_all_engines() {
    const AGENTS: u32 = 1_100;
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let (agent, _told) = world.link(1, 20, "agent").await;
    for number in 0..AGENTS {
        let address = std::net::Ipv4Addr::from_bits(0x0a00_0000 + number);
        let status = notice::EngineStatus {
            address: std::net::SocketAddrV4::new(address, 8_080),
            born_ms: 1,
            sequence: 1,
            version: 1,
            accepts: true,
            complete_version: 1,
            narrow: false,
        };
        let message = notice::encode(&notice::Notice::EngineStatus(status));
        // The queue of the test's own link has the same length, so it is given time to drain.
        while agent.push("tell", message.clone()).is_err() {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        if number % 100 == 0 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
    let (entry, mut events) = world.link(1, 10, "entry").await;
    let follow = notice::encode(&notice::Notice::Subscribe { version: 0 });
    entry.push("follow", follow).expect("the link is up");
    let mut received = std::collections::BTreeSet::new();
    let all = async {
        while let Some(event) = events.recv().await {
            let link::LinkEvent::Push(message) = event else {
                continue;
            };
            match notice::decode(&message) {
                Some(notice::Notice::EngineStatus(status)) => _ = received.insert(status.address),
                Some(notice::Notice::EngineStatuses(statuses)) => {
                    received.extend(statuses.iter().map(|it| it.address));
                }
                _ => (),
            }
            if received.len() == AGENTS as usize {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(std::time::Duration::from_secs(10), all).await;
    expect_that!(received.len(), eq(AGENTS as usize));
}
