//! Proposals on their way: waiting for an election, in the log, or passed on to the leader.

use std::{collections, mem};

use ragwortdeal_core::{
    name,
    replication::{entry, payload},
};
use tokio::sync::oneshot;

use super::{Answer, letter::Letter, numbers, peers};

/// How long a proposal waits for an election to end before it is refused as not run. Shorter than
/// the time for which an entry waits, so that the entry can still ask the new leader.
const WAIT_FOR_LEADER_MS: u64 = 2_000;
/// How long an answer to a forwarded proposal is waited for. The asker has given up by then.
const FORWARD_MS: u64 = 10_000;
/// Most proposals that wait for an election, and most that are forwarded.
const WAITING_MAX: usize = 1_024;

/// Who is told what became of a proposal.
pub(super) enum Asker {
    /// A request on a link of this voter.
    Here(oneshot::Sender<Answer>),
    /// A follower that passed the proposal on.
    Peer {
        /// The follower's instance.
        name: name::InstanceName,
        /// The follower's number for it.
        number: u64,
    },
}

/// A proposal that has no place in the log yet.
pub(super) struct Proposal {
    pub(super) payload: payload::Bytes,
    pub(super) asker: Asker,
    refuse_at_ms: u64,
}

impl Proposal {
    pub(super) fn new(payload: payload::Bytes, asker: Asker, now_ms: u64) -> Self {
        Self { payload, asker, refuse_at_ms: now_ms + WAIT_FOR_LEADER_MS }
    }

    /// Whether it may still wait for an election. A forwarded one waits at its follower.
    pub(super) fn may_wait(&self, now_ms: u64) -> bool {
        matches!(self.asker, Asker::Here(_)) && now_ms < self.refuse_at_ms
    }
}

/// A proposal in the log whose fate is open.
struct Logged {
    term: u64,
    asker: Asker,
}

struct Passed {
    asker: Asker,
    leader: entry::ReplicaId,
    given_up_at_ms: u64,
}

/// All proposals whose askers wait for an answer.
#[derive(Default)]
pub(super) struct Proposals {
    waiting: collections::VecDeque<Proposal>,
    logged: collections::BTreeMap<u64, Logged>,
    passed: collections::BTreeMap<u64, Passed>,
    numbers: numbers::LetterNumbers,
}

impl Proposals {
    /// Keeps a proposal until a leader is known, or gives it back where too many wait.
    pub(super) fn wait(&mut self, proposal: Proposal) -> Result<(), Proposal> {
        if self.waiting.len() >= WAITING_MAX {
            return Err(proposal);
        }
        self.waiting.push_back(proposal);
        Ok(())
    }

    /// Takes all that waited for a leader.
    pub(super) fn take_waiting(&mut self) -> collections::VecDeque<Proposal> {
        mem::take(&mut self.waiting)
    }

    /// Takes what waited too long, and forgets forwarded ones whose askers have given up.
    pub(super) fn take_late(&mut self, now_ms: u64) -> Vec<Proposal> {
        self.passed.retain(|_, passed| now_ms < passed.given_up_at_ms);
        let late = self.waiting.iter().take_while(|it| it.refuse_at_ms <= now_ms).count();
        self.waiting.drain(..late).collect()
    }

    /// Notes the place of a proposal in the log.
    pub(super) fn logged(&mut self, position: entry::Position, asker: Asker) {
        self.logged.insert(position.index, Logged { term: position.term, asker });
    }

    /// Takes the asker of the proposal at an applied index, and whether it is that very proposal.
    /// Another entry in its place proves that it was never applied and never will be.
    pub(super) fn applied(&mut self, position: entry::Position) -> Option<(Asker, bool)> {
        let logged = self.logged.remove(&position.index)?;
        Some((logged.asker, logged.term == position.term))
    }

    /// Forgets proposals up to an index. What became of them is not known here; without an answer
    /// their askers ask again.
    pub(super) fn covered(&mut self, index: u64) {
        self.logged = self.logged.split_off(&(index + 1));
    }

    /// Forgets everything, as nothing will be known here any more.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Passes a proposal on to the leader, or gives it back where too many are under way.
    pub(super) fn pass_on(
        &mut self,
        proposal: Proposal,
        own: &entry::ReplicaId,
        leader: &entry::ReplicaId,
        peers: &peers::Peers,
        now_ms: u64,
    ) -> Result<(), Proposal> {
        if self.passed.len() >= WAITING_MAX {
            return Err(proposal);
        }
        let number = self.numbers.take();
        let Proposal { payload, asker, .. } = proposal;
        let given_up_at_ms = now_ms + FORWARD_MS;
        let passed = Passed { asker, leader: leader.clone(), given_up_at_ms };
        self.passed.insert(number, passed);
        log::debug!("voter: passes a proposal on to {leader}, number={number}");
        let letter = Letter::Forward { from: own.clone(), number, payload };
        peers.send(&leader.instance, &letter);
        Ok(())
    }

    /// Takes the asker of a forwarded proposal, if this is the voter that it was passed on to.
    pub(super) fn returned(&mut self, number: u64, from: &entry::ReplicaId) -> Option<Asker> {
        if self.passed.get(&number)?.leader != *from {
            return None;
        }
        self.passed.remove(&number).map(|passed| passed.asker)
    }
}
