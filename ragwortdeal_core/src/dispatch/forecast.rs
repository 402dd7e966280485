//! How long a request would wait for its first event at an engine.
//!
//! An engine reads prompts between the tokens of others, and takes only so many requests at once. A
//! request that comes in late has lost most of its worth to its caller, and the time that the engine
//! spent on it is lost to others. So the wait is worked out before a request is sent, from what the
//! engine said last and from what was sent since. `docs/design/routing.md` has the figures.

use crate::document;

use super::choice::Candidate;

/// Part of a pass for which a request waits on average before an engine looks at it.
const PASS_WAITED: f64 = 0.5;

/// Part of the aim beyond which a request counts as late at an idle engine: any other request there
/// puts it off further.
const IDLE_SHARE: f64 = 0.75;

/// Part of the aim for which a request may wait however far forecasts are off. Large prompts take
/// much of the aim to be read, and would find an engine only where nobody waits.
const WAIT_SHARE_MIN: f64 = 0.4;

/// Part of the aim that no forecast may pass.
const AIM_SHARE_MAX: f64 = 0.95;

/// How far from the aim a forecast has to stay, in mean errors.
const MARGIN_ERRORS: f64 = 2.0;

/// Waiting that a late request may have beside what it has at an idle engine, in aims. Its answer is
/// worth little, but it is whole, and a caller does not wait for it for long.
const LATE_FACTOR: f64 = 3.0;

/// What a caller can still get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// An answer in time.
    InTime,
    /// A late answer: it was refused before, or an idle engine cannot read its prompt in time.
    Late,
    /// The rest of an answer that it has a part of, or that an engine lost.
    Resumed,
}

/// How the engines of a service work, as far as a forecast needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyModel {
    slots: f64,
    /// Token steps of one pass. A chunk may be read before each.
    steps_per_pass: u32,
    /// Milliseconds of the token steps of one pass.
    steps_ms: f64,
    /// Milliseconds for reading what fits between the steps of two passes.
    chunk_ms: f64,
    /// Milliseconds of an engine's time that a usual request takes.
    service_ms: f64,
    /// Milliseconds for reading a usual prompt.
    mean_prefill_ms: f64,
}

impl LatencyModel {
    /// Works it out from what the document says of a service's engines.
    pub fn new(engine: &document::Engine) -> Self {
        let slots = f64::from(engine.slots.max(1));
        let usual = engine.mean_request;
        let context = engine.step_per_context_ms * usual.prompt_tokens / 1_000.0;
        let step_ms = engine.step_ms + slots * (engine.step_per_request_ms + context);
        let mean_prefill_ms = prefill_ms(engine, usual.prompt_tokens);
        Self {
            slots,
            steps_per_pass: engine.steps_per_pass.max(1),
            steps_ms: f64::from(engine.steps_per_pass.max(1)) * step_ms,
            chunk_ms: prefill_ms(engine, f64::from(engine.prefill_chunk_tokens)),
            service_ms: mean_prefill_ms + usual.answer_tokens * step_ms / slots,
            mean_prefill_ms,
        }
    }

    /// Milliseconds that reading a usual prompt takes.
    pub fn mean_prefill_ms(&self) -> f64 {
        self.mean_prefill_ms
    }

    /// What a caller can get that comes for the first time.
    pub fn urgency(&self, objective_ms: u64, prefill_ms: f64) -> Urgency {
        let is_in_time = self.idle_ms(prefill_ms) <= objective_ms as f64 * IDLE_SHARE;
        if objective_ms == 0 || is_in_time { Urgency::InTime } else { Urgency::Late }
    }

    /// Longest wait for the first event with which a request is worth an engine's time.
    ///
    /// One that cannot be in time takes that time from others that can, so the operator's aim is the
    /// bound, less what forecasts are off by, `error_ms` in the mean. It is none for a request that
    /// is late in any case.
    pub fn first_event_max_ms(
        &self,
        objective_ms: u64,
        prefill_ms: f64,
        urgency: Urgency,
        error_ms: f64,
    ) -> f64 {
        if objective_ms == 0 {
            return f64::INFINITY;
        }
        let idle_ms = self.idle_ms(prefill_ms);
        match urgency {
            Urgency::InTime => {
                let objective_ms = objective_ms as f64;
                let least_ms = idle_ms + objective_ms * WAIT_SHARE_MIN;
                least_ms
                    .min(objective_ms * AIM_SHARE_MAX)
                    .max(objective_ms - error_ms * MARGIN_ERRORS)
            }
            Urgency::Late | Urgency::Resumed => idle_ms + objective_ms as f64 * LATE_FACTOR,
        }
    }

    /// Milliseconds until the first event at an engine that has nothing else to do.
    fn idle_ms(&self, prefill_ms: f64) -> f64 {
        self.first_event_ms(&Candidate::default(), prefill_ms)
    }

