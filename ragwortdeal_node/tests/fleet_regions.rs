//! Requests that may be served in some regions only. Each availability zone is a region of its own.

use std::sync;

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::{Answer, Target},
    engine,
    world::{self, World},
};

const ENTRY: u8 = 10;
const REQUESTS: usize = 12;

/// Regions that the document names.
#[derive(Clone, Copy, Debug)]
struct Allowed {
    routes: &'static [&'static str],
    accounts: &'static [&'static str],
}

struct Fleet {
    world: World,
    /// In the regions `zone-2` and `zone-0`.
    upstreams: [sync::Arc<engine::Engine>; 2],
    _processes: [world::Process; 2],
}

async fn fleet(target: Target, allowed: Allowed) -> Fleet {
    let world = World::new(&DIALECT, 1);
    let voter = world.voter(1, true).await;
    let mut document = world.document(1, None);
    for route in document["routes"].as_array_mut().unwrap() {
        route["allowed-regions"] = allowed.routes.into();
    }
    document["tenants"][0]["allowed-regions"] = allowed.accounts.into();
    world.install(&document).await;
    let upstreams = [
        world.engine(20, target.service, target.weights()).await,
        world.engine(21, target.service, target.weights()).await,
    ];
    let entry = world.entry(ENTRY).await;
    world.ready(ENTRY).await;
    Fleet { world, upstreams, _processes: [voter, entry] }
}

impl Fleet {
    async fn ask(&self, target: Target, id: usize) -> Answer {
        target.ask(&format!("request-{id}")).answer(self.world.callers(ENTRY)).await
    }

    async fn answers(&self, target: Target) -> Vec<Answer> {
        let mut answers = Vec::new();
        for id in 0..REQUESTS {
            answers.push(self.ask(target, id).await);
        }
        answers
    }

    /// Requests that reached each upstream.
    fn arrivals(&self) -> [usize; 2] {
        [0, 1].map(|index| self.upstreams[index].arrivals().len())
    }
}

const ONE: Allowed = Allowed { routes: &["zone-2"], accounts: &[] };
const BOTH: Allowed = Allowed { routes: &["zone-2", "zone-1"], accounts: &["zone-2", "zone-0"] };
const NONE_IN_COMMON: Allowed = Allowed { routes: &["zone-2"], accounts: &["zone-0"] };

async fn requests_stay_in_their_regions(target: Target, allowed: Allowed) {
    let fleet = fleet(target, allowed).await;
    let answers = fleet.answers(target).await;
    expect_that!(answers.iter().map(|it| it.status).collect::<Vec<_>>(), each(eq(&200)));
    expect_that!(fleet.arrivals(), eq([REQUESTS, 0]));
}

macro_rules! requests_stay {
    ($($case:ident: $target:expr, $allowed:expr;)*) => {$(
        /// Guards against requests that leave the regions which their route and account allow.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            requests_stay_in_their_regions($target, $allowed).await;
        }
    )*};
}

requests_stay! {
    streams_stay_in_the_region_of_their_route: Target::STREAMS, ONE;
    reads_stay_in_the_region_of_their_route: Target::READS, ONE;
    transfers_stay_in_the_region_of_their_route: Target::TRANSFERS, ONE;
    requests_stay_where_route_and_account_allow: Target::READS, BOTH;
}

/// Guards against callers that wait for an upstream which no region of theirs has.
#[googletest::test]
#[tokio::test]
async fn a_request_without_a_region_is_refused_at_once() {
    let fleet = fleet(Target::READS, NONE_IN_COMMON).await;
    let answer = fleet.ask(Target::READS, 0).await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
    expect_that!(answer.body, contains_substring("regions"));
    expect_that!(fleet.arrivals(), eq([0, 0]));
}

/// Guards against a read that is repeated in another region after its upstream failed.
#[googletest::test]
#[tokio::test]
async fn a_repeat_stays_in_the_region() {
    let fleet = fleet(Target::READS, ONE).await;
    fleet.upstreams[0].behave(engine::Behaviour::Shed);
    let answers = fleet.answers(Target::READS).await;
    expect_that!(answers.iter().map(|it| it.status).collect::<Vec<_>>(), each(eq(&503)));
    expect_that!(fleet.arrivals()[1], eq(0));
}

/// Guards against a stream that goes on in another region after its engine ended.
#[googletest::test]
#[tokio::test]
async fn a_broken_stream_is_not_resumed_in_another_region() {
    let fleet = fleet(Target::STREAMS, ONE).await;
    fleet.upstreams[0].behave(engine::Behaviour::CutWithin(5));
    let answer = fleet.ask(Target::STREAMS, 0).await;
    expect_that!(answer.whole, eq(false));
    expect_that!(fleet.arrivals()[1], eq(0));
}
