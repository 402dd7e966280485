//! Updates from outside the zone that wait until a majority of the witnesses has acknowledged them.
//!
//! If a root applied a revision at once and then restarted in a partition with only a source that is
//! behind, no process there would know of the revision, and an operator's change would be reverted.

use std::collections;

use crate::{
    name,
    relay::{Delta, Position, Revision, payload, topology},
};

/// An update that waits for acknowledgements.
#[derive(Debug)]
pub enum PendingUpdate {
    /// A change to the state.
    Delta(Delta),
    /// A complete state.
    Snapshot(Position, payload::Payload),
}

impl PendingUpdate {
    /// Revision after the update.
    pub fn revision(&self) -> Revision {
        match self {
            PendingUpdate::Delta(delta) => delta.to.revision,
            PendingUpdate::Snapshot(position, _) => position.revision,
        }
    }
}

/// The pending updates and the witnesses' acknowledgements.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    updates: collections::VecDeque<PendingUpdate>,
    acknowledged: collections::BTreeMap<name::InstanceName, Revision>,
}

impl PendingUpdates {
    /// Highest pending revision.
    pub fn target(&self) -> Option<Revision> {
        self.updates.back().map(PendingUpdate::revision)
    }

    /// Adds deltas that continue the applied state or the pending updates; returns the new target
    /// if it has changed.
    pub fn enqueue_deltas(&mut self, applied: Revision, deltas: Vec<Delta>) -> Option<Revision> {
        let before = self.target();
        for delta in deltas {
            let end = self.target().unwrap_or(applied);
            if delta.from == end && delta.to.revision > end {
                self.updates.push_back(PendingUpdate::Delta(delta));
            }
        }
        self.target().filter(|_| self.target() != before)
    }

    /// Replaces all pending updates by a snapshot; returns the new target.
    pub fn replace_with_snapshot(
        &mut self,
        position: Position,
        snapshot: payload::Payload,
    ) -> Revision {
        self.updates.clear();
        self.updates.push_back(PendingUpdate::Snapshot(position, snapshot));
        position.revision
    }

    /// Records that a witness has acknowledged all revisions up to `revision`.
    pub fn acknowledge(&mut self, witness: &name::InstanceName, revision: Revision) {
        let acknowledged = self.acknowledged.entry(witness.clone()).or_default();
        *acknowledged = (*acknowledged).max(revision);
    }

    /// Removes the updates that a majority of the witnesses has acknowledged, in order.
    pub fn release(&mut self, view: &topology::View) -> Vec<PendingUpdate> {
        let mut released = Vec::new();
        while let Some(first) = self.updates.front()
            && self.has_quorum(view, first.revision())
        {
            released.extend(self.updates.pop_front());
        }
        released
    }

    fn has_quorum(&self, view: &topology::View, revision: Revision) -> bool {
        let acknowledged = |name: &&name::InstanceName| {
            self.acknowledged.get(*name).is_some_and(|acknowledged| *acknowledged >= revision)
        };
        view.witnesses.iter().filter(acknowledged).count() >= view.ack_quorum()
    }

    /// Drops the acknowledgements of processes that are no longer witnesses.
    pub fn retain_witnesses(&mut self, view: &topology::View) {
        self.acknowledged.retain(|name, _| view.witnesses.contains(name));
    }
}
