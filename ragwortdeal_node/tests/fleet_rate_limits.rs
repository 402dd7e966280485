//! Upstreams that name a rate, against entries under load.

use std::{sync, time};

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::{
    caller::Target,
    engine,
    world::{self, World},
};

/// Span in which requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Time after a rate is first named from which on requests are counted.
const SETTLED: time::Duration = time::Duration::from_secs(1);
/// Pause between two requests of one caller.
const PAUSE: time::Duration = time::Duration::from_millis(20);

const LIMITED: u8 = 20;
const OTHER: u8 = 23;

struct Fleet {
    world: World,
    limited: sync::Arc<engine::Engine>,
    other: sync::Arc<engine::Engine>,
    entries: Vec<u8>,
    _processes: Vec<world::Process>,
}

async fn fleet(entries: u8, target: Target) -> Fleet {
    let world = World::new(&DIALECT, 1);
    let mut processes = vec![world.voter(1, true).await];
    world.install(&world.document(1, None)).await;
    let limited = world.engine(LIMITED, target.service, target.weights()).await;
    let other = world.engine(OTHER, target.service, target.weights()).await;
    let entries: Vec<_> = (10..10 + entries).collect();
    for entry in &entries {
        processes.push(world.entry(*entry).await);
        world.ready(*entry).await;
    }
    Fleet { world, limited, other, entries, _processes: processes }
}

impl Fleet {
    /// Sends requests through all entries for so long. Returns the statuses of the answers.
    async fn load(&self, target: Target, lasts: time::Duration) -> Vec<u16> {
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
        let callers = self.entries.iter().map(|entry| caller(*entry));
        futures_util::future::join_all(callers).await.concat()
    }

    /// Most requests that the limited upstream got in any window that begins after this time.
    fn most_in_a_window(&self, from: time::Instant) -> usize {
        let arrivals = self.limited.arrivals();
        let times: Vec<_> = arrivals.iter().map(|it| it.at).filter(|at| *at >= from).collect();
        let windows = times.iter().enumerate().map(|(first, begins)| {
            times[first..].iter().take_while(|at| **at < *begins + WINDOW).count()
        });
        windows.max().unwrap_or(0)
    }
}

/// Requests that an upstream which names this rate may get in a window.
fn allowed(limit_per_s: f64) -> usize {
    (limit_per_s * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Sends requests while an upstream names a rate.
async fn the_rate_is_kept(entries: u8, target: Target, limit_per_s: f64) {
    let fleet = fleet(entries, target).await;
    fleet.limited.name_limit(Some(limit_per_s));
    let begun = time::Instant::now();
    let statuses = fleet.load(target, SETTLED + WINDOW * 2).await;
    expect_that!(fleet.most_in_a_window(begun + SETTLED), le(allowed(limit_per_s)));
    expect_that!(fleet.limited.arrivals(), not(is_empty()));
    expect_that!(fleet.other.arrivals(), not(is_empty()));
    expect_that!(statuses, each(eq(&200)));
}

macro_rules! a_rate_is_kept {
    ($($case:ident: $entries:expr, $target:expr, $limit_per_s:expr;)*) => {$(
        /// Guards against an upstream that gets more requests than the rate that it names.
        #[googletest::test]
        #[tokio::test]
        async fn $case() {
            the_rate_is_kept($entries, $target, $limit_per_s).await;
        }
    )*};
}

a_rate_is_kept! {
    an_engine_gets_the_rate_that_it_names_from_one_entry: 1, Target::STREAMS, 2.0;
    an_engine_gets_the_rate_that_it_names_from_many_entries: 6, Target::STREAMS, 2.4;
    an_engine_gets_a_rate_below_one_a_second: 3, Target::STREAMS, 0.4;
    an_engine_that_takes_nothing_gets_next_to_nothing: 3, Target::STREAMS, 0.0;
    a_plain_service_gets_the_rate_that_it_names_of_reads: 4, Target::READS, 2.0;
    a_plain_service_gets_the_rate_that_it_names_of_transfers: 4, Target::TRANSFERS, 2.0;
}
