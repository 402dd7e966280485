//! Simulation of several entries and engines, with callers that retry once after a refusal.

use std::{cmp, collections};

use ragwortdeal_core::{
    dispatch::{backlog, choice, forecast, gate, pace, peer_load},
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

/// Longest pause between two events of an answer that counts as in time, in milliseconds.
const GAP_OBJECTIVE_MS: f64 = 400.0;

/// Fraction of its credit that a late answer earns.
const LATE_CREDIT: f64 = 0.25;

/// Relative size from which a request counts as large: about the largest tenth.
const LARGE_SIZE: f64 = 1.9;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub share: f64,
    pub prompt_tokens: f64,
    pub answer_tokens: f64,
    pub objective_ms: u64,
    pub credit: f64,
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
        let parameters = &self.engine;
        let slots = f64::from(parameters.slots);
        let cost_ms = |kind: &Kind| {
            let context_ms = parameters.step_per_context_ms * kind.prompt_tokens / 1_000.0;
            let step_ms =
                parameters.step_ms + slots * (parameters.step_per_request_ms + context_ms);
            forecast::prefill_ms(parameters, kind.prompt_tokens)
                + kind.answer_tokens * step_ms / slots
        };
        let mean_ms: f64 = self.kinds.iter().map(|kind| kind.share * cost_ms(kind)).sum();
        self.engines as f64 * 1_000.0 / mean_ms
    }
}

/// What an entry knows when it decides.
#[derive(Debug)]
pub struct Question<'q> {
    pub engines: &'q [choice::Candidate],
    pub latency_model: forecast::LatencyModel,
    pub prefill_ms: f64,
    pub objective_ms: u64,
    /// Number of the request's level, if requests are ordered.
    pub level: Option<usize>,
    /// The caller's remaining time.
    pub remaining_ms: u64,
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

/// Numbers of requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindOutcome {
    requests: u64,
    in_time: u64,
}

impl KindOutcome {
    /// Fraction of the requests that is answered in time.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

/// Results of the requests that count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    credit_total: f64,
    in_time: f64,
    late: f64,
    requests: u64,
    served: u64,
    late_answers: u64,
    large: u64,
    large_served: u64,
    pub by_kind: [KindOutcome; KINDS_MAX],
}

impl Outcome {
    /// Credit earned, as a fraction of all credit.
    pub fn goodput(&self) -> f64 {
        (self.in_time + LATE_CREDIT * self.late) / self.credit_total
    }

    /// Fraction of the answers whose first event or a later one comes too late.
    pub fn late_fraction(&self) -> f64 {
        self.late_answers as f64 / self.served as f64
    }

    /// Fraction of large requests that are served, relative to that of all requests.
    pub fn large_share(&self) -> f64 {
        let large = self.large_served as f64 / self.large.max(1) as f64;
        large / (self.served as f64 / self.requests as f64)
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
    credit: f64,
    is_large: bool,
    counts: bool,
    sent: Option<Sent>,
    started: bool,
    in_time: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    engine: usize,
    at_ms: u64,
    forecast_ms: f64,
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
            self.outcome.credit_total += caller.credit;
            self.outcome.requests += 1;
            self.outcome.by_kind[caller.kind].requests += 1;
            self.outcome.large += u64::from(caller.is_large);
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
        let Kind { prompt_tokens, answer_tokens, credit, .. } = self.setup.kinds[kind];
        // Truncated at three times the mean, which lowers the mean by a twentieth.
        let mut size = || (-(1.0 - self.random.random::<f64>()).ln()).min(3.0) / 0.95;
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
            credit: credit * (0.3 + 0.7 * size),
            is_large: size > LARGE_SIZE,
            counts: now_ms >= self.counted_from_ms,
            sent: None,
            started: false,
            in_time: false,
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
            objective_ms: self.setup.kinds[caller.kind].objective_ms,
            level: self.setup.kinds[caller.kind].level,
            remaining_ms,
            now_ms,
            draw: self.random.random(),
        };
        match self.rules[caller.entry].decide(&question) {
            Ok(gate::Choice { engine, forecast_ms }) => {
                self.views[caller.entry][engine].open_request(caller.prefill_ms);
                self.callers[index].sent = Some(Sent { engine, at_ms: now_ms, forecast_ms });
                self.after_ms(LATENCY_MS, Event::Receive { caller: index });
                self.after_ms(
                    FIRST_EVENT_TIMEOUT_MS,
                    Event::CallerTimeout { caller: index, over: false },
                );
                self.after_ms(remaining_ms, Event::CallerTimeout { caller: index, over: true });
            }
            Err(_) if is_retry => (),
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

    fn receive(&mut self, index: usize) {
        let caller = self.callers[index];
        let Some(Sent { engine, .. }) = caller.sent else { return };
        self.engines[engine].offer(engine::Work {
            caller: index,
            level: self.setup.kinds[caller.kind].level.unwrap_or(0),
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
        if pass.took_ms > GAP_OBJECTIVE_MS {
            pass.decoding.iter().for_each(|&caller| self.callers[caller].in_time = false);
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
        let objective_ms = self.setup.kinds[caller.kind].objective_ms;
        self.callers[index].started = true;
        self.callers[index].in_time = now_ms + LATENCY_MS - caller.came_ms <= objective_ms;
    }

    fn end(&mut self, index: usize) {
        let caller = self.callers[index];
        let Some(Sent { engine, .. }) = self.callers[index].sent.take() else { return };
        self.views[caller.entry][engine].close_request();
        if !caller.counts {
            return;
        }
        let outcome = &mut self.outcome;
        let earned = if caller.in_time { &mut outcome.in_time } else { &mut outcome.late };
        *earned += caller.credit;
        outcome.served += 1;
        outcome.late_answers += u64::from(!caller.in_time);
        outcome.by_kind[caller.kind].in_time += u64::from(caller.in_time);
        outcome.large_served += u64::from(caller.is_large);
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
