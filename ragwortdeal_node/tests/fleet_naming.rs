//! The time at which weights were named, across restarts of the processes that know it.

use std::{collections, sync, time};

use googletest::prelude::*;
use ragwortdeal_node::{fleet::notice, link};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Ask,
    engine,
    origin::{self, Origin},
    world::{self, Process, World},
};

const VOTER: u8 = 1;
const ENTRY: u8 = 10;
const LATER_ENTRY: u8 = 11;
const ENGINE: u8 = 20;

/// Time after a naming in which engines may serve the previous weights.
const WEIGHTS_BOUND: time::Duration = time::Duration::from_millis(8_000);

/// One voter, one entry, and one engine on version 1 that cannot get version 2: the origin is
/// unreachable.
struct Fleet {
    world: World,
    origin: sync::Arc<Origin>,
    engine: sync::Arc<engine::Engine>,
    processes: collections::BTreeMap<u8, Process>,
    named: time::Instant,
}

impl Fleet {
    async fn on_superseded_weights() -> Self {
        let world = World::new(&DIALECT, 1);
        let mut processes = collections::BTreeMap::from([(VOTER, world.voter(VOTER, true).await)]);
        let origin = Origin::start(world.upstream(9)).await;
        world.install(&world.document(1, Some(&origin))).await;
        let engine = world.engine(ENGINE, "models", 1).await;
        engine.stage_all(&origin::chunks(1));
        engine.stream(3, time::Duration::from_millis(5));
        processes.insert(ENGINE, world.agent(ENGINE).await);
        processes.insert(ENTRY, world.entry(ENTRY).await);
        world.ready(ENTRY).await;
        origin.lose(true);
        let named = time::Instant::now();
        let body = serde_json::json!({"model": "model-a", "version": 2}).to_string();
        let answer = world.operator().order("POST", "/version-put", &body).await;
        assert_eq!(answer.0, 200, "{}", answer.1);
        let fleet = Self { world, origin, engine, processes, named };
        world::until("the entry serves", async || fleet.ask(ENTRY).await == 200).await;
        fleet
    }

    async fn kill(&mut self, number: u8) {
        let process = self.processes.remove(&number).expect("a running process");
        process.kill().await;
    }

    /// Restarts the voter with its data folder. It has no list of engines, so the engine announces
    /// itself.
    async fn restart_voter(&mut self, announcement: u64) {
        self.processes.insert(VOTER, self.world.voter(VOTER, false).await);
        self.world.announce(&self.engine, "models", "ready", announcement).await;
    }

    async fn start_entry(&mut self, number: u8) {
        self.processes.insert(number, self.world.entry(number).await);
        self.world.ready(number).await;
    }

    async fn ask(&self, entry: u8) -> u16 {
        let number = self.named.elapsed().as_micros();
        let ask = Ask::new("POST", "/stream/one", &format!("stream-{entry}-{number}"));
        ask.answer(self.world.callers(entry)).await.status
    }

    async fn until_the_weights_are_due(&self) {
        tokio::time::sleep(WEIGHTS_BOUND.saturating_sub(self.named.elapsed())).await;
    }

    /// How many requests to an entry, sent over a second, reach the engine.
    async fn served_by(&self, entry: u8) -> usize {
        let before = self.engine.arrivals().len();
        for _ in 0..20 {
            self.ask(entry).await;
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        self.engine.arrivals().len() - before
    }

    /// Checks that the entry refused only because of the weights: it serves once the engine has the
    /// new ones.
    async fn serves_new_weights(&self, entry: u8) {
        self.origin.lose(false);
        world::until("the entry serves", async || self.ask(entry).await == 200).await;
    }
}

/// Voters restart during a change of weights, and an entry starts after it. A voter knows from its
/// log that weights were named, but not when. If it took that for news, callers of the new entry
/// would get answers on superseded weights for seconds, while the other entries refuse them.
#[googletest::test]
#[tokio::test]
async fn the_age_of_a_naming_survives_a_restart_of_the_voters() {
    let mut fleet = Fleet::on_superseded_weights().await;
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    fleet.kill(VOTER).await;
    fleet.restart_voter(2).await;
    fleet.start_entry(LATER_ENTRY).await;
    fleet.until_the_weights_are_due().await;
    expect_that!(fleet.served_by(LATER_ENTRY).await, eq(0));
    fleet.serves_new_weights(LATER_ENTRY).await;
}

/// Every process is killed at once and restarts some time after the weights became due. No process
/// remembers when they were named; if the time started again, callers would get superseded weights
/// again.
#[googletest::test]
#[tokio::test]
async fn due_weights_stay_due_over_a_restart_of_everything() {
    let mut fleet = Fleet::on_superseded_weights().await;
    fleet.until_the_weights_are_due().await;
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    for number in [VOTER, ENTRY, ENGINE] {
        fleet.kill(number).await;
    }
    fleet.restart_voter(2).await;
    fleet.processes.insert(ENGINE, fleet.world.agent(ENGINE).await);
    fleet.start_entry(ENTRY).await;
    expect_that!(fleet.served_by(ENTRY).await, eq(0));
    fleet.serves_new_weights(ENTRY).await;
}

/// A notice is lost, or the clock of a subscriber stands still while its instance is suspended for
/// a second. If the age were sent only once, the subscriber would count too little for as long as
/// its link stays up, and its callers would get superseded weights for longer.
#[googletest::test]
#[tokio::test]
async fn a_naming_is_repeated_while_its_time_runs() {
    let fleet = Fleet::on_superseded_weights().await;
    let (subscriber, mut events) = fleet.world.link(VOTER, LATER_ENTRY, "entry").await;
    let follow = notice::encode(&notice::Notice::Subscribe { version: 0 });
    subscriber.push("follow", follow).expect("the link is up");
    let mut ages_ms = Vec::new();
    while let Ok(Some(event)) = tokio::time::timeout(WEIGHTS_BOUND, events.recv()).await {
        let link::LinkEvent::Push(message) = event else {
            continue;
        };
        if let Some(notice::Notice::Namings(namings)) = notice::decode(&message) {
            ages_ms.extend(namings.iter().filter(|it| it.version == 2).map(|it| it.age_ms));
        }
        if ages_ms.len() == 4 {
            break;
        }
    }
    expect_that!(ages_ms.len(), eq(4));
    expect_that!(ages_ms.is_sorted_by(|a, b| a < b), eq(true));
}
