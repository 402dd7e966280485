//! The agent's part in operations that may not be repeated: the last check before a call reaches
//! the upstream, and the memory that lets entries ask what became of it.

mod offer;

use std::{collections, sync, time};

use ragwortdeal_core::claims::{answer, attempt as core_attempt, key, registry};
use ragwortdeal_wire::operator as wire;
use tokio::sync::oneshot;

use super::{Agent, calls};
use crate::{attempt, clock, http};

pub(super) use offer::offer;

/// Longest time an upstream may take. The mainframe behind a ledger may take minutes; entries tell
/// their callers "unknown" earlier, and the answer is recorded when it comes.
const ANSWER_MS: u64 = 600_000;

/// Largest answer of an operation that is passed on.
const ANSWER_MAX_BYTES: usize = 1 << 20;

/// Largest request of an operation.
const REQUEST_MAX_BYTES: usize = 4 << 20;

/// Longest time the entry may take to send the request.
const REQUEST_MS: u64 = 10_000;

/// How often a planned stop looks whether all attempts are settled.
const SETTLE_POLL_MS: u64 = 50;

/// When the upstream answered, for answers that nobody has recorded yet.
type Finished = collections::BTreeMap<core_attempt::AttemptId, (key::OperationId, time::Instant)>;

/// Attempts at operations that this life of the agent knows of.
#[derive(Debug)]
pub(super) struct Attempts {
    guard: sync::Mutex<registry::AttemptRegistry>,
    finished: sync::Mutex<Finished>,
    clock: clock::Clock,
}

impl Attempts {
    /// Begins with an empty memory in the given life of the agent.
    pub(super) fn new(incarnation: u64) -> Self {
        let incarnation = core_attempt::Incarnation(incarnation);
        Self {
            guard: sync::Mutex::new(registry::AttemptRegistry::new(
                incarnation,
                registry::RegistryLimits::default(),
            )),
            finished: sync::Mutex::default(),
            clock: clock::Clock::start(),
        }
    }

    /// Attempts that a planned stop waits for: the upstream works on them, or their answers have
    /// not been recorded.
    pub(super) fn unsettled(&self) -> usize {
        let guard = self.guard.lock().expect("no panic under lock");
        guard.running() + guard.unrecorded().count()
    }

    fn start(&self, addressed: &attempt::Addressed) -> Result<(), registry::StartRefusal> {
        let mut guard = self.guard.lock().expect("no panic under lock");
        guard.start(&addressed.attempt, addressed.incarnation, self.clock.now_ms())
    }

    /// Notes what came of a started attempt, and returns it with the whole answer.
    fn settle(
        &self,
        addressed: &attempt::Addressed,
        result: Result<answer::Answer, http::HttpError>,
    ) -> registry::AttemptStatus {
        let id = &addressed.attempt;
        let mut guard = self.guard.lock().expect("no panic under lock");
        match result {
            Ok(answer) => {
                guard.finish(id, answer.clone());
                let mut finished = self.finished.lock().expect("no panic under lock");
                finished.insert(id.clone(), (addressed.operation, time::Instant::now()));
                registry::AttemptStatus::Finished(answer)
            }
            Err(http::HttpError::NotSent { .. }) => {
                guard.mark_not_forwarded(id);
                registry::AttemptStatus::NeverStarts
            }
            Err(error) => {
                log::warn!("guard: attempt {id}: {error}");
                guard.mark_lost(id);
                registry::AttemptStatus::Lost
            }
        }
    }

    fn acknowledge(&self, id: &core_attempt::AttemptId) {
        self.guard.lock().expect("no panic under lock").acknowledge(id);
        self.finished.lock().expect("no panic under lock").remove(id);
    }

    fn answer(
        &self,
        question: attempt::Question,
        addressed: &attempt::Addressed,
    ) -> registry::AttemptStatus {
        let (id, incarnation) = (&addressed.attempt, addressed.incarnation);
        if question == attempt::Question::Acknowledge {
            self.acknowledge(id);
        }
        let mut guard = self.guard.lock().expect("no panic under lock");
        match question {
            attempt::Question::Promise => guard.promise(id, incarnation, self.clock.now_ms()),
            _ => guard.inspect(id, incarnation),
        }
    }
}

