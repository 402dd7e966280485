//! A caller and an operator's tool, which check what they are told.

use std::{net, time};

use http_body_util::BodyExt as _;
use ragwortdeal_node::http;
use ragwortdeal_wire::operator as wire;

/// Secret of the account that tests call with.
pub const ACCOUNT_TOKEN: &str = "token-of-the-branches";

/// Secret of the operator that tests act as.
pub const OPERATOR_TOKEN: &str = "token-of-the-operator";

/// Longest time that a test waits for anything.
const PATIENCE_MS: u64 = 30_000;

/// Largest answer that a test reads.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// An answer as a caller sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status, 0 where no answer came.
    pub status: u16,
    /// Version that it was made by.
    pub version: Option<String>,
    /// The body, as far as it came.
    pub body: bytes::Bytes,
    /// Whether the connection broke before the body's end.
    pub broken: bool,
    /// Time to the first byte of the body.
    pub first_byte: time::Duration,
    /// Longest gap between two pieces of the body.
    pub longest_gap: time::Duration,
}

impl Answer {
    /// The error in the body, if it is one.
    pub fn problem(&self) -> Option<wire::Problem> {
        serde_json::from_slice(&self.body).ok()
    }

    /// The text of a streamed completion.
    pub fn text(&self) -> String {
        let body = String::from_utf8_lossy(&self.body);
        let events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: {"));
        let texts = events.filter_map(|json| {
            let event: serde_json::Value = serde_json::from_str(&format!("{{{json}")).ok()?;
            Some(event["choices"][0]["text"].as_str()?.to_owned())
        });
        texts.collect()
    }

    /// Whether a streamed completion came with its end mark.
    pub fn ended(&self) -> bool {
        self.body.trim_ascii_end().ends_with(b"data: [DONE]")
    }
}

/// A client of one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Address of the entry's listener for callers.
    pub address: net::SocketAddr,
    token: String,
    /// Trace context to send with each request.
    pub traceparent: Option<String>,
    http: http::Client,
}

impl Caller {
    /// A caller of the test account.
    pub fn new(address: net::SocketAddr) -> Self {
        Self::with_token(address, ACCOUNT_TOKEN)
    }

    /// A caller that presents the given secret.
    pub fn with_token(address: net::SocketAddr, token: &str) -> Self {
        let http = http::Client::new(1_000);
        Self { address, token: token.to_owned(), traceparent: None, http }
    }

    /// Asks for a streamed completion.
    pub async fn complete(&self, model: &str, prompt: &str, max_tokens: u64) -> Answer {
        let call = serde_json::json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        self.send("POST", "/v1/completions", None, call.to_string()).await
    }

    /// Asks for an operation that may not be repeated.
    pub async fn operate(&self, service: &str, key: &str, body: &str) -> Answer {
        let path = format!("/services/{service}/transfers");
        self.send("POST", &path, Some(key), body.to_owned()).await
    }

    /// Sends any request.
    pub async fn send(&self, method: &str, path: &str, key: Option<&str>, body: String) -> Answer {
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        if let Some(traceparent) = &self.traceparent {
            request = request.header("traceparent", traceparent);
        }
        let request = request.body(http::full(body)).expect("tests send valid headers");
        let start = time::Instant::now();
        let peer = self.address.to_string();
        match self.http.send("test call", &peer, request, PATIENCE_MS).await {
            Ok(response) => read(response, start).await,
            Err(_) => Answer {
                status: 0,
                version: None,
                body: bytes::Bytes::new(),
                broken: true,
                first_byte: start.elapsed(),
                longest_gap: time::Duration::ZERO,
            },
        }
    }
}

async fn read(response: hyper::Response<http::RequestBody>, start: time::Instant) -> Answer {
    let (head, mut body) = response.into_parts();
    let version = head.headers.get(http::MODEL_VERSION).and_then(|value| value.to_str().ok());
    let mut bytes = Vec::new();
    let mut broken = false;
    let mut first_byte = None;
    let mut longest_gap = time::Duration::ZERO;
    let mut last = start;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            broken = true;
            break;
        };
        let now = time::Instant::now();
        match first_byte {
            None => first_byte = Some(now - start),
            Some(_) => longest_gap = longest_gap.max(now - last),
        }
        last = now;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Answer {
        status: head.status.as_u16(),
        version: version.map(str::to_owned),
        body: bytes.into(),
        broken,
        first_byte: first_byte.unwrap_or_default(),
        longest_gap,
    }
}

/// An operator's tool on one entry.
#[derive(Clone, Debug)]
pub struct Operator {
    address: net::SocketAddr,
    http: http::Client,
}

impl Operator {
    /// A tool that speaks to the entry's listener for operators.
    pub fn new(address: net::SocketAddr) -> Self {
        Self { address, http: http::Client::new(1_000) }
    }

    /// Sends a change. `None` means that no answer came.
    pub async fn change(&self, change: &wire::Change) -> Option<wire::ChangeAnswer> {
        let body = serde_json::to_vec(change).ok()?;
        serde_json::from_slice(&self.send("POST", "/api/changes", body).await?).ok()
    }

    /// Sets an object whatever it is now.
    pub async fn set(
        &self,
        id: &str,
        key: &str,
        object: wire::Object,
    ) -> Option<wire::ChangeAnswer> {
        let (id, key) = (id.to_owned(), key.to_owned());
        self.change(&wire::Change { id, key, expected_revision: None, object: Some(object) }).await
    }

    /// Reads the status.
    pub async fn status(&self) -> Option<wire::Status> {
        serde_json::from_slice(&self.send("GET", "/api/status", Vec::new()).await?).ok()
    }

    /// Reads any path of the operators' API.
    pub async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Option<bytes::Bytes> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(http::full(body))
            .ok()?;
        let peer = self.address.to_string();
        let fetched =
            self.http.fetch("test operator", &peer, request, ANSWER_MAX_BYTES, PATIENCE_MS).await;
        fetched.ok().map(|(_, bytes)| bytes)
    }
}

/// Labels as the operators' API takes them.
pub fn labels(pairs: &[(&str, &str)]) -> wire::Object {
    let pairs = pairs.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned()));
    wire::Object::Labels(wire::Labels(pairs.collect()))
}
