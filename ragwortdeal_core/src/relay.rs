//! Dissemination of configuration deltas within an availability zone.
//!
//! A few processes of each zone, the roots, receive deltas from outside, and a tree with bounded
//! fan-out forwards them to the others ([`topology`], [`node`]). Before a zone applies a revision, a
//! majority of its witnesses has acknowledged its number ([`pending`]). A process that restarts asks
//! the witnesses ([`floor`]), so that it never serves a revision below one that its zone has
//! applied. `docs/design/membership.md` discusses the alternatives.

pub mod children;
pub mod floor;
pub mod history;
pub mod node;
pub mod payload;
pub mod pending;
pub mod topology;

use crate::{digest, membership};

/// Number of a configuration, incremented by each accepted change.
pub type Revision = u64;

/// A revision together with the hash of the whole state at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Position {
    /// The revision.
    pub revision: Revision,
    /// Hash of the state at that revision, which reveals a gap or a divergence.
    pub digest: digest::Digest,
}

/// The change from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// Revision to which the delta applies.
    pub from: Revision,
    /// Position after the delta.
    pub to: Position,
    /// The encoded change, which is opaque to the relay.
    pub payload: payload::Payload,
}

/// The replicated state. A failed [`State::apply`] or [`State::install`] leaves it unchanged.
pub trait State {
    /// Why a delta or snapshot was rejected.
    type Error: std::fmt::Debug;

    /// The present revision and hash.
    fn position(&self) -> Position;

    /// Applies a delta, and rejects one after which the hash differs from the delta's position.
    fn apply(&mut self, delta: &Delta) -> Result<(), Self::Error>;

    /// The whole state.
    fn snapshot(&self) -> payload::Payload;

    /// Replaces the state, and rejects a snapshot whose hash differs from the position's.
    fn install(&mut self, position: &Position, snapshot: &[u8]) -> Result<(), Self::Error>;
}

/// A message between a process and its parent, child or witness.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// A child's subscription, repeated as its heartbeat.
    Subscribe {
        /// The child's clock.
        stamp: membership::Stamp,
        /// Position that the child has applied.
        position: Position,
    },
    /// Rejects a subscription because the parent has the maximum number of children.
    Refused,
    /// A parent's answer to a subscription.
    Status {
        /// The stamp of the subscription.
        echo: membership::Stamp,
        /// Position that the parent has applied.
        position: Position,
        /// How long ago this was known to be the newest state, if it ever was.
        age_ms: Option<u64>,
    },
    /// Deltas in ascending order.
    Deltas(Vec<Delta>),
    /// Requests the next piece of a snapshot.
    FetchSnapshot {
        /// Position of the snapshot.
        position: Position,
        /// Bytes that the sender already has.
        offset_bytes: u64,
    },
    /// A piece of a snapshot.
    Snapshot {
        /// Position of the snapshot.
        position: Position,
        /// Offset of the piece in the snapshot.
        offset_bytes: u64,
        /// Size of the snapshot.
        total_bytes: u64,
        /// The piece.
        piece: payload::Payload,
    },
    /// Asks a witness to record a revision before any process of the zone applies it.
    Note(Revision),
    /// The witness's acknowledgement that it has recorded the revision.
    Noted(Revision),
    /// A starting process asks a witness for the highest revision that it knows.
    AskFloor(membership::Stamp),
    /// The witness's answer.
    Floor {
        /// The stamp of the request.
        echo: membership::Stamp,
        /// Highest revision recorded or applied.
        highest: Revision,
        /// Whether the witness serves; one that is still starting itself has lost what it recorded.
        learned: bool,
        /// Hash over the witnesses in the sender's view.
        witnesses: u64,
    },
}
