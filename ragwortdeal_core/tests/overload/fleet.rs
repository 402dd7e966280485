//! Simulation of several entries and engines, with callers that retry once after a refusal.

use std::{cmp, collections, fmt};

use ragwortdeal_core::{
    dispatch::{backlog, caller_time, choice, forecast, gate, pace, peer_load},
    document,
};
use rand::{RngExt as _, SeedableRng as _};

use super::engine;

/// One-way latency between an entry and an engine, in milliseconds.
const LATENCY_MS: u64 = 3;

/// Time without a first event after which a caller leaves, in milliseconds.
const FIRST_EVENT_TIMEOUT_MS: u64 = 3_200;

/// Range of callers' timeouts in milliseconds.
const TIMEOUTS_MS: std::ops::RangeInclusive<u64> = 5_100..=6_000;

/// A caller waits at most for this fraction of its remaining time before its retry.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// Longest pause between two events that is promised to callers, in milliseconds.
pub const PAUSE_MAX_MS: u64 = 400;

/// Time that one count of the waits covers, in milliseconds.
const WAIT_STEP_MS: u64 = 20;

/// Largest prompt and longest answer, in means of their kind.
pub const LONGEST_MEANS: f64 = 3.0 / 0.95;

/// Relative size from which a request or a prompt counts as large: about the largest tenth.
const LARGE_SIZE: f64 = 1.9;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub share: f64,
    pub prompt_tokens: f64,
    pub answer_tokens: f64,
    /// Number of its level, if requests are ordered.
    pub level: Option<usize>,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Setup {
    pub engine: document::Engine,
    pub engines: usize,
    pub zones: usize,
    pub entries: usize,
    pub kinds: Vec<Kind>,
    /// Interval in milliseconds at which engines report their load in addition to their answers, if
    /// any.
    pub report_ms: Option<u64>,
    /// How the pace of engines varies, if it does.
    pub paces: Option<Paces>,
    /// What callers tell of their answers.
    pub told: Told,
}

/// What callers tell of the number of tokens of their answers.
#[derive(Clone, Copy, Debug)]
pub enum Told {
    /// Their number.
    Exactly,
    /// The same upper bound for all of them.
    AtMost(f64),
}

/// Engines that are slow for some time, each on its own.
#[derive(Clone, Copy, Debug)]
pub struct Paces {
    pub slow_share: f64,
    pub slow_factor: f64,
    /// Mean time after which an engine's pace is drawn again, in milliseconds.
    pub mean_ms: f64,
    /// Whether reports tell the pace.
    pub reported: bool,
}

impl Setup {
    /// Requests per second that the engines can serve.
    pub fn capacity_per_s(&self) -> f64 {
        let cost_ms = |kind: &Kind| self.engine_ms(kind.prompt_tokens, kind.answer_tokens);
        let mean_ms: f64 = self.kinds.iter().map(|kind| kind.share * cost_ms(kind)).sum();
        self.engines as f64 * 1_000.0 / mean_ms
    }

    /// Time in milliseconds that a request takes of an engine with no free slot.
    fn engine_ms(&self, prompt_tokens: f64, answer_tokens: f64) -> f64 {
        let parameters = &self.engine;
        let slots = f64::from(parameters.slots);
        let context_ms = parameters.step_per_context_ms * prompt_tokens / 1_000.0;
        let step_ms = parameters.step_ms + slots * (parameters.step_per_request_ms + context_ms);
        forecast::prefill_ms(parameters, prompt_tokens) + answer_tokens * step_ms / slots
    }
}

/// What an entry knows when it decides.
#[derive(Debug)]
pub struct Question<'q> {
    pub engines: &'q [choice::Candidate],
    pub latency_model: forecast::LatencyModel,
    pub prefill_ms: f64,
    pub answer_tokens: f64,
    /// Number of the request's level, if requests are ordered.
    pub level: Option<usize>,
    /// The caller's time.
    pub time: caller_time::CallerTime,
    pub now_ms: u64,
    pub draw: u64,
}

/// The rule by which an entry decides.
pub trait Rule: Default {
    /// Selects an engine, or refuses the request with a retry delay in milliseconds.
    fn decide(&mut self, question: &Question<'_>) -> Result<gate::Choice, u64>;

    /// Records the forecast and the measured time to a first event.
    fn record_first_event(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64);
}

/// Offered load: requests per second from each time in milliseconds on.
pub type Load = [(u64, f64)];

/// Largest number of kinds.
const KINDS_MAX: usize = 4;

/// Numbers of some of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answered {
    requests: u64,
    answered: u64,
}

