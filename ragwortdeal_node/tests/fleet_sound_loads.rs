//! Staged chunks that become corrupt after they were read back, around the order to load them.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Ask,
    engine,
    origin::{self, Origin},
    world::{self, Process, World},
};

const ENGINE: u8 = 20;
const ENTRY: u8 = 10;

/// How long a machine stands still.
const STANDSTILL: time::Duration = time::Duration::from_secs(4);

/// A voter, an entry, and an engine on version 1 with its agent.
struct Fleet {
    world: World,
    engine: sync::Arc<engine::Engine>,
    agent: Option<Process>,
    voter: Option<Process>,
    entry: Option<Process>,
    _origin: sync::Arc<Origin>,
}

impl Fleet {
    async fn start() -> Self {
        let world = World::new(&DIALECT, 1);
        let voter = world.voter(1, true).await;
        let origin = Origin::start(world.upstream(9)).await;
        world.install(&world.document(1, Some(&origin))).await;
        let engine = world.engine(ENGINE, "models", 1).await;
        engine.stage_all(&origin::chunks(1));
        let agent = Some(world.agent(ENGINE).await);
        let entry = world.entry(ENTRY).await;
        world.ready(ENTRY).await;
        let (voter, entry) = (Some(voter), Some(entry));
        Self { world, engine, agent, voter, entry, _origin: origin }
    }

    /// Starts a fleet whose engine has just loaded a corrupt chunk of version 2, which the agent
    /// cannot find out.
    async fn loaded_corrupt() -> Self {
        let fleet = Self::start().await;
        world::until("the entry serves", async || fleet.ask("first").await == 200).await;
        fleet.engine.rot_at_next_order(1);
        fleet.engine.hold_reads_from_next_order();
        fleet.name(2).await;
        world::until("the engine is ordered", async || fleet.engine.version() == 2).await;
        fleet
    }

    async fn kill_agent(&mut self) {
        self.agent.take().expect("a running agent").kill().await;
    }

    /// Kills the voter, which forgets what agents reported, and starts it again.
    async fn restart_voter(&mut self) {
        self.voter.take().expect("a running voter").kill().await;
        self.voter = Some(self.world.voter(1, false).await);
    }

    async fn restart_entry(&mut self) {
        self.entry.take().expect("a running entry").kill().await;
        self.entry = Some(self.world.entry(ENTRY).await);
    }

