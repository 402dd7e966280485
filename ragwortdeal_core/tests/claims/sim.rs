//! Simulation of a log, an agent and a ledger, joined by messages that the test delivers.

#![allow(dead_code, missing_docs, reason = "each test uses a part, and none of it is published")]

use std::collections;

use ragwortdeal_core::{
    claims::{answer, attempt, key, operation, registry, state, table},
    digest, name,
};

/// How requests are executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A retry is sent to the upstream again.
    Direct,
    /// The key is claimed; the agent has no registry.
    Claim,
    /// The key is claimed, and the agent registers attempts and makes promises.
    Promise,
    /// In addition, the ledger runs each key only once.
    PromiseAndKey,
}

impl Policy {
    fn claims(self) -> bool {
        self != Self::Direct
    }

    fn has_registry(self) -> bool {
        matches!(self, Self::Promise | Self::PromiseAndKey)
    }
}

/// Faults that are injected to verify that the checks detect them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// A restarted agent keeps its incarnation.
    SameIncarnation,
    /// The agent does not register its promises.
    ForgetPromise,
    /// An operation in doubt is released as if it did not run.
    DoubtReleases,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    ToLog,
    FromLog,
    Call,
    ToUpstream,
    FromUpstream,
    Answered,
    QueryAttempt,
    AttemptStatus,
    WaitElapsed,
}

#[derive(Clone, Debug)]
pub enum Message {
    ToLog(state::Command),
    FromLog(Option<state::Outcome>),
    Call(attempt::AttemptId, attempt::Incarnation),
    ToUpstream(attempt::AttemptId, attempt::Incarnation),
    FromUpstream(attempt::AttemptId, attempt::Incarnation, answer::Answer),
    Answered(Result<answer::Answer, registry::StartRefusal>),
    QueryAttempt(attempt::AttemptId, attempt::Incarnation, bool),
    AttemptStatus(registry::AttemptStatus),
    WaitElapsed,
}

impl Message {
    pub fn kind(&self) -> Kind {
        match self {
            Message::ToLog(_) => Kind::ToLog,
            Message::FromLog(_) => Kind::FromLog,
            Message::Call(..) => Kind::Call,
            Message::ToUpstream(..) => Kind::ToUpstream,
            Message::FromUpstream(..) => Kind::FromUpstream,
            Message::Answered(_) => Kind::Answered,
            Message::QueryAttempt(..) => Kind::QueryAttempt,
            Message::AttemptStatus(_) => Kind::AttemptStatus,
            Message::WaitElapsed => Kind::WaitElapsed,
        }
    }
}

pub struct Request {
    pub entry: usize,
    pub attempt: attempt::AttemptId,
    pub operation: Option<operation::Operation>,
    pub alive: bool,
    pub sent: bool,
    pub replies: Vec<operation::Reply>,
}

pub struct Sim {
    pub policy: Policy,
    pub fault: Fault,
    pub table: table::ClaimTable,
    pub agent: registry::AttemptRegistry,
    pub requests: Vec<Request>,
    pub in_flight: Vec<(usize, Message)>,
    /// Attempts that the ledger executed, in order.
    pub effects: Vec<attempt::AttemptId>,
    sources: collections::BTreeMap<usize, attempt::AttemptIdGenerator>,
    now_ms: u64,
}

pub fn scoped_key() -> key::ScopedKey {
    key::ScopedKey {
        account: name::AccountName::new("irbid-branch").unwrap(),
        service: name::ServiceName::new("ledger").unwrap(),
        key: name::OperationKey::new("transfer-1").unwrap(),
    }
}

pub fn ledger_answer(attempt: &attempt::AttemptId) -> answer::Answer {
    answer::Answer::new(201, Some("text/plain"), attempt.to_string().as_bytes())
}

fn entry_name(entry: usize) -> name::InstanceName {
    name::InstanceName::new(&format!("entry-{entry}")).unwrap()
}

impl Sim {
    pub fn new(policy: Policy, fault: Fault) -> Self {
        let slots = (0..=u8::MAX).map(key::Slot);
        Self {
            policy,
            fault,
            table: table::ClaimTable::new(table::TableLimits::default(), slots),
            agent: registry::AttemptRegistry::new(
                attempt::Incarnation(1),
                registry::RegistryLimits::default(),
            ),
            requests: Vec::new(),
            in_flight: Vec::new(),
            effects: Vec::new(),
            sources: collections::BTreeMap::new(),
            now_ms: 0,
        }
    }

