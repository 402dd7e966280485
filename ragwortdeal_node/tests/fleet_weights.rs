//! Weights of a fleet: named, fetched, verified and loaded while streams run.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_node::fleet::notice;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Ask,
    engine,
    origin::{self, CHUNKS, Origin},
    world::{self, Process, World},
};

const ENTRY: u8 = 10;

/// Time after a naming within which older weights may be served.
const WEIGHTS_BOUND: time::Duration = time::Duration::from_secs(8);

struct Fleet {
    world: World,
    origin: sync::Arc<Origin>,
    engines: Vec<sync::Arc<engine::Engine>>,
    _processes: Vec<Process>,
}

/// One voter, one entry and so many engines with agents, on version 1.
async fn fleet(count: u8) -> Fleet {
    let world = World::new(&DIALECT, 1);
    let mut processes = vec![world.voter(1, true).await];
    let origin = Origin::start(world.upstream(9)).await;
    world.install(&world.document(1, Some(&origin))).await;
    let mut engines = Vec::new();
    for number in 20..20 + count {
        let engine = world.engine(number, "models", 1).await;
        engine.stage_all(&origin::chunks(1));
        engines.push(engine);
        processes.push(world.agent(number).await);
    }
    processes.push(world.entry(ENTRY).await);
    world.ready(ENTRY).await;
    Fleet { world, origin, engines, _processes: processes }
}

impl Fleet {
    async fn name(&self, version: u64) {
        let body = serde_json::json!({"model": "model-a", "version": version}).to_string();
        let answer = self.world.operator().order("POST", "/version-put", &body).await;
        assert_eq!(answer.0, 200, "{}", answer.1);
    }

    async fn until_all_serve(&self, version: u64) {
        world::until("all engines serve the version", async || {
            self.engines.iter().all(|engine| engine.version() == version)
        })
        .await;
    }

    /// Whether each engine's last load was the complete version, chunk by chunk.
    fn loaded_whole(&self, version: u64) -> bool {
        let whole = origin::hashes(version);
        self.engines.iter().all(|engine| engine.loaded().last() == Some(&whole))
    }
}

#[googletest::test]
#[tokio::test]
async fn a_named_version_reaches_all_engines_with_few_bytes_of_the_origin() {
    let fleet = fleet(4).await;
    // All agents know each other before the version is named.
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    fleet.name(2).await;
    fleet.until_all_serve(2).await;
    expect_that!(fleet.loaded_whole(2), eq(true));
    expect_that!(fleet.origin.sent_chunks(), le(2 * u64::from(CHUNKS)));
}

/// The origin sends corrupt chunks. If they were loaded, weights would be mixed, which no answer
/// shows.
#[googletest::test]
#[tokio::test]
async fn corrupt_chunks_are_never_loaded() {
    let fleet = fleet(2).await;
    fleet.origin.spoil(3);
    fleet.name(2).await;
    fleet.until_all_serve(2).await;
    expect_that!(fleet.loaded_whole(2), eq(true));
}

/// Staged chunks become corrupt after they were verified on arrival.
#[googletest::test]
#[tokio::test]
async fn corrupt_staged_chunks_are_staged_again_before_the_order() {
    let fleet = fleet(2).await;
    for engine in &fleet.engines {
        engine.rot(1);
        engine.rot(4);
    }
    fleet.name(2).await;
    fleet.until_all_serve(2).await;
    expect_that!(fleet.loaded_whole(2), eq(true));
}

/// Empty engines are added one after the other. Each agent gets the weights from peers, which read
/// theirs back from their engines, and the origin sends nothing. An agent that did not wait until
/// its peers had announced what they hold took on bringing chunks into its zone, and fetched them
/// from the origin, whose bytes are the most expensive; so did one that received the announcements
/// before it had the manifest. Each engine starts at another point of its peers' announcement
/// intervals.
#[googletest::test]
#[tokio::test]
async fn added_engines_get_their_weights_from_peers() {
    let fleet = fleet(2).await;
    for number in [20, 21] {
        world::until("the agent holds its weights", async || fleet.world.lists(number, 1).await)
            .await;
    }
    let mut agents = Vec::new();
    // The two zones in which an engine holds the weights.
    for number in [30, 32, 33, 35, 36, 38] {
        let added = fleet.world.engine(number, "models", 0).await;
        agents.push(fleet.world.agent(number).await);
        world::until("the added engine serves", async || added.version() == 1).await;
        expect_that!(added.loaded().last(), some(eq(&origin::hashes(1))));
    }
    expect_that!(fleet.origin.sent_chunks(), eq(0));
}

/// Weights change while streams run. Callers get each stream complete.
#[googletest::test]
#[tokio::test]
async fn streams_stay_whole_while_weights_change() {
    let fleet = fleet(3).await;
    for engine in &fleet.engines {
        engine.stream(20, time::Duration::from_millis(10));
    }
    fleet.name(2).await;
    let mut number = 0;
    while fleet.engines.iter().any(|engine| engine.version() != 2) {
        number += 1;
        assert!(number < 200, "the version does not reach all engines");
        let ask = Ask::new("POST", "/stream/one", &format!("stream-{number}"));
        let answer = ask.answer(fleet.world.callers(ENTRY)).await;
        expect_that!(answer.status, eq(200));
        expect_that!(answer.body, eq(&engine::whole_stream(20)));
    }
}

