//! Attempts at an operation and the incarnation of the agent that each is addressed to.

use std::{fmt, str};

use snafu::{OptionExt as _, Snafu};

use crate::name;

/// One life of an agent process. Agents keep no disk, so what one life knew the next does not.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation(pub u64);

/// The upstream that an attempt is addressed to, with the life of its agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Instance of the upstream and its agent.
    pub instance: name::InstanceName,
    /// Life of the agent as the entry knew it when it claimed.
    pub incarnation: Incarnation,
}

/// Names one attempt for good: an entry never uses a sequence number twice in one incarnation.
///
/// The order within an entry is the order in which it began its attempts. The agent relies on it
/// to forget attempts without ever starting a forgotten one (see [`registry`](super::registry)).
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct AttemptId {
    /// Entry that makes the attempt.
    pub entry: name::InstanceName,
    /// Life of the entry; a later life has a greater number.
    pub entry_incarnation: u64,
    /// Number of the attempt within that life.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.entry, self.entry_incarnation, self.sequence)
    }
}

/// The text is no attempt id.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an attempt id is written as entry/incarnation/sequence"))]
pub struct AttemptIdError;

impl str::FromStr for AttemptId {
    type Err = AttemptIdError;

    fn from_str(text: &str) -> Result<Self, AttemptIdError> {
        // Names hold no slash, so the text has exactly three parts.
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

/// Hands out attempt ids of one life of an entry.
#[derive(Debug)]
pub struct AttemptIdGenerator {
    next: AttemptId,
}

impl AttemptIdGenerator {
    /// Begins with the first attempt of this life.
    pub fn new(entry: name::InstanceName, entry_incarnation: u64) -> Self {
        Self { next: AttemptId { entry, entry_incarnation, sequence: 1 } }
    }

    /// An id that was never given before.
    pub fn next_id(&mut self) -> AttemptId {
        let given = self.next.clone();
        self.next.sequence += 1;
        given
    }
}