    /// Sends the caller's request or its retry to the given entry.
    pub fn request(&mut self, entry: usize) -> usize {
        let fresh = || attempt::AttemptIdGenerator::new(entry_name(entry), 1);
        let attempt = self.sources.entry(entry).or_insert_with(fresh).next_id();
        let number = self.requests.len();
        let mut request = Request {
            entry,
            attempt: attempt.clone(),
            operation: None,
            alive: true,
            sent: false,
            replies: Vec::new(),
        };
        let mut actions = Vec::new();
        if self.policy.claims() {
            let claim = self.claim(attempt);
            let (operation, first) =
                operation::Operation::begin(claim, operation::OperationTimings::default());
            request.operation = Some(operation);
            actions = first;
        }
        self.requests.push(request);
        if !self.policy.claims() {
            self.send_without_claim(number);
        }
        self.act(number, actions);
        number
    }

    /// Makes an entry resolve the existing claim of any entry.
    pub fn reconcile(&mut self, entry: usize) {
        let Some(record) = self.table.get(&scoped_key().id()).cloned() else { return };
        let attempt = record.attempt.clone();
        let times = operation::OperationTimings::default();
        let (operation, actions) = operation::Operation::reconcile(record, times);
        self.requests.push(Request {
            entry,
            attempt,
            operation: Some(operation),
            alive: true,
            sent: false,
            replies: Vec::new(),
        });
        self.act(self.requests.len() - 1, actions);
    }

    fn claim(&self, attempt: attempt::AttemptId) -> state::Claim {
        let key_support = match self.policy {
            Policy::PromiseAndKey => state::KeySupport::Service,
            _ => state::KeySupport::None,
        };
        state::Claim {
            key: scoped_key(),
            body_digest: digest::Digest::of(b"three hours to Rania"),
            attempt,
            replaces: None,
            upstream: attempt::Upstream {
                instance: name::InstanceName::new("ledger-1").unwrap(),
                incarnation: self.agent.incarnation(),
            },
            key_support,
        }
    }

    fn send_without_claim(&mut self, number: usize) {
        let attempt = self.requests[number].attempt.clone();
        self.requests[number].sent = true;
        self.in_flight.push((number, Message::Call(attempt, self.agent.incarnation())));
    }

    fn reply_answer(&mut self, number: usize, answer: answer::Answer) {
        self.requests[number].replies.push(operation::Reply::Answer { answer, replayed: false });
    }

    fn act(&mut self, number: usize, actions: Vec<operation::Action>) {
        for action in actions {
            match action {
                operation::Action::Propose(command) => self.propose(number, command),
                operation::Action::Send { attempt, upstream } => {
                    self.requests[number].sent = true;
                    self.in_flight.push((number, Message::Call(attempt, upstream.incarnation)));
                }
                operation::Action::QueryAttempt { attempt, upstream, promise } => {
                    let message = Message::QueryAttempt(attempt, upstream.incarnation, promise);
                    self.in_flight.push((number, message));
                }
                operation::Action::Wait { .. } => {
                    self.in_flight.push((number, Message::WaitElapsed));
                }
                operation::Action::Acknowledge { attempt, .. } => self.agent.acknowledge(&attempt),
                operation::Action::Reply(reply) => self.requests[number].replies.push(reply),
            }
        }
    }

    fn propose(&mut self, number: usize, mut command: state::Command) {
        if let (Fault::DoubtReleases, state::Command::MarkInDoubt { id, attempt, .. }) =
            (self.fault, &command)
        {
            let incarnation = self.table.get(id).unwrap().upstream.incarnation;
            let evidence = state::Evidence::Promise { incarnation };
            command = state::Command::Release { id: *id, attempt: attempt.clone(), evidence };
        }
        self.in_flight.push((number, Message::ToLog(command)));
    }

    /// Passes an event to the request's entry, if it is still alive.
    pub fn tell(&mut self, number: usize, event: operation::Event) {
        if !self.requests[number].alive {
            return;
        }
        if let Some(operation) = self.requests[number].operation.as_mut() {
            let actions = operation.handle(event);
            self.act(number, actions);
        }
    }

    /// Delivers one message.
    pub fn deliver(&mut self, number: usize, message: Message) {
        match message {
            Message::ToLog(command) => {
                let outcome = self.commit(command);
                self.in_flight.push((number, Message::FromLog(Some(outcome))));
            }
            Message::FromLog(Some(outcome)) => {
                self.tell(number, operation::Event::Applied(outcome));
            }
            Message::FromLog(None) => self.tell(number, operation::Event::NotApplied),
            Message::Call(attempt, incarnation) => self.call(number, attempt, incarnation),
            Message::ToUpstream(attempt, incarnation) => self.run(number, attempt, incarnation),
            Message::FromUpstream(attempt, incarnation, answer) => {
                self.upstream_answered(number, &attempt, incarnation, answer);
            }
            Message::Answered(result) => self.answered(number, result),
            Message::QueryAttempt(attempt, incarnation, promise) => {
                let status = self.query_attempt(&attempt, incarnation, promise);
                self.in_flight.push((number, Message::AttemptStatus(status)));
            }
            Message::AttemptStatus(status) => {
                self.tell(number, operation::Event::AttemptStatus(status));
            }
            Message::WaitElapsed => self.tell(number, operation::Event::WaitElapsed),
        }
    }

