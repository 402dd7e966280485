//! Admission control for the engines of one service.
//!
//! `docs/design/overload.md` compares the rules.

use super::{
    choice::{self, Candidate},
    forecast::{self, Urgency},
    pressure,
};

/// Largest fraction of the pause objective that the prefill of other prompts may take.
const PAUSE_FRACTION: f64 = 0.9;

/// Largest excess delay that counts, as a fraction of the objective. It is less than a request may
/// wait anywhere, so that idle engines stay available. Delays caused by an outage say little about
/// engines that are back, and while an excess excludes all requests no answer corrects it.
const EXCESS_FRACTION_MAX: f64 = 0.35;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Latency model of the engines.
    pub latency_model: forecast::LatencyModel,
    /// Objective for the first event in milliseconds, 0 if there is none.
    pub objective_ms: u64,
    /// Objective for the pause between two events in milliseconds, 0 if there is none.
    pub gap_objective_ms: u64,
    /// Prefill time of the prompt in milliseconds.
    pub prefill_ms: f64,
    /// Urgency of the request.
    pub urgency: Urgency,
}

/// The engine selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the engine.
    pub engine: usize,
    /// Forecast time to the first event in milliseconds.
    pub forecast_ms: f64,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No engine would send the first event in time, or has a free slot for a late request.
    Full,
    /// The request is late, and requests that could be in time are being rejected.
    LateWorkShed,
}

/// Admission control of one service at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    pressure: pressure::Pressure,
    /// Excess delay over all engines. With many entries each gets few answers from any one engine,
    /// and all of them fill what they take for its free capacity.
    excess: forecast::ExcessDelay,
    error: forecast::ForecastError,
}

impl Gate {
    /// Selects an engine for a request, or rejects it.
    pub fn choose(
        &mut self,
        engines: &[Candidate],
        work: &Work,
        now_ms: u64,
        draw: u64,
    ) -> Result<Choice, Rejection> {
        if work.urgency == Urgency::Late && self.pressure.is_high(now_ms) {
            return Err(Rejection::LateWorkShed);
        }
        let Work { latency_model, objective_ms, gap_objective_ms, prefill_ms, urgency } = *work;
        let mean_pace = engines.first().map_or(1.0, |engine| engine.pace.mean());
        let latency_model = latency_model.with_mean_pace(mean_pace);
        let error_ms = self.error.mean_ms();
        let prompt = choice::Prompt {
            prefill_ms,
            first_event_max_ms: latency_model.first_event_max_ms(
                objective_ms,
                prefill_ms,
                urgency,
                error_ms,
            ),
            pause_max_ms: match urgency {
                Urgency::InTime | Urgency::Late if gap_objective_ms > 0 => {
                    gap_objective_ms as f64 * PAUSE_FRACTION
                }
                _ => f64::INFINITY,
            },
            start_margin_ms: error_ms,
            needs_slot: urgency == Urgency::Late,
        };
        let excess_max_ms = objective_ms as f64 * EXCESS_FRACTION_MAX;
        let excess_delay_ms = self.excess.current_ms(now_ms).min(excess_max_ms);
        // The unseen load is that of other entries. An idle engine has none.
        let delayed = |engine: &Candidate| {
            let fullness = choice::load(engine) / f64::from(engine.slots.max(1));
            let unseen_ms = excess_delay_ms * fullness.min(1.0);
            Candidate {
                excess_delay_ms: engine.excess_delay_ms.min(excess_max_ms) + unseen_ms,
                ..*engine
            }
        };
        let engines: Vec<_> = engines.iter().map(delayed).collect();
        let chosen = choice::fastest_engine(&engines, &latency_model, &prompt, draw);
        if chosen.is_none() && urgency == Urgency::InTime {
            self.pressure.record_refusal(now_ms);
        }
        let engine = chosen.ok_or(Rejection::Full)?;
        Ok(Choice {
            engine,
            forecast_ms: latency_model.first_event_ms(&engines[engine], prefill_ms),
        })
    }

    /// Records the forecast and the measured time to a first event.
    pub fn record_first_event(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.excess.record_pooled(forecast_ms, took_ms, now_ms);
        self.error.record(forecast_ms, took_ms);
    }
}
