//! Attempts at operations, and the incarnation of the agent to which each attempt is addressed.

use std::{fmt, str};

use snafu::{OptionExt as _, Snafu};

use crate::name;

/// Incarnation of an agent process. Agents have no persistent state, so an incarnation knows
/// nothing of what earlier ones did.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation(pub u64);

/// The upstream to which an attempt is addressed, with the incarnation of its agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Instance of the upstream and its agent.
    pub instance: name::InstanceName,
    /// Incarnation of the agent that the entry knew when it claimed the key.
    pub incarnation: Incarnation,
}

/// Unique identifier of an attempt: an entry never reuses a sequence number in one incarnation.
///
/// Within an entry the order of the identifiers is the order in which the attempts began. The agent
/// relies on it to evict attempts without ever starting an evicted one (see
/// [`registry`](super::registry)).
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct AttemptId {
    /// Entry that makes the attempt.
    pub entry: name::InstanceName,
    /// Incarnation of the entry; later incarnations have greater numbers.
    pub entry_incarnation: u64,
    /// Sequence number of the attempt within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.entry, self.entry_incarnation, self.sequence)
    }
}

/// The text is not a valid attempt id.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an attempt id is written as entry/incarnation/sequence"))]
pub struct AttemptIdError;

impl str::FromStr for AttemptId {
    type Err = AttemptIdError;

    fn from_str(text: &str) -> Result<Self, AttemptIdError> {
        // Names contain no slash, so the text has exactly three parts.
        let (rest, sequence) = text.rsplit_once('/').context(AttemptIdSnafu)?;
        let (entry, incarnation) = rest.rsplit_once('/').context(AttemptIdSnafu)?;
        Ok(Self {
            entry: name::InstanceName::new(entry).ok().context(AttemptIdSnafu)?,
            entry_incarnation: incarnation.parse().ok().context(AttemptIdSnafu)?,
            sequence: sequence.parse().ok().context(AttemptIdSnafu)?,
        })
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Generates the attempt ids of one incarnation of an entry.
#[derive(Debug)]
pub struct AttemptIdGenerator {
    next: AttemptId,
}

impl AttemptIdGenerator {
    /// Starts with the first attempt of this incarnation.
    pub fn new(entry: name::InstanceName, entry_incarnation: u64) -> Self {
        Self { next: AttemptId { entry, entry_incarnation, sequence: 1 } }
    }

    /// Returns an id that was never returned before.
    pub fn next_id(&mut self) -> AttemptId {
        let id = self.next.clone();
        self.next.sequence += 1;
        id
    }
}
