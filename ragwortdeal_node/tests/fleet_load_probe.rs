//! Agents' replies to probes for the load of their engines.

use std::time;

use googletest::prelude::*;
use ragwortdeal_node::fleet::load_probe;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{caller, engine, world};
use tokio::{net, task};

/// Longest time to wait for one reply.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Probes the agent of an instance with a secret. None if it does not reply.
async fn probe(world: &world::World, secret: &str) -> Option<load_probe::Reply> {
    let key = load_probe::Key::new(secret);
    let socket = net::UdpSocket::bind((world.address(10), 0)).await.unwrap();
    let request = key.encode(&load_probe::Request { asked_at_ms: 41 });
    socket.send_to(&request, (world.address(30), 7700)).await.unwrap();
    let mut datagram = [0; load_probe::DATAGRAM_MAX_BYTES];
    let received =
        tokio::time::timeout(REPLY_TIMEOUT, socket.recv_from(&mut datagram)).await.ok()?;
    key.decode(&datagram[..received.unwrap().0])
}

/// Guards against entries that learn the load of an engine only from its late answers.
#[googletest::test]
#[tokio::test]
async fn an_agent_replies_with_the_load_of_its_engine() {
    let world = world::World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let engine = world.engine(30, "models", 1).await;
    let _agent = world.agent(30).await;
    engine.work(time::Duration::from_secs(5));
    let call = caller::Ask::new("GET", "/safe/x", "words-1");
    let address = engine.address;
    let running = task::spawn(async move { call.answer(address).await });
    let mut reply = None;
    let has_one = |reply: &load_probe::Reply| reply.load.is_some_and(|load| load.running == 1);
    world::until("the agent tells of the request", async || {
        reply = probe(&world, "a-secret-for-the-fleet").await;
        reply.as_ref().is_some_and(has_one)
    })
    .await;
    expect_that!(reply.map(|reply| reply.asked_at_ms), some(eq(41)));
    running.abort();
}

/// Guards against replies to, and from, anybody who can send a datagram.
#[googletest::test]
#[tokio::test]
async fn a_probe_without_the_secret_gets_no_reply() {
    let world = world::World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let _engine = world.engine(30, "models", 1).await;
    let _agent = world.agent(30).await;
    world::until("the agent answers", async || {
        probe(&world, "a-secret-for-the-fleet").await.is_some()
    })
    .await;
    expect_that!(probe(&world, "another secret").await.is_none(), eq(true));
}

/// Guards against agents of earlier versions whose replies without a pace are not understood.
#[googletest::test]
fn a_load_without_a_pace_is_understood() {
    #[derive(serde::Serialize)]
    struct EarlierLoad {
        running: u32,
        waiting: u32,
    }
    let key = load_probe::Key::new("a-secret-for-the-fleet");
    let datagram = key.encode(&EarlierLoad { running: 3, waiting: 1 });
    let load = key.decode::<load_probe::EngineLoad>(&datagram).unwrap();
    expect_that!((load.running, load.waiting, load.pace), eq((3, 1, None)));
    let datagram = key.encode(&load_probe::EngineLoad { pace: Some(2.5), ..load });
    let load = key.decode::<load_probe::EngineLoad>(&datagram).unwrap();
    expect_that!(load.pace, some(eq(2.5)));
}

/// Stands in for the agent beside an engine: replies to probes after a delay, until it is aborted.
async fn reply_after(
    world: &world::World,
    number: u8,
    delay: time::Duration,
) -> task::JoinHandle<()> {
    let key = load_probe::Key::new("a-secret-for-the-fleet");
    let socket = net::UdpSocket::bind((world.address(number), 7700)).await.unwrap();
    let socket = std::sync::Arc::new(socket);
    task::spawn(async move {
        let mut datagram = [0; load_probe::DATAGRAM_MAX_BYTES];
        while let Ok((length, from)) = socket.recv_from(&mut datagram).await {
            let Some(request) = key.decode::<load_probe::Request>(&datagram[..length]) else {
                continue;
            };
            let reply = load_probe::Reply { asked_at_ms: request.asked_at_ms, load: None };
            let (socket, reply) = (socket.clone(), key.encode(&reply));
            task::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&reply, from).await;
            });
        }
    })
}

