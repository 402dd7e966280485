//! The turn of each engine to change its weights.
//!
//! An engine that changes is away for about a second. Did all change as soon as they can, callers
//! would find nobody for that second; did the engines of one zone change together, that zone's calls
//! would all cross the links between regions. So each zone's engines change evenly over the whole
//! span, and the zones take turns. Every agent works out the same order without a message.

use std::collections;

use crate::{digest, spread::owners};

/// Earliest start of the changes after weights were named: about when the first instances have all
/// chunks.
const BEGIN_MS: u64 = 3_200;

/// The last change begins this long before the bound. What was sent before has its first event
/// within some hundred milliseconds, on the older weights.
const END_MARGIN_MS: u64 = 1_400;

/// Earliest start of the changes after what an engine serves was superseded, whatever weights are
/// at hand by then.
const OVERDUE_BEGIN_MS: u64 = 5_600;

/// Time before the bound at which an engine that cannot change in time stops to serve. Requests that
/// it has by then begin within some hundred milliseconds.
const WITHDRAW_MARGIN_MS: u64 = 800;

/// The same behind a narrow link, where requests are not sent for longer, and word of the naming
/// comes late.
const WITHDRAW_NARROW_MARGIN_MS: u64 = 2_500;

/// VersionTimes when an engine should change, on one clock of the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionTimes {
    /// When the weights were named that it would change to.
    pub named_ms: Option<i64>,
    /// When the weights that it serves were superseded, by these or others.
    pub superseded_ms: Option<i64>,
}

impl VersionTimes {
    /// Whether its turn has come. `position` is its place within the span, and `bound_ms` the time
    /// within which all engines change.
    ///
    /// Weights that were superseded themselves change in the turns of their own naming: if engines
    /// waited for the newest, one second would be left in which all change at once.
    pub fn is_due(&self, position: f64, bound_ms: u64, now_ms: i64) -> bool {
        let has_come = |since_ms: Option<i64>, begin_ms: u64| {
            let span_ms = bound_ms.saturating_sub(begin_ms + END_MARGIN_MS);
            let turn_ms = begin_ms as i64 + (span_ms as f64 * position) as i64;
            since_ms.is_none_or(|since_ms| now_ms >= since_ms + turn_ms)
        };
        has_come(self.named_ms, BEGIN_MS) || has_come(self.superseded_ms, OVERDUE_BEGIN_MS)
    }

    /// Whether an engine that cannot change in time must stop to serve. Requests that were sent in
    /// time can reach it seconds late, and whoever sent them cannot take them back.
    pub fn must_withdraw(&self, narrow: bool, bound_ms: u64, now_ms: i64) -> bool {
        let margin_ms = if narrow { WITHDRAW_NARROW_MARGIN_MS } else { WITHDRAW_MARGIN_MS };
        let within_ms = bound_ms.saturating_sub(margin_ms) as i64;
        self.superseded_ms.is_some_and(|since_ms| now_ms >= since_ms + within_ms)
    }
}

/// An instance whose engine changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine<'s> {
    /// Name of the instance.
    pub instance: &'s str,
    /// Its availability zone.
    pub zone: &'s str,
}

/// Place of an instance within the span, from 0 to 1. `others` are the other instances, as far as
/// they are known; where views differ, two engines may change at the same time.
pub fn position<'s>(
    own: Engine<'_>,
    others: impl Iterator<Item = Engine<'s>>,
    version: u64,
) -> f64 {
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
fn rank<'s>(seat: &Engine<'s>, version: u64) -> (u64, &'s str) {
    let key = owners::key_of(digest::Digest::of(seat.instance.as_bytes()).as_bytes());
    (owners::mix(key ^ owners::mix(version)), seat.instance)
}
