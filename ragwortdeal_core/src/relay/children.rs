//! The processes that draw deltas from this one.

use std::collections;

use crate::{name, relay::Revision};

/// Children that one process serves at most. The tree gives a member eight on average and about
/// three agents; a place in the tree that many choose at once must not take up its link.
pub const CHILDREN_MAX: usize = 32;

/// Silence after which a child has gone.
const CHILD_SILENCE_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Child {
    sent: Revision,
    heard_ms: u64,
}

/// The children with what was last sent to each.
#[derive(Debug, Default)]
pub struct Children {
    children: collections::BTreeMap<name::InstanceName, Child>,
}

impl Children {
    /// Takes a child's heartbeat; says whether it is served.
    pub fn heartbeat(&mut self, now_ms: u64, name: &name::InstanceName, applied: Revision) -> bool {
        let known = self.children.contains_key(name);
        if !known && self.children.len() >= CHILDREN_MAX {
            return false;
        }
        self.children.insert(name.clone(), Child { sent: applied, heard_ms: now_ms });
        true
    }

    /// Drops children that were silent for too long.
    pub fn expire(&mut self, now_ms: u64) {
        self.children.retain(|_, child| now_ms.saturating_sub(child.heard_ms) < CHILD_SILENCE_MS);
    }

    /// Notes what a child will have once its messages arrive.
    pub fn record_sent(&mut self, name: &name::InstanceName, revision: Revision) {
        if let Some(child) = self.children.get_mut(name) {
            child.sent = child.sent.max(revision);
        }
    }

    /// The children that are behind `revision`, with what each has.
    pub fn behind(&self, revision: Revision) -> Vec<(name::InstanceName, Revision)> {
        let behind = self.children.iter().filter(|(_, child)| child.sent < revision);
        behind.map(|(name, child)| (name.clone(), child.sent)).collect()
    }

    /// Number of children.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether nobody draws from this process.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }
}
