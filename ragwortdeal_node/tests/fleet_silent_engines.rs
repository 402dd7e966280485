//! Engines that fall silent: they take in orders and writes to their stage and carry them out late.

use std::{sync, time};

use futures_util::future;
use googletest::prelude::*;
use ragwortdeal_node::{fleet::notice, link};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Ask,
    engine::{self, AgentCall},
    origin::{self, Origin},
    world::{self, Process, World},
};
use tokio::{sync::mpsc, task};

const ENGINE: u8 = 20;
const ENTRY: u8 = 10;

/// Start time that the stand-in for an engine tells in its announcements at first.
const BORN_MS: u64 = 1_000;

/// Pause between two announcements of an engine.
const ANNOUNCEMENTS: time::Duration = time::Duration::from_millis(50);

/// Pause between two requests.
const REQUESTS: time::Duration = time::Duration::from_millis(15);

/// A voter, an entry, and an engine on version 1 with its agent, under requests.
struct Fleet {
    world: sync::Arc<World>,
    engine: sync::Arc<engine::Engine>,
    agent: Option<Process>,
    tasks: task::JoinSet<()>,
    _origin: sync::Arc<Origin>,
    _processes: Vec<Process>,
}

impl Fleet {
    async fn start() -> Self {
        let fleet = Self::start_on(1).await;
        fleet.until_served_with(1).await;
        fleet
    }

    /// Starts a fleet whose engine holds this version, 0 for none.
    async fn start_on(version: u64) -> Self {
        let world = sync::Arc::new(World::new(&DIALECT, 1));
        let voter = world.voter(1, true).await;
        let origin = Origin::start(world.upstream(9)).await;
        world.install(&world.document(1, Some(&origin))).await;
        let engine = world.engine(ENGINE, "models", version).await;
        if version > 0 {
            engine.stage_all(&origin::chunks(version));
        }
        let agent = Some(world.agent(ENGINE).await);
        let entry = world.entry(ENTRY).await;
        world.ready(ENTRY).await;
        let mut tasks = task::JoinSet::new();
        tasks.spawn(announce(world.clone(), engine.clone()));
        tasks.spawn(ask(world.clone()));
        let processes = vec![voter, entry];
        Self { world, engine, agent, tasks, _origin: origin, _processes: processes }
    }

    async fn name(&self, version: u64) {
        let body = serde_json::json!({"model": "model-a", "version": version}).to_string();
        let answer = self.world.operator().order("POST", "/version-put", &body).await;
        assert_eq!(answer.0, 200, "{}", answer.1);
    }

    async fn until_served_with(&self, version: u64) {
        world::until(&format!("a request is served with version {version}"), async || {
            self.engine.arrivals().iter().any(|it| it.ran_on == Some(version))
        })
        .await;
    }

    /// Waits until an order is held that was sent after the chunks of this version were staged, or
    /// so many orders were sent without that.
    async fn until_ordered_over(&self, version: u64, orders: usize) {
        let mut held_when_staged = None;
        world::until("orders are held", async || {
            let held = self.engine.held_calls();
            if self.engine.staged_hashes() == origin::hashes(version) {
                held_when_staged.get_or_insert(held);
            }
            held >= orders || held_when_staged.is_some_and(|before| held > before)
        })
        .await;
    }

    /// Requests that ran with other chunks than those of the version by which they ran.
    fn ran_on_mixed_weights(&self) -> Vec<String> {
        mixed(&self.engine)
    }