    /// Sends so many requests, some of which may get no answer in time.
    async fn ask_often(&self, requests: u32) {
        for number in 0..requests {
            let id = format!("often-{number}");
            let _ = tokio::time::timeout(time::Duration::from_millis(500), self.ask(&id)).await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    async fn ask(&self, id: &str) -> u16 {
        let ask = Ask::new("POST", "/stream/one", id);
        ask.answer(self.world.callers(ENTRY)).await.status
    }

    async fn name(&self, version: u64) {
        let body = serde_json::json!({"model": "model-a", "version": version}).to_string();
        let answer = self.world.operator().order("POST", "/version-put", &body).await;
        assert_eq!(answer.0, 200, "{}", answer.1);
    }

    /// Sends requests until one is served with version 2.
    async fn until_served_with_version_2(&self) {
        let mut number = 0;
        world::until("a request is served with version 2", async || {
            number += 1;
            self.ask(&format!("request-{number}")).await;
            self.engine.arrivals().iter().any(|it| it.ran_on == Some(2))
        })
        .await;
    }

    /// Whether all requests on version 2 ran with sound chunks.
    fn ran_on_sound_chunks(&self) -> bool {
        let sound = origin::hashes(2);
        let arrivals = self.engine.arrivals();
        arrivals.iter().filter(|it| it.ran_on == Some(2)).all(|it| it.ran_on_chunks == sound)
    }
}

/// Guards against weights that became corrupt while the agent stood still between reading them back
/// and ordering the engine to load them.
#[googletest::test]
#[tokio::test]
async fn an_agent_that_stood_still_loads_no_corrupt_chunks() {
    let fleet = Fleet::start().await;
    // Longer than the agent waits for answers in progress.
    fleet.engine.stream(40, time::Duration::from_millis(100));
    let running = async {
        world::until("the entry serves", async || fleet.ask("long").await == 200).await;
    };
    let switching = async {
        world::until("a request runs", async || !fleet.engine.arrivals().is_empty()).await;
        fleet.name(2).await;
        world::until("the chunks are read back", async || {
            fleet.engine.staged_hashes() == origin::hashes(2)
        })
        .await;
        // The agent has staged the last chunk and waits for the stream.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        let suspended = fleet.agent.as_ref().expect("a running agent").suspend().await;
        expect_that!(fleet.engine.version(), eq(1));
        fleet.engine.rot(4);
        tokio::time::sleep(STANDSTILL).await;
        drop(suspended);
    };
    tokio::join!(running, switching);
    fleet.engine.stream(3, time::Duration::from_millis(5));
    fleet.until_served_with_version_2().await;
    expect_that!(fleet.ran_on_sound_chunks(), eq(true));
    expect_that!(fleet.engine.loaded(), contains_each![eq(&origin::hashes(2))]);
    expect_that!(fleet.engine.loaded().len(), eq(1));
}

/// Guards against weights that became corrupt after any check that an agent can make before the
/// engine accepts its order.
#[googletest::test]
#[tokio::test]
async fn chunks_that_become_corrupt_before_the_order_is_accepted_are_never_served() {
    let fleet = Fleet::start().await;
    world::until("the entry serves", async || fleet.ask("first").await == 200).await;
    fleet.engine.rot_at_next_order(1);
    fleet.name(2).await;
    fleet.until_served_with_version_2().await;
    expect_that!(fleet.ran_on_sound_chunks(), eq(true));
    expect_that!(fleet.engine.loaded().last(), some(eq(&origin::hashes(2))));
}

/// Guards against corrupt weights that nobody doubts, because the agent that ordered them was killed
/// before it could prove them.
#[googletest::test]
#[tokio::test]
async fn an_agent_proves_what_its_killed_predecessor_ordered() {
    let mut fleet = Fleet::loaded_corrupt().await;
    fleet.kill_agent().await;
    fleet.engine.release_reads();
    fleet.agent = Some(fleet.world.agent(ENGINE).await);
    fleet.until_served_with_version_2().await;
    expect_that!(fleet.ran_on_sound_chunks(), eq(true));
    expect_that!(fleet.engine.loaded().last(), some(eq(&origin::hashes(2))));
}

/// Guards against corrupt weights that nobody doubts, because no voter remembers the reports of the
/// killed agent.
#[googletest::test]
#[tokio::test]
async fn an_agent_proves_what_a_forgotten_predecessor_ordered() {
    let mut fleet = Fleet::loaded_corrupt().await;
    fleet.kill_agent().await;
    fleet.restart_voter().await;
    fleet.world.announce(&fleet.engine, "models", "ready", 2).await;
    fleet.engine.release_reads();
    fleet.agent = Some(fleet.world.agent(ENGINE).await);
    fleet.until_served_with_version_2().await;
    expect_that!(fleet.ran_on_sound_chunks(), eq(true));
    expect_that!(fleet.engine.loaded().last(), some(eq(&origin::hashes(2))));
}

/// Guards against requests by an entry that knows no agent's report, to weights that an engine
/// announces.
#[googletest::test]
#[tokio::test]
async fn an_entry_without_reports_sends_nothing_to_ordered_weights() {
    let mut fleet = Fleet::loaded_corrupt().await;
    fleet.kill_agent().await;
    fleet.restart_voter().await;
    fleet.restart_entry().await;
    fleet.world.announce(&fleet.engine, "models", "ready", 2).await;
    fleet.world.ready(ENTRY).await;
    fleet.ask_often(40).await;
    expect_that!(fleet.ran_on_sound_chunks(), eq(true));
}

/// Guards against requests in the time in which an entry knows what an engine announces, and not yet
/// what its agent reports.
#[googletest::test]
#[tokio::test]
async fn an_entry_that_starts_with_its_voter_sends_nothing_to_unproven_weights() {
    let mut fleet = Fleet::loaded_corrupt().await;
    for round in 0..4 {
        fleet.restart_voter().await;
        fleet.restart_entry().await;
        fleet.world.announce(&fleet.engine, "models", "ready", 2 + round).await;
        fleet.ask_often(40).await;
    }
    expect_that!(fleet.ran_on_sound_chunks(), eq(true));
}
