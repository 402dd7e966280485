//! The entry's state machine for one operation, from the claim to the reply.

use super::{answer, attempt, key, registry, state};

/// Maximum number of times that one request re-evaluates the record before it replies "unknown".
const MAX_ROUNDS: u32 = 8;

/// Initial polling interval, which doubles with each poll. A retry that arrives while its original
/// is running usually waits for an answer that is only a few milliseconds away.
const FIRST_POLL_MS: u64 = 5;

/// Time limits of an operation.
#[derive(Clone, Copy, Debug)]
pub struct OperationTimings {
    /// How long an attempt of another entry may take to reach its agent before this entry asks the
    /// agent to promise never to start it.
    pub grace_ms: u64,
    /// Maximum polling interval.
    pub poll_ms: u64,
}

impl Default for OperationTimings {
    fn default() -> Self {
        Self { grace_ms: 1_000, poll_ms: 250 }
    }
}

/// An event that affects the operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The last proposed command was committed, with this outcome.
    Applied(state::Outcome),
    /// The last proposed command is not known to be committed, but may be.
    NotApplied,
    /// The agent returned the answer to this entry's attempt.
    Answered(answer::Answer),
    /// The agent did not start this entry's attempt.
    Refused(registry::StartRefusal),
    /// No byte of this entry's attempt was sent.
    NotSent,
    /// The link to the agent broke after the attempt was sent.
    LinkLost,
    /// The agent reported the status of the attempt that was queried.
    AttemptStatus(registry::AttemptStatus),
    /// The agent could not be queried.
    AgentUnreachable,
    /// The requested wait is over.
    WaitElapsed,
    /// The caller's deadline has passed.
    Deadline,
}

/// An action that the entry must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Proposes a command to the group of the operation's slot.
    Propose(state::Command),
    /// Sends the call to the agent, exactly once.
    Send {
        /// This entry's attempt.
        attempt: attempt::AttemptId,
        /// Its destination.
        upstream: attempt::Upstream,
    },
    /// Queries the agent about an attempt, over a new connection if the old one is closed.
    QueryAttempt {
        /// The attempt.
        attempt: attempt::AttemptId,
        /// Its destination.
        upstream: attempt::Upstream,
        /// Whether the agent has to promise never to start it, unless it has started it already.
        promise: bool,
    },
    /// Tells the agent that the outcome is recorded in the log.
    Acknowledge {
        /// The attempt.
        attempt: attempt::AttemptId,
        /// Its destination.
        upstream: attempt::Upstream,
    },
    /// Waits and then reports [`Event::WaitElapsed`].
    Wait {
        /// Length of the wait.
        pause_ms: u64,
    },
    /// Replies to the caller. Occurs at most once; the operation may continue afterwards.
    Reply(Reply),
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No quorum committed the claim.
    NoQuorum,
    /// The claim table is full.
    Full,
    /// The agent did not start it.
    NotStarted,
}

/// The reply to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The operation ran, with this answer.
    Answer {
        /// The answer.
        answer: answer::Answer,
        /// Whether an earlier request ran the operation.
        replayed: bool,
    },
    /// This request did not run and never will.
    DidNotRun {
        /// The reason.
        reason: NotRunReason,
        /// Whether an earlier request with the same key may have run. Without a quorum the entry
        /// cannot know; the caller must then retry with the same key instead of a new one.
        earlier_unknown: bool,
    },
    /// The operation may have run; its id can be used to query the outcome.
    Unknown {
        /// The operation.
        id: key::OperationId,
    },
    /// The key is claimed for a request with another body.
    BodyMismatch,
    /// An operator settled the operation; no answer is known.
    Settled(state::Verdict),
}

/// The attempt that is being resolved, of this or of another entry.
#[derive(Clone, Debug)]
struct TargetAttempt {
    attempt: attempt::AttemptId,
    upstream: attempt::Upstream,
    key_support: state::KeySupport,
}

#[derive(Clone, Debug)]
enum Phase {
    Claiming,
    Sent,
    Querying(TargetAttempt),
    Waiting(TargetAttempt),
    Releasing(TargetAttempt),
    Recording(TargetAttempt, answer::Answer),
    MarkingInDoubt(TargetAttempt),
    Done,
}

