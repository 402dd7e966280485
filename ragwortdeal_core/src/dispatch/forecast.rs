//! Forecast of the time to the first event of a request at an engine.
//!
//! An engine interleaves prefill with the decoding of other requests and limits how many it
//! processes at once. An answer that comes after its caller left takes the engine's time from
//! others. So the wait is estimated before a request is sent, from the engine's last load report
//! and the requests sent since. `docs/design/routing.md` has the measurements.

use crate::document;

use super::{
    answer_length,
    choice::{self, Candidate},
    pace, size, standing_queue,
};

/// Mean wait of a request until the engine starts its next pass, in passes.
const PASSES_WAITED: f64 = 0.5;

/// Margin between a forecast and the time of a caller, in mean forecast errors.
const MARGIN_ERRORS: f64 = 2.0;

/// Latency model of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyModel {
    slots: f64,
    /// Token steps of one pass. One chunk of prompts may be read before each.
    steps_per_pass: u32,
    /// Duration of a pass's token steps, in milliseconds.
    steps_ms: f64,
    /// Prefill time of a full chunk, in milliseconds.
    chunk_ms: f64,
    /// Engine time of a mean request, in milliseconds.
    service_ms: f64,
    /// Prefill time of a mean prompt, in milliseconds.
    mean_prefill_ms: f64,
    /// Tokens of a mean answer.
    mean_answer_tokens: f64,
    /// By how much each running request lengthens a step, in milliseconds.
    step_per_request_ms: f64,
    /// Mean pace of the engines.
    mean_pace: f64,
}

impl LatencyModel {
    /// Derives the model from the engine parameters of a document.
    pub fn new(engine: &document::Engine) -> Self {
        let slots = f64::from(engine.slots.max(1));
        let mean = engine.mean_request;
        let context = engine.step_per_context_ms * mean.prompt_tokens / 1_000.0;
        let step_ms = engine.step_ms + slots * (engine.step_per_request_ms + context);
        let mean_prefill_ms = prefill_ms(engine, mean.prompt_tokens);
        Self {
            slots,
            steps_per_pass: engine.steps_per_pass.max(1),
            steps_ms: f64::from(engine.steps_per_pass.max(1)) * step_ms,
            chunk_ms: prefill_ms(engine, f64::from(engine.prefill_chunk_tokens)),
            service_ms: mean_prefill_ms + mean.answer_tokens * step_ms / slots,
            mean_prefill_ms,
            mean_answer_tokens: mean.answer_tokens,
            step_per_request_ms: engine.step_per_request_ms + context,
            mean_pace: 1.0,
        }
    }

    /// The model of engines with this mean pace.
    pub fn with_mean_pace(self, mean_pace: f64) -> Self {
        Self { mean_pace, ..self }
    }

    /// Prefill time of a mean prompt, in milliseconds.
    pub fn mean_prefill_ms(&self) -> f64 {
        self.mean_prefill_ms
    }

    /// Tokens of a mean answer.
    pub fn mean_answer_tokens(&self) -> f64 {
        self.mean_answer_tokens
    }

    /// Most requests that may wait at an engine where the queue stands.
    pub fn waiting_max(&self, queue: &standing_queue::StandingQueue, now_ms: u64) -> f64 {
        queue.waiting_max(self.slots, self.turnover_ms(), now_ms)
    }

    /// Engine time of a mean answer after a prompt with this prefill time, in milliseconds.
    pub fn engine_ms(&self, prefill_ms: f64) -> f64 {
        self.service_ms - self.mean_prefill_ms + prefill_ms
    }

    /// Time in which every slot of a busy engine becomes free once, in milliseconds: that of a mean
    /// answer there.
    pub fn turnover_ms(&self) -> f64 {
        self.slots * self.service_ms * self.mean_pace
    }

    /// Time until an engine has done the work ahead of a request with this prefill time, in
    /// milliseconds.
    pub fn work_ahead_ms(&self, engine: &Candidate, prefill_ms: f64) -> f64 {
        let running = choice::load(engine).min(self.slots - 1.0);
        let without = Candidate {
            open: 0,
            peer_open: running,
            prefill_ms: 0.0,
            peer_prefill_ms: 0.0,
            excess_delay_ms: 0.0,
            ..*engine
        };
        let first_ms = self.first_event_ms(engine, prefill_ms);
        (first_ms - self.first_event_ms(&without, prefill_ms)).max(0.0)
    }

