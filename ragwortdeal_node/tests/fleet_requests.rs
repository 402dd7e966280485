//! Callers' requests through an entry of a fleet, against stand-ins that misbehave.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::{Answer, Ask},
    engine::{self, Behaviour},
    world::{self, World},
};

/// A fleet of one voter and one entry, with two upstreams of each kind.
struct Fleet {
    world: World,
    models: Vec<sync::Arc<engine::Engine>>,
    ledgers: Vec<sync::Arc<engine::Engine>>,
    _processes: Vec<world::Process>,
}

const ENTRY: u8 = 10;

async fn fleet() -> Fleet {
    let world = World::new(&DIALECT, 1);
    let voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let mut models = Vec::new();
    let mut ledgers = Vec::new();
    for number in [20, 23] {
        models.push(world.engine(number, "models", 1).await);
    }
    for number in [30, 33] {
        ledgers.push(world.engine(number, "ledger", 0).await);
    }
    let entry = world.entry(ENTRY).await;
    world.ready(ENTRY).await;
    let fleet = Fleet { world, models, ledgers, _processes: vec![voter, entry] };
    // The entry knows the document before it knows all upstreams.
    world::until("all upstreams serve", async || {
        fleet.ask(&Ask::new("GET", "/read/warm", "warm")).await;
        fleet.ask(&Ask::new("POST", "/stream/warm", "warm")).await;
        let served = |engines: &[sync::Arc<engine::Engine>]| {
            engines.iter().all(|engine| !engine.arrivals().is_empty())
        };
        served(&fleet.models) && served(&fleet.ledgers)
    })
    .await;
    fleet
}

impl Fleet {
    async fn ask(&self, ask: &Ask) -> Answer {
        ask.answer(self.world.callers(ENTRY)).await
    }

    /// Arrivals of a request at all upstreams.
    fn arrivals(&self, id: &str) -> Vec<engine::Arrival> {
        let engines = self.models.iter().chain(&self.ledgers);
        engines.flat_map(|engine| engine.arrivals()).filter(|it| it.id == id).collect()
    }

    /// Statuses of streams that are requested at the same time.
    async fn at_once(&self, name: &str) -> Vec<u16> {
        let asks: Vec<_> = (0..AT_ONCE)
            .map(|number| Ask::new("POST", "/stream/one", &format!("{name}-{number}")))
            .collect();
        let answers = asks.iter().map(|ask| self.ask(ask));
        let answers = futures_util::future::join_all(answers).await;
        answers.iter().map(|answer| answer.status).collect()
    }

    fn all_behave(&self, behaviour: &Behaviour) {
        let engines = self.models.iter().chain(&self.ledgers);
        engines.for_each(|engine| engine.behave(behaviour.clone()));
    }
}

#[googletest::test]
#[tokio::test]
async fn a_read_reaches_an_upstream_and_its_answer_comes_back_unchanged() {
    let fleet = fleet().await;
    let answer = fleet.ask(&Ask::new("GET", "/read/one?x=1", "read-1")).await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.whole, eq(true));
    expect_that!(answer.header("x-request-id"), some(eq("read-1")));
    let arrived = fleet.arrivals("read-1");
    expect_that!(arrived.len(), eq(1));
    let headers = &arrived[0].headers;
    expect_that!(arrived[0].path, eq("/read/one?x=1"));
    expect_that!(headers.contains_key("authorization"), eq(false));
    expect_that!(headers["x-tenant"].to_str().unwrap(), eq("account-a"));
    let left: u64 = headers["x-request-deadline"].to_str().unwrap().parse().unwrap();
    expect_that!(left, le(5_000));
    let by = headers["x-expected-instance"].to_str().unwrap();
    expect_that!(answer.header("x-server-signature"), some(eq(format!("proof-of-{by}").as_str())));
    expect_that!(answer.body, eq(&format!("by {by}")));
}

macro_rules! refused {
    ($($case:ident: $ask:expr => $status:expr,)*) => {$(
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            let fleet = fleet().await;
            let answer = fleet.ask(&$ask).await;
            expect_that!(answer.status, eq($status));
            expect_that!(fleet.arrivals("refused"), is_empty());
        }
    )*};
}

