//! Requests that share a part of their prompt which ends each engine that begins to answer them.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_node::voter::operate::parts::{self, PartsReply, PartsRequest};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::{Answer, Target},
    engine,
    world::{self, World},
};
use tokio::task;

/// The part that ends engines, and the one that all requests begin with.
const FATAL: &str = "fa7a1";
const COMMON: &str = "c0";
/// Ends after which requests with the part are counted, from this time on.
const ENDS: usize = 5;
const LEARNT: time::Duration = time::Duration::from_secs(3);
/// Requests with the part that may reach engines from then on.
const ALLOWED: usize = 3;
/// Engines of a fleet, by their numbers.
const ENGINES: std::ops::Range<u8> = 20..28;
/// How long an engine is down.
const DOWN: time::Duration = time::Duration::from_millis(700);
/// Callers of sound requests at each entry, and the pause of each between two.
const SOUND_CALLERS: usize = 4;
const SOUND_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Rounds of half a second in which an entry has to hold the part back.
const HOLD_BACK_ROUNDS: usize = 20;

const ENTRY: u8 = 10;
const OTHER_ENTRY: u8 = 11;

struct Fleet {
    world: World,
    voters: Vec<world::Process>,
    entries: Vec<world::Process>,
    engines: Vec<sync::Arc<engine::Engine>>,
    tasks: Vec<task::JoinHandle<()>>,
    /// Sound requests to the first entry and their answers.
    sound: sync::Arc<sync::Mutex<Vec<(time::Instant, Answer)>>>,
    begun: time::Instant,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(task::JoinHandle::abort);
    }
}

/// A fleet whose engines end on the part, with so many voters and these entries, to which sound
/// requests come.
async fn fleet(voters: u8, entries: &[u8]) -> Fleet {
    let world = World::new(&DIALECT, voters);
    let voters = world.first_voters().await.into_values().collect();
    world.install(&world.document(1, None)).await;
    let mut fleet = Fleet {
        world,
        voters,
        entries: Vec::new(),
        engines: Vec::new(),
        tasks: Vec::new(),
        sound: sync::Arc::default(),
        begun: time::Instant::now(),
    };
    for number in ENGINES {
        let engine = fleet.world.engine(number, "models", 1).await;
        engine.stream(12, time::Duration::from_millis(10));
        engine.end_on(Some(engine::Fatal {
            trigger: engine::Trigger::SharedPart(FATAL.to_owned()),
            moment: engine::Moment::Event(1),
            down: DOWN,
        }));
        fleet.tasks.push(fleet.world.announce_restarts(&engine, "models"));
        fleet.engines.push(engine);
    }
    for entry in entries {
        let process = fleet.start_entry(*entry).await;
        fleet.entries.push(process);
        let answers = if *entry == entries[0] { fleet.sound.clone() } else { Default::default() };
        fleet.send_sound(*entry, &answers);
    }
    fleet
}

impl Fleet {
    /// Starts an entry and waits until it serves.
    async fn start_entry(&self, number: u8) -> world::Process {
        let entry = self.world.entry(number).await;
        self.world.ready(number).await;
        world::until("the entry serves", async || {
            Target::STREAMS.ask("warm").answer(self.world.callers(number)).await.status == 200
        })
        .await;
        entry
    }

    /// Sends sound requests to an entry, which share each part with others but their last one.
    fn send_sound(
        &mut self,
        entry: u8,
        answers: &sync::Arc<sync::Mutex<Vec<(time::Instant, Answer)>>>,
    ) {
        for caller in 0..SOUND_CALLERS {
            let (callers, answers) = (self.world.callers(entry), answers.clone());
            self.tasks.push(task::spawn(async move {
                for number in 0.. {
                    let id = format!("{entry}{caller}{number:04}");
                    let parts = [COMMON, &format!("b{caller}"), &id];
                    let sent = time::Instant::now();
                    let answer = Target::STREAMS.ask(&id).with_parts(&parts).answer(callers).await;
                    answers.lock().unwrap().push((sent, answer));
                    tokio::time::sleep(SOUND_INTERVAL).await;
                }
            }));
        }
    }

    /// Statuses of the answers to the sound requests of the last second.
    fn late_sound_statuses(&self) -> Vec<u16> {
        let last = time::Instant::now() - time::Duration::from_secs(1);
        let sound = self.sound.lock().unwrap();
        sound.iter().filter(|(sent, _)| *sent > last).map(|(_, answer)| answer.status).collect()
    }

