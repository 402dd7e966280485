//! Which parts of prompts and which requests are isolated, as processes tell each other. A request goes
//! by its fingerprint, which is named like a part.
//!
//! Each process merges what it is told into what it holds, in any order and any number of times. A
//! part that was isolated and released has a revision that rises with each change, and the higher
//! one counts.

use std::collections;

use super::fingerprint;
use crate::dispatch::prompt;

/// Parts kept at most, and requests kept at most. Beyond it a released one of the same kind makes
/// room, or the one isolated with the lowest identity.
const VERDICTS_MAX: usize = 1_000;

/// What is held of a part.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Verdict {
    /// The part.
    pub part: prompt::Part,
    /// Number of changes between isolated and released.
    pub revision: u64,
    /// Whether requests with it are refused.
    pub isolated: bool,
    /// Ends of engines that led to it, 0 where an operator isolated the part.
    pub ends: u32,
}

impl Verdict {
    /// Whether it is on a request, by its fingerprint, and not on a part of prompts.
    pub fn is_of_request(&self) -> bool {
        fingerprint::is_fingerprint(&self.part.name)
    }

    fn order(&self) -> (u64, bool) {
        (self.revision, self.isolated)
    }
}

/// What is held of all parts that were ever isolated.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Verdicts {
    by_part: collections::BTreeMap<prompt::PartId, Verdict>,
}

impl Verdicts {
    /// Takes what another process holds. Returns what is new here.
    pub fn merge(&mut self, told: impl IntoIterator<Item = Verdict>) -> Vec<Verdict> {
        let mut news: Vec<_> = told.into_iter().filter(|verdict| self.is_news(verdict)).collect();
        for verdict in &news {
            self.by_part.insert(verdict.part.id, verdict.clone());
            self.make_room(verdict.is_of_request());
        }
        // Processes that are full would otherwise tell each other of the same ones for ever.
        news.retain(|verdict| self.by_part.contains_key(&verdict.part.id));
        news
    }

    /// Whether a verdict is newer than the one held.
    pub fn is_news(&self, verdict: &Verdict) -> bool {
        let held = self.by_part.get(&verdict.part.id);
        held.is_none_or(|held| held.order() < verdict.order())
    }

    /// Makes room among the parts, or among the requests.
    fn make_room(&mut self, of_request: bool) {
        let same_kind = || self.all().filter(|verdict| verdict.is_of_request() == of_request);
        if same_kind().count() <= VERDICTS_MAX {
            return;
        }
        let released = same_kind().find(|it| !it.isolated).map(|it| it.part.id);
        let first = same_kind().next().map(|it| it.part.id);
        if let Some(part) = released.or(first) {
            self.by_part.remove(&part);
        }
    }

    /// The verdict by which a part becomes isolated or released.
    pub fn change(&self, part: prompt::Part, isolated: bool, ends: u32) -> Verdict {
        let held = self.by_part.get(&part.id).map_or(0, |held| held.revision);
        Verdict { part, revision: held + 1, isolated, ends }
    }

    /// What is held of a part.
    pub fn get(&self, part: prompt::PartId) -> Option<&Verdict> {
        self.by_part.get(&part)
    }

    /// Whether requests with a part are refused.
    pub fn is_isolated(&self, part: prompt::PartId) -> bool {
        self.by_part.get(&part).is_some_and(|verdict| verdict.isolated)
    }

    /// The first of some parts with which requests are refused.
    pub fn isolated_of<'p>(&self, parts: &'p [prompt::Part]) -> Option<&'p prompt::Part> {
        parts.iter().find(|part| self.is_isolated(part.id))
    }

    /// All that is held.
    pub fn all(&self) -> impl Iterator<Item = &Verdict> {
        self.by_part.values()
    }

    /// Number of parts with which requests are refused.
    pub fn isolated_count(&self) -> usize {
        self.all().filter(|verdict| verdict.isolated).count()
    }
}
