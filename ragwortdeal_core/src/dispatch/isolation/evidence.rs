//! Finds the part of prompts that ends engines, from what ran on those that ended.
//!
//! A dozen requests may end with an engine, each with several parts, and engines end for other
//! reasons too. So each end weighs against a part by how unlikely the part would have been there by
//! chance: much for one that few requests hold, next to nothing for one that whole routes share. A
//! part has to be there at ends that are apart in time, since one loss of power ends many engines
//! with whatever ran there. A part that an engine has borne since is cleared. Of several parts that
//! were there each time, the one that is hardest to explain by chance is isolated alone; its ends
//! then count against no other part.

use std::{collections, net};

use super::{popularity, request_ends};
use crate::{directory, dispatch::prompt};

/// Ends of engines that are apart by less may have one cause, such as a loss of power.
const APART_MS: u64 = 80;

/// How long reports of other entries on the same end are waited for.
const SETTLE_MS: u64 = 120;

/// Fewest ends, apart from each other, after which a part is isolated.
const ENDS_MIN: usize = 3;

/// Weight of the ends together above which a part is isolated: the natural logarithm of how many
/// times less likely they are by chance. The logarithm of the number of all ends is added, as each
/// end is another occasion for a part to be there by chance.
const WEIGHT_MIN: f64 = 9.5;

/// Weight by which a part must lead all others, or wait for another end.
const LEAD_MIN: f64 = 0.4;

/// Ends after which a part is isolated without that lead.
const ENDS_WITHOUT_LEAD: usize = 6;

/// Reports on one start of an engine that are apart by more tell of two ends.
const SAME_END_MS: u64 = 500;

/// Ends kept, the newest ones.
const ENDS_KEPT_MAX: usize = 256;

/// Parts kept of one entry's report on one end.
pub const SUSPECTS_MAX: usize = 128;

/// The start of an engine that ended. It names the end in the reports of all entries.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Boot {
    /// Identifier of the engine.
    pub instance: directory::Text,
    /// When it started, in Unix milliseconds by its own account.
    pub born_ms: u64,
}

/// A part whose requests had begun on an engine, or were about to, when it ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Suspect {
    /// The part.
    pub part: prompt::Part,
    /// How common it is at the entry that tells.
    pub share: popularity::Share,
}

/// What one entry tells of the end of an engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndReport {
    /// The engine.
    pub boot: Boot,
    /// Milliseconds since its end.
    pub age_ms: u64,
    /// Requests of this entry that the engine had not shown to bear.
    pub requests: u32,
    /// Their parts.
    pub suspects: Vec<Suspect>,
    /// All requests of this entry there. Absent in reports of earlier versions.
    #[serde(default)]
    pub present: Vec<request_ends::Present>,
}

/// Requests of one entry at an engine that ended.
#[derive(Clone, Debug)]
struct Told {
    requests: u32,
    suspects: collections::BTreeMap<prompt::PartId, popularity::Share>,
}

/// The end of an engine by the reports of all entries.
#[derive(Clone, Debug)]
struct End {
    boot: Boot,
    at_ms: u64,
    told: collections::BTreeMap<net::Ipv4Addr, Told>,
    /// Whether a part that is isolated ended it.
    explained: bool,
}

impl End {
    /// Whether a report is on this end. An upstream that starts again may end again before it has
    /// announced itself.
    fn is(&self, boot: &Boot, at_ms: u64) -> bool {
        self.boot == *boot && self.at_ms.abs_diff(at_ms) <= SAME_END_MS
    }

    fn requests(&self) -> u32 {
        self.told.values().map(|told| told.requests).sum()
    }

    fn holds(&self, part: prompt::PartId) -> bool {
        self.told.values().any(|told| told.suspects.contains_key(&part))
    }
}

/// The ends at which one part was there, among all ends from the first of them to the last.
struct Tally {
    /// Ends, and those of them that are apart in time from the one before.
    ends: u32,
    ends_apart: u32,
    apart_at_ms: u64,
    /// Sum of the logarithms of how unlikely each one is by chance.
    weight: f64,
    /// Numbers of the first and the last one.
    first: u32,
    last: u32,
}

