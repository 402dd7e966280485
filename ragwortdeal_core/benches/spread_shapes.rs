//! Prints the figures of docs/design/weights.md: the swarm and other topologies in the simulation.

#[path = "../tests/spread/model.rs"]
mod model;
#[path = "../tests/spread/topologies.rs"]
mod topologies;

fn setup(instances: usize, chunks: u32, zones: usize, regions: usize, weight: u8) -> model::Setup {
    let mut setup = model::Setup::new(instances, chunks);
    (setup.zones, setup.regions) = (zones, regions);
    setup.limits.origin_weight_percent = weight;
    setup
}

fn report(case: &str, setup: &model::Setup, skip: &[usize]) {
    let outcome = model::run(setup.clone());
    let chunks = setup.chunks as usize;
    let time_ms = outcome.time_ms(skip).map_or(f64::NAN, |ms| ms as f64);
    let ratio = outcome.time_ms(skip).map(|ms| ms as f64 / setup.bound_ms());
    let ratio = ratio.map_or("stuck".to_owned(), |ratio| format!("{ratio:.2}"));
    println!(
        "{case:<34} N={:<4} weight={:<3} time/bound={ratio} origin={:.3} peers={:.3} \
         region_link_max={:.3} requests/chunk={:.2} refused/chunk={:.2} announced_KB_per_s={:.2}",
        setup.instances,
        setup.limits.origin_weight_percent,
        outcome.origin_chunks as f64 / chunks as f64,
        outcome.peer_chunks as f64 / (chunks * setup.instances) as f64,
        outcome.region_chunks_max as f64 / chunks as f64,
        outcome.requests as f64 / (chunks * setup.instances) as f64,
        outcome.refusals as f64 / (chunks * setup.instances) as f64,
        outcome.announcement_bytes as f64 / setup.instances as f64 / time_ms,
    );
}

fn others(instances: usize, chunks: u32) {
    let setup = model::Setup::new(instances, chunks);
    let all = topologies::all_from_origin(&setup);
    let costs = [
        ("all from the origin", all),
        ("chain", topologies::tree(&setup, 1, None)),
        ("chain, one machine at a quarter", topologies::tree(&setup, 1, Some(instances / 2))),
        ("binary tree", topologies::tree(&setup, 2, None)),
        ("binary tree, one at a quarter", topologies::tree(&setup, 2, Some(1))),
    ];
    for (case, cost) in costs {
        let ratio = cost.time_ms / setup.bound_ms();
        println!(
            "{case:<34} N={instances:<4} time/bound={ratio:.2} origin={:.1}",
            cost.origin_copies
        );
    }
}

fn main() {
    for instances in [12, 48, 200] {
        others(instances, 1_000);
        for weight in [0, 50, 100] {
            report("swarm, 1 region of 3 zones", &setup(instances, 1_000, 3, 1, weight), &[]);
        }
    }
    for weight in [0, 100] {
        report("swarm, 4 regions of 3 zones", &setup(200, 1_000, 12, 4, weight), &[]);
        let mut slow = setup(200, 1_000, 12, 4, weight);
        slow.limits.region_copies = 0.1;
        report("the same, region link a twentieth", &slow, &[]);
    }
    for weight in [0, 100] {
        let mut crashing = setup(200, 1_000, 3, 1, weight);
        let crashed: Vec<_> = (0..10).map(|i| i * 20 + 3).collect();
        crashing.faults.crashes = crashed.iter().map(|&d| (15_000 + d as u64 * 50, d)).collect();
        report("swarm, 5% die in the middle", &crashing, &crashed);
        let mut corrupt = setup(200, 1_000, 3, 1, weight);
        corrupt.faults.corrupt_permille = 10;
        report("swarm, 1% corrupted", &corrupt, &[]);
        let mut stalled = setup(200, 1_000, 3, 1, weight);
        stalled.faults.stalled = vec![7];
        report("swarm, one stalled owner", &stalled, &[7]);
    }
    // Takes minutes, because every instance learns of every other.
    if std::env::args().any(|arg| arg == "--large") {
        others(820, 2_000);
        for weight in [0, 100] {
            report("swarm, 4 regions of 3 zones", &setup(820, 2_000, 12, 4, weight), &[]);
        }
    }
}
