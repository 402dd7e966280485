//! Revisions from outside the zone wait here until a majority of the witnesses knows their number.
//!
//! A root that applied a revision at once and then restarted, cut off beside a source that is
//! behind, would be the only one that ever knew of it: an operator's change would seem undone.

use std::collections;

use crate::{
    name,
    relay::{Delta, Position, Revision, payload, topology},
};

/// What waits.
#[derive(Debug)]
pub enum PendingUpdate {
    /// A step.
    Delta(Delta),
    /// A whole state.
    Snapshot(Position, payload::Payload),
}

impl PendingUpdate {
    /// Where it leads.
    pub fn revision(&self) -> Revision {
        match self {
            PendingUpdate::Delta(delta) => delta.to.revision,
            PendingUpdate::Snapshot(position, _) => position.revision,
        }
    }
}

/// The waiting revisions and who has taken note of them.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    waiting: collections::VecDeque<PendingUpdate>,
    noted: collections::BTreeMap<name::InstanceName, Revision>,
}

impl PendingUpdates {
    /// Highest revision that waits.
    pub fn target(&self) -> Option<Revision> {
        self.waiting.back().map(PendingUpdate::revision)
    }

    /// Lets steps wait that continue what is applied or already waits; returns the new target.
    pub fn enqueue_deltas(&mut self, applied: Revision, deltas: Vec<Delta>) -> Option<Revision> {
        let before = self.target();
        for delta in deltas {
            let end = self.target().unwrap_or(applied);
            if delta.from == end && delta.to.revision > end {
                self.waiting.push_back(PendingUpdate::Delta(delta));
            }
        }
        self.target().filter(|_| self.target() != before)
    }

    /// Lets a snapshot wait in place of everything else, if it is newer.
    pub fn replace_with_snapshot(
        &mut self,
        position: Position,
        snapshot: payload::Payload,
    ) -> Revision {
        self.waiting.clear();
        self.waiting.push_back(PendingUpdate::Snapshot(position, snapshot));
        position.revision
    }

    /// A witness has taken note of everything up to `revision`.
    pub fn acknowledge(&mut self, witness: &name::InstanceName, revision: Revision) {
        let noted = self.noted.entry(witness.clone()).or_default();
        *noted = (*noted).max(revision);
    }

    /// Takes out what a majority of the witnesses knows, in order.
    pub fn release(&mut self, view: &topology::View) -> Vec<PendingUpdate> {
        let mut released = Vec::new();
        while let Some(first) = self.waiting.front()
            && self.is_noted(view, first.revision())
        {
            released.extend(self.waiting.pop_front());
        }
        released
    }

    fn is_noted(&self, view: &topology::View, revision: Revision) -> bool {
        let noted = |name: &&name::InstanceName| {
            self.noted.get(*name).is_some_and(|noted| *noted >= revision)
        };
        view.witnesses.iter().filter(noted).count() >= view.ack_quorum()
    }

    /// The noted numbers of witnesses that are none any more are dropped.
    pub fn retain_witnesses(&mut self, view: &topology::View) {
        self.noted.retain(|name, _| view.witnesses.contains(name));
    }
}
