//! Passes an answer on to its caller piece by piece, and never lets a cut one look whole.

use std::{io, sync, time};

use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use ragwortdeal_wire::operator as wire;
use tokio::sync::mpsc;

use crate::http;

/// The end mark of a stream of events.
const END_MARK: &[u8] = b"data: [DONE]";

/// Pieces that may wait for a slow caller. A full queue stops reading from the upstream, so a slow
/// caller costs this much memory and holds up nobody else.
const PIECES: usize = 8;

/// What to watch while an answer is passed on.
pub(super) struct Watch {
    pub(super) request_id: String,
    /// Whether the answer is a stream of events with an end mark.
    pub(super) events: bool,
    /// Longest gap between two pieces.
    pub(super) gap_ms: u64,
    /// Counts the call as in flight until the answer has ended.
    pub(super) in_flight: sync::Arc<()>,
}

type Piece = Result<hyper::body::Frame<bytes::Bytes>, io::Error>;

/// Passes an answer on.
pub(super) fn relay(response: hyper::Response<http::RequestBody>, watch: Watch) -> http::Response {
    let (mut head, body) = response.into_parts();
    for name in ["connection", "transfer-encoding"] {
        head.headers.remove(name);
    }
    if let Ok(id) = watch.request_id.parse() {
        head.headers.insert(http::REQUEST_ID, id);
    }
    let events = watch.events && head.status.is_success();
    let (sender, receiver) = mpsc::channel(PIECES);
    tokio::spawn(pump(body, Watch { events, ..watch }, sender));
    let pieces = futures_util::stream::unfold(receiver, |mut receiver| async {
        let piece: Piece = receiver.recv().await?;
        Some((piece, receiver))
    });
    let body = http_body_util::StreamBody::new(pieces.boxed()).boxed_unsync();
    http::Response::from_parts(head, body)
}

/// Moves pieces until the answer ends, breaks, falls silent, or its caller goes away.
async fn pump(mut body: http::RequestBody, watch: Watch, sender: mpsc::Sender<Piece>) {
    let gap = time::Duration::from_millis(watch.gap_ms);
    let mut tail = Tail::default();
    let failure = loop {
        let next = tokio::select! {
            next = tokio::time::timeout(gap, body.frame()) => next,
            // Dropping the body closes the connection to the agent, which ends the call there.
            () = sender.closed() => return,
        };
        match next {
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    tail.push(data);
                }
                if sender.send(Ok(frame)).await.is_err() {
                    return;
                }
            }
            Ok(Some(Err(error))) => break format!("the upstream's answer broke off: {error}"),
            Ok(None) if watch.events && !tail.ended() => {
                break "the upstream's answer ended without its end mark".to_owned();
            }
            Ok(None) => {
                drop(watch.in_flight);
                return;
            }
            Err(_) => break format!("nothing from the upstream for {} ms", watch.gap_ms),
        }
    };
    log::warn!("entry: {}: {failure}", watch.request_id);
    let piece = match watch.events {
        true => Ok(hyper::body::Frame::data(error_event(&failure, &watch.request_id))),
        // Breaking the connection is the only way left to tell that the body is not whole.
        false => Err(io::Error::other(failure)),
    };
    let _ = sender.send(piece).await;
}

/// A last event that says that the answer was cut.
fn error_event(failure: &str, request_id: &str) -> bytes::Bytes {
    let mut problem = http::problem(http::Kind::UpstreamFailed, wire::Ran::Ran, failure);
    problem.request_id = Some(request_id.to_owned());
    let json = serde_json::to_string(&problem).expect("own types encode as JSON");
    format!("event: error\ndata: {json}\n\n").into()
}

/// The last bytes of a stream, to find its end mark even if it came in two pieces.
#[derive(Default)]
struct Tail {
    bytes: Vec<u8>,
}

impl Tail {
    fn push(&mut self, data: &[u8]) {
        let keep = END_MARK.len() + 4;
        self.bytes.extend_from_slice(&data[data.len().saturating_sub(keep)..]);
        let excess = self.bytes.len().saturating_sub(keep);
        self.bytes.drain(..excess);
    }

    fn ended(&self) -> bool {
        self.bytes.trim_ascii_end().ends_with(END_MARK)
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    macro_rules! tails {
        ($($case:ident: $pieces:expr => $ended:expr,)*) => {$(
            #[googletest::test]
            fn $case() {
                let mut tail = Tail::default();
                $pieces.iter().for_each(|piece: &&str| tail.push(piece.as_bytes()));
                expect_that!(tail.ended(), eq($ended));
            }
        )*};
    }

    tails! {
        an_end_mark_in_one_piece: ["data: {}\n\ndata: [DONE]\n\n"] => true,
        an_end_mark_in_two_pieces: ["data: {}\n\ndata: [DO", "NE]\n\n"] => true,
        no_end_mark: ["data: {}\n\n"] => false,
        an_end_mark_that_is_not_last: ["data: [DONE]\n\ndata: {}\n\n"] => false,
        nothing_at_all: [""] => false,
    }
}
