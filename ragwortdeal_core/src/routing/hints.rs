//! Recent locations of prompt prefixes. A hint may be wrong: it only orders the candidates.

use std::iter;

use crate::routing::{pool, upstream};

/// Size of the table, a power of two. A colliding prefix replaces the old one, so memory is bounded
/// however many prefixes callers send.
const TABLE_SIZE: usize = 16_384;

/// Age in milliseconds after which an engine has most likely evicted the prefix.
const HINT_MAX_AGE_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug)]
struct Hint {
    prefix: u64,
    holder: upstream::UpstreamId,
    seen_at_ms: u64,
}

/// A table of fixed size, allocated with the first hint.
#[derive(Debug, Default)]
pub struct Hints {
    table: Vec<Option<Hint>>,
}

impl Hints {
    pub(super) fn note(&mut self, prefix: u64, holder: upstream::UpstreamId, now_ms: u64) {
        if self.table.is_empty() {
            self.table.extend(iter::repeat_n(None, TABLE_SIZE));
        }
        let entry = &mut self.table[slot(prefix)];
        let newer = entry.is_none_or(|hint| hint.seen_at_ms <= now_ms);
        if newer {
            *entry = Some(Hint { prefix, holder, seen_at_ms: now_ms });
        }
    }

    pub(super) fn holder(&self, prefix: u64, now_ms: u64) -> Option<upstream::UpstreamId> {
        let hint = self.table.get(slot(prefix))?.as_ref()?;
        let fresh = now_ms.saturating_sub(hint.seen_at_ms) < HINT_MAX_AGE_MS;
        (hint.prefix == prefix && fresh).then_some(hint.holder)
    }
}

fn slot(prefix: u64) -> usize {
    pool::mix(prefix) as usize % TABLE_SIZE
}