impl Tally {
    fn new(first: u32) -> Self {
        Self { ends: 0, ends_apart: 0, apart_at_ms: 0, weight: 0.0, first, last: first }
    }

    fn count(&mut self, number: u32, at_ms: u64, by_chance: f64) {
        if self.ends == 0 || at_ms >= self.apart_at_ms + APART_MS {
            self.ends_apart += 1;
            self.apart_at_ms = at_ms;
        }
        self.ends += 1;
        self.weight -= by_chance.ln();
        self.last = number;
    }

    /// Logarithm of how unlikely it is by chance that the part is there at so many of these ends:
    /// among many ends each part is there at a few.
    fn weight(&self) -> f64 {
        let all = self.last - self.first + 1;
        let choices = (0..self.ends).map(|it| f64::from(all - it) / f64::from(it + 1));
        self.weight - choices.map(f64::ln).sum::<f64>()
    }
}

/// What speaks against a part.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Charge {
    /// The part.
    pub part: prompt::Part,
    /// Ends apart from each other at which it was there.
    pub ends: u32,
    /// Logarithm of how unlikely that is by chance.
    pub weight: f64,
}

/// What is known of engines that ended, and of parts that engines bore since.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Ordered by time.
    ends: Vec<End>,
    proved_at_ms: collections::BTreeMap<prompt::PartId, u64>,
    names: collections::BTreeMap<prompt::PartId, directory::Text>,
}

impl Evidence {
    /// Records what an entry tells of an end. Telling it again changes nothing. `is_isolated` tells
    /// which parts are isolated: their ends count against no other part.
    pub fn record_end(
        &mut self,
        teller: net::Ipv4Addr,
        report: &EndReport,
        is_isolated: impl Fn(prompt::PartId) -> bool,
        now_ms: u64,
    ) {
        let suspects = &report.suspects[..report.suspects.len().min(SUSPECTS_MAX)];
        let explained = suspects.iter().any(|it| is_isolated(it.part.id));
        for suspect in suspects {
            self.names.insert(suspect.part.id, suspect.part.name.clone());
        }
        let told = Told {
            requests: report.requests,
            suspects: suspects.iter().map(|it| (it.part.id, it.share)).collect(),
        };
        let at_ms = now_ms.saturating_sub(report.age_ms);
        match self.ends.iter_mut().find(|end| end.is(&report.boot, at_ms)) {
            Some(end) => {
                end.told.insert(teller, told);
                end.explained |= explained;
            }
            None => {
                let told = collections::BTreeMap::from([(teller, told)]);
                self.ends.push(End { boot: report.boot.clone(), at_ms, told, explained });
                self.ends.sort_by_key(|end| end.at_ms);
                self.forget_oldest();
            }
        }
    }

    fn forget_oldest(&mut self) {
        if self.ends.len() <= ENDS_KEPT_MAX {
            return;
        }
        self.ends.remove(0);
        let ends = &self.ends;
        self.names.retain(|part, _| ends.iter().any(|end| end.holds(*part)));
        let names = &self.names;
        self.proved_at_ms.retain(|part, _| names.contains_key(part));
    }

    /// Records that an engine has borne a part so long ago. Returns whether the part was charged.
    pub fn record_proof(&mut self, part: prompt::PartId, age_ms: u64, now_ms: u64) -> bool {
        let was_charged = self.is_charged(part);
        if self.names.contains_key(&part) {
            let at_ms = now_ms.saturating_sub(age_ms);
            let held_ms = self.proved_at_ms.entry(part).or_default();
            *held_ms = at_ms.max(*held_ms);
        }
        was_charged
    }

    /// Whether an end counts against a part.
    fn counts(&self, end: &End, part: prompt::PartId) -> bool {
        let proved_at_ms = self.proved_at_ms.get(&part).copied();
        !end.explained && end.holds(part) && proved_at_ms.is_none_or(|at_ms| at_ms < end.at_ms)
    }

