//! The replicated state machine of claimed keys.
//!
//! Every replica applies the same entries in the same order and reads no clock, so all of them
//! come to the same table.

use std::collections;

use super::{answer, attempt, clock, key, state};

/// Bounds of the table. All replicas of a group must have the same, so they belong to its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TableLimits {
    /// Most claims at once.
    pub max_claims: usize,
    /// Longest body of a recorded answer in bytes.
    pub max_answer_bytes: usize,
    /// Most bytes of recorded bodies together. Beyond it the oldest are kept as their hash: their
    /// resends learn that the operation ran, and nothing is refused for want of memory.
    pub max_bodies_bytes: usize,
    /// Age of a final state after which the key is forgotten. It must be longer than any resend:
    /// a resend after it would run again.
    pub expire_after_ms: u64,
    /// Age of an attempt before which it cannot be settled by hand, because it could still start.
    pub settle_after_ms: u64,
    /// Most claims that one entry of the log expires, so that no entry takes long to apply.
    pub max_expired_per_entry: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            max_claims: 200_000,
            max_answer_bytes: 64 * 1024,
            max_bodies_bytes: 32 << 20,
            expire_after_ms: 7 * 24 * 60 * 60 * 1000,
            settle_after_ms: 15 * 60 * 1000,
            max_expired_per_entry: 64,
        }
    }
}

/// Claimed keys of the slots of one group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimTable {
    limits: TableLimits,
    now_ms: u64,
    open: collections::BTreeSet<key::Slot>,
    claims: collections::BTreeMap<key::OperationId, state::ClaimRecord>,
    expiring: collections::BTreeSet<(u64, key::OperationId)>,
    /// Claims with a recorded body, the oldest first.
    bodies: collections::BTreeSet<(u64, key::OperationId)>,
    bodies_bytes: usize,
}

impl ClaimTable {
    /// An empty table that serves the given slots.
    pub fn new(limits: TableLimits, slots: impl IntoIterator<Item = key::Slot>) -> Self {
        Self {
            limits,
            now_ms: 0,
            open: slots.into_iter().collect(),
            claims: collections::BTreeMap::new(),
            expiring: collections::BTreeSet::new(),
            bodies: collections::BTreeSet::new(),
            bodies_bytes: 0,
        }
    }

    /// Time of the log in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether nothing is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Bytes of recorded bodies.
    pub fn bodies_bytes(&self) -> usize {
        self.bodies_bytes
    }

    /// The claim of an operation.
    pub fn get(&self, id: &key::OperationId) -> Option<&state::ClaimRecord> {
        self.claims.get(id)
    }

    /// Operations for staff to look at: those in doubt, and those claimed so long ago that nobody
    /// seems to be at work on them.
    pub fn unresolved(&self) -> impl Iterator<Item = (&key::OperationId, &state::ClaimRecord)> {
        self.claims.iter().filter(|(_, standing)| match standing.state {
            state::State::InDoubt(_) => true,
            state::State::Claimed => self.is_settleable(standing),
            _ => false,
        })
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, entry: state::TimestampedCommand) -> state::Outcome {
        self.now_ms = clock::advance_ms(self.now_ms, entry.now_ms);
        self.expire();
        match entry.command {
            state::Command::Claim(claim) => self.claim(claim),
            state::Command::Record { id, attempt, answer } => self.record(&id, &attempt, answer),
            state::Command::Release { id, attempt, evidence } => {
                self.release(&id, &attempt, evidence)
            }
            state::Command::MarkInDoubt { id, attempt, doubt } => self.doubt(&id, &attempt, doubt),
            state::Command::Settle { id, attempt, verdict, operator } => {
                let settled = state::State::Settled { verdict, operator, late_answer: None };
                self.settle(&id, &attempt, settled)
            }
            state::Command::Get(id) => self.look(&id),
            state::Command::ListUnresolved { max } => self.list_open(max),
            state::Command::Tick => state::Outcome::Done,
            state::Command::CloseSlot(slot) => self.close_slot(slot),
            state::Command::OpenSlot { slot, claims } => self.open_slot(slot, claims),
        }
    }

    fn claim(&mut self, claim: state::Claim) -> state::Outcome {
        let id = claim.key.id();
        if !self.open.contains(&id.slot()) {
            return state::Outcome::WrongGroup;
        }
        let Some(standing) = self.claims.get(&id) else {
            return self.claim_vacant(id, claim);
        };
        if standing.body_digest != claim.body_digest || standing.key != claim.key {
            return state::Outcome::BodyMismatch;
        }
        if standing.attempt == claim.attempt && standing.state == state::State::Claimed {
            // The proposer did not see the first commit and proposed again.
            return state::Outcome::Granted;
        }
        if claim.replaces.as_ref() == Some(&standing.attempt) && may_replace(standing) {
            let earlier_doubt = earlier_doubt(standing);
            self.store(id, state::ClaimRecord { earlier_doubt, ..claimed(claim, self.now_ms) });
            return state::Outcome::Granted;
        }
        state::Outcome::Existing(Box::new(standing.clone()))
    }

