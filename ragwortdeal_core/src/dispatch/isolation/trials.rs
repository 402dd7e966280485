//! Lets one entry at a time send a request under which upstreams have ended.
//!
//! One end more isolates the request, so a second copy of it must not be under way meanwhile. A
//! voter grants the trial; each entry asks the first voter in its reach.

use std::{collections, net};

use crate::dispatch::prompt;

/// How long a trial lasts at most, where its entry does not tell that it is over.
const TRIAL_MS: u64 = 30_000;

/// A trial under way.
#[derive(Clone, Copy, Debug)]
struct Trial {
    entry: net::Ipv4Addr,
    until_ms: u64,
}

/// Trials that were granted.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    by_request: collections::BTreeMap<prompt::PartId, Trial>,
}

impl Trials {
    /// Whether an entry may send the request now. It may ask again.
    pub fn grant(&mut self, request: prompt::PartId, entry: net::Ipv4Addr, now_ms: u64) -> bool {
        self.by_request.retain(|_, trial| now_ms < trial.until_ms);
        let trial = Trial { entry, until_ms: now_ms + TRIAL_MS };
        self.by_request.entry(request).or_insert(trial).entry == entry
    }

    /// Records that an entry's trial is over.
    pub fn end(&mut self, request: prompt::PartId, entry: net::Ipv4Addr) {
        if self.by_request.get(&request).is_some_and(|trial| trial.entry == entry) {
            self.by_request.remove(&request);
        }
    }

    /// Ends the trials of an entry that is gone.
    pub fn end_all_of(&mut self, entry: net::Ipv4Addr) {
        self.by_request.retain(|_, trial| trial.entry != entry);
    }
}
