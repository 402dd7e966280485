//! States of a claimed key, the commands that change them, and the outcomes of the commands.

use super::{answer, attempt, key};
use crate::{digest, name};

/// Whether the upstreams of a service support idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum KeySupport {
    /// An operation that is sent again runs again.
    None,
    /// An operation runs once for each key, whichever upstream receives it, and is answered with
    /// the first answer.
    Service,
}

/// The evidence that an attempt did not run.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Evidence {
    /// The entry that claimed it never sent it.
    NeverSent,
    /// The agent refused it on arrival.
    RefusedOnArrival,
    /// The agent promised never to start it.
    Promise {
        /// Incarnation of the agent that promised, which must be the one that the attempt is
        /// addressed to.
        incarnation: attempt::Incarnation,
    },
}

/// Why it is unknown whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum DoubtReason {
    /// The agent could not be reached, but may still know.
    AgentUnreachable,
    /// The agent no longer knows, because it restarted or evicted the attempt; only the upstream's
    /// own records can tell.
    AgentReplaced,
    /// The agent lost its connection to the upstream after it had forwarded the attempt.
    UpstreamLost,
}

/// What an operator found in the upstream's own records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Verdict {
    /// The operation took effect.
    Ran,
    /// The operation took no effect.
    DidNotRun,
}

/// State of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// An attempt may be in progress.
    Claimed,
    /// The answer is known and returned to each retry.
    Recorded(answer::Answer),
    /// The attempt did not run and never will; the key may be claimed again.
    Released(Evidence),
    /// The attempt may have run.
    InDoubt(DoubtReason),
    /// An operator settled the operation. The key cannot be claimed again even if the operation did
    /// not run: a caller that still wants it has to use a new key, so that a late effect is never
    /// duplicated under this one.
    Settled {
        /// What the operator found.
        verdict: Verdict,
        /// Operator who settled it.
        operator: name::AccountName,
        /// Answer that arrived after the verdict, and may contradict it.
        late_answer: Option<answer::Answer>,
    },
}

impl State {
    /// Whether the state is final, so that the claim may expire.
    pub fn is_final(&self) -> bool {
        !matches!(self, State::Claimed | State::InDoubt(_))
    }
}

/// The record of a claimed key, with everything that a retry or an operator needs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimRecord {
    /// The operation.
    pub key: key::ScopedKey,
    /// Hash of the request's body, so that a key cannot be used for two different requests.
    #[serde(rename = "body")]
    pub body_digest: digest::Digest,
    /// The latest attempt.
    pub attempt: attempt::AttemptId,
    /// Upstream of the latest attempt.
    pub upstream: attempt::Upstream,
    /// Whether the service supports idempotency keys.
    pub key_support: KeySupport,
    /// State of the latest attempt.
    pub state: State,
    /// Why an earlier attempt was in doubt when it was replaced, which a service that supports
    /// idempotency keys allows. The release of a later attempt proves nothing about that one.
    pub earlier_doubt: Option<DoubtReason>,
    /// Log time at which the latest attempt was claimed.
    pub claimed_at_ms: u64,
    /// Log time of the last change of the state.
    pub changed_at_ms: u64,
}

/// Claims a key for an attempt, before the entry sends the call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// The operation.
    pub key: key::ScopedKey,
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub body_digest: digest::Digest,
    /// The attempt to run.
    pub attempt: attempt::AttemptId,
    /// The earlier attempt that this one replaces. It makes a claim that the network delayed
    /// harmless: the claim is granted only in the state that its proposer has seen.
    #[serde(rename = "after")]
    pub replaces: Option<attempt::AttemptId>,
    /// Upstream to which the attempt is sent.
    pub upstream: attempt::Upstream,
    /// Whether the service supports idempotency keys.
    pub key_support: KeySupport,
}

/// A change to the claims.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Claims a key.
    Claim(Claim),
    /// Records the answer of an attempt.
    Record {
        /// The operation.
        id: key::OperationId,
        /// The attempt that was answered.
        attempt: attempt::AttemptId,
        /// The answer.
        answer: answer::Answer,
    },
    /// Releases the key because its attempt did not run.
    Release {
        /// The operation.
        id: key::OperationId,
        /// The attempt that did not run.
        attempt: attempt::AttemptId,
        /// The evidence for that.
        evidence: Evidence,
    },
    /// Marks the operation as in doubt, so that operators see it.
    #[serde(rename = "Doubt")]
    MarkInDoubt {
        /// The operation.
        id: key::OperationId,
        /// The attempt that may have run.
        attempt: attempt::AttemptId,
        /// Why it is unknown.
        doubt: DoubtReason,
    },
    /// Settles an operation by what an operator found.
    Settle {
        /// The operation.
        id: key::OperationId,
        /// The attempt that the operator investigated.
        attempt: attempt::AttemptId,
        /// What the operator found.
        verdict: Verdict,
        /// Operator who settles it.
        operator: name::AccountName,
    },
    /// Reads the record of one operation, through the log so that the result is linearizable.
    #[serde(rename = "Look")]
    Get(key::OperationId),
    /// Lists the unresolved operations, the oldest claim first.
    #[serde(rename = "ListOpen")]
    ListUnresolved {
        /// Maximum number of operations to list.
        max: usize,
    },
    /// Advances the log time, so that claims also expire while there are no other commands.
    Tick,
    /// Stops serving a slot, so that another group can take it over.
    CloseSlot(key::Slot),
    /// Starts serving a slot with the claims of its previous group.
    OpenSlot {
        /// The slot.
        slot: key::Slot,
        /// Its claims from [`Outcome::SlotClosed`].
        claims: Vec<ClaimRecord>,
    },
}

/// A log entry: a command and its log time (see [`clock`](super::clock)).
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TimestampedCommand {
    /// Log time.
    pub now_ms: u64,
    /// The command.
    pub command: Command,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The attempt may run.
    Granted,
    /// The key is already claimed, with this record.
    #[serde(rename = "Standing")]
    Existing(Box<ClaimRecord>),
    /// The key is claimed for a request with another body.
    BodyMismatch,
    /// The table is full, so no new operation may start.
    Full,
    /// Another group serves the slot of this key.
    WrongGroup,
    /// The change is applied, now or earlier.
    Done,
    /// The key is not claimed.
    NotClaimed,
    /// The command refers to an attempt that is not the latest.
    Superseded(Box<ClaimRecord>),
    /// The command contradicts the record, whose state is kept. An operator must investigate.
    Conflict(Box<ClaimRecord>),
    /// The evidence does not prove that the attempt did not run.
    BadEvidence,
    /// The attempt may still reach the upstream.
    TooEarly,
    /// The unresolved operations.
    #[serde(rename = "Open")]
    Unresolved(Vec<ClaimRecord>),
    /// The slot is closed; these are its claims.
    SlotClosed(Vec<ClaimRecord>),
}
