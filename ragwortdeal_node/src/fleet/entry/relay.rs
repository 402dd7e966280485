//! Passes a stream on event by event, and goes on at another upstream where one breaks off.

use std::{io, sync};

use bytes::Bytes;
use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use ragwortdeal_core::document;
use tokio::sync::mpsc;

use super::{Entry, events, exchange, request::Asked, serve, upstreams::chosen};
use crate::http;

/// Pieces that may wait for a slow caller. A full queue stops reading from the upstream.
const PIECES: usize = 16;

type Piece = Result<Frame<Bytes>, io::Error>;

/// What the next read brought.
enum Read {
    /// Whole events.
    Events(Bytes),
    /// The end of the stream.
    Whole,
    /// The upstream broke off.
    Lost(String),
    /// The upstream has gone quiet. What it owes may still come.
    Quiet,
    /// Time is up.
    Late,
}

/// An answer that is being read.
struct Source {
    chosen: chosen::Chosen,
    answer: exchange::Answer,
}

/// A stream on its way to the caller.
struct Pump {
    entry: sync::Arc<Entry>,
    asked: sync::Arc<Asked>,
    events: events::Events,
    source: Source,
    progress: serve::Progress,
}

/// Begins to pass a stream on, once its first event is here: before that, another upstream may
/// still begin anew. None where the stream broke off before.
pub(super) async fn begin(
    entry: &sync::Arc<Entry>,
    asked: &sync::Arc<Asked>,
    chosen: chosen::Chosen,
    answer: exchange::Answer,
    progress: &mut serve::Progress,
) -> Option<http::Response> {
    let events = events::Events::after(asked.last_event);
    let source = Source { chosen, answer };
    let taken = std::mem::take(progress);
    let (entry, asked) = (entry.clone(), asked.clone());
    let mut pump = Pump { entry, asked, events, source, progress: taken };
    loop {
        match pump.read().await {
            Read::Events(bytes) if bytes.is_empty() => (),
            Read::Events(bytes) => return Some(pump.start(bytes)),
            Read::Whole => {
                let response = serve::pass_on(&pump.source.answer.head, http::full(""));
                pump.source.give_back(&pump.entry);
                return Some(response);
            }
            Read::Quiet => {
                let reason = "it has gone quiet before its first event";
                pump.entry.broke_off(&pump.asked, &pump.source.chosen, reason);
                *progress = pump.progress;
                return None;
            }
            Read::Lost(reason) => {
                pump.entry.broke_off(&pump.asked, &pump.source.chosen, &reason);
                *progress = pump.progress;
                return None;
            }
            Read::Late => {
                *progress = pump.progress;
                return None;
            }
        }
    }
}

impl Source {
    fn give_back(self, entry: &Entry) {
        let Self { chosen, answer } = self;
        serve::give_back(entry, &chosen.peer, answer.connection, answer.keep);
    }
}

