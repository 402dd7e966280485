//! CPU time of idle processes of a fleet.

use std::time;

use googletest::prelude::*;
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::world::World;
use rustix::time as clocks;

/// How long the fleet is idle.
const IDLE_TIME: time::Duration = time::Duration::from_secs(2);

/// Idle processes stay below this fraction of a CPU. One task that spins takes all of it.
const CPU_FRACTION: u32 = 4;

fn thread_time() -> time::Duration {
    let spent = clocks::clock_gettime(clocks::ClockId::ThreadCPUTime);
    time::Duration::new(spent.tv_sec as u64, spent.tv_nsec as u32)
}

/// Guards against a busy loop in the search for voters when the sender of the seeds is gone.
/// Callers noticed nothing, but the process used a whole CPU and delayed everything else on the
/// machine.
#[googletest::test]
#[tokio::test]
async fn idle_processes_use_little_cpu_time() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    world.install(&world.document(1, None)).await;
    let engine = world.engine(20, "models", 1).await;
    let _agent = world.agent(20).await;
    let _entry = world.entry(10).await;
    world.ready(10).await;
    let before = thread_time();
    tokio::time::sleep(IDLE_TIME).await;
    expect_that!(thread_time() - before, lt(IDLE_TIME / CPU_FRACTION));
    expect_that!(engine.arrivals().len(), eq(0));
}