    /// Time from the first event of an answer to its last one, in milliseconds.
    ///
    /// The fuller the engine, the more prompts of other requests it reads in between.
    pub fn rest_ms(&self, engine: &Candidate, answer_tokens: f64) -> f64 {
        let step_ms = self.steps_ms / f64::from(self.steps_per_pass);
        let decode_ms = (self.service_ms - self.mean_prefill_ms).max(f64::MIN_POSITIVE);
        let fullness = (choice::load(engine) / self.slots).min(1.0);
        let interleaved = self.mean_prefill_ms / decode_ms * fullness;
        engine.pace.duration_ms(answer_tokens * step_ms * (1.0 + interleaved))
    }

    /// Time that must be left for the rest of an answer when its first event comes, in
    /// milliseconds.
    ///
    /// A request that waits for a slot must leave time for the longest answer that its caller
    /// allows, or long answers would be the ones that are cut. Where a slot is free, a refusal
    /// serves nobody sooner, and most answers are much shorter. At an idle engine the reported pace
    /// does not count either: while it keeps all requests away, no answer shows that it is wrong.
    pub fn least_rest_ms(&self, engine: &Candidate, answer: &answer_length::Tokens) -> f64 {
        if choice::load(engine) < 1.0 {
            let usual = Candidate { pace: pace::Expected::default(), ..*engine };
            return self.rest_ms(&usual, answer.expected);
        }
        let tokens = if choice::has_slot(engine) { answer.expected } else { answer.longest };
        self.rest_ms(engine, tokens)
    }

    /// By how much the steps of an answer are longer beside this load, in milliseconds.
    pub fn shared_steps_ms(&self, load: f64, answer_tokens: f64) -> f64 {
        load * self.step_per_request_ms * answer_tokens
    }

    /// Time that is left beside a forecast, as it may be wrong, in milliseconds.
    ///
    /// It does not exclude idle engines: nothing would be served sooner, and no answer would show
    /// that the forecasts are better again.
    pub fn margin_ms(engine: &Candidate, prompt: &choice::Prompt) -> f64 {
        match choice::load(engine) < 1.0 {
            true => 0.0,
            false => prompt.error_ms * MARGIN_ERRORS,
        }
    }

    /// Size of a request with this prefill time.
    pub fn size(&self, prefill_ms: f64) -> size::Size {
        size::Size::new(prefill_ms, self.mean_prefill_ms)
    }

    /// Largest delay beyond the forecast with which an idle engine is still of use to the caller.
    pub fn excess_delay_max_ms(&self, prompt: &choice::Prompt) -> f64 {
        let rest_ms = self.rest_ms(&Candidate::default(), prompt.answer.expected);
        let within_ms = prompt.time.for_first_event_ms(rest_ms);
        (within_ms - self.idle_ms(prompt.prefill_ms)).max(0.0)
    }

    /// Time to the first event at an idle engine of the usual pace, in milliseconds. It includes
    /// that the pace may change until then, as forecasts do: otherwise large prompts would be the
    /// first to exceed the bound.
    fn idle_ms(&self, prefill_ms: f64) -> f64 {
        let pace = pace::Expected::usual_now(self.mean_pace);
        self.first_event_ms(&Candidate { pace, ..Candidate::default() }, prefill_ms)
    }

    /// Time to the next event of the streams at an engine that reads all its queued prompts and
    /// this one in between, in milliseconds at its present pace.
    pub fn pause_ms(&self, engine: &Candidate, prefill_ms: f64) -> f64 {
        let chunks_ms = f64::from(self.steps_per_pass) * self.chunk_ms;
        let unread_ms = engine.prefill_ms + engine.peer_prefill_ms + prefill_ms;
        engine.pace.duration_ms(self.steps_ms + unread_ms.min(chunks_ms))
    }

    /// The same at the usual pace, if that is shorter.
    ///
    /// Streams at a slow engine pause for longer whoever is refused there: the prompts that fit
    /// into the promise by the document may still be read.
    pub fn least_pause_ms(&self, engine: &Candidate, prefill_ms: f64) -> f64 {
        let usual = Candidate { pace: pace::Expected::default(), ..*engine };
        self.pause_ms(engine, prefill_ms).min(self.pause_ms(&usual, prefill_ms))
    }

