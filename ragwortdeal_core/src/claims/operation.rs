//! The entry's part in one operation: from the claim to an answer that is true.

use super::{answer, attempt, key, registry, state};

/// Most times that one request looks at the log again before it answers "unknown".
const MAX_ROUNDS: u32 = 8;

/// First pause before an agent is asked again. A resend that arrives beside its original mostly
/// waits for an answer that is a few milliseconds away; the pauses double from here.
const FIRST_POLL_MS: u64 = 5;

/// Waiting times of an operation.
#[derive(Clone, Copy, Debug)]
pub struct OperationTimings {
    /// How long an attempt of another entry may take to reach its agent before this entry has the
    /// agent promise never to start it.
    pub grace_ms: u64,
    /// Longest pause between two questions about an attempt.
    pub poll_ms: u64,
}

impl Default for OperationTimings {
    fn default() -> Self {
        Self { grace_ms: 1_000, poll_ms: 250 }
    }
}

/// What happened to the operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The last proposed command was committed and came to this.
    Applied(state::Outcome),
    /// The last proposed command is not known to be committed; it may still be.
    NotApplied,
    /// The agent brought the answer to this entry's attempt.
    Answered(answer::Answer),
    /// The agent did not start this entry's attempt.
    Refused(registry::StartRefusal),
    /// No byte of this entry's attempt left.
    NotSent,
    /// The link to the agent broke after the attempt had left.
    LinkLost,
    /// The agent told what it knows of the attempt that it was asked about.
    AttemptStatus(registry::AttemptStatus),
    /// The agent could not be asked.
    AgentUnreachable,
    /// The pause is over.
    WaitElapsed,
    /// The caller waits no longer.
    Deadline,
}

/// What the entry has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Proposes a command to the group of the operation's slot.
    Propose(state::Command),
    /// Sends the call to the agent, once and never again.
    Send {
        /// This entry's attempt.
        attempt: attempt::AttemptId,
        /// Where it goes.
        upstream: attempt::Upstream,
    },
    /// Asks the agent about an attempt, over a new connection if the old one is gone.
    QueryAttempt {
        /// The attempt.
        attempt: attempt::AttemptId,
        /// Where it went.
        upstream: attempt::Upstream,
        /// Whether the agent shall promise never to start it if it has not yet.
        promise: bool,
    },
    /// Tells the agent that the outcome stands in the log.
    Acknowledge {
        /// The attempt.
        attempt: attempt::AttemptId,
        /// Where it went.
        upstream: attempt::Upstream,
    },
    /// Comes back with [`Event::WaitElapsed`].
    Wait {
        /// Length of the pause.
        pause_ms: u64,
    },
    /// Answers the caller. It comes once; the operation may go on after it.
    Reply(Reply),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No quorum committed the claim.
    NoQuorum,
    /// The table of claims is full.
    Full,
    /// The agent did not start it.
    NotStarted,
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The operation ran and this is its answer.
    Answer {
        /// The answer.
        answer: answer::Answer,
        /// Whether an earlier request got it to run.
        replayed: bool,
    },
    /// This request did not run and never will.
    DidNotRun {
        /// Why.
        reason: NotRunReason,
        /// Whether an earlier request with the same key may have run. Without a quorum the entry
        /// cannot know; a caller must then resend the same key rather than pick a new one.
        earlier_unknown: bool,
    },
    /// The operation may have run; the id serves to ask again.
    Unknown {
        /// The operation.
        id: key::OperationId,
    },
    /// The key stands for a request with another body.
    BodyMismatch,
    /// An operator found out what became of the operation; no answer is known.
    Settled(state::Verdict),
}

/// The attempt that the operation asks or speaks about.
#[derive(Clone, Debug)]
struct Subject {
    attempt: attempt::AttemptId,
    upstream: attempt::Upstream,
    key_support: state::KeySupport,
}

#[derive(Clone, Debug)]
enum Phase {
    Claiming,
    Sent,
    Asking(Subject),
    Waiting(Subject),
    Releasing(Subject),
    Recording(Subject, answer::Answer),
    Doubting(Subject),
    Done,
}

/// One request of a caller for an operation.
#[derive(Debug)]
pub struct Operation {
    claim: state::Claim,
    id: key::OperationId,
    times: OperationTimings,
    phase: Phase,
    /// The own attempt was granted before, so its id cannot be granted again.
    spent: bool,
    replied: bool,
    rounds: u32,
    next_poll_ms: u64,
    waited_ms: u64,
}

