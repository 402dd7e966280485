//! Requests under which one upstream after the other ends, although they share nothing with others.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::{Answer, Ask, Target},
    engine::{self, Moment},
    world::{self, World},
};
use tokio::task;

/// Ends of upstreams under a request after which it may reach no other one.
const ENDS: usize = 3;
/// Upstreams of a fleet, by their numbers.
const UPSTREAMS: std::ops::Range<u8> = 20..40;
/// How long an upstream is down.
const DOWN: time::Duration = time::Duration::from_millis(700);
/// Attempts of the caller.
const ATTEMPTS: usize = 9;
/// Time in which upstreams end and their ends become known.
const SETTLED: time::Duration = time::Duration::from_millis(1_500);
/// Time within which sound requests are served after upstreams have ended.
const RECOVERY: time::Duration = time::Duration::from_secs(3);
/// Last part of the prompt of streams.
const OWN_PART: &str = "0e11";
/// In the path of each request that ends upstreams.
const FATAL: &str = "fatal";

const ENTRY: u8 = 10;
const OTHER_ENTRY: u8 = 11;

/// How the caller sends its attempts.
#[derive(Clone, Copy, Debug)]
enum Attempts {
    /// Each as soon as the one before has ended.
    OneAfterTheOther,
    /// Each so long after the one before was sent.
    Every(time::Duration),
    /// All of them together.
    AtOnce,
}

const EVERY: Attempts = Attempts::Every(time::Duration::from_millis(400));

struct Fleet {
    world: World,
    voters: Vec<world::Process>,
    entries: Vec<world::Process>,
    upstreams: Vec<sync::Arc<engine::Engine>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(task::JoinHandle::abort);
    }
}

/// A fleet with so many voters and upstreams that take requests of this kind.
async fn fleet(target: Target, voters: u8, upstreams: std::ops::Range<u8>) -> Fleet {
    let world = World::new(&DIALECT, voters);
    let voters = world.first_voters().await.into_values().collect();
    world.install(&world.document(1, None)).await;
    let mut fleet =
        Fleet { world, voters, entries: Vec::new(), upstreams: Vec::new(), tasks: Vec::new() };
    for number in upstreams {
        let engine = fleet.world.engine(number, target.service, target.weights()).await;
        engine.stream(12, time::Duration::from_millis(10));
        fleet.tasks.push(fleet.world.announce_restarts(&engine, target.service));
        fleet.upstreams.push(engine);
    }
    for entry in [ENTRY, OTHER_ENTRY] {
        let process = fleet.start_entry(target, entry).await;
        fleet.entries.push(process);
    }
    fleet
}

/// A request of this kind under which upstreams end.
fn fatal(target: Target, id: &str) -> Ask {
    let ask = target.ask(id).with_parts(&["c0", "b0", OWN_PART]);
    Ask { path: format!("{}/{FATAL}", ask.path), ..ask }
}

impl Fleet {
    /// Starts an entry and waits until it serves.
    async fn start_entry(&self, target: Target, number: u8) -> world::Process {
        let entry = self.world.entry(number).await;
        self.world.ready(number).await;
        world::until("the entry serves", async || {
            target.ask("warm").answer(self.world.callers(number)).await.status == 200
        })
        .await;
        entry
    }

    /// Lets all upstreams end on requests with the path of a fatal one.
    fn end_on_path(&self, moment: Moment) {
        let trigger = engine::Trigger::Path(FATAL.to_owned());
        self.end_on(trigger, moment);
    }

    fn end_on(&self, trigger: engine::Trigger, moment: Moment) {
        let fatal = engine::Fatal { trigger, moment, down: DOWN };
        self.upstreams.iter().for_each(|engine| engine.end_on(Some(fatal.clone())));
    }

    /// Sends one request again and again, each attempt at the next entry.
    async fn send(&self, target: Target, attempts: Attempts) -> Vec<Answer> {
        let mut sent = task::JoinSet::new();
        let mut answers = Vec::new();
        for (number, entry) in [ENTRY, OTHER_ENTRY].iter().cycle().take(ATTEMPTS).enumerate() {
            let callers = self.world.callers(*entry);
            let ask = fatal(target, &format!("attempt-{number}"));
            sent.spawn(async move { ask.answer(callers).await });
            match attempts {
                Attempts::OneAfterTheOther => {
                    answers.extend(sent.join_next().await.and_then(Result::ok));
                }
                Attempts::Every(pause) => tokio::time::sleep(pause).await,
                Attempts::AtOnce => (),
            }
        }
        answers.extend(sent.join_all().await);
        answers
    }

