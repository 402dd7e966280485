//! Admission control for the engines of one service.
//!
//! `docs/design/overload.md` compares the rules.

use super::{
    choice::{self, Candidate},
    forecast::{self, Urgency},
    level_order, pressure, priority, reserve, retry_after,
};

/// Largest fraction of the pause objective that the prefill of other prompts may take.
const PAUSE_FRACTION: f64 = 0.9;

/// Largest excess delay that counts, as a fraction of the objective. It is less than a request may
/// wait anywhere, so that idle engines stay available. Delays caused by an outage say little about
/// engines that are back, and while an excess excludes all requests no answer corrects it.
const EXCESS_FRACTION_MAX: f64 = 0.35;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Work<'w> {
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
    /// What it is ordered by, or `None` if requests to the service are not ordered.
    pub class: Option<priority::Class<'w>>,
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
    /// The room is kept for more urgent requests.
    MoreUrgentFirst,
    /// The account requests more than its share, and others of the same level are being rejected.
    AboveFairShare,
}

/// What a decision depends on besides the gate.
#[derive(Clone, Copy, Debug)]
struct Question<'q> {
    engines: &'q [Candidate],
    work: &'q Work<'q>,
    now_ms: u64,
    draw: u64,
}

/// Admission control of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    pressure: pressure::Pressure,
    /// Excess delay over all engines. With many entries each gets few answers from any one engine,
    /// and all of them fill what they take for its free capacity.
    excess: forecast::ExcessDelay,
    error: forecast::ForecastError,
    level_order: level_order::LevelOrder,
}

impl Gate {
    /// Selects an engine for a request, or rejects it.
    pub fn choose(
        &mut self,
        engines: &[Candidate],
        work: &Work<'_>,
        now_ms: u64,
        draw: u64,
    ) -> Result<Choice, Rejection> {
        let mean_pace = engines.first().map_or(1.0, |engine| engine.pace.mean());
        let latency_model = work.latency_model.with_mean_pace(mean_pace);
        let work = &Work { latency_model, ..*work };
        if work.urgency == Urgency::Late && self.sheds_late(work, now_ms) {
            return Err(Rejection::LateWorkShed);
        }
        let question = Question { engines, work, now_ms, draw };
        let engines = self.with_excess_delay(engines, work, now_ms);
        let prompt = self.prompt(work);
        let chosen = choice::fastest_engine(&engines, &work.latency_model, &prompt, draw);
        let engine = match work.class {
            Some(class) if work.urgency != Urgency::Resumed => {
                self.choose_in_order(&question, &class, chosen)?
            }
            _ => {
                if chosen.is_none() && work.urgency == Urgency::InTime {
                    self.pressure.record_refusal(now_ms);
                }
                chosen.ok_or(Rejection::Full)?
            }
        };
        let forecast_ms = work.latency_model.first_event_ms(&engines[engine], work.prefill_ms);
        Ok(Choice { engine, forecast_ms })
    }

    /// When there will be room for a rejected request: as soon as one of the engines has done the
    /// work ahead of it, and then for as many as there are slots.
    pub fn room(&self, engines: &[Candidate], work: &Work<'_>) -> retry_after::Room {
        let mean_pace = engines.first().map_or(1.0, |engine| engine.pace.mean());
        let latency_model = work.latency_model.with_mean_pace(mean_pace);
        let ahead_ms = |engine| latency_model.work_ahead_ms(engine, work.prefill_ms);
        let soonest_ms = engines.iter().map(ahead_ms).min_by(f64::total_cmp);
        retry_after::Room {
            in_ms: soonest_ms.unwrap_or(0.0),
            spread_ms: latency_model.turnover_ms(),
        }
    }

    /// Records the forecast and the measured time to a first event.
    pub fn record_first_event(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.excess.record_pooled(forecast_ms, took_ms, now_ms);
        self.error.record(forecast_ms, took_ms);
    }

    fn sheds_late(&self, work: &Work<'_>, now_ms: u64) -> bool {
        match work.class {
            Some(class) => self.level_order.sheds_late(class.level, now_ms),
            None => self.pressure.is_high(now_ms),
        }
    }

    /// The engines, delayed by the load of other entries that is not seen. An idle engine has none.
    fn with_excess_delay(
        &self,
        engines: &[Candidate],
        work: &Work<'_>,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let excess_max_ms = work.objective_ms as f64 * EXCESS_FRACTION_MAX;
        let excess_delay_ms = self.excess.current_ms(now_ms).min(excess_max_ms);
        let delayed = |engine: &Candidate| {
            let fullness = choice::load(engine) / f64::from(engine.slots.max(1));
            let unseen_ms = excess_delay_ms * fullness.min(1.0);
            Candidate {
                excess_delay_ms: engine.excess_delay_ms.min(excess_max_ms) + unseen_ms,
                ..*engine
            }
        };
        engines.iter().map(delayed).collect()
    }

