//! Evidence of many entries and the verdicts by it, as a voter holds them, or an entry that no
//! voter is in reach of.

use std::net;

use super::{evidence, fingerprint, request_ends, verdicts};
use crate::dispatch::prompt;

/// Time after the last news in which evidence is judged again: reports settle meanwhile.
const JUDGED_FOR_MS: u64 = 1_000;

/// Evidence and verdicts.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    evidence: evidence::Evidence,
    requests: request_ends::RequestEnds,
    verdicts: verdicts::Verdicts,
    /// Until when there may be something to judge.
    judge_until_ms: u64,
}

impl Collector {
    /// Records an entry's report on the end of an engine. Returns the parts that it charges:
    /// entries are asked to tell when an engine bears one of them.
    pub fn record_end(
        &mut self,
        teller: net::Ipv4Addr,
        report: &evidence::EndReport,
        now_ms: u64,
    ) -> Vec<prompt::PartId> {
        let Self { evidence, requests, verdicts, .. } = self;
        let parts = report.suspects.iter().map(|suspect| &suspect.part);
        let present = report.present.iter().map(|present| &present.request);
        let is_explained = parts.chain(present).any(|part| verdicts.is_isolated(part.id));
        if !is_explained {
            let at_ms = now_ms.saturating_sub(report.age_ms);
            requests.record_end(&report.boot, &report.present, at_ms);
        }
        // An end without suspected parts tells nothing of parts.
        if !report.suspects.is_empty() {
            evidence.record_end(teller, report, |part| verdicts.is_isolated(part), now_ms);
        }
        self.judge_until_ms = now_ms + JUDGED_FOR_MS;
        let parts = report.suspects.iter().map(|suspect| suspect.part.id);
        parts.filter(|part| self.evidence.is_charged(*part)).collect()
    }

    /// Records that an engine has borne a part, or an upstream a request, so long ago.
    pub fn record_proof(&mut self, part: prompt::PartId, age_ms: u64, now_ms: u64) {
        self.requests.record_proof(part, now_ms.saturating_sub(age_ms));
        if self.evidence.record_proof(part, age_ms, now_ms) {
            self.judge_until_ms = now_ms + JUDGED_FOR_MS;
        }
    }

    /// Whether an end counts against a part.
    pub fn is_charged(&self, part: prompt::PartId) -> bool {
        self.evidence.is_charged(part)
    }

    /// Takes the verdicts of another process. Returns those that are new here.
    pub fn merge(
        &mut self,
        told: impl IntoIterator<Item = verdicts::Verdict>,
        now_ms: u64,
    ) -> Vec<verdicts::Verdict> {
        let news = self.verdicts.merge(told);
        for verdict in &news {
            let part = verdict.part.id;
            match (fingerprint::is_fingerprint(&verdict.part.name), verdict.isolated) {
                (true, true) => self.requests.record_isolated(part),
                (true, false) => self.requests.forget(part),
                (false, true) => {
                    self.evidence.record_isolated(part);
                    let ends = self.evidence.ends_with(part);
                    ends.for_each(|(boot, at_ms)| self.requests.explain(boot, at_ms));
                }
                (false, false) => self.evidence.record_released(part, now_ms),
            }
        }
        news
    }

    /// Isolates the parts and the requests that the evidence tells by now. Returns the verdicts.
    pub fn judge(&mut self, now_ms: u64) -> Vec<verdicts::Verdict> {
        let mut news = Vec::new();
        if now_ms > self.judge_until_ms {
            return news;
        }
        self.requests.settle(now_ms);
        while let Some((request, ends)) = self.requests.verdict() {
            let verdict = self.verdicts.change(request, true, ends);
            news.extend(self.merge([verdict], now_ms));
        }
        while let Some(charge) = self.evidence.verdict(now_ms) {
            let verdict = self.verdicts.change(charge.part, true, charge.ends);
            news.extend(self.merge([verdict], now_ms));
        }
        news
    }

    /// The ends under requests.
    pub fn requests(&self) -> &request_ends::RequestEnds {
        &self.requests
    }

    /// The ends under requests, to settle them or to take what has changed.
    pub fn requests_mut(&mut self) -> &mut request_ends::RequestEnds {
        &mut self.requests
    }

    /// What speaks against each part that is not isolated, the heaviest first.
    pub fn charges(&self, now_ms: u64) -> Vec<evidence::Charge> {
        self.evidence.charges(now_ms)
    }

    /// The verdicts.
    pub fn verdicts(&self) -> &verdicts::Verdicts {
        &self.verdicts
    }
}
