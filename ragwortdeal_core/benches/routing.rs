//! Cost of one routing decision and one admission decision, for 12 to 5,600 upstreams.

use std::hint;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ragwortdeal_core::{
    admission, labels, name, routing,
    routing::{choice, load, pool, upstream},
};

const SIZES: [u32; 3] = [12, 500, 5_600];

fn target() -> upstream::Target {
    upstream::Target::Model { model: name::ModelName::new("match").unwrap(), adapter: None }
}

fn router_of(count: u32) -> (routing::Router, pool::PoolId) {
    let mut router = routing::Router::new(routing::Settings::default());
    let rule = pool::Rule {
        target: target(),
        version: None,
        selectors: vec![labels::Selector::default()],
    };
    let pool = router.pool(&rule).unwrap();
    for index in 0..count {
        let instance = name::InstanceName::new(&format!("engine-{index}")).unwrap();
        router.announce(upstream::Announcement {
            instance: instance.clone(),
            incarnation: 1,
            zone: name::ZoneName::new("amman").unwrap(),
            labels: labels::Labels::new(),
            served: vec![upstream::Served { target: target(), version: None }],
            slots: 8,
            lease_until_ms: u64::MAX,
        });
        let running = index % 9;
        router
            .report(&instance, load::Report { running, waiting: 0, from_here: 0, taken_at_ms: 5 });
    }
    router.refresh();
    (router, pool)
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for size in SIZES {
        let (mut router, pool) = router_of(size);
        for (kind, prefixes) in [("two_choices", 0), ("affinity", 10_000)] {
            let mut draw = 0u64;
            group.bench_function(BenchmarkId::new(kind, size), |bencher| {
                bencher.iter(|| {
                    draw = draw.wrapping_add(0x9e37_79b9);
                    let prefix = (prefixes > 0).then(|| draw % prefixes);
                    let call = choice::Call { prefix, excluded: &[], draw, now_ms: 100 };
                    let id = router.choose(pool, hint::black_box(&call)).unwrap().id;
                    router.begin(id, prefix, 100);
                    router.finish(id, routing::Outcome::Answered, 100);
                });
            });
        }
        group.bench_function(BenchmarkId::new("refresh", size), |bencher| {
            bencher.iter(|| router.refresh());
        });
    }
    group.finish();
}

fn admissions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for accounts in [10, 200] {
        let names: Vec<_> = (0..accounts)
            .map(|index| name::AccountName::new(&format!("account-{index}")).unwrap())
            .collect();
        let mut admission = admission::Admission::new(admission::Settings::default(), 800);
        let mut next = 0usize;
        group.bench_function(BenchmarkId::new("offer_and_finish", accounts), |bencher| {
            bencher.iter(|| {
                next += 1;
                let request = admission::Request {
                    account: names[next % names.len()].clone(),
                    priority: admission::Priority::Normal,
                    deadline_ms: 60_000,
                    draw: next as u64,
                };
                let admission::Decision::Admitted(ticket) = admission.offer(request, 0) else {
                    unreachable!("the entry has room for one call");
                };
                hint::black_box(admission.finish(ticket, 0));
            });
        });
        group.bench_function(BenchmarkId::new("tick", accounts), |bencher| {
            bencher.iter(|| hint::black_box(admission.tick(0)));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions, admissions);
criterion_main!(benches);
