//! The lowest revision that a starting process may serve.
//!
//! A process without a disk restarts in a zone that is cut off, and the one source that it reaches
//! is behind what the zone has applied. It asks the zone's witnesses first: since a majority took
//! note of a revision before anyone applied it, enough of their answers contain its number.

use std::collections;

use crate::{
    name,
    relay::{Revision, topology},
};

/// One witness's answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Highest revision noted or applied there.
    pub highest: Revision,
    /// Whether it had a memory to answer from.
    pub learned: bool,
    /// Hash over the witnesses as the answerer sees them.
    pub witnesses: u64,
}

/// The answers so far.
#[derive(Debug, Default)]
pub struct Floor {
    answers: collections::BTreeMap<name::InstanceName, Answer>,
}

impl Floor {
    /// Takes an answer; a later one of the same witness replaces the earlier one.
    pub fn record(&mut self, witness: &name::InstanceName, answer: Answer) {
        if self.answers.len() < 2 * topology::WITNESSES_PER_ZONE
            || self.answers.contains_key(witness)
        {
            self.answers.insert(witness.clone(), answer);
        }
    }

    /// The floor, once the answers prove it.
    ///
    /// Every live witness must have answered, those with a memory must be enough to contain one of
    /// any majority, and they must see the same witnesses as this process does: a process that has
    /// just started may know two members of five and would take one answer for enough.
    pub fn proven(&self, own: &name::InstanceName, view: &topology::View) -> Option<Revision> {
        let others = view.witnesses.iter().filter(|witness| *witness != own);
        let answers: Option<Vec<_>> = others.map(|witness| self.answers.get(witness)).collect();
        let learned: Vec<_> = answers?.into_iter().filter(|answer| answer.learned).collect();
        let agreed = learned.iter().all(|answer| answer.witnesses == view.witnesses_hash());
        let enough = !learned.is_empty() && learned.len() >= view.floor_quorum();
        let highest = learned.iter().map(|answer| answer.highest).max();
        highest.filter(|_| agreed && enough)
    }

    /// Forgets the answers of processes that are no witnesses any more.
    pub fn retain_witnesses(&mut self, view: &topology::View) {
        self.answers.retain(|name, _| view.witnesses.contains(name));
    }
}
