//! Collects what entries tell of upstreams that ended, tells them which parts of prompts and which
//! requests are isolated, and grants trials of requests.

use std::{collections, net, sync, time};

use ragwortdeal_core::dispatch::{
    isolation::{collector, evidence, request_ends, trials, verdicts},
    prompt,
};

use super::{Hub, State};
use crate::{
    fleet::{
        notice::{self, CopiesNotice},
        voter_links,
    },
    link,
    voter::operate::parts,
};

/// How often evidence is judged, and entries are asked to tell of the parts that it charges.
const JUDGE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Ends under a request from which on entries are told of them: the next one may isolate it.
const TOLD_ENDS_MIN: u32 = request_ends::ENDS_MAX as u32 - 1;

/// Evidence, verdicts, and what entries are not told of yet.
#[derive(Default)]
pub(super) struct Isolation {
    pub(super) collector: collector::Collector,
    newly_charged: collections::BTreeSet<prompt::PartId>,
    trials: trials::Trials,
    /// Requests of which entries were told that ends count against them.
    told_charged: collections::BTreeSet<prompt::PartId>,
}

impl Isolation {
    /// What a follower with this role that has just subscribed has to know.
    pub(super) fn state_for(&self, role: &str) -> Vec<notice::Notice> {
        if role == "agent" {
            return Vec::new();
        }
        let verdicts = self.collector.verdicts().all().cloned().collect();
        let mut notices = vec![notice::Notice::Verdicts(verdicts)];
        if role == "entry" {
            let charges = self.collector.requests().charged(TOLD_ENDS_MIN);
            notices.push(notice::Notice::Copies(CopiesNotice::Charges { all: true, charges }));
        }
        notices
    }

    /// Charges that changed and that entries have to know.
    fn changed_charges(&mut self) -> Vec<request_ends::RequestCharge> {
        let mut changed = self.collector.requests_mut().take_changed();
        changed.retain(|charge| match charge.ends >= TOLD_ENDS_MIN {
            true => {
                self.told_charged.insert(charge.request);
                true
            }
            false => self.told_charged.remove(&charge.request),
        });
        changed
    }

    /// Ends the trials of an entry whose link is closed.
    pub(super) fn end_trials_of(&mut self, entry: &str) {
        if let Ok(entry) = entry.parse() {
            self.trials.end_all_of(entry);
        }
    }
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
    /// What this voter knows of parts and requests, for an operator.
    pub(in super::super) fn listed_parts(&self) -> parts::ListedParts {
        let state = self.state();
        let collector = &state.isolation.collector;
        let verdicts = collector.verdicts().all().cloned();
        let (requests, verdicts) = verdicts.partition(verdicts::Verdict::is_of_request);
        parts::ListedParts {
            verdicts,
            charges: collector.charges(self.clock.now_ms()),
            requests,
            request_charges: collector.requests().charged(TOLD_ENDS_MIN),
        }
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
        self.tell_charges();
    }

    /// Takes that engines have borne parts, or upstreams requests.
    pub(super) fn record_proofs(&mut self, parts: Vec<prompt::PartId>, now_ms: u64) {
        let collector = &mut self.isolation.collector;
        parts.into_iter().for_each(|part| collector.record_proof(part, 0, now_ms));
        self.tell_charges();
    }

    /// Takes what an entry asks or tells of a trial.
    pub(super) fn record_copies(
        &mut self,
        session: &link::Session,
        told: CopiesNotice,
        now_ms: u64,
    ) {
        let Ok(entry) = session.hello.name.parse::<net::Ipv4Addr>() else { return };
        let Isolation { collector, trials, .. } = &mut self.isolation;
        match told {
            CopiesNotice::TrialWanted(request) => {
                let is_fatal = collector.verdicts().is_isolated(request)
                    || collector.requests().charge(request) as usize >= request_ends::ENDS_MAX;
                if !is_fatal && trials.grant(request, entry, now_ms) {
                    let granted = notice::Notice::Copies(CopiesNotice::TrialGranted(request));
                    session.push(notice::encode(&granted));
                }
            }
            CopiesNotice::TrialOver(request) => trials.end(request, entry),
            CopiesNotice::Charges { .. } | CopiesNotice::TrialGranted(_) => (),
        }
    }

    /// Tells entries of requests under which upstreams ended, and of those that were cleared.
    fn tell_charges(&mut self) {
        let charges = self.isolation.changed_charges();
        if !charges.is_empty() {
            let told = notice::Notice::Copies(CopiesNotice::Charges { all: false, charges });
            self.tell_role("entry", &notice::encode(&told));
        }
    }

    fn judge_isolation(&mut self, now_ms: u64) {
        let charged = std::mem::take(&mut self.isolation.newly_charged);
        if !charged.is_empty() {
            let parts = charged.into_iter().collect();
            self.tell_role("entry", &notice::encode(&notice::Notice::ChargedParts(parts)));
        }
        let news = self.isolation.collector.judge(now_ms);
        self.tell_verdicts("the evidence", news);
        self.tell_charges();
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
