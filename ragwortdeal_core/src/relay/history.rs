//! The last deltas, kept for children that are a little behind.

use std::collections;

use crate::relay::{Delta, Revision};

/// Bytes of deltas that are kept. At 22,000 changes a day and 300 bytes a change this covers an
/// hour, longer than a cut that is worth bridging by deltas.
const HISTORY_MAX_BYTES: usize = 256 * 1024;

/// What one kept delta costs beside its payload.
const DELTA_OVERHEAD_BYTES: usize = 64;

/// A bounded chain of deltas.
#[derive(Debug, Default)]
pub struct History {
    deltas: collections::VecDeque<Delta>,
    bytes: usize,
}

impl History {
    /// Adds the delta that was applied last; one that does not continue the chain starts it anew.
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

    /// Forgets everything, as after a snapshot.
    pub fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }

    /// The steps from `revision` to the end, or nothing if they are no longer kept.
    pub fn since(&self, revision: Revision) -> Option<Vec<Delta>> {
        let first = self.deltas.iter().position(|delta| delta.from == revision)?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }

    /// Whether a process at `revision` can be brought up to date from here.
    pub fn covers(&self, revision: Revision) -> bool {
        self.deltas.iter().any(|delta| delta.from == revision)
    }
}

fn cost(delta: &Delta) -> usize {
    delta.payload.len() + DELTA_OVERHEAD_BYTES
}
