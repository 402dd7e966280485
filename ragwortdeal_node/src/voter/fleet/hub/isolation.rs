//! Collects what entries tell of ended engines, and tells them which parts of prompts are isolated.

use std::{collections, net, sync, time};

use ragwortdeal_core::dispatch::{
    isolation::{collector, evidence, verdicts},
    prompt,
};

use super::{Hub, State};
use crate::{
    fleet::{notice, voter_links},
    voter::operate::parts,
};

/// How often evidence is judged, and entries are asked to tell of the parts that it charges.
const JUDGE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Evidence, verdicts, and what entries are not told of yet.
#[derive(Default)]
pub(super) struct Isolation {
    pub(super) collector: collector::Collector,
    newly_charged: collections::BTreeSet<prompt::PartId>,
}

/// Judges the evidence for as long as the process runs.
pub(in super::super) async fn judge(hub: sync::Arc<Hub>) {
    loop {
        tokio::time::sleep(JUDGE_INTERVAL).await;
        hub.state().judge_isolation(hub.clock.now_ms());
    }
}

impl Hub {
    /// Verdicts that the log does not tell yet.
    pub(in super::super) fn unrecorded_verdicts(&self) -> Vec<verdicts::Verdict> {
        let state = self.state();
        let held = state.isolation.collector.verdicts().all();
        held.filter(|verdict| state.documents.verdicts.is_news(verdict)).cloned().collect()
    }
}

impl Hub {
    /// What this voter knows of parts, for an operator.
    pub(in super::super) fn listed_parts(&self) -> parts::ListedParts {
        let state = self.state();
        let collector = &state.isolation.collector;
        let verdicts = collector.verdicts().all().cloned().collect();
        parts::ListedParts { verdicts, charges: collector.charges(self.clock.now_ms()) }
    }

    /// Isolates or releases a part for an operator. Returns the verdict, the one that is held where
    /// it says so already.
    pub(in super::super) fn set_part(&self, name: &str, isolated: bool) -> verdicts::Verdict {
        let mut state = self.state();
        let part = prompt::Part::new(name);
        let verdicts = state.isolation.collector.verdicts();
        if let Some(held) = verdicts.get(part.id).filter(|held| held.isolated == isolated) {
            return held.clone();
        }
        let verdict = verdicts.change(part, isolated, 0);
        state.merge_verdicts("an operator", [verdict.clone()], self.clock.now_ms());
        verdict
    }
}

impl State {
    /// Takes an entry's report on the end of an engine.
    pub(super) fn record_end(
        &mut self,
        teller: net::Ipv4Addr,
        report: &evidence::EndReport,
        now_ms: u64,
    ) {
        log::info!(
            teller:%, upstream = &*report.boot.instance, age_ms = report.age_ms,
            open = report.requests;
            "voter: an engine ended under requests"
        );
        let charged = self.isolation.collector.record_end(teller, report, now_ms);
        self.isolation.newly_charged.extend(charged);
    }

    fn judge_isolation(&mut self, now_ms: u64) {
        let charged = std::mem::take(&mut self.isolation.newly_charged);
        if !charged.is_empty() {
            let parts = charged.into_iter().collect();
            self.tell_role("entry", &notice::encode(&notice::Notice::ChargedParts(parts)));
        }
        let news = self.isolation.collector.judge(now_ms);
        self.tell_verdicts("the evidence", news);
    }

    /// Takes the verdicts of the log or of another process.
    pub(super) fn merge_verdicts(
        &mut self,
        teller: &str,
        told: impl IntoIterator<Item = verdicts::Verdict>,
        now_ms: u64,
    ) {
        let news = self.isolation.collector.merge(told, now_ms);
        self.tell_verdicts(teller, news);
    }

    fn tell_verdicts(&self, teller: &str, news: Vec<verdicts::Verdict>) {
        if news.is_empty() {
            return;
        }
        news.iter().for_each(|verdict| notice::log_verdict("voter", teller, verdict));
        let notice = notice::encode(&notice::Notice::Verdicts(news));
        self.tell_role("entry", &notice);
        self.tell_role(voter_links::VOTER_ROLE, &notice);
    }
}
