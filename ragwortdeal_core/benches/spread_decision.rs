//! The cost of one decision of the policy with 820 instances and 2,000 chunks.

#[path = "../tests/spread/model.rs"]
#[allow(dead_code)]
mod model;

use std::hint;

use criterion::{Criterion, criterion_group, criterion_main};

use ragwortdeal_core::spread::{download, event, limits};

const INSTANCES: usize = 820;
const CHUNKS: u32 = 2_000;

/// A download in progress: it holds a third of the chunks, and every neighbour two thirds.
fn halfway() -> (download::Download, Vec<event::Event>) {
    let (content, manifest) = model::version(1, CHUNKS);
    let proof = |chunk: u32| {
        let (start, len) = manifest.range_bytes(chunk).expect("a chunk of the manifest");
        let bytes = &content[start as usize..(start + len) as usize];
        manifest.verify_chunk(chunk, bytes).expect("unchanged bytes")
    };
    let kept: Vec<_> = (0..CHUNKS).filter(|chunk| chunk.is_multiple_of(3)).map(proof).collect();
    let place = |index| model::place(index, 12, 4);
    let mut download =
        download::Download::new(place(0), manifest, limits::Limits::default(), &kept);
    (1..INSTANCES).for_each(|index| _ = download.handle(0, event::Event::Joined(place(index))));
    let mut open = Vec::new();
    for index in (12..12 * 33).step_by(12) {
        let chunks = (0..CHUNKS).filter(|&chunk| !lacks(chunk, index)).collect();
        let instance = place(index).instance;
        let version = download.version();
        let actions = download.handle(0, event::Event::Holds { instance, version, chunks });
        open.extend(refusals(&download, actions));
    }
    (download, open)
}

fn lacks(chunk: u32, index: usize) -> bool {
    (chunk + index as u32 / 12).is_multiple_of(3)
}

/// For each request among the actions, an event that refuses it.
fn refusals(download: &download::Download, actions: Vec<event::Action>) -> Vec<event::Event> {
    let version = download.version();
    let refusal = |action| match action {
        event::Action::Request { source, chunk, .. } => {
            let failure = event::Failure::Busy;
            Some(event::Event::Failed { source, version, chunk, failure })
        }
        _ => None,
    };
    actions.into_iter().filter_map(refusal).collect()
}

fn decisions(criterion: &mut Criterion) {
    let (mut download, open) = halfway();
    let mut group = criterion.benchmark_group("spread decision, 820 instances, 2,000 chunks");
    let mut busy = download.clone();
    let mut waiting = open;
    let mut now_ms = 1_000;
    group.bench_function("choose again after a refusal", |bench| {
        bench.iter(|| {
            now_ms += 20;
            let refusal = waiting.pop().unwrap_or(event::Event::Tick);
            let actions = busy.handle(now_ms, refusal);
            waiting.extend(refusals(&busy, actions));
        });
    });
    assert!(!waiting.is_empty(), "the measured decisions opened no requests");
    group.bench_function("tick", |bench| {
        bench.iter(|| {
            now_ms += 1;
            hint::black_box(busy.handle(now_ms, event::Event::Tick));
        });
    });
    group.bench_function("an instance leaves and joins", |bench| {
        let place = model::place(24, 12, 4);
        bench.iter(|| {
            download.handle(now_ms, event::Event::Left(place.instance.clone()));
            hint::black_box(download.handle(now_ms, event::Event::Joined(place.clone())));
        });
    });
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
