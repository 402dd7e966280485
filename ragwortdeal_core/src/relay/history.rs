//! Recent deltas, kept for children that are slightly behind.

use std::collections;

use crate::relay::{Delta, Revision};

/// Deltas kept at most. At 22,000 changes a day and 300 bytes a change this covers about an hour;
/// after a longer interruption a snapshot is the better choice.
const HISTORY_MAX_BYTES: usize = 256 * 1024;

/// Memory of one kept delta in addition to its payload.
const DELTA_OVERHEAD_BYTES: usize = 64;

/// A bounded chain of consecutive deltas.
#[derive(Debug, Default)]
pub struct History {
    deltas: collections::VecDeque<Delta>,
    bytes: usize,
}

impl History {
    /// Adds the delta that was applied last; one that does not continue the chain starts a new one.
    pub fn push(&mut self, delta: Delta) {
        if self.deltas.back().is_some_and(|last| last.to.revision != delta.from) {
            self.clear();
        }
        self.bytes += cost(&delta);
        self.deltas.push_back(delta);
        while self.bytes > HISTORY_MAX_BYTES
            && let Some(oldest) = self.deltas.pop_front()
        {
            self.bytes -= cost(&oldest);
        }
    }

    /// Drops all deltas, as after a snapshot.
    pub fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }

    /// The deltas from `revision` to the end, or `None` if they are no longer kept.
    pub fn since(&self, revision: Revision) -> Option<Vec<Delta>> {
        let first = self.deltas.iter().position(|delta| delta.from == revision)?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }

    /// Whether the kept deltas can bring a process at `revision` up to date.
    pub fn covers(&self, revision: Revision) -> bool {
        self.deltas.iter().any(|delta| delta.from == revision)
    }
}

fn cost(delta: &Delta) -> usize {
    delta.payload.len() + DELTA_OVERHEAD_BYTES
}
