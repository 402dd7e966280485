//! Reported paces of upstreams, and what they change in forecasts and choices.

mod figures;

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    answer_length::Tokens, backlog, caller_time, choice, forecast, gate, pace, peer_load,
};
use rand::{RngExt as _, SeedableRng as _};

const REPORTS_MS: u64 = 100;

fn factor(value: f64) -> pace::Factor {
    pace::Factor::new(value).unwrap()
}

/// Upstreams that report these factors each 100 ms for 20 s, and the mean of their service.
fn reported(factors: &[f64]) -> (Vec<pace::Pace>, pace::ServiceMean) {
    let mut paces = vec![pace::Pace::default(); factors.len()];
    let mut mean = pace::ServiceMean::default();
    for at_ms in (0..=20_000).step_by(REPORTS_MS as usize) {
        for (pace, value) in paces.iter_mut().zip(factors) {
            pace.record(factor(*value), at_ms, &mut mean);
        }
    }
    (paces, mean)
}

/// One engine of seven is slow, so that the mean is 1.21.
const ONE_IN_SEVEN: [f64; 7] = [2.5, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];

macro_rules! expected_after {
    ($($name:ident: $age_ms:expr => $low:expr, $high:expr;)*) => {
        $(
            /// Guards against a figure that counts for longer than engines keep their pace.
            #[googletest::test]
            fn $name() {
                let (paces, mean) = reported(&ONE_IN_SEVEN);
                let now = paces[0].expected(&mean, 20_000 + $age_ms).now();
                expect_that!(now, all!(ge($low), le($high)));
            }
        )*
    };
}

expected_after! {
    a_fresh_report_counts_in_full: 0 => 2.5, 2.5;
    a_report_halfway_between_two_changes_counts_half: 416 => 1.8, 1.9;
    reports_that_stop_give_way_to_the_mean: 3_000 => 1.2, 1.25;
    a_mean_without_reports_is_given_up: 300_000 => 1.0, 1.01;
}

/// Guards against an upstream whose start, or whose lost agent, makes it look faster than others.
#[googletest::test]
fn an_upstream_without_a_report_is_expected_at_the_mean() {
    let (_, mean) = reported(&ONE_IN_SEVEN);
    let now = pace::Pace::default().expected(&mean, 20_000).now();
    expect_that!(now, all!(ge(1.2), le(1.22)));
}

/// Guards against a late reply that replaces a newer one.
#[googletest::test]
fn an_overtaken_report_is_ignored() {
    let (mut paces, mut mean) = reported(&[1.0]);
    paces[0].record(factor(2.5), 19_900, &mut mean);
    expect_that!(paces[0].expected(&mean, 20_000), eq(pace::Expected::default()));
}

/// Guards against figures that would exclude an engine, or make it look infinitely fast.
#[googletest::test]
fn malformed_paces_are_rejected() {
    for malformed in [0.0, -1.0, 1e-9, 101.0, f64::NAN, f64::INFINITY] {
        expect_that!(pace::Factor::new(malformed), err(eq(pace::Malformed)));
    }
    expect_that!(pace::Factor::from_percent(0), err(anything()));
    expect_that!(pace::Factor::from_percent(10_001), err(anything()));
    expect_that!(pace::Factor::from_percent(250), ok(eq(factor(2.5))));
}

/// Guards against forecasts that differ in their last bits where no pace is reported.
#[googletest::test]
fn work_takes_exactly_as_long_as_usual_where_nothing_is_reported() {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let expected = pace::Pace::default().expected(&pace::ServiceMean::default(), 7);
    expect_that!(expected, eq(choice::Candidate::default().pace));
    for _ in 0..1_000 {
        let work_ms: f64 = random.random_range(0.0..10_000.0);
        expect_that!(expected.duration_ms(work_ms).to_bits(), eq(work_ms.to_bits()));
    }
}

/// Guards against a slow engine that is left idle while the others are full.
#[googletest::test]
fn an_engine_that_is_slow_for_good_is_avoided_but_not_excluded() {
    let (paces, mean) = reported(&[2.5, 1.0]);
    let model = forecast::LatencyModel::new(&figures::engine());
    let idle = paces.iter().map(|pace| choice::Candidate {
        slots: 16,
        same_zone: true,
        pace: pace.expected(&mean, 20_000),
        ..choice::Candidate::default()
    });
    let idle: Vec<_> = idle.collect();
    let full = choice::Candidate { open: 20, ..idle[1] };
    let prompt = choice::Prompt {
        prefill_ms: model.mean_prefill_ms(),
        answer: Tokens {
            expected: model.mean_answer_tokens(),
            longest: model.mean_answer_tokens(),
        },
        time: caller_time::CallerTime { first_event_ms: 400.0, answer_ms: 6_000.0 },
        error_ms: 0.0,
        pause_max_ms: f64::INFINITY,
        waiting_max: f64::INFINITY,
    };
    expect_that!(choice::fastest_engine(&idle, &model, &prompt, 0), some(eq(1)));
    expect_that!(choice::fastest_engine(&[idle[0], full], &model, &prompt, 1), some(eq(0)));
    expect_that!(choice::least_loaded(&idle, 0), some(eq(1)));
}

/// Guards against entries that all send to the engines which they all see as fast.
#[googletest::test]
fn entries_that_see_the_same_paces_spread_their_requests() {
    const ENTRIES: usize = 38;
    const ENGINES: usize = 58;
    const REQUESTS: u64 = 2 * ENGINES as u64;
    let factors: Vec<_> = (0..ENGINES).map(|engine| ONE_IN_SEVEN[engine % 7]).collect();
    let (paces, mean) = reported(&factors);
    let peers = backlog::PeerEntries { same_zone: 37.0, all: 37.0 };
    let upstream = backlog::UpstreamInfo { same_zone: true, slots: 12 };
    let latency_model = forecast::LatencyModel::new(&figures::engine());
    let work = gate::Work {
        latency_model,
        time: caller_time::CallerTime { first_event_ms: 2_300.0, answer_ms: 6_000.0 },
        pause_max_ms: 0,
        prefill_ms: latency_model.mean_prefill_ms(),
        answer_tokens: latency_model.mean_answer_tokens(),
        admitted: false,
        class: None,
    };
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    let mut sent = [0.0_f64; ENGINES];
    let mut gates = std::array::from_fn::<_, ENTRIES, _>(|_| gate::Gate::default());
    let mut views = Vec::new();
    let mut idle = backlog::Backlog::default();
    idle.record_report(peer_load::RequestCounts::default(), 20_000);
    // Two requests to each engine on average before the next report, fifty times.
    for request in 0..50 * REQUESTS {
        if request % REQUESTS == 0 {
            views = vec![vec![idle.clone(); ENGINES]; ENTRIES];
        }
        let now_ms = 20_000 + request % REQUESTS * REPORTS_MS / REQUESTS;
        let entry = random.random_range(0..ENTRIES);
        let seen = views[entry].iter().zip(&paces).map(|(view, pace)| choice::Candidate {
            pace: pace.expected(&mean, now_ms),
            ..view.candidate(&upstream, &peers, now_ms)
        });
        let seen: Vec<_> = seen.collect();
        let chosen = gates[entry].choose(&seen, &work, now_ms, random.random()).unwrap();
        views[entry][chosen.engine].open_request(work.prefill_ms);
        sent[chosen.engine] += 1.0;
    }
    let share = sent.iter().sum::<f64>() / (ENGINES as f64 * 6.0 / 7.0);
    let most = sent.iter().copied().fold(0.0, f64::max);
    expect_that!(most, lt(1.5 * share));
}
