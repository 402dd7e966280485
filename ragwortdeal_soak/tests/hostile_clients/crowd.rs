//! Many clients at once that send what they like and stay.

use std::{future, io, net, sync, sync::atomic, time};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tokio_net, task,
};

/// How long a crowd stays.
const STAY: time::Duration = time::Duration::from_secs(5);

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct Sends {
    head: String,
    piece: Bytes,
    pieces: usize,
    last: Bytes,
    reads: bool,
}

/// Request line and headers, each request with an identifier of its own.
pub fn head(line: &str, more: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {{id}}\r\n\
         X-Request-Deadline: 5000\r\nAuthorization: Bearer key-a\r\n{more}"
    )
}

impl Sends {
    /// Nothing at all.
    pub fn nothing() -> Self {
        let (piece, last) = (Bytes::new(), Bytes::new());
        Self { head: String::new(), piece, pieces: 0, last, reads: false }
    }

    /// So many bytes of a body of which another number is announced, in pieces.
    pub fn announced(
        line: &str,
        announced_bytes: usize,
        sent_bytes: usize,
        piece_bytes: usize,
    ) -> Self {
        let head = head(line, &format!("Content-Length: {announced_bytes}\r\n\r\n"));
        let last = Bytes::from(vec![b'x'; sent_bytes % piece_bytes]);
        let (piece, pieces) = (vec![b'x'; piece_bytes].into(), sent_bytes / piece_bytes);
        Self { head, piece, pieces, last, reads: false }
    }

    /// Chunks of a body that does not end.
    pub fn chunked(line: &str, chunk_bytes: usize, chunks: usize) -> Self {
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
        Self::framed(line, &chunk, chunks)
    }

    /// Pieces of a body in chunks, as they are written.
    pub fn framed(line: &str, framed: &str, times: usize) -> Self {
        const TOGETHER_BYTES: usize = 16 << 10;
        let head = head(line, "Transfer-Encoding: chunked\r\n\r\n");
        let together = (TOGETHER_BYTES / framed.len()).clamp(1, times);
        let (piece, pieces) = (framed.repeat(together).into(), times / together);
        let last = framed.repeat(times % together).into();
        Self { head, piece, pieces, last, reads: false }
    }

    /// A head that does not end, with so many bytes.
    pub fn unfinished_head(line: &str, bytes: usize) -> Self {
        const LINE_BYTES: usize = 512;
        let filler = format!("X-Filler: {}\r\n", "x".repeat(LINE_BYTES - 12));
        let piece = Bytes::from(filler);
        Self { head: head(line, ""), piece, pieces: bytes / LINE_BYTES, ..Self::nothing() }
    }

    /// Many whole requests on one connection.
    pub fn pipelined(line: &str, requests: usize) -> Self {
        let request = head(line, "Content-Length: 0\r\n\r\n");
        Self { piece: request.into(), pieces: requests, ..Self::nothing() }
    }

    /// The same with other bytes behind them.
    pub fn then(self, last: &'static str) -> Self {
        Self { last: [&self.last[..], last.as_bytes()].concat().into(), ..self }
    }

    /// The same by clients who read what they are answered.
    pub fn and_reads(self) -> Self {
        Self { reads: true, ..self }
    }

    /// The same with the key of another account.
    pub fn with_key(self, key: &str) -> Self {
        Self { head: self.head.replace("key-a", key), ..self }
    }

    /// Sends all of it on a new connection, then stays until this is dropped or the connection fails.
    async fn play(
        &self,
        to: net::SocketAddrV4,
        id: u64,
        done: &atomic::AtomicUsize,
    ) -> io::Result<()> {
        let connection = tokio_net::TcpStream::connect(to).await?;
        let (mut read, mut write) = connection.into_split();
        let reading = async {
            let mut buffer = vec![0; 16 << 10];
            while self.reads && read.read(&mut buffer).await? > 0 {}
            future::pending::<io::Result<()>>().await
        };
        let writing = async {
            self.write(&mut write, id).await?;
            done.fetch_add(1, atomic::Ordering::Relaxed);
            future::pending::<io::Result<()>>().await
        };
        tokio::select! {
            ended = reading => ended,
            ended = writing => ended,
        }
    }

    async fn write(&self, to: &mut tokio_net::tcp::OwnedWriteHalf, id: u64) -> io::Result<()> {
        to.write_all(self.head.replace("{id}", &format!("crowd-{id}")).as_bytes()).await?;
        for _ in 0..self.pieces {
            to.write_all(&self.piece).await?;
        }
        to.write_all(&self.last).await
    }
}

/// Clients that are connected until this is dropped.
pub struct Crowd {
    clients: task::JoinSet<()>,
    done: sync::Arc<atomic::AtomicUsize>,
}

impl Crowd {
    /// So many clients come at once.
    pub fn come(size: usize, sends: &Sends, to: net::SocketAddrV4) -> Self {
        let done = sync::Arc::<atomic::AtomicUsize>::default();
        let mut clients = task::JoinSet::new();
        for id in 0..size as u64 {
            let (sends, done) = (sends.clone(), done.clone());
            clients.spawn(async move {
                if sends.play(to, id, &done).await.is_err() {
                    done.fetch_add(1, atomic::Ordering::Relaxed);
                }
            });
        }
        Self { clients, done }
    }

    /// Waits as long as the crowd stays.
    pub async fn stay(&self) {
        tokio::time::sleep(STAY).await;
        println!(
            "{} of {} clients have sent all or were cut off",
            self.done.load(atomic::Ordering::Relaxed),
            self.clients.len()
        );
    }
}
