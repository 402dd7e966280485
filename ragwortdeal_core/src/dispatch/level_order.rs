//! Order of the levels of requests at the gate of one service.
//!
//! A refused request is a debt in engine time, which less urgent levels pay with refusals,
//! the least urgent first. Before it comes to that, room is reserved for the more urgent levels in
//! proportion to their recent demand. Every level keeps a minimum share.

use super::{
    caller_time,
    decaying::DecayingSum,
    fair_share::FairShare,
    priority::{LEVELS_MAX, Level},
};

/// Half-life of the recent demand of a level.
const DEMAND_HALF_LIFE_MS: f64 = 1_000.0;

/// Half-life of the debt: a few passes of an engine, so that less urgent requests are admitted
/// again within their `Retry-After` after an overload.
const DEBT_HALF_LIFE_MS: f64 = 500.0;

/// Engine time that less urgent levels give up for each millisecond refused to a more urgent one.
/// The debt decays before it is paid in full.
const DEBT_FACTOR: f64 = 2.0;

/// Time for which room is reserved for a level after its last request.
const RESERVED_MS: u64 = 2_000;

/// Least fraction of the requests that would be sent without an order which is sent with it: no kind
/// of request is served less than a quarter as often as others.
const MIN_SHARE: f64 = 0.25;

/// Largest number of requests that a level may send later out of its minimum share.
const MIN_SHARE_SAVED_MAX: f64 = 2.0;

/// Largest number of requests sent in order that count towards the minimum share of later times. With
/// them, a level that is served well enough takes no room from more urgent ones when it varies.
const MIN_SHARE_AHEAD_MAX: f64 = 4.0;

/// A request as its level counts it.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Prefill time of the prompt in milliseconds.
    pub prefill_ms: f64,
    /// Engine time that the whole request takes, in milliseconds.
    pub engine_ms: f64,
    /// Largest number of tokens of the answer.
    pub answer_tokens: f64,
    /// Time of the caller.
    pub time: caller_time::CallerTime,
    /// Longest pause between two events that is promised, in milliseconds, 0 if none is.
    pub pause_max_ms: u64,
}

/// What is to be expected of a more urgent level.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    /// Mean prefill time of its prompts in milliseconds.
    pub prefill_ms: f64,
    /// Mean number of tokens of its answers, at most.
    pub answer_tokens: f64,
    /// Mean time of its callers.
    pub time: caller_time::CallerTime,
    /// Shortest of the longest pauses that are promised, in milliseconds, 0 if none is.
    pub pause_max_ms: u64,
    /// Fraction of the recently requested engine time that it and more urgent levels asked for.
    pub share: f64,
}

/// Recent requests and refusals of one level.
#[derive(Clone, Debug, Default)]
struct LevelState {
    requests: DecayingSum,
    prefill: DecayingSum,
    engine: DecayingSum,
    answer_tokens: DecayingSum,
    first_event_time: DecayingSum,
    answer_time: DecayingSum,
    pause_max_ms: u64,
    last_at_ms: Option<u64>,
    debt: DecayingSum,
    min_share: f64,
    fair_share: FairShare,
}

/// Recent requests and refusals of all levels.
#[derive(Clone, Debug, Default)]
pub struct LevelOrder {
    levels: [LevelState; LEVELS_MAX],
}

impl LevelOrder {
    /// Records a request.
    pub fn record_request(&mut self, level: Level, demand: &Demand, now_ms: u64) {
        let state = &mut self.levels[level.number()];
        let pause_max_ms = if state.is_recent(now_ms) { state.pause_max_ms } else { 0 };
        state.pause_max_ms = narrower(pause_max_ms, demand.pause_max_ms);
        let amounts = [
            (&mut state.requests, 1.0),
            (&mut state.prefill, demand.prefill_ms),
            (&mut state.engine, demand.engine_ms),
            (&mut state.answer_tokens, demand.answer_tokens),
            (&mut state.first_event_time, demand.time.first_event_ms),
            (&mut state.answer_time, demand.time.answer_ms),
        ];
        for (sum, amount) in amounts {
            sum.add(amount, DEMAND_HALF_LIFE_MS, now_ms);
        }
        state.last_at_ms = Some(now_ms);
    }

