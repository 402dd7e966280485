//! The bounds that keep a request from an engine.
//!
//! Several of them may be exceeded at once, so a refusal tells for each one at how many engines it
//! was. `docs/operators/overload.md` tells how to read that.

use super::{
    choice::{self, Candidate},
    forecast,
};

/// Bounds that a request would exceed at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exceeded {
    /// More requests would wait than may where the queue stands.
    pub queue: bool,
    /// Other streams would pause for longer than is promised, at an engine that works as
    /// documented, and not by this prompt alone.
    pub pause: bool,
    /// The first event would come too late.
    pub first_event: bool,
    /// The answer would not be whole in time.
    pub answer: bool,
    /// The request would start after the engine's weights are superseded for too long.
    pub superseded: bool,
}

impl Exceeded {
    /// The bounds that a request would exceed at an engine.
    pub fn at(
        engine: &Candidate,
        latency_model: &forecast::LatencyModel,
        prompt: &choice::Prompt,
    ) -> Self {
        let first_ms = latency_model.first_event_ms(engine, prompt.prefill_ms);
        let rest_ms = latency_model.least_rest_ms(engine, &prompt.answer);
        let margin_ms = forecast::LatencyModel::margin_ms(engine, prompt);
        let is_idle = choice::load(engine) < 1.0;
        let waiting = choice::load(engine) + 1.0 - f64::from(engine.slots);
        let pause_ms = latency_model.least_pause_ms(engine, prompt.prefill_ms);
        let latest_ms = first_ms + prompt.error_ms;
        Self {
            queue: !is_idle && waiting > prompt.waiting_max,
            pause: !is_idle && engine.has_unread() && pause_ms > prompt.pause_max_ms,
            first_event: first_ms + margin_ms > prompt.time.first_event_ms,
            answer: first_ms + margin_ms + rest_ms > prompt.time.answer_ms,
            superseded: engine.start_within_ms.is_some_and(|within_ms| latest_ms > within_ms),
        }
    }

    /// Whether any bound would be exceeded.
    pub fn any(&self) -> bool {
        self.queue || self.pause || self.first_event || self.answer || self.superseded
    }
}

/// Why no engine takes a request: the number of engines at which each bound would be exceeded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Refused {
    /// All engines that were asked.
    pub engines: u32,
    /// Those of them that have a free slot.
    pub with_slot: u32,
    /// Those at which the bound on standing queues would be exceeded.
    pub by_queue: u32,
    /// Those at which other streams would pause for too long.
    pub by_pause: u32,
    /// Those at which the first event would be late.
    pub by_first_event: u32,
    /// Those at which the answer would be late.
    pub by_answer: u32,
    /// Those whose weights are superseded.
    pub by_superseded: u32,
    /// How much longer than documented the engines' work takes on average.
    pub mean_pace: f64,
    /// Mean error of forecasts in milliseconds.
    pub error_ms: f64,
}

impl Refused {
    /// Counts one more engine.
    pub fn count(&mut self, engine: &Candidate, exceeded: Exceeded) {
        self.engines += 1;
        self.with_slot += u32::from(choice::has_slot(engine));
        self.by_queue += u32::from(exceeded.queue);
        self.by_pause += u32::from(exceeded.pause);
        self.by_first_event += u32::from(exceeded.first_event);
        self.by_answer += u32::from(exceeded.answer);
        self.by_superseded += u32::from(exceeded.superseded);
    }
}
