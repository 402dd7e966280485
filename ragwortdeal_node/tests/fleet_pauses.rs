//! Upstreams that turn requests away and ask for a pause.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::{Answer, Target},
    engine,
    world::{self, World},
};

/// Pause that an upstream asks for.
const PAUSE: time::Duration = time::Duration::from_secs(3);
/// Time after the refusal that asks for it in which requests that were under way may still come.
const UNDER_WAY: time::Duration = time::Duration::from_millis(500);
/// Requests that may come in the pause.
const ALLOWED: usize = 2;
/// Callers at one entry, and the pause of each between two requests.
const CALLERS: usize = 6;
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(20);

const ENTRY: u8 = 10;
const OTHER_ENTRY: u8 = 11;

struct Fleet {
    world: World,
    upstreams: Vec<sync::Arc<engine::Engine>>,
    _processes: Vec<world::Process>,
}

async fn fleet(target: Target, entries: &[u8]) -> Fleet {
    let world = World::new(&DIALECT, 1);
    let mut processes = vec![world.voter(1, true).await];
    world.install(&world.document(1, None)).await;
    let mut upstreams = Vec::new();
    for number in [20, 23] {
        upstreams.push(world.engine(number, target.service, target.weights()).await);
        // An agent reports that an engine which turns everything away is idle.
        if target.weights() > 0 {
            processes.push(world.agent(number).await);
        }
    }
    for entry in entries {
        processes.push(world.entry(*entry).await);
        world.ready(*entry).await;
    }
    Fleet { world, upstreams, _processes: processes }
}

impl Fleet {
    async fn ask(&self, target: Target, entry: u8, id: &str) -> Answer {
        target.ask(id).answer(self.world.callers(entry)).await
    }

    /// Sends requests through an entry until a time. Returns the statuses of the answers.
    async fn load(&self, target: Target, entry: u8, until: time::Instant) -> Vec<u16> {
        let caller = async |caller: usize| {
            let mut statuses = Vec::new();
            while time::Instant::now() < until {
                let id = format!("{caller}-{}", statuses.len());
                statuses.push(self.ask(target, entry, &id).await.status);
                tokio::time::sleep(CALL_INTERVAL).await;
            }
            statuses
        };
        futures_util::future::join_all((0..CALLERS).map(caller)).await.concat()
    }
}

/// Requests that an upstream got in the pause, from half a second after its first refusal on.
fn in_the_pause(upstream: &engine::Engine) -> usize {
    let arrivals = upstream.arrivals();
    let Some(first) = arrivals.iter().find(|it| it.ran_on.is_none()) else {
        return 0;
    };
    let pause = first.at + UNDER_WAY..first.at + PAUSE;
    arrivals.iter().filter(|it| pause.contains(&it.at)).count()
}

/// One of two upstreams asks for a pause.
async fn the_pause_is_kept(target: Target) {
    let fleet = fleet(target, &[ENTRY]).await;
    let resting = &fleet.upstreams[0];
    let begun = time::Instant::now();
    fleet.load(target, ENTRY, begun + UNDER_WAY).await;
    resting.ask_pause(Some(PAUSE.as_secs_f64()));
    let statuses = fleet.load(target, ENTRY, begun + UNDER_WAY + PAUSE).await;
    expect_that!(in_the_pause(resting), le(ALLOWED));
    let refused = resting.arrivals().iter().filter(|it| it.ran_on.is_none()).count();
    expect_that!(refused, ge(1));
    expect_that!(statuses, each(eq(&200)));
}

/// All upstreams ask for a pause.
async fn the_pause_of_all_is_kept(target: Target) {
    let fleet = fleet(target, &[ENTRY]).await;
    fleet.load(target, ENTRY, time::Instant::now() + UNDER_WAY).await;
    fleet.upstreams.iter().for_each(|it| it.ask_pause(Some(PAUSE.as_secs_f64())));
    let statuses = fleet.load(target, ENTRY, time::Instant::now() + PAUSE).await;
    for resting in &fleet.upstreams {
        expect_that!(in_the_pause(resting), le(ALLOWED));
    }
    expect_that!(statuses, contains(eq(&503)));
}

