//! The agent's memory of attempts: what it started, and what it promised never to start.
//!
//! The promise is the only thing that lets anybody say "did not run" about an attempt that left
//! its entry. It holds for one life of the agent, so each attempt names the life it is meant for.

use std::collections;

use super::{answer, attempt};
use crate::name;

/// Bounds of the agent's memory.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Most attempts remembered at once.
    pub max_attempts: usize,
    /// Longest body of a held answer in bytes.
    pub max_answer_bytes: usize,
    /// Age after which the mark that replaces forgotten attempts is dropped in its turn. It must
    /// be far longer than a call can be delayed by a network.
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

/// Why the agent does not start an attempt that reached it.
///
/// An entry sends an attempt once, so to the sender each refusal but `AlreadyStarted` proves that
/// the attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StartRefusal {
    /// The attempt is meant for another life of this agent.
    OtherIncarnation,
    /// The agent has promised never to start it.
    Promised,
    /// It was started before.
    AlreadyStarted,
    /// It is older than what the agent remembers.
    Forgotten,
    /// The agent can remember no more attempts.
    Full,
    /// The call came incomplete, too large or without the right credential.
    Unacceptable,
}

/// What the agent says of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AttemptStatus {
    /// It was not started and never will be: a promise.
    NeverStarts,
    /// It has not arrived; it may still.
    NotArrived,
    /// It was passed to the upstream, which has not answered.
    Running,
    /// The upstream answered.
    Finished(answer::Answer),
    /// The answer stands in the log, and the agent has let it go.
    Recorded,
    /// It was passed to the upstream and the connection broke: it may have run.
    Lost,
    /// The agent cannot know, since another life of it may have started the attempt.
    Unknown,
}

#[derive(Clone, Debug)]
enum Memory {
    Promised,
    Started,
    Finished(answer::Answer),
    Acknowledged,
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    highest: (u64, u64),
    raised_at_ms: u64,
}

/// What one life of an agent knows of attempts.
#[derive(Debug)]
pub struct AttemptRegistry {
    limits: RegistryLimits,
    incarnation: attempt::Incarnation,
    attempts: collections::BTreeMap<attempt::AttemptId, Memory>,
    forgettable: collections::VecDeque<attempt::AttemptId>,
    /// Per entry the highest forgotten attempt. Everything up to it that is not remembered is
    /// never started, so that forgetting cannot break a promise.
    marks: collections::BTreeMap<name::InstanceName, Mark>,
}

impl AttemptRegistry {
    /// Begins a life that knows nothing. The incarnation must differ from all earlier ones.
    pub fn new(incarnation: attempt::Incarnation, limits: RegistryLimits) -> Self {
        Self {
            limits,
            incarnation,
            attempts: collections::BTreeMap::new(),
            forgettable: collections::VecDeque::new(),
            marks: collections::BTreeMap::new(),
        }
    }

    /// The life of this agent.
    pub fn incarnation(&self) -> attempt::Incarnation {
        self.incarnation
    }

