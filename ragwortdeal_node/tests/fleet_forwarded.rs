//! Proposals that a voter passes on to the leader, and what it takes for their answers.

use std::{collections, time};

use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::world::{self, Process, World};

/// Shorter than the shortest election timeout, so that a follower still passes on to a leader which
/// stands still.
const BEFORE_ELECTION: time::Duration = time::Duration::from_millis(800);

/// Longer than a link may be silent, so that what waits on it unread is dropped with it.
const LINK_LOST: time::Duration = time::Duration::from_millis(3_000);

/// Long enough for a letter to cross and to be handled.
const DELIVERY: time::Duration = time::Duration::from_millis(150);

struct Group {
    world: World,
    voters: collections::BTreeMap<u8, Process>,
}

impl Group {
    async fn start() -> Self {
        let world = World::new(&DIALECT, 3);
        let voters = world.first_voters().await;
        world.whole_group(3, &[1, 2, 3]).await;
        Self { world, voters }
    }

    async fn leader(&self) -> Option<u8> {
        for &number in self.voters.keys() {
            if self.world.group(number).await.is_some_and(|status| status.is_leader) {
                return Some(number);
            }
        }
        None
    }

    /// Sends a document to one voter, once. Returns whether it was acknowledged.
    async fn put(&self, voter: u8, version: u64) -> bool {
        let document = self.world.document(version, None).to_string();
        let control = self.world.control(voter);
        let answer = self.world.operator().call(control, "PUT", "/configuration", &document).await;
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// The version that a voter reads back, or none if it cannot confirm it.
    async fn read(&self, voter: u8) -> Option<u64> {
        let control = self.world.control(voter);
        let answer = self.world.operator().call(control, "GET", "/configuration", "").await;
        let (_, text) = answer.filter(|(status, _)| *status == 200)?;
        let document: serde_json::Value = serde_json::from_str(&text).ok()?;
        document["version"].as_u64()
    }

    async fn until_all_read(&self, version: u64) {
        for voter in 1..=3 {
            world::until("the voter reads the newest document", async || {
                self.read(voter).await == Some(version)
            })
            .await;
        }
    }
}

/// Guards against a document that is acknowledged and that no voter has, because the answer to a
/// proposal of the voter's earlier process is taken for the answer to its present one.
#[googletest::test]
#[tokio::test]
async fn an_answer_to_an_earlier_process_acknowledges_nothing() {
    let mut group = Group::start().await;
    let first = group.leader().await.expect("a leader of a whole group");
    assert!(group.put(first, 1).await, "a whole group acknowledges a document");
    let [second, third] = [first % 3 + 1, (first + 1) % 3 + 1];

    // The third voter passes version 2 on to the leader, which has not read it when the third one
    // is killed.
    let leader_suspended = group.voters[&first].suspend().await;
    let _ = tokio::time::timeout(DELIVERY, group.put(third, 2)).await;
    group.voters.remove(&third).expect("a running voter").kill().await;

    // The leader logs version 2 and sends it to the second voter, which does not confirm it yet.
    let second_suspended = group.voters[&second].suspend().await;
    drop(leader_suspended);
    tokio::time::sleep(DELIVERY).await;

    // The second voter becomes leader with the third one's next process and commits version 2.
    let first_suspended = group.voters[&first].suspend().await;
    drop(second_suspended);
    let restarted = group.world.voter(third, false).await;
    group.voters.insert(third, restarted);
    tokio::time::sleep(LINK_LOST).await;
    world::until("version 2 is committed", async || group.read(third).await == Some(2)).await;

    // The third voter passes version 3 on to the second one, which does not answer. It is elected
    // in its place, and the first voter learns from it that version 2 is committed.
    let second_suspended = group.voters[&second].suspend().await;
    drop(first_suspended);
    tokio::time::sleep(BEFORE_ELECTION).await;
    let acknowledged = group.put(third, 3).await;
    drop(second_suspended);
    if acknowledged {
        group.until_all_read(3).await;
    }

    group.world.install(&group.world.document(4, None)).await;
    group.until_all_read(4).await;
}
