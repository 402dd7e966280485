//! Carries out what an operation decides: proposes to the voters, calls and asks agents.

use std::{collections, sync, time};

use ragwortdeal_core::{
    claims::{attempt as core_attempt, key, operation, registry, state},
    command,
};
use tokio::sync::oneshot;

use super::{Call, report_conflict};
use crate::{
    attempt,
    entry::{Entry, calls},
    http,
};

/// Longest time the agent may take to answer; the mainframe behind a ledger may take minutes.
const ANSWER_MS: u64 = 600_000;

/// Longest time the agent may take to answer a question.
const QUESTION_MS: u64 = 2_000;

/// Longest time to connect to an agent for a question.
const CONNECT_MS: u64 = 1_000;

/// Longest time an operation is followed. Its claim is open to others after that.
const FOLLOW: time::Duration = time::Duration::from_secs(15 * 60);

/// What is sent if the claim is granted.
pub(super) struct Sending {
    pub(super) call: sync::Arc<Call>,
    pub(super) body: bytes::Bytes,
    pub(super) chosen: calls::Chosen,
}

/// Drives an operation in a task of its own, because it goes on when its caller is gone: a call
/// that was sent must have its answer recorded for the resend.
pub(super) fn start(
    entry: &sync::Arc<Entry>,
    id: key::OperationId,
    sending: Option<Sending>,
    operation: operation::Operation,
    first: Vec<operation::Action>,
) -> oneshot::Receiver<operation::Reply> {
    let (reply, receiver) = oneshot::channel();
    let driver = Driver { entry: entry.clone(), id, sending, operation, reply: Some(reply) };
    tokio::spawn(async move {
        if tokio::time::timeout(FOLLOW, driver.run(first)).await.is_err() {
            log::warn!("operations: gave up following operation={id}");
        }
    });
    receiver
}

struct Driver {
    entry: sync::Arc<Entry>,
    id: key::OperationId,
    sending: Option<Sending>,
    operation: operation::Operation,
    reply: Option<oneshot::Sender<operation::Reply>>,
}

impl Driver {
    async fn run(mut self, first: Vec<operation::Action>) {
        let mut actions = collections::VecDeque::from(first);
        while let Some(action) = actions.pop_front() {
            if let Some(event) = self.act(action).await {
                actions.extend(self.operation.handle(event));
            }
        }
    }

    async fn act(&mut self, action: operation::Action) -> Option<operation::Event> {
        match action {
            operation::Action::Propose(command) => Some(self.propose(command).await),
            operation::Action::Send { attempt, upstream } => {
                Some(self.send(attempt, &upstream).await)
            }
            operation::Action::QueryAttempt { attempt, upstream, promise } => {
                let question = match promise {
                    true => attempt::Question::Promise,
                    false => attempt::Question::Inspect,
                };
                let knowledge = self.ask(question, attempt, &upstream).await;
                Some(match knowledge {
                    Some(knowledge) => operation::Event::AttemptStatus(knowledge),
                    None => operation::Event::AgentUnreachable,
                })
            }
            operation::Action::Acknowledge { attempt, upstream } => {
                // A lost acknowledgement is made good when the agent offers the answer.
                self.ask(attempt::Question::Acknowledge, attempt, &upstream).await;
                None
            }
            operation::Action::Wait { pause_ms } => {
                tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
                Some(operation::Event::WaitElapsed)
            }
            operation::Action::Reply(reply) => {
                if let Some(sender) = self.reply.take() {
                    // The caller may be gone; a resend finds the outcome in the log.
                    let _ = sender.send(reply);
                }
                None
            }
        }
    }

    async fn propose(&self, mut command: state::Command) -> operation::Event {
        let mut recorded = None;
        if let state::Command::Record { attempt, answer, .. } = &mut command {
            let max_bytes = self.entry.settings.limits.operation_answer_max_bytes;
            *answer = answer.clone().bounded(max_bytes);
            recorded = Some(attempt.clone());
        }
        let Some(outcome) = self.entry.propose_operation(command).await else {
            return operation::Event::NotApplied;
        };
        if let (Some(attempt), state::Outcome::Conflict(standing)) = (recorded, &outcome) {
            report_conflict(self.id, &attempt, standing);
        }
        operation::Event::Applied(outcome)
    }