    /// Time to the first event of a request with this prefill time, in milliseconds.
    ///
    /// All the engine's work until then scales with its pace. The excess delay does not: it is
    /// measured beyond forecasts that include the pace.
    pub fn first_event_ms(&self, engine: &Candidate, prefill_ms: f64) -> f64 {
        let load = f64::from(engine.open) + engine.peer_open;
        let queued_ms = engine.prefill_ms + engine.peer_prefill_ms;
        let slot_wait_ms = (load + 1.0 - self.slots).max(0.0) * self.service_ms;
        let wait_ms = queued_ms.max(slot_wait_ms);
        // Token steps of other requests run between the chunks of a prefill. For requests that wait
        // for a slot, the prefill of those ahead falls within the time of the slots.
        let interleaved_ms = if slot_wait_ms > 0.0 { prefill_ms } else { queued_ms + prefill_ms };
        let chunks = (interleaved_ms / self.chunk_ms.max(1.0)).ceil();
        let steps_ms = if load >= 1.0 { self.steps_ms * chunks } else { 0.0 };
        let work_ms = PASSES_WAITED * self.steps_ms + wait_ms + prefill_ms + steps_ms;
        (engine.pace.duration_ms(work_ms) + engine.excess_delay_ms).max(0.0)
    }
}

/// Prefill time of a prompt in milliseconds. It grows with the tokens and with the pairs among
/// them.
pub fn prefill_ms(engine: &document::Engine, prompt_tokens: f64) -> f64 {
    let pairs = prompt_tokens * prompt_tokens / 2.0;
    prompt_tokens * 1_000.0 / engine.prefill_tokens_per_s.max(1.0)
        + pairs / 1e6 * engine.prefill_pairs_ms
}

/// Weight of one answer in the mean error, which averages about fifty answers.
const ERROR_WEIGHT: f64 = 0.02;

/// Mean error before there are any answers.
const ERROR_ASSUMED_MS: f64 = 80.0;

/// Largest error that one answer counts for.
const ERROR_MAX_MS: f64 = 1_000.0;

/// Mean absolute error of the forecasts.
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
    /// Records the forecast and the measured time to a first event.
    pub fn record(&mut self, forecast_ms: f64, took_ms: f64) {
        let error_ms = (took_ms - forecast_ms).abs().min(ERROR_MAX_MS);
        self.mean_ms += ERROR_WEIGHT * (error_ms - self.mean_ms);
    }

    /// The mean in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}

/// Weight of one answer in the mean delay of one engine, which averages about five answers.
const EXCESS_WEIGHT: f64 = 0.2;

/// Weight of one answer in the mean delay of all engines of a service.
const EXCESS_POOLED_WEIGHT: f64 = 0.02;

/// Largest excess delay, so that one lost answer does not exclude an engine for long. The smallest
/// is 0: if early answers counted, an engine without any would look slower than the others and
/// never be used.
const EXCESS_MAX_MS: f64 = 1_000.0;

/// Half-life of the excess delay. An engine that is avoided because of it has no answers that could
/// correct it.
const EXCESS_HALF_LIFE_MS: f64 = 2_000.0;

/// Mean delay of first events beyond their forecast.
///
/// Slow engines, congested links and unreported requests of other entries show up here, and only
/// here.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExcessDelay {
    mean_ms: f64,
    at_ms: u64,
}

impl ExcessDelay {
    /// Records the measured time to a first event and its forecast, which included the excess
    /// delay.
    pub fn record(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.record_weighted(EXCESS_WEIGHT, forecast_ms, took_ms, now_ms);
    }

    /// Records one answer in a mean over many engines, with a smaller weight.
    pub fn record_pooled(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.record_weighted(EXCESS_POOLED_WEIGHT, forecast_ms, took_ms, now_ms);
    }

    fn record_weighted(&mut self, weight: f64, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        let previous_ms = self.current_ms(now_ms);
        let error_ms = (took_ms - forecast_ms).clamp(-EXCESS_MAX_MS, EXCESS_MAX_MS);
        let mean_ms = previous_ms + weight * error_ms;
        self.mean_ms = mean_ms.clamp(0.0, EXCESS_MAX_MS);
        self.at_ms = now_ms;
    }

    /// The mean excess delay in milliseconds.
    pub fn current_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.mean_ms * 0.5_f64.powf(age_ms / EXCESS_HALF_LIFE_MS)
    }
}