/// Guards against requests that wait for seconds behind a link that became narrow, and reach their
/// engine after their callers left or its weights were superseded.
#[googletest::test]
#[tokio::test]
async fn an_engine_behind_a_congested_path_gets_nothing_where_another_one_is_free() {
    let world = world::World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let engines = [world.engine(30, "models", 1).await, world.engine(31, "models", 1).await];
    reply_after(&world, 30, time::Duration::from_millis(1)).await;
    reply_after(&world, 31, time::Duration::from_millis(300)).await;
    let _entry = world.entry(10).await;
    world.ready(10).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let before = engines.each_ref().map(|engine| engine.arrivals().len());
    for request in 0..12 {
        let id = format!("queue-{request}");
        let answer = caller::Ask::new("POST", "/stream/x", &id).answer(world.callers(10)).await;
        expect_that!(answer.status, eq(200));
    }
    let sent = |index: usize| engines[index].arrivals().len() - before[index];
    expect_that!([sent(0), sent(1)], elements_are![eq(12), eq(0)]);
}

/// Guards against requests that are sent into a link which has just become narrow. Requests wait on
/// the way to the engine while events of earlier ones go on the other way, so that the engine seems
/// to be well; only the replies to probes are missing.
#[googletest::test]
#[tokio::test]
async fn an_engine_that_no_request_reaches_gets_no_more_while_its_streams_go_on() {
    let world = world::World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let engines = [world.engine(30, "models", 1).await, world.engine(33, "models", 1).await];
    let _free = reply_after(&world, 30, time::Duration::from_millis(1)).await;
    let narrow = reply_after(&world, 33, time::Duration::from_millis(1)).await;
    let _entry = world.entry(12).await;
    world.ready(12).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    for engine in &engines {
        engine.stream(200, time::Duration::from_millis(10));
    }
    let callers = world.callers(12);
    for stream in 0..6 {
        let ask = caller::Ask::new("POST", "/stream/x", &format!("running-{stream}"));
        task::spawn(async move { ask.answer(callers).await });
    }
    world::until("both engines work", async || {
        engines.iter().all(|engine| !engine.arrivals().is_empty())
    })
    .await;
    narrow.abort();
    engines[1].behave(engine::Behaviour::Hang);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    let before = engines[1].arrivals().len();
    engines[0].stream(2, time::Duration::from_millis(1));
    for request in 0..12 {
        let ask = caller::Ask::new("POST", "/stream/x", &format!("later-{request}"));
        task::spawn(async move { ask.answer(callers).await });
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    expect_that!(engines[1].arrivals().len() - before, eq(0));
}

/// Guards against an engine that is left idle because the agent beside it is gone: its requests
/// arrive and are answered, only probes are not.
#[googletest::test]
#[tokio::test]
async fn an_engine_whose_agent_is_gone_still_gets_requests() {
    let world = world::World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let engine = world.engine(33, "models", 1).await;
    let agent = reply_after(&world, 33, time::Duration::from_millis(1)).await;
    let _entry = world.entry(12).await;
    world.ready(12).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    engine.stream(5, time::Duration::from_millis(10));
    agent.abort();
    let callers = world.callers(12);
    let mut refused = 0;
    for round in 0..10 {
        let asks = (0..4).map(|stream| {
            let ask = caller::Ask::new("POST", "/stream/x", &format!("round-{round}-{stream}"));
            async move { ask.answer(callers).await.status }
        });
        let statuses = futures_util::future::join_all(asks).await;
        refused += statuses.iter().filter(|status| **status != 200).count();
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    // Those of one round at most, until the first answer shows that requests arrive.
    expect_that!(refused, le(4));
}