/// Waits until no attempt is under way and no answer is left unrecorded. Whatever this process still
/// knows when it ends is in doubt for good.
pub(super) async fn settled(agent: &Agent, grace_ms: u64) {
    let deadline = tokio::time::Instant::now() + time::Duration::from_millis(grace_ms);
    while agent.attempts.unsettled() > 0 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(time::Duration::from_millis(SETTLE_POLL_MS)).await;
    }
    let left = agent.attempts.unsettled();
    if left > 0 {
        log::warn!("guard: stopping with {left} attempts unsettled");
    }
}

/// Answers a question about an attempt.
pub(super) async fn ask(agent: sync::Arc<Agent>, request: http::Request) -> http::Response {
    if !calls::is_own_process(&agent, &request) {
        return calls::refuse(&agent, http::Kind::Unauthorized, "wrong credential");
    }
    let question = attempt::Question::read(&request.headers);
    let (Some(question), Some(addressed)) = (question, attempt::Addressed::read(&request.headers))
    else {
        return calls::refuse(&agent, http::Kind::BadRequest, "no question about an attempt");
    };
    cbor(&agent.attempts.answer(question, &addressed))
}

/// Passes the call of an attempt on, at most once.
pub(super) async fn call(agent: sync::Arc<Agent>, request: http::Request) -> http::Response {
    let Some(addressed) = attempt::Addressed::read(&request.headers) else {
        return cbor(&attempt::Report::Refused(registry::StartRefusal::Unacceptable));
    };
    let bounds = request.body_bounds(REQUEST_MAX_BYTES, REQUEST_MS);
    let http::Request { method, uri, headers, body, client, inbound } = request;
    // The whole request is read before the attempt starts, so that a link that breaks in the
    // middle leaves an attempt that did not run rather than half a request at the upstream.
    let Ok(body) = http::read_request_body(body, &bounds, &inbound).await else {
        return cbor(&attempt::Report::Refused(registry::StartRefusal::Unacceptable));
    };
    if let Err(refusal) = agent.attempts.start(&addressed) {
        log::info!("guard: attempt {} refused: {refusal:?}", addressed.attempt);
        return cbor(&attempt::Report::Refused(refusal));
    }
    let request = http::Request { method, uri, headers, body: http::full(body), client, inbound };
    let (sender, receiver) = oneshot::channel();
    // The upstream's answer is awaited whether or not the entry still does.
    tokio::spawn(async move {
        let knowledge = pass_on(&agent, &addressed, request).await;
        // The entry may be gone; the answer is offered to others then.
        let _ = sender.send(knowledge);
    });
    match receiver.await {
        Ok(knowledge) => cbor(&attempt::Report::Knows(knowledge)),
        Err(_) => {
            let detail = "the attempt's task ended";
            http::answer(&http::problem(http::Kind::InDoubt, wire::Ran::Unknown, detail))
        }
    }
}

async fn pass_on(
    agent: &sync::Arc<Agent>,
    addressed: &attempt::Addressed,
    request: http::Request,
) -> registry::AttemptStatus {
    let entry = request.header(http::ENTRY).unwrap_or_default();
    let _in_progress = calls::InProgress::start(agent.clone(), None, entry);
    let peer = agent.settings.upstream.address.to_string();
    let mut forwarded = calls::forward(&peer, request);
    for name in attempt::HEADERS {
        forwarded.headers_mut().remove(name);
    }
    let step = "call upstream";
    let fetched = agent.operations.fetch(step, &peer, forwarded, ANSWER_MAX_BYTES, ANSWER_MS).await;
    agent.attempts.settle(addressed, fetched.map(whole_answer))
}

fn whole_answer((head, body): (hyper::http::response::Parts, bytes::Bytes)) -> answer::Answer {
    let content_type = head.headers.get("content-type").and_then(|value| value.to_str().ok());
    answer::Answer::new(head.status.as_u16(), content_type, &body)
}

fn cbor<T: serde::Serialize>(value: &T) -> http::Response {
    http::respond(200, attempt::CBOR, http::full(attempt::encode(value)))
}
