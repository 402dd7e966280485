//! Schedules when each engine switches to new weights.
//!
//! A switching engine is unavailable for about a second. If all engines switched as soon as they
//! can, no engine would be available for that second; if the engines of one zone switched together,
//! all calls of that zone would cross the links between regions. So the switches of each zone are
//! spread evenly over the whole span, and those of the zones are interleaved. All agents compute
//! the same order without messages.

use std::collections;

use crate::{digest, spread::owners};

/// Earliest switch after weights were named: about when the first instances have all chunks.
const SWITCH_BEGIN_MS: u64 = 3_200;

/// Time before the bound at which the last switch begins. Requests sent earlier get their first
/// event, from the older weights, within some hundred milliseconds.
const SWITCH_END_MARGIN_MS: u64 = 1_400;

/// Earliest switch after the weights that an engine serves were superseded, to whichever newer
/// weights are available by then.
const SUPERSEDED_SWITCH_BEGIN_MS: u64 = 5_600;

/// Time before the bound at which an engine that cannot switch in time stops serving. Requests that
/// it has by then begin within some hundred milliseconds.
pub const WITHDRAW_MARGIN_MS: u64 = 800;

/// The same behind a narrow link: requests to it stop earlier, and it learns late that weights were
/// named.
const WITHDRAW_NARROW_MARGIN_MS: u64 = 2_500;

/// Time for which an engine that serves is away when it switches: its requests end, then it loads.
const SWITCH_MS: u64 = 1_200;

/// The same of an engine that serves nothing and only loads.
const LOAD_MS: u64 = 300;

/// Times that determine when an engine should switch, on one clock of the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionTimes {
    /// When the weights that it would switch to were named.
    pub named_ms: Option<i64>,
    /// When the weights that it serves were superseded, by these or others.
    pub superseded_ms: Option<i64>,
    /// When all chunks of the weights that it would switch to were at hand.
    pub complete_ms: Option<i64>,
}

impl VersionTimes {
    /// Whether the engine should switch now. `position` is its position within the span, and
    /// `bound_ms` the time within which all engines switch.
    ///
    /// New weights that are superseded themselves keep the schedule of their own naming: if engines
    /// waited for the newest weights, all would switch at once within one remaining second.
    pub fn is_due(&self, position: f64, bound_ms: u64, now_ms: i64) -> bool {
        let is_past = |since_ms: Option<i64>, begin_ms: u64| {
            since_ms.is_none_or(|since_ms| {
                let begin_ms = since_ms + begin_ms as i64;
                // Those whose turn had passed before they could take it would all switch together.
                let begin_ms = self.complete_ms.map_or(begin_ms, |at_ms| at_ms.max(begin_ms));
                let end_ms = since_ms + bound_ms as i64 - SWITCH_END_MARGIN_MS as i64;
                let span_ms = (end_ms - begin_ms).max(0);
                now_ms >= begin_ms + (span_ms as f64 * position) as i64
            })
        };
        is_past(self.named_ms, SWITCH_BEGIN_MS)
            || is_past(self.superseded_ms, SUPERSEDED_SWITCH_BEGIN_MS)
    }

    /// Whether an engine that cannot switch in time must stop serving. Requests that were sent in
    /// time can reach it seconds late, and their senders cannot revoke them.
    pub fn must_withdraw(&self, narrow: bool, bound_ms: u64, now_ms: i64) -> bool {
        let margin_ms = if narrow { WITHDRAW_NARROW_MARGIN_MS } else { WITHDRAW_MARGIN_MS };
        let within_ms = bound_ms.saturating_sub(margin_ms) as i64;
        self.superseded_ms.is_some_and(|since_ms| now_ms >= since_ms + within_ms)
    }

    /// Whether the weights whose times these are can still be served for as long as the engine is
    /// away for them, if all chunks are at hand at `ready_ms`. `serves` tells whether the engine
    /// serves other weights until then.
    pub fn is_worth_loading(
        &self,
        serves: bool,
        narrow: bool,
        bound_ms: u64,
        ready_ms: i64,
    ) -> bool {
        let away_ms = if serves { SWITCH_MS } else { LOAD_MS } as i64;
        !self.must_withdraw(narrow, bound_ms, ready_ms + 2 * away_ms)
    }
}

/// An engine that switches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine<'s> {
    /// Name of the instance.
    pub instance: &'s str,
    /// Its availability zone.
    pub zone: &'s str,
}

/// Position of an engine within the span, from 0 to 1. `others` are the other known engines; while
/// the views of agents differ, two engines may switch at the same time.
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

/// Orders the engines differently for each version, so that no engine is always among the last.
fn rank<'s>(engine: &Engine<'s>, version: u64) -> (u64, &'s str) {
    let key = owners::key_of(digest::Digest::of(engine.instance.as_bytes()).as_bytes());
    (owners::mix(key ^ owners::mix(version)), engine.instance)
}
