//! Reads bodies within bounds of memory, size and time.
//!
//! Bodies are copied into one buffer each. A parser's chunks cost many times their bytes where they
//! are small, and each keeps the buffer alive that it was cut from.

use std::{io, pin, sync, task, time};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use ragwortdeal_core::inbound::body_memory;
use snafu::Snafu;

use super::{Body, inbound};

/// Memory that a body without an announced length takes first.
const FIRST_STEP_BYTES: usize = body_memory::SMALL_MAX_BYTES;

/// Bytes after which the arrival of a body is recorded.
const RECORD_BYTES: usize = 4 << 10;

/// Why a body was not read. Nothing has run of the request then.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is, or is announced to be, larger than its limit.
    #[snafu(display("the body is over {max_bytes} bytes"))]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// Other bodies hold the memory.
    #[snafu(display("there is no memory for the body"))]
    NoRoom,
    /// It stood still while others needed its memory.
    #[snafu(display("the body stood still while others needed its memory"))]
    Stalled,
    /// It did not come in time.
    #[snafu(display("the body did not come in time"))]
    Late,
    /// Its framing is wrong, or its connection ended.
    #[snafu(display("the body was cut: {source}"))]
    Cut {
        /// What the connection says.
        source: io::Error,
    },
}

impl BodyError {
    /// Whether the connection still carries a part of the body.
    pub fn leaves_bytes(&self) -> bool {
        !matches!(self, Self::Cut { .. })
    }

    fn refused(&self) -> Option<inbound::Refused> {
        match self {
            Self::TooLarge { .. } => Some(inbound::Refused::BodyTooLarge),
            Self::NoRoom => Some(inbound::Refused::BodyNoRoom),
            Self::Stalled => Some(inbound::Refused::BodyStalled),
            Self::Late => Some(inbound::Refused::BodyLate),
            Self::Cut { .. } => None,
        }
    }
}

/// Bounds of one body.
#[derive(Clone, Debug)]
pub struct BodyBounds {
    /// Largest body in bytes.
    pub max_bytes: usize,
    /// Longest time in milliseconds until it is whole.
    pub deadline_ms: u64,
    /// To whom its memory counts.
    pub client: inbound::Client,
}

/// Reads a request's body to its end. Its memory is taken before it is read, and held until nobody
/// needs the returned bytes any more.
pub async fn read_request_body(
    body: Body,
    bounds: &BodyBounds,
    inbound: &inbound::Inbound,
) -> Result<Bytes, BodyError> {
    let read = read_within(body, bounds, inbound).await;
    if let Some(refused) = read.as_ref().err().and_then(BodyError::refused) {
        inbound.record_refused(refused);
    }
    read
}

async fn read_within(
    body: Body,
    bounds: &BodyBounds,
    inbound: &inbound::Inbound,
) -> Result<Bytes, BodyError> {
    let max_bytes = bounds.max_bytes;
    let announced = http_body::Body::size_hint(&body).exact();
    if announced == Some(0) {
        return Ok(Bytes::new());
    }
    let first_bytes = match announced.map(usize::try_from) {
        Some(Ok(bytes)) if bytes <= max_bytes => bytes,
        Some(_) => return TooLargeSnafu { max_bytes }.fail(),
        None => FIRST_STEP_BYTES.min(max_bytes),
    };
    let reservation = inbound.begin_body(bounds.client.clone(), first_bytes);
    let reservation = reservation.map_err(|_| BodyError::NoRoom)?;
    let deadline = time::Duration::from_millis(bounds.deadline_ms);
    let collected = tokio::select! {
        biased;
        () = reservation.given_up() => StalledSnafu.fail(),
        collected = collect(body, first_bytes, max_bytes, Some(&reservation)) => collected,
        () = tokio::time::sleep(deadline) => LateSnafu.fail(),
    };
    let bytes = collected?;
    reservation.record_whole();
    Ok(Bytes::from_owner(HeldBody { bytes, _reservation: reservation }))
}

/// A body with its memory.
struct HeldBody {
    bytes: Vec<u8>,
    _reservation: inbound::Reservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Copies a body into one buffer, which grows where the first bytes do not suffice.
async fn collect<B>(
    body: B,
    first_bytes: usize,
    max_bytes: usize,
    reservation: Option<&inbound::Reservation>,
) -> Result<Vec<u8>, BodyError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = pin::pin!(body);
    let mut buffer = Vec::with_capacity(first_bytes);
    let mut room_bytes = first_bytes;
    let mut recorded_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other).map_err(|source| BodyError::Cut { source })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let needed_bytes = buffer.len() + data.len();
        if needed_bytes > max_bytes {
            return TooLargeSnafu { max_bytes }.fail();
        }
        if needed_bytes > room_bytes {
            room_bytes = needed_bytes.next_power_of_two().min(max_bytes);
            if let Some(reservation) = reservation {
                reservation.grow_to(room_bytes).map_err(|_| BodyError::NoRoom)?;
            }
            buffer.reserve_exact(room_bytes - buffer.len());
        }
        buffer.extend_from_slice(&data);
        if buffer.len() >= recorded_bytes + RECORD_BYTES {
            recorded_bytes = buffer.len();
            reservation.inspect(|it| it.record_arrived(recorded_bytes));
        }
        // Frames that are there already would keep the thread.
        tokio::task::coop::consume_budget().await;
    }
    Ok(buffer)
}

/// Reads the body of a peer of the system to its end within bounds of size and time.
pub async fn read<B>(body: B, max_bytes: usize, deadline_ms: u64) -> io::Result<Bytes>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let deadline = time::Duration::from_millis(deadline_ms);
    let collected = tokio::time::timeout(deadline, collect(body, 0, max_bytes, None)).await;
    let collected = collected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    Ok(collected.map_err(io::Error::other)?.into())
}

/// The body of a request, whose connection is told whether a part of it is not read.
pub(super) struct TrackedRequest<B> {
    body: B,
    connection: sync::Arc<inbound::ConnectionState>,
}

impl<B: http_body::Body> TrackedRequest<B> {
    pub(super) fn new(body: B, connection: sync::Arc<inbound::ConnectionState>) -> Self {
        connection.set_body_unread(!body.is_end_stream());
        Self { body, connection }
    }
}

impl<B: http_body::Body + Unpin> http_body::Body for TrackedRequest<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, task::Poll::Ready(None)) || self.body.is_end_stream() {
            self.connection.set_body_unread(false);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// The body of an answer, whose connection is told when it is handed over.
pub(super) struct TrackedAnswer {
    body: Body,
    connection: sync::Arc<inbound::ConnectionState>,
}

impl TrackedAnswer {
    pub(super) fn new(body: Body, connection: sync::Arc<inbound::ConnectionState>) -> Self {
        Self { body, connection }
    }
}

impl Drop for TrackedAnswer {
    fn drop(&mut self) {
        self.connection.end_answer();
    }
}

impl http_body::Body for TrackedAnswer {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