refused! {
    a_path_without_a_route: Ask::new("GET", "/elsewhere/", "refused") => 404,
    an_unknown_key: Ask { key: Some("key-b"), ..Ask::new("GET", "/read/x", "refused") } => 401,
    no_key: Ask { key: None, ..Ask::new("GET", "/read/x", "refused") } => 401,
}

/// An upstream runs a transfer and its answer is lost. If the entry retried it, the transfer would
/// be booked twice; if the entry reported that it did not run, the caller would retry it.
#[googletest::test]
#[tokio::test]
async fn a_transfer_whose_answer_is_lost_runs_once_and_promises_nothing() {
    let fleet = fleet().await;
    fleet.all_behave(&Behaviour::LoseAnswer);
    let answer = fleet.ask(&Ask::new("POST", "/transfer/one", "transfer-1")).await;
    expect_that!(answer.status, eq(502));
    expect_that!(fleet.arrivals("transfer-1").len(), eq(1));
}

/// Upstreams report that they did not run a transfer. The caller may be told so, and retry.
#[googletest::test]
#[tokio::test]
async fn a_transfer_that_nobody_ran_is_refused_with_a_time_to_come_back() {
    let fleet = fleet().await;
    fleet.all_behave(&Behaviour::Shed);
    let answer = fleet.ask(&Ask::new("POST", "/transfer/one", "transfer-2")).await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
    expect_that!(fleet.arrivals("transfer-2").len(), eq(2));
}

/// One upstream loses answers. A read is retried at the other one, and the caller notices nothing.
#[googletest::test]
#[tokio::test]
async fn a_read_whose_answer_is_lost_is_served_by_the_other_upstream() {
    let fleet = fleet().await;
    fleet.ledgers[0].behave(Behaviour::LoseAnswer);
    for number in 0..8 {
        let answer = fleet.ask(&Ask::new("GET", "/read/one", &format!("read-{number}"))).await;
        expect_that!(answer.status, eq(200));
    }
}

/// An upstream answers with the answer to another request. A caller that got it would read somebody
/// else's balance.
#[googletest::test]
#[tokio::test]
async fn an_answer_to_another_request_is_never_passed_on() {
    let fleet = fleet().await;
    fleet.all_behave(&Behaviour::OtherAnswer);
    let answer = fleet.ask(&Ask::new("GET", "/read/one", "read-2")).await;
    expect_that!(answer.status, eq(502));
}

#[googletest::test]
#[tokio::test]
async fn a_stream_comes_whole() {
    let fleet = fleet().await;
    let answer = fleet.ask(&Ask::new("POST", "/stream/one", "stream-1")).await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.whole, eq(true));
    expect_that!(answer.body, eq(&engine::whole_stream(5)));
}

/// An engine breaks off in the middle of an event. The caller gets each event once and complete,
/// the rest from another engine.
#[googletest::test]
#[tokio::test]
async fn a_stream_that_breaks_off_within_an_event_resumes_elsewhere() {
    let fleet = fleet().await;
    fleet.models[0].behave(Behaviour::CutWithin(3));
    for number in 0..6 {
        let id = format!("stream-{number}");
        let answer = fleet.ask(&Ask::new("POST", "/stream/one", &id)).await;
        expect_that!(answer.status, eq(200));
        expect_that!(answer.whole, eq(true));
        expect_that!(answer.body, eq(&engine::whole_stream(5)));
    }
}

/// All engines break off. What the caller received must not look like the whole stream.
#[googletest::test]
#[tokio::test]
async fn a_stream_that_nobody_ends_does_not_look_complete() {
    let fleet = fleet().await;
    fleet.all_behave(&Behaviour::CutWithin(3));
    let answer = fleet.ask(&Ask::new("POST", "/stream/one", "stream-1")).await;
    expect_that!(answer.whole, eq(false));
    expect_that!(answer.body, eq(&engine::whole_stream(2)));
}

