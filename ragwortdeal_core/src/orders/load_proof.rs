//! Proof that an engine loaded sound chunks.
//!
//! An engine loads what is staged at the moment it accepts an order, and verifies nothing. What an
//! agent read back before the order may have become corrupt since: the process may have stood still
//! in between, or the order was late. No bound on the time between the two closes this gap, because
//! a process can also stand still after it has checked the bound.
//!
//! The proof needs no clock. A staged chunk that has become corrupt stays so until it is written
//! again. So a chunk that is read back sound *after* the order was accepted, and was not written in
//! between, was sound when the engine took it. `docs/design/weights.md` tells how an agent uses it.

use std::collections;

/// What an agent knows of the weights that its engine loaded.
///
/// Versions are those of one model. A version counts as sound unless there is a reason to doubt it.
#[derive(Debug, Default)]
pub struct LoadProofs {
    /// Writes to the staged chunks by this process.
    writes: u64,
    /// Versions that the engine was ordered to load and whose chunks are not proven to be sound.
    doubted: collections::BTreeMap<u64, Doubt>,
    /// The last status of the engine that an earlier process of the agent reported.
    inherited: Option<InheritedStatus>,
}

/// Why a version is doubted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// It was ordered after so many writes, and may have been accepted at any time since.
    Ordered { writes: u64 },
    /// A chunk was not sound when it was read back after the order.
    Refuted,
}

/// What an earlier process of the agent reported last about the same process of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InheritedStatus {
    /// Number of the report. A report with a higher number is the later one.
    pub sequence: u64,
    /// Whether the engine was to be sent requests. Agents report so only once a load is proven.
    pub accepts: bool,
}

impl LoadProofs {
    /// Notes that a chunk is about to be staged. What an engine loaded before can no longer be
    /// proven by what is staged.
    pub fn written(&mut self) {
        self.writes += 1;
    }

    /// Notes that the engine is about to be ordered to load a version. The engine must not hold
    /// layers of it that were loaded before the last write.
    pub fn ordered(&mut self, version: u64) {
        self.doubted.insert(version, Doubt::Ordered { writes: self.writes });
    }

    /// Notes what an earlier process of the agent reported of the engine. It may have ended between
    /// an order and the proof.
    pub fn inherited(&mut self, status: InheritedStatus) {
        if self.inherited.is_none_or(|held| held.sequence < status.sequence) {
            self.inherited = Some(status);
        }
    }

    /// Whether requests may be sent to the engine while it serves a version.
    pub fn may_serve(&self, version: u64) -> bool {
        !self.doubted.contains_key(&version) && self.inherited.is_none_or(|held| held.accepts)
    }

    /// Whether a version that the engine holds is proven by staged chunks that are all sound now.
    pub fn is_provable(&self, version: u64) -> bool {
        match self.doubted.get(&version) {
            Some(Doubt::Ordered { writes }) => *writes == self.writes,
            Some(Doubt::Refuted) => false,
            None => self.writes == 0,
        }
    }

    /// Whether a staged chunk of a version was not sound after the engine was ordered to load it.
    pub fn is_refuted(&self, version: u64) -> bool {
        self.doubted.get(&version) == Some(&Doubt::Refuted)
    }

    /// Notes that all staged chunks of a version that the engine holds, and that is provable, were
    /// read back sound.
    pub fn proven(&mut self, version: u64) {
        self.doubted.retain(|doubted, _| *doubted > version);
        self.inherited = None;
    }

    /// Notes that a staged chunk of a version that the engine holds is not sound. It may have become
    /// so before or after the engine took it.
    pub fn refuted(&mut self, version: u64) {
        self.doubted.insert(version, Doubt::Refuted);
    }
}
