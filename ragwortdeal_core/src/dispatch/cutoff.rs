//! Until when requests go to an engine whose weights were superseded.
//!
//! A request must have its first event on such weights before their time is up. It still has to get
//! to the engine, and a link may have turned narrow without anybody knowing; what is on its way there
//! cannot be taken back. So the less is known of the way, the sooner nothing more is sent.

/// What an entry knows of the way to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathKnowledge {
    /// It answered slowly of late, or its agent finds the link narrow.
    pub slow: bool,
    /// It answered in good time just now.
    pub responsive: bool,
    /// Its agent holds the newer weights: their chunks came over the same link in time, and the
    /// engine changes in its turn.
    pub has_newer_weights: bool,
}

/// Where nothing is known of the way. Most requests have their first event within some hundred
/// milliseconds, and links that had turned narrow took 1.3 to 1.5 s more.
const UNKNOWN_MS: u64 = 2_500;

/// Behind a narrow link requests were seen to arrive two seconds after they were sent.
const SLOW_MS: u64 = 4_000;

/// A link that was free a second ago fills for less than a second until it is noticed.
const PROMPT_MS: u64 = 1_700;

/// The agent's chunks show the link to be free, and bound what may still fill it.
const HOLDS_NEWER_MS: u64 = 1_200;

/// Milliseconds before the time is up after which no request is sent to superseded weights.
pub fn margin_ms(way: PathKnowledge) -> u64 {
    match way {
        PathKnowledge { slow: true, .. } => SLOW_MS,
        PathKnowledge { has_newer_weights: true, .. } => HOLDS_NEWER_MS,
        PathKnowledge { responsive: true, .. } => PROMPT_MS,
        PathKnowledge { .. } => UNKNOWN_MS,
    }
}
