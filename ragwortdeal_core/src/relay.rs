//! Which process of an availability zone passes configuration deltas on to which.
//!
//! A few processes of each zone draw deltas from outside, and a tree with bounded fan-out passes
//! them on ([`topology`], [`node`]). Before a zone applies a revision, a majority of its witnesses
//! has taken note of the number ([`pending`]); a process that restarts asks them ([`floor`]), so that
//! it never serves a revision below one that its zone has applied. `docs/design/membership.md`
//! tells what was weighed.

pub mod children;
pub mod floor;
pub mod history;
pub mod node;
pub mod payload;
pub mod pending;
pub mod topology;

use crate::{digest, membership};

/// Number of a configuration; each accepted change raises it.
pub type Revision = u64;

/// A revision together with the hash of the whole state at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Position {
    /// The revision.
    pub revision: Revision,
    /// Hash of the state at that revision, which shows a gap or a divergence.
    pub digest: digest::Digest,
}

/// The step from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// Revision to which the step applies.
    pub from: Revision,
    /// Where the step leads.
    pub to: Position,
    /// The step itself, which the relay does not read.
    pub payload: payload::Payload,
}

/// The state that is passed on. Both changes leave it as it was when they fail.
pub trait State {
    /// Why a delta or snapshot was not taken.
    type Error: std::fmt::Debug;

    /// The present revision and hash.
    fn position(&self) -> Position;

    /// Applies a step, and refuses one whose outcome has another hash than the step says.
    fn apply(&mut self, delta: &Delta) -> Result<(), Self::Error>;

    /// The whole state.
    fn snapshot(&self) -> payload::Payload;

    /// Replaces the state, and refuses a snapshot that has another hash than the position says.
    fn install(&mut self, position: &Position, snapshot: &[u8]) -> Result<(), Self::Error>;
}

/// A message between a process and its parent, child or witness.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// A child's wish to be served; repeated as its heartbeat.
    Subscribe {
        /// The child's clock.
        stamp: membership::Stamp,
        /// What the child has applied.
        position: Position,
    },
    /// The receiver serves as many children as it may.
    Refused,
    /// A parent's answer to a subscription.
    Status {
        /// The stamp of the subscription.
        echo: membership::Stamp,
        /// What the parent has applied.
        position: Position,
        /// How long ago this was known to be the newest state, if it ever was.
        age_ms: Option<u64>,
    },
    /// Steps in rising order.
    Deltas(Vec<Delta>),
    /// Asks for the next piece of a snapshot.
    FetchSnapshot {
        /// Position of the snapshot.
        position: Position,
        /// Bytes that the asker has.
        offset_bytes: u64,
    },
    /// A piece of a snapshot.
    Snapshot {
        /// Position of the snapshot.
        position: Position,
        /// Where the piece starts.
        offset_bytes: u64,
        /// Length of the whole.
        total_bytes: u64,
        /// The piece.
        piece: payload::Payload,
    },
    /// Asks a witness to take note of a revision before anyone in the zone applies it.
    Note(Revision),
    /// The witness has taken note.
    Noted(Revision),
    /// A starting process asks a witness for the highest revision that it knows.
    AskFloor(membership::Stamp),
    /// The witness's answer.
    Floor {
        /// The stamp of the question.
        echo: membership::Stamp,
        /// Highest revision noted or applied.
        highest: Revision,
        /// Whether the witness serves; one that starts itself has no memory to answer from.
        learned: bool,
        /// Hash over the witnesses as the answerer sees them.
        witnesses: u64,
    },
}