    pub fn commit(&mut self, command: state::Command) -> state::Outcome {
        self.now_ms += 10;
        self.table.apply(state::TimestampedCommand { now_ms: self.now_ms, command })
    }

    fn call(&mut self, number: usize, id: attempt::AttemptId, to: attempt::Incarnation) {
        let started = match self.policy.has_registry() {
            true => self.agent.start(&id, to, self.now_ms),
            false => Ok(()),
        };
        let message = match started {
            Ok(()) => Message::ToUpstream(id, self.agent.incarnation()),
            Err(refusal) => Message::Answered(Err(refusal)),
        };
        self.in_flight.push((number, message));
    }

    fn run(&mut self, number: usize, id: attempt::AttemptId, incarnation: attempt::Incarnation) {
        let first = self.effects.first().cloned();
        let answer = match (self.policy, first) {
            (Policy::PromiseAndKey, Some(first)) => ledger_answer(&first),
            _ => {
                self.effects.push(id.clone());
                ledger_answer(&id)
            }
        };
        self.in_flight.push((number, Message::FromUpstream(id, incarnation, answer)));
    }

    fn upstream_answered(
        &mut self,
        number: usize,
        id: &attempt::AttemptId,
        incarnation: attempt::Incarnation,
        answer: answer::Answer,
    ) {
        if self.policy.has_registry() {
            if incarnation != self.agent.incarnation() {
                return;
            }
            self.agent.finish(id, answer.clone());
        }
        if self.requests[number].attempt == *id {
            self.in_flight.push((number, Message::Answered(Ok(answer))));
        }
    }

    fn answered(&mut self, number: usize, result: Result<answer::Answer, registry::StartRefusal>) {
        if self.policy.claims() {
            let event = match result {
                Ok(answer) => operation::Event::Answered(answer),
                Err(refusal) => operation::Event::Refused(refusal),
            };
            return self.tell(number, event);
        }
        let Ok(answer) = result else { return };
        if self.requests[number].alive {
            self.reply_answer(number, answer);
        }
    }

    fn query_attempt(
        &mut self,
        id: &attempt::AttemptId,
        to: attempt::Incarnation,
        promise: bool,
    ) -> registry::AttemptStatus {
        if !self.policy.has_registry() {
            return registry::AttemptStatus::Unknown;
        }
        if !promise {
            return self.agent.inspect(id, to);
        }
        if self.fault == Fault::ForgetPromise {
            let known = self.agent.inspect(id, to);
            return match known {
                registry::AttemptStatus::NotArrived => registry::AttemptStatus::NeverStarts,
                known => known,
            };
        }
        self.agent.promise(id, to, self.now_ms)
    }

    /// Kills an entry with all its requests.
    pub fn kill_entry(&mut self, entry: usize) {
        for request in &mut self.requests {
            if request.entry == entry {
                request.alive = false;
            }
        }
    }

    /// Restarts the agent with an empty registry; its links break.
    pub fn restart_agent(&mut self) {
        let mut next = attempt::Incarnation(self.agent.incarnation().0 + 1);
        if self.fault == Fault::SameIncarnation {
            next = self.agent.incarnation();
        }
        self.agent = registry::AttemptRegistry::new(next, registry::RegistryLimits::default());
        for number in 0..self.requests.len() {
            if self.requests[number].sent {
                self.tell(number, operation::Event::LinkLost);
            }
        }
    }

    /// Number of requests that took effect although the reply was "did not run".
    pub fn false_refusals(&self) -> usize {
        let told_not_run = |request: &&Request| {
            let not_run =
                |reply: &operation::Reply| matches!(reply, operation::Reply::DidNotRun { .. });
            request.replies.iter().any(not_run)
        };
        let ran = |request: &&Request| self.effects.contains(&request.attempt);
        self.requests.iter().filter(told_not_run).filter(ran).count()
    }

    /// Number of replies with an answer that the ledger did not give to this operation.
    pub fn foreign_answers(&self) -> usize {
        let known: Vec<_> = self.effects.iter().map(ledger_answer).collect();
        let foreign = |reply: &&operation::Reply| match reply {
            operation::Reply::Answer { answer, .. } => !known.contains(answer),
            _ => false,
        };
        self.requests.iter().flat_map(|request| &request.replies).filter(foreign).count()
    }
}
