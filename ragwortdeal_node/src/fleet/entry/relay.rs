//! Relays a stream event by event, and resumes it at another upstream where one breaks off.

use std::{io, sync, time};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use ragwortdeal_core::document;
use tokio::sync::mpsc;

use super::{
    Entry, answer_memory, events, exchange, isolation, request::CallerRequest, serve,
    upstreams::selection,
};
use crate::http;

/// Pieces that may be queued for a slow caller. A full queue stops reading from the upstream.
const QUEUED_PIECES_MAX: usize = 16;

/// An event that is not complete counts as held memory from this size on.
const SMALL_EVENT_BYTES: usize = 16 << 10;

/// A piece of this size shows that the upstream works on a large event.
const ACTIVE_PIECE_BYTES: usize = 1 << 10;

type Piece = Result<Frame<Bytes>, io::Error>;

/// Result of one read.
enum Read {
    /// Complete events, or comments alone.
    Events(events::Completed),
    /// The end of the stream.
    End,
    /// The upstream broke off.
    Lost(exchange::Loss),
    /// The upstream fell silent. The data that it owes may still come.
    Silent,
    /// The request was isolated, or a part of its prompt before the first event.
    Withdrawn,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// An answer that is being read.
struct Source {
    selected: selection::Selected,
    answer: exchange::Answer,
}

/// A stream that is relayed to the caller.
struct StreamRelay {
    entry: sync::Arc<Entry>,
    request: sync::Arc<CallerRequest>,
    events: events::EventBuffer,
    /// Comments that came before the first event.
    comments: BytesMut,
    /// Memory of a large event that is not complete.
    reservation: answer_memory::Reservation,
    source: Source,
    progress: serve::Progress,
}

/// Starts to relay a stream once its first event has arrived: before that, another upstream can
/// still start over. None if the stream broke off before.
pub(super) async fn begin(
    entry: &sync::Arc<Entry>,
    request: &sync::Arc<CallerRequest>,
    selected: selection::Selected,
    answer: exchange::Answer,
    progress: &mut serve::Progress,
) -> Option<http::Response> {
    let events = events::EventBuffer::resume_after(request.last_event);
    let source = Source { selected, answer };
    let progress_so_far = std::mem::take(progress);
    let (entry, request) = (entry.clone(), request.clone());
    let mut relay = StreamRelay {
        reservation: entry.answer_memory.reservation(),
        entry,
        request,
        events,
        comments: BytesMut::new(),
        source,
        progress: progress_so_far,
    };
    let loss = loop {
        match relay.read_until_isolated().await {
            Read::Events(completed) => {
                relay.comments.extend_from_slice(&completed.bytes);
                if completed.has_events {
                    return Some(relay.start());
                }
            }
            Read::End if relay.source.answer.framed => return Some(relay.whole_without_events()),
            Read::End => {
                break Some(exchange::Loss::connection_end("no event before the connection ended"));
            }
            Read::Silent => {
                break Some(exchange::Loss::new("the upstream fell silent before its first event"));
            }
            Read::Lost(loss) => break Some(loss),
            Read::Withdrawn => {
                relay.entry.record_withdrawn(&relay.request, &relay.source.selected);
                break None;
            }
            Read::DeadlineExceeded => break None,
        }
    };
    if let Some(loss) = loss {
        let loss = loss.on(&relay.source.answer.connection);
        relay.entry.record_broken_answer(&relay.request, &relay.source.selected, &loss);
    }
    *progress = relay.progress;
    None
}

impl Source {
    fn return_connection(self, entry: &Entry) {
        let Self { selected, answer } = self;
        serve::return_connection(entry, &selected.peer, answer.connection, answer.keep_alive);
    }
}

impl StreamRelay {
    async fn read(&mut self) -> Read {
        let remaining = self.request.remaining();
        let to_start = self.source.selected.time_to_start();
        let bound = to_start.map_or(remaining, |to_start| to_start.min(remaining));
        let next = tokio::select! {
            next = tokio::time::timeout(bound, self.source.answer.next_frame()) => next,
            () = self.source.selected.stalled() => return Read::Silent,
        };
        match next {
            Err(_) if to_start.is_some_and(|to_start| to_start < remaining) => {
                let reason = "its weights are superseded and its first event has not come";
                Read::Lost(exchange::Loss::new(reason))
            }
            Err(_) => Read::DeadlineExceeded,
            Ok(None) if self.events.is_at_event_boundary() => Read::End,
            Ok(None) => {
                Read::Lost(exchange::Loss::connection_end("the stream ended within an event"))
            }
            Ok(Some(Err(error))) => {
                Read::Lost(exchange::Loss::of_error("the stream was cut", &error))
            }
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Err(_) => Read::Events(events::Completed::default()),
                Ok(piece) => self.read_piece(&piece),
            },
        }
    }

