//! What the processes of a fleet take of a processor while they have nothing to do.

use std::time;

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::world::World;
use rustix::time as clocks;

/// Time over which the fleet is idle.
const IDLE: time::Duration = time::Duration::from_secs(2);

/// Part of a processor that idle processes stay below. One task that spins takes all of it.
const PART: u32 = 4;

fn thread_time() -> time::Duration {
    let spent = clocks::clock_gettime(clocks::ClockId::ThreadCPUTime);
    time::Duration::new(spent.tv_sec as u64, spent.tv_nsec as u32)
}

/// A process whose seeds nobody can change any more went round its search for voters without a
/// pause. Callers noticed nothing; the process took the whole of its processor, and whatever else
/// ran on the machine was late.
#[googletest::test]
#[tokio::test]
async fn idle_processes_leave_the_processor_alone() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let engine = world.engine(20, "models", 1).await;
    let _agent = world.agent(20).await;
    let _entry = world.entry(10).await;
    world.ready(10).await;
    let before = thread_time();
    tokio::time::sleep(IDLE).await;
    expect_that!(thread_time() - before, lt(IDLE / PART));
    expect_that!(engine.arrivals().len(), eq(0));
}
