//! Upstreams that say in their answers that they leave.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Target,
    engine,
    world::{self, World},
};

/// Time after the first such answer from which on no request may come.
const DRAIN: time::Duration = time::Duration::from_millis(500);
/// Time for which requests are sent.
const LASTS: time::Duration = time::Duration::from_secs(3);

const ENTRY: u8 = 10;
const LATER_ENTRY: u8 = 11;
const VOTER: u8 = 1;

/// How the upstream answers when it says that it leaves.
#[derive(Clone, Copy, PartialEq)]
enum Answers {
    Serving,
    TurningAway,
    /// Its voter is dead, so that the entry hears of it by its answers alone.
    OutOfTouch,
}

struct Fleet {
    world: World,
    upstreams: Vec<sync::Arc<engine::Engine>>,
    processes: Vec<world::Process>,
}

async fn fleet(target: Target) -> Fleet {
    let world = World::new(&DIALECT, 1);
    let mut processes = vec![world.voter(VOTER, true).await];
    world.install(&world.document(1, None)).await;
    let mut upstreams = Vec::new();
    for number in [20, 23] {
        upstreams.push(world.engine(number, target.service, target.weights()).await);
    }
    processes.push(world.entry(ENTRY).await);
    world.ready(ENTRY).await;
    Fleet { world, upstreams, processes }
}

impl Fleet {
    /// Sends requests for a while. Returns the statuses of the answers.
    async fn load(&self, target: Target, entry: u8) -> Vec<u16> {
        let begun = time::Instant::now();
        let mut statuses = Vec::new();
        while begun.elapsed() < LASTS {
            let id = format!("{entry}-{}", statuses.len());
            statuses.push(target.ask(&id).answer(self.world.callers(entry)).await.status);
        }
        statuses
    }
}

async fn nothing_is_sent_to_an_upstream_that_leaves(target: Target, answers: Answers) {
    let mut fleet = fleet(target).await;
    let leaving = fleet.upstreams[0].clone();
    if answers == Answers::OutOfTouch {
        fleet.processes.remove(0).kill().await;
    }
    if answers == Answers::TurningAway {
        leaving.behave(engine::Behaviour::Shed);
    }
    leaving.leave(true);
    let statuses = fleet.load(target, ENTRY).await;
    let arrivals = leaving.arrivals();
    let first = arrivals.first().expect("it is used").at;
    expect_that!(arrivals.iter().filter(|it| it.at > first + DRAIN).count(), eq(0));
    expect_that!(statuses, each(eq(&200)));
}

macro_rules! nothing_is_sent {
    ($($case:ident: $target:expr, $answers:expr;)*) => {$(
        /// Guards against requests to an upstream that has said that it leaves.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            nothing_is_sent_to_an_upstream_that_leaves($target, $answers).await;
        }
    )*};
}

nothing_is_sent! {
    an_engine_that_says_so_in_its_streams: Target::STREAMS, Answers::Serving;
    an_engine_that_says_so_in_its_refusals: Target::STREAMS, Answers::TurningAway;
    an_engine_that_says_so_while_no_voter_is_in_reach: Target::STREAMS, Answers::OutOfTouch;
    a_plain_service_that_says_so_in_its_answers: Target::READS, Answers::Serving;
}

/// Guards against an upstream that is never used again after a restart.
#[googletest::test]
#[tokio::test]
async fn an_upstream_that_left_is_used_again_after_a_restart() {
    let fleet = fleet(Target::STREAMS).await;
    let leaving = &fleet.upstreams[0];
    leaving.leave(true);
    fleet.load(Target::STREAMS, ENTRY).await;
    leaving.leave(false);
    let before = leaving.arrivals().len();
    let text = leaving.announcement("models", "zone-2", "ready", 1);
    let mut said: serde_json::Value = serde_json::from_str(&text).unwrap();
    said["born"] = 2_000.into();
    let path = format!("/instances/{}", leaving.instance);
    let (status, _) = fleet.world.operator().order("PUT", &path, &said.to_string()).await;
    expect_that!(status, eq(200));
    fleet.load(Target::STREAMS, ENTRY).await;
    expect_that!(leaving.arrivals().len(), gt(before));
}

/// Guards against an entry that starts later and is told by voters that the upstream takes work.
#[googletest::test]
#[tokio::test]
async fn an_entry_that_starts_later_sends_one_request_at_most_before_it_knows() {
    let fleet = fleet(Target::STREAMS).await;
    let leaving = &fleet.upstreams[0];
    leaving.leave(true);
    let _later = fleet.world.entry(LATER_ENTRY).await;
    fleet.world.ready(LATER_ENTRY).await;
    fleet.load(Target::STREAMS, LATER_ENTRY).await;
    expect_that!(leaving.arrivals().len(), le(1));
}
