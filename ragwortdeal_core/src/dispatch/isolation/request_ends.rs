//! Counts the ends of upstreams under each request.
//!
//! A request is told from others by its fingerprint, so nothing has to be weighed as for the parts
//! that many requests share: three ends under one request isolate it. Two things keep sound requests
//! out. A whole answer shows that an upstream bears the request: ends before it count no longer, and
//! ends together later on count as one. And upstreams that end together have one cause, such as a
//! loss of power: their ends count only against a request that was at most of them.

use std::collections;

use super::evidence;
use crate::dispatch::prompt;

/// Ends under a request after which it is sent to no other upstream.
pub const ENDS_MAX: usize = 3;

/// Upstreams that end within this time of each other may have one cause.
const TOGETHER_MS: u64 = 100;

/// How long reports of other entries are waited for before an end is compared with others.
const SETTLE_MS: u64 = 150;

/// Reports on one start of an upstream that are apart by more tell of two ends. Upstreams may start
/// again within half a second, before they have announced it.
const SAME_END_MS: u64 = 200;

/// Ends kept for comparison, the newest ones.
const RECENT_MAX: usize = 512;

/// Requests kept, those with the newest ends.
const REQUESTS_MAX: usize = 10_000;

/// Requests kept of one entry's report on one end.
pub const REPORTED_MAX: usize = 128;

/// A request that was at an upstream as it ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Present {
    /// Its fingerprint.
    pub request: prompt::Part,
    /// Whether an upstream has answered it whole of late, as it does what many callers ask for.
    pub borne: bool,
}

/// An upstream that ended, by the reports of all entries.
#[derive(Clone, Debug)]
struct End {
    boot: evidence::Boot,
    at_ms: u64,
    requests: collections::BTreeSet<prompt::PartId>,
}

impl End {
    fn is(&self, boot: &evidence::Boot, at_ms: u64) -> bool {
        self.boot == *boot && self.at_ms.abs_diff(at_ms) <= SAME_END_MS
    }
}

/// An end under a request.
#[derive(Clone, Debug)]
struct Mark {
    boot: evidence::Boot,
    at_ms: u64,
    /// Whether it has been compared with other ends, and counts.
    settled: bool,
}

impl Mark {
    fn is(&self, boot: &evidence::Boot, at_ms: u64) -> bool {
        self.boot == *boot && self.at_ms.abs_diff(at_ms) <= SAME_END_MS
    }
}

#[derive(Clone, Debug)]
struct Record {
    request: prompt::Part,
    borne: bool,
    /// Ordered by time.
    marks: Vec<Mark>,
}

impl Record {
    /// Ends that count among those that `is_counted` chooses.
    fn count(&self, is_counted: impl Fn(&Mark) -> bool) -> usize {
        let times_ms: Vec<u64> =
            self.marks.iter().filter(|mark| is_counted(mark)).map(|mark| mark.at_ms).collect();
        if !self.borne {
            return times_ms.len();
        }
        let gaps = times_ms.windows(2).filter(|pair| pair[1] - pair[0] > TOGETHER_MS).count();
        gaps + usize::from(!times_ms.is_empty())
    }
}

/// Ends that count against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RequestCharge {
    /// Its fingerprint.
    pub request: prompt::PartId,
    /// Number of ends.
    pub ends: u32,
}

/// Ends of upstreams under requests.
#[derive(Clone, Debug, Default)]
pub struct RequestEnds {
    recent: Vec<End>,
    records: collections::BTreeMap<prompt::PartId, Record>,
    /// Requests whose charge may have changed since it was last asked for.
    changed: collections::BTreeSet<prompt::PartId>,
    unsettled: collections::BTreeSet<prompt::PartId>,
}

impl RequestEnds {
    /// Records that an upstream ended under requests. Telling it again changes nothing.
    pub fn record_end(&mut self, boot: &evidence::Boot, present: &[Present], at_ms: u64) {
        let present = &present[..present.len().min(REPORTED_MAX)];
        let ids = present.iter().map(|present| present.request.id);
        match self.recent.iter_mut().find(|end| end.is(boot, at_ms)) {
            Some(end) => end.requests.extend(ids),
            None => {
                self.recent.push(End { boot: boot.clone(), at_ms, requests: ids.collect() });
                self.recent.sort_by_key(|end| end.at_ms);
                if self.recent.len() > RECENT_MAX {
                    self.recent.remove(0);
                }
            }
        }
        for present in present {
            self.mark(present, boot, at_ms);
        }
        self.forget_oldest();
    }