/// A caller's request for an operation.
#[derive(Debug)]
pub struct Operation {
    claim: state::Claim,
    id: key::OperationId,
    times: OperationTimings,
    phase: Phase,
    /// Whether the own attempt was granted before, so that its id cannot be granted again.
    attempt_used: bool,
    replied: bool,
    rounds: u32,
    next_poll_ms: u64,
    waited_ms: u64,
}

impl Operation {
    /// Starts an operation by proposing the claim, whose `replaces` is ignored.
    pub fn begin(mut claim: state::Claim, times: OperationTimings) -> (Self, Vec<Action>) {
        claim.replaces = None;
        let id = claim.key.id();
        let first = Action::Propose(state::Command::Claim(claim.clone()));
        let phase = Phase::Claiming;
        let operation = Self {
            claim,
            id,
            times,
            phase,
            attempt_used: false,
            replied: false,
            rounds: 0,
            next_poll_ms: FIRST_POLL_MS,
            waited_ms: 0,
        };
        (operation, vec![first])
    }

    /// Resolves a claim whose entry may have failed, so that it does not stay unresolved until the
    /// caller retries or an operator intervenes. It runs nothing, and its reply can be ignored.
    pub fn reconcile(record: state::ClaimRecord, times: OperationTimings) -> (Self, Vec<Action>) {
        let claim = state::Claim {
            key: record.key.clone(),
            body_digest: record.body_digest,
            attempt: record.attempt.clone(),
            replaces: None,
            upstream: record.upstream.clone(),
            key_support: record.key_support,
        };
        let (mut operation, _) = Self::begin(claim, times);
        operation.attempt_used = true;
        let actions = operation.handle_record(record);
        (operation, actions)
    }

