//! What agents tell of their engines when they are asked.

use std::time;

use googletest::prelude::*;
use ragwortdeal_node::fleet::load_probe;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{caller, world};
use tokio::{net, task};

/// Longest time for which one word is waited for.
const WORD: time::Duration = time::Duration::from_millis(500);

/// Asks the agent of an instance with a secret. None where it says nothing.
async fn ask(world: &world::World, secret: &str) -> Option<load_probe::Reply> {
    let key = load_probe::Key::new(secret);
    let socket = net::UdpSocket::bind((world.address(10), 0)).await.unwrap();
    let question = key.encode(&load_probe::Request { asked_at_ms: 41 });
    socket.send_to(&question, (world.address(30), 7700)).await.unwrap();
    let mut datagram = [0; load_probe::DATAGRAM_MAX_BYTES];
    let heard = tokio::time::timeout(WORD, socket.recv_from(&mut datagram)).await.ok()?;
    key.decode(&datagram[..heard.unwrap().0])
}

/// Guards against entries that learn the load of an engine from its late answers alone.
#[googletest::test]
#[tokio::test]
async fn an_agent_tells_what_its_engine_has_when_it_is_asked() {
    let world = world::World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let engine = world.engine(30, "models", 1).await;
    let _agent = world.agent(30).await;
    engine.work(time::Duration::from_secs(5));
    let request = caller::Ask::new("GET", "/safe/x", "words-1");
    let address = engine.address;
    let running = task::spawn(async move { request.answer(address).await });
    let mut word = None;
    let has_one = |word: &load_probe::Reply| word.load.is_some_and(|load| load.running == 1);
    world::until("the agent tells of the request", async || {
        word = ask(&world, "a-secret-for-the-fleet").await;
        word.as_ref().is_some_and(has_one)
    })
    .await;
    expect_that!(word.map(|word| word.asked_at_ms), some(eq(41)));
    running.abort();
}

/// Guards against words to, and of, whoever can send a datagram.
#[googletest::test]
#[tokio::test]
async fn a_question_without_the_secret_has_no_answer() {
    let world = world::World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let _engine = world.engine(30, "models", 1).await;
    let _agent = world.agent(30).await;
    world::until("the agent answers", async || {
        ask(&world, "a-secret-for-the-fleet").await.is_some()
    })
    .await;
    expect_that!(ask(&world, "another secret").await.is_none(), eq(true));
}

/// Stands for the agent beside an engine: answers questions after a while.
async fn answer_after(world: &world::World, number: u8, delay: time::Duration) {
    let key = load_probe::Key::new("a-secret-for-the-fleet");
    let socket = net::UdpSocket::bind((world.address(number), 7700)).await.unwrap();
    let socket = std::sync::Arc::new(socket);
    task::spawn(async move {
        let mut datagram = [0; load_probe::DATAGRAM_MAX_BYTES];
        while let Ok((length, from)) = socket.recv_from(&mut datagram).await {
            let Some(question) = key.decode::<load_probe::Request>(&datagram[..length]) else {
                continue;
            };
            let word = load_probe::Reply { asked_at_ms: question.asked_at_ms, load: None };
            let (socket, word) = (socket.clone(), key.encode(&word));
            task::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&word, from).await;
            });
        }
    });
}

/// Guards against requests that wait for seconds behind a link which turned narrow, and reach their
/// engine after their callers left or its weights were superseded.
#[googletest::test]
#[tokio::test]
async fn an_engine_behind_a_way_with_a_queue_gets_nothing_where_another_one_is_free() {
    let world = world::World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let engines = [world.engine(30, "models", 1).await, world.engine(31, "models", 1).await];
    answer_after(&world, 30, time::Duration::from_millis(1)).await;
    answer_after(&world, 31, time::Duration::from_millis(300)).await;
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
