//! Levels of requests, and their order and the shares of accounts at the gate under load.

mod figures;

use googletest::prelude::*;
use ragwortdeal_core::{
    dispatch::{
        caller_time::CallerTime,
        choice::Candidate,
        forecast::LatencyModel,
        gate::{Choice, Gate, Rejection, Work},
        priority::{Class, Level, Levels},
    },
    document::{self, Document, RetryPolicy, Route, Target, Text},
};
use rand::{RngExt as _, SeedableRng as _};

const ENGINES: usize = 8;

/// Requests of the first seconds find empty engines and do not count.
const COUNTED_FROM_MS: u64 = 3_000;

fn route(priority: u8) -> Route {
    Route {
        name: format!("route-{priority}").as_str().into(),
        host: "a.example".into(),
        prefix: "/".into(),
        retry_policy: RetryPolicy::Idempotent,
        streams: true,
        timeout_ms: 5_000,
        objective_ms: 400,
        gap_objective_ms: None,
        priority,
        targets: vec![Target { service: "chat".into(), weight: 1 }],
        attempts_max: 2,
        public: false,
        affinity: false,
        allowed_regions: Vec::new(),
    }
}

fn account(priority: Option<u8>) -> document::Account {
    document::Account {
        name: "one".into(),
        keys: Vec::new(),
        priority,
        allowed_regions: Vec::new(),
    }
}

fn levels(routes: &[u8], accounts: &[Option<u8>]) -> Option<Levels> {
    let document = Document {
        routes: routes.iter().map(|priority| route(*priority)).collect(),
        accounts: accounts.iter().map(|priority| account(*priority)).collect(),
        ..Document::default()
    };
    Levels::new(&document, "chat")
}

