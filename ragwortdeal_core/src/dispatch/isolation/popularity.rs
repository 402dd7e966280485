//! How common parts of prompts are among the requests of one entry.

use std::collections;

use crate::dispatch::prompt;

/// Length of one of the two windows in which requests are counted.
const WINDOW_MS: u64 = 15_000;

/// Parts counted in a window at most. Further ones count as not seen in it.
const PARTS_MAX: usize = 20_000;

/// Requests with a part, and all requests in the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Share {
    /// Requests with the part.
    pub requests: u32,
    /// All requests.
    pub all: u32,
}

impl Share {
    /// The sum with what another entry counted.
    pub fn plus(self, other: Self) -> Self {
        Self { requests: self.requests + other.requests, all: self.all + other.all }
    }

    /// The fraction that is to be expected of later requests, for small counts too.
    pub fn fraction(self) -> f64 {
        (f64::from(self.requests) + 1.0) / (f64::from(self.all) + 2.0)
    }
}

#[derive(Clone, Debug, Default)]
struct Window {
    parts: collections::HashMap<prompt::PartId, u32>,
    all: u32,
}

/// Counts requests and their parts in the present window and the one before it.
#[derive(Clone, Debug, Default)]
pub struct Popularity {
    present: Window,
    previous: Window,
    present_since_ms: u64,
}

impl Popularity {
    /// Counts a request when it comes.
    pub fn record_request(&mut self, parts: &[prompt::Part], now_ms: u64) {
        if now_ms >= self.present_since_ms + WINDOW_MS {
            self.previous = std::mem::take(&mut self.present);
            self.present_since_ms = now_ms;
        }
        self.present.all += 1;
        for part in parts {
            let is_full = self.present.parts.len() >= PARTS_MAX;
            if !is_full || self.present.parts.contains_key(&part.id) {
                *self.present.parts.entry(part.id).or_default() += 1;
            }
        }
    }

    /// How common a part is.
    pub fn share(&self, part: prompt::PartId) -> Share {
        let count = |window: &Window| window.parts.get(&part).copied().unwrap_or(0);
        Share {
            requests: count(&self.present) + count(&self.previous),
            all: self.present.all + self.previous.all,
        }
    }
}
