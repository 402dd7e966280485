//! Evacuations of availability zones, from the operator's call to the requests that upstreams get.

use std::{collections, sync, time};

use googletest::prelude::*;
use ragwortdeal_node::{
    settings,
    voter::operate::evacuations::{self, EvacuationsReply, EvacuationsRequest},
};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::{Answer, Target},
    engine::{self, Behaviour},
    world::{self, Process, World},
};
use tokio::task;

/// The evacuated zone and the other one, with the number of an engine in each.
const ZONE: &str = "zone-0";
const INSIDE: u8 = 21;
const OUTSIDE: u8 = 22;

const VOTERS: u8 = 3;
/// Entries in the evacuated zone, which prefer its engine as long as it is not evacuated.
const ENTRY: u8 = 12;
const LATER_ENTRY: u8 = 15;
/// Requests that show whether an entry sends anything to a zone.
const REQUESTS: usize = 20;

struct Fleet {
    world: World,
    processes: collections::BTreeMap<u8, Process>,
    inside: sync::Arc<engine::Engine>,
    outside: sync::Arc<engine::Engine>,
}

impl Fleet {
    /// Three voters, an entry, and an engine in each of two zones.
    async fn start() -> Self {
        let world = World::new(&DIALECT, VOTERS);
        let processes = world.first_voters().await;
        world.install(&world.document(1, None)).await;
        let inside = world.engine(INSIDE, "models", 1).await;
        let outside = world.engine(OUTSIDE, "models", 1).await;
        let mut fleet = Self { world, processes, inside, outside };
        fleet.start_entry(ENTRY).await;
        fleet
    }

    async fn start_entry(&mut self, number: u8) {
        self.processes.insert(number, self.world.entry(number).await);
        self.world.ready(number).await;
        world::until("the entry serves", async || self.ask(number).await.status == 200).await;
    }

    async fn kill(&mut self, number: u8) {
        self.processes.remove(&number).expect("a running process").kill().await;
    }

    async fn call(&self, method: &str, zone: &str) -> u16 {
        self.world.operator().order(method, &format!("/evacuation/{zone}"), "").await.0
    }

    /// Evacuates the zone and waits until that has to be in force.
    async fn evacuate(&self) {
        assert_eq!(self.call("POST", ZONE).await, 200);
        let bound_ms = settings::fleet::Bounds::default().evacuation_ms;
        tokio::time::sleep(time::Duration::from_millis(bound_ms)).await;
    }

    async fn ask(&self, entry: u8) -> Answer {
        Target::STREAMS.ask("one").answer(self.world.callers(entry)).await
    }

    /// Whether an entry serves requests and sends none of them to the zone.
    async fn avoids_the_zone(&self, entry: u8) -> bool {
        let before = self.inside.arrivals().len();
        let mut served = true;
        for _ in 0..REQUESTS {
            served &= self.ask(entry).await.status == 200;
        }
        served && self.inside.arrivals().len() == before
    }

    async fn operate(&self, voter: u8, request: EvacuationsRequest) -> EvacuationsReply {
        let (link, _events) = self.world.link(voter, 99, "operator").await;
        evacuations::ask(&link, &request, 5_000).await.unwrap()
    }
}

/// Guards against an entry that goes on sending requests to the zone, or never comes back to it.
#[googletest::test]
#[tokio::test]
async fn an_evacuation_is_in_force_at_entries_until_it_ends() {
    let mut fleet = Fleet::start().await;
    fleet.start_entry(LATER_ENTRY).await;
    expect_that!(fleet.avoids_the_zone(ENTRY).await, eq(false));
    fleet.evacuate().await;
    for entry in [ENTRY, LATER_ENTRY] {
        expect_that!(fleet.avoids_the_zone(entry).await, eq(true));
    }
    expect_that!(fleet.call("DELETE", ZONE).await, eq(200));
    world::until("the zone gets requests again", async || {
        !fleet.avoids_the_zone(ENTRY).await && !fleet.avoids_the_zone(LATER_ENTRY).await
    })
    .await;
}