/// A caller disconnects before the first event, while its engine is still reading the prompt. An
/// engine that worked on would have less capacity for others.
#[googletest::test]
#[tokio::test]
async fn an_engine_stops_when_the_caller_leaves_before_the_first_event() {
    let fleet = fleet().await;
    fleet.all_behave(&Behaviour::Hang);
    let ask = Ask::new("POST", "/stream/one", "left-1");
    let connection = ask.send(fleet.world.callers(ENTRY)).await.unwrap();
    world::until("the request arrives", async || !fleet.arrivals("left-1").is_empty()).await;
    drop(connection);
    let abandoned = async || fleet.models.iter().map(|engine| engine.abandoned()).sum::<u64>() == 1;
    world::until("the engine is told", abandoned).await;
}

/// A request is still on a slow link when its caller disconnects. Its connection is reset and not
/// merely closed: after a close the upstream would read the request seconds later and run it for
/// nobody.
#[googletest::test]
#[tokio::test]
async fn the_connection_of_a_caller_who_left_is_reset() {
    let fleet = fleet().await;
    let slow = tokio::net::TcpListener::bind(fleet.world.upstream(40)).await.unwrap();
    let announced = serde_json::json!({
        "service": "slow", "address": slow.local_addr().unwrap().to_string(), "zone": "zone-0",
        "version": "v1", "slots": 8, "state": "ready", "models": [], "sequence": 1, "born": 1,
    });
    let operator = fleet.world.operator();
    operator.order("PUT", "/instances/slow", &announced.to_string()).await;
    let mut document = fleet.world.document(2, None);
    document["routes"][1]["service"] = "slow".into();
    let service = serde_json::json!({"name": "slow", "connection-limit": 64});
    document["services"].as_array_mut().unwrap().push(service);
    fleet.world.install(&document).await;
    let ask = Ask::new("GET", "/read/one", "late-1");
    let callers = fleet.world.callers(ENTRY);
    let (caller, upstream) = loop {
        let caller = ask.send(callers).await.unwrap();
        let accepted = tokio::time::timeout(time::Duration::from_millis(200), slow.accept());
        if let Ok(Ok((upstream, _))) = accepted.await {
            break (caller, upstream);
        }
    };
    upstream.readable().await.unwrap();
    drop(caller);
    let mut bytes = Vec::new();
    let mut upstream = upstream;
    let read = tokio::io::AsyncReadExt::read_to_end(&mut upstream, &mut bytes).await;
    let kind = read.map_err(|error| error.kind());
    expect_that!(kind, err(eq(std::io::ErrorKind::ConnectionReset)));
}

/// A caller disconnects in the middle of a stream.
#[googletest::test]
#[tokio::test]
async fn an_engine_stops_when_the_caller_leaves_within_a_stream() {
    let fleet = fleet().await;
    for engine in &fleet.models {
        engine.stream(1_000, time::Duration::from_millis(10));
    }
    let ask = Ask::new("POST", "/stream/one", "left-2");
    let connection = ask.send(fleet.world.callers(ENTRY)).await.unwrap();
    world::until("the request arrives", async || !fleet.arrivals("left-2").is_empty()).await;
    tokio::time::sleep(time::Duration::from_millis(60)).await;
    drop(connection);
    let abandoned = async || fleet.models.iter().map(|engine| engine.abandoned()).sum::<u64>() == 1;
    world::until("the engine is told", abandoned).await;
}

/// An upstream reports that it is leaving. Soon after the acknowledgement no request may be sent to
/// it any more, or its end would cut the request off.
#[googletest::test]
#[tokio::test]
async fn an_upstream_that_leaves_gets_no_new_requests() {
    let fleet = fleet().await;
    fleet.world.announce(&fleet.ledgers[0], "ledger", "draining", 2).await;
    let condition = "the entry knows";
    let mut number = 0;
    world::until(condition, async || {
        number += 1;
        let before = fleet.ledgers[0].arrivals().len();
        for read in 0..6 {
            fleet.ask(&Ask::new("GET", "/read/one", &format!("read-{number}-{read}"))).await;
        }
        fleet.ledgers[0].arrivals().len() == before
    })
    .await;
    // A late announcement from before must not bring it back.
    fleet.world.announce(&fleet.ledgers[0], "ledger", "ready", 1).await;
    let before = fleet.ledgers[0].arrivals().len();
    for read in 0..12 {
        fleet.ask(&Ask::new("GET", "/read/one", &format!("late-{read}"))).await;
    }
    expect_that!(fleet.ledgers[0].arrivals().len(), eq(before));
}

