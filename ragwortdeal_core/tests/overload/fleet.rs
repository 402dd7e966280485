//! Several entries before several engines, with callers that come back once after a refusal.

use std::{cmp, collections};

use ragwortdeal_core::{
    dispatch::{backlog, choice, forecast, gate, peer_load},
    document,
};
use rand::{RngExt as _, SeedableRng as _};

use super::engine;

/// One way of a request to its engine and back, in milliseconds.
const WAY_MS: u64 = 3;

/// After how long without an event a caller leaves.
const PATIENCE_MS: u64 = 3_200;

/// Least and most time that callers have in all.
const DEADLINE_MS: std::ops::RangeInclusive<u64> = 5_100..=6_000;

/// A caller stays away for this part of what is left of its time at most.
const AWAY_PART: u64 = 3;

/// Longest pause between two events with which an answer is in time, in milliseconds.
const GAP_AIM_MS: f64 = 400.0;

/// Part of its credit that a late answer earns.
const LATE_CREDIT: f64 = 0.25;

/// Size from which a request counts as a large one: about the largest tenth.
const LARGE_SIZE: f64 = 1.9;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub share: f64,
    pub prompt_tokens: f64,
    pub answer_tokens: f64,
    pub aim_ms: u64,
    pub credit: f64,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Setup {
    pub engine: document::Engine,
    pub engines: usize,
    pub zones: usize,
    pub entries: usize,
    pub kinds: Vec<Kind>,
    /// How often entries hear the load of each engine beside its answers, if at all.
    pub told_ms: Option<u64>,
}

impl Setup {
    /// Requests a second that the engines can work off.
    pub fn capacity_per_s(&self) -> f64 {
        let figures = &self.engine;
        let slots = f64::from(figures.slots);
        let cost_ms = |kind: &Kind| {
            let context_ms = figures.step_per_context_ms * kind.prompt_tokens / 1_000.0;
            let step_ms = figures.step_ms + slots * (figures.step_per_request_ms + context_ms);
            forecast::prefill_ms(figures, kind.prompt_tokens) + kind.answer_tokens * step_ms / slots
        };
        let mean_ms: f64 = self.kinds.iter().map(|kind| kind.share * cost_ms(kind)).sum();
        self.engines as f64 * 1_000.0 / mean_ms
    }
}

/// What an entry knows when it decides.
#[derive(Debug)]
pub struct Question<'q> {
    pub engines: &'q [choice::Candidate],
    pub pace: forecast::LatencyModel,
    pub reading_ms: f64,
    pub aim_ms: u64,
    /// For how long the caller goes on waiting.
    pub left_ms: u64,
    pub now_ms: u64,
    pub draw: u64,
}

/// The rule by which one entry decides.
pub trait Rule: Default {
    /// The engine, or after how many milliseconds the caller may come back.
    fn decide(&mut self, question: &Question<'_>) -> Result<gate::Choice, u64>;

    /// Takes a first event that was forecast for one time and took another.
    fn answered(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64);
}

/// Offered requests a second: from each moment on, in milliseconds.
pub type Load = [(u64, f64)];

/// What became of the requests that count.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    owed: f64,
    in_time: f64,
    late: f64,
    requests: u64,
    served: u64,
    large: u64,
    large_served: u64,
}

impl Outcome {
    /// Credit earned of credit owed.
    pub fn goodput(&self) -> f64 {
        (self.in_time + LATE_CREDIT * self.late) / self.owed
    }

    /// How often large requests are served, as a part of how often all are.
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
    reading_ms: f64,
    credit: f64,
    is_large: bool,
    counts: bool,
    sent: Option<Sent>,
    begun: bool,
    in_time: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    engine: usize,
    at_ms: u64,
    forecast_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Said {
    running: u32,
    waiting: u32,
}

impl Said {
    fn requests(self) -> peer_load::RequestCounts {
        let (running, waiting) = (f64::from(self.running), f64::from(self.waiting));
        peer_load::RequestCounts { open: running + waiting, unstarted: waiting }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives,
    Asks { caller: usize, again: bool },
    Reaches { caller: usize },
    PassEnds { engine: usize },
    Begins { caller: usize, said: Said },
    Ends { caller: usize },
    Leaves { caller: usize, over: bool },
    Tells { engine: usize },
    Hears { engine: usize, said: Said },
}

struct Play<'s, R> {
    setup: &'s Setup,
    load: &'s Load,
    until_ms: u64,
    counted_from_ms: u64,
    pace: forecast::LatencyModel,
    random: rand_chacha::ChaCha8Rng,
    rules: Vec<R>,
    engines: Vec<engine::Engine>,
    working: Vec<bool>,
    views: Vec<Vec<backlog::Backlog>>,
    callers: Vec<Caller>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    number: u64,
    now_us: u64,
    outcome: Outcome,
}

/// Plays a load from zero to `until_ms`. Requests that come before `counted_from_ms` do not count.
pub fn play<R: Rule>(
    setup: &Setup,
    load: &Load,
    until_ms: u64,
    counted_from_ms: u64,
    seed: u64,
) -> Outcome {
    let mut play = Play::<R> {
        setup,
        load,
        until_ms,
        counted_from_ms,
        pace: forecast::LatencyModel::new(&setup.engine),
        random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        rules: (0..setup.entries).map(|_| R::default()).collect(),
        engines: vec![engine::Engine::new(&setup.engine); setup.engines],
        working: vec![false; setup.engines],
        views: vec![vec![backlog::Backlog::default(); setup.engines]; setup.entries],
        callers: Vec::new(),
        events: collections::BinaryHeap::new(),
        number: 0,
        now_us: 0,
        outcome: Outcome::default(),
    };
    play.after_us(0, Event::Arrives);
    (0..setup.engines).for_each(|engine| play.after_ms(engine as u64, Event::Tells { engine }));
    while let Some(cmp::Reverse((at_us, _, event))) = play.events.pop() {
        play.now_us = at_us;
        play.happens(event);
    }
    play.outcome
}

impl<R: Rule> Play<'_, R> {
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

