//! Cutoff for sending requests to an engine whose weights were superseded.
//!
//! A request must have its first event on such weights before their deadline, and it must reach the
//! engine first. A link may have become congested without anybody knowing, and requests in transit
//! cannot be recalled. So the less is known about the path, the earlier sending stops.

use crate::orders::switch_schedule;

/// What an entry knows of the path to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathKnowledge {
    /// The engine answered slowly of late, or its agent measured a congested link.
    pub slow: bool,
    /// The engine has just answered promptly.
    pub responsive: bool,
    /// The agent has the newer weights: their chunks arrived over the same link in time, and the
    /// engine will switch in its turn.
    pub has_newer_weights: bool,
    /// The agent beside the engine answered a probe in time just now. It withdraws the engine in
    /// time, whatever is then still on its way there.
    pub confirmed: bool,
}

/// Margin for an unknown path. Most first events come within some hundred milliseconds; congested
/// links added 1.3 to 1.5 s.
const UNKNOWN_MS: u64 = 2_500;

/// Margin for a slow path. Over congested links requests arrived up to two seconds late.
const SLOW_MS: u64 = 4_000;

/// Margin for a responsive path. Congestion of a link that was clear a second ago is detected
/// within a second.
const RESPONSIVE_MS: u64 = 1_700;

/// Margin where the newer weights arrived. The chunks show that the link is clear and bound the
/// data still queued on it.
const HAS_NEWER_WEIGHTS_MS: u64 = 1_200;

/// Margin where the agent is known to be reached: the one with which it withdraws the engine, and
/// the time in which it decides that.
const CONFIRMED_MS: u64 = switch_schedule::WITHDRAW_MARGIN_MS + 100;

/// Margin in milliseconds before the deadline of superseded weights, from which on no request is
/// sent to them.
pub fn margin_ms(path: PathKnowledge) -> u64 {
    match path {
        PathKnowledge { slow: true, .. } => SLOW_MS,
        PathKnowledge { confirmed: true, .. } => CONFIRMED_MS,
        PathKnowledge { has_newer_weights: true, .. } => HAS_NEWER_WEIGHTS_MS,
        PathKnowledge { responsive: true, .. } => RESPONSIVE_MS,
        PathKnowledge { .. } => UNKNOWN_MS,
    }
}