    fn read_piece(&mut self, piece: &[u8]) -> Read {
        let completed = match self.events.push(piece) {
            Ok(completed) => completed,
            Err(error) => {
                return Read::Lost(exchange::Loss::new(format!("invalid stream: {error:?}")));
            }
        };
        // Other bytes do not show that the upstream works on the request.
        if completed.has_events || piece.len() >= ACTIVE_PIECE_BYTES {
            self.source.selected.record_activity();
        }
        let pending_bytes = self.events.pending_bytes();
        if pending_bytes > SMALL_EVENT_BYTES && self.reservation.grow_to(pending_bytes).is_err() {
            return Read::Lost(exchange::Loss::new("answers take too much memory"));
        }
        Read::Events(completed)
    }

    /// Reads before the first event, when the engine has not begun to write.
    async fn read_until_isolated(&mut self) -> Read {
        let (entry, request) = (self.entry.clone(), self.request.clone());
        tokio::select! {
            read = self.read() => read,
            () = entry.isolation.becomes_isolated(&request) => Read::Withdrawn,
        }
    }

    /// Answers with the whole answer of an upstream that holds no event.
    fn whole_without_events(self) -> http::Response {
        let comments = self.comments.freeze();
        let response = serve::caller_response(&self.source.answer.head, http::full(comments));
        serve::record_whole(&self.entry, &self.request, &self.source.selected);
        self.source.return_connection(&self.entry);
        response
    }

    fn start(mut self) -> http::Response {
        let first = std::mem::take(&mut self.comments).freeze();
        self.source.selected.record_events();
        self.progress.last_event_at = Some(time::Instant::now());
        let (sender, receiver) = mpsc::channel(QUEUED_PIECES_MAX);
        // The queue is empty and holds more than one piece.
        let _ = sender.try_send(Ok(Frame::data(first)));
        let pieces = futures_util::stream::unfold(receiver, |mut receiver| async {
            let piece: Piece = receiver.recv().await?;
            Some((piece, receiver))
        });
        let body = http_body_util::StreamBody::new(pieces.boxed()).boxed_unsync();
        let response = serve::caller_response(&self.source.answer.head, body);
        tokio::spawn(self.run(sender));
        response
    }

    /// Relays events until the end, the deadline, or until the caller disconnects. Returning drops
    /// the connection to the upstream, which then stops work that nobody waits for.
    async fn run(mut self, sender: mpsc::Sender<Piece>) {
        let (entry, request) = (self.entry.clone(), self.request.clone());
        let isolated = entry.isolation.request_becomes_isolated(&request.fingerprint);
        tokio::pin!(isolated);
        loop {
            let read = tokio::select! {
                read = self.read() => read,
                () = &mut isolated => Read::Withdrawn,
                () = sender.closed() => return self.log_caller_left(),
            };
            let failure = match read {
                Read::Events(completed) if completed.bytes.is_empty() => continue,
                Read::Events(completed) => match self.forward(&sender, completed).await {
                    true => continue,
                    false => return self.log_caller_left(),
                },
                Read::End => return self.finish(),
                Read::Silent => {
                    self.leave_silent(&sender).await;
                    continue;
                }
                Read::Withdrawn => {
                    self.entry.record_withdrawn(&self.request, &self.source.selected);
                    isolation::WITHDRAWN.to_owned()
                }
                Read::DeadlineExceeded => "no time is left".to_owned(),
                Read::Lost(loss) => {
                    let loss = loss.on(&self.source.answer.connection);
                    self.entry.record_broken_answer(&self.request, &self.source.selected, &loss);
                    self.source.selected.end_copy();
                    match self.resume(&sender).await {
                        Ok(()) => continue,
                        Err(reason) => reason,
                    }
                }
            };
            log::info!(
                request = self.request.id(), last_event = self.events.last().unwrap_or(0),
                held_ms = self.request.started.elapsed().as_millis() as u64,
                reason = failure.as_str();
                "entry: stream cut"
            );
            self.entry.telemetry.count("entry.streams_cut", 1);
            self.entry.count_by_size("entry.streams_cut", &self.request);
            // The connection is closed without the end of the body, so that the caller cannot take
            // the part for the whole.
            let _ = sender.send(Err(io::Error::other(failure))).await;
            return;
        }
    }