    fn happens(&mut self, event: Event) {
        match event {
            Event::Arrives => self.arrives(),
            Event::Asks { caller, again } => self.asks(caller, again),
            Event::Reaches { caller } => self.reaches(caller),
            Event::PassEnds { engine } => self.pass_ends(engine),
            Event::Begins { caller, said } => self.begins(caller, said),
            Event::Ends { caller } => self.ends(caller),
            Event::Leaves { caller, over } => self.leaves(caller, over),
            Event::Tells { engine } => self.tells(engine),
            Event::Hears { engine, said } => self.hear(engine, said),
        }
    }

    fn arrives(&mut self) {
        let now_ms = self.now_ms();
        if now_ms >= self.until_ms {
            return;
        }
        let rate = self.load.iter().rev().find(|(from_ms, _)| *from_ms <= now_ms);
        let rate_per_s = rate.map_or(1.0, |(_, rate)| *rate);
        let gap_s = -(1.0 - self.random.random::<f64>()).ln() / rate_per_s;
        self.after_us((gap_s * 1e6) as u64, Event::Arrives);
        let caller = self.caller(now_ms);
        if caller.counts {
            self.outcome.owed += caller.credit;
            self.outcome.requests += 1;
            self.outcome.large += u64::from(caller.is_large);
        }
        self.callers.push(caller);
        let caller = self.callers.len() - 1;
        self.after_ms(WAY_MS, Event::Asks { caller, again: false });
    }

    fn caller(&mut self, now_ms: u64) -> Caller {
        let mut drawn: f64 = self.random.random();
        let kind = self.setup.kinds.iter().position(|kind| {
            drawn -= kind.share;
            drawn < 0.0
        });
        let kind = kind.unwrap_or(0);
        let Kind { prompt_tokens, answer_tokens, credit, .. } = self.setup.kinds[kind];
        // Cut at three times the mean, which takes a twentieth off it.
        let mut size = || (-(1.0 - self.random.random::<f64>()).ln()).min(3.0) / 0.95;
        let (prompt, answer) = (prompt_tokens * size(), (answer_tokens * size()).max(1.0));
        let size = (prompt + 10.0 * answer) / (prompt_tokens + 10.0 * answer_tokens);
        Caller {
            kind,
            entry: self.random.random_range(0..self.setup.entries),
            came_ms: now_ms,
            deadline_ms: now_ms + self.random.random_range(DEADLINE_MS),
            prompt_tokens: prompt,
            answer_tokens: answer,
            reading_ms: forecast::prefill_ms(&self.setup.engine, prompt),
            credit: credit * (0.3 + 0.7 * size),
            is_large: size > LARGE_SIZE,
            counts: now_ms >= self.counted_from_ms,
            sent: None,
            begun: false,
            in_time: false,
        }
    }

    fn asks(&mut self, index: usize, again: bool) {
        let caller = self.callers[index];
        let now_ms = self.now_ms();
        let left_ms = caller.deadline_ms.saturating_sub(now_ms);
        let engines = self.seen_by(caller.entry);
        let question = Question {
            engines: &engines,
            pace: self.pace,
            reading_ms: caller.reading_ms,
            aim_ms: self.setup.kinds[caller.kind].aim_ms,
            left_ms,
            now_ms,
            draw: self.random.random(),
        };
        match self.rules[caller.entry].decide(&question) {
            Ok(gate::Choice { engine, forecast_ms }) => {
                self.views[caller.entry][engine].open_request(caller.reading_ms);
                self.callers[index].sent = Some(Sent { engine, at_ms: now_ms, forecast_ms });
                self.after_ms(WAY_MS, Event::Reaches { caller: index });
                self.after_ms(PATIENCE_MS, Event::Leaves { caller: index, over: false });
                self.after_ms(left_ms, Event::Leaves { caller: index, over: true });
            }
            Err(_) if again => (),
            Err(after_ms) => {
                // Over another connection, so often at another entry.
                self.callers[index].entry = self.random.random_range(0..self.setup.entries);
                let after_ms = after_ms.min(left_ms / AWAY_PART) + 2 * WAY_MS;
                self.after_ms(after_ms, Event::Asks { caller: index, again: true });
            }
        }
    }

