//! The operators' API as `ragwortctl` calls it, over one or several entries.

use std::net;

use ragwortdeal_node::http;
use ragwortdeal_wire::operator as wire;
use snafu::{ResultExt as _, Snafu};

/// Longest time to wait for one entry.
const ANSWER_MS: u64 = 10_000;

/// Largest answer.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// How often a change is sent to all entries before its outcome is reported as unknown.
const ROUNDS: usize = 3;

/// Why an entry gave no usable answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No entry answered.
    #[snafu(display("{source}"))]
    NoAnswer {
        /// What went wrong at the last one.
        source: http::HttpError,
    },
    /// The answer is an error.
    #[snafu(display("{}: {} (the request: {})", problem.title,
                    problem.detail.as_deref().unwrap_or_default(), problem.ran))]
    Problem {
        /// The error.
        problem: wire::Problem,
    },
    /// The answer is malformed.
    #[snafu(display("malformed answer: {source}"))]
    Malformed {
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// A client of the operators' API.
pub struct Client {
    entries: Vec<net::SocketAddr>,
    token: String,
    http: http::Client,
}

struct Answered {
    status: u16,
    bytes: bytes::Bytes,
}

impl Client {
    /// Makes a client of these entries.
    pub fn new(entries: Vec<net::SocketAddr>, token: String) -> Self {
        Self { entries, token, http: http::Client::new(2_000) }
    }

    /// Reads a path from the first entry that answers.
    pub async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        read(self.send("GET", path, Vec::new()).await?)
    }

    /// Sends something that may be repeated.
    pub async fn post<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, ClientError> {
        read(self.send("POST", path, body).await?)
    }

    /// Sends a change until it is decided, always with the same identifier.
    pub async fn change(&self, change: &wire::Change) -> Result<wire::ChangeAnswer, ClientError> {
        let body = serde_json::to_vec(change).context(MalformedSnafu)?;
        let mut last = None;
        for _ in 0..ROUNDS {
            let answered = self.send("POST", "/api/changes", body.clone()).await?;
            match serde_json::from_slice::<wire::ChangeAnswer>(&answered.bytes) {
                Ok(answer) if answer.outcome == wire::ChangeAnswerOutcome::Unknown => {
                    last = Some(answer);
                }
                Ok(answer) => return Ok(answer),
                Err(_) => return read(answered),
            }
        }
        Ok(last.expect("at least one round was made"))
    }

    async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Answered, ClientError> {
        let mut last = None;
        for entry in &self.entries {
            let request = hyper::Request::builder()
                .method(method)
                .uri(format!("http://{entry}{path}"))
                .header("authorization", format!("Bearer {}", self.token))
                .header("content-type", "application/json")
                .body(http::full(body.clone()));
            let Ok(request) = request else {
                continue;
            };
            let peer = entry.to_string();
            let fetched =
                self.http.fetch("ask entry", &peer, request, ANSWER_MAX_BYTES, ANSWER_MS).await;
            match fetched {
                Ok((head, bytes)) => return Ok(Answered { status: head.status.as_u16(), bytes }),
                Err(error) => last = Some(error),
            }
        }
        let error = last.unwrap_or(http::HttpError::NotSent {
            step: "ask entry",
            peer: "no entry is set, or the secret is no header value".into(),
            late: false,
        });
        Err(ClientError::NoAnswer { source: error })
    }
}

fn read<T: serde::de::DeserializeOwned>(answered: Answered) -> Result<T, ClientError> {
    if answered.status >= 400
        && let Ok(problem) = serde_json::from_slice(&answered.bytes)
    {
        return Err(ClientError::Problem { problem });
    }
    serde_json::from_slice(&answered.bytes).context(MalformedSnafu)
}
