//! The agent's registry of attempts: those it has started, and those it promised never to start.
//!
//! Only such a promise proves that an attempt that left its entry did not run. It holds for one
//! incarnation of the agent, so each attempt names the incarnation to which it is addressed.

use std::collections;

use super::{answer, attempt};
use crate::name;

/// Limits of the registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Maximum number of attempts in the registry.
    pub max_attempts: usize,
    /// Maximum length of the body of a stored answer.
    pub max_answer_bytes: usize,
    /// Age after which the watermark that stands for evicted attempts is dropped. It must be much
    /// longer than the network can delay a call.
    pub watermark_ttl_ms: u64,
}

impl Default for RegistryLimits {
    fn default() -> Self {
        Self {
            max_attempts: 2048,
            max_answer_bytes: 16 * 1024,
            watermark_ttl_ms: 24 * 60 * 60 * 1000,
        }
    }
}

/// Why the agent refuses to start an attempt.
///
/// An entry sends an attempt only once, so for the sender every refusal except `AlreadyStarted`
/// proves that the attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StartRefusal {
    /// The attempt is addressed to another incarnation of this agent.
    OtherIncarnation,
    /// The agent has promised never to start it.
    Promised,
    /// It was already started.
    AlreadyStarted,
    /// It is not newer than the latest evicted attempt of its entry.
    Forgotten,
    /// The registry is full.
    Full,
    /// The call was incomplete, too large or without a valid credential.
    Unacceptable,
}

/// The status of an attempt as reported by the agent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AttemptStatus {
    /// The agent promises that it has not started the attempt and never will.
    NeverStarts,
    /// It has not arrived, but still may.
    NotArrived,
    /// It was forwarded to the upstream, which has not answered yet.
    Running,
    /// The upstream answered.
    Finished(answer::Answer),
    /// The answer is recorded in the log, and the agent has dropped it.
    Recorded,
    /// It was forwarded to the upstream and the connection broke: it may have run.
    Lost,
    /// The agent cannot know: another incarnation may have started the attempt, or it was evicted.
    Unknown,
}

#[derive(Clone, Debug)]
enum AttemptState {
    Promised,
    Started,
    Finished(answer::Answer),
    Acknowledged,
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct Watermark {
    highest: (u64, u64),
    raised_at_ms: u64,
}

/// The attempts known to one incarnation of an agent.
#[derive(Debug)]
pub struct AttemptRegistry {
    limits: RegistryLimits,
    incarnation: attempt::Incarnation,
    attempts: collections::BTreeMap<attempt::AttemptId, AttemptState>,
    evictable: collections::VecDeque<attempt::AttemptId>,
    /// The latest evicted attempt of each entry. No attempt up to it that is not in the registry is
    /// ever started, so eviction cannot break a promise.
    watermarks: collections::BTreeMap<name::InstanceName, Watermark>,
}

impl AttemptRegistry {
    /// Creates an empty registry. The incarnation must differ from all earlier ones of the agent.
    pub fn new(incarnation: attempt::Incarnation, limits: RegistryLimits) -> Self {
        Self {
            limits,
            incarnation,
            attempts: collections::BTreeMap::new(),
            evictable: collections::VecDeque::new(),
            watermarks: collections::BTreeMap::new(),
        }
    }

    /// The incarnation of this agent.
    pub fn incarnation(&self) -> attempt::Incarnation {
        self.incarnation
    }

    /// Number of attempts in the registry.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether the registry is empty.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Marks the attempt as started, or returns why it must not start. A call may be forwarded to
    /// the upstream only after `Ok`, which each attempt gets at most once.
    pub fn start(
        &mut self,
        id: &attempt::AttemptId,
        addressed_to: attempt::Incarnation,
        now_ms: u64,
    ) -> Result<(), StartRefusal> {
        if addressed_to != self.incarnation {
            return Err(StartRefusal::OtherIncarnation);
        }
        match self.attempts.get(id) {
            Some(AttemptState::Promised) => return Err(StartRefusal::Promised),
            Some(_) => return Err(StartRefusal::AlreadyStarted),
            None if self.is_forgotten(id) => return Err(StartRefusal::Forgotten),
            None => {}
        }
        if !self.make_room(now_ms) {
            return Err(StartRefusal::Full);
        }
        self.attempts.insert(id.clone(), AttemptState::Started);
        Ok(())
    }

