//! The retry budget that all entries share, where processes start again while upstreams fail.

use std::{collections, sync, time};

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Target,
    engine,
    world::{self, World},
};

/// Bounds of the settings that tests use.
const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 100.0;
const WINDOW: time::Duration = time::Duration::from_secs(10);

const ENTRIES: std::ops::Range<u8> = 10..14;
const FIRST_ENTRY: std::ops::Range<u8> = 10..11;
const UPSTREAMS: std::ops::Range<u8> = 20..40;
/// Rounds between which entries are killed, and requests of each entry in a round.
const ROUNDS: usize = 6;
const REQUESTS: usize = 30;
/// Requests at one entry while it is alone.
const REQUESTS_ALONE: usize = 300;
/// Time within which voters note how many entries there are.
const KNOWN: time::Duration = time::Duration::from_secs(3);
/// Pause between two requests at an entry.
const INTERVAL: time::Duration = time::Duration::from_millis(40);

struct Fleet {
    world: World,
    target: Target,
    voters: collections::BTreeMap<u8, world::Process>,
    entries: Vec<world::Process>,
    upstreams: Vec<sync::Arc<engine::Engine>>,
    /// When each request was sent.
    sent: Vec<time::Instant>,
}

/// A fleet whose upstreams fail every second request.
async fn fleet(target: Target, voters: u8) -> Fleet {
    let world = World::new(&DIALECT, voters);
    let voters = world.first_voters().await;
    world.install(&world.document(1, None)).await;
    let mut upstreams = Vec::new();
    for number in UPSTREAMS {
        let upstream = world.engine(number, target.service, target.weights()).await;
        upstream.behave(engine::Behaviour::FailEverySecond(500));
        upstreams.push(upstream);
    }
    Fleet { world, target, voters, entries: Vec::new(), upstreams, sent: Vec::new() }
}

impl Fleet {
    async fn start_entries(&mut self, entries: std::ops::Range<u8>) {
        for entry in entries.clone() {
            self.entries.push(self.world.entry(entry).await);
        }
        for entry in entries {
            self.world.ready(entry).await;
        }
    }

    /// Sends so many requests through each of these entries.
    async fn send(&mut self, round: usize, entries: std::ops::Range<u8>, requests: usize) {
        let mut asked = Vec::new();
        for number in 0..requests {
            for entry in entries.clone() {
                let ask = self.target.ask(&format!("{round}-{entry}-{number}"));
                let callers = self.world.callers(entry);
                self.sent.push(time::Instant::now());
                asked.push(tokio::spawn(async move { ask.answer(callers).await }));
            }
            tokio::time::sleep(INTERVAL).await;
        }
        for asked in asked {
            asked.await.expect("a caller gets an answer");
        }
    }

    async fn kill_entries(&mut self) {
        for entry in self.entries.drain(..) {
            entry.kill().await;
        }
    }

    async fn restart_voters(&mut self) {
        for (number, voter) in std::mem::take(&mut self.voters) {
            voter.kill().await;
            self.voters.insert(number, self.world.voter(number, false).await);
        }
        for upstream in &self.upstreams {
            self.world.announce(upstream, self.target.service, "ready", 1).await;
        }
    }

    /// Arrivals beyond the first of each request.
    fn repeats(&self) -> Vec<time::Instant> {
        let mut arrivals: Vec<_> = self.upstreams.iter().flat_map(|it| it.arrivals()).collect();
        arrivals.sort_by_key(|it| it.at);
        let mut seen = collections::HashSet::new();
        let beyond = arrivals.into_iter().filter(|it| it.path != "/health");
        beyond.filter(|it| !seen.insert(it.id.clone())).map(|it| it.at).collect()
    }
}

/// How many of these times are in the window from this one on.
fn within(times: &[time::Instant], from: time::Instant) -> usize {
    times.iter().filter(|at| (from..from + WINDOW).contains(*at)).count()
}

/// Entries are killed together again and again.
async fn the_budget_holds(target: Target) {
    let mut fleet = fleet(target, 1).await;
    for round in 0..ROUNDS {
        fleet.start_entries(ENTRIES).await;
        fleet.send(round, ENTRIES, REQUESTS).await;
        fleet.kill_entries().await;
    }
    let repeats = fleet.repeats();
    expect_that!(repeats.len(), gt(0));
    let excess = repeats.iter().map(|from| {
        let sent = [time::Duration::ZERO, WINDOW / 2, WINDOW]
            .map(|earlier| within(&fleet.sent, *from - earlier));
        let requests = sent.into_iter().max().unwrap_or_default();
        within(&repeats, *from) as f64 - (RATIO * requests as f64 + ALLOWANCE)
    });
    expect_that!(excess.fold(f64::MIN, f64::max), le(0.0));
}

macro_rules! the_budget_holds {
    ($($case:ident: $target:expr;)*) => {$(
        /// Guards against a budget that each start of an entry renews.
        #[googletest::test]
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $case() {
            the_budget_holds($target).await;
        }
    )*};
}

the_budget_holds! {
    repeats_of_streams_keep_the_budget_where_entries_start_again: Target::STREAMS;
    repeats_of_reads_keep_the_budget_where_entries_start_again: Target::READS;
}

/// Guards against a budget that is divided by the entries of the moment, where all have just started.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_starts_before_the_others_takes_its_part_of_the_budget_alone() {
    let mut fleet = fleet(Target::READS, 3).await;
    fleet.start_entries(ENTRIES).await;
    tokio::time::sleep(KNOWN).await;
    fleet.kill_entries().await;
    fleet.restart_voters().await;
    fleet.start_entries(FIRST_ENTRY).await;
    fleet.send(0, FIRST_ENTRY, REQUESTS_ALONE).await;
    let repeats = fleet.repeats().len();
    expect_that!(repeats, gt(0));
    let part = ALLOWANCE / ENTRIES.len() as f64;
    expect_that!(repeats as f64, le(RATIO * REQUESTS_ALONE as f64 + part));
}