    /// Sends a request with the part to each of some entries in turn, for so long.
    async fn send_fatal(
        &self,
        entries: &[u8],
        interval: time::Duration,
        for_s: f64,
    ) -> Vec<Answer> {
        let until = time::Instant::now() + time::Duration::from_secs_f64(for_s);
        let mut sent = task::JoinSet::new();
        for entry in entries.iter().cycle() {
            if time::Instant::now() >= until {
                break;
            }
            let callers = self.world.callers(*entry);
            let id = format!("{:06x}", self.begun.elapsed().as_millis());
            sent.spawn(async move {
                let parts = [COMMON, FATAL, &id];
                Target::STREAMS.ask(&id).with_parts(&parts).answer(callers).await
            });
            tokio::time::sleep(interval).await;
        }
        sent.join_all().await
    }

    fn ends(&self) -> Vec<time::Instant> {
        let mut ends: Vec<_> = self.engines.iter().flat_map(|engine| engine.ended_at()).collect();
        ends.sort();
        ends
    }

    /// When requests with the part reached engines.
    fn fatal_arrivals(&self) -> Vec<time::Instant> {
        let arrivals = self.engines.iter().flat_map(|engine| engine.arrivals());
        let is_fatal = |arrival: &engine::Arrival| {
            let list = arrival.headers.get("x-prompt-prefix");
            list.is_some_and(|list| list.to_str().unwrap().contains(FATAL))
        };
        let mut at: Vec<_> = arrivals.filter(is_fatal).map(|arrival| arrival.at).collect();
        at.sort();
        at
    }

    /// Whether an entry refuses a request with the part while it serves sound ones.
    async fn is_held_back(&self, entry: u8) -> bool {
        let before = self.fatal_arrivals().len();
        let (callers, ask) = (self.world.callers(entry), Target::STREAMS.ask("probe"));
        let fatal = ask.clone().with_parts(&[COMMON, FATAL, "e0"]).answer(callers).await;
        let sound = ask.with_parts(&[COMMON, "b0", "e0"]).answer(callers).await;
        (fatal.status, sound.status) == (503, 200) && self.fatal_arrivals().len() == before
    }

    /// Requests with the part that reached engines when all had had the time to learn of it.
    fn beyond_bound(&self) -> usize {
        let ends = self.ends();
        let Some(fifth) = ends.get(ENDS - 1) else {
            return 0;
        };
        self.fatal_arrivals().iter().filter(|at| **at > *fifth + LEARNT).count()
    }
}

/// Requests with the part come for so long, one after each interval.
async fn few_requests_reach_engines(interval: time::Duration, for_s: f64) {
    let fleet = fleet(1, &[ENTRY, OTHER_ENTRY]).await;
    fleet.send_fatal(&[ENTRY, OTHER_ENTRY], interval, for_s).await;
    expect_that!(fleet.ends().len(), ge(3));
    expect_that!(fleet.beyond_bound(), le(ALLOWED));
    let sound = fleet.late_sound_statuses();
    expect_that!(sound.len(), gt(0));
    expect_that!(sound, each(eq(&200)));
}

macro_rules! a_part_that_ends_engines {
    ($($case:ident: $interval_ms:expr, $for_s:expr;)*) => {$(
        /// Guards against one part of prompts that ends one engine after the other.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            few_requests_reach_engines(time::Duration::from_millis($interval_ms), $for_s).await;
        }
    )*};
}

a_part_that_ends_engines! {
    requests_that_come_fast_reach_few_engines_after_the_fifth: 120, 7.0;
    requests_that_come_slowly_reach_few_engines_after_the_fifth: 900, 14.0;
}

/// Sends requests with the part until they are held back at an entry.
async fn until_held_back(fleet: &Fleet, entry: u8) {
    let interval = time::Duration::from_millis(120);
    for _ in 0..HOLD_BACK_ROUNDS {
        let answers = fleet.send_fatal(&[entry], interval, 0.5).await;
        let held_back = answers.last().is_some_and(|answer| answer.status == 503);
        if held_back && fleet.ends().len() >= 3 && fleet.is_held_back(entry).await {
            return;
        }
    }
    panic!("requests with the part go on reaching engines");
}

/// Guards against an entry that starts later and learns of the part by ended engines alone.
#[googletest::test]
#[tokio::test]
async fn an_entry_that_starts_later_sends_no_engine_the_part() {
    let mut fleet = fleet(1, &[ENTRY]).await;
    until_held_back(&fleet, ENTRY).await;
    fleet.entries.remove(0).kill().await;
    let _second = fleet.start_entry(OTHER_ENTRY).await;
    let before = fleet.fatal_arrivals().len();
    fleet.send_fatal(&[OTHER_ENTRY], time::Duration::from_millis(100), 2.0).await;
    expect_that!(fleet.fatal_arrivals().len(), eq(before));
}

