//! Bound on the queue of a service that is asked for more than it can do.
//!
//! In a burst, requests may wait for as long as their callers do: when it is over, all are served.
//! A queue that does not empty serves nobody more. It only makes every caller wait, and lets those
//! with the least work in, as they still fit where others do not. So a queue that has outlasted the
//! time of an answer is bounded by what keeps the engines busy, which is the same for all requests.

use super::choice::{self, Candidate};

/// How long the engines of a service have had no free slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandingQueue {
    free_at_ms: u64,
}

impl StandingQueue {
    /// Records the load of all engines. Single ones are full now and then while others are free.
    pub fn observe(&mut self, engines: &[Candidate], now_ms: u64) {
        let open: f64 = engines.iter().map(choice::load).sum();
        let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
        if open < slots {
            self.free_at_ms = now_ms;
        }
    }

    /// Largest number of requests that may wait at an engine with so many slots, where each slot
    /// becomes free once in `turnover_ms`.
    ///
    /// The number of slots that become free in that time varies by its square root, so as many
    /// waiting requests keep the slots busy.
    pub fn waiting_max(&self, slots: f64, turnover_ms: f64, now_ms: u64) -> f64 {
        let standing_ms = now_ms.saturating_sub(self.free_at_ms) as f64;
        if standing_ms > turnover_ms { slots.sqrt() } else { f64::INFINITY }
    }
}
