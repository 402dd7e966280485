//! A caller's place among the running calls, and the wait for it.

use std::{collections, sync};

use ragwortdeal_core::{admission, admission::refusal, config, name};
use tokio::sync::oneshot;

use super::super::Entry;
use super::traffic;
use crate::http;

/// Longest time in milliseconds that a caller may say it will wait.
const TIMEOUT_MAX_MS: u64 = 24 * 3_600_000;

/// Admission to one target, with those who wait.
#[derive(Debug)]
pub(in super::super) struct Gate {
    pub(super) admission: admission::Admission,
    waiting: collections::BTreeMap<admission::Ticket, traffic::Verdict>,
}

impl Gate {
    pub(super) fn new(capacity_slots: u32) -> Self {
        let settings = admission::Settings::default();
        let admission = admission::Admission::new(settings, capacity_slots);
        Self { admission, waiting: collections::BTreeMap::new() }
    }

    /// Tells those who waited what became of them. Whoever has gone meanwhile gives its place
    /// back by itself.
    pub(super) fn carry_out(&mut self, actions: Vec<admission::Action>) {
        for action in actions {
            let (ticket, verdict) = match action {
                admission::Action::Start(ticket) => (ticket, Ok(())),
                admission::Action::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                let _ = sender.send(verdict);
            }
        }
    }

    pub(super) fn tick(&mut self, now_ms: u64) {
        let actions = self.admission.tick(now_ms);
        self.carry_out(actions);
    }
}

/// A caller's place. Dropping it gives it back, also where the caller went away while waiting:
/// otherwise places would leak until nobody is let in.
pub(in super::super) struct Permit {
    entry: sync::Arc<Entry>,
    target: config::object::ObjectKey,
    ticket: admission::Ticket,
    answered: bool,
}

impl Permit {
    /// Counts the call's duration among those by which waits are estimated.
    pub(in super::super) fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now_ms = self.entry.clock.now_ms();
        let mut traffic = self.entry.traffic.lock().expect("no panic under lock");
        let gate = traffic.gate(&self.target, now_ms);
        let actions = match self.answered {
            true => gate.admission.finish(self.ticket, now_ms),
            false => gate.admission.cancel(self.ticket, now_ms),
        };
        gate.waiting.remove(&self.ticket);
        gate.carry_out(actions);
    }
}

/// What a caller asks of its place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) struct Urgency {
    pub(super) priority: admission::Priority,
    pub(super) timeout_ms: Option<u64>,
}

impl Urgency {
    pub(in super::super) fn of(request: &http::Request) -> Self {
        let priority = match request.header(http::PRIORITY) {
            Some("high") => admission::Priority::High,
            Some("low") => admission::Priority::Low,
            _ => admission::Priority::Normal,
        };
        let timeout_ms = request.header(http::TIMEOUT_MS).and_then(|value| value.parse().ok());
        Self { priority, timeout_ms: timeout_ms.map(|value: u64| value.min(TIMEOUT_MAX_MS)) }
    }

    /// The priority as engines and agents read it.
    pub(super) fn priority_text(self) -> &'static str {
        match self.priority {
            admission::Priority::High => "high",
            admission::Priority::Normal => "normal",
            admission::Priority::Low => "low",
        }
    }

    /// When the caller stops waiting, on the entry's clock.
    pub(super) fn deadline_ms(self, now_ms: u64) -> u64 {
        now_ms + self.timeout_ms.unwrap_or(TIMEOUT_MAX_MS)
    }
}

/// Gets a caller its place, at once or after a wait that is bounded by time.
pub(in super::super) async fn acquire(
    entry: &sync::Arc<Entry>,
    account: &name::AccountName,
    target: &config::object::ObjectKey,
    deadline_ms: u64,
    urgency: Urgency,
) -> Result<Permit, refusal::Refusal> {
    let (mut permit, verdict) = offer(entry, account, target, deadline_ms, urgency)?;
    if let Some(verdict) = verdict {
        let no_capacity =
            refusal::Refusal { reason: refusal::Reason::NoCapacity, retry_after_ms: 1_000 };
        verdict.await.unwrap_or(Err(no_capacity))?;
    }
    permit.answered = false;
    Ok(permit)
}

type Offered = (Permit, Option<oneshot::Receiver<Result<(), refusal::Refusal>>>);

fn offer(
    entry: &sync::Arc<Entry>,
    account: &name::AccountName,
    target: &config::object::ObjectKey,
    deadline_ms: u64,
    urgency: Urgency,
) -> Result<Offered, refusal::Refusal> {
    let now_ms = entry.clock.now_ms();
    let mut traffic = entry.traffic.lock().expect("no panic under lock");
    let draw = traffic.draw();
    let priority = urgency.priority;
    let request = admission::Request { account: account.clone(), priority, deadline_ms, draw };
    let gate = traffic.gate(target, now_ms);
    if let Some(&weight) = entry.weights.get(account) {
        gate.admission.set_weight(account, weight);
    }
    let (ticket, verdict) = match gate.admission.offer(request, now_ms) {
        admission::Decision::Admitted(ticket) => (ticket, None),
        admission::Decision::Queued(ticket) => {
            let (sender, receiver) = oneshot::channel();
            gate.waiting.insert(ticket, sender);
            (ticket, Some(receiver))
        }
        admission::Decision::Refused(refusal) => return Err(refusal),
    };
    let permit = Permit { entry: entry.clone(), target: target.clone(), ticket, answered: false };
    Ok((permit, verdict))
}
