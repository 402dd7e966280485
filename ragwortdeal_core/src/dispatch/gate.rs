//! Lets work in to the engines of one service, or turns it away.
//!
//! `docs/design/overload.md` tells which rules were weighed.

use super::{
    choice::{self, Candidate},
    forecast::{self, Urgency},
    pressure,
};

/// Part of the objective for pauses that prompts which are read in between may take.
const PAUSE_SHARE: f64 = 0.9;

/// Largest excess that counts, as a part of the aim: less than a request may wait anywhere, so that
/// idle engines stay in reach. What an outage delayed says little of engines that are back, and no
/// answer corrects an excess that keeps everybody away.
const EXCESS_SHARE_MAX: f64 = 0.35;

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// How the engines work.
    pub latency_model: forecast::LatencyModel,
    /// The operator's objective for the first event in milliseconds, 0 where there is none.
    pub objective_ms: u64,
    /// The operator's objective for the pause between two events in milliseconds, 0 where there is
    /// none.
    pub gap_objective_ms: u64,
    /// Milliseconds that an engine takes to read the prompt.
    pub prefill_ms: f64,
    /// What its caller can still get.
    pub urgency: Urgency,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the engine.
    pub engine: usize,
    /// Milliseconds to the first event, as forecast.
    pub forecast_ms: f64,
}

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No engine gives its first event in time, or has a slot for one that is late.
    Full,
    /// It is late, and others are turned away that could be in time.
    LateWorkShed,
}

/// The gate of one service at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    pressure: pressure::Pressure,
    /// How much later first events come from all engines together. Behind many entries each has few
    /// answers of one engine, and all of them send what they take to be its room.
    excess: forecast::ExcessDelay,
    error: forecast::ForecastError,
}

impl Gate {
    /// The engine that a request goes to.
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
                    gap_objective_ms as f64 * PAUSE_SHARE
                }
                _ => f64::INFINITY,
            },
            needs_slot: urgency == Urgency::Late,
        };
        let excess_max_ms = objective_ms as f64 * EXCESS_SHARE_MAX;
        let excess_delay_ms = self.excess.current_ms(now_ms).min(excess_max_ms);
        // What an entry does not see is work of others, of which an idle engine has none.
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

    /// Takes a first event that was forecast for one time and took another.
    pub fn record_first_event(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.excess.record_pooled(forecast_ms, took_ms, now_ms);
        self.error.record(forecast_ms, took_ms);
    }
}
