//! Overhead of a call through entry and agent against a direct call to the stand-in engine.
//!
//! Entry, agent and engine run in this process, each program on a runtime with one worker, so the
//! calls a second are those of one core of the entry at most. `docs/design/routing.md` quotes the
//! printed tables.

use std::{fs, hint, time};

use criterion::{Criterion, criterion_group, criterion_main};
use http_body_util::BodyExt as _;
use ragwortdeal_node::http;
use ragwortdeal_standins::{caller, deployment, engine, origin};
use tokio::{runtime, task};

/// Streamed calls by which the percentiles are taken.
const STREAMS: u64 = 2_000;

/// Tokens of each of them.
const TOKENS: u64 = 20;

/// Calls at a time and in all when the calls a second are measured.
const CONCURRENT: u64 = 64;
const CALLS: u64 = 20_000;

/// Streams held open when their memory is measured.
const OPEN: usize = 500;

/// Longest wait for one call.
const PATIENCE_MS: u64 = 30_000;

struct Bench {
    runtime: runtime::Runtime,
    deployment: deployment::Deployment,
    version: String,
}

impl Bench {
    fn start(engine: engine::Behaviour) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()
            .expect("a runtime for the callers");
        let (deployment, version) = runtime.block_on(async {
            let plan = deployment::Plan {
                voters: 1,
                entries: 1,
                engines: 1,
                ledgers: 0,
                portals: 0,
                engine,
                ..deployment::Plan::default()
            };
            let deployment = deployment::Deployment::start(plan).await.expect("it starts");
            deployment.open_routes().await;
            let weights = origin::Weights::of_seed(1, 100_000, 32 << 10);
            deployment.roll_out(&weights).await;
            let version = weights.version().to_string();
            deployment.serving(0, &version, 1).await;
            (deployment, version)
        });
        Self { runtime, deployment, version }
    }

    /// Calls through entry and agent, and calls straight to the engine.
    fn targets(&self) -> [(&'static str, Target); 2] {
        let engine = self.deployment.engines[0].engine.as_ref().expect("the engine runs");
        let target = |address: std::net::SocketAddr, version| Target {
            address: address.to_string(),
            version,
            http: http::Client::new(1_000),
        };
        [
            ("direct", target(engine.address(), Some(self.version.clone()))),
            ("entry", target(self.deployment.entries[0].callers, None)),
        ]
    }
}

#[derive(Clone)]
struct Target {
    address: String,
    version: Option<String>,
    http: http::Client,
}

impl Target {
    async fn send(&self, tokens: u64, stream: bool) -> hyper::Response<http::RequestBody> {
        let call = serde_json::json!({
            "model": deployment::MODEL, "prompt": "p", "max_tokens": tokens, "stream": stream,
        });
        let mut request = hyper::Request::builder()
            .method("POST")
            .uri(format!("http://{}/v1/completions", self.address))
            .header("authorization", format!("Bearer {}", caller::ACCOUNT_TOKEN));
        if let Some(version) = &self.version {
            request = request.header(http::MODEL_VERSION, version);
        }
        let request = request.body(http::full(call.to_string())).expect("a valid request");
        let sent = self.http.send("bench", &self.address, request, PATIENCE_MS).await;
        let response = sent.expect("an answer");
        assert_eq!(response.status(), 200);
        response
    }

    async fn whole(&self) {
        let body = self.send(1, false).await.into_body();
        hint::black_box(body.collect().await.expect("a whole body"));
    }

    /// Records the time to the first byte and the gaps of one stream.
    async fn stream(&self, first: &mut Histogram, gaps: &mut Histogram) {
        let start = time::Instant::now();
        let mut body = self.send(TOKENS, true).await.into_body();
        let mut last = None;
        while let Some(frame) = body.frame().await {
            frame.expect("a whole stream");
            let now = time::Instant::now();
            let (histogram, since) = match last {
                None => (&mut *first, start),
                Some(last) => (&mut *gaps, last),
            };
            let elapsed_us = (now - since).as_micros() as u64;
            histogram.record(elapsed_us).expect("within bounds");
            last = Some(now);
        }
    }
}

type Histogram = hdrhistogram::Histogram<u64>;

fn histogram() -> Histogram {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

fn row(name: &str, histogram: &Histogram) {
    let at = |quantile| histogram.value_at_quantile(quantile);
    println!("| {name} | {} | {} | {} |", at(0.5), at(0.95), at(0.99));
}

fn percentiles(bench: &Bench) {
    println!("| us | p50 | p95 | p99 |");
    for (name, target) in bench.targets() {
        let (mut first, mut gaps) = (histogram(), histogram());
        bench.runtime.block_on(async {
            for _ in 0..STREAMS {
                target.stream(&mut first, &mut gaps).await;
            }
        });
        row(&format!("{name}, first byte"), &first);
        row(&format!("{name}, gap"), &gaps);
    }
}

fn throughput(bench: &Bench) {
    for (name, target) in bench.targets() {
        let start = time::Instant::now();
        bench.runtime.block_on(async {
            let mut callers = task::JoinSet::new();
            for _ in 0..CONCURRENT {
                let target = target.clone();
                callers.spawn(async move {
                    for _ in 0..CALLS / CONCURRENT {
                        target.whole().await;
                    }
                });
            }
            while let Some(ended) = callers.join_next().await {
                ended.expect("no caller panics");
            }
        });
        let calls_per_s = CALLS as f64 / start.elapsed().as_secs_f64();
        println!("{name}: {calls_per_s:.0} calls/s with {CONCURRENT} at a time");
    }
}

/// Memory of all ends of an open stream: caller, entry, agent and stand-in.
fn memory() {
    let behaviour = engine::Behaviour { token_ms: 120_000, slots: 10_000, ..instant() };
    let bench = Bench::start(behaviour);
    for (name, target) in bench.targets() {
        let before = resident_bytes();
        let open = bench.runtime.block_on(async {
            let mut open = Vec::new();
            for _ in 0..OPEN {
                let mut body = target.send(TOKENS, true).await.into_body();
                body.frame().await;
                open.push(body);
            }
            open
        });
        let grown = resident_bytes().saturating_sub(before) / open.len() as u64;
        println!("{name}: {grown} bytes resident for each open stream, all ends together");
    }
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn instant() -> engine::Behaviour {
    engine::Behaviour {
        first_token_ms: 0,
        token_ms: 0,
        slots: 10_000,
        ..engine::Behaviour::default()
    }
}

fn calls(criterion: &mut Criterion) {
    let bench = Bench::start(instant());
    let mut group = criterion.benchmark_group("call");
    for (name, target) in bench.targets() {
        group.bench_function(name, |bencher| {
            bencher.iter(|| bench.runtime.block_on(target.whole()));
        });
    }
    group.finish();
    percentiles(&bench);
    throughput(&bench);
    memory();
}

criterion_group!(benches, calls);
criterion_main!(benches);