impl Answered {
    /// Fraction of the requests whose callers got the whole answer before they left.
    pub fn fraction(&self) -> f64 {
        self.answered as f64 / self.requests.max(1) as f64
    }
}

/// Results of the requests that count, as their callers see them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub all: Answered,
    pub large: Answered,
    pub large_prompts: Answered,
    /// Callers that were refused in the end.
    refused: u64,
    pub by_kind: [Answered; KINDS_MAX],
    /// Engine time of all requests, and of the answered ones, in milliseconds.
    requested_ms: f64,
    answered_ms: f64,
    /// Requests that were sent and whose callers left before the answer was whole.
    abandoned: u64,
    /// Answers with a pause that is longer than promised.
    paused: u64,
    /// First events by the time since their callers came, in steps of [`WAIT_STEP_MS`].
    waits: Vec<u64>,
}

impl Outcome {
    /// Fraction of the requested engine time that was spent on whole answers.
    pub fn useful_work(&self) -> f64 {
        self.answered_ms / self.requested_ms
    }

    /// Requests that engines worked on for callers who left, as a fraction of the answered ones.
    pub fn abandoned_fraction(&self) -> f64 {
        self.abandoned as f64 / self.all.answered.max(1) as f64
    }

    /// Fraction of the answers in which a pause was longer than promised.
    pub fn paused_fraction(&self) -> f64 {
        self.paused as f64 / self.all.answered.max(1) as f64
    }

    /// Fraction of large requests that are answered, relative to that of all requests.
    pub fn large_share(&self) -> f64 {
        self.large.fraction() / self.all.fraction()
    }

    /// Fraction of requests with large prompts that are answered, relative to that of all requests.
    pub fn large_prompt_share(&self) -> f64 {
        self.large_prompts.fraction() / self.all.fraction()
    }

    /// Fraction of the requests that were refused in the end.
    pub fn refused_fraction(&self) -> f64 {
        self.refused as f64 / self.all.requests.max(1) as f64
    }

    /// Time in milliseconds within which this fraction of the answered callers got the first event.
    pub fn wait_ms(&self, fraction: f64) -> u64 {
        let started: u64 = self.waits.iter().sum();
        let mut within = (started as f64 * fraction) as u64;
        let step = self.waits.iter().position(|count| {
            let is_within = within < *count;
            within = within.saturating_sub(*count);
            is_within
        });
        step.unwrap_or(self.waits.len()) as u64 * WAIT_STEP_MS
    }

    /// Mean time to the first event of the answered callers, in milliseconds.
    pub fn mean_wait_ms(&self) -> f64 {
        let started: u64 = self.waits.iter().sum();
        let steps = self.waits.iter().enumerate().map(|(step, count)| step as u64 * count);
        (steps.sum::<u64>() * WAIT_STEP_MS) as f64 / started.max(1) as f64
    }