    /// Forwards events. Returns whether the caller is still connected.
    async fn forward(
        &mut self,
        sender: &mpsc::Sender<Piece>,
        completed: events::Completed,
    ) -> bool {
        if completed.has_events {
            self.source.selected.record_events();
            self.progress.last_event_at = Some(time::Instant::now());
            self.record_proof_once();
        }
        sender.send(Ok(Frame::data(completed.bytes))).await.is_ok()
    }

    /// Records that the engine bears the parts of the prompt, once it has written for long enough.
    fn record_proof_once(&mut self) {
        let now_ms = self.entry.clock.now_ms();
        let selected = &mut self.source.selected;
        if !selected.proved && isolation::is_proved(selected.writing(now_ms)) {
            selected.proved = true;
            self.entry.isolation.record_proof(&self.request.parts, now_ms);
        }
    }

    /// Ends a stream that is whole.
    fn finish(self) {
        if self.source.answer.framed {
            serve::record_whole(&self.entry, &self.request, &self.source.selected);
        }
        if !self.source.selected.proved && self.source.answer.framed {
            let now_ms = self.entry.clock.now_ms();
            self.entry.isolation.record_proof(&self.request.parts, now_ms);
        }
        self.source.return_connection(&self.entry);
    }

    fn log_caller_left(self) {
        log::info!(
            request = self.request.id(), upstream = &*self.source.selected.peer.instance,
            last_event = self.events.last().unwrap_or(0),
            held_ms = self.request.started.elapsed().as_millis() as u64;
            "entry: left by its caller"
        );
        self.entry.telemetry.count("entry.callers_left", 1);
        self.entry.count_by_size("entry.callers_left", &self.request);
    }

    /// Resumes at another upstream after the last event that was forwarded.
    async fn resume(&mut self, sender: &mpsc::Sender<Piece>) -> Result<(), String> {
        if self.request.route.retry_policy != document::RetryPolicy::Resume {
            return Err("the stream cannot be resumed".to_owned());
        }
        self.events.discard_partial();
        loop {
            let next = self.entry.next_upstream(&self.request, &mut self.progress).await;
            let selected = next.map_err(|refusal| refusal.reason.to_owned())?;
            match self.resume_at(selected, sender).await {
                Some(Ok(source)) => {
                    self.source = source;
                    return Ok(());
                }
                Some(Err(())) => (),
                None => return Err("the caller left".to_owned()),
            }
        }
    }

    /// Leaves an upstream that fell silent once another one has resumed the stream. Until then it
    /// may recover: a stream is not cut because its upstream sends nothing for a while.
    async fn leave_silent(&mut self, sender: &mpsc::Sender<Piece>) {
        if self.request.route.retry_policy != document::RetryPolicy::Resume {
            return;
        }
        let next = self.entry.next_upstream(&self.request, &mut self.progress);
        let Ok(selected) = next.await else {
            return;
        };
        if let Some(Ok(source)) = self.resume_at(selected, sender).await {
            self.events.discard_partial();
            self.source = source;
        }
    }

    /// Requests the stream from an upstream after the last event that was forwarded. None if the
    /// caller disconnected meanwhile.
    async fn resume_at(
        &mut self,
        selected: selection::Selected,
        sender: &mpsc::Sender<Piece>,
    ) -> Option<Result<Source, ()>> {
        let exchange = self.entry.exchange(&self.request, &selected, self.events.last());
        let outcome = tokio::select! {
            outcome = exchange => outcome,
            () = sender.closed() => return None,
        };
        let answer =
            self.entry.record_outcome(&self.request, &selected, outcome, &mut self.progress);
        let Some(answer) = answer.filter(|answer| answer.head.status.is_success()) else {
            return Some(Err(()));
        };
        log::info!(
            request = self.request.id(), last_event = self.events.last().unwrap_or(0),
            upstream = &*selected.peer.instance;
            "entry: stream resumed"
        );
        self.entry.telemetry.count("entry.streams_resumed", 1);
        Some(Ok(Source { selected, answer: *answer }))
    }
}
