//! When weights were named, as one process knows it.
//!
//! Callers must get no answer that begins on older weights once the time after a naming is up. Each
//! process counts that time from an age that travels, because clocks of two instances never compare.
//! Without the age, a process that starts later would count the whole time anew and send requests to
//! engines that should have changed long since. Whoever told it may have restarted as well, so the
//! age is told both ways. `docs/design/platform.md` tells who tells whom.

use std::collections;

/// Versions of a model of which the time is remembered. Those whose time is up long since are
/// covered by the newest of them.
const NAMED_MAX: usize = 32;

/// Two words on one naming differ by so much because of the way alone. Were smaller differences
/// passed on, each follower of a voter that restarted would make it tell all others.
const WORD_TRAVELS_MS: i64 = 200;

/// A version that was named, as one process tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Naming {
    /// The model.
    pub model: String,
    /// Its version; higher ones replace lower ones.
    pub version: u64,
    /// Milliseconds since the teller heard of it.
    pub age_ms: u64,
}

/// All versions that were named lately, by the own monotonic clock in milliseconds. A version may
/// have been named before this process started, at a negative time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Namings {
    by_model: collections::BTreeMap<String, collections::BTreeMap<u64, i64>>,
}

impl Namings {
    /// Whether a naming tells something new: an unknown version, or one that was named longer ago
    /// than is known here by more than the time in which a word travels.
    pub fn is_news(&self, naming: &Naming, now_ms: u64) -> bool {
        let at_ms = signed(now_ms) - signed(naming.age_ms);
        let held_ms = self.named_at_ms(&naming.model, naming.version);
        held_ms.is_none_or(|held_ms| at_ms + WORD_TRAVELS_MS < held_ms)
    }

    /// Takes a naming. Of several tellers the one that heard of it first is right. Returns whether
    /// the version is newer than all that were known.
    pub fn record(&mut self, naming: &Naming, now_ms: u64) -> bool {
        let at_ms = signed(now_ms) - signed(naming.age_ms);
        let versions = self.by_model.entry(naming.model.clone()).or_default();
        let newest = versions.last_key_value().is_none_or(|(held, _)| *held < naming.version);
        let held_ms = versions.entry(naming.version).or_insert(at_ms);
        *held_ms = at_ms.min(*held_ms);
        if versions.len() > NAMED_MAX {
            versions.pop_first();
        }
        newest
    }

    /// All namings with their ages, to tell another process.
    pub fn export(&self, now_ms: u64) -> Vec<Naming> {
        self.export_where(now_ms, |_, _| true)
    }

    /// The namings that still matter to a process which lost their ages: of each model the highest
    /// that is due, and those whose time runs. They stay few, however many were named before.
    pub fn export_open(&self, within_ms: u64, now_ms: u64) -> Vec<Naming> {
        let due = |model: &str| self.min_servable_version(model, within_ms, now_ms);
        self.export_where(now_ms, |model, version| version >= due(model))
    }

    fn export_where(&self, now_ms: u64, matters: impl Fn(&str, u64) -> bool) -> Vec<Naming> {
        let namings = self.by_model.iter().flat_map(|(model, versions)| {
            let versions = versions.iter().filter(|(version, _)| matters(model, **version));
            versions.map(|(&version, at_ms)| Naming {
                model: model.clone(),
                version,
                age_ms: (signed(now_ms) - at_ms).max(0).unsigned_abs(),
            })
        });
        namings.collect()
    }

    /// The newest version of a model.
    pub fn newest(&self, model: &str) -> Option<u64> {
        Some(*self.by_model.get(model)?.last_key_value()?.0)
    }

    /// When a version was named.
    pub fn named_at_ms(&self, model: &str, version: u64) -> Option<i64> {
        self.by_model.get(model)?.get(&version).copied()
    }

    /// Lowest version of a model that may be served `within_ms` after each naming: the highest
    /// whose time is up. Versions may be named faster than engines take them, so each has a time
    /// of its own.
    pub fn min_servable_version(&self, model: &str, within_ms: u64, now_ms: u64) -> u64 {
        let versions = self.by_model.get(model).into_iter().flatten();
        let due = versions.filter(|(_, at_ms)| signed(now_ms) >= *at_ms + signed(within_ms));
        due.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// When the first version above this one was named.
    pub fn superseded_at_ms(&self, model: &str, version: u64) -> Option<i64> {
        let versions = self.by_model.get(model)?;
        versions.range(version + 1..).map(|(_, at_ms)| *at_ms).min()
    }
}

/// Times of a process stay far below the bound of the signed type.
fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX / 4)
}
