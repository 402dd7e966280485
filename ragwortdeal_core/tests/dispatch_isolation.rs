//! Which part of prompts is isolated, in a model of engines that end on parts and for other
//! reasons.

use std::{collections, net};

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    isolation::{self, evidence, popularity, verdicts},
    prompt,
};
use rand::{RngExt as _, SeedableRng as _};

/// Ends after which requests are counted, from this time on, and how many may come then.
const ENDS: usize = 5;
const LEARNT_MS: u64 = 3_000;
const ALLOWED: usize = 3;
/// Time in which requests come before the first fatal one.
const CALM_MS: u64 = 12_000;
const STEP_MS: u64 = 10;
/// Pause between two judgements.
const JUDGE_MS: u64 = 100;
/// How long an engine is down.
const DOWN_MS: u64 = 1_500;
/// Time to the first event, from the longest to the shortest, and length of an answer.
const FIRST_EVENT_MS: std::ops::Range<u64> = 60..500;
const ANSWER_MS: std::ops::Range<u64> = 500..1_600;
/// Delay of what one process tells another.
const TOLD_MS: std::ops::Range<u64> = 2..60;

/// What ends engines beside parts.
#[derive(Clone, Copy, PartialEq)]
enum Other {
    Nothing,
    /// One engine after the other, with this pause.
    One(u64),
    /// All engines together, with this pause.
    All(u64),
}

#[derive(Clone, Copy)]
struct Play {
    engines: usize,
    entries: usize,
    /// Sound requests in a second.
    sound_per_s: f64,
    /// Fatal requests in a second, of each of the fatal parts.
    fatal_per_s: f64,
    fatal_parts: usize,
    other: Other,
    /// Share of what entries tell that is lost.
    lost: f64,
    for_ms: u64,
}

/// A fleet of the size of the smallest deployments.
const FLEET: Play = Play {
    engines: 20,
    entries: 4,
    sound_per_s: 110.0,
    fatal_per_s: 6.0,
    fatal_parts: 1,
    other: Other::Nothing,
    lost: 0.0,
    for_ms: 30_000,
};

struct Request {
    entry: usize,
    engine: usize,
    parts: Vec<prompt::Part>,
    fatal: bool,
    first_event_ms: u64,
    ends_ms: u64,
    proved: bool,
}

struct Engine {
    boot: u64,
    up_from_ms: u64,
}

enum Told {
    End(usize, evidence::EndReport),
    Proof(prompt::PartId, u64),
}

struct Model {
    play: Play,
    rng: rand_chacha::ChaCha8Rng,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    popularity: Vec<popularity::Popularity>,
    evidence: evidence::Evidence,
    verdicts: verdicts::Verdicts,
    under_way: Vec<(u64, Told)>,
    fatal: Vec<prompt::Part>,
    /// Ends by fatal parts, and arrivals of requests with them, by part.
    ends_ms: Vec<Vec<u64>>,
    arrivals_ms: Vec<Vec<u64>>,
    isolated_at_ms: collections::BTreeMap<prompt::PartId, u64>,
}

impl Model {
    fn new(play: Play, seed: u64) -> Self {
        let fatal = (0..play.fatal_parts).map(|number| prompt::Part::new(&format!("f{number}")));
        Self {
            play,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            engines: (0..play.engines).map(|_| Engine { boot: 0, up_from_ms: 0 }).collect(),
            requests: Vec::new(),
            popularity: vec![popularity::Popularity::default(); play.entries],
            evidence: evidence::Evidence::default(),
            verdicts: verdicts::Verdicts::default(),
            under_way: Vec::new(),
            fatal: fatal.collect(),
            ends_ms: vec![Vec::new(); play.fatal_parts],
            arrivals_ms: vec![Vec::new(); play.fatal_parts],
            isolated_at_ms: collections::BTreeMap::new(),
        }
    }

    fn run(&mut self) {
        for now_ms in (0..CALM_MS + self.play.for_ms).step_by(STEP_MS as usize) {
            self.hear(now_ms);
            self.judge(now_ms);
            self.take_requests(now_ms);
            self.advance(now_ms);
            self.end_by_other_causes(now_ms);
        }
    }

    /// Parts as few routes, dozens of subjects and hundreds of sessions share them.
    fn common_parts(&mut self) -> Vec<prompt::Part> {
        let route = self.rng.random_range(0..3);
        let skewed: f64 = self.rng.random();
        let subject = (skewed.powi(3) * 60.0) as u32;
        let session = self.rng.random_range(0..400);
        let names = [format!("a{route}"), format!("b{route}{subject}"), format!("c{session}")];
        names.iter().map(|name| prompt::Part::new(name)).collect()
    }

    fn take_requests(&mut self, now_ms: u64) {
        let step_s = STEP_MS as f64 / 1_000.0;
        let sound = self.drawn(self.play.sound_per_s * step_s);
        for _ in 0..sound {
            let parts = self.common_parts();
            self.take(parts, None, now_ms);
        }
        for number in 0..self.play.fatal_parts {
            if now_ms >= CALM_MS && self.drawn(self.play.fatal_per_s * step_s) > 0 {
                let mut parts = self.common_parts();
                let place = self.rng.random_range(1..=parts.len());
                parts.insert(place, self.fatal[number].clone());
                parts.truncate(place + 1);
                self.take(parts, Some(number), now_ms);
            }
        }
    }