impl Operation {
    /// Begins by proposing the claim, whose `replaces` is ignored.
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
            spent: false,
            replied: false,
            rounds: 0,
            next_poll_ms: FIRST_POLL_MS,
            waited_ms: 0,
        };
        (operation, vec![first])
    }

    /// Takes over a claim whose entry may be gone, in order that it does not stay open until the
    /// caller resends or staff look at it. It runs nothing, and its reply is for nobody.
    pub fn reconcile(standing: state::ClaimRecord, times: OperationTimings) -> (Self, Vec<Action>) {
        let claim = state::Claim {
            key: standing.key.clone(),
            body_digest: standing.body_digest,
            attempt: standing.attempt.clone(),
            replaces: None,
            upstream: standing.upstream.clone(),
            key_support: standing.key_support,
        };
        let (mut operation, _) = Self::begin(claim, times);
        operation.spent = true;
        let actions = operation.follow(standing);
        (operation, actions)
    }

    /// Whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Takes in an event. Events that do not fit the phase are late and change nothing.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        if event == Event::Deadline {
            return self.reply(Reply::Unknown { id: self.id });
        }
        match (self.phase.clone(), event) {
            (Phase::Claiming, Event::Applied(outcome)) => self.claim_applied(outcome),
            (Phase::Claiming, Event::NotApplied) => {
                self.finish_not_run(NotRunReason::NoQuorum, true)
            }
            (Phase::Sent, event) => self.sent(event),
            (Phase::Asking(subject), Event::AttemptStatus(knowledge)) => {
                self.told(subject, knowledge)
            }
            (Phase::Asking(subject), Event::AgentUnreachable) => {
                self.doubt(subject, state::DoubtReason::AgentUnreachable)
            }
            (Phase::Waiting(subject), Event::WaitElapsed) => {
                let promise = self.waited_ms >= self.times.grace_ms;
                self.ask(subject, promise)
            }
            (Phase::Releasing(subject), Event::Applied(outcome)) => {
                self.release_applied(subject, outcome)
            }
            (Phase::Releasing(subject), Event::NotApplied) => self.release_not_applied(&subject),
            (Phase::Recording(subject, answer), Event::Applied(outcome)) => {
                self.record_applied(subject, answer, outcome)
            }
            (Phase::Recording(subject, answer), Event::NotApplied) => {
                // The answer is true whether or not it is recorded, and the agent keeps it until
                // some entry has recorded it.
                self.finish_answer(&subject, answer)
            }
            (Phase::Doubting(subject), Event::Applied(outcome)) => {
                self.doubt_applied(subject, outcome)
            }
            (Phase::Doubting(_), Event::NotApplied) => self.finish_unknown(),
            _ => Vec::new(),
        }
    }

    fn claim_applied(&mut self, outcome: state::Outcome) -> Vec<Action> {
        match outcome {
            state::Outcome::Granted => {
                self.spent = true;
                self.phase = Phase::Sent;
                let attempt = self.claim.attempt.clone();
                vec![Action::Send { attempt, upstream: self.claim.upstream.clone() }]
            }
            state::Outcome::Existing(standing) => self.follow(*standing),
            state::Outcome::BodyMismatch => self.finish(Reply::BodyMismatch),
            state::Outcome::Full => self.finish_not_run(NotRunReason::Full, false),
            _ => self.finish_not_run(NotRunReason::NoQuorum, true),
        }
    }

    fn sent(&mut self, event: Event) -> Vec<Action> {
        let subject = self.own();
        match event {
            Event::Answered(answer) => self.record(subject, answer),
            Event::NotSent => self.release(subject, state::Evidence::NeverSent),
            Event::Refused(registry::StartRefusal::AlreadyStarted) | Event::LinkLost => {
                self.ask(subject, true)
            }
            Event::Refused(_) => self.release(subject, state::Evidence::RefusedOnArrival),
            _ => Vec::new(),
        }
    }

    /// Acts on what the log says of the key.
    fn follow(&mut self, standing: state::ClaimRecord) -> Vec<Action> {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            return self.finish_unknown();
        }
        let subject = Subject {
            attempt: standing.attempt,
            upstream: standing.upstream,
            key_support: standing.key_support,
        };
        match standing.state {
            state::State::Recorded(answer) => {
                let replayed = !self.is_own(&subject);
                self.finish(Reply::Answer { answer, replayed })
            }
            state::State::Settled { late_answer: Some(answer), .. } => {
                self.finish(Reply::Answer { answer, replayed: true })
            }
            state::State::Settled { verdict, .. } => self.finish(Reply::Settled(verdict)),
            state::State::Released(_) => self.replace(subject),
            state::State::Claimed => self.ask(subject, false),
            state::State::InDoubt(state::DoubtReason::AgentUnreachable) => self.ask(subject, true),
            state::State::InDoubt(_) => self.leave_in_doubt(subject),
        }
    }

    fn told(&mut self, subject: Subject, knowledge: registry::AttemptStatus) -> Vec<Action> {
        match knowledge {
            registry::AttemptStatus::NeverStarts => {
                let incarnation = subject.upstream.incarnation;
                self.release(subject, state::Evidence::Promise { incarnation })
            }
            registry::AttemptStatus::NotArrived | registry::AttemptStatus::Running => {
                self.wait(subject)
            }
            registry::AttemptStatus::Finished(answer) => self.record(subject, answer),
            registry::AttemptStatus::Recorded => self.look_again(),
            registry::AttemptStatus::Lost => self.doubt(subject, state::DoubtReason::UpstreamLost),
            registry::AttemptStatus::Unknown => {
                self.doubt(subject, state::DoubtReason::AgentReplaced)
            }
        }
    }

    fn release_applied(&mut self, subject: Subject, outcome: state::Outcome) -> Vec<Action> {
        match outcome {
            state::Outcome::Done if self.is_own(&subject) => {
                self.finish_not_run(NotRunReason::NotStarted, false)
            }
            state::Outcome::Done => self.replace(subject),
            // An earlier attempt is in doubt, so this release proves nothing about the operation.
            state::Outcome::Existing(_) => self.leave_in_doubt(subject),
            state::Outcome::Superseded(standing) | state::Outcome::Conflict(standing) => {
                self.follow(*standing)
            }
            _ => self.finish_unknown(),
        }
    }

    fn release_not_applied(&mut self, subject: &Subject) -> Vec<Action> {
        if self.is_own(subject) {
            // The own attempt never starts, but another entry may have released it and claimed
            // the key for a resend since.
            return self.finish_not_run(NotRunReason::NotStarted, true);
        }
        self.finish_not_run(NotRunReason::NoQuorum, true)
    }

    fn record_applied(
        &mut self,
        subject: Subject,
        answer: answer::Answer,
        outcome: state::Outcome,
    ) -> Vec<Action> {
        if !matches!(outcome, state::Outcome::Done) {
            return self.finish_answer(&subject, answer);
        }
        let acknowledge = Action::Acknowledge {
            attempt: subject.attempt.clone(),
            upstream: subject.upstream.clone(),
        };
        let mut actions = vec![acknowledge];
        actions.extend(self.finish_answer(&subject, answer));
        actions
    }

    fn doubt_applied(&mut self, subject: Subject, outcome: state::Outcome) -> Vec<Action> {
        match outcome {
            state::Outcome::Done => self.leave_in_doubt(subject),
            state::Outcome::Existing(standing) | state::Outcome::Superseded(standing) => {
                self.follow(*standing)
            }
            _ => self.finish_unknown(),
        }
    }

    fn leave_in_doubt(&mut self, subject: Subject) -> Vec<Action> {
        match subject.key_support {
            state::KeySupport::Service if !self.spent => self.replace(subject),
            _ => self.finish_unknown(),
        }
    }

    fn replace(&mut self, subject: Subject) -> Vec<Action> {
        if self.spent {
            return self.finish_not_run(NotRunReason::NotStarted, false);
        }
        self.claim.replaces = Some(subject.attempt);
        self.phase = Phase::Claiming;
        vec![Action::Propose(state::Command::Claim(self.claim.clone()))]
    }

    fn look_again(&mut self) -> Vec<Action> {
        // The same claim again changes nothing where the key is taken, and shows the standing.
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS || self.spent {
            return self.finish_unknown();
        }
        self.claim.replaces = None;
        self.phase = Phase::Claiming;
        vec![Action::Propose(state::Command::Claim(self.claim.clone()))]
    }

    fn ask(&mut self, subject: Subject, promise: bool) -> Vec<Action> {
        let attempt = subject.attempt.clone();
        let upstream = subject.upstream.clone();
        self.phase = Phase::Asking(subject);
        vec![Action::QueryAttempt { attempt, upstream, promise }]
    }

    fn wait(&mut self, subject: Subject) -> Vec<Action> {
        let pause_ms = self.next_poll_ms.min(self.times.poll_ms);
        self.next_poll_ms = pause_ms * 2;
        self.waited_ms += pause_ms;
        self.phase = Phase::Waiting(subject);
        vec![Action::Wait { pause_ms }]
    }

    /// The caller has its answer at once, for it is true whether or not it is recorded; the log is
    /// for a resend. Until it stands there the agent keeps the answer and offers it to any entry.
    fn record(&mut self, subject: Subject, answer: answer::Answer) -> Vec<Action> {
        let attempt = subject.attempt.clone();
        let replayed = !self.is_own(&subject);
        let mut actions = self.reply(Reply::Answer { answer: answer.clone(), replayed });
        self.phase = Phase::Recording(subject, answer.clone());
        let record = state::Command::Record { id: self.id, attempt, answer };
        actions.push(Action::Propose(record));
        actions
    }

    fn release(&mut self, subject: Subject, evidence: state::Evidence) -> Vec<Action> {
        let attempt = subject.attempt.clone();
        self.phase = Phase::Releasing(subject);
        vec![Action::Propose(state::Command::Release { id: self.id, attempt, evidence })]
    }

    fn doubt(&mut self, subject: Subject, doubt: state::DoubtReason) -> Vec<Action> {
        let attempt = subject.attempt.clone();
        self.phase = Phase::Doubting(subject);
        vec![Action::Propose(state::Command::MarkInDoubt { id: self.id, attempt, doubt })]
    }

    fn own(&self) -> Subject {
        Subject {
            attempt: self.claim.attempt.clone(),
            upstream: self.claim.upstream.clone(),
            key_support: self.claim.key_support,
        }
    }

    fn is_own(&self, subject: &Subject) -> bool {
        subject.attempt == self.claim.attempt
    }

    fn finish_answer(&mut self, subject: &Subject, answer: answer::Answer) -> Vec<Action> {
        let replayed = !self.is_own(subject);
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
