//! How an upstream comes to count as cold, and ceases to.

use super::{Change, FlowControl, cold, share};

/// What shows that an upstream is cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Its announcement tells for how long it stays cold.
    Announced {
        /// The time in milliseconds, 0 if it is warm.
        remaining_ms: u64,
    },
    /// It has started, and its announcement does not say that it is cold.
    Started,
    /// It cannot be reached.
    Unreachable,
    /// A request or a probe has reached it that was sent at this time.
    Reached {
        /// The time in milliseconds of the entry's clock.
        sent_at_ms: u64,
    },
    /// The evacuation of its availability zone has ended.
    EvacuationEnded,
}

impl FlowControl {
    /// Records what shows that the upstream is cold or warm. Returns the change by it. `place` is
    /// this entry's among those that use the upstream.
    pub fn record_cold(
        &mut self,
        evidence: Evidence,
        bound: cold::Bound,
        place: share::Place,
        now_ms: u64,
    ) -> Option<Change> {
        let before = self.cold_at(now_ms);
        let begun =
            |reason| before.unwrap_or_else(|| cold::Cold::new(bound, reason, place, now_ms));
        self.cold = match evidence {
            Evidence::Announced { remaining_ms: 0 } => None,
            Evidence::Announced { remaining_ms } => {
                let mut cold = begun(cold::Reason::Announced);
                cold.record_announced(remaining_ms, now_ms);
                Some(cold)
            }
            Evidence::Started => {
                Some(assumed(begun(cold::Reason::Started), cold::Reason::Started, now_ms))
            }
            Evidence::EvacuationEnded => {
                let reason = cold::Reason::EvacuationEnded;
                Some(assumed(begun(reason), reason, now_ms))
            }
            Evidence::Unreachable => {
                let mut cold = begun(cold::Reason::Unreachable);
                cold.record_unreachable(now_ms);
                Some(cold)
            }
            Evidence::Reached { sent_at_ms } => before.map(|mut cold| {
                cold.record_reached(sent_at_ms, now_ms);
                cold
            }),
        };
        self.change_of(before, now_ms)
    }

    /// Takes what the document tells of cold upstreams of the service, none where it sets no bound.
    pub fn set_cold_bound(&mut self, bound: Option<cold::Bound>, now_ms: u64) -> Option<Change> {
        let before = self.cold_at(now_ms);
        self.cold = before.zip(bound).map(|(mut cold, bound)| {
            cold.set_bound(bound, now_ms);
            cold
        });
        self.change_of(before, now_ms)
    }

    /// Ends the state of a cold upstream whose time is over.
    pub fn end_cold(&mut self, now_ms: u64) -> Option<Change> {
        let ended = self.cold.take_if(|cold| !cold.is_lasting(now_ms))?;
        Some(Change::ColdEnded { reason: ended.reason() })
    }

    /// Whether the upstream counts as cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        self.cold_at(now_ms).is_some()
    }

    /// Whether a fresh announcement of the upstream is wanted, because it may be warm.
    pub fn wants_announcement(&self, now_ms: u64) -> bool {
        self.cold_at(now_ms).is_some_and(|cold| cold.wants_announcement())
    }

    pub(super) fn cold_at(&self, now_ms: u64) -> Option<cold::Cold> {
        self.cold.filter(|cold| cold.is_lasting(now_ms))
    }

    fn change_of(&self, before: Option<cold::Cold>, now_ms: u64) -> Option<Change> {
        match (before, self.cold) {
            (Some(ended), None) => Some(Change::ColdEnded { reason: ended.reason() }),
            (None, Some(cold)) => Some(Change::ColdBegan {
                remaining_ms: cold.remaining_ms(now_ms),
                reason: cold.reason(),
            }),
            _ => None,
        }
    }
}

fn assumed(mut cold: cold::Cold, reason: cold::Reason, now_ms: u64) -> cold::Cold {
    cold.record_assumed(reason, now_ms);
    cold
}
