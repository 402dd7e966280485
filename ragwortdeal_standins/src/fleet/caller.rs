//! A stand-in for a caller, on plain connections, so that a test sees each byte.

use std::{io, net, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tokio_net,
};

/// Longest time for which an answer is waited for.
const ANSWER: time::Duration = time::Duration::from_secs(20);

/// A kind of request, with the service to which the document of a [`super::world::World`] leads it.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Service that takes it.
    pub service: &'static str,
    method: &'static str,
    path: &'static str,
}

impl Target {
    /// Streams of engines.
    pub const STREAMS: Self = Self { service: "models", method: "POST", path: "/stream/x" };
    /// Reads of a plain service.
    pub const READS: Self = Self { service: "ledger", method: "GET", path: "/read/x" };
    /// Operations of a plain service that must run only once.
    pub const TRANSFERS: Self = Self { service: "ledger", method: "POST", path: "/transfer/x" };

    /// Version of the weights that an upstream needs for it, 0 for none.
    pub fn weights(self) -> u64 {
        u64::from(self.service == Self::STREAMS.service)
    }

    /// A request of this kind.
    pub fn ask(self, id: &str) -> Ask {
        Ask::new(self.method, self.path, id)
    }
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Identifier.
    pub id: String,
    /// Key, if any.
    pub key: Option<&'static str>,
    /// Milliseconds for which it waits.
    pub deadline_ms: u64,
    /// Body.
    pub body: &'static str,
    /// Parts of its prompt as they are written, if any.
    pub prompt: Option<String>,
    /// Tokens of its prompt and of its answer, if it tells them.
    pub tokens: Option<(u32, u32)>,
}

impl Ask {
    /// A request with usual fields.
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        let (path, id) = (path.to_owned(), id.to_owned());
        Self {
            method,
            path,
            id,
            key: Some("key-a"),
            deadline_ms: 5_000,
            body: "",
            prompt: None,
            tokens: None,
        }
    }

    /// The same request with a prompt of parts with these names, the last its own.
    pub fn with_parts(self, names: &[&str]) -> Self {
        let parts: Vec<_> = names.iter().map(|name| format!("{name}:100")).collect();
        Self { prompt: Some(parts.join(",")), ..self }
    }

    /// The request as it is written.
    pub fn text(&self) -> String {
        let key = self.key.map(|key| format!("Authorization: Bearer {key}\r\n"));
        let prompt = self.prompt.as_ref().map(|parts| format!("X-Prompt-Prefix: {parts}\r\n"));
        let tokens =
            self.tokens.map(|(prompt, answer)| format!("X-Token-Usage: {prompt},{answer}\r\n"));
        format!(
            "{} {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\nX-Request-Deadline: {}\r\n\
             {}{}{}Content-Length: {}\r\n\r\n{}",
            self.method,
            self.path,
            self.id,
            self.deadline_ms,
            key.unwrap_or_default(),
            prompt.unwrap_or_default(),
            tokens.unwrap_or_default(),
            self.body.len(),
            self.body
        )
    }

    /// Opens a connection and sends the request.
    pub async fn send(&self, entry: net::SocketAddrV4) -> io::Result<tokio_net::TcpStream> {
        let mut stream = tokio_net::TcpStream::connect(entry).await?;
        stream.write_all(self.text().as_bytes()).await?;
        Ok(stream)
    }

    /// Sends the request on a connection of its own and reads the answer.
    pub async fn answer(&self, entry: net::SocketAddrV4) -> Answer {
        let text = self.text().replace("\r\nHost:", "\r\nConnection: close\r\nHost:");
        let mut bytes = Vec::new();
        let read = async {
            let mut stream = tokio_net::TcpStream::connect(entry).await?;
            stream.write_all(text.as_bytes()).await?;
            stream.read_to_end(&mut bytes).await
        };
        let ended = tokio::time::timeout(ANSWER, read).await.is_ok_and(|read| read.is_ok());
        Answer::parse(&bytes, ended)
    }
}

/// An answer as the caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status, 0 where none came.
    pub status: u16,
    /// Head in lower case.
    pub head: String,
    /// Body without its framing.
    pub body: String,
    /// Whether the body is whole by its framing.
    pub whole: bool,
}

impl Answer {
    fn parse(bytes: &[u8], ended: bool) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return Self::default();
        };
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let head = head.to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let (body, whole) = match length.and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => (body.to_owned(), body.len() == length),
            None if head.contains("transfer-encoding: chunked") => unchunk(body),
            None => (body.to_owned(), ended),
        };
        Self { status, head, body, whole }
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((length, tail)) = rest.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else {
            return (body, false);
        };
        if length == 0 {
            return (body, true);
        }
        let Some(chunk) = tail.get(..length) else {
            return (body + tail, false);
        };
        body.push_str(chunk);
        rest = tail.get(length + 2..).unwrap_or_default();
    }
    (body, false)
}
