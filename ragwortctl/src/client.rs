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

/// What an attempt at a change tells of it.
enum Told {
    /// What became of the change.
    Settled(wire::ChangeAnswer),
    /// The entry did not take this attempt, for this reason.
    NotTaken(ClientError),
    /// The entry may have taken the change, and this kept it from telling.
    MayBeTaken(String),
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

    /// Sends a change until it is decided, always with the same identifier. Once an entry may have
    /// taken it, another one that did not take it says nothing of the outcome.
    pub async fn change(&self, change: &wire::Change) -> Result<wire::ChangeAnswer, ClientError> {
        let body = serde_json::to_vec(change).context(MalformedSnafu)?;
        let (mut doubt, mut failure) = (None, None);
        for _ in 0..ROUNDS {
            for entry in &self.entries {
                match told(self.ask(entry, "POST", "/api/changes", body.clone()).await) {
                    Told::Settled(answer) => return Ok(answer),
                    Told::MayBeTaken(reason) => doubt = Some(reason),
                    Told::NotTaken(error @ ClientError::Problem { .. }) if doubt.is_none() => {
                        return Err(error);
                    }
                    Told::NotTaken(error) => failure = Some(error),
                }
            }
            if doubt.is_none() {
                break;
            }
        }
        match doubt {
            Some(reason) => Ok(unknown(change, &reason)),
            None => Err(failure.unwrap_or_else(|| no_answer(not_asked()))),
        }
    }

    async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Answered, ClientError> {
        let mut last = None;
        for entry in &self.entries {
            match self.ask(entry, method, path, body.clone()).await {
                Ok(answered) => return Ok(answered),
                Err(error) => last = Some(error),
            }
        }
        Err(no_answer(last.unwrap_or_else(not_asked)))
    }

    async fn ask(
        &self,
        entry: &net::SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answered, http::HttpError> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json")
            .body(http::full(body));
        let request = request.map_err(|_| not_asked())?;
        let peer = entry.to_string();
        let fetched = self.http.fetch("ask entry", &peer, request, ANSWER_MAX_BYTES, ANSWER_MS);
        let (head, bytes) = fetched.await?;
        Ok(Answered { status: head.status.as_u16(), bytes })
    }
}

fn not_asked() -> http::HttpError {
    http::HttpError::NotSent {
        step: "ask entry",
        peer: "no entry is set, or the secret is no header value".into(),
        late: false,
    }
}

fn no_answer(source: http::HttpError) -> ClientError {
    ClientError::NoAnswer { source }
}

/// Takes what became of an attempt at a change. Only an error that says so, and a connection that
/// never came about, show that the attempt was not taken.
fn told(asked: Result<Answered, http::HttpError>) -> Told {
    let answer = match asked {
        Ok(answered) => read::<wire::ChangeAnswer>(answered),
        Err(source @ http::HttpError::NotSent { .. }) => return Told::NotTaken(no_answer(source)),
        Err(source) => Err(no_answer(source)),
    };
    match answer {
        Ok(answer) if answer.outcome == wire::ChangeAnswerOutcome::Unknown => {
            Told::MayBeTaken(answer.reason.unwrap_or_else(|| "the answer was lost".to_owned()))
        }
        Ok(answer) => Told::Settled(answer),
        Err(ClientError::Problem { problem }) if problem.ran == wire::Ran::DidNotRun => {
            Told::NotTaken(ClientError::Problem { problem })
        }
        Err(error) => Told::MayBeTaken(error.to_string()),
    }
}

/// The answer on a change of which no entry tells the outcome, with what sends the same change again.
fn unknown(change: &wire::Change, reason: &str) -> wire::ChangeAnswer {
    let expected = change.expected_revision;
    let expected = expected.map(|revision| format!(" --expected-revision {revision}"));
    let again = format!("--change-id {}{}", change.id, expected.unwrap_or_default());
    wire::ChangeAnswer {
        outcome: wire::ChangeAnswerOutcome::Unknown,
        revision: None,
        reason: Some(format!("{reason}; it may be made, send it again with {again}")),
        present_revision: None,
        present: None,
        matches: None,
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
