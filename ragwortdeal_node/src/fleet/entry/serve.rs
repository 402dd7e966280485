//! Serves one request: attempts, repeats, refusals.

use std::{
    sync::{self, atomic},
    time,
};

use http_body_util::BodyExt as _;
use hyper::{header, http::response};
use ragwortdeal_core::{directory, document};

use super::{
    Entry,
    exchange::{self, Outcome},
    health, pool, relay, request,
    request::{Asked, Refusal},
    upstreams::chosen,
};
use crate::http;

/// Upstreams that are tried for one request, those that could not be reached included.
const TRIES_MAX: usize = 4;

/// Largest answer that is read as a whole before it is passed on.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// After how long a caller comes back at the earliest where no upstream takes work. It comes back
/// once, late in any case, and outages last for a second or two.
const AFTER_NONE_MIN_MS: u64 = 1_200;

/// Spread of these returns.
const AFTER_NONE_SPREAD_MS: u64 = 800;

/// Answers a caller.
pub(super) async fn answer(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    let names = entry.spoken.headers();
    let Some(id) = request.headers.get(&names.request_id).cloned() else {
        return refused(&entry, None, &Refusal::new(400, "the request has no identifier"));
    };
    entry.telemetry.count("entry.requests", 1);
    let mut response = match entry.read_request(request, id.clone()).await {
        Ok(asked) => serve(&entry, asked).await,
        Err(refusal) => refused(&entry, Some(&id), &refusal),
    };
    if entry.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Answers with a refusal or failure of the entry's own.
fn refused(entry: &Entry, id: Option<&header::HeaderValue>, refusal: &Refusal) -> http::Response {
    let text = id.and_then(|id| id.to_str().ok()).unwrap_or("?");
    log::info!(
        request = text, status = refusal.status, reason = refusal.reason,
        document = entry.held_version.load(atomic::Ordering::Relaxed);
        "entry: refused: {}", refusal.reason
    );
    entry.telemetry.count("entry.refused", 1);
    let body = http::full(format!("{}\n", refusal.reason));
    let mut response = http::respond(refusal.status, "text/plain", body);
    if let Some(id) = id {
        response.headers_mut().insert(entry.spoken.headers().request_id.clone(), id.clone());
    }
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// How far a request got.
#[derive(Default)]
pub(super) struct Progress {
    /// Upstreams that were tried.
    pub(super) tried: Vec<directory::Text>,
    /// Upstreams to which it was sent.
    pub(super) sent: u32,
    /// Whether it may have run.
    pub(super) may_have_run: bool,
}

/// A request that waits for the head or the first event of an answer. It is dropped where it waits
/// when its caller leaves, which is noted here.
struct Waiting<'e> {
    entry: &'e Entry,
    asked: sync::Arc<Asked>,
    /// Where it waits.
    upstream: Option<directory::Text>,
    over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        log::info!(
            request = self.asked.id(), upstream = self.upstream.as_deref().unwrap_or_default(),
            held_ms = self.asked.started.elapsed().as_millis() as u64;
            "entry: left by its caller before an answer"
        );
        self.entry.telemetry.count("entry.callers_left", 1);
    }
}

async fn serve(entry: &sync::Arc<Entry>, asked: Asked) -> http::Response {
    let asked = sync::Arc::new(asked);
    let mut waiting = Waiting { entry, asked: asked.clone(), upstream: None, over: false };
    let response = attempts(entry, &asked, &mut waiting).await;
    waiting.over = true;
    response
}

async fn attempts(
    entry: &sync::Arc<Entry>,
    asked: &sync::Arc<Asked>,
    waiting: &mut Waiting<'_>,
) -> http::Response {
    let mut progress = Progress::default();
    loop {
        let chosen = match entry.next(asked, &mut progress) {
            Ok(chosen) => chosen,
            Err(refusal) => return refused(entry, Some(&asked.id), &refusal),
        };
        if progress.may_have_run && asked.is_left_before(chosen.forecast_ms.unwrap_or(0.0)) {
            let reason = "its caller would leave before it begins";
            return refused(entry, Some(&asked.id), &Refusal::new(502, reason));
        }
        waiting.upstream = Some(chosen.peer.instance.clone());
        let outcome = entry.exchange(asked, &chosen, asked.last_event).await;
        let Some(answer) = entry.settle(asked, &chosen, outcome, &mut progress) else {
            continue;
        };
        let relayed = if asked.route.streams && answer.head.status.is_success() {
            relay::begin(entry, asked, chosen, *answer, &mut progress).await
        } else {
            whole(entry, asked, &chosen, *answer, &mut progress).await
        };
        if let Some(response) = relayed {
            return response;
        }
    }
}

