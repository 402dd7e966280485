//! Passes an answer on to its caller piece by piece, and never lets a cut one look whole.

mod events;
pub(super) mod source;

use std::{io, time};

use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use ragwortdeal_core::routing;
use ragwortdeal_wire::operator as wire;
use tokio::sync::mpsc;

use super::calls;
use crate::http;

/// Pieces that may wait for a slow caller. A full queue stops reading from the upstream, so a slow
/// caller costs this much memory and holds up nobody else.
const PIECES: usize = 8;

/// Longest time for which a caller may take nothing at all. One that stopped reading would keep its
/// place among its account's calls for good.
const CALLER_STALLS: time::Duration = time::Duration::from_secs(30);

/// What to watch while an answer is passed on.
pub(super) struct Watch {
    pub(super) request_id: String,
    /// Whether the answer is a stream of events with an end mark.
    pub(super) events: bool,
    /// Longest gap between two pieces.
    pub(super) gap_ms: u64,
    /// Counts the call as in flight until the answer has ended.
    pub(super) in_flight: calls::traffic::InFlight,
}

type Piece = Result<hyper::body::Frame<bytes::Bytes>, io::Error>;

/// Passes an answer on that cannot be resumed.
pub(super) fn relay(response: hyper::Response<http::RequestBody>, watch: Watch) -> http::Response {
    let (head, body) = response.into_parts();
    start(head, Pump { body, first: None, watch, source: None })
}

/// Passes an answer on whose first piece is here already.
pub(super) fn relay_begun(
    head: hyper::http::response::Parts,
    first: Option<bytes::Bytes>,
    body: http::RequestBody,
    watch: Watch,
    source: source::Source,
) -> http::Response {
    start(head, Pump { body, first, watch, source: Some(source) })
}

fn start(mut head: hyper::http::response::Parts, mut pump: Pump) -> http::Response {
    for name in ["connection", "transfer-encoding"] {
        head.headers.remove(name);
    }
    if let Ok(id) = pump.watch.request_id.parse() {
        head.headers.insert(http::REQUEST_ID, id);
    }
    pump.watch.events &= head.status.is_success();
    let (sender, receiver) = mpsc::channel(PIECES);
    tokio::spawn(pump.run(sender));
    let pieces = futures_util::stream::unfold(receiver, |mut receiver| async {
        let piece: Piece = receiver.recv().await?;
        Some((piece, receiver))
    });
    let body = http_body_util::StreamBody::new(pieces.boxed()).boxed_unsync();
    http::Response::from_parts(head, body)
}

/// Why the next piece does not come.
enum Stop {
    /// The answer is whole.
    Whole,
    /// The caller went away or stalls.
    CallerGone,
    /// The connection to the upstream was lost.
    Lost(String),
    /// What came is not the answer.
    Wrong(&'static str),
}

/// Moves pieces until the answer ends, breaks, falls silent, or its caller goes away.
struct Pump {
    body: http::RequestBody,
    first: Option<bytes::Bytes>,
    watch: Watch,
    source: Option<source::Source>,
}

impl Pump {
    async fn run(mut self, sender: mpsc::Sender<Piece>) {
        let mut events = events::Events::default();
        let failure = loop {
            match self.step(&mut events, &sender).await {
                Ok(()) => (),
                Err(Stop::Whole) => return self.whole(),
                // Dropping the source cancels the call at its engine.
                Err(Stop::CallerGone) => return,
                Err(Stop::Wrong(reason)) => break reason.to_owned(),
                Err(Stop::Lost(reason)) => match self.resume(&mut events, &sender).await {
                    Ok(()) => (),
                    Err(Some(why)) => break format!("{reason}; not resumed: {why}"),
                    Err(None) => return,
                },
            }
        };
        log::warn!("entry: {}: {failure}", self.watch.request_id);
        self.watch.in_flight.ended(routing::Outcome::Failed);
        let piece = match self.watch.events {
            true => Ok(hyper::body::Frame::data(error_event(&failure, &self.watch.request_id))),
            // Breaking the connection is the only way left to tell that the body is not whole.
            false => Err(io::Error::other(failure)),
        };
        let _ = sender.send(piece).await;
    }

    /// Moves one piece.
    async fn step(
        &mut self,
        events: &mut events::Events,
        sender: &mpsc::Sender<Piece>,
    ) -> Result<(), Stop> {
        let frame = match self.first.take() {
            Some(first) => hyper::body::Frame::data(first),
            None => self.next(events, sender).await?,
        };
        let frame = match (self.watch.events, frame.data_ref()) {
            (true, Some(data)) => {
                let whole = events.push(data).map_err(Stop::Wrong)?;
                if whole.is_empty() {
                    return Ok(());
                }
                hyper::body::Frame::data(whole)
            }
            _ => frame,
        };
        match tokio::time::timeout(CALLER_STALLS, sender.send(Ok(frame))).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Stop::CallerGone),
        }
    }

    async fn next(
        &mut self,
        events: &events::Events,
        sender: &mpsc::Sender<Piece>,
    ) -> Result<hyper::body::Frame<bytes::Bytes>, Stop> {
        let gap_ms = self.watch.gap_ms;
        let gap = time::Duration::from_millis(gap_ms);
        let next = tokio::select! {
            next = tokio::time::timeout(gap, self.body.frame()) => next,
            () = sender.closed() => return Err(Stop::CallerGone),
        };
        match next {
            Ok(Some(Ok(frame))) => Ok(frame),
            Ok(Some(Err(error))) if !events.ended() => {
                Err(Stop::Lost(format!("the upstream's answer broke off: {error}")))
            }
            Ok(None) if self.watch.events && !events.ended() => {
                Err(Stop::Lost("the upstream's answer ended without its end mark".to_owned()))
            }
            Ok(_) => Err(Stop::Whole),
            Err(_) if events.ended() => Err(Stop::Whole),
            Err(_) => Err(Stop::Lost(format!("nothing from the upstream for {gap_ms} ms"))),
        }
    }

    /// Opens a new connection in place of a lost one. `Err(None)` means that the caller went away.
    async fn resume(
        &mut self,
        events: &mut events::Events,
        sender: &mpsc::Sender<Piece>,
    ) -> Result<(), Option<String>> {
        let Some(source) = self.source.as_mut().filter(|_| self.watch.events) else {
            return Err(Some("this answer cannot be resumed".to_owned()));
        };
        let resumed = tokio::select! {
            resumed = source.resume(events.tokens()) => resumed,
            () = sender.closed() => return Err(None),
        };
        self.body = resumed.map_err(Some)?;
        events.reconnect();
        Ok(())
    }

    fn whole(&mut self) {
        self.watch.in_flight.ended(routing::Outcome::Answered);
        if let Some(source) = &mut self.source {
            source.ended();
        }
    }
}

/// A last event that says that the answer was cut.
fn error_event(failure: &str, request_id: &str) -> bytes::Bytes {
    let mut problem = http::problem(http::Kind::UpstreamFailed, wire::Ran::Ran, failure);
    problem.request_id = Some(request_id.to_owned());
    let json = serde_json::to_string(&problem).expect("own types encode as JSON");
    format!("event: error\ndata: {json}\n\n").into()
}
