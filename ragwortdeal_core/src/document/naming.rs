//! Times at which versions of weights were named, as one process knows them.
//!
//! Once a fixed time has passed since a naming, no answer may begin on older weights. Clocks of two
//! instances cannot be compared, so a naming is sent with its age, from which each process computes
//! the time on its own clock. Without the age, a process that starts later would count the whole
//! time anew and send requests to engines that should have switched long ago. The sender may have
//! restarted as well, so ages are sent in both directions. `docs/design/platform.md` describes who
//! sends them to whom.

use std::collections;

/// Version that engines may hold from their start on, before any is named.
pub const FIRST_VERSION: u64 = 1;

/// Versions of a model whose times are kept. Older ones, whose deadlines passed long ago, are
/// covered by the newest of them.
const VERSIONS_MAX: usize = 32;

/// Difference between two reports of a naming that transit alone may cause. If smaller differences
/// were passed on, each follower of a restarted voter would make it notify all others.
const TRANSIT_MAX_MS: i64 = 200;

/// A named version, as one process sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Naming {
    /// The model.
    pub model: String,
    /// Its version. Higher ones replace lower ones.
    pub version: u64,
    /// Milliseconds since the sender learned of it.
    pub age_ms: u64,
}

/// Recently named versions with their times on this process's monotonic clock, in milliseconds. A
/// time is negative if the version was named before this process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Namings {
    by_model: collections::BTreeMap<String, collections::BTreeMap<u64, i64>>,
}

impl Namings {
    /// Whether a naming is new: an unknown version, or one that was named earlier than known here
    /// by more than the time in transit.
    pub fn is_news(&self, naming: &Naming, now_ms: u64) -> bool {
        let at_ms = signed(now_ms) - signed(naming.age_ms);
        let held_ms = self.named_at_ms(&naming.model, naming.version);
        held_ms.is_none_or(|held_ms| at_ms + TRANSIT_MAX_MS < held_ms)
    }

    /// Records a naming. Of several reports the earliest time counts. Returns whether the version
    /// is newer than all known ones.
    pub fn record(&mut self, naming: &Naming, now_ms: u64) -> bool {
        let at_ms = signed(now_ms) - signed(naming.age_ms);
        let versions = self.by_model.entry(naming.model.clone()).or_default();
        let newest = versions.last_key_value().is_none_or(|(held, _)| *held < naming.version);
        let held_ms = versions.entry(naming.version).or_insert(at_ms);
        *held_ms = at_ms.min(*held_ms);
        if versions.len() > VERSIONS_MAX {
            versions.pop_first();
        }
        newest
    }

    /// All namings with their ages, to be sent to another process.
    pub fn export(&self, now_ms: u64) -> Vec<Naming> {
        self.export_where(now_ms, |_, _| true)
    }

    /// The namings that a process without ages needs: for each model the highest version whose
    /// deadline has passed, and those whose deadline is still running. They stay few, however many
    /// versions were named.
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

    /// Lowest version of a model that may still be served, with a deadline of `within_ms` after
    /// each naming: the highest version whose deadline has passed. Versions may be named faster
    /// than engines load them, so each has a deadline of its own.
    pub fn min_servable_version(&self, model: &str, within_ms: u64, now_ms: u64) -> u64 {
        let versions = self.by_model.get(model).into_iter().flatten();
        let due = versions.filter(|(_, at_ms)| signed(now_ms) >= *at_ms + signed(within_ms));
        due.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// When the first higher version was named.
    pub fn superseded_at_ms(&self, model: &str, version: u64) -> Option<i64> {
        let versions = self.by_model.get(model)?;
        versions.range(version + 1..).map(|(_, at_ms)| *at_ms).min()
    }
}

/// Converts a time. Times of a process stay far below the limit of the signed type.
fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX / 4)
}
