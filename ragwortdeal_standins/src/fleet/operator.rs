//! A stand-in for the operator: documents, weights and announcements, sent until acknowledged.

use std::{net, time};

use hyper::http::response;
use ragwortdeal_node::http;

/// How long one voter may take to answer.
const CALL_MS: u64 = 1_500;

/// Largest answer.
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// Answers to one call at the most, those that send it on included.
const REDIRECTS_MAX: u32 = 3;

/// Pause before the next voter is asked.
const AGAIN: time::Duration = time::Duration::from_millis(50);

/// Rounds over all voters before an order counts as without an answer.
const ROUNDS: u32 = 200;

/// Speaks to the voters of a fleet.
#[derive(Clone, Debug)]
pub struct Operator {
    http: http::Client,
    /// Addresses of the voters.
    pub voters: Vec<net::SocketAddrV4>,
}

impl Operator {
    /// An operator who knows these voters.
    pub fn new(voters: Vec<net::SocketAddrV4>) -> Self {
        Self { http: http::Client::new(500), voters }
    }

    /// Calls one voter, and those to which it sends the call on.
    pub async fn call(
        &self,
        voter: net::SocketAddrV4,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let mut voter = voter;
        for _ in 0..REDIRECTS_MAX {
            let (head, text) = self.call_once(voter, method, path, body).await?;
            let Some(location) = head.headers.get("location").filter(|_| head.status == 307) else {
                return Some((head.status.as_u16(), text));
            };
            let uri: hyper::Uri = location.to_str().ok()?.parse().ok()?;
            assert_eq!(uri.path(), path, "a call is sent on with its path");
            voter = uri.authority()?.as_str().parse().ok()?;
        }
        None
    }

    async fn call_once(
        &self,
        voter: net::SocketAddrV4,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(response::Parts, String)> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{voter}{path}"))
            .body(http::full(body.to_owned()))
            .expect("a well formed request");
        let peer = voter.to_string();
        let fetched = self.http.fetch("operate", &peer, request, ANSWER_MAX_BYTES, CALL_MS);
        let (head, bytes) = fetched.await.ok()?;
        Some((head, String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Sends an order to one voter after the other until one gives a clear answer.
    ///
    /// # Panics
    ///
    /// Panics where none does within the rounds.
    pub async fn order(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        for _ in 0..ROUNDS {
            for voter in &self.voters {
                let answer = self.call(*voter, method, path, body).await;
                if let Some((status, text)) = answer.filter(|(status, _)| *status < 500) {
                    return (status, text);
                }
            }
            tokio::time::sleep(AGAIN).await;
        }
        panic!("{method} {path} got no clear answer");
    }
}
