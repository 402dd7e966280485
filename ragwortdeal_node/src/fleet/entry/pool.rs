//! Connection pool for upstreams.
//!
//! A connection serves one request at a time and returns to the pool only after a complete and
//! valid answer. If it is dropped before, it is closed, which also tells the upstream that nobody
//! waits for its answer any more.

use std::{collections, io, net, sync, time};

use bytes::Bytes;
use hyper::{client::conn::http1, header};
use hyper_util::rt;
use ragwortdeal_core::directory;
use snafu::Snafu;
use tokio::{net as tokio_net, task};

use crate::http::metered;

/// Body of requests to upstreams.
pub(super) type RequestBody = http_body_util::Full<Bytes>;

/// Connect timeout. Upstreams are a few milliseconds away; one that is down or cut off does not
/// answer, and the caller needs the remaining time for another one.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// How long sent data may stay unacknowledged before the connection counts as dead. A connection
/// can stop working for good while new ones work.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Idle timeout for upstreams that announce none.
pub(super) const IDLE_DEFAULT: time::Duration = time::Duration::from_secs(3);

/// Longest idle time of a connection, whatever its upstream announces. It bounds a figure of the
/// upstream, with which the time until then could not be told.
const IDLE_LONGEST: time::Duration = time::Duration::from_secs(60);

/// Subtracted from the idle timeout that an upstream announces, for the network delay and for a
/// busy machine. A request that crosses the close would be lost.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Largest head of an answer, and what is read ahead of its body.
pub(super) const BUFFER_MAX_BYTES: usize = 64 << 10;

/// Idle connections kept for each upstream.
const IDLE_CONNECTIONS_MAX: usize = 32;

/// The upstream that a connection leads to. Its address may be taken over by another upstream, so
/// the identifier is part of the key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) instance: directory::Text,
    pub(super) address: net::SocketAddrV4,
}

/// An open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<RequestBody>,
    /// Whether it has carried a request before.
    pub(super) reused: bool,
    /// Counts what is read from the upstream.
    pub(super) meter: sync::Arc<metered::Meter>,
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

    /// Takes the most recently used connection if it has been idle for no longer than `idle_max`.
    pub(super) fn take(&self, peer: &Peer, idle_max: time::Duration) -> Option<Connection> {
        let now = time::Instant::now();
        let mut idle = self.idle();
        let connections = idle.get_mut(peer)?;
        connections.retain(|it| it.until > now && it.connection.sender.is_ready());
        let newest = connections.pop_if(|it| now.duration_since(it.since) <= idle_max)?;
        Some(newest.connection)
    }

    /// Returns a connection to the pool after a complete answer, for as long as the upstream keeps
    /// it.
    pub(super) fn put(&self, peer: &Peer, mut connection: Connection, keep_alive: time::Duration) {
        let now = time::Instant::now();
        connection.reused = true;
        let mut idle = self.idle();
        let connections = idle.entry(peer.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(Idle { connection, since: now, until: now + keep_alive });
        }
    }

    /// Closes connections that were idle for too long, and all connections to upstreams that are
    /// gone.
    pub(super) fn sweep(&self, is_routable: impl Fn(&Peer) -> bool) {
        let now = time::Instant::now();
        self.idle().retain(|peer, connections| {
            connections.retain(|it| it.until > now && !it.connection.sender.is_closed());
            !connections.is_empty() && is_routable(peer)
        });
    }
}

/// Why no connection was opened.
#[derive(Debug, Snafu)]
pub(super) enum ConnectError {
    /// Nothing listens at the address: the upstream has ended.
    #[snafu(display("the connect to {address} was refused"))]
    Refused {
        /// Address of the upstream.
        address: net::SocketAddrV4,
    },
    /// The upstream or the path to it does not work.
    #[snafu(display("connect to {address}: {reason}"))]
    Failed {
        /// Address of the upstream.
        address: net::SocketAddrV4,
        /// Why.
        reason: String,
    },
}

/// Opens a connection. On an error nothing was sent.
pub(super) async fn connect(peer: &Peer) -> Result<Connection, ConnectError> {
    let address = peer.address;
    let failed = |reason: String| ConnectError::Failed { address, reason };
    let connecting = async {
        let socket = tokio_net::TcpSocket::new_v4().map_err(|error| failed(error.to_string()))?;
        let stream = socket.connect(address.into()).await.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => ConnectError::Refused { address },
            _ => failed(error.to_string()),
        })?;
        configure_socket(&stream);
        let meter = metered::Meter::new(u64::MAX);
        let stream = metered::Metered::new(stream, meter.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX_BYTES);
        let handshake = builder.handshake(rt::TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| failed(error.to_string()))?;
        Ok((sender, connection, meter))
    };
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let (sender, connection, meter) =
        connected.map_err(|_| failed("it timed out".to_owned()))??;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("entry: connection to {address} closed: {error}");
        }
    });
    Ok(Connection { sender, reused: false, meter, task })
}

fn configure_socket(stream: &tokio_net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(time::Duration::from_secs(1))
        .with_interval(time::Duration::from_secs(1))
        .with_retries(2);
    // A connection that is given up is reset. Unsent data is discarded, so that an upstream behind
    // a slow link does not start a request whose caller left long ago.
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_linger(Some(time::Duration::ZERO)))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        log::warn!("entry: cannot set a socket option: {error}");
    }
}

/// How long the connection of an answer may be kept idle, or none if it must be closed.
pub(super) fn keep_alive(headers: &header::HeaderMap) -> Option<time::Duration> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = |value: &str| value.to_ascii_lowercase().contains("close");
    if text(header::CONNECTION).is_some_and(closes) {
        return None;
    }
    let timeout = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse().ok())
        .map_or(IDLE_DEFAULT, time::Duration::from_secs)
        .min(IDLE_LONGEST);
    timeout.checked_sub(IDLE_MARGIN).filter(|keep| !keep.is_zero())
}
