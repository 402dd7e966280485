//! A stretch of network in front of a listener, which delays, holds back, refuses and resets.

use std::{io, net, sync, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as async_net,
    sync::watch,
    task,
};

/// Bytes that are moved at once.
const BUFFER_BYTES: usize = 16 << 10;

/// How often a listener is looked for that has ended.
const LOOK: time::Duration = time::Duration::from_millis(10);

/// What the stretch does to connections. Bytes that are held back arrive once they no longer are,
/// as they do after a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// Milliseconds by which each piece is late.
    pub delay_ms: u64,
    /// Nothing reaches the listener.
    pub holds_there: bool,
    /// Nothing comes back from it.
    pub holds_back: bool,
    /// New connections are reset.
    pub refuses: bool,
}

/// A running stretch.
#[derive(Clone, Debug)]
pub struct Proxy {
    to: sync::Arc<watch::Sender<net::SocketAddrV4>>,
    condition: sync::Arc<watch::Sender<Condition>>,
    resets: sync::Arc<watch::Sender<u64>>,
    /// Number of times at which nothing listened at the other end any more.
    ends: sync::Arc<watch::Sender<u64>>,
}

impl Proxy {
    /// Starts to carry connections from one address to another.
    pub async fn start(from: net::SocketAddrV4, to: net::SocketAddrV4) -> io::Result<Self> {
        let listener = async_net::TcpListener::bind(from).await?;
        let proxy = Self {
            to: sync::Arc::new(watch::Sender::new(to)),
            condition: sync::Arc::new(watch::Sender::new(Condition::default())),
            resets: sync::Arc::new(watch::Sender::new(0)),
            ends: sync::Arc::new(watch::Sender::new(0)),
        };
        task::spawn(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// Changes what it does.
    pub fn set(&self, condition: Condition) {
        self.condition.send_replace(condition);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Resets all connections, and carries later ones to another listener.
    pub fn redirect(&self, to: net::SocketAddrV4) {
        self.to.send_replace(to);
        self.reset();
    }

    async fn accept(self, listener: async_net::TcpListener) {
        let mut listener = Some(listener);
        while let Some(listening) = listener.take() {
            listener = self.accept_until_end(listening).await;
        }
    }

    /// Accepts until nothing listens at the other end, and waits until something does again.
    async fn accept_until_end(
        &self,
        listener: async_net::TcpListener,
    ) -> Option<async_net::TcpListener> {
        let address = listener.local_addr().ok()?;
        let mut ends = self.ends.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = ends.changed() => break,
            };
            let (near, _) = accepted.ok()?;
            if self.condition.borrow().refuses {
                let _ = near.set_zero_linger();
                continue;
            }
            task::spawn(self.clone().carry(near));
        }
        drop(listener);
        while self.is_ended().await {
            tokio::time::sleep(LOOK).await;
        }
        async_net::TcpListener::bind(address).await.ok()
    }

    /// Whether nothing listens at the other end.
    async fn is_ended(&self) -> bool {
        let to = *self.to.borrow();
        let connected = async_net::TcpStream::connect(to).await;
        connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    async fn carry(self, mut near: async_net::TcpStream) {
        let mut resets = self.resets.subscribe();
        let to = *self.to.borrow();
        let Ok(mut far) = async_net::TcpStream::connect(to).await else {
            let _ = near.set_zero_linger();
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = self.one_way(near_read, far_write, |it| it.holds_there);
        let back = self.one_way(far_read, near_write, |it| it.holds_back);
        let ended = tokio::select! {
            ended = async { tokio::try_join!(there, back) } => ended.is_ok(),
            _ = resets.changed() => false,
        };
        if self.is_ended().await {
            self.ends.send_modify(|ends| *ends += 1);
        }
        if !ended {
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }

    async fn one_way(
        &self,
        mut from: async_net::tcp::ReadHalf<'_>,
        mut to: async_net::tcp::WriteHalf<'_>,
        holds: impl Fn(&Condition) -> bool,
    ) -> io::Result<()> {
        let mut condition = self.condition.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let len = from.read(&mut buffer).await?;
            // An error means that the proxy is gone with the run.
            let passes = condition.wait_for(|it| !holds(it)).await;
            let delay_ms = passes.map_err(io::Error::other)?.delay_ms;
            let delay = time::Duration::from_millis(delay_ms);
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if len == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buffer[..len]).await?;
        }
    }
}
