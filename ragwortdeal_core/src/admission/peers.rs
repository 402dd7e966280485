//! Demand of accounts at the other entries of the deployment.

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

/// Demand of all accounts at one entry. It is a full state, not a delta, so losing one does no
/// harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// Accounts with any demand.
    pub demands: Vec<Demand>,
}

#[derive(Clone, Debug)]
struct Received {
    summary: Summary,
    received_at_ms: u64,
}

/// The last summary of each other entry.
#[derive(Debug, Default)]
pub struct Peers {
    received: collections::BTreeMap<name::InstanceName, Received>,
    wanted: collections::BTreeMap<name::AccountName, Demand>,
}

impl Peers {
    pub(super) fn update(&mut self, entry: &name::InstanceName, summary: Summary, now_ms: u64) {
        self.received.insert(entry.clone(), Received { summary, received_at_ms: now_ms });
        self.update_totals();
    }

    pub(super) fn remove(&mut self, entry: &name::InstanceName) {
        self.received.remove(entry);
        self.update_totals();
    }

    /// Drops expired summaries, so that the share of an entry that died goes to the others within
    /// seconds.
    pub(super) fn expire(&mut self, max_age_ms: u64, now_ms: u64) {
        let before = self.received.len();
        self.received
            .retain(|_, received| now_ms.saturating_sub(received.received_at_ms) <= max_age_ms);
        if self.received.len() != before {
            self.update_totals();
        }
    }

    pub(super) fn count(&self) -> usize {
        self.received.len()
    }

    /// Total demand of each account at all other entries.
    pub(super) fn demands(&self) -> impl Iterator<Item = &Demand> {
        self.wanted.values()
    }

    fn update_totals(&mut self) {
        self.wanted.clear();
        for demand in self.received.values().flat_map(|received| &received.summary.demands) {
            let sum = self.wanted.entry(demand.account.clone());
            let sum = sum.or_insert_with(|| Demand { wanted: 0, ..demand.clone() });
            sum.wanted = sum.wanted.saturating_add(demand.wanted);
        }
    }
}
