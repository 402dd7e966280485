//! Links over real sockets: silence, wrong credentials, bad frames, pauses.

use std::{
    net as std_net,
    sync::{self, atomic},
    time,
};

use googletest::prelude::*;
use ragwortdeal_node::{link, stop};
use ragwortdeal_standins::{deployment, network, process};
use ragwortdeal_wire::link as wire;
use tokio::{io::AsyncWriteExt as _, net, sync::mpsc};

const SECRET: &str = "secret-of-the-link-tests";

/// Counts what it is asked for and answers with the number.
#[derive(Default)]
struct Counting {
    requests: atomic::AtomicU64,
    pushes: atomic::AtomicU64,
    opened: atomic::AtomicU64,
    closed: atomic::AtomicU64,
    /// How often a pushed message is pushed back, all at once.
    echoes: atomic::AtomicU64,
}

impl link::Service for Counting {
    fn opened(&self, _session: &link::Session) {
        self.opened.fetch_add(1, atomic::Ordering::Relaxed);
    }

    fn pushed(&self, session: &link::Session, message: wire::Message) {
        self.pushes.fetch_add(1, atomic::Ordering::Relaxed);
        for _ in 0..self.echoes.swap(0, atomic::Ordering::Relaxed) {
            session.push(message.clone());
        }
    }

    async fn requested(&self, _session: &link::Session, message: wire::Message) -> wire::Message {
        self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        message
    }

