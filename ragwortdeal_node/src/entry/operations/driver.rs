//! Executes the actions of an operation: proposes commands to the voters, calls and queries agents.

use std::{collections, sync, time};

use ragwortdeal_core::{
    claims::{attempt as core_attempt, key, operation, registry, state},
    command,
};
use tokio::sync::oneshot;

use super::{Call, log_conflict};
use crate::{
    attempt,
    entry::{Entry, calls},
    http,
};

/// Timeout of a call to an agent; the mainframe behind a ledger may take minutes to answer.
const CALL_TIMEOUT_MS: u64 = 600_000;

/// Timeout of a query to an agent about an attempt.
const QUERY_TIMEOUT_MS: u64 = 2_000;

/// Timeout of connecting to an agent for a query.
const QUERY_CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Longest time that an operation is driven. After that, other requests can take over its claim.
const DRIVE_TIMEOUT: time::Duration = time::Duration::from_secs(15 * 60);

/// The call that is sent once the claim is granted.
pub(super) struct PendingCall {
    pub(super) call: sync::Arc<Call>,
    pub(super) body: bytes::Bytes,
    pub(super) chosen: calls::Chosen,
}

/// Drives an operation in a task of its own, so that it continues after its caller disconnects: the
/// answer to a call that was sent must be recorded for the caller's retry.
pub(super) fn start(
    entry: &sync::Arc<Entry>,
    id: key::OperationId,
    pending: Option<PendingCall>,
    operation: operation::Operation,
    first_actions: Vec<operation::Action>,
) -> oneshot::Receiver<operation::Reply> {
    let (reply, receiver) = oneshot::channel();
    let driver = Driver { entry: entry.clone(), id, pending, operation, reply: Some(reply) };
    tokio::spawn(async move {
        if tokio::time::timeout(DRIVE_TIMEOUT, driver.run(first_actions)).await.is_err() {
            log::warn!("operations: stopped driving operation={id}, it took too long");
        }
    });
    receiver
}

struct Driver {
    entry: sync::Arc<Entry>,
    id: key::OperationId,
    pending: Option<PendingCall>,
    operation: operation::Operation,
    reply: Option<oneshot::Sender<operation::Reply>>,
}

impl Driver {
    async fn run(mut self, first_actions: Vec<operation::Action>) {
        let mut actions = collections::VecDeque::from(first_actions);
        while let Some(action) = actions.pop_front() {
            if let Some(event) = self.execute(action).await {
                actions.extend(self.operation.handle(event));
            }
        }
    }

    async fn execute(&mut self, action: operation::Action) -> Option<operation::Event> {
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
                let status = self.query_agent(question, attempt, &upstream).await;
                Some(match status {
                    Some(status) => operation::Event::AttemptStatus(status),
                    None => operation::Event::AgentUnreachable,
                })
            }
            operation::Action::Acknowledge { attempt, upstream } => {
                // A lost acknowledgement is repeated when the agent reports the answer itself.
                self.query_agent(attempt::Question::Acknowledge, attempt, &upstream).await;
                None
            }
            operation::Action::Wait { pause_ms } => {
                tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
                Some(operation::Event::WaitElapsed)
            }
            operation::Action::Reply(reply) => {
                if let Some(sender) = self.reply.take() {
                    // The caller may have disconnected; a retry finds the outcome in the log.
                    let _ = sender.send(reply);
                }
                None
            }
        }
    }

    async fn propose(&self, mut command: state::Command) -> operation::Event {
        let mut recorded_attempt = None;
        if let state::Command::Record { attempt, answer, .. } = &mut command {
            let max_bytes = self.entry.settings.limits.operation_answer_max_bytes;
            *answer = answer.clone().bounded(max_bytes);
            recorded_attempt = Some(attempt.clone());
        }
        let Some(outcome) = self.entry.propose_operation(command).await else {
            return operation::Event::NotApplied;
        };
        if let (Some(attempt), state::Outcome::Conflict(record)) = (recorded_attempt, &outcome) {
            log_conflict(self.id, &attempt, record);
        }
        operation::Event::Applied(outcome)
    }

    /// Sends the call. Takes the pending call, so that it cannot be sent twice.
    async fn send(
        &mut self,
        id: core_attempt::AttemptId,
        upstream: &core_attempt::Upstream,
    ) -> operation::Event {
        let Some(PendingCall { call, body, chosen }) = self.pending.take() else {
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
        self.address_attempt(id, upstream).write(headers);
        let http = &self.entry.http;
        let max_bytes = attempt::ANSWER_MAX_BYTES;
        let step = "call agent";
        let fetched = http.fetch(step, &chosen.address, request, max_bytes, CALL_TIMEOUT_MS).await;
        event_from_response(fetched)
    }

    /// Queries the agent over a new connection, because the connection of the call may stay
    /// silent for good while new ones work.
    async fn query_agent(
        &self,
        question: attempt::Question,
        id: core_attempt::AttemptId,
        upstream: &core_attempt::Upstream,
    ) -> Option<registry::AttemptStatus> {
        let address = &self.entry.announcement_of(&upstream.instance)?.call_address;
        let mut request =
            hyper::Request::post(format!("http://{address}{}", attempt::QUESTIONS_PATH))
                .header("authorization", self.entry.credential.header_value())
                .body(http::full(bytes::Bytes::new()))
                .ok()?;
        self.address_attempt(id, upstream).write(request.headers_mut());
        question.write(request.headers_mut());
        let http = http::Client::new(QUERY_CONNECT_TIMEOUT_MS);
        let max_bytes = attempt::ANSWER_MAX_BYTES;
        let fetched = http.fetch("ask agent", address, request, max_bytes, QUERY_TIMEOUT_MS).await;
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

    fn address_attempt(
        &self,
        attempt: core_attempt::AttemptId,
        upstream: &core_attempt::Upstream,
    ) -> attempt::Addressed {
        attempt::Addressed { operation: self.id, attempt, incarnation: upstream.incarnation }
    }
}

/// Converts the agent's response to the call into an event of the operation.
fn event_from_response(
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
        // The response leaves the outcome open, so the agent is queried about the attempt.
        Some(attempt::Report::Knows(_)) | None => operation::Event::LinkLost,
    }
}

impl Entry {
    /// Proposes a command about an operation. `None` means that the command is not known to be
    /// committed.
    pub(super) async fn propose_operation(
        &self,
        command: state::Command,
    ) -> Option<state::Outcome> {
        match self.propose(&command::Command::operation(command)).await {
            Ok(command::Outcome::Operation(outcome)) => Some(outcome),
            Ok(command::Outcome::Change(_) | command::Outcome::Document) => None,
            Err(error) => {
                log::info!("operations: proposal failed: {error}");
                None
            }
        }
    }
}
