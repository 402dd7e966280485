//! The turn of each engine to change its weights.
//!
//! An engine that changes is away for about a second. Did all change as soon as they can, callers
//! would find nobody for that second; did the engines of one zone change together, that zone's calls
//! would all cross the links between regions. So each zone's engines change evenly over the whole
//! span, and the zones take turns. Every agent works out the same order without a message.

use std::collections;

use crate::{digest, spread::owners};

/// An instance whose engine changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat<'s> {
    /// Name of the instance.
    pub instance: &'s str,
    /// Its availability zone.
    pub zone: &'s str,
}

/// Place of an instance within the span, from 0 to 1. `others` are the other instances, as far as
/// they are known; where views differ, two engines may change at the same time.
pub fn share<'s>(own: Seat<'_>, others: impl Iterator<Item = Seat<'s>>, version: u64) -> f64 {
    let mut zones = collections::BTreeSet::from([own.zone]);
    let (mut earlier, mut in_zone) = (0, 1);
    let others: Vec<_> = others.filter(|other| other.instance != own.instance).collect();
    for other in &others {
        zones.insert(other.zone);
        if other.zone == own.zone {
            in_zone += 1;
            earlier += u32::from(rank(other, version) < rank(&own, version));
        }
    }
    let zone = zones.iter().take_while(|zone| **zone < own.zone).count();
    let offset = zone as f64 / zones.len() as f64;
    (f64::from(earlier) + offset) / f64::from(in_zone)
}

/// Another order for each version, so that the same engines are not always the last ones.
fn rank<'s>(seat: &Seat<'s>, version: u64) -> (u64, &'s str) {
    let key = owners::key_of(digest::Digest::of(seat.instance.as_bytes()).as_bytes());
    (owners::mix(key ^ owners::mix(version)), seat.instance)
}