/// A document moves a route and revokes a key. Requests follow within moments, and never fall back.
#[googletest::test]
#[tokio::test]
async fn a_document_moves_a_route_and_revokes_a_key() {
    let fleet = fleet().await;
    let mut document = fleet.world.document(7, None);
    document["routes"][1]["path-prefix"] = "/moved/".into();
    document["tenants"][0]["api-keys"] = serde_json::json!(["key-c"]);
    fleet.world.install(&document).await;
    let moved = Ask { key: Some("key-c"), ..Ask::new("GET", "/moved/one", "moved") };
    world::until("the route has moved", async || fleet.ask(&moved).await.status == 200).await;
    let old = Ask { key: Some("key-c"), ..Ask::new("GET", "/read/one", "old") };
    expect_that!(fleet.ask(&old).await.status, eq(404));
    expect_that!(fleet.ask(&Ask::new("GET", "/moved/one", "key")).await.status, eq(401));
    // An older document that arrives late is acknowledged and changes nothing.
    fleet.world.install(&fleet.world.document(2, None)).await;
    expect_that!(fleet.ask(&moved).await.status, eq(200));
}

/// Events of a stream long enough to be running while its engine is frozen.
const LONG_EVENTS: u64 = 150;

/// Requests sent at the same time, more than one engine runs at once.
const AT_ONCE: usize = 12;

/// How often they are sent while an engine is frozen.
const ROUNDS: usize = 3;

/// Starts streams at the engines, and returns them while they run.
async fn long_streams(fleet: &Fleet) -> Vec<tokio::task::JoinHandle<Answer>> {
    for engine in &fleet.models {
        engine.stream(LONG_EVENTS, time::Duration::from_millis(10));
    }
    let callers = fleet.world.callers(ENTRY);
    (0..6)
        .map(|number| {
            let ask = Ask::new("POST", "/stream/one", &format!("long-{number}"));
            tokio::spawn(async move { ask.answer(callers).await })
        })
        .collect()
}

fn long_streams_at(engine: &engine::Engine) -> usize {
    engine.arrivals().iter().filter(|it| it.id.starts_with("long-")).count()
}

/// The machine of an engine freezes in the middle of its streams, and more requests come. Its
/// connections stay open and accept data, so callers would wait until they give up, and the engine
/// would start their requests for nobody when it resumes. All must continue at the other engine.
#[googletest::test]
#[tokio::test]
async fn requests_at_a_frozen_engine_continue_elsewhere() {
    let fleet = fleet().await;
    let streams = long_streams(&fleet).await;
    let both_work = async || fleet.models.iter().all(|engine| long_streams_at(engine) > 1);
    world::until("both engines work", both_work).await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    fleet.models[0].freeze(true);
    let callers = fleet.world.callers(ENTRY);
    let later = (0..2).map(|number| {
        let ask = Ask::new("POST", "/stream/one", &format!("later-{number}"));
        tokio::spawn(async move { ask.answer(callers).await })
    });
    let later: Vec<_> = later.collect();
    for stream in streams.into_iter().chain(later) {
        let answer = stream.await.unwrap();
        expect_that!(answer.status, eq(200));
        expect_that!(answer.whole, eq(true));
        expect_that!(answer.body, eq(&engine::whole_stream(LONG_EVENTS)));
    }
}

