//! Which requests upstreams have answered whole of late.

use std::collections;

use crate::dispatch::prompt;

/// Length of one of the two windows in which answers are remembered.
const WINDOW_MS: u64 = 30_000;

/// Requests remembered in a window at most. What many callers ask for is among the first of them.
const REQUESTS_MAX: usize = 20_000;

/// Requests that were answered in the present window and the one before it.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    present: collections::HashSet<prompt::PartId>,
    previous: collections::HashSet<prompt::PartId>,
    present_since_ms: u64,
}

impl Answered {
    /// Records a whole answer.
    pub fn record(&mut self, request: prompt::PartId, now_ms: u64) {
        if now_ms >= self.present_since_ms + WINDOW_MS {
            self.previous = std::mem::take(&mut self.present);
            self.present_since_ms = now_ms;
        }
        if self.present.len() < REQUESTS_MAX {
            self.present.insert(request);
        }
    }

    /// Whether a request has been answered of late.
    pub fn contains(&self, request: prompt::PartId) -> bool {
        self.present.contains(&request) || self.previous.contains(&request)
    }
}