    fn closed(&self, _session: &link::Session) {
        self.closed.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

fn limits() -> link::LinkLimits {
    link::LinkLimits { heartbeat_ms: 50, silence_ms: 300, ..link::LinkLimits::default() }
}

struct Served {
    service: sync::Arc<Counting>,
    address: std_net::SocketAddr,
    _stopper: stop::Stopper,
}

async fn serve() -> Served {
    serve_with(limits()).await
}

async fn serve_with(limits: link::LinkLimits) -> Served {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = sync::Arc::new(Counting::default());
    let (stopper, stop) = stop::pair();
    let credential = link::Credential::new(SECRET);
    tokio::spawn(link::serve(listener, credential, limits, service.clone(), stop));
    Served { service, address, _stopper: stopper }
}

fn open(
    address: std_net::SocketAddr,
    secret: &str,
) -> (link::Link, mpsc::Receiver<link::LinkEvent>) {
    open_with(address, secret, limits())
}

fn open_with(
    address: std_net::SocketAddr,
    secret: &str,
    limits: link::LinkLimits,
) -> (link::Link, mpsc::Receiver<link::LinkEvent>) {
    let (sender, events) = mpsc::channel(1_024);
    let hello = wire::Hello {
        name: "tester".to_owned(),
        zone: "amman".to_owned(),
        role: "entry".to_owned(),
        incarnation: 1,
    };
    let credential = link::Credential::new(secret);
    (link::open(&address.to_string(), credential, hello, limits, sender), events)
}

fn subscribe(held_revision: u64) -> wire::Message {
    wire::Message::Subscribe(wire::Subscribe { held_revision })
}

async fn answered(link: &link::Link) -> bool {
    link.request("test", subscribe(7), 5_000).await.is_ok_and(|answer| answer == subscribe(7))
}

/// Something between the two ends has lost track of the connection: it stays open, and what is sent
/// on it is gone. A user would notice requests that hang although a new connection would work.
#[googletest::test]
#[tokio::test]
async fn a_link_that_went_silent_is_replaced() {
    let served = serve().await;
    let stretch = network::Stretch::start(served.address).await.unwrap();
    let (link, _events) = open(stretch.address(), SECRET);
    deployment::wait_for("the link is open", async || answered(&link).await).await;

    stretch.forget();
    let lost = link.request("test", subscribe(8), 10_000).await;
    expect_that!(lost, err(anything()));
    deployment::wait_for("a new link is open", async || answered(&link).await).await;
    expect_that!(stretch.connections(), ge(2));
    // The request that was lost is not sent again by the link.
    let closed = || served.service.closed.load(atomic::Ordering::Relaxed);
    deployment::wait_for("the other side let go too", async || closed() >= 1).await;
}

/// A request that leaves on a link which breaks before the answer may have been carried out. The
/// link must say so and must not send it a second time.
#[googletest::test]
#[tokio::test]
async fn a_request_whose_answer_is_lost_is_sent_once_and_reported_unanswered() {
    let served = serve().await;
    let stretch = network::Stretch::start(served.address).await.unwrap();
    let (link, _events) = open(stretch.address(), SECRET);
    deployment::wait_for("the link is open", async || answered(&link).await).await;
    let before = served.service.requests.load(atomic::Ordering::Relaxed);

    stretch.set_cut(true);
    let lost = link.request("test", subscribe(9), 2_000).await;
    expect_that!(lost, err(matches_pattern!(link::LinkError::Unanswered { .. })));
    stretch.set_cut(false);
    deployment::wait_for("the link is open again", async || answered(&link).await).await;
    let after = served.service.requests.load(atomic::Ordering::Relaxed);
    expect_that!(after - before, le(2));
}

/// A process with another secret tries to open a link. Nothing of it may reach the service.
#[googletest::test]
#[tokio::test]
async fn a_wrong_credential_opens_no_link() {
    let served = serve().await;
    let (link, _events) = open(served.address, "some-other-secret-text");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    expect_false!(link.is_up());
    let refused = link.request("test", subscribe(1), 500).await;
    expect_that!(refused, err(matches_pattern!(link::LinkError::NotSent { .. })));
    expect_that!(served.service.opened.load(atomic::Ordering::Relaxed), eq(0));
}

/// Bytes that are no WebSocket, no CBOR or no message arrive from a peer, as after a mistake in
/// its settings. The process must refuse them, stay alive and go on serving others.
#[googletest::test]
#[tokio::test]
async fn garbage_is_refused_and_others_are_served() {
    let served = serve().await;
    for garbage in [&b"\x00\xff\x00\xff"[..], b"GET / HTTP/1.1\r\n\r\n", &[b'x'; 100_000]] {
        let mut stream = net::TcpStream::connect(served.address).await.unwrap();
        let _ = stream.write_all(garbage).await;
    }
    let request = tokio_tungstenite::tungstenite::ClientRequestBuilder::new(
        format!("ws://{}/link", served.address).parse().unwrap(),
    )
    .with_header("Authorization", link::Credential::new(SECRET).header_value());
    let stream = net::TcpStream::connect(served.address).await.unwrap();
    let (mut socket, _) = tokio_tungstenite::client_async(request, stream).await.unwrap();
    let message = tokio_tungstenite::tungstenite::Message::Binary(vec![0xff; 100].into());
    futures_util::SinkExt::send(&mut socket, message).await.unwrap();
    let (link, _events) = open(served.address, SECRET);
    deployment::wait_for("a good peer is served", async || answered(&link).await).await;
    expect_that!(served.service.opened.load(atomic::Ordering::Relaxed), eq(1));
}

/// The process at the other end is held still for longer than the silence allowed, as by SIGSTOP.
/// Its peer must give the link up meanwhile, and both must agree on a new one afterwards.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_process_loses_its_links_and_gets_new_ones() {
    let (listener, address) = process::bind().unwrap();
    let service = sync::Arc::new(Counting::default());
    let serving = service.clone();
    let frozen = process::Process::start("frozen", async move |stop| {
        let listener = net::TcpListener::from_std(listener).unwrap();
        link::serve(listener, link::Credential::new(SECRET), limits(), serving, stop).await;
    })
    .unwrap();
    let (link, mut events) = open(address, SECRET);
    deployment::wait_for("the link is open", async || answered(&link).await).await;

    frozen.freeze(time::Duration::from_secs(1));
    let mut down = false;
    while !down {
        down = matches!(events.recv().await, Some(link::LinkEvent::Down));
    }
    deployment::wait_for("the link is open again", async || answered(&link).await).await;
    expect_that!(service.opened.load(atomic::Ordering::Relaxed), ge(2));
    frozen.stop().await;
}

/// An entry of the target size keeps some 30 links. If both sides sent a heartbeat on each tick,
/// these alone would take most of the bytes that control may cost, and live calls would pay for it.
#[googletest::test]
#[tokio::test]
async fn an_idle_link_costs_one_ping_and_its_answer_per_heartbeat() {
    // A busy machine must not make the link look silent: a new one would cost more than heartbeats.
    let limits = link::LinkLimits { silence_ms: 30_000, ..limits() };
    let served = serve_with(limits).await;
    let stretch = network::Stretch::start(served.address).await.unwrap();
    let (link, _events) = open_with(stretch.address(), SECRET, limits);
    deployment::wait_for("the link is open", async || answered(&link).await).await;
    let (before, start) = (stretch.carried_bytes(), time::Instant::now());
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let heartbeats = start.elapsed().as_millis() as u64 / limits.heartbeat_ms + 1;
    // A ping from the opener has 6 bytes and its answer 2; from the other side 2 and 6.
    expect_that!(stretch.carried_bytes() - before, le(8 * heartbeats));
    expect_that!(stretch.connections(), eq(1));
}

/// A process is told more at once than may wait for it. What did not fit is told to nobody again; if
/// the link went on as if nothing had happened, the process would never hear it. A new link brings
/// everything anew.
#[googletest::test]
#[tokio::test]
async fn a_link_whose_queue_is_full_is_replaced() {
    let limits = link::LinkLimits { queue_frames: 16, ..limits() };
    let served = serve_with(limits).await;
    served.service.echoes.store(40, atomic::Ordering::Relaxed);
    let (link, mut events) = open_with(served.address, SECRET, limits);
    expect_that!(events.recv().await, some(matches_pattern!(link::LinkEvent::Up)));
    link.push("tell", subscribe(0)).unwrap();
    let replaced = async {
        while let Some(event) = events.recv().await {
            if matches!(event, link::LinkEvent::Up) {
                return;
            }
        }
    };
    let heard = tokio::time::timeout(time::Duration::from_secs(10), replaced).await;
    expect_that!(heard.is_ok(), eq(true));
}
