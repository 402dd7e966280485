//! States of a claimed key, the commands that change them, and what each command came to.

use super::{answer, attempt, key};
use crate::{digest, name};

/// What the upstreams of a service do with the key of an operation that they see again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum KeySupport {
    /// They run it again.
    None,
    /// They run it once for each key, whichever of them is asked, and give the first answer.
    Service,
}

/// Why an attempt did not run.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Evidence {
    /// The entry that claimed it never sent it.
    NeverSent,
    /// The agent it was sent to refused it on arrival.
    RefusedOnArrival,
    /// The agent promised never to start it.
    Promise {
        /// Life of the agent that promised, which must be the one that the attempt is meant for.
        incarnation: attempt::Incarnation,
    },
}

/// Why nobody knows whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum DoubtReason {
    /// The agent could not be reached; it may still tell.
    AgentUnreachable,
    /// The agent that knew is gone; only the upstream's own records can tell.
    AgentReplaced,
    /// The agent lost the upstream after it had passed the attempt on.
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
    /// An attempt may be under way.
    Claimed,
    /// The answer is known and given to each resend.
    Recorded(answer::Answer),
    /// The attempt did not run and never will; the key may be claimed again.
    Released(Evidence),
    /// The attempt may have run.
    InDoubt(DoubtReason),
    /// An operator settled the doubt. The key is not claimed again even if the operation did not
    /// run: a caller that still wants it picks a new key, so a late effect cannot be doubled here.
    Settled {
        /// What the operator found.
        verdict: Verdict,
        /// Operator who settled it.
        operator: name::AccountName,
        /// Answer that arrived in spite of the verdict or after it.
        late_answer: Option<answer::Answer>,
    },
}

impl State {
    /// Whether nothing more is expected, so that the age of the state may expire the claim.
    pub fn is_final(&self) -> bool {
        !matches!(self, State::Claimed | State::InDoubt(_))
    }
}

/// A claimed key with everything a resend or an operator needs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimRecord {
    /// The operation.
    pub key: key::ScopedKey,
    /// Hash of the request's body, so that a key cannot stand for two requests.
    #[serde(rename = "body")]
    pub body_digest: digest::Digest,
    /// The latest attempt.
    pub attempt: attempt::AttemptId,
    /// Upstream of the latest attempt.
    pub upstream: attempt::Upstream,
    /// What the service does with a key that it sees again.
    pub key_support: KeySupport,
    /// State of the latest attempt.
    pub state: State,
    /// Doubt about an earlier attempt, which a service that runs each key once allowed to be
    /// replaced. The release of a later attempt proves nothing about the earlier one.
    pub earlier_doubt: Option<DoubtReason>,
    /// Time of the log at which the latest attempt was claimed, in milliseconds.
    pub claimed_at_ms: u64,
    /// Time of the log at which the state last changed, in milliseconds.
    pub changed_at_ms: u64,
}

/// Claims a key for an attempt, before the call leaves the entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// The operation.
    pub key: key::ScopedKey,
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub body_digest: digest::Digest,
    /// The attempt that wants to run.
    pub attempt: attempt::AttemptId,
    /// The earlier attempt that this one replaces. Naming it makes a claim that was delayed in
    /// the network harmless: it is granted only in the state that its proposer has seen.
    #[serde(rename = "after")]
    pub replaces: Option<attempt::AttemptId>,
    /// Upstream that the attempt goes to.
    pub upstream: attempt::Upstream,
    /// What the service does with a key that it sees again.
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
    /// Releases the key, because its attempt did not run.
    Release {
        /// The operation.
        id: key::OperationId,
        /// The attempt that did not run.
        attempt: attempt::AttemptId,
        /// How that is known.
        evidence: Evidence,
    },
    /// Lists the operation for operators.
    #[serde(rename = "Doubt")]
    MarkInDoubt {
        /// The operation.
        id: key::OperationId,
        /// The attempt that may have run.
        attempt: attempt::AttemptId,
        /// Why it is not known.
        doubt: DoubtReason,
    },
    /// Settles a doubt by what an operator found.
    Settle {
        /// The operation.
        id: key::OperationId,
        /// The attempt that the operator looked into.
        attempt: attempt::AttemptId,
        /// What the operator found.
        verdict: Verdict,
        /// Operator who settles it.
        operator: name::AccountName,
    },
    /// Reads the standing of one operation; it goes through the log so that the answer is current.
    #[serde(rename = "Look")]
    Get(key::OperationId),
    /// Reads the operations that wait for somebody, the longest waiting first.
    #[serde(rename = "ListOpen")]
    ListUnresolved {
        /// Most operations to list.
        max: usize,
    },
    /// Moves the time of the log, so that claims expire while nothing else happens.
    Tick,
    /// Stops serving a slot, so that another group can take it.
    CloseSlot(key::Slot),
    /// Begins to serve a slot with what the former group had.
    OpenSlot {
        /// The slot.
        slot: key::Slot,
        /// Its claims, as [`Outcome::SlotClosed`] gave them.
        claims: Vec<ClaimRecord>,
    },
}

/// An entry of the log: a command and the time of the log (see [`clock`](super::clock)).
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TimestampedCommand {
    /// Time of the log in milliseconds.
    pub now_ms: u64,
    /// The command.
    pub command: Command,
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The attempt may run.
    Granted,
    /// The key is claimed; a resend is answered by this.
    #[serde(rename = "Standing")]
    Existing(Box<ClaimRecord>),
    /// The key stands for a request with another body.
    BodyMismatch,
    /// No more claims can be remembered, so nothing new is started.
    Full,
    /// Another group holds the slot of this key.
    WrongGroup,
    /// The change is in force, perhaps since earlier.
    Done,
    /// The key is not claimed.
    NotClaimed,
    /// The command speaks of an attempt that is not the latest.
    Superseded(Box<ClaimRecord>),
    /// The command contradicts what stands, which is kept. Somebody must look at it.
    Conflict(Box<ClaimRecord>),
    /// The evidence does not prove what it should.
    BadEvidence,
    /// The attempt may still be on its way to the upstream.
    TooEarly,
    /// The operations that wait for somebody.
    #[serde(rename = "Open")]
    Unresolved(Vec<ClaimRecord>),
    /// The slot is closed; these are its claims.
    SlotClosed(Vec<ClaimRecord>),
}