    fn ends(&self) -> Vec<time::Instant> {
        let mut ends: Vec<_> = self.upstreams.iter().flat_map(|it| it.ended_at()).collect();
        ends.sort();
        ends
    }

    /// When fatal requests reached upstreams.
    fn fatal_arrivals(&self) -> Vec<time::Instant> {
        let arrivals = self.upstreams.iter().flat_map(|it| it.arrivals());
        arrivals.filter(|it| it.path.contains(FATAL)).map(|it| it.at).collect()
    }

    /// Arrivals at upstreams after three of them had ended.
    fn sent_after_third_end(&self) -> usize {
        let Some(third) = self.ends().get(ENDS - 1).copied() else {
            return 0;
        };
        self.fatal_arrivals().iter().filter(|at| **at > third).count()
    }

    /// Whether an entry refuses the request without sending it to an upstream.
    async fn is_refused(&self, target: Target, entry: u8) -> bool {
        let before = self.fatal_arrivals().len();
        let answer = fatal(target, "refused").answer(self.world.callers(entry)).await;
        answer.status == 503 && self.fatal_arrivals().len() == before
    }
}

/// One request comes to a fleet whose upstreams end under it.
async fn no_upstream_ends_after_the_third(target: Target, moment: Moment, attempts: Attempts) {
    let fleet = fleet(target, 1, UPSTREAMS).await;
    fleet.end_on_path(moment);
    let answers = fleet.send(target, attempts).await;
    tokio::time::sleep(SETTLED).await;
    let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
    let ends = fleet.ends();
    let begun = ends.first().copied().unwrap_or_else(time::Instant::now);
    let after = |at: &time::Instant| at.saturating_duration_since(begun).as_millis();
    println!("ends {:?}, answers {statuses:?}", ends.iter().map(after).collect::<Vec<_>>());
    expect_that!(ends.len(), ge(2));
    expect_that!(fleet.sent_after_third_end(), eq(0));
    expect_that!(fleet.is_refused(target, OTHER_ENTRY).await, eq(true));
    expect_that!(target.ask("sound").answer(fleet.world.callers(ENTRY)).await.status, eq(200));
}

const AT_ONCE: Moment = Moment::BeforeAnswer(time::Duration::ZERO);
const SOON: Moment = Moment::BeforeAnswer(time::Duration::from_millis(60));
const LATE: Moment = Moment::BeforeAnswer(time::Duration::from_millis(1_200));
const FIRST_EVENT: Moment = Moment::Event(1);
const FIFTH_EVENT: Moment = Moment::Event(5);

macro_rules! a_request_that_ends_upstreams {
    ($($case:ident: $target:ident, $moment:expr, $attempts:expr;)*) => {$(
        /// Guards against one request under which one upstream ends after the other.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            no_upstream_ends_after_the_third(Target::$target, $moment, $attempts).await;
        }
    )*};
}

a_request_that_ends_upstreams! {
    a_stream_that_returns_ends_three_engines:
        STREAMS, FIRST_EVENT, Attempts::OneAfterTheOther;
    a_stream_that_comes_every_400_ms_ends_three_engines: STREAMS, FIRST_EVENT, EVERY;
    a_stream_that_is_read_ends_three_engines: STREAMS, SOON, EVERY;
    a_stream_that_ends_engines_later_ends_three: STREAMS, FIFTH_EVENT, Attempts::OneAfterTheOther;
    a_stream_that_comes_nine_times_at_once_ends_no_more_engines:
        STREAMS, FIRST_EVENT, Attempts::AtOnce;
    a_stream_that_ends_engines_while_it_waits_ends_no_more:
        STREAMS, LATE, EVERY;
    a_read_that_returns_ends_three_upstreams: READS, SOON, Attempts::OneAfterTheOther;
    a_read_that_ends_upstreams_at_once_ends_three: READS, AT_ONCE, Attempts::OneAfterTheOther;
    a_read_that_comes_every_400_ms_ends_three_upstreams: READS, SOON, EVERY;
    a_read_that_comes_nine_times_at_once_ends_no_more_upstreams: READS, SOON, Attempts::AtOnce;
    a_read_that_ends_upstreams_late_ends_no_more: READS, LATE, EVERY;
    a_transfer_that_returns_ends_three_upstreams: TRANSFERS, SOON, Attempts::OneAfterTheOther;
    a_transfer_that_comes_every_400_ms_ends_three_upstreams: TRANSFERS, SOON, EVERY;
}