impl Entry {
    /// Refuses a request that nobody can take now.
    fn after_outage(&self, reason: &'static str) -> Refusal {
        let after_ms = AFTER_NONE_MIN_MS + self.draw() % AFTER_NONE_SPREAD_MS;
        Refusal::later(503, reason, time::Duration::from_millis(after_ms))
    }

    /// Refuses a request that may come back once more.
    fn come_back(&self, asked: &Asked, reason: &'static str) -> Refusal {
        let after_ms = asked.patience.retry_after_ms(self.draw());
        Refusal::later(503, reason, time::Duration::from_millis(after_ms))
    }

    /// Chooses the upstream for the next attempt, or says that there is none.
    pub(super) fn next(
        self: &sync::Arc<Self>,
        asked: &Asked,
        progress: &mut Progress,
    ) -> Result<chosen::Chosen, Refusal> {
        let now_ms = self.clock.now_ms();
        let failed = |reason| match progress.may_have_run {
            true => Refusal::new(if asked.left().is_zero() { 504 } else { 502 }, reason),
            false => self.after_outage(reason),
        };
        let repeatable = asked.route.retry_policy != document::RetryPolicy::Never;
        if progress.may_have_run && !repeatable {
            return Err(failed("it may have run and must not run twice"));
        }
        if progress.sent >= asked.route.attempts_max || progress.tried.len() >= TRIES_MAX {
            return Err(failed("it has had its attempts"));
        }
        if asked.left().is_zero() {
            return Err(failed("no time is left"));
        }
        let wanted = chosen::Wanted {
            service: &asked.service,
            models: asked.models.as_deref(),
            work: asked.work(progress.sent > 0),
            tried: &progress.tried,
            repeatable,
        };
        let chosen = self.choose(&wanted).map_err(|unavailable| match unavailable {
            _ if progress.may_have_run => failed("no other upstream takes it"),
            chosen::Unavailable::None => self.after_outage("no upstream takes work"),
            chosen::Unavailable::Full => self.come_back(asked, "all upstreams are full"),
            chosen::Unavailable::StandsBack => {
                self.come_back(asked, "it would be late and others would wait for it")
            }
        })?;
        let mut fleet = self.fleet();
        if progress.sent == 0 {
            if progress.tried.is_empty() {
                fleet.first(&asked.service, &self.budget, now_ms);
            }
        } else if !fleet.repeat(&asked.service, &self.budget, now_ms) {
            drop(fleet);
            return Err(failed("the budget of repeats is used up"));
        }
        Ok(chosen)
    }

    /// Notes how an attempt ended. Gives the answer where there is one.
    pub(super) fn settle(
        &self,
        asked: &Asked,
        chosen: &chosen::Chosen,
        outcome: Outcome,
        progress: &mut Progress,
    ) -> Option<Box<exchange::Answer>> {
        let now_ms = self.clock.now_ms();
        let instance = &chosen.peer.instance;
        let names = self.spoken.headers();
        progress.tried.push(instance.clone());
        let held_ms = asked.started.elapsed().as_millis() as u64;
        match outcome {
            Outcome::NotSent(reason) => {
                log::info!(
                    request = asked.id(), upstream = &**instance, held_ms, reason:%;
                    "entry: not sent"
                );
                self.telemetry.count("entry.not_sent", 1);
                self.fleet().failed(instance, now_ms);
                None
            }
            Outcome::NotRun(head) => {
                log::info!(
                    request = asked.id(), upstream = &**instance, held_ms,
                    status = head.status.as_u16();
                    "entry: not run by its upstream"
                );
                self.telemetry.count("entry.not_run", 1);
                progress.sent += 1;
                let other = head.headers.get(&names.instance);
                let other = other.is_some_and(|it| it.as_bytes() != instance.as_bytes());
                match head.status.as_u16() {
                    421 if other => self.fleet().displaced(instance, now_ms),
                    421 => self.fleet().failed(instance, now_ms),
                    _ => self.fleet().shed(instance, now_ms),
                }
                None
            }
            Outcome::Lost(reason) => {
                log::info!(
                    request = asked.id(), upstream = &**instance, held_ms, reason:%;
                    "entry: lost, it may have run"
                );
                self.telemetry.count("entry.lost", 1);
                progress.sent += 1;
                progress.may_have_run = true;
                self.fleet().failed(instance, now_ms);
                None
            }
            Outcome::Answer(answer) => {
                progress.sent += 1;
                progress.may_have_run = true;
                self.telemetry.took("entry.head_ms", held_ms);
                log::info!(
                    request = asked.id(), upstream = &**instance, route = &*asked.route.name,
                    forecast_ms = chosen.forecast_ms.map_or(0, |ms| ms as u64),
                    took_ms = answer.took.as_millis() as u64, open = chosen.seen.open,
                    elsewhere = chosen.seen.peer_open as u64,
                    attempt = progress.sent, version = chosen.version.unwrap_or(0),
                    superseded_ms = chosen.superseded_ms(), held_ms,
                    status = answer.head.status.as_u16();
                    "entry: answered by its upstream"
                );
                let load = answer.head.headers.get(&names.load);
                let load = load.and_then(|value| value.to_str().ok());
                let load = load.and_then(|value| self.spoken.load(value));
                let answered = health::Answered {
                    load,
                    took_ms: answer.took.as_millis() as u64,
                    forecast_ms: chosen.forecast_ms,
                };
                self.fleet().answered(instance, &answered, now_ms);
                Some(answer)
            }
        }
    }
}

