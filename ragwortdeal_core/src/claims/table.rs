//! The replicated state machine of claimed keys.
//!
//! Every replica applies the same entries in the same order and reads no clock, so all replicas
//! arrive at the same table.

use std::collections;

use super::{answer, attempt, clock, key, state};

/// Limits of the table. They must be the same on all replicas of a group, so they are part of its
/// replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TableLimits {
    /// Maximum number of claims.
    pub max_claims: usize,
    /// Maximum length of the body of a recorded answer.
    pub max_answer_bytes: usize,
    /// Maximum total length of recorded bodies. Beyond it the oldest ones are replaced by their
    /// hashes: their retries still learn that the operation ran, and no operation is refused for
    /// lack of memory.
    pub max_bodies_bytes: usize,
    /// Age of a final state after which the claim expires. No caller may retry for longer than
    /// that: a retry after it would run again.
    pub expire_after_ms: u64,
    /// Minimum age of an attempt that an operator may settle: a younger one may still start.
    pub settle_after_ms: u64,
    /// Maximum number of claims that expire with one log entry, so that no entry is slow to apply.
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

/// The claimed keys in the slots of one group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimTable {
    limits: TableLimits,
    now_ms: u64,
    #[serde(rename = "open")]
    open_slots: collections::BTreeSet<key::Slot>,
    claims: collections::BTreeMap<key::OperationId, state::ClaimRecord>,
    expiring: collections::BTreeSet<(u64, key::OperationId)>,
    /// Claims with a recorded body, the oldest first.
    bodies: collections::BTreeSet<(u64, key::OperationId)>,
    bodies_bytes: usize,
}

impl ClaimTable {
    /// Creates an empty table that serves the given slots.
    pub fn new(limits: TableLimits, slots: impl IntoIterator<Item = key::Slot>) -> Self {
        Self {
            limits,
            now_ms: 0,
            open_slots: slots.into_iter().collect(),
            claims: collections::BTreeMap::new(),
            expiring: collections::BTreeSet::new(),
            bodies: collections::BTreeSet::new(),
            bodies_bytes: 0,
        }
    }

    /// The log time.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table has no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Total length of the recorded bodies.
    pub fn bodies_bytes(&self) -> usize {
        self.bodies_bytes
    }

    /// The record of an operation.
    pub fn get(&self, id: &key::OperationId) -> Option<&state::ClaimRecord> {
        self.claims.get(id)
    }

