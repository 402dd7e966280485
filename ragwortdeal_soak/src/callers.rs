//! Callers that keep connections open and use them until the entry closes them.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty};
use hyper::{Request, body, client::conn::http1};
use hyper_util::rt;
use ragwortdeal_node::fleet::dialect::Dialect as _;
use ragwortdeal_platform::{DIALECT, outside};
use rand::{RngExt as _, SeedableRng as _};
use tokio::{net as async_net, sync::watch, task};

use crate::{
    history::{End, Kind, Sent},
    record,
};

/// How long a connect may take.
const CONNECT: time::Duration = time::Duration::from_secs(1);
/// Milliseconds for which a caller waits.
const DEADLINE_MS: u64 = 5_000;
/// Time beyond it after which a caller gives up.
const PATIENCE: time::Duration = time::Duration::from_millis(DEADLINE_MS + 500);
/// Longest pause between two requests.
const PAUSE_MAX_MS: u64 = 90;
/// Pause after a connect that failed.
const AGAIN: time::Duration = time::Duration::from_millis(60);

/// A caller and where it may go.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its number.
    pub number: u64,
    /// Entries and the addresses at which they are reached.
    pub entries: Vec<(u8, net::SocketAddrV4)>,
    /// Where it notes what it sees.
    pub record: sync::Arc<record::Record>,
}

impl Caller {
    /// Calls until it is to end.
    pub async fn run(self, seed: u64, ended: watch::Receiver<bool>) {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ (self.number << 32));
        let mut count = 0;
        while !*ended.borrow() {
            let (entry, address) = self.entries[rng.random_range(0..self.entries.len())];
            let Some(mut sender) = open(address).await else {
                tokio::time::sleep(AGAIN).await;
                continue;
            };
            while !*ended.borrow() && sender.ready().await.is_ok() {
                count += 1;
                let id = format!("c{}-{count}", self.number);
                let (kind, path) = ask(&mut rng);
                let keeps = self.call(&id, kind, path, entry, &mut sender).await;
                let pause_ms = rng.random_range(0..PAUSE_MAX_MS);
                tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
                if !keeps || rng.random_bool(0.02) {
                    break;
                }
            }
        }
    }

    /// Sends one request on a connection of its own.
    pub async fn send_once(&self, id: &str, kind: Kind, path: String) {
        for (entry, address) in &self.entries {
            if let Some(mut sender) = open(*address).await {
                self.call(id, kind, path, *entry, &mut sender).await;
                return;
            }
        }
    }

    /// Sends one request; whether the connection may be used again.
    async fn call(
        &self,
        id: &str,
        kind: Kind,
        path: String,
        entry: u8,
        sender: &mut http1::SendRequest<Empty<Bytes>>,
    ) -> bool {
        let names = DIALECT.headers();
        let request = Request::post(&path)
            .header("host", "a.example")
            .header(&names.request_id, id)
            .header(&names.deadline_ms, DEADLINE_MS)
            .header("authorization", "Bearer key-a")
            .body(Empty::new())
            .expect("a well formed request");
        let at_ms = self.record.now_ms();
        let sent = Sent { kind, path, entry, at_ms, end: None };
        self.record.change(|history| _ = history.sent.insert(id.to_owned(), sent));
        let mut end = End::default();
        let answered = tokio::time::timeout(PATIENCE, answer(sender, request, &mut end)).await;
        end.gave_up = answered.is_err();
        end.at_ms = self.record.now_ms();
        let keeps = end.whole;
        self.record.change(|history| {
            if let Some(sent) = history.sent.get_mut(id) {
                sent.end = Some(end);
            }
        });
        keeps
    }
}

async fn open(address: net::SocketAddrV4) -> Option<http1::SendRequest<Empty<Bytes>>> {
    let connected = tokio::time::timeout(CONNECT, async_net::TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    // How a connection ends shows at its requests.
    task::spawn(async move { _ = connection.await });
    Some(sender)
}

fn ask(rng: &mut rand_chacha::ChaCha8Rng) -> (Kind, String) {
    match rng.random_range(0..3) {
        0 => (Kind::Read, format!("/read/one?bytes={}", rng.random_range(1..60_000))),
        1 => (Kind::Transfer, format!("/transfer/one?bytes={}", rng.random_range(1..900))),
        _ => (Kind::Stream, "/stream/one".to_owned()),
    }
}

async fn answer(
    sender: &mut http1::SendRequest<Empty<Bytes>>,
    request: Request<Empty<Bytes>>,
    end: &mut End,
) {
    let Ok(response) = sender.send_request(request).await else {
        return;
    };
    let (head, body) = response.into_parts();
    let text = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
    end.status = head.status.as_u16();
    end.echo = text(DIALECT.headers().request_id.as_str());
    end.signer = text(outside::SIGNATURE)
        .and_then(|signature| Some(outside::signer(&signature)?.to_owned()));
    end.whole = read(body, end).await;
}

async fn read(mut body: body::Incoming, end: &mut End) -> bool {
    let mut bytes = Vec::new();
    loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |it| &it[..])),
        }
        end.body = Bytes::copy_from_slice(&bytes);
    }
}
