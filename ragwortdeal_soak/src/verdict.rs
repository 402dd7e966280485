//! What a run showed.

use std::collections;

use crate::{
    checks,
    history::{History, Sent, Who},
};

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Broken promises.
    pub violations: collections::BTreeSet<checks::Violation>,
    /// The schedule, one step a line.
    pub schedule: String,
    /// Requests that were sent.
    pub sent: usize,
    /// Requests that were served.
    pub served: usize,
    /// How requests ended, by status; 0 where no answer came, 1 where it broke off.
    pub ends: collections::BTreeMap<u16, usize>,
    /// Requests on which the checks of time could speak.
    pub judged: usize,
    /// Requests that ran on weights that were loaded in the run.
    pub on_loaded: usize,
    /// Times at which an engine fell silent of itself.
    pub silences: u64,
    /// Documents that were acknowledged, and read back.
    pub documents: (usize, usize),
    /// Weights that were named.
    pub named: usize,
    /// Times at which the machine was late.
    pub late: usize,
}

impl Verdict {
    /// What a history shows in which these promises were broken. It does not tell of silences.
    pub fn new(
        violations: collections::BTreeSet<checks::Violation>,
        schedule: String,
        history: &History,
    ) -> Self {
        let served = |it: &&Sent| it.end.as_ref().is_some_and(|end| end.status == 200 && end.whole);
        let mut ends = collections::BTreeMap::new();
        for end in history.sent.values().filter_map(|it| it.end.as_ref()) {
            let way = if end.status == 0 || end.whole { end.status } else { 1 };
            *ends.entry(way).or_insert(0) += 1;
        }
        let acked = history.documents.values().filter(|it| it.acked_ms.is_some());
        let late = history.disturbances.iter().filter(|it| it.who == Who::Machine);
        Self {
            violations,
            schedule,
            sent: history.sent.len(),
            ends,
            served: history.sent.values().filter(served).count(),
            judged: checks::judged(history),
            on_loaded: checks::weights::on_loaded(history),
            silences: 0,
            documents: (acked.count(), history.read_back.len()),
            named: history.named.len(),
            late: late.count(),
        }
    }
}
