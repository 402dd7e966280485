//! What the other entries of the deployment said of their accounts' demand.

use std::collections;

use crate::name;

/// Demand of one account at one entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// The account.
    pub account: name::AccountName,
    /// Its weight.
    pub weight: u32,
    /// Its calls in flight and waiting.
    pub wanted: u32,
}

/// Demand of all accounts at one entry. It is a state, not a delta: a lost one does no harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// Accounts with any demand.
    pub demands: Vec<Demand>,
}

#[derive(Clone, Debug)]
struct Heard {
    summary: Summary,
    heard_at_ms: u64,
}

/// The last summary of each other entry.
#[derive(Debug, Default)]
pub struct Peers {
    heard: collections::BTreeMap<name::InstanceName, Heard>,
    wanted: collections::BTreeMap<name::AccountName, Demand>,
}

impl Peers {
    pub(super) fn learn(&mut self, entry: &name::InstanceName, summary: Summary, now_ms: u64) {
        self.heard.insert(entry.clone(), Heard { summary, heard_at_ms: now_ms });
        self.sum_up();
    }

    pub(super) fn forget(&mut self, entry: &name::InstanceName) {
        self.heard.remove(entry);
        self.sum_up();
    }

    /// An entry that died keeps no share: what it held is the others' within seconds.
    pub(super) fn expire(&mut self, max_age_ms: u64, now_ms: u64) {
        let before = self.heard.len();
        self.heard.retain(|_, heard| now_ms.saturating_sub(heard.heard_at_ms) <= max_age_ms);
        if self.heard.len() != before {
            self.sum_up();
        }
    }

    pub(super) fn count(&self) -> usize {
        self.heard.len()
    }

    /// Demand of each account at all other entries together.
    pub(super) fn demands(&self) -> impl Iterator<Item = &Demand> {
        self.wanted.values()
    }

    fn sum_up(&mut self) {
        self.wanted.clear();
        for demand in self.heard.values().flat_map(|heard| &heard.summary.demands) {
            let sum = self.wanted.entry(demand.account.clone());
            let sum = sum.or_insert_with(|| Demand { wanted: 0, ..demand.clone() });
            sum.wanted = sum.wanted.saturating_add(demand.wanted);
        }
    }
}
