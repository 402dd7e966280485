//! Which availability zones are evacuated, and which step a call for a change proposes.
//!
//! Revisions of a zone only rise, so a step that was delayed in transit never reverts what operators
//! decided after it. A step of a call that got no answer may still be on its way when the opposite is
//! ordered. It is of the revision after the one in force at most, so an order is acknowledged only
//! once that revision is taken, even where the state was as asked before.

use std::collections;

use super::Text;

/// Time after the arrival of a call within which it may propose a step. Operators repeat a call
/// after a second or a little more; a step proposed later could undo what they ordered meanwhile.
const PROPOSE_WITHIN_MS: u64 = 1_000;

/// The state of one availability zone as of a revision.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Evacuation {
    /// The availability zone.
    pub zone: Text,
    /// Number of changes; a higher one replaces a lower one.
    pub revision: u64,
    /// Whether nothing more is sent to upstreams of the zone.
    pub evacuated: bool,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The availability zone.
    pub zone: Text,
    /// Whether it is to be evacuated.
    pub evacuated: bool,
}

/// What a call does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The state is as asked and no earlier step can change it, so the call is acknowledged.
    AsAsked,
    /// A step is proposed.
    Propose(Evacuation),
    /// The call arrived too long ago to propose a step.
    TooLate,
}

/// All availability zones that were ever evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Evacuations {
    by_zone: collections::BTreeMap<Text, Evacuation>,
}

impl Evacuations {
    /// Takes the state of a zone if it is newer than the one held. Returns whether it was.
    pub fn record(&mut self, evacuation: &Evacuation) -> bool {
        let newer = evacuation.revision > self.revision(&evacuation.zone);
        if newer {
            self.by_zone.insert(evacuation.zone.clone(), evacuation.clone());
        }
        newer
    }

    /// Decides what a call does that arrived so long ago, given the state held and the revision that
    /// the call found first. A step proposed before the call cannot change what is above that.
    pub fn decide(&self, request: &Request, found: u64, age_ms: u64) -> Decision {
        let as_asked = self.is_evacuated(&request.zone) == request.evacuated;
        if as_asked && self.revision(&request.zone) > found {
            return Decision::AsAsked;
        }
        if age_ms > PROPOSE_WITHIN_MS {
            return Decision::TooLate;
        }
        Decision::Propose(Evacuation {
            zone: request.zone.clone(),
            revision: self.revision(&request.zone) + 1,
            evacuated: request.evacuated,
        })
    }

    /// Whether nothing may be sent to upstreams of a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.by_zone.get(zone).is_some_and(|held| held.evacuated)
    }

    /// Revision of a zone, 0 where it was never evacuated.
    pub fn revision(&self, zone: &str) -> u64 {
        self.by_zone.get(zone).map_or(0, |held| held.revision)
    }

    /// All zones that were ever evacuated.
    pub fn all(&self) -> impl Iterator<Item = &Evacuation> {
        self.by_zone.values()
    }

    /// The zones whose state is newer than another process's.
    pub fn newer_than(&self, other: &Evacuations) -> impl Iterator<Item = &Evacuation> {
        self.all().filter(|held| held.revision > other.revision(&held.zone))
    }

    /// Number of evacuated zones.
    pub fn count(&self) -> usize {
        self.all().filter(|held| held.evacuated).count()
    }
}
