//! A stretch of network between two processes, which can forget connections or be cut.

use std::{
    io, net,
    sync::{self, atomic},
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as async_net,
};

/// Bytes that are moved at once.
const BUFFER_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct Shared {
    to: net::SocketAddr,
    next_connection: atomic::AtomicU64,
    /// Connections with a lower number are forgotten: they stay open and carry nothing.
    forgotten_below: atomic::AtomicU64,
    cut: atomic::AtomicBool,
    carried_bytes: atomic::AtomicU64,
}

impl Shared {
    fn carries(&self, connection: u64) -> bool {
        !self.cut.load(atomic::Ordering::Relaxed)
            && connection >= self.forgotten_below.load(atomic::Ordering::Relaxed)
    }
}

/// A forwarder from a loopback port to an address.
#[derive(Debug)]
pub struct Stretch {
    shared: sync::Arc<Shared>,
    address: net::SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Stretch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Stretch {
    /// Starts forwarding to an address.
    pub async fn start(to: net::SocketAddr) -> io::Result<Self> {
        let listener = async_net::TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = sync::Arc::new(Shared {
            to,
            next_connection: atomic::AtomicU64::new(0),
            forgotten_below: atomic::AtomicU64::new(0),
            cut: atomic::AtomicBool::new(false),
            carried_bytes: atomic::AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self { shared, address, task })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Connections that it accepted so far.
    pub fn connections(&self) -> u64 {
        self.shared.next_connection.load(atomic::Ordering::Relaxed)
    }

    /// Bytes that it carried so far, both ways together.
    pub fn carried_bytes(&self) -> u64 {
        self.shared.carried_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Forgets all open connections: they go silent for good, new ones work.
    pub fn forget(&self) {
        let next = self.shared.next_connection.load(atomic::Ordering::Relaxed);
        self.shared.forgotten_below.store(next, atomic::Ordering::Relaxed);
    }

    /// Cuts or heals the stretch. While it is cut nothing is carried and nothing is closed.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, atomic::Ordering::Relaxed);
    }
}

async fn accept(listener: async_net::TcpListener, shared: sync::Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let number = shared.next_connection.fetch_add(1, atomic::Ordering::Relaxed);
        connections.spawn(carry(stream, number, shared.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn carry(near: async_net::TcpStream, number: u64, shared: sync::Arc<Shared>) {
    let Ok(far) = async_net::TcpStream::connect(shared.to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        one_way(near_read, far_write, number, &shared),
        one_way(far_read, near_write, number, &shared),
    );
}

async fn one_way(
    mut from: async_net::tcp::OwnedReadHalf,
    mut to: async_net::tcp::OwnedWriteHalf,
    number: u64,
    shared: &Shared,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if !shared.carries(number) {
            // What was sent is gone, and no end is passed on either.
            std::future::pending::<()>().await;
        }
        match read {
            Ok(0) | Err(_) => return,
            Ok(len) => {
                shared.carried_bytes.fetch_add(len as u64, atomic::Ordering::Relaxed);
                if to.write_all(&buffer[..len]).await.is_err() {
                    return;
                }
            }
        }
    }
}
