//! Serves one request: attempts, retries, refusals.

use std::{
    sync::{self, atomic},
    time,
};

use hyper::{header, http::response};
use ragwortdeal_core::{
    directory,
    dispatch::{bounds, gate, retry_after, size},
    document,
};

use super::{
    Entry, exchange, planned_stop, pool, relay, request,
    request::{CallerRequest, Refusal},
    upstreams::selection,
    whole_answer,
};
use crate::http;

/// Upstreams that are tried for one request, including those that could not be reached.
const UPSTREAMS_TRIED_MAX: usize = 4;

/// Answers a caller.
pub(super) async fn answer(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    let names = entry.dialect.headers();
    let Some(id) = request.headers.get(&names.request_id).cloned() else {
        return refused(&entry, None, &Refusal::new(400, "the request has no identifier"));
    };
    entry.telemetry.count("entry.requests", 1);
    let read = tokio::select! {
        read = entry.read_request(request, id.clone()) => read,
        () = entry.planned_stop.ended() => Err(planned_stop::PlannedStop::refusal().closing()),
    };
    let admitted = read.and_then(|request| entry.planned_stop.check(&request).map(|()| request));
    let mut response = match admitted {
        Ok(request) => serve(&entry, request).await,
        Err(refusal) => refused(&entry, Some(&id), &refusal),
    };
    if entry.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Answers with a refusal or failure of the entry itself.
fn refused(entry: &Entry, id: Option<&header::HeaderValue>, refusal: &Refusal) -> http::Response {
    let text = id.and_then(|id| id.to_str().ok()).unwrap_or("?");
    let document = entry.held_version.load(atomic::Ordering::Relaxed);
    let Refusal { status, reason, level, size, .. } = *refusal;
    let size_name = size.map_or("unknown", size::Size::name);
    match level {
        Some(level) => log::info!(
            request = text, status, reason, document, size = size_name,
            priority_level = level.number() as u64;
            "entry: refused: {reason}"
        ),
        None => log::info!(
            request = text, status, reason, document, size = size_name;
            "entry: refused: {reason}"
        ),
    }
    entry.telemetry.count("entry.refused", 1);
    if let Some(level) = level {
        entry.telemetry.count(&format!("entry.refused_level_{}", level.number()), 1);
    }
    if let Some(size) = size {
        entry.telemetry.count(&format!("entry.refused_{}", size.name()), 1);
    }
    let body = http::full(format!("{}\n", refusal.reason));
    let mut response = http::respond(refusal.status, "text/plain", body);
    if let Some(id) = id {
        response.headers_mut().insert(entry.dialect.headers().request_id.clone(), id.clone());
    }
    if refusal.closes {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Attempts made for a request so far.
#[derive(Default)]
pub(super) struct Progress {
    /// Upstreams that were tried.
    pub(super) tried: Vec<directory::Text>,
    /// Number of upstreams to which it was sent.
    pub(super) sent: u32,
    /// Whether it may have been executed.
    pub(super) may_have_run: bool,
    /// When the caller was last sent an event.
    pub(super) last_event_at: Option<time::Instant>,
}

/// A request that waits for the head or the first event of an answer. It is dropped when its caller
/// disconnects, which is logged here.
struct PendingRequest<'e> {
    entry: &'e Entry,
    request: sync::Arc<CallerRequest>,
    /// The upstream of the present attempt.
    upstream: Option<directory::Text>,
    finished: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        log::info!(
            request = self.request.id(), upstream = self.upstream.as_deref().unwrap_or_default(),
            held_ms = self.request.started.elapsed().as_millis() as u64;
            "entry: left by its caller before an answer"
        );
        self.entry.telemetry.count("entry.callers_left", 1);
        self.entry.count_by_size("entry.callers_left", &self.request);
    }
}

async fn serve(entry: &sync::Arc<Entry>, request: CallerRequest) -> http::Response {
    entry.count_by_size("entry.requests", &request);
    let request = sync::Arc::new(request);
    let mut pending =
        PendingRequest { entry, request: request.clone(), upstream: None, finished: false };
    let ended = tokio::select! {
        response = run_attempts(entry, &request, &mut pending) => Some(response),
        () = entry.planned_stop.ended() => None,
    };
    pending.finished = true;
    ended.unwrap_or_else(|| {
        let refusal = match pending.upstream {
            Some(_) => Refusal::new(504, "no answer came before the process stops"),
            None => planned_stop::PlannedStop::refusal(),
        };
        refused(entry, Some(&request.id), &refusal.of_request(&request))
    })
}

async fn run_attempts(
    entry: &sync::Arc<Entry>,
    request: &sync::Arc<CallerRequest>,
    pending: &mut PendingRequest<'_>,
) -> http::Response {
    let mut progress = Progress::default();
    loop {
        let selected = match entry.next_upstream(request, &mut progress).await {
            Ok(selected) => selected,
            Err(refusal) => {
                return refused(entry, Some(&request.id), &refusal.of_request(request));
            }
        };
        pending.upstream = Some(selected.peer.instance.clone());
        let outcome = entry.exchange(request, &selected, request.last_event).await;
        let Some(answer) = entry.record_outcome(request, &selected, outcome, &mut progress) else {
            continue;
        };
        let relayed = if request.route.streams && answer.head.status.is_success() {
            relay::begin(entry, request, selected, *answer, &mut progress).await
        } else {
            relay_whole(entry, request, &selected, *answer, &mut progress).await
        };
        if let Some(response) = relayed {
            return response;
        }
    }
}

impl Entry {
    /// Refuses a request that no upstream can take now.
    pub(super) fn refuse_outage(&self, request: &CallerRequest, reason: &'static str) -> Refusal {
        self.refuse_until_room(request, None, reason)
    }

    /// Refuses a request until an upstream that asked for less work takes some. Callers are spread,
    /// because it takes them one after the other.
    fn refuse_held_back(&self, request: &CallerRequest, retry_after_ms: u64) -> Refusal {
        let in_ms = retry_after_ms as f64;
        let room = retry_after::Room { in_ms, spread_ms: in_ms };
        self.refuse_until_room(request, Some(room), "all upstreams asked for less work")
    }

    /// Refuses a request until there is room for it, as far as it is known when.
    pub(super) fn refuse_until_room(
        &self,
        request: &CallerRequest,
        room: Option<retry_after::Room>,
        reason: &'static str,
    ) -> Refusal {
        let remaining_ms = request.remaining().as_millis() as u64;
        let draw = self.random_u64();
        let after_ms = match room {
            Some(room) => room.retry_after_ms(remaining_ms, draw),
            None => retry_after::unknown_ms(remaining_ms, draw),
        };
        Refusal::retry_after(503, reason, time::Duration::from_millis(after_ms))
    }

    /// Chooses the upstream for the next attempt, or refuses the request. Waits while it is not known
    /// whether an upstream ended under the last one.
    pub(super) async fn next_upstream(
        self: &sync::Arc<Self>,
        request: &CallerRequest,
        progress: &mut Progress,
    ) -> Result<selection::Selected, Refusal> {
        let copy = self.admit_copy(request, progress.may_have_run).await?;
        let mut selected = self.select_upstream(request, progress)?;
        selected.hold_copy(copy);
        Ok(selected)
    }

    fn select_upstream(
        self: &sync::Arc<Self>,
        request: &CallerRequest,
        progress: &mut Progress,
    ) -> Result<selection::Selected, Refusal> {
        let now_ms = self.clock.now_ms();
        let failed = |reason| match progress.may_have_run {
            true => Refusal::new(if request.remaining().is_zero() { 504 } else { 502 }, reason),
            false => self.refuse_outage(request, reason),
        };
        let repeatable = request.route.retry_policy != document::RetryPolicy::Never;
        if progress.may_have_run && !repeatable {
            return Err(failed("it may have run and must not run twice"));
        }
        if progress.sent >= request.route.attempts_max
            || progress.tried.len() >= UPSTREAMS_TRIED_MAX
        {
            return Err(failed("it has had its attempts"));
        }
        if request.remaining().is_zero() {
            return Err(failed("no time is left"));
        }
        if request.time(progress.last_event_at).first_event_ms <= 0.0 {
            return Err(failed("its caller would leave before it begins"));
        }
        let criteria = selection::Criteria {
            service: &request.service,
            models: request.models.as_deref(),
            residency: &request.residency,
            work: request.work(progress.sent > 0, progress.last_event_at),
            tried: &progress.tried,
            repeatable,
            last_attempt: progress.sent + 1 >= request.route.attempts_max,
        };
        let selected = self.choose(&criteria).map_err(|unavailable| match unavailable {
            _ if progress.may_have_run => failed("no other upstream takes it"),
            selection::Unavailable::NoneEligible { evacuated: false } => {
                self.refuse_outage(request, "no upstream takes work")
            }
            selection::Unavailable::NoneEligible { evacuated: true } => {
                self.refuse_outage(request, "no upstream outside evacuated zones takes work")
            }
            selection::Unavailable::OutsideAllowedRegions => {
                self.telemetry.count("entry.refused_outside_regions", 1);
                self.refuse_outage(request, "no upstream in the regions where it may be served")
            }
            selection::Unavailable::AllFull { room, bounds } => {
                if let (Some(work), Some(bounds)) = (&criteria.work, bounds) {
                    self.record_exceeded_bounds(request, work, &bounds);
                }
                self.refuse_until_room(request, room, "all upstreams are full")
            }
            selection::Unavailable::HeldBack { retry_after_ms } => {
                self.refuse_held_back(request, retry_after_ms)
            }
            selection::Unavailable::MoreUrgentFirst { room } => {
                self.refuse_until_room(request, room, "more urgent requests go first")
            }
            selection::Unavailable::AboveFairShare { room } => {
                self.refuse_until_room(request, room, "its account is above its share")
            }
        })?;
        if progress.sent == 0 {
            if progress.tried.is_empty() {
                self.upstreams().record_first_attempt(&request.service, &self.budget, now_ms);
            }
        } else if !self.try_retry(request, now_ms) {
            return Err(failed("the budget of repeats is used up"));
        }
        Ok(selected)
    }

    /// Logs which bounds kept a request from all engines, and counts them.
    fn record_exceeded_bounds(
        &self,
        request: &CallerRequest,
        work: &gate::Work<'_>,
        refused: &bounds::Refused,
    ) {
        let bounds::Refused { engines, with_slot, .. } = *refused;
        log::info!(
            request = request.id(), engines, with_slot, by_queue = refused.by_queue,
            by_pause = refused.by_pause, by_first_event = refused.by_first_event,
            by_answer = refused.by_answer, by_superseded = refused.by_superseded,
            prefill_ms = work.prefill_ms as u64, answer_tokens_max = work.answer_tokens as u64,
            first_event_within_ms = work.time.first_event_ms as u64,
            answer_within_ms = work.time.answer_ms as u64,
            pace_percent = (refused.mean_pace * 100.0) as u64, error_ms = refused.error_ms as u64;
            "entry: exceeds a bound at all engines"
        );
        let counted = [
            ("queue", refused.by_queue),
            ("pause", refused.by_pause),
            ("first_event", refused.by_first_event),
            ("answer", refused.by_answer),
            ("superseded", refused.by_superseded),
        ];
        for (bound, at_engines) in counted {
            if at_engines > 0 {
                self.telemetry.count(&format!("entry.refused_by_{bound}"), 1);
            }
        }
        if with_slot > 0 {
            self.telemetry.count("entry.refused_with_free_slots", 1);
        }
    }

    /// Counts a request to engines by its size.
    pub(super) fn count_by_size(&self, counter: &str, request: &CallerRequest) {
        if let Some(size) = request.size() {
            self.telemetry.count(&format!("{counter}_{}", size.name()), 1);
        }
    }

    /// Asks the retry budget for one more attempt.
    fn try_retry(&self, request: &CallerRequest, now_ms: u64) -> bool {
        let service = &request.service;
        let decision = self.upstreams().try_retry(service, &self.budget, now_ms);
        log::info!(
            request = request.id(), service = &**service, granted = decision.is_granted,
            saved = decision.saved, saved_max = decision.saved_max, entries = decision.entries.unwrap_or_default() as u64,
            running_ms = now_ms;
            "entry: asked the budget of repeats"
        );
        let counter = match decision.is_granted {
            true => "entry.repeats_granted",
            false => "entry.repeats_refused",
        };
        self.telemetry.count(counter, 1);
        decision.is_granted
    }
}

/// Buffers an answer and forwards it. None if it was cut and the request may be retried.
async fn relay_whole(
    entry: &sync::Arc<Entry>,
    request: &sync::Arc<CallerRequest>,
    selected: &selection::Selected,
    mut answer: exchange::Answer,
    progress: &mut Progress,
) -> Option<http::Response> {
    let retryable = request.route.retry_policy != document::RetryPolicy::Never
        && progress.sent < request.route.attempts_max
        && answer.head.status.is_server_error();
    let bytes = match entry.read_whole(request, selected, &mut answer).await {
        Ok(bytes) => bytes,
        Err(whole_answer::Failure::Lost(loss)) => {
            entry.record_broken_answer(request, selected, &loss);
            return None;
        }
        Err(whole_answer::Failure::Withdrawn) => {
            entry.record_withdrawn(request, selected);
            return None;
        }
        Err(whole_answer::Failure::NoMemory) => {
            let refusal = Refusal::new(502, "answers take too much memory");
            return Some(refused(entry, Some(&request.id), &refusal.of_request(request)));
        }
    };
    record_whole(entry, request, selected);
    let exchange::Answer { head, connection, keep_alive, .. } = answer;
    return_connection(entry, &selected.peer, connection, keep_alive);
    if retryable {
        log::info!(
            request = request.id(), upstream = &*selected.peer.instance,
            status = head.status.as_u16();
            "entry: failed at its upstream, trying another one"
        );
        entry.upstreams().record_failure(&selected.peer.instance, entry.clock.now_ms());
        if let Some(other) = try_other_upstream(entry, request, progress).await {
            return Some(other);
        }
    }
    Some(caller_response(&head, http::full(bytes)))
}

/// Records an answer that is whole.
pub(super) fn record_whole(entry: &Entry, request: &CallerRequest, selected: &selection::Selected) {
    selected.record_success();
    entry.isolation.record_answered(request, entry.clock.now_ms());
}

/// Tries one other upstream after the first one answered with a failure. None if that gives nothing
/// better, so that the first answer stands.
async fn try_other_upstream(
    entry: &sync::Arc<Entry>,
    request: &sync::Arc<CallerRequest>,
    progress: &mut Progress,
) -> Option<http::Response> {
    let selected = entry.next_upstream(request, progress).await.ok()?;
    let outcome = entry.exchange(request, &selected, request.last_event).await;
    let answer = entry.record_outcome(request, &selected, outcome, progress)?;
    if !answer.head.status.is_success() {
        return None;
    }
    if request.route.streams {
        return relay::begin(entry, request, selected, *answer, progress).await;
    }
    let mut answer = *answer;
    let bytes = match entry.read_whole(request, &selected, &mut answer).await {
        Ok(bytes) => bytes,
        Err(failure) => {
            if let whole_answer::Failure::Lost(loss) = failure {
                entry.record_broken_answer(request, &selected, &loss);
            }
            return None;
        }
    };
    record_whole(entry, request, &selected);
    let exchange::Answer { head, connection, keep_alive, .. } = answer;
    return_connection(entry, &selected.peer, connection, keep_alive);
    Some(caller_response(&head, http::full(bytes)))
}

/// The answer as it is forwarded to the caller.
pub(super) fn caller_response(head: &response::Parts, body: http::Body) -> http::Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = request::forwarded(&head.headers);
    response
}

/// Returns a connection to the pool after a complete answer, if the upstream keeps it open.
pub(super) fn return_connection(
    entry: &Entry,
    peer: &pool::Peer,
    connection: pool::Connection,
    keep_alive: Option<time::Duration>,
) {
    if let Some(keep_alive) = keep_alive {
        entry.pool.put(peer, connection, keep_alive);
    }
}
