//! Subscribers of voters that read a naming of weights late.

use std::time;

use googletest::prelude::*;
use ragwortdeal_node::{fleet::notice, link, settings::common};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::world::World;
use tokio::sync::mpsc;

/// Longest time to wait for a notice of the voter.
const NOTICE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A link of an entry to the voter, and its events.
async fn subscribe(world: &World) -> (link::Link, mpsc::Receiver<link::LinkEvent>) {
    let process = common::Process {
        name: world.address(10).to_string(),
        availability_zone: "zone-1".to_owned(),
        region: "zone-1".to_owned(),
    };
    let hello = process.identity().unwrap().hello("entry");
    let credential = link::Credential::new("a-secret-for-the-fleet");
    let voter = format!("{}:7700", world.address(1));
    let (sender, mut events) = mpsc::channel(256);
    let link = link::open(&voter, credential, hello, link::LinkLimits::default(), sender);
    events.recv().await;
    link.push("follow", notice::encode(&notice::Notice::Subscribe { version: 0 })).unwrap();
    (link, events)
}

/// Age of the newest weights in the voter's next notice on namings.
async fn age_ms(events: &mut mpsc::Receiver<link::LinkEvent>) -> Option<u64> {
    let next = async {
        while let Some(event) = events.recv().await {
            let link::LinkEvent::Push(message) = event else {
                continue;
            };
            if let Some(notice::Notice::Namings(namings)) = notice::decode(&message)
                && let Some(naming) = namings.last()
            {
                return Some(naming.age_ms);
            }
        }
        None
    };
    tokio::time::timeout(NOTICE_TIMEOUT, next).await.ok().flatten()
}

/// Entries and agents are suspended for a second and a half as weights are named, too short for
/// their links to break. The notice waits in their sockets and has an age of zero when they read
/// it, so that they count the whole time again: requests began on superseded weights. A voter
/// repeats the age, and the next notice corrects a late one.
#[googletest::test]
#[tokio::test]
async fn a_subscriber_that_reads_late_is_sent_the_age_of_a_naming_again() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let (_link, mut events) = subscribe(&world).await;
    let body = serde_json::json!({"model": "model-a", "version": 2}).to_string();
    let answer = world.operator().order("POST", "/version-put", &body).await;
    assert_eq!(answer.0, 200, "{}", answer.1);
    let first_ms = age_ms(&mut events).await;
    expect_that!(first_ms, some(anything()));
    let next_ms = age_ms(&mut events).await;
    expect_that!(next_ms, some(gt(first_ms.unwrap_or(0))));
}