/// Guards against an evacuation that ends at an entry which loses touch, and against one that a
/// starting entry or the voters forget.
#[googletest::test]
#[tokio::test]
async fn an_evacuation_outlives_the_loss_and_the_restart_of_all_voters() {
    let mut fleet = Fleet::start().await;
    fleet.evacuate().await;
    for voter in 1..=VOTERS {
        fleet.kill(voter).await;
    }
    expect_that!(fleet.avoids_the_zone(ENTRY).await, eq(true));
    fleet.kill(ENTRY).await;
    for voter in 1..=VOTERS {
        fleet.processes.insert(voter, fleet.world.voter(voter, false).await);
    }
    for engine in [&fleet.inside, &fleet.outside] {
        fleet.world.announce(engine, "models", "ready", 2).await;
    }
    fleet.start_entry(LATER_ENTRY).await;
    expect_that!(fleet.avoids_the_zone(LATER_ENTRY).await, eq(true));
    expect_that!(fleet.call("DELETE", ZONE).await, eq(200));
    world::until("the zone gets requests again", async || {
        !fleet.avoids_the_zone(LATER_ENTRY).await
    })
    .await;
}

/// Guards against an entry that sends its first requests to the zone before it hears of it.
#[googletest::test]
#[tokio::test]
async fn an_entry_that_starts_sends_nothing_to_the_zone() {
    let mut fleet = Fleet::start().await;
    fleet.evacuate().await;
    let before = fleet.inside.arrivals().len();
    fleet.start_entry(LATER_ENTRY).await;
    expect_that!(fleet.avoids_the_zone(LATER_ENTRY).await, eq(true));
    expect_that!(fleet.inside.arrivals().len(), eq(before));
}

macro_rules! calls {
    ($($(#[$guards:meta])* $case:ident: $([$method:expr, $zone:expr] => $status:expr),*;)*) => {$(
        $(#[$guards])*
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            let world = World::new(&DIALECT, 1);
            let _voters = world.first_voters().await;
            $(
                let path = format!("/evacuation/{}", $zone);
                let (status, text) = world.operator().order($method, &path, "").await;
                expect_that!(status, eq($status), "{} {path}: {text}", $method);
            )*
        }
    )*};
}

calls! {
    /// Guards against a misspelt zone that passes for an evacuated one.
    an_unknown_zone_is_refused: ["POST", "zone-9"] => 422, ["DELETE", "zone-9"] => 422;
    /// Guards against a call that is refused where the answer to the first one was lost.
    resent_calls_get_the_same_answer:
        ["POST", ZONE] => 200, ["POST", ZONE] => 200, ["DELETE", ZONE] => 200,
        ["DELETE", ZONE] => 200, ["POST", ZONE] => 200;
    /// Guards against an operator who cannot make sure that nothing is evacuated.
    the_end_of_no_evacuation_is_acknowledged: ["DELETE", ZONE] => 200;
}

/// Guards against an acknowledgement that is lost with one voter.
#[googletest::test]
#[tokio::test]
async fn a_voter_without_a_quorum_acknowledges_nothing() {
    let mut fleet = Fleet::start().await;
    fleet.evacuate().await;
    for voter in 2..=VOTERS {
        fleet.kill(voter).await;
    }
    let path = format!("/evacuation/{ZONE}");
    let (operator, voter) = (fleet.world.operator(), fleet.world.control(1));
    for method in ["POST", "DELETE"] {
        let answer = operator.call(voter, method, &path, "").await;
        expect_that!(answer.map(|(status, _)| status), some(eq(503)));
    }
    expect_that!(fleet.avoids_the_zone(ENTRY).await, eq(true));
}

/// Guards against callers who wait, or get no time to come back, where only the zone is left.
#[googletest::test]
#[tokio::test]
async fn a_request_is_refused_at_once_where_only_the_zone_is_left() {
    let fleet = Fleet::start().await;
    fleet.evacuate().await;
    fleet.world.announce(&fleet.outside, "models", "draining", 2).await;
    world::until("no engine takes work", async || fleet.ask(ENTRY).await.status != 200).await;
    let before = fleet.inside.arrivals().len();
    let answer = fleet.ask(ENTRY).await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.body, contains_substring("evacuated"));
    let retry_after_s = answer.header("retry-after").and_then(|value| value.parse::<f64>().ok());
    expect_that!(retry_after_s, some(gt(0.0)));
    expect_that!(fleet.inside.arrivals().len(), eq(before));
}