/// Reads an answer as a whole and passes it on. None where it broke off and may be asked for again.
async fn whole(
    entry: &sync::Arc<Entry>,
    asked: &sync::Arc<Asked>,
    chosen: &chosen::Chosen,
    answer: exchange::Answer,
    progress: &mut Progress,
) -> Option<http::Response> {
    let exchange::Answer { head, body, connection, keep, .. } = answer;
    let again = asked.route.retry_policy != document::RetryPolicy::Never
        && progress.sent < asked.route.attempts_max
        && head.status.is_server_error();
    let limited = http_body_util::Limited::new(body, ANSWER_MAX_BYTES);
    let read = tokio::time::timeout(asked.left(), limited.collect()).await;
    let bytes = match read {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => {
            let reason = format!("the answer broke off: {error}");
            entry.broke_off(asked, chosen, &reason);
            return None;
        }
        Err(_) => {
            entry.broke_off(asked, chosen, "the answer did not end in time");
            return None;
        }
    };
    give_back(entry, &chosen.peer, connection, keep);
    if again {
        log::info!(
            request = asked.id(), upstream = &*chosen.peer.instance, status = head.status.as_u16();
            "entry: failed at its upstream, another one is asked"
        );
        entry.fleet().failed(&chosen.peer.instance, entry.clock.now_ms());
        if let Some(other) = another(entry, asked, progress).await {
            return Some(other);
        }
    }
    Some(pass_on(&head, http::full(bytes)))
}

/// Asks one other upstream after a failure that the first one answered with. None where that
/// brings nothing better, so that the first answer stands.
async fn another(
    entry: &sync::Arc<Entry>,
    asked: &sync::Arc<Asked>,
    progress: &mut Progress,
) -> Option<http::Response> {
    let chosen = entry.next(asked, progress).ok()?;
    let outcome = entry.exchange(asked, &chosen, asked.last_event).await;
    let answer = entry.settle(asked, &chosen, outcome, progress)?;
    if !answer.head.status.is_success() {
        return None;
    }
    if asked.route.streams {
        return relay::begin(entry, asked, chosen, *answer, progress).await;
    }
    let exchange::Answer { head, body, connection, keep, .. } = *answer;
    let limited = http_body_util::Limited::new(body, ANSWER_MAX_BYTES);
    let read = tokio::time::timeout(asked.left(), limited.collect()).await;
    let bytes = read.ok()?.ok()?.to_bytes();
    give_back(entry, &chosen.peer, connection, keep);
    Some(pass_on(&head, http::full(bytes)))
}

impl Entry {
    /// Notes that an upstream broke an answer off.
    pub(super) fn broke_off(&self, asked: &Asked, chosen: &chosen::Chosen, reason: &str) {
        let instance = &chosen.peer.instance;
        log::info!(
            request = asked.id(), upstream = &**instance, reason;
            "entry: the answer broke off"
        );
        self.telemetry.count("entry.broke_off", 1);
        self.fleet().failed(instance, self.clock.now_ms());
    }
}

/// The answer as the caller gets it.
pub(super) fn pass_on(head: &response::Parts, body: http::Body) -> http::Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = request::forwarded(&head.headers);
    response
}

/// Keeps a connection after a whole answer, where its upstream does.
pub(super) fn give_back(
    entry: &Entry,
    peer: &pool::Peer,
    connection: pool::Connection,
    keep: Option<time::Duration>,
) {
    if let Some(keep) = keep {
        entry.pool.put(peer, connection, keep);
    }
}