    async fn end(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Requests that ran with other chunks than those of the version by which they ran. The weights with
/// which an engine starts are not recorded.
fn mixed(engine: &engine::Engine) -> Vec<String> {
    let arrivals = engine.arrivals();
    let loaded = arrivals.iter().filter(|it| !it.ran_on_chunks.is_empty());
    let is_mixed = |it: &&engine::Arrival| {
        it.ran_on.is_some_and(|version| it.ran_on_chunks != origin::hashes(version))
    };
    let tell = |it: &engine::Arrival| {
        let number = |hash| (1..40).find(|version| origin::hashes(*version).contains(hash));
        let chunks: Vec<_> = it.ran_on_chunks.iter().map(number).collect();
        format!("on version {:?} with chunks of {chunks:?}", it.ran_on)
    };
    loaded.filter(is_mixed).map(tell).collect()
}

async fn announce(world: sync::Arc<World>, engine: sync::Arc<engine::Engine>) {
    for number in 2.. {
        tokio::time::sleep(ANNOUNCEMENTS).await;
        world.announce(&engine, "models", "ready", number).await;
    }
}

async fn ask(world: sync::Arc<World>) {
    for number in 0.. {
        tokio::time::sleep(REQUESTS).await;
        let (world, id) = (world.clone(), format!("request-{number}"));
        tokio::spawn(async move {
            let ask = Ask::new("POST", "/stream/one", &id);
            let answer = ask.answer(world.callers(ENTRY));
            // What matters is what the engine ran.
            let _ = tokio::time::timeout(time::Duration::from_secs(2), answer).await;
        });
    }
}

/// Guards against an order that is accepted after its agent has staged newer weights, and is taken
/// for the acceptance of a newer order.
#[googletest::test]
#[tokio::test]
async fn an_order_that_is_accepted_late_serves_no_chunks_of_newer_weights() {
    let fleet = Fleet::start().await;
    fleet.engine.hold(AgentCall::Order);
    fleet.name(2).await;
    world::until("an order is held", async || fleet.engine.held_calls() == 1).await;
    fleet.name(3).await;
    fleet.until_ordered_over(3, 4).await;
    fleet.engine.release_first();
    fleet.until_served_with(3).await;
    expect_that!(fleet.ran_on_mixed_weights(), is_empty());
    fleet.end().await;
}

/// Guards against an order whose agent was killed, and which is accepted after the next agent has
/// staged newer weights.
#[googletest::test]
#[tokio::test]
async fn an_order_of_a_killed_agent_serves_no_chunks_of_newer_weights() {
    let mut fleet = Fleet::start().await;
    fleet.engine.hold(AgentCall::Order);
    fleet.name(2).await;
    world::until("an order is held", async || fleet.engine.held_calls() == 1).await;
    fleet.agent.take().expect("a running agent").kill().await;
    fleet.name(3).await;
    fleet.agent = Some(fleet.world.agent(ENGINE).await);
    fleet.until_ordered_over(3, 4).await;
    fleet.engine.release_first();
    fleet.until_served_with(3).await;
    expect_that!(fleet.ran_on_mixed_weights(), is_empty());
    fleet.end().await;
}

/// Guards against a load that is repeated because the engine did not answer in time what it had
/// staged.
#[googletest::test]
#[tokio::test]
async fn a_read_back_without_an_answer_refutes_no_load() {
    let fleet = Fleet::start().await;
    fleet.engine.hold_reads_from_next_order();
    fleet.name(2).await;
    world::until("the engine is ordered", async || fleet.engine.version() == 2).await;
    // Longer than an agent waits for the read-backs of one proof.
    tokio::time::sleep(time::Duration::from_secs(6)).await;
    fleet.engine.release_reads();
    fleet.until_served_with(2).await;
    expect_that!(fleet.engine.loaded().len(), eq(1));
    expect_that!(fleet.ran_on_mixed_weights(), is_empty());
    fleet.end().await;
}

/// An engine without an agent's process, whose agent has reported version 1.
struct Reported {
    world: World,
    engine: sync::Arc<engine::Engine>,
    agent: link::Link,
    /// The link ends with it.
    _told: mpsc::Receiver<link::LinkEvent>,
    _processes: Vec<Process>,
}

impl Reported {
    async fn start() -> Self {
        let world = World::new(&DIALECT, 1);
        let voter = world.voter(1, true).await;
        world.install(&world.document(1, None)).await;
        let engine = world.engine(ENGINE, "models", 1).await;
        let entry = world.entry(ENTRY).await;
        world.ready(ENTRY).await;
        let (agent, told) = world.link(1, ENGINE, "agent").await;
        let processes = vec![voter, entry];
        let reported = Self { world, engine, agent, _told: told, _processes: processes };
        // The entry falls back on what the engine announces until it knows the agent's report.
        reported.report(1, BORN_MS, false);
        world::until("the entry knows the report", async || reported.ask(0).await == 503).await;
        reported.report(2, BORN_MS, true);
        world::until("the entry serves", async || reported.ask(1).await == 200).await;
        reported
    }

    fn report(&self, sequence: u64, born_ms: u64, accepts: bool) {
        let status = notice::EngineStatus {
            address: self.engine.address,
            born_ms,
            sequence,
            version: 1,
            accepts,
            complete_version: 1,
            narrow: false,
        };
        let notice = notice::encode(&notice::Notice::EngineStatus(status));
        self.agent.push("report", notice).expect("the link is up");
    }

    async fn ask(&self, number: u32) -> u16 {
        let ask = Ask::new("POST", "/stream/one", &format!("request-{number}"));
        ask.answer(self.world.callers(ENTRY)).await.status
    }

    /// Announces the engine, and waits until the entry has heard of it.
    async fn announce(&self, number: u64) {
        self.world.announce(&self.engine, "models", "ready", number).await;
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
}

/// Guards against requests to weights that an engine announces and that no agent has proven.
#[googletest::test]
#[tokio::test]
async fn an_announced_version_above_the_reported_one_gets_no_request() {
    let reported = Reported::start().await;
    reported.engine.obey(2);
    reported.announce(2).await;
    for number in 2..12 {
        expect_that!(reported.ask(number).await, eq(503));
    }
    let arrivals = reported.engine.arrivals();
    expect_that!(arrivals.iter().filter(|it| it.ran_on == Some(2)).count(), eq(0));
}

/// Guards against requests to an engine that started again and loaded what no agent has proven.
#[googletest::test]
#[tokio::test]
async fn an_engine_that_started_again_gets_no_request_before_its_agent_reports() {
    let reported = Reported::start().await;
    reported.engine.end(time::Duration::from_millis(20));
    world::until("the engine is back", async || reported.engine.starts() == 2).await;
    reported.announce(1).await;
    for number in 2..12 {
        expect_that!(reported.ask(number).await, eq(503));
    }
    reported.report(3, BORN_MS + 1, true);
    world::until("the entry serves", async || reported.ask(12).await == 200).await;
}

/// Versions that are named, one after the other.
const VERSIONS: u64 = 13;

/// Pause between two namings.
const NAMINGS: std::ops::Range<u64> = 300..1_200;

/// What happens beside the silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// A staged chunk becomes corrupt as the engine accepts an order.
    CorruptChunks,
    /// The agent is killed and starts again.
    KilledAgents,
}

macro_rules! spells {
    ($(#[doc = $guards:literal] $case:ident: $beside:ident, seeds = $seeds:expr;)*) => {$(
        #[doc = $guards]
        #[googletest::test]
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $case() {
            let plays = future::join_all($seeds.map(|seed| play(seed, Beside::$beside))).await;
            let mixed: Vec<_> = plays.into_iter().flatten().collect();
            expect_that!(mixed, is_empty());
        }
    )*};
}

spells! {
    /// Guards against orders and writes to the stage that are carried out late, in any order.
    engines_that_fall_silent_serve_no_mixed_weights: Nothing, seeds = (1..=6);
    /// Guards against corrupt chunks that an order takes which is accepted late.
    engines_that_fall_silent_serve_no_corrupt_weights: CorruptChunks, seeds = (11..=16);
    /// Guards against late orders of agents that are gone.
    engines_whose_agents_are_killed_serve_no_mixed_weights: KilledAgents, seeds = (21..=26);
}

/// Names a dozen versions while an engine falls silent again and again. Returns what ran on mixed
/// weights.
async fn play(seed: u64, beside: Beside) -> Vec<String> {
    // Engines that are added start empty.
    let mut fleet = Fleet::start_on(seed % 2).await;
    let spells = engine::Spells {
        seed,
        on_orders: 0.9,
        on_writes: 0.05,
        lasts: time::Duration::from_millis(1_000)..time::Duration::from_millis(1_300),
    };
    fleet.engine.fall_silent(Some(spells));
    for version in 2..=VERSIONS {
        fleet.name(version).await;
        match beside {
            Beside::CorruptChunks => {
                fleet.engine.rot_at_next_order(version as u32 % origin::CHUNKS);
            }
            Beside::KilledAgents if version % 2 == 0 => {
                fleet.agent.take().expect("a running agent").kill().await;
                fleet.agent = Some(fleet.world.agent(ENGINE).await);
            }
            Beside::Nothing | Beside::KilledAgents => (),
        }
        let pause_ms = NAMINGS.start + seed * 97 * version % (NAMINGS.end - NAMINGS.start);
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
    }
    fleet.engine.fall_silent(None);
    fleet.until_served_with(VERSIONS).await;
    let mixed = fleet.ran_on_mixed_weights();
    fleet.end().await;
    mixed
}