    /// Milliseconds until the next event of those that write, where an engine reads all its prompts
    /// and this one in between.
    pub fn pause_ms(&self, engine: &Candidate, prefill_ms: f64) -> f64 {
        let chunks_ms = f64::from(self.steps_per_pass) * self.chunk_ms;
        let unread_ms = engine.prefill_ms + engine.peer_prefill_ms + prefill_ms;
        self.steps_ms + unread_ms.min(chunks_ms)
    }

    /// Milliseconds until the first event of a request whose prompt takes so long to read.
    pub fn first_event_ms(&self, engine: &Candidate, prefill_ms: f64) -> f64 {
        let load = f64::from(engine.open) + engine.peer_open;
        let before_ms = engine.prefill_ms + engine.peer_prefill_ms;
        let before_slot_ms = (load + 1.0 - self.slots).max(0.0) * self.service_ms;
        let waits_ms = before_ms.max(before_slot_ms);
        // While others write, their steps come between the chunks of what is read. Those that wait
        // for a slot are read in the time that the slots take.
        let between_ms = if before_slot_ms > 0.0 { prefill_ms } else { before_ms + prefill_ms };
        let chunks = (between_ms / self.chunk_ms.max(1.0)).ceil();
        let steps_ms = if load >= 1.0 { self.steps_ms * chunks } else { 0.0 };
        let worked_out_ms = PASS_WAITED * self.steps_ms + waits_ms + prefill_ms + steps_ms;
        (worked_out_ms + engine.excess_delay_ms).max(0.0)
    }
}

/// Milliseconds that an engine takes to read a prompt: its tokens, and the pairs among them.
pub fn prefill_ms(engine: &document::Engine, prompt_tokens: f64) -> f64 {
    let pairs = prompt_tokens * prompt_tokens / 2.0;
    prompt_tokens * 1_000.0 / engine.prefill_tokens_per_s.max(1.0)
        + pairs / 1e6 * engine.prefill_pairs_ms
}

/// Weight of one answer in the mean error: about fifty answers make it.
const ERROR_WEIGHT: f64 = 0.02;

/// Error that is assumed before there are answers.
const ERROR_ASSUMED_MS: f64 = 80.0;

/// Largest error of one answer that counts.
const ERROR_MAX_MS: f64 = 1_000.0;

/// How far forecasts are off, either way.
#[derive(Clone, Copy, Debug)]
pub struct ForecastError {
    mean_ms: f64,
}

impl Default for ForecastError {
    fn default() -> Self {
        Self { mean_ms: ERROR_ASSUMED_MS }
    }
}

impl ForecastError {
    /// Takes an answer that was forecast for one time and took another.
    pub fn record(&mut self, forecast_ms: f64, took_ms: f64) {
        let error_ms = (took_ms - forecast_ms).abs().min(ERROR_MAX_MS);
        self.mean_ms += ERROR_WEIGHT * (error_ms - self.mean_ms);
    }

    /// The mean in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}

/// Weight of one answer in the mean excess: about five answers make it.
const EXCESS_WEIGHT: f64 = 0.2;

/// The same in the mean over all engines of a service.
const EXCESS_OF_MANY_WEIGHT: f64 = 0.02;

/// Largest excess. An answer that was lost on the way must not shut an engine out for long. The
/// smallest is none: were sooner answers counted, an engine that was never asked would look slower
/// than those that were, and never be asked.
const EXCESS_MAX_MS: f64 = 1_000.0;

/// Time in which an excess halves that no answer confirms. An engine that is passed over because of
/// it has no answers, and would never be asked again.
const EXCESS_HALVES_MS: f64 = 2_000.0;

/// How much later first events come from one engine than was worked out.
///
/// A slow engine, a narrow way to it and requests of others that nobody told of all show here, and
/// only here.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExcessDelay {
    mean_ms: f64,
    at_ms: u64,
}

impl ExcessDelay {
    /// Takes an answer that was forecast for one time, its excess included, and took another.
    pub fn record(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.weighted(EXCESS_WEIGHT, forecast_ms, took_ms, now_ms);
    }

    /// The same for one of many answers, which counts for less.
    pub fn record_pooled(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.weighted(EXCESS_OF_MANY_WEIGHT, forecast_ms, took_ms, now_ms);
    }

    fn weighted(&mut self, weight: f64, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        let before_ms = self.current_ms(now_ms);
        let error_ms = (took_ms - forecast_ms).clamp(-EXCESS_MAX_MS, EXCESS_MAX_MS);
        let mean_ms = before_ms + weight * error_ms;
        self.mean_ms = mean_ms.clamp(0.0, EXCESS_MAX_MS);
        self.at_ms = now_ms;
    }

    /// The mean excess in milliseconds.
    pub fn current_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.mean_ms * 0.5_f64.powf(age_ms / EXCESS_HALVES_MS)
    }
}
