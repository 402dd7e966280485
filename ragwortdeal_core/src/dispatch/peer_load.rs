//! What other entries have open at an upstream, as one entry takes it to be.
//!
//! An upstream tells its load with its answers, so its word is some hundred milliseconds old. When
//! an engine comes back after a change of weights, all entries see it idle, and each sends what the
//! engine could take alone. Nobody hears of the others in time, but they see the same and decide
//! alike: what this entry has open itself tells what they have.

/// Age at which the word of an upstream counts for half, and what this entry does for the other
/// half. About as long as a prompt takes to be read.
const WORD_HALVES_MS: f64 = 250.0;

/// Age beyond which the word of an upstream says nothing.
const WORD_MAX_MS: u64 = 2_000;

/// Requests at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// All.
    pub open: f64,
    /// Those that have no first event yet.
    pub unstarted: f64,
}

/// What an upstream said of the requests of others.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    said: RequestCounts,
    at_ms: Option<u64>,
}

impl PeerLoad {
    /// Takes what an upstream has in all, of which `own` are this entry's.
    pub fn record_report(&mut self, all: RequestCounts, own: RequestCounts, now_ms: u64) {
        let open = (all.open - own.open).max(0.0);
        let unstarted = (all.unstarted - own.unstarted).clamp(0.0, open);
        self.said = RequestCounts { open, unstarted };
        self.at_ms = Some(now_ms);
    }

    /// Whether the upstream has said anything of late.
    pub fn is_recent(&self, now_ms: u64) -> bool {
        self.at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= WORD_MAX_MS)
    }

    /// Requests of others now. `alike` is how many entries send to the upstream as this one does.
    pub fn estimate(&self, own: RequestCounts, alike: f64, now_ms: u64) -> RequestCounts {
        let age_ms = self.at_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        let fresh = age_ms.filter(|age_ms| *age_ms <= WORD_MAX_MS);
        let weight = fresh.map_or(0.0, |age_ms| 0.5_f64.powf(age_ms as f64 / WORD_HALVES_MS));
        // Where nobody sends alike there is nothing better than an old word.
        let weight = if alike <= 0.0 && fresh.is_some() { 1.0 } else { weight };
        let mixed = |said: f64, own: f64| weight * said + (1.0 - weight) * own * alike;
        RequestCounts {
            open: mixed(self.said.open, own.open),
            unstarted: mixed(self.said.unstarted, own.unstarted),
        }
    }
}