/// An engine that fell silent gets one request at a time as a probe, and its share again once it
/// has recovered. If it got all of them like an idle engine, requests would be late for as long as
/// it is frozen.
#[googletest::test]
#[tokio::test]
async fn a_silent_engine_is_probed_by_one_request_at_a_time() {
    let fleet = fleet().await;
    let streams = long_streams(&fleet).await;
    let both_work = async || fleet.models.iter().all(|engine| long_streams_at(engine) > 1);
    world::until("both engines work", both_work).await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    fleet.models[0].freeze(true);
    for stream in streams {
        expect_that!(stream.await.unwrap().whole, eq(true));
    }
    fleet.models[0].stream(1, time::Duration::from_millis(1));
    fleet.models[1].stream(100, time::Duration::from_millis(10));
    let asked = fleet.models[0].arrivals().len();
    for round in 0..ROUNDS {
        for status in fleet.at_once(&format!("round-{round}")).await {
            // Answered, or refused if the other engine is full; none is lost.
            expect_that!(status, any![eq(200), eq(503)]);
        }
    }
    // One goes there, and rarely a second one before the round is over.
    expect_that!(fleet.models[0].arrivals().len() - asked, le(2 * ROUNDS));
    fleet.models[0].freeze(false);
    fleet.models[1].stream(5, time::Duration::from_millis(10));
    let woken = fleet.models[0].arrivals().len();
    world::until("it takes its part again", async || {
        fleet.at_once("woken").await;
        fleet.models[0].arrivals().len() > woken + AT_ONCE
    })
    .await;
}

/// An engine is silent for a second, and no other engine takes its streams. If they were cut at
/// once, callers would lose answers that were still to come.
#[googletest::test]
#[tokio::test]
async fn streams_of_a_silent_engine_stay_open_where_nobody_takes_them() {
    let fleet = fleet().await;
    let streams = long_streams(&fleet).await;
    let both_work = async || fleet.models.iter().all(|engine| long_streams_at(engine) > 1);
    world::until("both engines work", both_work).await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    fleet.models[1].behave(Behaviour::Shed);
    fleet.models[0].freeze(true);
    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    fleet.models[0].freeze(false);
    for stream in streams {
        let answer = stream.await.unwrap();
        expect_that!(answer.whole, eq(true));
        expect_that!(answer.body, eq(&engine::whole_stream(LONG_EVENTS)));
    }
}

/// Reads sent at the same time, enough that some go to each of two upstreams.
const READS: usize = 8;

/// The machine of a plain service freezes. It has no agent whose replies would be missing, and its
/// connections stay open, so a read there waits until its caller gives up and runs when the machine
/// resumes. It must be answered by the other upstream while its caller still waits.
#[googletest::test]
#[tokio::test]
async fn a_read_at_a_frozen_service_is_answered_by_the_other_upstream() {
    let fleet = fleet().await;
    fleet.ledgers[0].freeze(true);
    let reads = (0..READS).map(|number| {
        let id = format!("frozen-{number}");
        let fleet = &fleet;
        async move {
            let ask = Ask::new("GET", "/read/one", &id);
            fleet.ask(&Ask { deadline_ms: 2_500, ..ask }).await.status
        }
    });
    // Answers of the other upstream show that the entry itself is not cut off.
    let others = async {
        for number in 0..100 {
            fleet.ask(&Ask::new("POST", "/stream/one", &format!("beside-{number}"))).await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let (statuses, ()) =
        futures_util::future::join(futures_util::future::join_all(reads), others).await;
    expect_that!(statuses, each(eq(&200)));
}

/// The machine of a plain service freezes with transfers on it. They may run when it resumes, so
/// they must not be sent to the other upstream while their callers wait.
#[googletest::test]
#[tokio::test]
async fn a_transfer_at_a_frozen_service_is_not_moved() {
    let fleet = fleet().await;
    fleet.ledgers[0].freeze(true);
    let id = |number: usize| format!("frozen-transfer-{number}");
    let transfers = (0..READS).map(|number| {
        let (fleet, id) = (&fleet, id(number));
        async move {
            let ask = Ask::new("POST", "/transfer/one", &id);
            fleet.ask(&Ask { deadline_ms: 1_500, ..ask }).await.status
        }
    });
    // Answers of another upstream show that the entry itself is not cut off.
    let others = async {
        for number in 0..60 {
            fleet.ask(&Ask::new("POST", "/stream/one", &format!("beside-{number}"))).await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let (statuses, ()) =
        futures_util::future::join(futures_util::future::join_all(transfers), others).await;
    fleet.ledgers[0].freeze(false);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for (number, status) in statuses.into_iter().enumerate() {
        expect_that!(fleet.arrivals(&id(number)).len(), le(1));
        expect_that!(status, any![eq(200), eq(504)]);
    }
}
