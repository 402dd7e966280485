//! Proof that an engine loaded sound chunks.
//!
//! An engine loads what is staged at the moment it accepts an order, and verifies nothing. What an
//! agent read back before the order may have become corrupt since: the process may have stood still
//! in between, or the order was late. No bound on the time between the two closes this gap, because
//! a process can also stand still after it has checked the bound.
//!
//! The proof needs no clock. A staged chunk that has become corrupt stays so until it is written
//! again. So a chunk that is read back sound *after* the order was accepted, and was not written in
//! between, was sound when the engine took it.
//!
//! What is proven is one load, which the engine's count of accepted orders identifies: an order that
//! is accepted later, whoever gave it and whichever version it names, is another load and proven
//! anew. `docs/design/weights.md` tells how an agent uses it.

use crate::orders::outstanding;

/// What an agent knows of the weights that its engine loaded.
#[derive(Debug, Default)]
pub struct LoadProofs {
    /// Writes to the staged chunks that this process has begun.
    writes: Writes,
    /// The last load that the engine reported.
    seen: Option<SeenLoad>,
    /// The last status of the engine that an earlier process of the agent reported.
    inherited: Option<InheritedStatus>,
}

/// Number of writes that had begun at some moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Writes(u64);

/// A load as the engine reports it.
#[derive(Clone, Copy, Debug)]
struct SeenLoad {
    count: outstanding::OrderCount,
    /// Writes that had begun when the engine was last asked and reported this count.
    writes_when_asked: Writes,
    standing: Standing,
}

/// Whether what an engine loaded is proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It was there when this process asked for the first time.
    Found,
    /// It was accepted after so many writes. None where a write may have come after it.
    Unproven { writes: Option<Writes> },
    /// All chunks of this version were read back sound after it was accepted.
    Proven { version: u64 },
    /// A chunk was not sound when it was read back after the order.
    Refuted,
}

/// What an earlier process of the agent reported last of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InheritedStatus {
    /// Number of the report. A report with a higher number is the later one.
    pub sequence: u64,
    /// Start of the engine of which it tells, in Unix milliseconds.
    pub born_ms: u64,
    /// Version that the engine served.
    pub version: u64,
    /// Whether the engine was to be sent requests. Agents report so only once a load is proven.
    pub accepts: bool,
}

impl LoadProofs {
    /// Notes that a chunk is about to be staged. What an engine loaded before can no longer be
    /// proven by what is staged.
    pub fn written(&mut self) {
        self.writes.0 += 1;
    }

    /// Writes that have begun, to be noted before the engine is asked for a report.
    pub fn writes(&self) -> Writes {
        self.writes
    }

    /// Takes the count of a report that was asked for after so many writes.
    pub fn reported(&mut self, asked_after: Writes, count: outstanding::OrderCount) {
        let standing = match &mut self.seen {
            Some(seen) if seen.count == count => {
                seen.writes_when_asked = seen.writes_when_asked.max(asked_after);
                return;
            }
            // The order was accepted after the last report. If nothing was written since that was
            // asked for, what is staged now is what the engine took.
            Some(seen) => Standing::Unproven {
                writes: (seen.writes_when_asked == self.writes).then_some(self.writes),
            },
            None => Standing::Found,
        };
        self.seen = Some(SeenLoad { count, writes_when_asked: asked_after, standing });
    }

    /// Notes what an earlier process of the agent reported of the engine. It may have ended between
    /// an order and the proof.
    pub fn inherited(&mut self, status: InheritedStatus) {
        if self.inherited.is_none_or(|held| held.sequence < status.sequence) {
            self.inherited = Some(status);
        }
    }

    /// Whether requests may be sent to the engine, which started at `born_ms`, while it serves a
    /// version by the count reported last.
    ///
    /// What was there when this process asked for the first time counts if the agent's earlier
    /// process reported this very version of this very process of the engine. Where nobody remembers
    /// such a report, the earlier process may have ended between an order and the proof.
    pub fn may_serve(&self, version: u64, born_ms: u64) -> bool {
        match self.seen.map(|seen| (seen.standing, seen.count.accepted)) {
            Some((Standing::Proven { version: proven }, _)) => proven == version,
            // Without any order it holds what it started with.
            Some((Standing::Found, 0)) => true,
            Some((Standing::Found, _)) => self.inherited.is_some_and(|held| {
                held.accepts && (held.version, held.born_ms) == (version, born_ms)
            }),
            _ => false,
        }
    }

    /// Whether what the engine loaded is proven by staged chunks that are all sound now.
    pub fn is_provable(&self) -> bool {
        match self.seen.map(|seen| seen.standing) {
            Some(Standing::Found) => self.writes == Writes::default(),
            Some(Standing::Unproven { writes }) => writes == Some(self.writes),
            _ => false,
        }
    }

    /// Whether a staged chunk was not sound after the engine was ordered to load it.
    pub fn is_refuted(&self) -> bool {
        self.seen.is_some_and(|seen| seen.standing == Standing::Refuted)
    }

    /// Notes that all staged chunks of a version were read back sound, while what the engine loaded
    /// was provable.
    pub fn proven(&mut self, version: u64) {
        self.change(Standing::Proven { version });
    }

    /// Notes that a staged chunk of what the engine loaded is not sound. It may have become so before
    /// or after the engine took it.
    pub fn refuted(&mut self) {
        self.change(Standing::Refuted);
    }

    fn change(&mut self, standing: Standing) {
        if let Some(seen) = &mut self.seen {
            seen.standing = standing;
        }
    }
}
