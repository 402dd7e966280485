//! Failed requests of a fleet, explained from the logs alone.

use std::{io, sync, time};

use googletest::prelude::*;
use ragwortdeal_node::{explain, logging};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Ask,
    engine::Behaviour,
    world::{self, World},
};

/// Log output of the processes in the test.
#[derive(Clone, Default)]
struct LogBuffer(sync::Arc<sync::Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

const ENTRY: u8 = 10;

/// A refusal, a stream that cannot be resumed, a transfer whose answer is lost and an answer on
/// superseded weights. The cause of each is found from the request identifier and the logs alone.
#[googletest::test]
#[tokio::test]
async fn kinds_of_failure_are_explained_from_the_identifier() {
    let buffer = LogBuffer::default();
    let pending = logging::start_structured_to("info", buffer.clone());
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let model = world.engine(20, "models", 1).await;
    let ledger = world.engine(30, "ledger", 0).await;
    let _entry = world.entry(ENTRY).await;
    world.ready(ENTRY).await;
    let callers = world.callers(ENTRY);
    world::until("both serve", async || {
        let read = Ask::new("GET", "/read/x", "warm").answer(callers).await;
        let stream = Ask::new("POST", "/stream/x", "warm").answer(callers).await;
        (read.status, stream.status) == (200, 200)
    })
    .await;
    let weights = serde_json::json!({"model": "model-a", "version": 2}).to_string();
    expect_that!(world.operator().order("POST", "/version-put", &weights).await.0, eq(200));
    // The entry learns of it within milliseconds; the line has the time since.
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    expect_that!(Ask::new("POST", "/stream/x", "older-1").answer(callers).await.status, eq(200));
    model.behave(Behaviour::CutWithin(3));
    ledger.behave(Behaviour::LoseAnswer);
    expect_that!(Ask::new("POST", "/stream/x", "cut-1").answer(callers).await.whole, eq(false));
    expect_that!(Ask::new("POST", "/transfer/x", "lost-1").answer(callers).await.status, eq(502));
    world.announce(&model, "models", "draining", 2).await;
    world::until("the refusal", async || {
        Ask::new("POST", "/stream/x", "refused-1").answer(callers).await.status == 503
    })
    .await;
    pending.flush();
    let log = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let cause = |request: &str| {
        let story = explain::lines_of(request, "entry.log", &log);
        explain::cause(&story).map(ToString::to_string).unwrap_or_default()
    };
    let answered = explain::lines_of("older-1", "entry.log", &log);
    let fields = answered.iter().flat_map(|line| &line.fields);
    let superseded = fields.filter_map(|field| field.strip_prefix("superseded_ms="));
    let superseded_ms: Vec<u64> = superseded.filter_map(|value| value.parse().ok()).collect();
    expect_that!(superseded_ms, elements_are![ge(&1)]);
    expect_that!(log, contains_substring("\"teller\":\"the log\""));
    expect_that!(cause("cut-1"), contains_substring("stream cut"));
    expect_that!(cause("cut-1"), contains_substring("last_event=2"));
    expect_that!(cause("lost-1"), contains_substring("lost, it may have run"));
    expect_that!(cause("lost-1"), contains_substring("upstream=\"engine-30\""));
    expect_that!(cause("refused-1"), contains_substring("refused"));
    expect_that!(cause("refused-1"), contains_substring("no upstream takes work"));
}
