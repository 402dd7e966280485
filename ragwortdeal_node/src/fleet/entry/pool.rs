//! Connections to upstreams, kept between requests.
//!
//! A connection is handed out to one request at a time and goes back only after an answer that was
//! complete and in order. Dropped before, it is closed, which also tells the upstream that nobody
//! waits for its answer any more.

use std::{collections, net, sync, time};

use bytes::Bytes;
use hyper::{client::conn::http1, header};
use hyper_util::rt;
use ragwortdeal_core::directory;
use tokio::{net as tokio_net, task};

/// Body of requests to upstreams.
pub(super) type RequestBody = http_body_util::Full<Bytes>;

/// How long a connect may take. Upstreams stand a few milliseconds away; one that is dead or cut
/// off answers nothing, and the caller needs the time for another one.
const CONNECT: time::Duration = time::Duration::from_millis(400);

/// Unacknowledged bytes for that long mean that the connection is dead. Connections can go silent
/// for good while new ones work.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_millis(1_500);

/// How long a connection is kept idle where the upstream says nothing of it.
const IDLE_DEFAULT: time::Duration = time::Duration::from_secs(3);

/// Taken off the time that an upstream says it keeps an idle connection, for the way there and for
/// a busy machine. A request that crosses the close would be lost.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Idle connections kept for one upstream.
const IDLE_MAX: usize = 32;

/// Which upstream a connection leads to. An address may be taken over by another one, so the
/// identifier belongs to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) instance: directory::Text,
    pub(super) address: net::SocketAddrV4,
}

/// An open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<RequestBody>,
    /// Whether it carried a request before.
    pub(super) reused: bool,
    task: task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    since: time::Instant,
    until: time::Instant,
}

/// Idle connections by upstream.
#[derive(Default)]
pub(super) struct Pool {
    idle: sync::Mutex<collections::HashMap<Peer, Vec<Idle>>>,
}

impl Pool {
    fn idle(&self) -> sync::MutexGuard<'_, collections::HashMap<Peer, Vec<Idle>>> {
        self.idle.lock().expect("no panic under lock")
    }

    /// Takes the connection that was used last and is idle for no longer than `fresh`.
    pub(super) fn take(&self, peer: &Peer, fresh: time::Duration) -> Option<Connection> {
        let now = time::Instant::now();
        let mut idle = self.idle();
        let connections = idle.get_mut(peer)?;
        connections.retain(|it| it.until > now && it.connection.sender.is_ready());
        let newest = connections.pop_if(|it| now.duration_since(it.since) <= fresh)?;
        Some(newest.connection)
    }

    /// Keeps a connection after a whole answer, for as long as the upstream does.
    pub(super) fn put(&self, peer: &Peer, mut connection: Connection, keep: time::Duration) {
        let now = time::Instant::now();
        connection.reused = true;
        let mut idle = self.idle();
        let connections = idle.entry(peer.clone()).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(Idle { connection, since: now, until: now + keep });
        }
    }

    /// Closes what is idle for too long, and everything to upstreams that are gone.
    pub(super) fn sweep(&self, lives: impl Fn(&Peer) -> bool) {
        let now = time::Instant::now();
        self.idle().retain(|peer, connections| {
            connections.retain(|it| it.until > now && !it.connection.sender.is_closed());
            !connections.is_empty() && lives(peer)
        });
    }
}

/// Opens a connection. The error says why none could be had; nothing was sent.
pub(super) async fn connect(peer: &Peer) -> Result<Connection, String> {
    let connecting = async {
        let socket = tokio_net::TcpSocket::new_v4().map_err(|error| error.to_string())?;
        let stream = socket.connect(peer.address.into()).await;
        let stream = stream.map_err(|error| error.to_string())?;
        prepare(&stream);
        let handshake = http1::Builder::new().handshake(rt::TokioIo::new(stream)).await;
        handshake.map_err(|error| error.to_string())
    };
    let connected = tokio::time::timeout(CONNECT, connecting).await;
    let (sender, connection) = connected.map_err(|_| "the connect timed out".to_owned())??;
    let address = peer.address;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("entry: the connection to {address} ended: {error}");
        }
    });
    Ok(Connection { sender, reused: false, task })
}

fn prepare(stream: &tokio_net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(time::Duration::from_secs(1))
        .with_interval(time::Duration::from_secs(1))
        .with_retries(2);
    // A connection that is given up is reset. What is still on its way is then lost, and an
    // upstream behind a slow link does not begin on a request whose caller left long ago.
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_linger(Some(time::Duration::ZERO)))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        log::warn!("entry: a socket option cannot be set: {error}");
    }
}

/// For how long the connection behind an answer may be kept idle; none where it must be closed.
pub(super) fn keep(headers: &header::HeaderMap) -> Option<time::Duration> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = |value: &str| value.to_ascii_lowercase().contains("close");
    if text(header::CONNECTION).is_some_and(closes) {
        return None;
    }
    let timeout = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse().ok())
        .map_or(IDLE_DEFAULT, time::Duration::from_secs);
    timeout.checked_sub(IDLE_MARGIN).filter(|keep| !keep.is_zero())
}