macro_rules! level_of_pair {
    ($($(#[$guards:meta])* $name:ident:
        $routes:expr, $accounts:expr, ($account:expr, $route:expr) => $number:expr;)*) => {
        $(
            $(#[$guards])*
            #[googletest::test]
            fn $name() {
                let levels = levels(&$routes, &$accounts);
                let level = levels.map(|it| it.level($account.as_ref(), &route($route)).number());
                expect_that!(level, eq($number));
            }
        )*
    };
}

level_of_pair! {
    /// Guards against an order in deployments whose routes are all alike.
    accounts_alone_make_no_levels: [3], [Some(0), Some(1)], (Some(account(Some(1))), 3) => None;
    levels_are_dense: [7, 2], [Some(9)], (Some(account(Some(9))), 7) => Some(1);
    /// Guards against a route's priority that goes before an account's.
    an_account_goes_before_a_route:
        [0, 1, 2], [Some(0), Some(1)], (Some(account(Some(0))), 2) => Some(2);
    an_account_without_priority_is_least_urgent:
        [0, 1], [Some(0), None, Some(4)], (Some(account(None)), 0) => Some(2);
    an_anonymous_caller_is_least_urgent: [0, 1], [Some(0), Some(4)], (None, 1) => Some(3);
    routes_make_levels_without_accounts: [0, 1], [], (None, 1) => Some(1);
    /// Guards against a header of more than one digit.
    pairs_beyond_the_last_level_share_it:
        [0, 1, 2, 3, 4, 5], [Some(0), Some(1)], (Some(account(Some(1))), 5) => Some(9);
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
struct Stream {
    level: Option<usize>,
    account: &'static str,
    /// Milliseconds that its callers wait for the first event.
    time_ms: f64,
    /// Prefill time as a multiple of that of a mean prompt.
    prompt: f64,
    /// Rates as fractions of the capacity, each from a time in milliseconds on.
    load: [(u64, f64); 3],
}

fn stream(level: usize, time_ms: f64, load: f64) -> Stream {
    let load = [(0, load); 3];
    Stream { level: Some(level), account: "one", time_ms, prompt: 1.0, load }
}

/// Fractions of the requests of each stream that are admitted, and requests admitted in all.
#[derive(Debug)]
struct Outcome {
    admitted: Vec<f64>,
    total: u64,
}

/// Engines that serve their requests in the order of arrival, and one entry.
struct Model {
    gate: Gate,
    latency_model: LatencyModel,
    /// When each slot of each engine becomes free.
    free_at_ms: Vec<Vec<f64>>,
    /// Ends of unread prompts and their prefill times, by engine.
    unread: Vec<Vec<(f64, f64)>>,
    /// Ends of open requests, by engine.
    open: Vec<Vec<f64>>,
}

impl Model {
    fn new() -> Self {
        let engine = figures::engine();
        Self {
            gate: Gate::default(),
            latency_model: LatencyModel::new(&engine),
            free_at_ms: vec![vec![0.0; engine.slots as usize]; ENGINES],
            unread: vec![Vec::new(); ENGINES],
            open: vec![Vec::new(); ENGINES],
        }
    }

    fn capacity_per_s(&self) -> f64 {
        let engine_ms = self.latency_model.engine_ms(self.latency_model.mean_prefill_ms());
        ENGINES as f64 * 1_000.0 / engine_ms
    }

    fn request(
        &mut self,
        stream: &Stream,
        now_ms: u64,
        draw: u64,
    ) -> std::result::Result<usize, Rejection> {
        let now = now_ms as f64;
        self.unread.iter_mut().for_each(|unread| unread.retain(|(end_ms, _)| *end_ms > now));
        self.open.iter_mut().for_each(|open| open.retain(|end_ms| *end_ms > now));
        let candidates: Vec<_> = (0..ENGINES)
            .map(|engine| Candidate {
                open: self.open[engine].len() as u32,
                slots: self.free_at_ms[engine].len() as u32,
                same_zone: true,
                prefill_ms: self.unread[engine].iter().map(|(_, prefill_ms)| prefill_ms).sum(),
                ..Candidate::default()
            })
            .collect();
        let account = Text::from(stream.account);
        let class = |number| Class { level: Level::new(number), account: Some(&account) };
        let work = Work {
            latency_model: self.latency_model,
            time: CallerTime { first_event_ms: stream.time_ms, answer_ms: 6_000.0 },
            pause_max_ms: 0,
            answer_tokens: self.latency_model.mean_answer_tokens(),
            prefill_ms: stream.prompt * self.latency_model.mean_prefill_ms(),
            admitted: false,
            class: stream.level.map(class),
        };
        let Choice { engine, .. } = self.gate.choose(&candidates, &work, now_ms, draw)?;
        let slots = self.free_at_ms[engine].iter_mut();
        let slot = slots.min_by(|a, b| a.total_cmp(b)).expect("engines have slots");
        let begin_ms = slot.max(now);
        let held_ms = self.latency_model.engine_ms(work.prefill_ms) * candidates[0].slots as f64;
        *slot = begin_ms + held_ms;
        self.open[engine].push(begin_ms + held_ms);
        self.unread[engine].push((begin_ms + work.prefill_ms, work.prefill_ms));
        Ok(engine)
    }

    fn run(&mut self, streams: &[Stream], until_ms: u64, seed: u64) -> Outcome {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut counts = vec![(0_u64, 0_u64); streams.len()];
        for now_ms in 0..until_ms {
            for (stream, (requests, admitted)) in streams.iter().zip(&mut counts) {
                let load = stream.load.iter().rev().find(|(from_ms, _)| *from_ms <= now_ms);
                let rate_per_s = load.map_or(0.0, |(_, load)| *load) * self.capacity_per_s();
                if random.random::<f64>() >= rate_per_s / 1_000.0 {
                    continue;
                }
                let chosen = self.request(stream, now_ms, random.random());
                if now_ms >= COUNTED_FROM_MS {
                    *requests += 1;
                    *admitted += u64::from(chosen.is_ok());
                }
            }
        }
        let fraction =
            |(requests, admitted): &(u64, u64)| *admitted as f64 / (*requests).max(1) as f64;
        Outcome {
            admitted: counts.iter().map(fraction).collect(),
            total: counts.iter().map(|(_, admitted)| admitted).sum(),
        }
    }
}

fn run(streams: &[Stream], seed: u64) -> Outcome {
    Model::new().run(streams, 20_000, seed)
}

fn without_levels(streams: &[Stream]) -> Vec<Stream> {
    streams.iter().map(|stream| Stream { level: None, ..*stream }).collect()
}

/// Guards against a burst of requests of patient callers that fills engines and starves a steady
/// kind of less patient ones, and against an order that starves the burst in turn.
#[googletest::test]
fn a_burst_of_a_less_urgent_level_leaves_a_steady_one_its_room() {
    let urgent = Stream { prompt: 1.5, ..stream(0, 2_300.0, 0.5) };
    let burst = Stream { load: [(0, 0.4), (5_000, 1.0), (11_000, 0.4)], ..stream(1, 3_100.0, 0.0) };
    for seed in 1..=3 {
        let ordered = run(&[urgent, burst], seed);
        let unordered = run(&without_levels(&[urgent, burst]), seed);
        expect_that!(ordered.admitted[0], ge(0.95), "seed {seed}");
        expect_that!(unordered.admitted[0], lt(0.95), "seed {seed}: the load is too light");
        expect_that!(ordered.admitted[1], ge(0.25 * unordered.admitted[1]), "seed {seed}");
        expect_that!(ordered.total as f64, ge(0.9 * unordered.total as f64), "seed {seed}");
    }
}

/// Guards against a least urgent level that gets nothing while more urgent ones fill all engines.
#[googletest::test]
fn the_least_urgent_level_keeps_a_quarter_of_its_share() {
    let streams = [stream(0, 2_300.0, 1.0), stream(1, 2_300.0, 0.5), stream(2, 2_300.0, 0.5)];
    for seed in 1..=3 {
        let ordered = run(&streams, seed);
        let unordered = run(&without_levels(&streams), seed);
        expect_that!(ordered.admitted[2], ge(0.25 * unordered.admitted[2]), "seed {seed}");
        expect_that!(ordered.admitted[0], gt(ordered.admitted[1]), "seed {seed}");
    }
}

/// Guards against refusing a middle level before the least urgent one.
#[googletest::test]
fn levels_are_refused_from_the_least_urgent_on() {
    let streams = [stream(0, 2_300.0, 0.4), stream(1, 2_300.0, 0.4), stream(2, 3_100.0, 0.6)];
    for seed in 1..=3 {
        let admitted = run(&streams, seed).admitted;
        expect_that!(admitted[0], gt(admitted[1]), "seed {seed}");
        expect_that!(admitted[1], gt(admitted[2]), "seed {seed}");
    }
}

/// Guards against room that is reserved for levels that nobody requests.
#[googletest::test]
fn a_level_that_is_alone_uses_everything() {
    let streams = [stream(5, 3_100.0, 1.5)];
    let decided = |streams: &[Stream]| run(streams, 1).total;
    expect_that!(decided(&streams), eq(decided(&without_levels(&streams))));
}

/// Guards against refusing the most urgent requests where capacity suffices for them.
#[googletest::test]
fn a_swing_of_the_load_costs_the_most_urgent_level_nothing() {
    let swing = |level, time_ms, load: f64| Stream {
        load: [(0, load), (6_000, 1.22 * load), (13_000, 0.78 * load)],
        ..stream(level, time_ms, 0.0)
    };
    for seed in 1..=3 {
        let outcome =
            run(&[swing(0, 2_300.0, 0.4), swing(1, 2_300.0, 0.3), swing(2, 3_100.0, 0.3)], seed);
        expect_that!(outcome.admitted[0], ge(0.95), "seed {seed}");
        expect_that!(outcome.admitted[2], ge(0.25), "seed {seed}");
    }
}

/// Guards against an account that crowds out the others of its level.
#[googletest::test]
fn an_account_with_half_of_the_traffic_is_refused_first() {
    let large = stream(0, 2_300.0, 0.65);
    let names = ["a", "b", "c", "d", "e"];
    let small = names.map(|account| Stream { account, ..stream(0, 2_300.0, 0.13) });
    let streams: Vec<_> = std::iter::once(large).chain(small).collect();
    for seed in 1..=3 {
        let outcome = run(&streams, seed);
        let refused = outcome.admitted.iter().map(|admitted| 1.0 - admitted);
        let refused: Vec<_> = refused.collect();
        let mean = refused[1..].iter().sum::<f64>() / names.len() as f64;
        expect_that!(mean, le(0.5 * refused[0]), "seed {seed}: {refused:?}");
        let unordered = run(&without_levels(&streams), seed).total;
        expect_that!(outcome.total as f64, ge(0.9 * unordered as f64), "seed {seed}");
    }
}

/// Callers of the least urgent level that were refused last come back after a second at the
/// earliest. Guards against refusing them once more when the burst is over.
#[googletest::test]
fn a_refused_level_comes_back_within_its_retry_after() {
    let mut model = Model::new();
    let burst = stream(0, 2_300.0, 1.8);
    let low = Stream { prompt: 0.6, ..stream(1, 3_100.0, 0.4) };
    model.run(&[burst, low], 5_000, 1);
    let returned: Vec<_> = (6_000..7_000)
        .step_by(100)
        .map(|now_ms| model.request(&low, now_ms, now_ms).is_ok())
        .collect();
    expect_that!(returned, each(eq(&true)));
}

/// Guards against a least urgent level whose requests are sent and never started, as engines start
/// more urgent ones first.
#[googletest::test]
fn requests_of_the_minimum_share_are_started_first() {
    let mut gate = Gate::default();
    let latency_model = LatencyModel::new(&figures::engine());
    let full = Candidate { open: 20, slots: 16, same_zone: true, ..Candidate::default() };
    let account = Text::from("one");
    let mut decide = |level: usize, now_ms: u64| {
        let work = Work {
            latency_model,
            time: CallerTime { first_event_ms: 2_300.0, answer_ms: 6_000.0 },
            pause_max_ms: 0,
            prefill_ms: latency_model.mean_prefill_ms(),
            answer_tokens: latency_model.mean_answer_tokens(),
            admitted: false,
            class: Some(Class { level: Level::new(level), account: Some(&account) }),
        };
        gate.choose(&[full], &work, now_ms, 0)
    };
    (0..200).for_each(|request| _ = decide(0, 5_000 + request * 10));
    let least_urgent: Vec<_> =
        (0..40).filter_map(|request| decide(1, 7_000 + request).ok()).collect();
    expect_that!(least_urgent.len(), gt(0));
    let started_first = least_urgent.iter().filter(|choice| choice.starts_first).count();
    expect_that!(started_first, eq(least_urgent.len()));
}

/// Guards against a deployment with one priority whose requests are decided on otherwise than
/// without levels.
#[googletest::test]
fn one_priority_decides_as_a_gate_without_levels() {
    let levels = levels(&[4, 4], &[Some(0), Some(1)]);
    let number = levels.map(|it| it.level(Some(&account(Some(1))), &route(4)).number());
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let (mut plain, mut leveled, mut alone) = (Model::new(), Model::new(), Model::new());
    let mut refused = 0;
    for now_ms in (0..20_000).step_by(8) {
        let without = Stream { prompt: 2.0 * random.random::<f64>(), ..stream(0, 2_300.0, 0.0) };
        let without = Stream { level: None, ..without };
        let draw = random.random();
        let expected = plain.request(&without, now_ms, draw);
        let of_document = Stream { level: number, ..without };
        expect_that!(leveled.request(&of_document, now_ms, draw), eq(expected));
        let of_one_level = Stream { level: Some(0), ..without };
        expect_that!(alone.request(&of_one_level, now_ms, draw), eq(expected));
        refused += u32::from(expected.is_err());
    }
    expect_that!(refused, gt(0));
}
