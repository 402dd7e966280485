//! Followers of voters that hear late of weights that were named.

use std::time;

use googletest::prelude::*;
use ragwortdeal_node::{fleet::notice, link, settings::common};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::world::World;
use tokio::sync::mpsc;

/// Longest time for which a word of the voter is waited for.
const WORD: time::Duration = time::Duration::from_secs(10);

/// A link that an entry has to the voter, and what comes on it.
async fn follow(world: &World) -> (link::Link, mpsc::Receiver<link::LinkEvent>) {
    let process = common::Process {
        name: world.address(10).to_string(),
        availability_zone: "zone-1".to_owned(),
        region: "zone-1".to_owned(),
    };
    let hello = process.identity().unwrap().hello("entry");
    let credential = link::Credential::new("a-secret-for-the-fleet");
    let voter = format!("{}:7700", world.address(1));
    let (events, mut told) = mpsc::channel(256);
    let link = link::open(&voter, credential, hello, link::LinkLimits::default(), events);
    told.recv().await;
    link.push("follow", notice::encode(&notice::Notice::Subscribe { version: 0 })).unwrap();
    (link, told)
}

/// How old the newest weights are by the next word of the voter on namings.
async fn age_ms(told: &mut mpsc::Receiver<link::LinkEvent>) -> Option<u64> {
    let word = async {
        while let Some(event) = told.recv().await {
            let link::LinkEvent::Push(message) = event else {
                continue;
            };
            if let Some(notice::Notice::Namings(named)) = notice::decode(&message)
                && let Some(naming) = named.last()
            {
                return Some(naming.age_ms);
            }
        }
        None
    };
    tokio::time::timeout(WORD, word).await.ok().flatten()
}

/// Entries and agents stand still for a second and a half as weights are named, too short for their
/// links to break. The word of the naming waits in their sockets and tells an age of zero when they
/// read it, so that they count the whole time anew: requests began on superseded weights. A voter
/// tells the age again and again, and what is read late is put right by the next word.
#[googletest::test]
#[tokio::test]
async fn a_follower_that_reads_late_is_told_again_how_old_a_naming_is() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let (_link, mut told) = follow(&world).await;
    let body = serde_json::json!({"model": "model-a", "version": 2}).to_string();
    let answer = world.operator().order("POST", "/version-put", &body).await;
    assert_eq!(answer.0, 200, "{}", answer.1);
    let first_ms = age_ms(&mut told).await;
    expect_that!(first_ms, some(anything()));
    let next_ms = age_ms(&mut told).await;
    expect_that!(next_ms, some(gt(first_ms.unwrap_or(0))));
}