    fn claim_vacant(&mut self, id: key::OperationId, claim: state::Claim) -> state::Outcome {
        if claim.replaces.is_some() {
            // What it wants to replace has expired; the proposer looks again before it goes on.
            return state::Outcome::NotClaimed;
        }
        if self.claims.len() >= self.limits.max_claims {
            return state::Outcome::Full;
        }
        self.store(id, claimed(claim, self.now_ms));
        state::Outcome::Granted
    }

    fn record(
        &mut self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
        answer: answer::Answer,
    ) -> state::Outcome {
        let Some(mut standing) = self.claims.get(id).cloned() else {
            return state::Outcome::NotClaimed;
        };
        let answer = answer.bounded(self.limits.max_answer_bytes);
        // Where the service runs each key once, an answer to an earlier attempt is the answer.
        let deduplicated = standing.key_support == state::KeySupport::Service;
        if standing.attempt != *attempt && !deduplicated {
            return state::Outcome::Superseded(Box::new(standing));
        }
        match &mut standing.state {
            state::State::Claimed | state::State::InDoubt(_) => {
                standing.state = state::State::Recorded(answer);
                self.change(*id, standing);
                self.drop_bodies();
                state::Outcome::Done
            }
            state::State::Recorded(_) => state::Outcome::Done,
            state::State::Released(_) => state::Outcome::Conflict(Box::new(standing)),
            state::State::Settled { verdict, late_answer, .. } => {
                let contradicts = *verdict == state::Verdict::DidNotRun;
                late_answer.get_or_insert(answer);
                self.change(*id, standing.clone());
                if contradicts {
                    return state::Outcome::Conflict(Box::new(standing));
                }
                state::Outcome::Done
            }
        }
    }

    fn release(
        &mut self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
        evidence: state::Evidence,
    ) -> state::Outcome {
        let standing = match self.current(id, attempt) {
            Ok(standing) => standing,
            Err(outcome) => return outcome,
        };
        if let state::Evidence::Promise { incarnation } = evidence
            && incarnation != standing.upstream.incarnation
        {
            // Another life of the agent cannot speak for the one that may have started it.
            return state::Outcome::BadEvidence;
        }
        match standing.state {
            state::State::Claimed | state::State::InDoubt(_) => {
                self.release_attempt(*id, standing, evidence)
            }
            state::State::Released(_) => state::Outcome::Done,
            state::State::Settled { verdict: state::Verdict::DidNotRun, .. } => {
                state::Outcome::Done
            }
            _ => state::Outcome::Conflict(Box::new(standing)),
        }
    }

    fn release_attempt(
        &mut self,
        id: key::OperationId,
        mut standing: state::ClaimRecord,
        evidence: state::Evidence,
    ) -> state::Outcome {
        let Some(doubt) = standing.earlier_doubt else {
            standing.state = state::State::Released(evidence);
            return self.change(id, standing);
        };
        standing.state = state::State::InDoubt(doubt);
        self.change(id, standing.clone());
        state::Outcome::Existing(Box::new(standing))
    }

    fn doubt(
        &mut self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
        doubt: state::DoubtReason,
    ) -> state::Outcome {
        let mut standing = match self.current(id, attempt) {
            Ok(standing) => standing,
            Err(outcome) => return outcome,
        };
        match standing.state {
            state::State::Claimed | state::State::InDoubt(_) => {
                standing.state = state::State::InDoubt(doubt);
                self.change(*id, standing)
            }
            _ => state::Outcome::Existing(Box::new(standing)),
        }
    }

    fn settle(
        &mut self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
        settled: state::State,
    ) -> state::Outcome {
        let mut standing = match self.current(id, attempt) {
            Ok(standing) => standing,
            Err(outcome) => return outcome,
        };
        if standing.state == settled {
            return state::Outcome::Done;
        }
        if standing.state.is_final() {
            return state::Outcome::Conflict(Box::new(standing));
        }
        if !self.is_settleable(&standing) {
            return state::Outcome::TooEarly;
        }
        standing.state = settled;
        self.change(*id, standing)
    }

    fn look(&self, id: &key::OperationId) -> state::Outcome {
        match self.claims.get(id) {
            Some(standing) => state::Outcome::Existing(Box::new(standing.clone())),
            None if self.open.contains(&id.slot()) => state::Outcome::NotClaimed,
            None => state::Outcome::WrongGroup,
        }
    }

    fn list_open(&self, max: usize) -> state::Outcome {
        let mut open: Vec<_> = self.unresolved().map(|(_, standing)| standing.clone()).collect();
        open.sort_by_key(|standing| standing.claimed_at_ms);
        open.truncate(max);
        state::Outcome::Unresolved(open)
    }