    /// Operations that need attention: those in doubt, and those claimed so long ago that no entry
    /// is likely to be working on them.
    pub fn unresolved(&self) -> impl Iterator<Item = (&key::OperationId, &state::ClaimRecord)> {
        self.claims.iter().filter(|(_, record)| match record.state {
            state::State::InDoubt(_) => true,
            state::State::Claimed => self.is_settleable(record),
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
            state::Command::MarkInDoubt { id, attempt, doubt } => {
                self.mark_in_doubt(&id, &attempt, doubt)
            }
            state::Command::Settle { id, attempt, verdict, operator } => {
                let settled = state::State::Settled { verdict, operator, late_answer: None };
                self.settle(&id, &attempt, settled)
            }
            state::Command::Get(id) => self.read(&id),
            state::Command::ListUnresolved { max } => self.list_unresolved(max),
            state::Command::Tick => state::Outcome::Done,
            state::Command::CloseSlot(slot) => self.close_slot(slot),
            state::Command::OpenSlot { slot, claims } => self.open_slot(slot, claims),
        }
    }

    fn claim(&mut self, claim: state::Claim) -> state::Outcome {
        let id = claim.key.id();
        if !self.open_slots.contains(&id.slot()) {
            return state::Outcome::WrongGroup;
        }
        let Some(record) = self.claims.get(&id) else {
            return self.claim_new(id, claim);
        };
        if record.body_digest != claim.body_digest || record.key != claim.key {
            return state::Outcome::BodyMismatch;
        }
        if record.attempt == claim.attempt && record.state == state::State::Claimed {
            // The proposer did not learn of the first commit and proposed the claim again.
            return state::Outcome::Granted;
        }
        if claim.replaces.as_ref() == Some(&record.attempt) && may_replace(record) {
            let earlier_doubt = earlier_doubt(record);
            self.store(id, state::ClaimRecord { earlier_doubt, ..new_record(claim, self.now_ms) });
            return state::Outcome::Granted;
        }
        state::Outcome::Existing(Box::new(record.clone()))
    }

    fn claim_new(&mut self, id: key::OperationId, claim: state::Claim) -> state::Outcome {
        if claim.replaces.is_some() {
            // The attempt to replace has expired; the proposer has to read the state again.
            return state::Outcome::NotClaimed;
        }
        if self.claims.len() >= self.limits.max_claims {
            return state::Outcome::Full;
        }
        self.store(id, new_record(claim, self.now_ms));
        state::Outcome::Granted
    }

    fn record(
        &mut self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
        answer: answer::Answer,
    ) -> state::Outcome {
        let Some(mut record) = self.claims.get(id).cloned() else {
            return state::Outcome::NotClaimed;
        };
        let answer = answer.bounded(self.limits.max_answer_bytes);
        // With idempotency keys, the answer to an earlier attempt is the answer of the operation.
        let deduplicated = record.key_support == state::KeySupport::Service;
        if record.attempt != *attempt && !deduplicated {
            return state::Outcome::Superseded(Box::new(record));
        }
        match &mut record.state {
            state::State::Claimed | state::State::InDoubt(_) => {
                record.state = state::State::Recorded(answer);
                self.update(*id, record);
                self.evict_bodies();
                state::Outcome::Done
            }
            state::State::Recorded(_) => state::Outcome::Done,
            state::State::Released(_) => state::Outcome::Conflict(Box::new(record)),
            state::State::Settled { verdict, late_answer, .. } => {
                let contradicts = *verdict == state::Verdict::DidNotRun;
                late_answer.get_or_insert(answer);
                self.update(*id, record.clone());
                if contradicts {
                    return state::Outcome::Conflict(Box::new(record));
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
        let record = match self.current_record(id, attempt) {
            Ok(record) => record,
            Err(outcome) => return outcome,
        };
        if let state::Evidence::Promise { incarnation } = evidence
            && incarnation != record.upstream.incarnation
        {
            // Another incarnation of the agent cannot vouch for the one that may have started it.
            return state::Outcome::BadEvidence;
        }
        match record.state {
            state::State::Claimed | state::State::InDoubt(_) => {
                self.release_attempt(*id, record, evidence)
            }
            state::State::Released(_) => state::Outcome::Done,
            state::State::Settled { verdict: state::Verdict::DidNotRun, .. } => {
                state::Outcome::Done
            }
            _ => state::Outcome::Conflict(Box::new(record)),
        }
    }

    fn release_attempt(
        &mut self,
        id: key::OperationId,
        mut record: state::ClaimRecord,
        evidence: state::Evidence,
    ) -> state::Outcome {
        let Some(doubt) = record.earlier_doubt else {
            record.state = state::State::Released(evidence);
            return self.update(id, record);
        };
        record.state = state::State::InDoubt(doubt);
        self.update(id, record.clone());
        state::Outcome::Existing(Box::new(record))
    }

    fn mark_in_doubt(
        &mut self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
        doubt: state::DoubtReason,
    ) -> state::Outcome {
        let mut record = match self.current_record(id, attempt) {
            Ok(record) => record,
            Err(outcome) => return outcome,
        };
        match record.state {
            state::State::Claimed | state::State::InDoubt(_) => {
                record.state = state::State::InDoubt(doubt);
                self.update(*id, record)
            }
            _ => state::Outcome::Existing(Box::new(record)),
        }
    }

    fn settle(
        &mut self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
        settled: state::State,
    ) -> state::Outcome {
        let mut record = match self.current_record(id, attempt) {
            Ok(record) => record,
            Err(outcome) => return outcome,
        };
        if record.state == settled {
            return state::Outcome::Done;
        }
        if record.state.is_final() {
            return state::Outcome::Conflict(Box::new(record));
        }
        if !self.is_settleable(&record) {
            return state::Outcome::TooEarly;
        }
        record.state = settled;
        self.update(*id, record)
    }

    fn read(&self, id: &key::OperationId) -> state::Outcome {
        match self.claims.get(id) {
            Some(record) => state::Outcome::Existing(Box::new(record.clone())),
            None if self.open_slots.contains(&id.slot()) => state::Outcome::NotClaimed,
            None => state::Outcome::WrongGroup,
        }
    }

    fn list_unresolved(&self, max: usize) -> state::Outcome {
        let mut unresolved: Vec<_> = self.unresolved().map(|(_, record)| record.clone()).collect();
        unresolved.sort_by_key(|record| record.claimed_at_ms);
        unresolved.truncate(max);
        state::Outcome::Unresolved(unresolved)
    }

    fn close_slot(&mut self, slot: key::Slot) -> state::Outcome {
        self.open_slots.remove(&slot);
        let in_slot = |id: &key::OperationId| id.slot() == slot;
        let ids: Vec<_> = self.claims.keys().copied().filter(in_slot).collect();
        let claims = ids.iter().filter_map(|id| self.remove(id)).collect();
        state::Outcome::SlotClosed(claims)
    }

    fn open_slot(&mut self, slot: key::Slot, claims: Vec<state::ClaimRecord>) -> state::Outcome {
        if !self.open_slots.insert(slot) {
            // A repeated command must not restore the old state of keys that have changed since.
            return state::Outcome::Done;
        }
        for mut record in claims {
            // Each group has its own log time. Ages restart, so claims expire late, never early.
            record.claimed_at_ms = self.now_ms;
            record.changed_at_ms = self.now_ms;
            let id = record.key.id();
            if id.slot() == slot {
                self.store(id, record);
            }
        }
        state::Outcome::Done
    }

    fn current_record(
        &self,
        id: &key::OperationId,
        attempt: &attempt::AttemptId,
    ) -> Result<state::ClaimRecord, state::Outcome> {
        match self.claims.get(id) {
            None => Err(state::Outcome::NotClaimed),
            Some(record) if record.attempt != *attempt => {
                Err(state::Outcome::Superseded(Box::new(record.clone())))
            }
            Some(record) => Ok(record.clone()),
        }
    }

    fn is_settleable(&self, record: &state::ClaimRecord) -> bool {
        self.now_ms.saturating_sub(record.claimed_at_ms) >= self.limits.settle_after_ms
    }

    fn update(&mut self, id: key::OperationId, mut record: state::ClaimRecord) -> state::Outcome {
        record.changed_at_ms = self.now_ms;
        self.store(id, record);
        state::Outcome::Done
    }

    fn store(&mut self, id: key::OperationId, record: state::ClaimRecord) {
        self.remove(&id);
        if record.state.is_final() {
            self.expiring.insert((self.expires_at_ms(&record), id));
        }
        if let Some(len_bytes) = body_len_bytes(&record) {
            self.bodies.insert((record.changed_at_ms, id));
            self.bodies_bytes += len_bytes;
        }
        self.claims.insert(id, record);
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

    fn evict_bodies(&mut self) {
        while self.bodies_bytes > self.limits.max_bodies_bytes {
            let Some(&(_, id)) = self.bodies.first() else { return };
            let Some(mut record) = self.remove(&id) else { return };
            if let state::State::Recorded(answer) = record.state {
                record.state = state::State::Recorded(answer.bounded(0));
            }
            self.store(id, record);
        }
    }

    fn expires_at_ms(&self, record: &state::ClaimRecord) -> u64 {
        record.changed_at_ms + self.limits.expire_after_ms
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

/// Whether a new attempt may replace the last one: it did not run, or the service supports
/// idempotency keys so that running it again has no second effect.
fn may_replace(record: &state::ClaimRecord) -> bool {
    match record.state {
        state::State::Released(_) => true,
        state::State::InDoubt(_) => record.key_support == state::KeySupport::Service,
        _ => false,
    }
}

/// Length of a recorded body, or `None` if there is none or it is empty.
fn body_len_bytes(record: &state::ClaimRecord) -> Option<usize> {
    match &record.state {
        state::State::Recorded(answer::Answer { body: answer::Body::Kept(bytes), .. }) => {
            Some(bytes.len()).filter(|&len_bytes| len_bytes > 0)
        }
        _ => None,
    }
}

fn earlier_doubt(record: &state::ClaimRecord) -> Option<state::DoubtReason> {
    match record.state {
        state::State::InDoubt(doubt) => Some(doubt),
        _ => record.earlier_doubt,
    }
}

fn new_record(claim: state::Claim, now_ms: u64) -> state::ClaimRecord {
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