macro_rules! a_pause_is_kept {
    ($($case:ident: $play:ident, $target:expr;)*) => {$(
        /// Guards against an upstream that gets requests in the time for which it wants none.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            $play($target).await;
        }
    )*};
}

a_pause_is_kept! {
    an_engine_that_asks_for_a_pause_gets_no_streams: the_pause_is_kept, Target::STREAMS;
    engines_that_all_ask_for_a_pause_get_no_streams: the_pause_of_all_is_kept, Target::STREAMS;
    a_plain_service_that_asks_for_a_pause_gets_no_reads: the_pause_is_kept, Target::READS;
    plain_services_that_all_ask_for_a_pause_get_no_reads: the_pause_of_all_is_kept, Target::READS;
    a_plain_service_that_asks_for_a_pause_gets_no_transfers: the_pause_is_kept, Target::TRANSFERS;
    plain_services_that_all_ask_for_a_pause_get_no_transfers: the_pause_of_all_is_kept, Target::TRANSFERS;
}

/// Guards against callers that wait for, or are sent to, upstreams that all asked for a pause.
#[googletest::test]
#[tokio::test]
async fn where_all_upstreams_pause_requests_are_refused_until_one_takes_work() {
    let fleet = fleet(Target::STREAMS, &[ENTRY]).await;
    fleet.upstreams.iter().for_each(|it| it.ask_pause(Some(PAUSE.as_secs_f64())));
    world::until("both have refused", async || {
        fleet.ask(Target::STREAMS, ENTRY, "first").await;
        fleet.upstreams.iter().all(|it| !it.arrivals().is_empty())
    })
    .await;
    let before: usize = fleet.upstreams.iter().map(|it| it.arrivals().len()).sum();
    let answer = fleet.ask(Target::STREAMS, ENTRY, "second").await;
    let after: usize = fleet.upstreams.iter().map(|it| it.arrivals().len()).sum();
    expect_that!(answer.status, eq(503));
    expect_that!(after, eq(before));
    let retry_after_s = answer.header("retry-after").and_then(|value| value.parse::<f64>().ok());
    expect_that!(retry_after_s, some(gt(1.0)));
}

/// Guards against an entry that stays away because another one was asked to.
#[googletest::test]
#[tokio::test]
async fn a_pause_asked_of_one_entry_does_not_bind_another() {
    let fleet = fleet(Target::STREAMS, &[ENTRY, OTHER_ENTRY]).await;
    let resting = &fleet.upstreams[0];
    resting.ask_pause(Some(PAUSE.as_secs_f64()));
    world::until("the first entry is refused", async || {
        fleet.ask(Target::STREAMS, ENTRY, "first").await;
        !resting.arrivals().is_empty()
    })
    .await;
    resting.ask_pause(None);
    world::until("the second entry is served there", async || {
        fleet.ask(Target::STREAMS, OTHER_ENTRY, "second").await;
        resting.arrivals().iter().any(|it| it.ran_on.is_some())
    })
    .await;
}

/// Guards against an upstream that is never used again after a pause.
#[googletest::test]
#[tokio::test]
async fn an_upstream_is_used_again_after_a_pause() {
    let fleet = fleet(Target::STREAMS, &[ENTRY]).await;
    let resting = &fleet.upstreams[0];
    resting.ask_pause(Some(0.5));
    world::until("it refuses", async || {
        fleet.ask(Target::STREAMS, ENTRY, "first").await;
        !resting.arrivals().is_empty()
    })
    .await;
    resting.ask_pause(None);
    world::until("it serves again", async || {
        fleet.ask(Target::STREAMS, ENTRY, "second").await;
        resting.arrivals().iter().filter(|it| it.ran_on.is_some()).count() > 3
    })
    .await;
}