    fn drawn(&mut self, expected: f64) -> usize {
        let whole = expected as usize;
        whole + usize::from(self.rng.random::<f64>() < expected - whole as f64)
    }

    fn take(&mut self, parts: Vec<prompt::Part>, fatal: Option<usize>, now_ms: u64) {
        let entry = self.rng.random_range(0..self.play.entries);
        self.popularity[entry].record_request(&parts, now_ms);
        if self.verdicts.isolated_of(&parts).is_some() {
            return;
        }
        let up: Vec<_> =
            (0..self.engines.len()).filter(|it| self.engines[*it].up_from_ms <= now_ms).collect();
        if up.is_empty() {
            return;
        }
        if let Some(number) = fatal {
            self.arrivals_ms[number].push(now_ms);
        }
        let engine = up[self.rng.random_range(0..up.len())];
        let first_event_ms = now_ms + self.rng.random_range(FIRST_EVENT_MS);
        let ends_ms = match fatal {
            Some(_) => first_event_ms + self.rng.random_range(20..120),
            None => first_event_ms + self.rng.random_range(ANSWER_MS),
        };
        let fatal = fatal.is_some();
        let request =
            Request { entry, engine, parts, fatal, first_event_ms, ends_ms, proved: false };
        self.requests.push(request);
    }

    fn advance(&mut self, now_ms: u64) {
        let proved_ms = |request: &Request| {
            request.ends_ms.min(request.first_event_ms + isolation::PROVED_AFTER_MS)
        };
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            if !request.fatal && !request.proved && proved_ms(request) <= now_ms {
                self.requests[index].proved = true;
                for part in self.requests[index].parts.clone() {
                    self.tell(Told::Proof(part.id, now_ms), now_ms);
                }
            }
        }
        while let Some(index) = self.requests.iter().position(|it| it.fatal && it.ends_ms <= now_ms)
        {
            let engine = self.requests[index].engine;
            let parts = self.requests[index].parts.clone();
            let numbers = 0..self.fatal.len();
            let number = numbers.into_iter().find(|it| parts.contains(&self.fatal[*it])).unwrap();
            self.ends_ms[number].push(now_ms);
            self.end(engine, now_ms);
        }
        self.requests.retain(|request| request.fatal || request.ends_ms > now_ms);
    }

    fn end_by_other_causes(&mut self, now_ms: u64) {
        let due = |pause_ms: u64| now_ms > 0 && now_ms.is_multiple_of(pause_ms);
        match self.play.other {
            Other::One(pause_ms) if due(pause_ms) => {
                let engine = self.rng.random_range(0..self.engines.len());
                self.end(engine, now_ms);
            }
            Other::All(pause_ms) if due(pause_ms) => {
                (0..self.engines.len()).for_each(|engine| self.end(engine, now_ms));
            }
            _ => (),
        }
    }

    /// Ends an engine, and tells what ran there and had not been proved.
    fn end(&mut self, engine: usize, now_ms: u64) {
        if self.engines[engine].up_from_ms > now_ms {
            return;
        }
        let boot = evidence::Boot {
            instance: format!("engine-{engine}").into(),
            born_ms: self.engines[engine].boot,
        };
        self.engines[engine].boot += 1;
        self.engines[engine].up_from_ms = now_ms + DOWN_MS;
        let (there, elsewhere): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.requests).into_iter().partition(|it| it.engine == engine);
        self.requests = elsewhere;
        let is_suspect = |request: &Request| {
            now_ms < request.first_event_ms + isolation::SUSPECTED_UNTIL_MS && !request.proved
        };
        for entry in 0..self.play.entries {
            let own: Vec<_> =
                there.iter().filter(|it| it.entry == entry && is_suspect(it)).collect();
            if own.is_empty() {
                continue;
            }
            let parts: collections::BTreeMap<_, _> =
                own.iter().flat_map(|it| &it.parts).map(|part| (part.id, part.clone())).collect();
            let share = |part: &prompt::Part| self.popularity[entry].share(part.id);
            let suspects = parts
                .into_values()
                .map(|part| evidence::Suspect { share: share(&part), part })
                .collect();
            let requests = own.len() as u32;
            let boot = boot.clone();
            let present = Vec::new();
            let report = evidence::EndReport { boot, age_ms: 0, requests, suspects, present };
            self.tell(Told::End(entry, report), now_ms);
        }
    }

    fn tell(&mut self, told: Told, now_ms: u64) {
        if self.rng.random::<f64>() < self.play.lost {
            return;
        }
        let at_ms = now_ms + self.rng.random_range(TOLD_MS);
        self.under_way.push((at_ms, told));
    }

    fn hear(&mut self, now_ms: u64) {
        let under_way = std::mem::take(&mut self.under_way);
        let (due, later): (Vec<_>, Vec<_>) =
            under_way.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.under_way = later;
        for (_, told) in due {
            match told {
                Told::End(entry, report) => {
                    let teller = net::Ipv4Addr::from_bits(entry as u32);
                    let is_isolated = |part| self.verdicts.is_isolated(part);
                    self.evidence.record_end(teller, &report, is_isolated, now_ms);
                }
                Told::Proof(part, at_ms) => {
                    self.evidence.record_proof(part, now_ms - at_ms, now_ms);
                }
            }
        }
    }

    fn judge(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(JUDGE_MS) {
            return;
        }
        while let Some(charge) = self.evidence.verdict(now_ms) {
            let part = charge.part.id;
            let verdict = self.verdicts.change(charge.part, true, charge.ends);
            self.verdicts.merge([verdict]);
            self.evidence.record_isolated(part);
            self.isolated_at_ms.insert(part, now_ms);
        }
    }

    /// Requests with one of the fatal parts that came when all had had the time to learn of it.
    fn beyond_bound(&self, number: usize) -> usize {
        let Some(fifth_ms) = self.ends_ms[number].get(ENDS - 1) else {
            return 0;
        };
        self.arrivals_ms[number].iter().filter(|at_ms| **at_ms > fifth_ms + LEARNT_MS).count()
    }

    fn falsely_isolated(&self) -> Vec<String> {
        let fatal: Vec<_> = self.fatal.iter().map(|part| part.id).collect();
        let isolated = self.verdicts.all().filter(|it| it.isolated);
        let falsely = isolated.filter(|it| !fatal.contains(&it.part.id));
        falsely.map(|it| it.part.name.to_string()).collect()
    }
}