    /// Returns the status of an attempt without promising anything.
    pub fn inspect(
        &self,
        id: &attempt::AttemptId,
        addressed_to: attempt::Incarnation,
    ) -> AttemptStatus {
        if addressed_to != self.incarnation {
            return AttemptStatus::Unknown;
        }
        match self.attempts.get(id) {
            Some(AttemptState::Promised) => AttemptStatus::NeverStarts,
            Some(AttemptState::Started) => AttemptStatus::Running,
            Some(AttemptState::Finished(answer)) => AttemptStatus::Finished(answer.clone()),
            Some(AttemptState::Acknowledged) => AttemptStatus::Recorded,
            Some(AttemptState::Lost) => AttemptStatus::Lost,
            None if self.is_forgotten(id) => AttemptStatus::Unknown,
            None => AttemptStatus::NotArrived,
        }
    }

    /// Promises never to start the attempt, or returns its status if it is too late for that.
    pub fn promise(
        &mut self,
        id: &attempt::AttemptId,
        addressed_to: attempt::Incarnation,
        now_ms: u64,
    ) -> AttemptStatus {
        let status = self.inspect(id, addressed_to);
        if status != AttemptStatus::NotArrived {
            return status;
        }
        if self.make_room(now_ms) {
            self.attempts.insert(id.clone(), AttemptState::Promised);
            self.evictable.push_back(id.clone());
        } else {
            // There is no room for the promise itself. The watermark keeps it, and also excludes
            // earlier attempts of the entry that have not arrived.
            self.raise_watermark(id, now_ms);
        }
        AttemptStatus::NeverStarts
    }

    /// Records the upstream's answer to a started attempt.
    pub fn finish(&mut self, id: &attempt::AttemptId, answer: answer::Answer) {
        if let Some(state @ (AttemptState::Started | AttemptState::Lost)) =
            self.attempts.get_mut(id)
        {
            *state = AttemptState::Finished(answer.bounded(self.limits.max_answer_bytes));
        }
    }

    /// Records that the connection to the upstream broke after the attempt was forwarded.
    pub fn mark_lost(&mut self, id: &attempt::AttemptId) {
        if let Some(state @ AttemptState::Started) = self.attempts.get_mut(id) {
            *state = AttemptState::Lost;
        }
    }

    /// Records that no byte of a started attempt left the agent, which turns it into a promise.
    pub fn mark_not_forwarded(&mut self, id: &attempt::AttemptId) {
        if let Some(state @ AttemptState::Started) = self.attempts.get_mut(id) {
            *state = AttemptState::Promised;
            self.evictable.push_back(id.clone());
        }
    }

    /// Records that the outcome is in the log, so that the attempt may be evicted.
    pub fn acknowledge(&mut self, id: &attempt::AttemptId) {
        if let Some(state @ (AttemptState::Finished(_) | AttemptState::Lost)) =
            self.attempts.get_mut(id)
        {
            *state = AttemptState::Acknowledged;
            self.evictable.push_back(id.clone());
        }
    }

    /// Answers that are not recorded in the log yet, oldest attempt of each entry first. The agent
    /// offers them to any entry, because the one that sent the attempt may have failed.
    pub fn unrecorded(&self) -> impl Iterator<Item = (&attempt::AttemptId, &answer::Answer)> {
        self.attempts.iter().filter_map(|(id, state)| match state {
            AttemptState::Finished(answer) => Some((id, answer)),
            _ => None,
        })
    }

    /// Number of attempts that the upstream is processing; a planned stop waits for them.
    pub fn running(&self) -> usize {
        self.attempts.values().filter(|state| matches!(state, AttemptState::Started)).count()
    }

    fn is_forgotten(&self, id: &attempt::AttemptId) -> bool {
        let order = (id.entry_incarnation, id.sequence);
        self.watermarks.get(&id.entry).is_some_and(|watermark| order <= watermark.highest)
    }

    fn make_room(&mut self, now_ms: u64) -> bool {
        while self.attempts.len() >= self.limits.max_attempts {
            let Some(oldest) = self.evictable.pop_front() else { return false };
            self.attempts.remove(&oldest);
            self.raise_watermark(&oldest, now_ms);
        }
        true
    }

    fn raise_watermark(&mut self, id: &attempt::AttemptId, now_ms: u64) {
        let ttl_ms = self.limits.watermark_ttl_ms;
        self.watermarks
            .retain(|_, watermark| now_ms.saturating_sub(watermark.raised_at_ms) < ttl_ms);
        let order = (id.entry_incarnation, id.sequence);
        let initial = Watermark { highest: order, raised_at_ms: now_ms };
        let watermark = self.watermarks.entry(id.entry.clone()).or_insert(initial);
        watermark.highest = watermark.highest.max(order);
        watermark.raised_at_ms = now_ms;
    }
}
