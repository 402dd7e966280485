//! Answers of upstreams with a status that HTTP does not know.

use googletest::prelude::*;
use ragwortdeal_node::http;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{caller::Target, raw::Ends, world::World};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const ENTRY: u8 = 10;

/// An upstream that alone serves answers with this status.
async fn the_caller_gets_no_answer(target: Target, status: &str) {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let answer = format!(
        "HTTP/1.1 {status} Odd\r\nX-Request-Id: {{id}}\r\nX-Server-Signature: raw\r\n\
         X-Instance-Id: engine-20\r\nContent-Length: 4\r\n\r\nbody"
    );
    let never = Ends::Never { piece: "more".into(), pause: std::time::Duration::from_millis(10) };
    let raw = world.raw_upstream(20, target, &answer, never).await;
    let _entry = world.entry(ENTRY).await;
    world.ready(ENTRY).await;
    let mut number = 0;
    while raw.requests() == 0 && number < 100 {
        number += 1;
        let answer = target.ask(&format!("request-{number}")).answer(world.callers(ENTRY)).await;
        expect_that!(answer.status, any![eq(502), eq(503), eq(504)]);
        expect_that!(answer.header("x-server-signature"), none());
        expect_that!(answer.whole, eq(true));
        if raw.requests() > 0 {
            expect_that!(answer.status, not(eq(503)), "it may have run");
        }
    }
    expect_that!(raw.requests(), ge(1));
    // The connection is closed, so the upstream can write no more.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let taken_bytes = raw.taken_bytes();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    expect_that!(raw.taken_bytes(), eq(taken_bytes));
}

macro_rules! odd_statuses {
    ($($case:ident: $target:ident, $status:expr;)*) => {$(
        /// An upstream in trouble answers with a status that is none. Passed on, it would look like
        /// an answer, or leave the connection without a framing.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            the_caller_gets_no_answer(Target::$target, $status).await;
        }
    )*};
}

odd_statuses! {
    status_000_of_a_read: READS, "000";
    status_000_of_a_transfer: TRANSFERS, "000";
    status_000_of_a_stream: STREAMS, "000";
    status_101_of_a_read: READS, "101";
    status_101_of_a_transfer: TRANSFERS, "101";
    status_101_of_a_stream: STREAMS, "101";
    status_600_of_a_read: READS, "600";
    status_999_of_a_read: READS, "999";
    status_999_of_a_transfer: TRANSFERS, "999";
    status_999_of_a_stream: STREAMS, "999";
}

/// Answers one call with this status and returns what the client makes of it.
async fn fetched(status: &str) -> std::result::Result<u16, String> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let peer = listener.local_addr().expect("an address").to_string();
    let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nbody");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.read(&mut head).await;
    });
    let request = hyper::Request::get(format!("http://{peer}/")).body(http::full(""));
    let request = request.expect("a well formed request");
    let fetched = http::Client::new(1_000).fetch("ask", &peer, request, 1_024, 2_000).await;
    fetched.map(|(head, _)| head.status.as_u16()).map_err(|error| error.to_string())
}

macro_rules! odd_statuses_at_clients {
    ($($case:ident: $status:expr => $expected:expr,)*) => {$(
        /// The same at the client of agents, entries outside fleets and the command line.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            expect_that!(fetched($status).await.ok(), eq($expected));
        }
    )*};
}

odd_statuses_at_clients! {
    a_client_takes_599: "599" => Some(599),
    a_client_takes_no_000: "000" => None,
    a_client_takes_no_101: "101" => None,
    a_client_takes_no_600: "600" => None,
    a_client_takes_no_999: "999" => None,
}