    /// Whether any end counts against a part.
    pub fn is_charged(&self, part: prompt::PartId) -> bool {
        self.ends.iter().any(|end| self.counts(end, part))
    }

    /// The parts against which ends count.
    pub fn charged_parts(&self) -> Vec<prompt::PartId> {
        self.names.keys().copied().filter(|part| self.is_charged(*part)).collect()
    }

    /// Records that a part is isolated: the ends at which it was there count against no other part.
    pub fn record_isolated(&mut self, part: prompt::PartId) {
        for end in self.ends.iter_mut().filter(|end| end.holds(part)) {
            end.explained = true;
        }
    }

    /// Records that a part is released: what was counted against it counts no longer.
    pub fn record_released(&mut self, part: prompt::PartId, now_ms: u64) {
        if self.names.contains_key(&part) {
            self.proved_at_ms.insert(part, now_ms);
        }
    }

    /// The ends at which a part was.
    pub fn ends_with(&self, part: prompt::PartId) -> impl Iterator<Item = (&Boot, u64)> {
        let ends = self.ends.iter().filter(move |end| end.holds(part));
        ends.map(|end| (&end.boot, end.at_ms))
    }

    /// The part to isolate now, if there is one.
    pub fn verdict(&self, now_ms: u64) -> Option<Charge> {
        let charges = self.charges(now_ms);
        let (first, rest) = charges.split_first()?;
        let unexplained = self.ends.iter().filter(|end| !end.explained).count();
        let weight_min = WEIGHT_MIN + (unexplained as f64).ln();
        let is_enough = first.ends as usize >= ENDS_MIN && first.weight >= weight_min;
        let next = rest.first().map_or(0.0, |charge| charge.weight);
        let leads = first.weight >= next + LEAD_MIN || first.ends as usize >= ENDS_WITHOUT_LEAD;
        (is_enough && leads).then(|| first.clone())
    }

    /// What speaks against each part, the heaviest first.
    pub fn charges(&self, now_ms: u64) -> Vec<Charge> {
        let shares = self.shares();
        let settled = self.ends.iter().filter(|end| !end.explained);
        let settled = settled.take_while(|end| end.at_ms + SETTLE_MS <= now_ms);
        let mut tallies = collections::BTreeMap::<prompt::PartId, Tally>::new();
        for (number, end) in (0..).zip(settled) {
            for part in self.counted_parts(end) {
                let fraction = shares.get(&part).copied().unwrap_or_default().fraction();
                let by_chance = 1.0 - (1.0 - fraction).powi(end.requests() as i32);
                let tally = tallies.entry(part).or_insert(Tally::new(number));
                tally.count(number, end.at_ms, by_chance);
            }
        }
        let charge = |(part, tally): (prompt::PartId, Tally)| {
            let part = prompt::Part { id: part, name: self.names.get(&part)?.clone() };
            Some(Charge { part, ends: tally.ends_apart, weight: tally.weight() })
        };
        let mut charges: Vec<_> = tallies.into_iter().filter_map(charge).collect();
        charges.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.part.id.cmp(&b.part.id)));
        charges
    }

    /// The parts against which an end counts.
    fn counted_parts(&self, end: &End) -> collections::BTreeSet<prompt::PartId> {
        let parts = end.told.values().flat_map(|told| told.suspects.keys().copied());
        parts.filter(|part| self.counts(end, *part)).collect()
    }

    /// How common each part is by the last reports of all entries that tell of it.
    fn shares(&self) -> collections::HashMap<prompt::PartId, popularity::Share> {
        let mut told_by = collections::HashMap::new();
        for (teller, told) in self.ends.iter().flat_map(|end| &end.told) {
            for (part, share) in &told.suspects {
                told_by.insert((*part, *teller), *share);
            }
        }
        let mut shares: collections::HashMap<_, popularity::Share> = Default::default();
        for ((part, _), share) in told_by {
            let sum = shares.entry(part).or_default();
            *sum = sum.plus(share);
        }
        shares
    }
}