    fn prompt(&self, work: &Work<'_>) -> choice::Prompt {
        let Work { objective_ms, gap_objective_ms, prefill_ms, urgency, .. } = *work;
        let error_ms = self.error.mean_ms();
        choice::Prompt {
            prefill_ms,
            first_event_max_ms: work.latency_model.first_event_max_ms(
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
        }
    }

    /// Selects an engine for a request whose level and account count. `chosen` is the engine that
    /// it would get if they did not.
    fn choose_in_order(
        &mut self,
        question: &Question<'_>,
        class: &priority::Class<'_>,
        chosen: Option<usize>,
    ) -> Result<usize, Rejection> {
        let &priority::Class { level, account } = class;
        let &Question { work, now_ms, .. } = question;
        if work.urgency == Urgency::Late {
            let chosen = chosen.and_then(|_| self.choose_unreserved(question, level));
            if chosen.is_none() {
                self.level_order.record_late_refusal(level, now_ms);
            }
            return chosen.ok_or(Rejection::Full);
        }
        let engine_ms = work.latency_model.engine_ms(work.prefill_ms);
        let demand = level_order::Demand {
            prefill_ms: work.prefill_ms,
            engine_ms,
            objective_ms: work.objective_ms,
            gap_objective_ms: work.gap_objective_ms,
        };
        self.level_order.record_request(level, &demand, now_ms);
        self.level_order.fair_share(level).record_request(account, engine_ms, now_ms);
        let admitted = self.admit_in_time(question, class, chosen);
        match admitted {
            Ok(_) => self.level_order.use_min_share(level),
            Err(rejection) => {
                self.level_order.record_refusal(level, engine_ms, now_ms);
                if rejection != Rejection::AboveFairShare {
                    let fair_share = self.level_order.fair_share(level);
                    fair_share.record_refusal(account, engine_ms, now_ms);
                }
            }
        }
        admitted
    }

    fn admit_in_time(
        &mut self,
        question: &Question<'_>,
        class: &priority::Class<'_>,
        chosen: Option<usize>,
    ) -> Result<usize, Rejection> {
        let &priority::Class { level, account } = class;
        let &Question { work, now_ms, .. } = question;
        let unordered = chosen.ok_or(Rejection::Full)?;
        let engine_ms = work.latency_model.engine_ms(work.prefill_ms);
        if self.level_order.fair_share(level).take_payment(account, engine_ms, now_ms) {
            return Err(Rejection::AboveFairShare);
        }
        let has_min_share = self.level_order.earn_min_share(level);
        let unreserved = match self.level_order.take_payment(level, engine_ms, now_ms) {
            true => None,
            false => self.choose_unreserved(question, level),
        };
        match unreserved {
            Some(engine) => Ok(engine),
            None if has_min_share => Ok(unordered),
            None => Err(Rejection::MoreUrgentFirst),
        }
    }

    /// Selects an engine that leaves room for more urgent requests.
    fn choose_unreserved(&self, question: &Question<'_>, level: priority::Level) -> Option<usize> {
        let &Question { engines, work, now_ms, draw } = question;
        let more_urgent = self.level_order.more_urgent(level, now_ms);
        let mut open: Vec<_> = (0..engines.len()).collect();
        for expected in more_urgent {
            let (objective_ms, prefill_ms) = (expected.objective_ms, expected.prefill_ms);
            if work.latency_model.urgency(objective_ms, prefill_ms) != Urgency::InTime {
                continue;
            }
            let expected_work = Work {
                objective_ms,
                prefill_ms,
                gap_objective_ms: expected.gap_objective_ms,
                urgency: Urgency::InTime,
                class: None,
                ..*work
            };
            let reserve = reserve::Reserve {
                latency_model: work.latency_model,
                prompt: self.prompt(&expected_work),
                share: expected.share,
            };
            let engines = self.with_excess_delay(engines, &expected_work, now_ms);
            let kept = reserve.kept(&engines, work.prefill_ms);
            open.retain(|engine| !kept[*engine]);
        }
        let engines = self.with_excess_delay(engines, work, now_ms);
        let candidates: Vec<_> = open.iter().map(|engine| engines[*engine]).collect();
        let prompt = self.prompt(work);
        let chosen = choice::fastest_engine(&candidates, &work.latency_model, &prompt, draw)?;
        Some(open[chosen])
    }
}
