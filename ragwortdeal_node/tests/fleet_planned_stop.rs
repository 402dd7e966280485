//! Requests that are in progress, or become complete, while their entry stops as planned.

use std::time;

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Target,
    engine,
    world::{self, World},
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const ENTRY: u8 = 10;
const LEDGER: u8 = 31;

struct Fleet {
    world: World,
    ledger: std::sync::Arc<engine::Engine>,
    entry: world::Process,
    _voter: world::Process,
}

/// A fleet in which requests may take `timeout_ms`, which the upstream never answers.
async fn fleet(timeout_ms: u64) -> Fleet {
    let world = World::new(&DIALECT, 1);
    let voter = world.voter(1, true).await;
    let mut document = world.document(1, None);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = timeout_ms.into();
    }
    world.install(&document).await;
    let ledger = world.engine(LEDGER, "ledger", 0).await;
    let entry = world.entry(ENTRY).await;
    world.ready(ENTRY).await;
    world::until("the entry serves", async || {
        Target::READS.ask("first").answer(world.callers(ENTRY)).await.status == 200
    })
    .await;
    ledger.behave(engine::Behaviour::Hang);
    Fleet { world, ledger, entry, _voter: voter }
}

/// A transfer as it is written, without the last byte of its body.
fn transfer(id: &str, deadline_ms: u64) -> (String, &'static str) {
    let mut ask = Target::TRANSFERS.ask(id);
    (ask.body, ask.deadline_ms) = ("body", deadline_ms);
    let text = ask.text();
    (text[..text.len() - 1].to_owned(), "y")
}

/// Reads up to the end of the connection.
async fn read_all(stream: &mut tokio::net::TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(time::Duration::from_secs(12), stream.read_to_end(&mut bytes));
    let _ = read.await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The body of a transfer is complete late in the grace. Passed on, the transfer would be cut at the
/// end of the process, and its caller could not tell whether it ran.
#[googletest::test]
#[tokio::test]
async fn a_transfer_that_is_complete_too_late_is_refused_and_not_run() {
    let fleet = fleet(9_000).await;
    let (text, rest) = transfer("late", 9_000);
    let callers = fleet.world.callers(ENTRY);
    let mut stream = tokio::net::TcpStream::connect(callers).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("the entry reads");
    let before = fleet.ledger.arrivals().len();
    let stopped = tokio::spawn(fleet.entry.stop());
    tokio::time::sleep(time::Duration::from_millis(3_700)).await;
    stream.write_all(rest.as_bytes()).await.expect("the entry reads");
    let answer = read_all(&mut stream).await.to_ascii_lowercase();
    expect_that!(answer, starts_with("http/1.1 503"));
    expect_that!(answer, contains_substring("retry-after: "));
    expect_that!(fleet.ledger.arrivals().len(), eq(before));
    stopped.await.expect("the entry ends");
}

/// A transfer is at work when the process has to end. A connection that closes without an answer
/// tells its caller nothing, a whole 504 that it may have run.
#[googletest::test]
#[tokio::test]
async fn a_transfer_at_work_at_the_end_of_the_grace_is_answered() {
    let fleet = fleet(20_000).await;
    let (text, rest) = transfer("at-work", 20_000);
    let callers = fleet.world.callers(ENTRY);
    let mut stream = tokio::net::TcpStream::connect(callers).await.expect("a connection");
    stream.write_all((text + rest).as_bytes()).await.expect("the entry reads");
    let before = fleet.ledger.arrivals().len();
    world::until("it is passed on", async || fleet.ledger.arrivals().len() > before).await;
    let stopped = tokio::spawn(fleet.entry.stop());
    let answer = read_all(&mut stream).await.to_ascii_lowercase();
    expect_that!(answer, starts_with("http/1.1 504"));
    expect_that!(answer, ends_with("no answer came before the process stops\n"));
    stopped.await.expect("the entry ends");
}

/// A body is not complete when the process has to end. Nothing has run, so the caller is told to
/// come back.
#[googletest::test]
#[tokio::test]
async fn a_transfer_that_is_never_complete_is_refused_at_the_end_of_the_grace() {
    let fleet = fleet(20_000).await;
    let (text, _) = transfer("unfinished", 20_000);
    let callers = fleet.world.callers(ENTRY);
    let mut stream = tokio::net::TcpStream::connect(callers).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("the entry reads");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let stopped = tokio::spawn(fleet.entry.stop());
    let answer = read_all(&mut stream).await.to_ascii_lowercase();
    expect_that!(answer, starts_with("http/1.1 503"));
    stopped.await.expect("the entry ends");
}