    fn close_slot(&mut self, slot: key::Slot) -> state::Outcome {
        self.open.remove(&slot);
        let in_slot = |id: &key::OperationId| id.slot() == slot;
        let ids: Vec<_> = self.claims.keys().copied().filter(in_slot).collect();
        let claims = ids.iter().filter_map(|id| self.remove(id)).collect();
        state::Outcome::SlotClosed(claims)
    }

    fn open_slot(&mut self, slot: key::Slot, claims: Vec<state::ClaimRecord>) -> state::Outcome {
        if !self.open.insert(slot) {
            // A repeated opening must not bring back the old state of keys changed since.
            return state::Outcome::Done;
        }
        for mut standing in claims {
            // Each group has its own log time. Ages begin anew, so claims expire late, never early.
            standing.claimed_at_ms = self.now_ms;
            standing.changed_at_ms = self.now_ms;
            let id = standing.key.id();
            if id.slot() == slot {
                self.store(id, standing);
            }
        }
        state::Outcome::Done
    }

    fn current(
        &self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
    ) -> Result<state::ClaimRecord, state::Outcome> {
        match self.claims.get(id) {
            None => Err(state::Outcome::NotClaimed),
            Some(standing) if standing.attempt != *attempt => {
                Err(state::Outcome::Superseded(Box::new(standing.clone())))
            }
            Some(standing) => Ok(standing.clone()),
        }
    }

    fn is_settleable(&self, standing: &state::ClaimRecord) -> bool {
        self.now_ms.saturating_sub(standing.claimed_at_ms) >= self.limits.settle_after_ms
    }

    fn change(&mut self, id: key::OperationId, mut standing: state::ClaimRecord) -> state::Outcome {
        standing.changed_at_ms = self.now_ms;
        self.store(id, standing);
        state::Outcome::Done
    }

    fn store(&mut self, id: key::OperationId, standing: state::ClaimRecord) {
        self.remove(&id);
        if standing.state.is_final() {
            self.expiring.insert((self.expires_at_ms(&standing), id));
        }
        if let Some(len_bytes) = body_len_bytes(&standing) {
            self.bodies.insert((standing.changed_at_ms, id));
            self.bodies_bytes += len_bytes;
        }
        self.claims.insert(id, standing);
    }

    fn remove(&mut self, id: &key::OperationId) -> Option<state::ClaimRecord> {
        let removed = self.claims.remove(id)?;
        self.expiring.remove(&(self.expires_at_ms(&removed), *id));
        if let Some(len_bytes) = body_len_bytes(&removed) {
            self.bodies.remove(&(removed.changed_at_ms, *id));
            self.bodies_bytes -= len_bytes;
        }
        Some(removed)
    }

    fn drop_bodies(&mut self) {
        while self.bodies_bytes > self.limits.max_bodies_bytes {
            let Some(&(_, id)) = self.bodies.first() else { return };
            let Some(mut standing) = self.remove(&id) else { return };
            if let state::State::Recorded(answer) = standing.state {
                standing.state = state::State::Recorded(answer.bounded(0));
            }
            self.store(id, standing);
        }
    }

    fn expires_at_ms(&self, standing: &state::ClaimRecord) -> u64 {
        standing.changed_at_ms + self.limits.expire_after_ms
    }

    fn expire(&mut self) {
        for _ in 0..self.limits.max_expired_per_entry {
            let Some(&(expires_at_ms, id)) = self.expiring.first() else { return };
            if expires_at_ms > self.now_ms {
                return;
            }
            self.remove(&id);
        }
    }
}

/// Whether a new attempt may take over: the last one did not run, or the service runs the key only
/// once so that a second run cannot have a second effect.
fn may_replace(standing: &state::ClaimRecord) -> bool {
    match standing.state {
        state::State::Released(_) => true,
        state::State::InDoubt(_) => standing.key_support == state::KeySupport::Service,
        _ => false,
    }
}

/// Length of a recorded body, `None` where there is none or it is empty.
fn body_len_bytes(standing: &state::ClaimRecord) -> Option<usize> {
    match &standing.state {
        state::State::Recorded(answer::Answer { body: answer::Body::Kept(bytes), .. }) => {
            Some(bytes.len()).filter(|&len_bytes| len_bytes > 0)
        }
        _ => None,
    }
}

fn earlier_doubt(standing: &state::ClaimRecord) -> Option<state::DoubtReason> {
    match standing.state {
        state::State::InDoubt(doubt) => Some(doubt),
        _ => standing.earlier_doubt,
    }
}

fn claimed(claim: state::Claim, now_ms: u64) -> state::ClaimRecord {
    state::ClaimRecord {
        key: claim.key,
        body_digest: claim.body_digest,
        attempt: claim.attempt,
        upstream: claim.upstream,
        key_support: claim.key_support,
        state: state::State::Claimed,
        earlier_doubt: None,
        claimed_at_ms: now_ms,
        changed_at_ms: now_ms,
    }
}