    fn record_wait(&mut self, wait_ms: u64) {
        let step = (wait_ms / WAIT_STEP_MS) as usize;
        self.waits.resize(self.waits.len().max(step + 1), 0);
        self.waits[step] += 1;
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "answered {:.3}, refused {:.3}, useful work {:.3}, abandoned {:.3}, paused {:.3}, \
             large share {:.2}, of prompts {:.2}, first event in {}, {}, {} ms for 50, 90, 99 in \
             100; by kind",
            self.all.fraction(),
            self.refused_fraction(),
            self.useful_work(),
            self.abandoned_fraction(),
            self.paused_fraction(),
            self.large_share(),
            self.large_prompt_share(),
            self.wait_ms(0.5),
            self.wait_ms(0.9),
            self.wait_ms(0.99),
        )?;
        self.by_kind.iter().try_for_each(|kind| write!(formatter, " {:.2}", kind.fraction()))
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    kind: usize,
    entry: usize,
    came_ms: u64,
    deadline_ms: u64,
    prompt_tokens: f64,
    answer_tokens: f64,
    prefill_ms: f64,
    is_large: bool,
    has_large_prompt: bool,
    counts: bool,
    sent: Option<Sent>,
    started: bool,
    paused: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    engine: usize,
    at_ms: u64,
    forecast_ms: f64,
    /// Number of the level at which the engine starts it.
    level: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Report {
    running: u32,
    waiting: u32,
}

impl Report {
    fn requests(self) -> peer_load::RequestCounts {
        let (running, waiting) = (f64::from(self.running), f64::from(self.waiting));
        peer_load::RequestCounts { open: running + waiting, unstarted: waiting }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Request { caller: usize, is_retry: bool },
    Receive { caller: usize },
    PassEnd { engine: usize },
    Start { caller: usize, report: Report },
    End { caller: usize },
    CallerTimeout { caller: usize, over: bool },
    SendReport { engine: usize },
    ReceiveReport { engine: usize, report: Report },
    DrawPace { engine: usize },
}

struct Simulation<'s, R> {
    setup: &'s Setup,
    load: &'s Load,
    until_ms: u64,
    counted_from_ms: u64,
    latency_model: forecast::LatencyModel,
    random: rand_chacha::ChaCha8Rng,
    rules: Vec<R>,
    engines: Vec<engine::Engine>,
    working: Vec<bool>,
    views: Vec<Vec<backlog::Backlog>>,
    /// Paces as reported; all entries get the same reports.
    paces: Vec<pace::Pace>,
    mean_pace: pace::ServiceMean,
    /// Draws the paces, so that all else is drawn alike with and without them.
    pace_random: rand_chacha::ChaCha8Rng,
    callers: Vec<Caller>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    number: u64,
    now_us: u64,
    outcome: Outcome,
}

/// Simulates a load from time 0 to `until_ms`. Requests that arrive before `counted_from_ms` do not
/// count.
pub fn simulate<R: Rule>(
    setup: &Setup,
    load: &Load,
    until_ms: u64,
    counted_from_ms: u64,
    seed: u64,
) -> Outcome {
    let mut simulation = Simulation::<R> {
        setup,
        load,
        until_ms,
        counted_from_ms,
        latency_model: forecast::LatencyModel::new(&setup.engine),
        random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        rules: (0..setup.entries).map(|_| R::default()).collect(),
        engines: vec![engine::Engine::new(&setup.engine); setup.engines],
        working: vec![false; setup.engines],
        views: vec![vec![backlog::Backlog::default(); setup.engines]; setup.entries],
        paces: vec![pace::Pace::default(); setup.engines],
        mean_pace: pace::ServiceMean::default(),
        pace_random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        callers: Vec::new(),
        events: collections::BinaryHeap::new(),
        number: 0,
        now_us: 0,
        outcome: Outcome::default(),
    };
    simulation.after_us(0, Event::Arrive);
    (0..setup.engines)
        .for_each(|engine| simulation.after_ms(engine as u64, Event::SendReport { engine }));
    (0..setup.engines).for_each(|engine| simulation.draw_pace(engine));
    while let Some(cmp::Reverse((at_us, _, event))) = simulation.events.pop() {
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    simulation.outcome
}

impl<R: Rule> Simulation<'_, R> {
    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn after_us(&mut self, after_us: u64, event: Event) {
        self.number += 1;
        self.events.push(cmp::Reverse((self.now_us + after_us, self.number, event)));
    }

    fn after_ms(&mut self, after_ms: u64, event: Event) {
        self.after_us(after_ms * 1_000, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Request { caller, is_retry } => self.request(caller, is_retry),
            Event::Receive { caller } => self.receive(caller),
            Event::PassEnd { engine } => self.end_pass_at(engine),
            Event::Start { caller, report } => self.start(caller, report),
            Event::End { caller } => self.end(caller),
            Event::CallerTimeout { caller, over } => self.caller_timeout(caller, over),
            Event::SendReport { engine } => self.send_report(engine),
            Event::ReceiveReport { engine, report } => self.receive_report(engine, report),
            Event::DrawPace { engine } => self.draw_pace(engine),
        }
    }

    fn arrive(&mut self) {
        let now_ms = self.now_ms();
        if now_ms >= self.until_ms {
            return;
        }
        let rate = self.load.iter().rev().find(|(from_ms, _)| *from_ms <= now_ms);
        let rate_per_s = rate.map_or(1.0, |(_, rate)| *rate);
        let gap_s = -(1.0 - self.random.random::<f64>()).ln() / rate_per_s;
        self.after_us((gap_s * 1e6) as u64, Event::Arrive);
        let caller = self.caller(now_ms);
        if caller.counts {
            self.outcome.requested_ms += self.engine_ms(&caller);
            self.outcome.all.requests += 1;
            self.outcome.by_kind[caller.kind].requests += 1;
            self.outcome.large.requests += u64::from(caller.is_large);
            self.outcome.large_prompts.requests += u64::from(caller.has_large_prompt);
        }
        self.callers.push(caller);
        let caller = self.callers.len() - 1;
        self.after_ms(LATENCY_MS, Event::Request { caller, is_retry: false });
    }

    fn caller(&mut self, now_ms: u64) -> Caller {
        let mut drawn: f64 = self.random.random();
        let kind = self.setup.kinds.iter().position(|kind| {
            drawn -= kind.share;
            drawn < 0.0
        });
        let kind = kind.unwrap_or(0);
        let Kind { prompt_tokens, answer_tokens, .. } = self.setup.kinds[kind];
        // The truncation lowers the mean by a twentieth.
        let mut size = || (-(1.0 - self.random.random::<f64>()).ln() / 0.95).min(LONGEST_MEANS);
        let (prompt, answer) = (prompt_tokens * size(), (answer_tokens * size()).max(1.0));
        let size = (prompt + 10.0 * answer) / (prompt_tokens + 10.0 * answer_tokens);
        Caller {
            kind,
            entry: self.random.random_range(0..self.setup.entries),
            came_ms: now_ms,
            deadline_ms: now_ms + self.random.random_range(TIMEOUTS_MS),
            prompt_tokens: prompt,
            answer_tokens: answer,
            prefill_ms: forecast::prefill_ms(&self.setup.engine, prompt),
            is_large: size > LARGE_SIZE,
            has_large_prompt: prompt > prompt_tokens * LARGE_SIZE,
            counts: now_ms >= self.counted_from_ms,
            sent: None,
            started: false,
            paused: false,
        }
    }

    fn request(&mut self, index: usize, is_retry: bool) {
        let caller = self.callers[index];
        let now_ms = self.now_ms();
        let remaining_ms = caller.deadline_ms.saturating_sub(now_ms);
        let engines = self.candidates_for(caller.entry);
        let question = Question {
            engines: &engines,
            latency_model: self.latency_model,
            prefill_ms: caller.prefill_ms,
            answer_tokens: match self.setup.told {
                Told::Exactly => caller.answer_tokens,
                Told::AtMost(tokens) => tokens,
            },
            level: self.setup.kinds[caller.kind].level,
            time: caller_time::CallerTime {
                first_event_ms: remaining_ms.min(FIRST_EVENT_TIMEOUT_MS) as f64,
                answer_ms: remaining_ms as f64,
            },
            now_ms,
            draw: self.random.random(),
        };
        match self.rules[caller.entry].decide(&question) {
            Ok(gate::Choice { engine, forecast_ms, starts_first }) => {
                let level = self.setup.kinds[caller.kind].level.filter(|_| !starts_first);
                let level = level.unwrap_or(0);
                self.views[caller.entry][engine].open_request(caller.prefill_ms);
                self.callers[index].sent = Some(Sent { engine, at_ms: now_ms, forecast_ms, level });
                self.after_ms(LATENCY_MS, Event::Receive { caller: index });
                self.after_ms(
                    FIRST_EVENT_TIMEOUT_MS,
                    Event::CallerTimeout { caller: index, over: false },
                );
                self.after_ms(remaining_ms, Event::CallerTimeout { caller: index, over: true });
            }
            Err(_) if is_retry => self.outcome.refused += u64::from(caller.counts),
            Err(after_ms) => {
                // A retry uses another connection, so often another entry.
                self.callers[index].entry = self.random.random_range(0..self.setup.entries);
                let after_ms = after_ms.min(remaining_ms / RETRY_AFTER_DIVISOR) + 2 * LATENCY_MS;
                self.after_ms(after_ms, Event::Request { caller: index, is_retry: true });
            }
        }
    }

    fn candidates_for(&self, entry: usize) -> Vec<choice::Candidate> {
        let setup = self.setup;
        let near = (setup.entries as f64 / setup.zones as f64 - 1.0).max(0.0);
        let others = backlog::PeerEntries { same_zone: near, all: setup.entries as f64 - 1.0 };
        let views = self.views[entry].iter().enumerate();
        let seen = views.map(|(engine, view)| {
            let near = engine % setup.zones == entry % setup.zones;
            let upstream = backlog::UpstreamInfo { same_zone: near, slots: setup.engine.slots };
            let pace = self.paces[engine].expected(&self.mean_pace, self.now_ms());
            choice::Candidate { pace, ..view.candidate(&upstream, &others, self.now_ms()) }
        });
        seen.collect()
    }

    fn engine_ms(&self, caller: &Caller) -> f64 {
        self.setup.engine_ms(caller.prompt_tokens, caller.answer_tokens)
    }

    fn receive(&mut self, index: usize) {
        let caller = self.callers[index];
        let Some(Sent { engine, level, .. }) = caller.sent else { return };
        self.engines[engine].offer(engine::Work {
            caller: index,
            level,
            unread_tokens: caller.prompt_tokens,
            prompt_tokens: caller.prompt_tokens,
            undecoded_tokens: caller.answer_tokens,
            decoded_tokens: 0.0,
        });
        if !self.working[engine] {
            self.begin_pass(engine);
        }
    }

    fn begin_pass(&mut self, engine: usize) {
        let pass = self.engines[engine].begin_pass();
        self.working[engine] = pass.is_some();
        let Some(pass) = pass else { return };
        let report = self.report(engine);
        for caller in pass.started {
            let start = Event::Start { caller, report };
            self.after_us((pass.first_event_ms * 1_000.0) as u64 + LATENCY_MS * 1_000, start);
        }
        if pass.took_ms > PAUSE_MAX_MS as f64 {
            pass.decoding.iter().for_each(|&caller| self.callers[caller].paused = true);
        }
        self.after_us((pass.took_ms * 1_000.0) as u64, Event::PassEnd { engine });
    }

    fn end_pass_at(&mut self, engine: usize) {
        for caller in self.engines[engine].end_pass() {
            self.after_ms(LATENCY_MS, Event::End { caller });
        }
        self.begin_pass(engine);
    }

    fn report(&self, engine: usize) -> Report {
        let (running, waiting) = self.engines[engine].load();
        Report { running: running as u32, waiting: waiting as u32 }
    }

    fn start(&mut self, index: usize, report: Report) {
        let now_ms = self.now_ms();
        let caller = self.callers[index];
        let Some(sent) = caller.sent.filter(|_| !caller.started) else { return };
        let view = &mut self.views[caller.entry][sent.engine];
        view.prefill_done(caller.prefill_ms);
        let took_ms = (now_ms - sent.at_ms) as f64;
        view.record_first_event(sent.forecast_ms, took_ms, now_ms);
        view.record_report(report.requests(), now_ms);
        self.rules[caller.entry].record_first_event(sent.forecast_ms, took_ms, now_ms);
        self.callers[index].started = true;
        if caller.counts {
            self.outcome.record_wait(now_ms + LATENCY_MS - caller.came_ms);
        }
    }

    fn end(&mut self, index: usize) {
        let caller = self.callers[index];
        let Some(Sent { engine, .. }) = self.callers[index].sent.take() else { return };
        self.views[caller.entry][engine].close_request();
        if !caller.counts {
            return;
        }
        let answered_ms = self.engine_ms(&caller);
        let outcome = &mut self.outcome;
        outcome.answered_ms += answered_ms;
        outcome.all.answered += 1;
        outcome.by_kind[caller.kind].answered += 1;
        outcome.large.answered += u64::from(caller.is_large);
        outcome.large_prompts.answered += u64::from(caller.has_large_prompt);
        outcome.paused += u64::from(caller.paused);
    }

    fn caller_timeout(&mut self, index: usize, over: bool) {
        let caller = self.callers[index];
        let Some(Sent { engine, .. }) = caller.sent.filter(|_| over || !caller.started) else {
            return;
        };
        let view = &mut self.views[caller.entry][engine];
        if !caller.started {
            view.prefill_done(caller.prefill_ms);
        }
        view.close_request();
        self.outcome.abandoned += u64::from(caller.counts);
        self.engines[engine].cancel(index);
        self.callers[index].sent = None;
    }

    fn send_report(&mut self, engine: usize) {
        let Some(report_ms) = self.setup.report_ms.filter(|_| self.now_ms() < self.until_ms) else {
            return;
        };
        let report = self.report(engine);
        self.after_ms(LATENCY_MS, Event::ReceiveReport { engine, report });
        self.after_ms(report_ms, Event::SendReport { engine });
    }

    fn receive_report(&mut self, engine: usize, report: Report) {
        let now_ms = self.now_ms();
        self.views
            .iter_mut()
            .for_each(|views| views[engine].record_report(report.requests(), now_ms));
        if self.setup.paces.is_some_and(|paces| paces.reported) {
            let told = pace::Factor::new(self.engines[engine].pace).unwrap();
            let told_at_ms = now_ms - LATENCY_MS;
            self.paces[engine].record(told, told_at_ms, &mut self.mean_pace);
        }
    }

    fn draw_pace(&mut self, engine: usize) {
        let Some(paces) = self.setup.paces.filter(|_| self.now_ms() < self.until_ms) else {
            return;
        };
        let is_slow = self.pace_random.random_bool(paces.slow_share);
        self.engines[engine].pace = if is_slow { paces.slow_factor } else { 1.0 };
        let holds_ms = -(1.0 - self.pace_random.random::<f64>()).ln() * paces.mean_ms;
        self.after_ms(holds_ms as u64, Event::DrawPace { engine });
    }
}
