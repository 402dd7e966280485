//! Cold upstreams and rates that entries are told, against entries under load.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Target,
    engine,
    world::{self, World},
};

/// Span for which a cold upstream's bound holds.
const WINDOW: time::Duration = time::Duration::from_secs(1);
/// Pause between two requests of one caller.
const PAUSE: time::Duration = time::Duration::from_millis(20);
/// Time in which entries learn what an announcement or an answer tells.
const TOLD: time::Duration = time::Duration::from_millis(500);
/// How long upstreams of the document are cold.
const COLD: time::Duration = time::Duration::from_secs(30);
const COLD_PER_S: f64 = 4.0;
const ENTRIES: std::ops::Range<u8> = 10..16;
const COLD_ENGINE: u8 = 20;
const OTHER: u8 = 23;

struct Fleet {
    world: World,
    cold: sync::Arc<engine::Engine>,
    other: sync::Arc<engine::Engine>,
    _processes: Vec<world::Process>,
}

async fn fleet(target: Target) -> Fleet {
    let world = World::new(&DIALECT, 1);
    let mut processes = vec![world.voter(1, true).await];
    let mut document = world.document(1, None);
    for service in [0, 1] {
        document["services"][service]["cold-start-s"] = COLD.as_secs_f64().into();
        document["services"][service]["cold-per-s"] = COLD_PER_S.into();
    }
    world.install(&document).await;
    let cold = world.engine(COLD_ENGINE, target.service, target.weights()).await;
    let other = world.engine(OTHER, target.service, target.weights()).await;
    for entry in ENTRIES {
        processes.push(world.entry(entry).await);
        world.ready(entry).await;
    }
    Fleet { world, cold, other, _processes: processes }
}

impl Fleet {
    /// Sends requests through these entries for so long. Returns the statuses of the answers.
    async fn load(
        &self,
        target: Target,
        entries: impl IntoIterator<Item = u8>,
        lasts: time::Duration,
    ) -> Vec<u16> {
        let begun = time::Instant::now();
        let caller = async |entry: u8| {
            let mut statuses = Vec::new();
            while begun.elapsed() < lasts {
                let id = format!("{entry}-{}", begun.elapsed().as_micros());
                statuses.push(target.ask(&id).answer(self.world.callers(entry)).await.status);
                tokio::time::sleep(PAUSE).await;
            }
            statuses
        };
        let callers = entries.into_iter().map(caller);
        futures_util::future::join_all(callers).await.concat()
    }

    /// Most requests that the engine got in any window that begins after this time.
    fn most_in_a_window(&self, from: time::Instant) -> usize {
        let arrivals = self.cold.arrivals();
        let times: Vec<_> = arrivals.iter().map(|it| it.at).filter(|at| *at >= from).collect();
        let windows = times.iter().enumerate().map(|(first, begins)| {
            times[first..].iter().take_while(|at| **at < *begins + WINDOW).count()
        });
        windows.max().unwrap_or(0)
    }
}

/// Requests that a cold upstream may get in a window.
fn allowed() -> usize {
    (COLD_PER_S * 1.5 + 5.0) as usize
}

/// Has an upstream announce that it is cold, then that it is warm.
async fn bound_holds_while_announced(target: Target) {
    let fleet = fleet(target).await;
    fleet.cold.cool(COLD);
    fleet.world.announce(&fleet.cold, target.service, "ready", 2).await;
    tokio::time::sleep(TOLD).await;
    let begun = time::Instant::now();
    let statuses = fleet.load(target, ENTRIES, WINDOW * 4).await;
    expect_that!(fleet.most_in_a_window(begun), le(allowed()));
    expect_that!(fleet.cold.arrivals(), not(is_empty()));
    expect_that!(fleet.other.arrivals(), not(is_empty()));
    expect_that!(statuses, each(eq(&200)));
    fleet.cold.cool(time::Duration::ZERO);
    fleet.world.announce(&fleet.cold, target.service, "ready", 3).await;
    tokio::time::sleep(TOLD).await;
    let warm_from = time::Instant::now();
    fleet.load(target, ENTRIES, WINDOW * 2).await;
    expect_that!(fleet.most_in_a_window(warm_from), gt(allowed()));
}

macro_rules! cold_upstreams_are_spared {
    ($($case:ident: $target:expr;)*) => {$(
        /// Guards against an upstream that ends by the load that it gets right after its start, and
        /// against a limit on one that is warm.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            bound_holds_while_announced($target).await;
        }
    )*};
}

cold_upstreams_are_spared! {
    a_cold_engine_gets_its_rate_until_it_is_warm: Target::STREAMS;
    a_cold_plain_upstream_gets_its_rate_until_it_is_warm: Target::READS;
}

/// Guards against full load on an upstream that started again while no voter was told.
#[googletest::test]
#[tokio::test]
async fn an_upstream_that_is_back_unannounced_is_spared() {
    let fleet = fleet(Target::READS).await;
    fleet.load(Target::READS, ENTRIES, WINDOW).await;
    fleet.cold.end(WINDOW * 2);
    let ended = time::Instant::now();
    fleet.load(Target::READS, ENTRIES, WINDOW * 6).await;
    expect_that!(fleet.cold.starts(), eq(2));
    expect_that!(fleet.most_in_a_window(ended + WINDOW), le(allowed()));
}

/// Guards against an entry that starts and sends freely to an upstream which names a rate.
#[googletest::test]
#[tokio::test]
async fn an_entry_that_starts_knows_the_rates_that_others_were_told() {
    let target = Target::READS;
    let fleet = fleet(target).await;
    fleet.cold.name_limit(Some(0.4));
    fleet.load(target, ENTRIES, WINDOW).await;
    tokio::time::sleep(TOLD).await;
    let before = fleet.cold.arrivals().len();
    let entry = ENTRIES.end;
    let process = fleet.world.entry(entry).await;
    fleet.world.ready(entry).await;
    // A share of this rate begins with two seconds and more without a request.
    let statuses = fleet.load(target, [entry], WINDOW).await;
    expect_that!(fleet.cold.arrivals_after(before).len(), eq(0));
    expect_that!(statuses, each(eq(&200)));
    process.stop().await;
}
