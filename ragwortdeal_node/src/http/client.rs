//! Calls to other processes and upstreams.

use std::{io, sync, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};
use snafu::Snafu;

use super::{Body, metered, status::is_final_status};

/// Body of an answer from an upstream, read piece by piece.
pub type RequestBody = hyper::body::Incoming;

/// Idle connections kept to one upstream.
const IDLE_PER_HOST: usize = 64;

/// Idle connections are closed after this time, before what lies between forgets them silently.
const IDLE: time::Duration = time::Duration::from_secs(20);

/// How long a connection may be idle before the kernel probes whether the other side still knows it.
const KEEPALIVE: time::Duration = time::Duration::from_secs(1);

/// How long sent bytes may stay unacknowledged before the connection is given up.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_secs(3);

/// Why a call got no answer.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// No connection came about, so nothing of the request left this process.
    #[snafu(display("{step}: cannot connect to {peer}"))]
    NotSent {
        /// What was being done.
        step: &'static str,
        /// Address of the other side.
        peer: sync::Arc<str>,
        /// Whether it took too long, so that it was not refused.
        late: bool,
    },
    /// The request may have arrived, but no answer came.
    #[snafu(display("{step}: no answer from {peer}: {reason}"))]
    Unanswered {
        /// What was being done.
        step: &'static str,
        /// Address of the other side.
        peer: sync::Arc<str>,
        /// What went wrong.
        reason: String,
        /// Whether the time was up.
        late: bool,
    },
    /// The answer was cut short, too large or too slow.
    #[snafu(display("{step}: bad answer from {peer}: {source}"))]
    BadAnswer {
        /// What was being done.
        step: &'static str,
        /// Address of the other side.
        peer: sync::Arc<str>,
        /// What went wrong.
        source: io::Error,
    },
}

impl HttpError {
    /// Whether nothing came in time. Another failure says nothing about the way there.
    pub fn is_late(&self) -> bool {
        match self {
            Self::NotSent { late, .. } | Self::Unanswered { late, .. } => *late,
            Self::BadAnswer { source, .. } => source.kind() == io::ErrorKind::TimedOut,
        }
    }
}

/// An HTTP client with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<metered::Connector, Body>,
}

impl Client {
    /// Makes a client whose connects may take that long.
    pub fn new(connect_ms: u64) -> Self {
        Self::with_idle(connect_ms, IDLE_PER_HOST, u64::MAX)
    }

    /// Makes one that reads no more than so many bytes for an answer, with its head and framing. A
    /// peer that sends more than that sends no answer.
    pub fn bounded(connect_ms: u64, answer_read_max_bytes: u64) -> Self {
        Self::with_idle(connect_ms, IDLE_PER_HOST, answer_read_max_bytes)
    }

    /// Makes one that opens a connection for each request.
    ///
    /// A kept connection can be closed by the other side at the moment at which a request is written
    /// to it, and nobody can tell then whether the request ran. `docs/design/at-most-once.md` tells
    /// where that matters.
    pub fn without_reuse(connect_ms: u64) -> Self {
        Self::with_idle(connect_ms, 0, u64::MAX)
    }

    fn with_idle(connect_ms: u64, idle_per_host: usize, answer_read_max_bytes: u64) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(time::Duration::from_millis(connect_ms)));
        connector.set_nodelay(true);
        // A connection can go silent for good while new ones work, because something in between
        // lost track of it. Calls on it would hang until their deadline; this closes it before.
        connector.set_keepalive(Some(KEEPALIVE));
        connector.set_keepalive_interval(Some(KEEPALIVE));
        connector.set_keepalive_retries(Some(2));
        #[cfg(target_os = "linux")]
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let inner = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(idle_per_host)
            .pool_idle_timeout(IDLE)
            .pool_timer(rt::TokioTimer::new())
            // The pool would resend a request whose connection closed under it. Whether a request
            // may be sent twice is decided by the entry alone.
            .retry_canceled_requests(false)
            .build(metered::Connector::new(connector, answer_read_max_bytes));
        Self { inner }
    }

    /// Sends a request and waits for the head of its answer until the deadline.
    pub async fn send(
        &self,
        step: &'static str,
        peer: &str,
        request: hyper::Request<Body>,
        deadline_ms: u64,
    ) -> Result<hyper::Response<RequestBody>, HttpError> {
        let peer = || sync::Arc::<str>::from(peer);
        let deadline = time::Duration::from_millis(deadline_ms);
        match tokio::time::timeout(deadline, self.inner.request(request)).await {
            Ok(Ok(response)) if is_final_status(response.status()) => Ok(response),
            Ok(Ok(response)) => {
                let reason = format!("{} ends no exchange", response.status().as_u16());
                Err(HttpError::Unanswered { step, peer: peer(), reason, late: false })
            }
            Ok(Err(error)) if error.is_connect() => {
                let late = timed_out(&error);
                Err(HttpError::NotSent { step, peer: peer(), late })
            }
            Ok(Err(error)) => {
                let (reason, late) = (error.to_string(), timed_out(&error));
                Err(HttpError::Unanswered { step, peer: peer(), reason, late })
            }
            Err(_) => {
                let reason = format!("nothing within {deadline_ms} ms");
                Err(HttpError::Unanswered { step, peer: peer(), reason, late: true })
            }
        }
    }

    /// Sends a request and reads its whole answer.
    pub async fn fetch(
        &self,
        step: &'static str,
        peer: &str,
        request: hyper::Request<Body>,
        max_bytes: usize,
        deadline_ms: u64,
    ) -> Result<(hyper::http::response::Parts, bytes::Bytes), HttpError> {
        let response = self.send(step, peer, request, deadline_ms).await?;
        let (head, body) = response.into_parts();
        let bytes = super::read(body.boxed_unsync(), max_bytes, deadline_ms).await;
        let peer = sync::Arc::<str>::from(peer);
        let bytes = bytes.map_err(|source| HttpError::BadAnswer { step, peer, source })?;
        Ok((head, bytes))
    }
}

/// Whether a failure goes back to a time that was up: of the connect, or of sent bytes that nobody
/// acknowledged.
fn timed_out(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut causes = std::iter::successors(Some(error), |error| error.source());
    causes.any(|cause| {
        let cause = cause.downcast_ref::<io::Error>();
        cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
    })
}
