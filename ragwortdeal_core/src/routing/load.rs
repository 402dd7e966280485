//! Load of an upstream: calls in flight from this entry, and delayed reports.

/// Load reported by an upstream. It covers the calls of all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Calls running at the upstream.
    pub running: u32,
    /// Calls waiting at the upstream.
    pub waiting: u32,
    /// Those of both that came through the entry that receives the report, counted by the agent
    /// next to the upstream. If the entry subtracted its current calls from an old total, an
    /// upstream would look the emptier the more calls this entry sent there since.
    pub from_here: u32,
    /// When the report was taken, on this entry's clock in milliseconds.
    pub taken_at_ms: u64,
}

/// Load of one upstream as seen from one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that this entry has in flight there.
    pub in_flight_here: u32,
    others: u32,
    taken_at_ms: Option<u64>,
}

impl Load {
    pub(super) fn apply(&mut self, report: Report) {
        if self.taken_at_ms.is_some_and(|taken_at_ms| taken_at_ms >= report.taken_at_ms) {
            return;
        }
        let total = report.running.saturating_add(report.waiting);
        self.others = total.saturating_sub(report.from_here);
        self.taken_at_ms = Some(report.taken_at_ms);
    }

    /// Calls of other entries according to the last report.
    pub fn reported_others(&self) -> u32 {
        self.others
    }

    /// Estimated current number of calls.
    ///
    /// The older a report, the more it is replaced by the pool's mean. If it decayed to nothing, an
    /// upstream whose reports stopped would look idle and attract all calls. If it never decayed,
    /// all entries would follow the one that looked idle seconds ago.
    pub fn estimate(&self, mean_others: f64, half_life_ms: u64, now_ms: u64) -> f64 {
        let own = f64::from(self.in_flight_here);
        let Some(taken_at_ms) = self.taken_at_ms else { return own + mean_others };
        let age_ms = now_ms.saturating_sub(taken_at_ms) as f64;
        let half_life_ms = half_life_ms.max(1) as f64;
        let trust = (-age_ms / half_life_ms).exp2();
        own + trust * f64::from(self.others) + (1.0 - trust) * mean_others
    }
}