/// Guards against an evacuation that cuts off what is in progress.
#[googletest::test]
#[tokio::test]
async fn a_stream_in_progress_runs_to_its_end() {
    let fleet = Fleet::start().await;
    let events = 80;
    for engine in [&fleet.inside, &fleet.outside] {
        engine.stream(events, time::Duration::from_millis(25));
    }
    let before = [&fleet.inside, &fleet.outside].map(|engine| engine.arrivals().len());
    let streams = (0..REQUESTS).map(|_| {
        let callers = fleet.world.callers(ENTRY);
        task::spawn(async move { Target::STREAMS.ask("long").answer(callers).await })
    });
    let streams: Vec<_> = streams.collect();
    world::until("all streams have begun", async || {
        let [inside, outside] = [&fleet.inside, &fleet.outside].map(|it| it.arrivals().len());
        inside > before[0] && inside + outside == before[0] + before[1] + REQUESTS
    })
    .await;
    let begun = fleet.inside.arrivals().len();
    expect_that!(fleet.call("POST", ZONE).await, eq(200));
    for stream in streams {
        let answer = stream.await.unwrap();
        expect_that!((answer.status, answer.whole), eq((200, true)));
        expect_that!(answer.body, eq(&engine::whole_stream(events)));
    }
    expect_that!(fleet.inside.arrivals().len(), eq(begun));
    expect_that!(fleet.inside.abandoned(), eq(0));
}

macro_rules! further_attempts {
    ($($(#[$guards:meta])* $case:ident: $behaviour:expr;)*) => {$(
        $(#[$guards])*
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            let fleet = Fleet::start().await;
            fleet.evacuate().await;
            fleet.outside.stream(10, time::Duration::from_millis(5));
            fleet.outside.behave($behaviour);
            let (inside, outside) = (fleet.inside.arrivals().len(), fleet.outside.arrivals().len());
            for _ in 0..3 {
                fleet.ask(ENTRY).await;
            }
            expect_that!(fleet.outside.arrivals().len(), gt(outside));
            expect_that!(fleet.inside.arrivals().len(), eq(inside));
        }
    )*};
}

further_attempts! {
    /// Guards against a retry that goes to the zone.
    a_retry_does_not_go_to_the_zone: Behaviour::Shed;
    /// Guards against a repeat of a request that may have run, which goes to the zone.
    a_lost_request_is_not_sent_to_the_zone: Behaviour::LoseAnswer;
    /// Guards against a stream that is resumed in the zone.
    a_stream_that_breaks_off_is_not_resumed_in_the_zone: Behaviour::CutWithin(3);
}

/// Guards against a tool that shows or sets something else than the calls do.
#[googletest::test]
#[tokio::test]
async fn an_operators_tool_lists_starts_and_ends_evacuations() {
    let fleet = Fleet::start().await;
    let set = |zone: &str, evacuated| EvacuationsRequest::SetEvacuation {
        zone: zone.to_owned(),
        evacuated,
    };
    let evacuated = async |voter: u8| {
        let reply = fleet.operate(voter, EvacuationsRequest::ListEvacuations).await;
        let EvacuationsReply::Zones(listed) = reply else { panic!("zones are listed") };
        expect_that!(listed.confirmed, eq(true));
        expect_that!(listed.zones.len(), eq(3));
        let evacuated = listed.zones.into_iter().filter(|it| it.evacuated);
        evacuated.map(|it| it.zone.to_string()).collect::<Vec<_>>()
    };
    expect_that!(evacuated(1).await, is_empty());
    let reply = fleet.operate(2, set("zone-9", true)).await;
    expect_that!(reply, eq(&EvacuationsReply::UnknownZone));
    let reply = fleet.operate(1, set(ZONE, true)).await;
    expect_that!(reply, matches_pattern!(EvacuationsReply::InForce(_)));
    for voter in 1..=VOTERS {
        expect_that!(evacuated(voter).await, elements_are![eq(ZONE)]);
    }
    expect_that!(fleet.call("DELETE", ZONE).await, eq(200));
    expect_that!(evacuated(3).await, is_empty());
}
