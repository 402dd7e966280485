//! The lowest revision that a starting process may serve.
//!
//! A process without a disk may restart in a zone that is partitioned off, where the only source
//! that it reaches is behind what the zone has applied. It asks the zone's witnesses first: since a
//! majority recorded a revision before any process applied it, enough of their answers include it.

use std::collections;

use crate::{
    name,
    relay::{Revision, topology},
};

/// One witness's answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Highest revision that it has recorded or applied.
    pub highest: Revision,
    /// Whether it serves, and so has kept what it recorded.
    pub learned: bool,
    /// Hash over the witnesses in the answering process's view.
    pub witnesses: u64,
}

/// The witnesses' answers, from which a starting process derives the floor.
#[derive(Debug, Default)]
pub struct Floor {
    answers: collections::BTreeMap<name::InstanceName, Answer>,
}

impl Floor {
    /// Records an answer; a later one of the same witness replaces the earlier one.
    pub fn record(&mut self, witness: &name::InstanceName, answer: Answer) {
        if self.answers.len() < 2 * topology::WITNESSES_PER_ZONE
            || self.answers.contains_key(witness)
        {
            self.answers.insert(witness.clone(), answer);
        }
    }

    /// The floor, once the answers prove it.
    ///
    /// Every live witness must have answered, those that serve must intersect every majority, and
    /// they must have the same view of the witnesses as this process: a process that has just
    /// started may know two members of five and would consider one answer sufficient.
    pub fn proven(&self, own: &name::InstanceName, view: &topology::View) -> Option<Revision> {
        let others = view.witnesses.iter().filter(|witness| *witness != own);
        let answers: Option<Vec<_>> = others.map(|witness| self.answers.get(witness)).collect();
        let serving: Vec<_> = answers?.into_iter().filter(|answer| answer.learned).collect();
        let views_agree = serving.iter().all(|answer| answer.witnesses == view.witnesses_hash());
        let has_quorum = !serving.is_empty() && serving.len() >= view.floor_quorum();
        let highest = serving.iter().map(|answer| answer.highest).max();
        highest.filter(|_| views_agree && has_quorum)
    }

    /// Drops the answers of processes that are no longer witnesses.
    pub fn retain_witnesses(&mut self, view: &topology::View) {
        self.answers.retain(|name, _| view.witnesses.contains(name));
    }
}
