//! The processes that receive deltas from this one.

use std::collections;

use crate::{name, relay::Revision};

/// Children that one process serves at most. The tree gives a member eight on average and about
/// three agents; a process that many choose at once must not have its link saturated.
pub const CHILDREN_MAX: usize = 32;

/// Time without a heartbeat after which a child is dropped.
const CHILD_TIMEOUT_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Child {
    sent: Revision,
    last_heard_ms: u64,
}

/// The children with the revision that was last sent to each.
#[derive(Debug, Default)]
pub struct Children {
    children: collections::BTreeMap<name::InstanceName, Child>,
}

impl Children {
    /// Records a child's heartbeat; returns whether the child is served.
    pub fn heartbeat(&mut self, now_ms: u64, name: &name::InstanceName, applied: Revision) -> bool {
        let known = self.children.contains_key(name);
        if !known && self.children.len() >= CHILDREN_MAX {
            return false;
        }
        self.children.insert(name.clone(), Child { sent: applied, last_heard_ms: now_ms });
        true
    }

    /// Drops children whose heartbeats have stopped.
    pub fn expire(&mut self, now_ms: u64) {
        self.children
            .retain(|_, child| now_ms.saturating_sub(child.last_heard_ms) < CHILD_TIMEOUT_MS);
    }

    /// Records the revision that a child will have once its messages arrive.
    pub fn record_sent(&mut self, name: &name::InstanceName, revision: Revision) {
        if let Some(child) = self.children.get_mut(name) {
            child.sent = child.sent.max(revision);
        }
    }

    /// The children that are behind `revision`, with the revision of each.
    pub fn behind(&self, revision: Revision) -> Vec<(name::InstanceName, Revision)> {
        let behind = self.children.iter().filter(|(_, child)| child.sent < revision);
        behind.map(|(name, child)| (name.clone(), child.sent)).collect()
    }

    /// Number of children.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether this process has no children.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }
}
