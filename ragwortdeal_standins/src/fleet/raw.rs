//! A stand-in for an upstream that writes given bytes and ends the connection in a given way.

use std::{net, sync, sync::atomic, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tokio_net, task,
};

/// Largest head of a request.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// Time in which a peer takes in what was written before the connection is reset.
const TAKEN_IN: time::Duration = time::Duration::from_millis(30);

/// Buffer of the socket, so that nearly all bytes that are written have been taken by the peer.
const SEND_BUFFER_BYTES: usize = 16 << 10;

/// Smallest block that is written at once where bytes come without a pause.
const BLOCK_MIN_BYTES: usize = 32 << 10;

/// How the connection ends after the bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Ends {
    /// Closed, as at the end of an answer or of a process.
    Closed,
    /// Reset, as by the end of a process that had not read all.
    Reset,
    /// Not before the peer closes it: these bytes come again and again, with a pause.
    Never {
        /// The bytes.
        piece: String,
        /// Pause between two of them.
        pause: time::Duration,
    },
}

/// What an upstream answers.
#[derive(Clone, Debug)]
pub enum Answers {
    /// The same bytes to each request, after which the connection ends.
    Same {
        /// The bytes.
        bytes: String,
        /// How the connection ends.
        ends: Ends,
    },
    /// The first request on each connection gets a whole answer, the second one the beginning of
    /// another answer.
    Cut {
        /// The whole answer.
        whole: String,
        /// The answer of which the beginning comes.
        cut: String,
        /// How many bytes come of those that are cut, in this order, and how their connections end.
        /// Answers after these are whole.
        cuts: Vec<(usize, Ends)>,
    },
}

/// An upstream that answers with given bytes.
#[derive(Debug)]
pub struct RawUpstream {
    /// Its identifier.
    pub instance: String,
    /// Its address.
    pub address: net::SocketAddrV4,
    /// Identifiers of the requests that came.
    requests: sync::Mutex<Vec<String>>,
    /// Those of them that got the beginning of an answer.
    cut: sync::Mutex<Vec<String>>,
    taken_bytes: atomic::AtomicUsize,
}

impl RawUpstream {
    /// Starts an upstream. In the bytes of its answer, `{id}` stands for the request's identifier.
    pub async fn start(
        instance: &str,
        address: net::SocketAddrV4,
        answers: Answers,
    ) -> sync::Arc<Self> {
        let listener = tokio_net::TcpListener::bind(address).await.expect("a free address");
        let upstream = sync::Arc::new(Self {
            instance: instance.to_owned(),
            address,
            requests: sync::Mutex::default(),
            cut: sync::Mutex::default(),
            taken_bytes: atomic::AtomicUsize::new(0),
        });
        let accepting = upstream.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(accepting.clone().serve(stream, answers.clone()));
            }
        });
        upstream
    }

    /// Requests that came.
    pub fn requests(&self) -> usize {
        self.ids().len()
    }

    /// Whether a request with this identifier came.
    pub fn has_received(&self, id: &str) -> bool {
        self.ids().iter().any(|received| received == id)
    }

    /// Identifiers of the requests that got the beginning of an answer.
    pub fn cut(&self) -> Vec<String> {
        self.cut.lock().expect("no panic under lock").clone()
    }

    fn ids(&self) -> sync::MutexGuard<'_, Vec<String>> {
        self.requests.lock().expect("no panic under lock")
    }

    /// Bytes of endless answers that peers have taken.
    pub fn taken_bytes(&self) -> usize {
        self.taken_bytes.load(atomic::Ordering::Relaxed)
    }

    async fn serve(self: sync::Arc<Self>, mut stream: tokio_net::TcpStream, answers: Answers) {
        let socket = socket2::SockRef::from(&stream);
        socket.set_send_buffer_size(SEND_BUFFER_BYTES).expect("a socket option");
        let mut served = 0;
        while let Some(id) = read_request(&mut stream).await {
            self.ids().push(id.clone());
            let (bytes, ends) = match &answers {
                Answers::Same { bytes, ends } => (bytes.replace("{id}", &id), Some(ends.clone())),
                Answers::Cut { whole, cut, cuts } => match self.next_cut(cuts, served, &id) {
                    Some((at, ends)) => (cut.replace("{id}", &id)[..at].to_owned(), Some(ends)),
                    None => (whole.replace("{id}", &id), None),
                },
            };
            // A caller that left is no matter of this upstream.
            let _ = stream.write_all(bytes.as_bytes()).await;
            if let Some(ends) = ends {
                return self.end(stream, ends).await;
            }
            served += 1;
        }
    }

    /// The cut of the answer to a request on a connection that served so many before, if any is
    /// left.
    fn next_cut(&self, cuts: &[(usize, Ends)], served: usize, id: &str) -> Option<(usize, Ends)> {
        let mut cut = self.cut.lock().expect("no panic under lock");
        let next = cuts.get(cut.len()).filter(|_| served > 0).cloned()?;
        cut.push(id.to_owned());
        Some(next)
    }

    async fn end(&self, stream: tokio_net::TcpStream, ends: Ends) {
        match ends {
            Ends::Closed => (),
            Ends::Reset => {
                tokio::time::sleep(TAKEN_IN).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(time::Duration::ZERO)).expect("a socket option");
            }
            Ends::Never { piece, pause } => self.write_endlessly(stream, &piece, pause).await,
        }
    }

    /// Writes until the peer closes the connection.
    async fn write_endlessly(
        &self,
        mut stream: tokio_net::TcpStream,
        piece: &str,
        pause: time::Duration,
    ) {
        let repeats = if pause.is_zero() { BLOCK_MIN_BYTES.div_ceil(piece.len()) } else { 1 };
        let block = piece.repeat(repeats);
        while stream.write_all(block.as_bytes()).await.is_ok() {
            self.taken_bytes.fetch_add(block.len(), atomic::Ordering::Relaxed);
            tokio::time::sleep(pause).await;
        }
    }
}

/// Reads the head of a request and returns the request's identifier. Requests have no bodies here.
async fn read_request(stream: &mut tokio_net::TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < HEAD_MAX_BYTES {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_ascii_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: "))?;
    Some(id.to_owned())
}