    /// Number of remembered attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Marks the attempt as started, or says why it must not be. The call goes to the upstream
    /// only after an `Ok` from here, and each attempt gets at most one.
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
            Some(Memory::Promised) => return Err(StartRefusal::Promised),
            Some(_) => return Err(StartRefusal::AlreadyStarted),
            None if self.is_forgotten(id) => return Err(StartRefusal::Forgotten),
            None => {}
        }
        if !self.make_room(now_ms) {
            return Err(StartRefusal::Full);
        }
        self.attempts.insert(id.clone(), Memory::Started);
        Ok(())
    }

    /// Tells what is known without promising anything.
    pub fn inspect(
        &self,
        id: &attempt::AttemptId,
        addressed_to: attempt::Incarnation,
    ) -> AttemptStatus {
        if addressed_to != self.incarnation {
            return AttemptStatus::Unknown;
        }
        match self.attempts.get(id) {
            Some(Memory::Promised) => AttemptStatus::NeverStarts,
            Some(Memory::Started) => AttemptStatus::Running,
            Some(Memory::Finished(answer)) => AttemptStatus::Finished(answer.clone()),
            Some(Memory::Acknowledged) => AttemptStatus::Recorded,
            Some(Memory::Lost) => AttemptStatus::Lost,
            None if self.is_forgotten(id) => AttemptStatus::Unknown,
            None => AttemptStatus::NotArrived,
        }
    }

    /// Promises never to start the attempt, or tells why that comes too late.
    pub fn promise(
        &mut self,
        id: &attempt::AttemptId,
        addressed_to: attempt::Incarnation,
        now_ms: u64,
    ) -> AttemptStatus {
        let known = self.inspect(id, addressed_to);
        if known != AttemptStatus::NotArrived {
            return known;
        }
        if self.make_room(now_ms) {
            self.attempts.insert(id.clone(), Memory::Promised);
            self.forgettable.push_back(id.clone());
        } else {
            // No room to remember the promise itself: the mark keeps it, and refuses a few more.
            self.raise_mark(id, now_ms);
        }
        AttemptStatus::NeverStarts
    }

    /// The upstream answered a started attempt.
    pub fn finish(&mut self, id: &attempt::AttemptId, answer: answer::Answer) {
        if let Some(memory @ (Memory::Started | Memory::Lost)) = self.attempts.get_mut(id) {
            *memory = Memory::Finished(answer.bounded(self.limits.max_answer_bytes));
        }
    }

    /// The connection to the upstream broke after the attempt had been passed on.
    pub fn mark_lost(&mut self, id: &attempt::AttemptId) {
        if let Some(memory @ Memory::Started) = self.attempts.get_mut(id) {
            *memory = Memory::Lost;
        }
    }

    /// No byte of a started attempt left the agent, so it turns into a promise.
    pub fn mark_not_forwarded(&mut self, id: &attempt::AttemptId) {
        if let Some(memory @ Memory::Started) = self.attempts.get_mut(id) {
            *memory = Memory::Promised;
            self.forgettable.push_back(id.clone());
        }
    }

    /// The outcome stands in the log, so the agent may let the attempt go.
    pub fn acknowledge(&mut self, id: &attempt::AttemptId) {
        if let Some(memory @ (Memory::Finished(_) | Memory::Lost)) = self.attempts.get_mut(id) {
            *memory = Memory::Acknowledged;
            self.forgettable.push_back(id.clone());
        }
    }

    /// Answers that nobody has recorded yet, oldest attempt of each entry first. The agent offers
    /// them to any entry, because the one that sent the attempt may be gone.
    pub fn unrecorded(&self) -> impl Iterator<Item = (&attempt::AttemptId, &answer::Answer)> {
        self.attempts.iter().filter_map(|(id, memory)| match memory {
            Memory::Finished(answer) => Some((id, answer)),
            _ => None,
        })
    }

    /// Number of attempts that the upstream still works on; a planned stop waits for them.
    pub fn running(&self) -> usize {
        self.attempts.values().filter(|memory| matches!(memory, Memory::Started)).count()
    }

    fn is_forgotten(&self, id: &attempt::AttemptId) -> bool {
        let order = (id.entry_incarnation, id.sequence);
        self.marks.get(&id.entry).is_some_and(|mark| order <= mark.highest)
    }

    fn make_room(&mut self, now_ms: u64) -> bool {
        while self.attempts.len() >= self.limits.max_attempts {
            let Some(oldest) = self.forgettable.pop_front() else { return false };
            self.attempts.remove(&oldest);
            self.raise_mark(&oldest, now_ms);
        }
        true
    }

    fn raise_mark(&mut self, id: &attempt::AttemptId, now_ms: u64) {
        let life_ms = self.limits.watermark_ttl_ms;
        self.marks.retain(|_, mark| now_ms.saturating_sub(mark.raised_at_ms) < life_ms);
        let order = (id.entry_incarnation, id.sequence);
        let fresh = Mark { highest: order, raised_at_ms: now_ms };
        let mark = self.marks.entry(id.entry.clone()).or_insert(fresh);
        mark.highest = mark.highest.max(order);
        mark.raised_at_ms = now_ms;
    }
}