/// Guards against a request that is told from others by its path alone.
#[googletest::test]
#[tokio::test]
async fn a_stream_with_another_prompt_is_served() {
    let target = Target::STREAMS;
    let fleet = fleet(target, 1, UPSTREAMS).await;
    let trigger = engine::Trigger::OwnPart(OWN_PART.to_owned());
    fleet.end_on(trigger, FIRST_EVENT);
    fleet.send(target, Attempts::OneAfterTheOther).await;
    expect_that!(fleet.sent_after_third_end(), eq(0));
    let other = fatal(target, "other").with_parts(&["c0", "b0", "0ther"]);
    expect_that!(other.answer(fleet.world.callers(ENTRY)).await.status, eq(200));
}

/// Guards against a request that is forgotten where all processes end at once.
#[googletest::test]
#[tokio::test]
async fn the_request_is_known_after_all_processes_have_restarted() {
    let target = Target::READS;
    let mut fleet = fleet(target, 3, UPSTREAMS).await;
    fleet.end_on_path(SOON);
    fleet.send(target, Attempts::OneAfterTheOther).await;
    // Voters bring it into their log meanwhile.
    tokio::time::sleep(SETTLED * 2).await;
    for process in fleet.entries.drain(..).chain(fleet.voters.drain(..)) {
        process.kill().await;
    }
    let _voters = [fleet.world.voter(1, false).await, fleet.world.voter(2, false).await];
    for engine in &fleet.upstreams {
        fleet.world.announce(engine, target.service, "ready", 2).await;
    }
    let _entry = fleet.start_entry(target, ENTRY).await;
    expect_that!(fleet.is_refused(target, ENTRY).await, eq(true));
}

/// Guards against entries that forget what they saw alone at each of their starts in series.
#[googletest::test]
#[tokio::test]
async fn entries_that_start_in_series_send_the_request_no_further() {
    let target = Target::READS;
    let mut fleet = fleet(target, 1, UPSTREAMS).await;
    fleet.end_on_path(SOON);
    for number in 0..4 {
        fatal(target, &format!("{number}")).answer(fleet.world.callers(ENTRY)).await;
        fleet.entries.remove(0).kill().await;
        let process = fleet.start_entry(target, ENTRY).await;
        fleet.entries.insert(0, process);
    }
    expect_that!(fleet.sent_after_third_end(), eq(0));
}

/// Guards against an entry that reaches no voter and sends the request on and on.
#[googletest::test]
#[tokio::test]
async fn an_entry_without_voters_sends_the_request_no_further() {
    let target = Target::STREAMS;
    let mut fleet = fleet(target, 1, UPSTREAMS).await;
    fleet.entries.pop().expect("two entries").kill().await;
    fleet.voters.remove(0).kill().await;
    fleet.end_on_path(FIRST_EVENT);
    for number in 0..ATTEMPTS {
        let ask = fatal(target, &format!("attempt-{number}"));
        ask.answer(fleet.world.callers(ENTRY)).await;
    }
    expect_that!(fleet.ends().len(), eq(ENDS));
    expect_that!(fleet.sent_after_third_end(), eq(0));
}

/// Guards against a caller that takes the refused request for one that ran, or returns at once.
#[googletest::test]
#[tokio::test]
async fn the_refusal_promises_that_it_did_not_run_and_names_a_time() {
    let target = Target::READS;
    let fleet = fleet(target, 1, UPSTREAMS).await;
    fleet.end_on_path(SOON);
    fleet.send(target, Attempts::OneAfterTheOther).await;
    let answer = fatal(target, "last").answer(fleet.world.callers(ENTRY)).await;
    expect_that!(answer.status, eq(503));
    let retry_after_s = answer.header("retry-after").and_then(|value| value.parse::<f64>().ok());
    // Longer than its caller waits.
    expect_that!(retry_after_s, some(ge(5.0)));
}

