//! Estimate of the requests that other entries have open at an upstream.
//!
//! An upstream reports its load with its answers, so reports are some hundred milliseconds old.
//! When an engine comes back after a change of weights, all entries see it idle, and each sends
//! what it could take alone. Reports come too late to prevent that. But all entries see the same
//! state and decide alike, so the requests this entry has open indicate those of the others.

/// Half-life of a report. What it loses in weight goes to the estimate from this entry's own
/// requests. It is about the time that a prefill takes.
const REPORT_HALF_LIFE_MS: f64 = 250.0;

/// Age beyond which a report is ignored.
const REPORT_MAX_AGE_MS: u64 = 2_000;

/// Numbers of requests at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// All open requests.
    pub open: f64,
    /// Open requests that have no first event yet.
    pub unstarted: f64,
}

/// The last report of other entries' requests at an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    reported: RequestCounts,
    at_ms: Option<u64>,
}

impl PeerLoad {
    /// Records the upstream's total load, of which `own` is this entry's.
    pub fn record_report(&mut self, all: RequestCounts, own: RequestCounts, now_ms: u64) {
        let open = (all.open - own.open).max(0.0);
        let unstarted = (all.unstarted - own.unstarted).clamp(0.0, open);
        self.reported = RequestCounts { open, unstarted };
        self.at_ms = Some(now_ms);
    }

    /// Whether there is a report that still counts.
    pub fn is_recent(&self, now_ms: u64) -> bool {
        self.at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= REPORT_MAX_AGE_MS)
    }

    /// Estimated requests of other entries. `similar_entries` is the number of entries that send to
    /// the upstream as this one does.
    pub fn estimate(&self, own: RequestCounts, similar_entries: f64, now_ms: u64) -> RequestCounts {
        let age_ms = self.at_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        let fresh = age_ms.filter(|age_ms| *age_ms <= REPORT_MAX_AGE_MS);
        let weight = fresh.map_or(0.0, |age_ms| 0.5_f64.powf(age_ms as f64 / REPORT_HALF_LIFE_MS));
        // Without similar entries an old report is the best estimate.
        let weight = if similar_entries <= 0.0 && fresh.is_some() { 1.0 } else { weight };
        let mixed =
            |reported: f64, own: f64| weight * reported + (1.0 - weight) * own * similar_entries;
        RequestCounts {
            open: mixed(self.reported.open, own.open),
            unstarted: mixed(self.reported.unstarted, own.unstarted),
        }
    }
}