/// Plays a fleet with many seeds.
fn fatal_parts_are_isolated_alone(play: Play) {
    let (mut beyond, mut falsely, mut ends) = (Vec::new(), Vec::new(), 0);
    for seed in 0..SEEDS {
        let mut model = Model::new(play, seed);
        model.run();
        let most = (0..play.fatal_parts).map(|number| model.beyond_bound(number)).max();
        if most.unwrap_or(0) > ALLOWED {
            beyond.push((seed, most));
        }
        falsely.extend(model.falsely_isolated().into_iter().map(|part| (seed, part)));
        ends += model.ends_ms.iter().map(Vec::len).sum::<usize>();
    }
    println!("{ends} ends in {SEEDS} plays");
    expect_that!(beyond, is_empty());
    expect_that!(falsely, is_empty());
}

/// Plays of each fleet.
const SEEDS: u64 = 40;

macro_rules! fatal_parts {
    ($($(#[$doc:meta])* $case:ident: $play:expr;)*) => {$(
        $(#[$doc])*
        #[googletest::test]
        fn $case() {
            fatal_parts_are_isolated_alone($play);
        }
    )*};
}

fatal_parts! {
    /// Guards against requests with one part that end engine after engine.
    one_part_is_isolated: FLEET;
    /// Guards against a part that is not found because its requests are rare.
    a_part_of_rare_requests_is_isolated: Play { fatal_per_s: 0.4, for_ms: 60_000, ..FLEET };
    /// Guards against a part that ends nearly all engines before it is found.
    a_part_of_many_requests_is_isolated: Play { fatal_per_s: 25.0, ..FLEET };
    /// Guards against a second part that hides behind the first one.
    three_parts_at_once_are_isolated: Play { fatal_parts: 3, fatal_per_s: 3.0, ..FLEET };
    /// Guards against ends by other causes that hide the part.
    a_part_is_isolated_beside_engines_that_end_one_by_one: Play { other: Other::One(700), ..FLEET };
    /// Guards against sound parts that were there when all engines ended together.
    a_part_is_isolated_beside_engines_that_end_together: Play { other: Other::All(6_000), ..FLEET };
    /// Guards against parts that are isolated because engines end by themselves.
    nothing_is_isolated_where_engines_end_one_by_one:
        Play { fatal_parts: 0, other: Other::One(150), for_ms: 60_000, ..FLEET };
    /// Guards against parts that are isolated because engines lose power together.
    nothing_is_isolated_where_engines_end_together:
        Play { fatal_parts: 0, other: Other::All(2_000), for_ms: 60_000, ..FLEET };
    /// Guards against verdicts that need all of what entries tell.
    a_part_is_isolated_where_a_third_of_the_words_is_lost: Play { lost: 0.3, ..FLEET };
    /// Guards against a single entry that sees too little.
    a_part_is_isolated_by_one_entry: Play { entries: 1, sound_per_s: 30.0, fatal_per_s: 2.0, ..FLEET };
    /// Guards against figures that fit small fleets alone.
    a_part_is_isolated_in_a_large_fleet:
        Play { engines: 180, entries: 39, sound_per_s: 700.0, fatal_per_s: 12.0, for_ms: 10_000, ..FLEET };
    /// Guards against few engines, each of which has all parts.
    a_part_is_isolated_among_few_engines:
        Play { engines: 4, sound_per_s: 30.0, fatal_per_s: 1.5, ..FLEET };
}
