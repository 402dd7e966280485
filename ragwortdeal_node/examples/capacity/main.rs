//! Measures on one machine the slopes from which `docs/CAPACITY.md` works out the target's size.
//!
//! Run with `cargo run --release --example capacity`. The parts are the real ones, in virtual time
//! and with encoded messages; the table and the plot are written to `target/capacity/`.

mod fit;
mod links;
mod measures;
mod meter;
mod series;
mod trees;
mod voters;
mod zones;

use std::{path, process, time};

/// Greatest distance of a point from its line up to which a slope is used, in percent.
const RESIDUAL_MAX_PERCENT: f64 = 30.0;

/// Limit on control traffic per daemon in each direction.
const BYTES_PER_S_MAX: f64 = 10_000.0;

fn main() -> process::ExitCode {
    let started = time::Instant::now();
    let all = measure();
    if let Err(error) = series::write(path::Path::new("target/capacity"), &all) {
        eprintln!("capacity: cannot write target/capacity: {error}");
        return process::ExitCode::FAILURE;
    }
    let zone_bytes = whole_zone();
    let bad: Vec<_> = all
        .iter()
        .filter(|series| series.line().residual_percent > RESIDUAL_MAX_PERCENT)
        .map(|series| series.name)
        .collect();
    if !bad.is_empty() {
        eprintln!("capacity: no straight line through {bad:?}");
        return process::ExitCode::FAILURE;
    }
    if zone_bytes > BYTES_PER_S_MAX {
        eprintln!("capacity: membership takes {zone_bytes:.0} bytes/s in a zone of the target");
        return process::ExitCode::FAILURE;
    }
    let seconds = started.elapsed().as_secs();
    println!("capacity: ok slopes={} seconds={seconds}", all.len());
    process::ExitCode::SUCCESS
}

fn measure() -> Vec<series::Series> {
    // Memory first, while little has been freed that could be used again unseen.
    let mut all = Vec::new();
    let mut add = |series: Vec<series::Series>| {
        print!("{}", series::table(&series));
        all.extend(series);
    };
    add(vec![measures::memory_per_upstream()]);
    add(vec![measures::memory_per_object()]);
    add(vec![measures::memory_per_change()]);
    add(vec![measures::memory_per_claim()]);
    add(vec![measures::memory_per_chunk()]);
    add(measures::idle_links().expect("loopback sockets").into());
    add(measures::running_today().into());
    add(measures::replication());
    add(measures::config_cpu().into());
    add(measures::by_entries().into());
    add(measures::by_upstreams().into());
    add(measures::by_zones().into());
    add(measures::by_upstream_changes().into());
    add(measures::relay());
    all
}

/// Measures a zone of the target's size as it is, beside what the lines foretell.
fn whole_zone() -> f64 {
    let (entry, agent) = measures::whole_zone();
    for (role, cost) in [("entry", entry), ("agent", agent)] {
        println!(
            "whole zone, {role}: sent {} received {} bytes/s, {:.1} messages/s, {:.3}% of a core",
            cost.sent_bytes / 20,
            cost.received_bytes / 20,
            cost.messages as f64 / 20.0,
            cost.cpu_ns as f64 / 20.0 / 1e7
        );
    }
    entry.bytes() as f64 / 20.0
}