/// Guards against a part that is forgotten where all processes end at once.
#[googletest::test]
#[tokio::test]
async fn the_part_is_known_after_all_processes_have_restarted() {
    let mut fleet = fleet(3, &[ENTRY]).await;
    until_held_back(&fleet, ENTRY).await;
    // Voters bring it into their log meanwhile.
    tokio::time::sleep(LEARNT).await;
    for process in fleet.entries.drain(..).chain(fleet.voters.drain(..)) {
        process.kill().await;
    }
    let _voters = [fleet.world.voter(1, false).await, fleet.world.voter(2, false).await];
    for engine in &fleet.engines {
        fleet.world.announce(engine, "models", "ready", 2).await;
    }
    let _entry = fleet.start_entry(ENTRY).await;
    let before = fleet.fatal_arrivals().len();
    fleet.send_fatal(&[ENTRY], time::Duration::from_millis(100), 2.0).await;
    expect_that!(fleet.fatal_arrivals().len(), eq(before));
}

/// Guards against an entry that cannot reach the voters and goes on ending engines.
#[googletest::test]
#[tokio::test]
async fn an_entry_without_voters_holds_the_part_back_by_what_it_saw() {
    let mut fleet = fleet(1, &[ENTRY]).await;
    fleet.voters.remove(0).kill().await;
    fleet.send_fatal(&[ENTRY], time::Duration::from_millis(250), 7.0).await;
    expect_that!(fleet.ends().len(), ge(3));
    expect_that!(fleet.beyond_bound(), le(ALLOWED));
}

/// Guards against sound requests that are held back because engines end by themselves.
#[googletest::test]
#[tokio::test]
async fn engines_that_end_by_themselves_hold_nothing_back() {
    let fleet = fleet(1, &[ENTRY]).await;
    for round in 0..12 {
        tokio::time::sleep(time::Duration::from_millis(250)).await;
        // In every fourth round all of them end, else one.
        let all = round % 4 == 3;
        let ending = fleet.engines.iter().enumerate();
        let ending = ending.filter(|(index, _)| all || *index == round % fleet.engines.len());
        ending.for_each(|(_, engine)| engine.end(time::Duration::from_millis(200)));
    }
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let sound = fleet.late_sound_statuses();
    expect_that!(sound.len(), gt(0));
    expect_that!(sound, each(eq(&200)));
}

/// Guards against a caller that takes a held back request for one that ran, or asks again at once.
#[googletest::test]
#[tokio::test]
async fn a_request_that_is_held_back_did_not_run_and_is_not_asked_for_again_soon() {
    let fleet = fleet(1, &[ENTRY]).await;
    until_held_back(&fleet, ENTRY).await;
    let parts = [COMMON, FATAL, "e4"];
    let ask = Target::STREAMS.ask("held-back").with_parts(&parts);
    let answer = ask.answer(fleet.world.callers(ENTRY)).await;
    expect_that!(answer.status, eq(503));
    let retry_after_s = answer.header("retry-after").and_then(|value| value.parse::<f64>().ok());
    // Longer than its caller waits.
    expect_that!(retry_after_s, some(ge(5.0)));
    let ran = fleet.engines.iter().any(|it| it.arrivals().iter().any(|it| it.id == "held-back"));
    expect_that!(ran, eq(false));
    let own = Target::STREAMS.ask("own").with_parts(&[COMMON, "b0", FATAL]);
    expect_that!(own.answer(fleet.world.callers(ENTRY)).await.status, eq(200));
}

/// Guards against a part that stays held back though engines bear it again.
#[googletest::test]
#[tokio::test]
async fn an_operator_releases_a_part_and_isolates_it_again() {
    let fleet = fleet(1, &[ENTRY]).await;
    until_held_back(&fleet, ENTRY).await;
    fleet.engines.iter().for_each(|engine| engine.end_on(None));
    let (link, _events) = fleet.world.link(1, 99, "operator").await;
    let set = async |isolated: bool| {
        let request = PartsRequest::SetPart { name: FATAL.to_uppercase(), isolated };
        let reply = parts::ask(&link, &request, 2_000).await.unwrap();
        expect_that!(reply, matches_pattern!(PartsReply::Recorded(_)));
    };
    let listed = parts::ask(&link, &PartsRequest::ListParts, 2_000).await.unwrap();
    let PartsReply::Parts(listed) = listed else { panic!("parts are listed") };
    let names: Vec<&str> = listed.verdicts.iter().map(|it| &*it.part.name).collect();
    expect_that!(names, elements_are![eq(&FATAL)]);
    set(false).await;
    let ask = Target::STREAMS.ask("released").with_parts(&[COMMON, FATAL, "e5"]);
    world::until("requests with the part are served", async || {
        ask.answer(fleet.world.callers(ENTRY)).await.status == 200
    })
    .await;
    set(true).await;
    world::until("requests with the part are held back", async || fleet.is_held_back(ENTRY).await)
        .await;
}