/// Sends a sound request until it is answered, and returns whether it is in good time.
async fn is_served(fleet: &Fleet, ask: &Ask, entry: u8) -> bool {
    let begun = time::Instant::now();
    while begun.elapsed() < RECOVERY {
        if ask.answer(fleet.world.callers(entry)).await.status == 200 {
            return true;
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    false
}

/// Guards against sound requests that are refused because all upstreams ended under them together.
#[googletest::test]
#[tokio::test]
async fn a_request_under_which_all_upstreams_end_together_three_times_is_served() {
    let target = Target::READS;
    let fleet = fleet(target, 1, 20..23).await;
    fleet.upstreams.iter().for_each(|it| it.work(time::Duration::from_millis(300)));
    let ask = target.ask("long");
    for _ in 0..4 {
        // Requests are under way at every upstream.
        let others = (0..9).map(|number| {
            let callers = fleet.world.callers(ENTRY);
            let ask = Ask::new("GET", &format!("/read/{number}"), &format!("{number}"));
            task::spawn(async move { ask.answer(callers).await })
        });
        let others: Vec<_> = others.collect();
        let callers = fleet.world.callers(ENTRY);
        let sent = ask.clone();
        let sent = task::spawn(async move { sent.answer(callers).await });
        tokio::time::sleep(time::Duration::from_millis(150)).await;
        fleet.upstreams.iter().for_each(|it| it.end(time::Duration::from_millis(400)));
        expect_that!(sent.await.expect("no panic").status, not(eq(200)));
        futures_util::future::join_all(others).await;
        tokio::time::sleep(time::Duration::from_millis(900)).await;
    }
    expect_that!(is_served(&fleet, &ask, ENTRY).await, eq(true));
}

/// Guards against a request that many callers send and that is refused because it was under way at
/// each of the upstreams that ended one by one.
#[googletest::test]
#[tokio::test]
async fn a_request_of_many_callers_is_served_where_upstreams_end_one_by_one() {
    let target = Target::READS;
    let fleet = fleet(target, 1, 20..26).await;
    fleet.upstreams.iter().for_each(|it| it.work(time::Duration::from_millis(30)));
    let statuses = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let callers = (0..8).map(|number| {
        let callers = fleet.world.callers([ENTRY, OTHER_ENTRY][number % 2]);
        let statuses = statuses.clone();
        task::spawn(async move {
            for turn in 0..60 {
                let ask = target.ask(&format!("hot-{number}-{turn}"));
                let status = ask.answer(callers).await.status;
                statuses.lock().unwrap().push(status);
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    for round in 0..8 {
        tokio::time::sleep(time::Duration::from_millis(350)).await;
        fleet.upstreams[round % 6].end(time::Duration::from_millis(300));
    }
    futures_util::future::join_all(callers).await;
    let statuses = statuses.lock().unwrap().clone();
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{served} of {} served", statuses.len());
    expect_that!(served * 100, ge(statuses.len() * 99));
    expect_that!(is_served(&fleet, &target.ask("hot"), ENTRY).await, eq(true));
}

/// Guards against a request of many callers that is refused because it was under way at all upstreams
/// when they ended together.
#[googletest::test]
#[tokio::test]
async fn a_request_of_many_callers_is_served_after_all_upstreams_ended_together() {
    let target = Target::READS;
    let fleet = fleet(target, 1, 20..26).await;
    fleet.upstreams.iter().for_each(|it| it.work(time::Duration::from_millis(60)));
    let ask = target.ask("hot");
    for _ in 0..3 {
        expect_that!(is_served(&fleet, &ask, ENTRY).await, eq(true));
        let sent = (0..40).map(|number| {
            let (ask, callers) = (target.ask(&format!("hot-{number}")), fleet.world.callers(ENTRY));
            task::spawn(async move { ask.answer(callers).await })
        });
        let sent: Vec<_> = sent.collect();
        tokio::time::sleep(time::Duration::from_millis(30)).await;
        fleet.upstreams.iter().for_each(|it| it.end(time::Duration::from_millis(300)));
        futures_util::future::join_all(sent).await;
    }
    expect_that!(is_served(&fleet, &ask, ENTRY).await, eq(true));
}

/// Guards against many sound requests that are refused where upstreams end in series.
#[googletest::test]
#[tokio::test]
async fn sound_streams_are_served_where_engines_end_in_series() {
    let target = Target::STREAMS;
    let fleet = fleet(target, 1, UPSTREAMS).await;
    fleet.upstreams.iter().for_each(|it| it.stream(30, time::Duration::from_millis(20)));
    let asks = (0..40).map(|number| {
        let ask = target.ask(&format!("sound-{number}"));
        let ask = ask.with_parts(&["c0", "b0", &format!("{number:04x}")]);
        (ask, [ENTRY, OTHER_ENTRY][number % 2])
    });
    let asks: Vec<_> = asks.collect();
    let sent = asks.iter().map(|(ask, entry)| {
        let (ask, callers) = (ask.clone(), fleet.world.callers(*entry));
        task::spawn(async move { ask.answer(callers).await })
    });
    let sent: Vec<_> = sent.collect();
    for upstream in &fleet.upstreams[..8] {
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        upstream.end(DOWN);
    }
    futures_util::future::join_all(sent).await;
    // Each caller returns once.
    let again = asks.iter().map(|(ask, entry)| is_served(&fleet, ask, *entry));
    let served = futures_util::future::join_all(again).await;
    expect_that!(served, each(eq(&true)));
}
