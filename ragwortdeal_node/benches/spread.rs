//! Spreads over loopback with real agents: time to N replicas, origin copies, and what live calls
//! suffer meanwhile. The origin's link and each agent's sending link are rate-limited.

use std::{
    sync::{self, atomic},
    time,
};

use ragwortdeal_standins::{deployment, origin};

const MIB: u64 = 1 << 20;
/// The origin sends four copies in the time in which a machine sends two.
const ORIGIN_BYTES_PER_S: u64 = 8 * MIB;
const MACHINE_BYTES_PER_S: u64 = 4 * MIB;
const SIZE_BYTES: u64 = 16 * MIB;
const CHUNK_BYTES: u32 = 128 << 10;
/// How long calls are measured without a spread.
const QUIET: time::Duration = time::Duration::from_secs(4);
/// Pause between two live calls.
const CALL_PAUSE: time::Duration = time::Duration::from_millis(10);

/// What live calls took, in milliseconds.
#[derive(Default)]
struct Calls {
    first_byte_ms: Vec<f64>,
    gap_ms: Vec<f64>,
    failed: usize,
}

impl Calls {
    fn report(mut self) -> String {
        let (first, gap) = (p95(&mut self.first_byte_ms), p95(&mut self.gap_ms));
        let calls = self.first_byte_ms.len();
        format!(
            "calls={calls} failed={} first_byte_p95={first:.1}ms gap_p95={gap:.1}ms",
            self.failed
        )
    }
}

fn p95(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() * 95 / 100).copied().unwrap_or(f64::NAN)
}

async fn call_until(deployment: &deployment::Deployment, done: &atomic::AtomicBool) -> Calls {
    let caller = deployment.caller(0);
    let mut calls = Calls::default();
    while !done.load(atomic::Ordering::Relaxed) {
        let answer = caller.complete(deployment::MODEL, "hello", 10).await;
        if answer.status == 200 && answer.ended() {
            calls.first_byte_ms.push(answer.first_byte.as_secs_f64() * 1e3);
            calls.gap_ms.push(answer.longest_gap.as_secs_f64() * 1e3);
        } else {
            calls.failed += 1;
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
    calls
}

async fn quiet(deployment: &deployment::Deployment) -> Calls {
    let done = atomic::AtomicBool::new(false);
    let (calls, ()) = tokio::join!(call_until(deployment, &done), async {
        tokio::time::sleep(QUIET).await;
        done.store(true, atomic::Ordering::Relaxed);
    });
    calls
}

async fn spread(engines: usize, origin_weight_percent: u8) {
    let plan = deployment::Plan {
        voters: 1,
        entries: 2,
        engines,
        ledgers: 0,
        portals: 0,
        origin_bytes_per_s: ORIGIN_BYTES_PER_S,
        upload_bytes_per_s: MACHINE_BYTES_PER_S,
        origin_weight_percent,
        ..deployment::Plan::default()
    };
    let deployment = deployment::Deployment::start(plan).await.expect("loopback ports");
    deployment.open_routes().await;
    let first = origin::Weights::of_seed(1, MIB as usize, CHUNK_BYTES);
    deployment.roll_out(&first).await;
    deployment.serving(0, &first.version().to_string(), engines).await;
    let without = quiet(&deployment).await;

    let weights = origin::Weights::of_seed(2, SIZE_BYTES as usize, CHUNK_BYTES);
    let version = weights.version().to_string();
    let before = deployment.origin.served_bytes();
    let done = sync::Arc::new(atomic::AtomicBool::new(false));
    let started = time::Instant::now();
    let (with, took) = tokio::join!(call_until(&deployment, &done), async {
        deployment.roll_out(&weights).await;
        deployment.serving(0, &version, engines).await;
        let took = started.elapsed();
        done.store(true, atomic::Ordering::Relaxed);
        took
    });
    let copies = (deployment.origin.served_bytes() - before) as f64 / SIZE_BYTES as f64;
    let fill_s =
        (engines as f64).log2().ceil() * f64::from(CHUNK_BYTES) / MACHINE_BYTES_PER_S as f64;
    let bound_s = SIZE_BYTES as f64 / MACHINE_BYTES_PER_S as f64 + fill_s;
    let all_s = engines as f64 * SIZE_BYTES as f64 / ORIGIN_BYTES_PER_S as f64;
    let took_s = took.as_secs_f64();
    println!(
        "N={engines} weight={origin_weight_percent} time={took_s:.1}s time/bound={:.2} \
         time/all_from_origin={:.2} origin_copies={copies:.3}",
        took_s / bound_s,
        took_s / all_s,
    );
    println!("    without a spread: {}", without.report());
    println!("    during the spread: {}", with.report());
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let sizes: &[usize] = match std::env::args().any(|arg| arg == "--large") {
        true => &[12, 48, 100],
        false => &[12, 48],
    };
    for &engines in sizes {
        for weight in [0, 100] {
            runtime.block_on(spread(engines, weight));
        }
    }
}