impl Pump {
    async fn read(&mut self) -> Read {
        let left = self.asked.left();
        let to_begin = self.source.chosen.left_to_begin();
        let bound = to_begin.map_or(left, |to_begin| to_begin.min(left));
        let next = tokio::select! {
            next = tokio::time::timeout(bound, self.source.answer.body.frame()) => next,
            () = self.source.chosen.stalled() => return Read::Quiet,
        };
        if let Ok(Some(Ok(_))) = &next {
            self.source.chosen.spoke();
        }
        match next {
            Err(_) if to_begin.is_some_and(|to_begin| to_begin < left) => {
                Read::Lost("its weights are superseded and it has not begun".to_owned())
            }
            Err(_) => Read::Late,
            Ok(None) if self.events.is_whole() => Read::Whole,
            Ok(None) => Read::Lost("the stream ended within an event".to_owned()),
            Ok(Some(Err(error))) => Read::Lost(format!("the stream broke off: {error}")),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Err(_) => Read::Events(Bytes::new()),
                Ok(piece) => match self.events.push(&piece) {
                    Ok(events) => Read::Events(events),
                    Err(broken) => Read::Lost(format!("the stream is broken: {broken:?}")),
                },
            },
        }
    }

    fn start(mut self, first: Bytes) -> http::Response {
        self.source.chosen.began();
        let (sender, receiver) = mpsc::channel(PIECES);
        // The queue is empty and longer than one piece.
        let _ = sender.try_send(Ok(Frame::data(first)));
        let pieces = futures_util::stream::unfold(receiver, |mut receiver| async {
            let piece: Piece = receiver.recv().await?;
            Some((piece, receiver))
        });
        let body = http_body_util::StreamBody::new(pieces.boxed()).boxed_unsync();
        let response = serve::pass_on(&self.source.answer.head, body);
        tokio::spawn(self.run(sender));
        response
    }

    /// Passes events on until the end, the deadline, or until the caller goes. Leaving drops the
    /// connection to the upstream, which then stops working for nobody.
    async fn run(mut self, sender: mpsc::Sender<Piece>) {
        loop {
            let read = tokio::select! {
                read = self.read() => read,
                () = sender.closed() => return self.caller_gone(),
            };
            let failure = match read {
                Read::Events(bytes) if bytes.is_empty() => continue,
                Read::Events(bytes) => match self.pass(&sender, bytes).await {
                    true => continue,
                    false => return self.caller_gone(),
                },
                Read::Whole => return self.source.give_back(&self.entry),
                Read::Quiet => {
                    self.leave_quiet(&sender).await;
                    continue;
                }
                Read::Late => "no time is left".to_owned(),
                Read::Lost(reason) => {
                    self.entry.broke_off(&self.asked, &self.source.chosen, &reason);
                    match self.resume(&sender).await {
                        Ok(()) => continue,
                        Err(reason) => reason,
                    }
                }
            };
            log::info!(
                request = self.asked.id(), last_event = self.events.last().unwrap_or(0),
                held_ms = self.asked.started.elapsed().as_millis() as u64, reason = failure.as_str();
                "entry: stream cut"
            );
            self.entry.telemetry.count("entry.streams_cut", 1);
            // The connection is closed without the end of the body, so the part is not taken for
            // the whole.
            let _ = sender.send(Err(io::Error::other(failure))).await;
            return;
        }
    }

    /// Passes events on. Returns whether the caller is still there.
    async fn pass(&mut self, sender: &mpsc::Sender<Piece>, events: Bytes) -> bool {
        self.source.chosen.began();
        sender.send(Ok(Frame::data(events))).await.is_ok()
    }

    fn caller_gone(self) {
        log::info!(
            request = self.asked.id(), upstream = &*self.source.chosen.peer.instance,
            last_event = self.events.last().unwrap_or(0),
            held_ms = self.asked.started.elapsed().as_millis() as u64;
            "entry: left by its caller"
        );
        self.entry.telemetry.count("entry.callers_left", 1);
    }

    /// Goes on at another upstream behind the last event that was passed on.
    async fn resume(&mut self, sender: &mpsc::Sender<Piece>) -> Result<(), String> {
        if self.asked.route.retry_policy != document::RetryPolicy::Resume {
            return Err("the stream cannot be resumed".to_owned());
        }
        self.events.reconnect();
        loop {
            let next = self.entry.next(&self.asked, &mut self.progress);
            let chosen = next.map_err(|refusal| refusal.reason.to_owned())?;
            match self.go_on_at(chosen, sender).await {
                Some(Ok(source)) => {
                    self.source = source;
                    return Ok(());
                }
                Some(Err(())) => (),
                None => return Err("the caller left".to_owned()),
            }
        }
    }

    /// Leaves an upstream that has gone quiet, once another one goes on with the stream. Until then
    /// it may be heard again: no caller's answer ends because an upstream says nothing for a while.
    async fn leave_quiet(&mut self, sender: &mpsc::Sender<Piece>) {
        if self.asked.route.retry_policy != document::RetryPolicy::Resume {
            return;
        }
        let Ok(chosen) = self.entry.next(&self.asked, &mut self.progress) else {
            return;
        };
        if let Some(Ok(source)) = self.go_on_at(chosen, sender).await {
            self.events.reconnect();
            self.source = source;
        }
    }

    /// Asks an upstream for what is behind the last event that was passed on. None where the caller
    /// left meanwhile.
    async fn go_on_at(
        &mut self,
        chosen: chosen::Chosen,
        sender: &mpsc::Sender<Piece>,
    ) -> Option<Result<Source, ()>> {
        let exchange = self.entry.exchange(&self.asked, &chosen, self.events.last());
        let outcome = tokio::select! {
            outcome = exchange => outcome,
            () = sender.closed() => return None,
        };
        let settled = self.entry.settle(&self.asked, &chosen, outcome, &mut self.progress);
        let Some(answer) = settled.filter(|answer| answer.head.status.is_success()) else {
            return Some(Err(()));
        };
        log::info!(
            request = self.asked.id(), last_event = self.events.last().unwrap_or(0),
            upstream = &*chosen.peer.instance;
            "entry: stream resumed"
        );
        self.entry.telemetry.count("entry.streams_resumed", 1);
        Some(Ok(Source { chosen, answer: *answer }))
    }
}
