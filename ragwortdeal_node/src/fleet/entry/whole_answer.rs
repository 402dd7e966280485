//! Reads an answer to its end, within bounds of memory, time and pace.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use ragwortdeal_core::dispatch::answer_memory::Denied;

use super::{
    Entry, answer_memory, endings,
    exchange::{Answer, Loss},
    request::CallerRequest,
    upstreams::selection,
};

/// Time in which a body that has begun has to bring `DRIP_MAX_BYTES` where another upstream may
/// answer instead.
const DRIP_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// Fewer bytes in that time come too slowly to be waited for.
const DRIP_MAX_BYTES: usize = 1 << 10;

/// Why an answer was not read to its end.
pub(super) enum Failure {
    /// The upstream is to blame.
    Lost(Loss),
    /// This entry has no memory for it.
    NoMemory,
    /// The request was isolated.
    Withdrawn,
}

/// Tells bodies that come too slowly. A body that has not begun is no such one: its upstream may
/// still work on it.
struct DripDetector {
    interval_began: time::Instant,
    interval_bytes: usize,
}

impl DripDetector {
    fn new() -> Self {
        Self { interval_began: time::Instant::now(), interval_bytes: 0 }
    }

    /// Records bytes. Returns whether they come too slowly.
    fn record(&mut self, bytes: usize) -> bool {
        self.interval_bytes += bytes;
        if self.interval_began.elapsed() < DRIP_INTERVAL {
            return false;
        }
        let drips = self.interval_bytes < DRIP_MAX_BYTES;
        (self.interval_began, self.interval_bytes) = (time::Instant::now(), 0);
        drips
    }
}

impl Entry {
    /// Reads the body of an answer to its end.
    pub(super) async fn read_whole(
        &self,
        request: &CallerRequest,
        selected: &selection::Selected,
        answer: &mut Answer,
    ) -> Result<Bytes, Failure> {
        let leaves_slow = || selected.leaves_slow(&request.service);
        let read = tokio::time::timeout(request.remaining(), self.read_body(leaves_slow, answer));
        let read = tokio::select! {
            read = read => read,
            () = self.isolation.request_becomes_isolated(&request.fingerprint) => {
                return Err(Failure::Withdrawn);
            }
        };
        let late = || Err(Failure::Lost(Loss::new("the answer did not end in time")));
        let read = read.unwrap_or_else(|_| late());
        read.map_err(|failure| match failure {
            Failure::Lost(loss) => Failure::Lost(loss.on(&answer.connection)),
            failure => failure,
        })
    }

    async fn read_body(
        &self,
        leaves_slow: impl Fn() -> bool,
        answer: &mut Answer,
    ) -> Result<Bytes, Failure> {
        let too_large = || Failure::Lost(Loss::new("the answer is too large"));
        let mut bytes = Vec::new();
        let mut reservation = self.answer_memory.reservation();
        let mut drip: Option<DripDetector> = None;
        while let Some(frame) = answer.next_frame().await {
            let frame = frame.map_err(|error| {
                let connection_ended = endings::is_connection_end(&error);
                let loss = Loss::new(format!("the answer was cut: {error}"));
                Failure::Lost(Loss { connection_ended, ..loss })
            })?;
            let Ok(piece) = frame.into_data() else { continue };
            reservation.grow_to(bytes.len() + piece.len()).map_err(|denied| match denied {
                Denied::TooLarge => too_large(),
                Denied::Short => Failure::NoMemory,
            })?;
            if answer.connection.meter.read_bytes() > self.answer_memory.read_max_bytes() {
                return Err(too_large());
            }
            bytes.extend_from_slice(&piece);
            let drip = drip.get_or_insert_with(DripDetector::new);
            if drip.record(piece.len()) && leaves_slow() {
                return Err(Failure::Lost(Loss::new("the answer comes too slowly")));
            }
        }
        Ok(answer_memory::held(bytes, reservation))
    }
}

impl Answer {
    /// The next frame of the body. Its framing may take a few times as many bytes as it holds.
    pub(super) async fn next_frame(
        &mut self,
    ) -> Option<Result<hyper::body::Frame<Bytes>, hyper::Error>> {
        // Pieces that are there already must not keep other requests waiting.
        tokio::task::coop::consume_budget().await;
        let frame = self.body.frame().await?;
        if let Some(piece) = frame.as_ref().ok().and_then(|frame| frame.data_ref()) {
            self.connection.meter.allow(super::exchange::framed_bytes(piece.len()));
        }
        Some(frame)
    }
}