    /// Whether the operation is complete.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Handles an event. Events that do not match the current phase are outdated and ignored.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        if event == Event::Deadline {
            return self.reply(Reply::Unknown { id: self.id });
        }
        match (self.phase.clone(), event) {
            (Phase::Claiming, Event::Applied(outcome)) => self.claim_applied(outcome),
            (Phase::Claiming, Event::NotApplied) => {
                self.finish_not_run(NotRunReason::NoQuorum, true)
            }
            (Phase::Sent, event) => self.handle_while_sent(event),
            (Phase::Querying(target), Event::AttemptStatus(status)) => {
                self.handle_attempt_status(target, status)
            }
            (Phase::Querying(target), Event::AgentUnreachable) => {
                self.mark_in_doubt(target, state::DoubtReason::AgentUnreachable)
            }
            (Phase::Waiting(target), Event::WaitElapsed) => {
                let promise = self.waited_ms >= self.times.grace_ms;
                self.query_attempt(target, promise)
            }
            (Phase::Releasing(target), Event::Applied(outcome)) => {
                self.release_applied(target, outcome)
            }
            (Phase::Releasing(target), Event::NotApplied) => self.release_not_applied(&target),
            (Phase::Recording(target, answer), Event::Applied(outcome)) => {
                self.record_applied(target, answer, outcome)
            }
            (Phase::Recording(target, answer), Event::NotApplied) => {
                // The answer is valid whether or not it is recorded, and the agent keeps it until
                // an entry has recorded it.
                self.finish_answer(&target, answer)
            }
            (Phase::MarkingInDoubt(target), Event::Applied(outcome)) => {
                self.mark_in_doubt_applied(target, outcome)
            }
            (Phase::MarkingInDoubt(_), Event::NotApplied) => self.finish_unknown(),
            _ => Vec::new(),
        }
    }

    fn claim_applied(&mut self, outcome: state::Outcome) -> Vec<Action> {
        match outcome {
            state::Outcome::Granted => {
                self.attempt_used = true;
                self.phase = Phase::Sent;
                let attempt = self.claim.attempt.clone();
                vec![Action::Send { attempt, upstream: self.claim.upstream.clone() }]
            }
            state::Outcome::Existing(record) => self.handle_record(*record),
            state::Outcome::BodyMismatch => self.finish(Reply::BodyMismatch),
            state::Outcome::Full => self.finish_not_run(NotRunReason::Full, false),
            _ => self.finish_not_run(NotRunReason::NoQuorum, true),
        }
    }

    fn handle_while_sent(&mut self, event: Event) -> Vec<Action> {
        let target = self.own_attempt();
        match event {
            Event::Answered(answer) => self.record(target, answer),
            Event::NotSent => self.release(target, state::Evidence::NeverSent),
            Event::Refused(registry::StartRefusal::AlreadyStarted) | Event::LinkLost => {
                self.query_attempt(target, true)
            }
            Event::Refused(_) => self.release(target, state::Evidence::RefusedOnArrival),
            _ => Vec::new(),
        }
    }

    /// Acts on the record of the key.
    fn handle_record(&mut self, record: state::ClaimRecord) -> Vec<Action> {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            return self.finish_unknown();
        }
        let target = TargetAttempt {
            attempt: record.attempt,
            upstream: record.upstream,
            key_support: record.key_support,
        };
        match record.state {
            state::State::Recorded(answer) => {
                let replayed = !self.is_own(&target);
                self.finish(Reply::Answer { answer, replayed })
            }
            state::State::Settled { late_answer: Some(answer), .. } => {
                self.finish(Reply::Answer { answer, replayed: true })
            }
            state::State::Settled { verdict, .. } => self.finish(Reply::Settled(verdict)),
            state::State::Released(_) => self.replace(target),
            state::State::Claimed => self.query_attempt(target, false),
            state::State::InDoubt(state::DoubtReason::AgentUnreachable) => {
                self.query_attempt(target, true)
            }
            state::State::InDoubt(_) => self.leave_in_doubt(target),
        }
    }

    fn handle_attempt_status(
        &mut self,
        target: TargetAttempt,
        status: registry::AttemptStatus,
    ) -> Vec<Action> {
        match status {
            registry::AttemptStatus::NeverStarts => {
                let incarnation = target.upstream.incarnation;
                self.release(target, state::Evidence::Promise { incarnation })
            }
            registry::AttemptStatus::NotArrived | registry::AttemptStatus::Running => {
                self.wait(target)
            }
            registry::AttemptStatus::Finished(answer) => self.record(target, answer),
            registry::AttemptStatus::Recorded => self.read_again(),
            registry::AttemptStatus::Lost => {
                self.mark_in_doubt(target, state::DoubtReason::UpstreamLost)
            }
            registry::AttemptStatus::Unknown => {
                self.mark_in_doubt(target, state::DoubtReason::AgentReplaced)
            }
        }
    }

    fn release_applied(&mut self, target: TargetAttempt, outcome: state::Outcome) -> Vec<Action> {
        match outcome {
            state::Outcome::Done if self.is_own(&target) => {
                self.finish_not_run(NotRunReason::NotStarted, false)
            }
            state::Outcome::Done => self.replace(target),
            // An earlier attempt is in doubt, so this release does not prove that the operation did
            // not run.
            state::Outcome::Existing(_) => self.leave_in_doubt(target),
            state::Outcome::Superseded(record) | state::Outcome::Conflict(record) => {
                self.handle_record(*record)
            }
            _ => self.finish_unknown(),
        }
    }

    fn release_not_applied(&mut self, target: &TargetAttempt) -> Vec<Action> {
        if self.is_own(target) {
            // The own attempt never starts, but another entry may since have released it and
            // claimed the key for a retry.
            return self.finish_not_run(NotRunReason::NotStarted, true);
        }
        self.finish_not_run(NotRunReason::NoQuorum, true)
    }

    fn record_applied(
        &mut self,
        target: TargetAttempt,
        answer: answer::Answer,
        outcome: state::Outcome,
    ) -> Vec<Action> {
        if !matches!(outcome, state::Outcome::Done) {
            return self.finish_answer(&target, answer);
        }
        let acknowledge = Action::Acknowledge {
            attempt: target.attempt.clone(),
            upstream: target.upstream.clone(),
        };
        let mut actions = vec![acknowledge];
        actions.extend(self.finish_answer(&target, answer));
        actions
    }

    fn mark_in_doubt_applied(
        &mut self,
        target: TargetAttempt,
        outcome: state::Outcome,
    ) -> Vec<Action> {
        match outcome {
            state::Outcome::Done => self.leave_in_doubt(target),
            state::Outcome::Existing(record) | state::Outcome::Superseded(record) => {
                self.handle_record(*record)
            }
            _ => self.finish_unknown(),
        }
    }

    fn leave_in_doubt(&mut self, target: TargetAttempt) -> Vec<Action> {
        match target.key_support {
            state::KeySupport::Service if !self.attempt_used => self.replace(target),
            _ => self.finish_unknown(),
        }
    }

    fn replace(&mut self, target: TargetAttempt) -> Vec<Action> {
        if self.attempt_used {
            return self.finish_not_run(NotRunReason::NotStarted, false);
        }
        self.claim.replaces = Some(target.attempt);
        self.phase = Phase::Claiming;
        vec![Action::Propose(state::Command::Claim(self.claim.clone()))]
    }

    fn read_again(&mut self) -> Vec<Action> {
        // Proposing the claim again has no effect on a claimed key and returns its record.
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS || self.attempt_used {
            return self.finish_unknown();
        }
        self.claim.replaces = None;
        self.phase = Phase::Claiming;
        vec![Action::Propose(state::Command::Claim(self.claim.clone()))]
    }

    fn query_attempt(&mut self, target: TargetAttempt, promise: bool) -> Vec<Action> {
        let attempt = target.attempt.clone();
        let upstream = target.upstream.clone();
        self.phase = Phase::Querying(target);
        vec![Action::QueryAttempt { attempt, upstream, promise }]
    }

    fn wait(&mut self, target: TargetAttempt) -> Vec<Action> {
        let pause_ms = self.next_poll_ms.min(self.times.poll_ms);
        self.next_poll_ms = pause_ms * 2;
        self.waited_ms += pause_ms;
        self.phase = Phase::Waiting(target);
        vec![Action::Wait { pause_ms }]
    }

    /// Replies to the caller immediately and then records the answer for retries. The answer is
    /// valid whether or not it is recorded; until it is, the agent keeps it and offers it to any
    /// entry.
    fn record(&mut self, target: TargetAttempt, answer: answer::Answer) -> Vec<Action> {
        let attempt = target.attempt.clone();
        let replayed = !self.is_own(&target);
        let mut actions = self.reply(Reply::Answer { answer: answer.clone(), replayed });
        self.phase = Phase::Recording(target, answer.clone());
        let record = state::Command::Record { id: self.id, attempt, answer };
        actions.push(Action::Propose(record));
        actions
    }

    fn release(&mut self, target: TargetAttempt, evidence: state::Evidence) -> Vec<Action> {
        let attempt = target.attempt.clone();
        self.phase = Phase::Releasing(target);
        vec![Action::Propose(state::Command::Release { id: self.id, attempt, evidence })]
    }

    fn mark_in_doubt(&mut self, target: TargetAttempt, doubt: state::DoubtReason) -> Vec<Action> {
        let attempt = target.attempt.clone();
        self.phase = Phase::MarkingInDoubt(target);
        vec![Action::Propose(state::Command::MarkInDoubt { id: self.id, attempt, doubt })]
    }

    fn own_attempt(&self) -> TargetAttempt {
        TargetAttempt {
            attempt: self.claim.attempt.clone(),
            upstream: self.claim.upstream.clone(),
            key_support: self.claim.key_support,
        }
    }

    fn is_own(&self, target: &TargetAttempt) -> bool {
        target.attempt == self.claim.attempt
    }

    fn finish_answer(&mut self, target: &TargetAttempt, answer: answer::Answer) -> Vec<Action> {
        let replayed = !self.is_own(target);
        self.finish(Reply::Answer { answer, replayed })
    }

    fn finish_not_run(&mut self, reason: NotRunReason, earlier_unknown: bool) -> Vec<Action> {
        self.finish(Reply::DidNotRun { reason, earlier_unknown })
    }

    fn finish_unknown(&mut self) -> Vec<Action> {
        self.finish(Reply::Unknown { id: self.id })
    }

    fn finish(&mut self, reply: Reply) -> Vec<Action> {
        self.phase = Phase::Done;
        self.reply(reply)
    }

    fn reply(&mut self, reply: Reply) -> Vec<Action> {
        if self.replied {
            return Vec::new();
        }
        self.replied = true;
        vec![Action::Reply(reply)]
    }
}