    fn seen_by(&self, entry: usize) -> Vec<choice::Candidate> {
        let setup = self.setup;
        let near = (setup.entries as f64 / setup.zones as f64 - 1.0).max(0.0);
        let others = backlog::PeerEntries { same_zone: near, all: setup.entries as f64 - 1.0 };
        let views = self.views[entry].iter().enumerate();
        let seen = views.map(|(engine, view)| {
            let near = engine % setup.zones == entry % setup.zones;
            let place = backlog::UpstreamInfo { same_zone: near, slots: setup.engine.slots };
            view.candidate(&place, &others, self.now_ms())
        });
        seen.collect()
    }

    fn reaches(&mut self, index: usize) {
        let caller = self.callers[index];
        let Some(Sent { engine, .. }) = caller.sent else { return };
        self.engines[engine].offer(engine::Work {
            caller: index,
            unread_tokens: caller.prompt_tokens,
            prompt_tokens: caller.prompt_tokens,
            unwritten_tokens: caller.answer_tokens,
            written_tokens: 0.0,
        });
        if !self.working[engine] {
            self.begin_pass(engine);
        }
    }

    fn begin_pass(&mut self, engine: usize) {
        let pass = self.engines[engine].begin_pass();
        self.working[engine] = pass.is_some();
        let Some(pass) = pass else { return };
        let said = self.said(engine);
        for caller in pass.begun {
            let begins = Event::Begins { caller, said };
            self.after_us((pass.begun_ms * 1_000.0) as u64 + WAY_MS * 1_000, begins);
        }
        if pass.took_ms > GAP_AIM_MS {
            pass.writing.iter().for_each(|&caller| self.callers[caller].in_time = false);
        }
        self.after_us((pass.took_ms * 1_000.0) as u64, Event::PassEnds { engine });
    }

    fn pass_ends(&mut self, engine: usize) {
        for caller in self.engines[engine].end_pass() {
            self.after_ms(WAY_MS, Event::Ends { caller });
        }
        self.begin_pass(engine);
    }

    fn said(&self, engine: usize) -> Said {
        let (running, waiting) = self.engines[engine].load();
        Said { running: running as u32, waiting: waiting as u32 }
    }

    fn begins(&mut self, index: usize, said: Said) {
        let now_ms = self.now_ms();
        let caller = self.callers[index];
        let Some(sent) = caller.sent.filter(|_| !caller.begun) else { return };
        let view = &mut self.views[caller.entry][sent.engine];
        view.prefill_done(caller.reading_ms);
        let took_ms = (now_ms - sent.at_ms) as f64;
        view.record_first_event(sent.forecast_ms, took_ms, now_ms);
        view.record_report(said.requests(), now_ms);
        self.rules[caller.entry].answered(sent.forecast_ms, took_ms, now_ms);
        let aim_ms = self.setup.kinds[caller.kind].aim_ms;
        self.callers[index].begun = true;
        self.callers[index].in_time = now_ms + WAY_MS - caller.came_ms <= aim_ms;
    }

    fn ends(&mut self, index: usize) {
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
        outcome.large_served += u64::from(caller.is_large);
    }

    fn leaves(&mut self, index: usize, over: bool) {
        let caller = self.callers[index];
        let Some(Sent { engine, .. }) = caller.sent.filter(|_| over || !caller.begun) else {
            return;
        };
        let view = &mut self.views[caller.entry][engine];
        if !caller.begun {
            view.prefill_done(caller.reading_ms);
        }
        view.close_request();
        self.engines[engine].cancel(index);
        self.callers[index].sent = None;
    }

    fn tells(&mut self, engine: usize) {
        let Some(told_ms) = self.setup.told_ms.filter(|_| self.now_ms() < self.until_ms) else {
            return;
        };
        let said = self.said(engine);
        self.after_ms(WAY_MS, Event::Hears { engine, said });
        self.after_ms(told_ms, Event::Tells { engine });
    }

    fn hear(&mut self, engine: usize, said: Said) {
        let now_ms = self.now_ms();
        self.views
            .iter_mut()
            .for_each(|views| views[engine].record_report(said.requests(), now_ms));
    }
}