    /// Sends the call. The body is given away, so that no call can be sent twice.
    async fn send(
        &mut self,
        id: core_attempt::AttemptId,
        upstream: &core_attempt::Upstream,
    ) -> operation::Event {
        let Some(Sending { call, body, chosen }) = self.sending.take() else {
            return operation::Event::NotSent;
        };
        let (method, path) = (call.method.as_str(), call.path.as_str());
        let mut request = self.entry.to_agent(&chosen, method, path, &call.id, body);
        Entry::trace(&mut request, call.traceparent.as_deref());
        let headers = request.headers_mut();
        let texts = [("idempotency-key", &call.key), ("content-type", &call.content_type)];
        for (name, text) in texts {
            if let Some(value) = text.as_ref().and_then(|text| text.parse().ok()) {
                headers.insert(name, value);
            }
        }
        self.addressed(id, upstream).write(headers);
        let http = &self.entry.http;
        let max_bytes = attempt::ANSWER_MAX_BYTES;
        let step = "call agent";
        let fetched = http.fetch(step, &chosen.address, request, max_bytes, ANSWER_MS).await;
        event_of(fetched)
    }

    /// Asks over a new connection: the one that the call went over may be silent for good while
    /// new ones work.
    async fn ask(
        &self,
        question: attempt::Question,
        id: core_attempt::AttemptId,
        upstream: &core_attempt::Upstream,
    ) -> Option<registry::AttemptStatus> {
        let address = &self.entry.announced(&upstream.instance)?.call_address;
        let mut request =
            hyper::Request::post(format!("http://{address}{}", attempt::QUESTIONS_PATH))
                .header("authorization", self.entry.credential.header_value())
                .body(http::full(bytes::Bytes::new()))
                .ok()?;
        self.addressed(id, upstream).write(request.headers_mut());
        question.write(request.headers_mut());
        let http = http::Client::new(CONNECT_MS);
        let max_bytes = attempt::ANSWER_MAX_BYTES;
        let fetched = http.fetch("ask agent", address, request, max_bytes, QUESTION_MS).await;
        match fetched {
            Ok((head, bytes)) if head.status == 200 => attempt::decode(&bytes),
            Ok((head, _)) => {
                log::warn!("operations: agent {} answered {}", upstream.instance, head.status);
                None
            }
            Err(error) => {
                log::info!("operations: {error}");
                None
            }
        }
    }

    fn addressed(
        &self,
        attempt: core_attempt::AttemptId,
        upstream: &core_attempt::Upstream,
    ) -> attempt::Addressed {
        attempt::Addressed { operation: self.id, attempt, incarnation: upstream.incarnation }
    }
}

/// What the agent's answer to the call means for the operation.
fn event_of(
    fetched: Result<(hyper::http::response::Parts, bytes::Bytes), http::HttpError>,
) -> operation::Event {
    let report = match fetched {
        Ok((head, bytes)) if head.status == 200 => attempt::decode(&bytes),
        Ok(_) => None,
        Err(http::HttpError::NotSent { .. }) => return operation::Event::NotSent,
        Err(error) => {
            log::info!("operations: {error}");
            None
        }
    };
    match report {
        Some(attempt::Report::Knows(registry::AttemptStatus::Finished(answer))) => {
            operation::Event::Answered(answer)
        }
        Some(attempt::Report::Knows(registry::AttemptStatus::NeverStarts)) => {
            operation::Event::Refused(registry::StartRefusal::Promised)
        }
        Some(attempt::Report::Refused(refusal)) => operation::Event::Refused(refusal),
        // Whatever else came, the agent is asked what it knows.
        Some(attempt::Report::Knows(_)) | None => operation::Event::LinkLost,
    }
}

impl Entry {
    /// Proposes a command about an operation; `None` means that it is not known to be committed.
    pub(super) async fn propose_operation(
        &self,
        command: state::Command,
    ) -> Option<state::Outcome> {
        match self.propose(&command::Command::operation(command)).await {
            Ok(command::Outcome::Operation(outcome)) => Some(outcome),
            Ok(command::Outcome::Change(_) | command::Outcome::Document) => None,
            Err(error) => {
                log::info!("operations: {error}");
                None
            }
        }
    }
}
