//! What one entry knows of parts of prompts that end engines, and what it has to tell.

use std::{collections, net};

use super::{answered, collector, copies, evidence, popularity, request_ends, verdicts};
use crate::dispatch::prompt;

/// Parts at most for which this entry tells when an engine has borne them.
const WATCHED_MAX: usize = 20_000;

/// Own reports that are kept for voters that come into reach, and for how long.
const REPORTS_KEPT_MAX: usize = 64;
const REPORTS_KEPT_MS: u64 = 60_000;

/// The view of one entry.
#[derive(Clone, Debug)]
pub struct EntryView {
    address: net::Ipv4Addr,
    popularity: popularity::Popularity,
    /// By the reports of this entry alone.
    collector: collector::Collector,
    copies: copies::AllCopies,
    answered: answered::Answered,
    watched: collections::HashSet<prompt::PartId>,
    /// Own reports with the times of the ends.
    reports: collections::VecDeque<(u64, evidence::EndReport)>,
}

impl EntryView {
    /// The view of an entry that has just started.
    pub fn new(address: net::Ipv4Addr) -> Self {
        Self {
            address,
            popularity: popularity::Popularity::default(),
            collector: collector::Collector::default(),
            copies: copies::AllCopies::default(),
            answered: answered::Answered::default(),
            watched: collections::HashSet::new(),
            reports: collections::VecDeque::new(),
        }
    }

    /// Counts a request when it comes.
    pub fn record_request(&mut self, parts: &[prompt::Part], now_ms: u64) {
        self.popularity.record_request(parts, now_ms);
    }

    /// The first of some parts with which requests are refused.
    pub fn isolated_of<'p>(&self, parts: &'p [prompt::Part]) -> Option<&'p prompt::Part> {
        self.collector.verdicts().isolated_of(parts)
    }

    /// Records the end of an upstream so long ago, with the parts of each request of this entry there
    /// that had begun a short time before or was about to, and the fingerprints of all of them.
    /// Returns what is to be told to voters.
    pub fn record_end(
        &mut self,
        boot: evidence::Boot,
        age_ms: u64,
        requests: &[Vec<prompt::Part>],
        fingerprints: Vec<prompt::Part>,
        now_ms: u64,
    ) -> evidence::EndReport {
        let parts: collections::BTreeMap<_, _> =
            requests.iter().flatten().map(|part| (part.id, part)).collect();
        let suspect = |part: &prompt::Part| evidence::Suspect {
            part: part.clone(),
            share: self.popularity.share(part.id),
        };
        let mut suspects: Vec<_> = parts.into_values().map(suspect).collect();
        // The most common parts tell least.
        suspects.sort_by_key(|suspect| suspect.share.requests);
        suspects.truncate(evidence::SUSPECTS_MAX);
        let requests = requests.len() as u32;
        let present = fingerprints.into_iter().map(|request| request_ends::Present {
            borne: self.answered.contains(request.id),
            request,
        });
        let present = present.collect();
        let report = evidence::EndReport { boot, age_ms, requests, suspects, present };
        let charged = self.collector.record_end(self.address, &report, now_ms);
        self.watch(charged);
        self.reports.push_back((now_ms - age_ms.min(now_ms), report.clone()));
        if self.reports.len() > REPORTS_KEPT_MAX {
            self.reports.pop_front();
        }
        report
    }

    /// Decides whether one more copy of a request may be sent. `alone` tells whether this entry
    /// reaches no voter.
    pub fn admit(
        &mut self,
        fingerprint: prompt::PartId,
        alone: bool,
        now_ms: u64,
    ) -> copies::Admission {
        let requests = self.collector.requests_mut();
        requests.settle(now_ms);
        let own_ends = requests.charge(fingerprint);
        self.copies.admission(fingerprint, own_ends, alone, now_ms)
    }

    /// The copies of requests.
    pub fn copies_mut(&mut self) -> &mut copies::AllCopies {
        &mut self.copies
    }

    /// Records that an upstream has answered a request whole. Returns whether voters are to be told.
    pub fn record_answered(&mut self, fingerprint: prompt::PartId, now_ms: u64) -> bool {
        self.answered.record(fingerprint, now_ms);
        let cleared = self.collector.requests_mut().record_proof(fingerprint, now_ms);
        self.copies.record_answered(fingerprint) || cleared
    }

    /// Takes the ends under requests that a voter counts: of `all` requests, or of some.
    pub fn record_charges(
        &mut self,
        voter: net::Ipv4Addr,
        charges: &[request_ends::RequestCharge],
        all: bool,
        now_ms: u64,
    ) {
        if all {
            self.copies.forget_voter(voter, now_ms);
        }
        self.copies.record_charges(voter, charges, now_ms);
    }

    /// Records parts of which voters want to know when an engine bears them.
    pub fn watch(&mut self, parts: impl IntoIterator<Item = prompt::PartId>) {
        for part in parts {
            if self.watched.len() < WATCHED_MAX {
                self.watched.insert(part);
            }
        }
    }

    /// Records that an engine has borne the parts of a request. Returns those to tell voters of.
    pub fn record_proof(&mut self, parts: &[prompt::Part], now_ms: u64) -> Vec<prompt::PartId> {
        for part in parts {
            self.collector.record_proof(part.id, 0, now_ms);
        }
        let parts = parts.iter().map(|part| part.id);
        parts.filter(|part| self.watched.remove(part)).collect()
    }

    /// Takes verdicts. Returns those that are new here.
    pub fn merge(
        &mut self,
        told: impl IntoIterator<Item = verdicts::Verdict>,
        now_ms: u64,
    ) -> Vec<verdicts::Verdict> {
        self.collector.merge(told, now_ms)
    }

    /// Isolates parts by what this entry saw alone, for the time in which it reaches no voter.
    pub fn judge_alone(&mut self, now_ms: u64) -> Vec<verdicts::Verdict> {
        self.collector.judge(now_ms)
    }

    /// The ends that this entry saw a short time ago, for a voter that comes into reach.
    pub fn recent_reports(&self, now_ms: u64) -> Vec<evidence::EndReport> {
        let recent = self.reports.iter().filter(|(at_ms, _)| now_ms <= at_ms + REPORTS_KEPT_MS);
        let aged = recent.map(|(at_ms, report)| evidence::EndReport {
            age_ms: now_ms - at_ms,
            ..report.clone()
        });
        aged.collect()
    }

    /// The verdicts.
    pub fn verdicts(&self) -> &verdicts::Verdicts {
        self.collector.verdicts()
    }
}