    /// Records the refusal of a request.
    pub fn record_refusal(&mut self, level: Level, engine_ms: f64, now_ms: u64) {
        let state = &mut self.levels[level.number()];
        state.debt.add(engine_ms * DEBT_FACTOR, DEBT_HALF_LIFE_MS, now_ms);
    }

    /// Whether a request is to be refused for the more urgent ones that were refused, which reduces
    /// the debt.
    pub fn take_payment(&mut self, level: Level, engine_ms: f64, now_ms: u64) -> bool {
        let (urgent, others) = self.levels.split_at_mut(level.number());
        let less_urgent = others.iter().skip(1);
        let payers_ms: f64 =
            less_urgent.map(|state| state.engine.current(DEMAND_HALF_LIFE_MS, now_ms)).sum();
        let debt_ms: f64 =
            urgent.iter().map(|state| state.debt.current(DEBT_HALF_LIFE_MS, now_ms)).sum();
        if debt_ms - payers_ms * (1.0 - MIN_SHARE) < engine_ms {
            return false;
        }
        let paid_fraction = engine_ms / debt_ms;
        for state in urgent {
            let paid_ms = state.debt.current(DEBT_HALF_LIFE_MS, now_ms) * paid_fraction;
            state.debt.add(-paid_ms, DEBT_HALF_LIFE_MS, now_ms);
        }
        true
    }

    /// Fraction of the recently requested engine time that a level and more urgent ones asked for.
    pub fn share_up_to(&self, level: Level, now_ms: u64) -> f64 {
        let engine_ms = |state: &LevelState| state.engine.current(DEMAND_HALF_LIFE_MS, now_ms);
        let all_ms: f64 = self.levels.iter().map(engine_ms).sum();
        let requested_ms: f64 = self.levels.iter().take(level.number() + 1).map(engine_ms).sum();
        if all_ms > 0.0 { requested_ms / all_ms } else { 1.0 }
    }

    /// More urgent levels that were requested lately.
    pub fn more_urgent(&self, level: Level, now_ms: u64) -> Vec<Expected> {
        let engine_ms = |state: &LevelState| state.engine.current(DEMAND_HALF_LIFE_MS, now_ms);
        let all_ms: f64 = self.levels.iter().map(engine_ms).sum();
        let mut requested_ms = 0.0;
        let mut expected = Vec::new();
        for state in self.levels.iter().take(level.number()) {
            requested_ms += engine_ms(state);
            if !state.is_recent(now_ms) {
                continue;
            }
            let requests = state.requests.current(DEMAND_HALF_LIFE_MS, now_ms);
            let mean = |sum: &DecayingSum| {
                sum.current(DEMAND_HALF_LIFE_MS, now_ms) / requests.max(f64::MIN_POSITIVE)
            };
            expected.push(Expected {
                prefill_ms: mean(&state.prefill),
                answer_tokens: mean(&state.answer_tokens),
                time: caller_time::CallerTime {
                    first_event_ms: mean(&state.first_event_time),
                    answer_ms: mean(&state.answer_time),
                },
                pause_max_ms: state.pause_max_ms,
                share: requested_ms / all_ms.max(f64::MIN_POSITIVE),
            });
        }
        expected
    }

    /// Records that a request would be sent without an order, and tells whether the level's minimum
    /// share covers it.
    pub fn earn_min_share(&mut self, level: Level) -> bool {
        let state = &mut self.levels[level.number()];
        state.min_share = (state.min_share + MIN_SHARE).min(MIN_SHARE_SAVED_MAX);
        state.min_share >= 1.0
    }

    /// Records that a request of a level is sent.
    pub fn use_min_share(&mut self, level: Level) {
        let state = &mut self.levels[level.number()];
        state.min_share = (state.min_share - 1.0).max(-MIN_SHARE_AHEAD_MAX);
    }

    /// Shares of the accounts in a level.
    pub fn fair_share(&mut self, level: Level) -> &mut FairShare {
        &mut self.levels[level.number()].fair_share
    }
}

impl LevelState {
    fn is_recent(&self, now_ms: u64) -> bool {
        self.last_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= RESERVED_MS)
    }
}

/// The narrower one of two promises, of which 0 is none.
fn narrower(a_ms: u64, b_ms: u64) -> u64 {
    match (a_ms, b_ms) {
        (0, only_ms) | (only_ms, 0) => only_ms,
        _ => a_ms.min(b_ms),
    }
}
