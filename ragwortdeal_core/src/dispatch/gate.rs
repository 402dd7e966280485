//! Admission control for the engines of one service.
//!
//! `docs/design/overload.md` compares the rules.

use super::{
    answer_length, bounds, caller_time,
    choice::{self, Candidate},
    forecast, level_order, priority, reserve, retry_after, standing_queue,
};

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Work<'w> {
    /// Latency model of the engines.
    pub latency_model: forecast::LatencyModel,
    /// Time of the caller.
    pub time: caller_time::CallerTime,
    /// Longest pause between two events that is promised for streams, in milliseconds, 0 if none
    /// is.
    pub pause_max_ms: u64,
    /// Prefill time of the prompt in milliseconds.
    pub prefill_ms: f64,
    /// Largest number of tokens of the answer that the caller allows, as far as it is still to be
    /// written.
    pub answer_tokens: f64,
    /// Whether it was admitted before and goes on elsewhere. It is no new work, so neither the bound
    /// on standing queues, its class, nor a longer pause of other streams keep its caller from the
    /// answer.
    pub admitted: bool,
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
    /// Whether the engine is to start it before more urgent ones, as its level gets too little
    /// otherwise.
    pub starts_first: bool,
}

/// The engine for a request whose level counts.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    engine: usize,
    starts_first: bool,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No engine would answer within the caller's time, or without a pause of other streams that
    /// is longer than promised, or the queues have stood for too long.
    Full,
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
    /// Excess delay over all engines. With many entries each gets few answers from any one engine,
    /// and all of them fill what they take for its free capacity.
    excess: forecast::ExcessDelay,
    error: forecast::ForecastError,
    answer_length: answer_length::AnswerLength,
    standing_queue: standing_queue::StandingQueue,
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
        if !work.admitted {
            let mean_tokens = work.latency_model.mean_answer_tokens();
            self.answer_length.record(work.answer_tokens, mean_tokens);
        }
        let work = &at_mean_pace(engines, work);
        self.standing_queue.observe(engines, now_ms);
        let question = Question { engines, work, now_ms, draw };
        let share = work.class.map_or(1.0, |it| self.level_order.share_up_to(it.level, now_ms));
        let prompt = self.prompt(work, now_ms);
        let engines = self.as_found(engines, work, &prompt, share, now_ms);
        let chosen = choice::fastest_engine(&engines, &work.latency_model, &prompt, draw);
        let Admitted { engine, starts_first } = match work.class {
            Some(class) if !work.admitted => self.choose_in_order(&question, &class, chosen)?,
            _ => Admitted { engine: chosen.ok_or(Rejection::Full)?, starts_first: false },
        };
        let forecast_ms = work.latency_model.first_event_ms(&engines[engine], work.prefill_ms);
        Ok(Choice { engine, forecast_ms, starts_first })
    }

    /// Which bounds kept a rejected request from the engines.
    pub fn explain(&self, engines: &[Candidate], work: &Work<'_>, now_ms: u64) -> bounds::Refused {
        let mean_pace = engines.first().map_or(1.0, |engine| engine.pace.mean());
        let work = &at_mean_pace(engines, work);
        let share = work.class.map_or(1.0, |it| self.level_order.share_up_to(it.level, now_ms));
        let prompt = self.prompt(work, now_ms);
        let error_ms = prompt.error_ms;
        let mut refused = bounds::Refused { mean_pace, error_ms, ..bounds::Refused::default() };
        for engine in self.as_found(engines, work, &prompt, share, now_ms) {
            refused.count(&engine, bounds::Exceeded::at(&engine, &work.latency_model, &prompt));
        }
        refused
    }

    /// When there will be room for a rejected request: as soon as one of the engines has done the
    /// work ahead of it, and then for as many as there are slots.
    pub fn room(&self, engines: &[Candidate], work: &Work<'_>) -> retry_after::Room {
        let latency_model = at_mean_pace(engines, work).latency_model;
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

    /// The engines as a request finds them that goes after this share of the others: engines start
    /// the more urgent ones first. They are delayed by the load of other entries that is not seen,
    /// of which an idle engine has none.
    fn as_found(
        &self,
        engines: &[Candidate],
        work: &Work<'_>,
        prompt: &choice::Prompt,
        share: f64,
        now_ms: u64,
    ) -> Vec<Candidate> {
        // A delay caused by an outage says little about engines that are back, and while it excludes
        // all requests no answer corrects it.
        let excess_max_ms = work.latency_model.excess_delay_max_ms(prompt);
        let excess_delay_ms = self.excess.current_ms(now_ms).min(excess_max_ms);
        let delayed = |engine: &Candidate| {
            let fullness = choice::load(engine) / f64::from(engine.slots.max(1));
            let unseen_ms = excess_delay_ms * fullness.min(1.0);
            Candidate {
                excess_delay_ms: engine.excess_delay_ms.min(excess_max_ms) + unseen_ms,
                ..choice::ahead_of(engine, share)
            }
        };
        engines.iter().map(delayed).collect()
    }

    fn prompt(&self, work: &Work<'_>, now_ms: u64) -> choice::Prompt {
        choice::Prompt {
            prefill_ms: work.prefill_ms,
            answer: self.answer_length.tokens(work.answer_tokens),
            time: work.time,
            error_ms: self.error.mean_ms(),
            pause_max_ms: match work.pause_max_ms {
                promised_ms if promised_ms > 0 && !work.admitted => promised_ms as f64,
                _ => f64::INFINITY,
            },
            waiting_max: match work.admitted {
                true => f64::INFINITY,
                false => work.latency_model.waiting_max(&self.standing_queue, now_ms),
            },
        }
    }

    /// Selects an engine for a request whose level and account count. `chosen` is the engine that
    /// it would get if they did not.
    fn choose_in_order(
        &mut self,
        question: &Question<'_>,
        class: &priority::Class<'_>,
        chosen: Option<usize>,
    ) -> Result<Admitted, Rejection> {
        let &priority::Class { level, account } = class;
        let &Question { work, now_ms, .. } = question;
        let engine_ms = work.latency_model.engine_ms(work.prefill_ms);
        let demand = level_order::Demand {
            prefill_ms: work.prefill_ms,
            engine_ms,
            answer_tokens: work.answer_tokens,
            time: work.time,
            pause_max_ms: work.pause_max_ms,
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
    ) -> Result<Admitted, Rejection> {
        let &priority::Class { level, account } = class;
        let &Question { work, now_ms, .. } = question;
        let as_most_urgent = match self.level_order.more_urgent(level, now_ms).is_empty() {
            true => chosen,
            false => self.choose_as_most_urgent(question),
        };
        let as_most_urgent = as_most_urgent.ok_or(Rejection::Full)?;
        let engine_ms = work.latency_model.engine_ms(work.prefill_ms);
        if self.level_order.fair_share(level).take_payment(account, engine_ms, now_ms) {
            return Err(Rejection::AboveFairShare);
        }
        let has_min_share = self.level_order.earn_min_share(level);
        let unreserved = chosen.and_then(|chosen| {
            // While slots are free, those that were refused find one when they return.
            let is_needed = !choice::has_slot(&question.engines[chosen]);
            match is_needed && self.level_order.take_payment(level, engine_ms, now_ms) {
                true => None,
                false => self.choose_unreserved(question, level),
            }
        });
        match unreserved {
            Some(engine) => Ok(Admitted { engine, starts_first: false }),
            None if has_min_share => Ok(Admitted { engine: as_most_urgent, starts_first: true }),
            None if chosen.is_none() => Err(Rejection::Full),
            None => Err(Rejection::MoreUrgentFirst),
        }
    }

    /// Selects an engine for a request that it starts before all but the most urgent ones.
    fn choose_as_most_urgent(&self, question: &Question<'_>) -> Option<usize> {
        let &Question { engines, work, now_ms, draw } = question;
        let share = self.level_order.share_up_to(priority::Level::default(), now_ms);
        let prompt = self.prompt(work, now_ms);
        let engines = self.as_found(engines, work, &prompt, share, now_ms);
        choice::fastest_engine(&engines, &work.latency_model, &prompt, draw)
    }

    /// Selects an engine that leaves room for more urgent requests.
    fn choose_unreserved(&self, question: &Question<'_>, level: priority::Level) -> Option<usize> {
        let &Question { engines, work, now_ms, draw } = question;
        let more_urgent = self.level_order.more_urgent(level, now_ms);
        let mut open: Vec<_> = (0..engines.len()).collect();
        for expected in more_urgent {
            let expected_work = Work {
                time: expected.time,
                prefill_ms: expected.prefill_ms,
                answer_tokens: expected.answer_tokens,
                pause_max_ms: expected.pause_max_ms,
                admitted: false,
                class: None,
                ..*work
            };
            let prompt = self.prompt(&expected_work, now_ms);
            let share = expected.share;
            let engines = self.as_found(engines, &expected_work, &prompt, share, now_ms);
            let reserve = reserve::Reserve { latency_model: work.latency_model, prompt, share };
            let kept = reserve.kept(&engines, work.prefill_ms);
            open.retain(|engine| !kept[*engine]);
        }
        let prompt = self.prompt(work, now_ms);
        let share = self.level_order.share_up_to(level, now_ms);
        let engines = self.as_found(engines, work, &prompt, share, now_ms);
        let candidates: Vec<_> = open.iter().map(|engine| engines[*engine]).collect();
        let chosen = choice::fastest_engine(&candidates, &work.latency_model, &prompt, draw)?;
        Some(open[chosen])
    }
}

/// The work for engines of the mean pace that these have.
fn at_mean_pace<'w>(engines: &[Candidate], work: &Work<'w>) -> Work<'w> {
    let mean_pace = engines.first().map_or(1.0, |engine| engine.pace.mean());
    Work { latency_model: work.latency_model.with_mean_pace(mean_pace), ..*work }
}