/// The origin becomes unreachable just as the next weights are named, while all agents hold the
/// version before them. Engines that waited for the newest would still serve the oldest, and
/// callers would find no engine once its time is up.
#[googletest::test]
#[tokio::test]
async fn engines_load_the_previous_version_if_the_newest_is_unavailable() {
    let fleet = fleet(3).await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    fleet.name(2).await;
    world::until("the origin has sent the version once", async || {
        fleet.origin.sent_chunks() >= u64::from(CHUNKS)
    })
    .await;
    // Chunks fetched a second time in place of others follow within this time; the first engines
    // switch seconds later.
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    fleet.origin.lose(true);
    fleet.name(3).await;
    expect_that!(fleet.engines.iter().any(|engine| engine.version() == 2), eq(false));
    fleet.until_all_serve(2).await;
    expect_that!(fleet.loaded_whole(2), eq(true));
    fleet.origin.lose(false);
    fleet.until_all_serve(3).await;
    expect_that!(fleet.loaded_whole(3), eq(true));
}

/// An entry starts after weights were named, when the time of the old ones is nearly up. If it
/// counted from its own start, callers would get answers on superseded weights for as long again.
#[googletest::test]
#[tokio::test]
async fn an_entry_that_starts_later_sends_nothing_to_superseded_weights() {
    let fleet = fleet(1).await;
    fleet.engines[0].stream(3, time::Duration::from_millis(5));
    fleet.origin.lose(true);
    fleet.name(2).await;
    let ask = async |number: u8| {
        let ask = Ask::new("POST", "/stream/one", &format!("stream-{number}"));
        ask.answer(fleet.world.callers(number)).await.status
    };
    expect_that!(ask(ENTRY).await, eq(200));
    tokio::time::sleep(time::Duration::from_millis(8_000)).await;
    let _later = fleet.world.entry(ENTRY + 1).await;
    fleet.world.ready(ENTRY + 1).await;
    world::until("the entry knows the engine", async || ask(ENTRY + 1).await == 503).await;
    expect_that!(fleet.engines[0].arrivals().len(), eq(1));
}

/// An agent is killed while its engine loads, and the clock of its instance is set back before it
/// restarts. It numbers its reports from the time of day, so they look older than its earlier ones.
/// If they were ignored, the engine would count as loading for ever.
#[googletest::test]
#[tokio::test]
async fn an_agent_is_believed_though_its_clock_was_set_back() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let origin = Origin::start(world.upstream(9)).await;
    world.install(&world.document(1, Some(&origin))).await;
    let engine = world.engine(20, "models", 1).await;
    engine.stage_all(&origin::chunks(1));
    let _entry = world.entry(ENTRY).await;
    world.ready(ENTRY).await;
    let ask = async || {
        let number = time::UNIX_EPOCH.elapsed().unwrap_or_default().as_micros();
        let ask = Ask::new("POST", "/stream/one", &format!("stream-{number}"));
        ask.answer(world.callers(ENTRY)).await.status
    };
    world::until("the entry serves", async || ask().await == 200).await;
    let higher_numbered = notice::EngineStatus {
        address: engine.address,
        born_ms: 1_000,
        sequence: u64::MAX / 2,
        version: 1,
        accepts: false,
        complete_version: 1,
        narrow: false,
    };
    let (earlier, _told) = world.link(1, 20, "agent").await;
    earlier
        .push("tell", notice::encode(&notice::Notice::EngineStatus(higher_numbered)))
        .expect("the link is up");
    world::until("the entry takes the engine for loading", async || ask().await == 503).await;
    let _agent = world.agent(20).await;
    world::until("the entry serves again", async || ask().await == 200).await;
}

/// A request that was sent in time reaches its engine late, after the time of its weights is up.
#[googletest::test]
#[tokio::test]
async fn an_engine_that_cannot_change_in_time_rejects_what_arrives_late() {
    let fleet = fleet(1).await;
    let engine = &fleet.engines[0];
    engine.stream(3, time::Duration::from_millis(5));
    fleet.origin.lose(true);
    fleet.name(2).await;
    let named = time::Instant::now();
    let late = async |number: u32| {
        let ask = Ask::new("POST", "/stream/one", &format!("late-{number}"));
        ask.answer(engine.address).await.status
    };
    expect_that!(late(1).await, eq(200));
    tokio::time::sleep_until((named + WEIGHTS_BOUND).into()).await;
    expect_that!(late(2).await, eq(421));
    expect_that!(engine.arrivals()[1].ran_on, none());
    fleet.origin.lose(false);
    fleet.until_all_serve(2).await;
    expect_that!(fleet.loaded_whole(2), eq(true));
    expect_that!(engine.is_whole(), eq(true));
}
