//! The merged view of a zone's upstreams from the records of all its live entries.

use std::collections;

use crate::{
    membership::{self, Status, Upstream},
    name,
};

/// The prevailing record of each upstream.
#[derive(Clone, Debug, Default)]
pub struct View {
    upstreams: collections::BTreeMap<name::InstanceName, membership::Record>,
}

impl View {
    /// Merges records: the highest incarnation prevails, then leaving over serving over lapsed.
    pub fn merge<'a>(records: impl IntoIterator<Item = &'a membership::Record>) -> Self {
        let mut view = Self::default();
        for record in records {
            view.merge_record(record);
        }
        view
    }

    fn merge_record(&mut self, record: &membership::Record) {
        let rank =
            |r: &membership::Record| (r.upstream.incarnation, r.status, r.upstream.description);
        match self.upstreams.get_mut(&record.upstream.name) {
            Some(held) if rank(held) >= rank(record) => {}
            Some(held) => *held = record.clone(),
            None => {
                self.upstreams.insert(record.upstream.name.clone(), record.clone());
            }
        }
    }

    /// The upstreams that may get new work, by name.
    pub fn eligible(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|r| r.status == Status::Serving).map(|r| &r.upstream)
    }

    /// The upstream of this name, if it may get new work.
    pub fn get(&self, name: &name::InstanceName) -> Option<&Upstream> {
        self.upstreams.get(name).filter(|r| r.status == Status::Serving).map(|r| &r.upstream)
    }

    /// Highest known incarnation of the name.
    pub fn incarnation(&self, name: &name::InstanceName) -> Option<u64> {
        self.upstreams.get(name).map(|r| r.upstream.incarnation)
    }

    /// Number of upstreams known, whether or not they may get new work.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}