    fn mark(&mut self, present: &Present, boot: &evidence::Boot, at_ms: u64) {
        let request = &present.request;
        let new = || Record { request: request.clone(), borne: false, marks: Vec::new() };
        let record = self.records.entry(request.id).or_insert_with(new);
        record.borne |= present.borne;
        if !record.marks.iter().any(|mark| mark.is(boot, at_ms)) {
            record.marks.push(Mark { boot: boot.clone(), at_ms, settled: false });
            record.marks.sort_by_key(|mark| mark.at_ms);
            self.unsettled.insert(request.id);
            self.changed.insert(request.id);
        }
    }

    fn forget_oldest(&mut self) {
        while self.records.len() > REQUESTS_MAX {
            let newest_ms = |record: &Record| record.marks.iter().map(|mark| mark.at_ms).max();
            let oldest = self.records.values().min_by_key(|record| newest_ms(record));
            let Some(oldest) = oldest.map(|record| record.request.id) else { return };
            self.forget(oldest);
        }
    }

    /// Forgets the ends under a request.
    pub fn forget(&mut self, request: prompt::PartId) {
        if self.records.remove(&request).is_some() {
            self.unsettled.remove(&request);
            self.changed.insert(request);
        }
    }

    /// Records that a request is isolated. It explains the ends at which it was, which count against
    /// no other one any more.
    pub fn record_isolated(&mut self, request: prompt::PartId) {
        self.forget(request);
        let explained = self.recent.iter().filter(|end| end.requests.contains(&request));
        let explained: Vec<_> = explained.map(|end| (end.boot.clone(), end.at_ms)).collect();
        explained.iter().for_each(|(boot, at_ms)| self.explain(boot, *at_ms));
    }

    /// Records that something else than a request ended an upstream.
    pub fn explain(&mut self, boot: &evidence::Boot, at_ms: u64) {
        for record in self.records.values_mut() {
            let before = record.marks.len();
            record.marks.retain(|mark| !mark.is(boot, at_ms));
            if record.marks.len() < before {
                self.changed.insert(record.request.id);
            }
        }
        self.records.retain(|_, record| !record.marks.is_empty());
    }

    /// Records that an upstream has answered a request whole. Returns whether that clears any ends.
    pub fn record_proof(&mut self, request: prompt::PartId, at_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(&request) else { return false };
        let before = record.marks.len();
        record.marks.retain(|mark| mark.at_ms > at_ms);
        let cleared = record.marks.len() < before;
        if record.marks.is_empty() {
            self.forget(request);
        } else if cleared {
            self.changed.insert(request);
        }
        cleared
    }

    /// Compares ends with others once all entries had the time to tell of those.
    pub fn settle(&mut self, now_ms: u64) {
        let Self { recent, records, changed, unsettled } = self;
        unsettled.retain(|request| {
            let Some(record) = records.get_mut(request) else { return false };
            let before = record.marks.len();
            record.marks.retain_mut(|mark| {
                if mark.settled || now_ms < mark.at_ms + SETTLE_MS {
                    return true;
                }
                mark.settled = counts(recent, *request, mark.at_ms);
                mark.settled
            });
            if record.marks.len() < before {
                changed.insert(*request);
            }
            let settled = record.marks.iter().all(|mark| mark.settled);
            if record.marks.is_empty() {
                records.remove(request);
            }
            !settled
        });
    }

    /// Ends that count against a request, with those that are not compared with others yet.
    pub fn charge(&self, request: prompt::PartId) -> u32 {
        self.records.get(&request).map_or(0, |record| record.count(|_| true) as u32)
    }

    /// Requests whose charge may have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<RequestCharge> {
        let changed = std::mem::take(&mut self.changed);
        let charge = |request| RequestCharge { request, ends: self.charge(request) };
        changed.into_iter().map(charge).collect()
    }

    /// All requests with so many ends and more.
    pub fn charged(&self, ends_min: u32) -> Vec<RequestCharge> {
        let requests = self.records.keys().copied();
        let charges = requests.map(|request| RequestCharge { request, ends: self.charge(request) });
        charges.filter(|charge| charge.ends >= ends_min).collect()
    }

    /// A request to isolate, and the number of ends under it.
    pub fn verdict(&self) -> Option<(prompt::Part, u32)> {
        let is_fatal = |record: &&Record| {
            record.marks.len() >= ENDS_MAX && record.count(|mark| mark.settled) >= ENDS_MAX
        };
        let record = self.records.values().find(is_fatal)?;
        Some((record.request.clone(), record.marks.len() as u32))
    }
}

/// Whether an end counts against a request: it was at most of the upstreams that ended with it.
fn counts(recent: &[End], request: prompt::PartId, at_ms: u64) -> bool {
    let together = recent.iter().filter(|end| end.at_ms.abs_diff(at_ms) <= TOGETHER_MS);
    let (mut all, mut own) = (0, 0);
    for end in together {
        all += 1;
        own += usize::from(end.requests.contains(&request));
    }
    2 * own > all
}
