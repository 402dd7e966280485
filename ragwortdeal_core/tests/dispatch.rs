//! Selection of upstreams, the shared retry budget and the cutoff of superseded weights.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::{
    choice::{self, Candidate},
    cutoff::{self, PathKnowledge},
    retry_budget::{Budget, Usage},
};
use rand::{RngExt as _, SeedableRng as _};

const BUDGET: Budget = Budget { ratio: 0.2, allowance: 100.0, window_ms: 10_000 };

/// Entries join, are partitioned and see changing traffic, while every request wants a retry.
/// Together they must stay within the budget in every window.
#[googletest::test]
fn partitioned_entries_stay_within_the_shared_budget() {
    for seed in 0..50 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let entries = random.random_range(1..9usize);
        let mut usage = vec![Usage::default(); entries];
        let mut first_attempts = Vec::new();
        let mut retries = Vec::new();
        let mut now_ms = 0;
        for _ in 0..6_000 {
            now_ms += random.random_range(0..20);
            let entry = random.random_range(0..entries);
            usage[entry].record_first_attempt(&BUDGET, now_ms);
            first_attempts.push(now_ms);
            // An entry may see fewer entries than there are for a while, but never more.
            if usage[entry].try_retry(&BUDGET, Some(entries), now_ms).is_granted {
                retries.push(now_ms);
            }
        }
        let within = |times: &[u64], to_ms: u64| {
            let from_ms = to_ms.saturating_sub(BUDGET.window_ms);
            times.iter().filter(|at| **at > from_ms && **at <= to_ms).count() as f64
        };
        for to_ms in (0..now_ms).step_by(500) {
            let allowed = BUDGET.ratio * within(&first_attempts, to_ms) + BUDGET.allowance;
            expect_that!(within(&retries, to_ms), le(allowed));
        }
        expect_that!(retries.len(), gt(0));
    }
}

fn idle() -> Candidate {
    Candidate { slots: 16, same_zone: true, ..Candidate::default() }
}

#[googletest::test]
fn the_less_loaded_upstream_is_selected() {
    let busy = Candidate { open: 9, ..idle() };
    expect_that!(choice::least_loaded(&[busy, idle()], 0), some(eq(1)));
}

#[googletest::test]
fn an_upstream_in_another_zone_needs_a_much_lower_load() {
    let other_zone = Candidate { same_zone: false, ..idle() };
    expect_that!(
        choice::least_loaded(&[Candidate { open: 3, ..idle() }, other_zone], 0),
        some(eq(0))
    );
    expect_that!(
        choice::least_loaded(&[Candidate { open: 6, ..idle() }, other_zone], 0),
        some(eq(1))
    );
}

#[googletest::test]
fn nothing_is_selected_when_all_upstreams_are_full() {
    let full = Candidate { open: 10, peer_open: 9.0, ..idle() };
    expect_that!(choice::least_loaded(&[full, full], 1), none());
    expect_that!(choice::least_loaded(&[], 1), none());
}

/// Prompts of very different length arrive at a few engines, each of which reads one after the
/// other. When only open requests are counted, short prompts end up behind long ones while another
/// engine has nothing to read. The wait for the first event is compared with that naive rule.
#[googletest::test]
fn counting_pending_prefill_shortens_the_wait_for_the_first_event() {
    let counted = mean_wait_ms(true);
    let naive = mean_wait_ms(false);
    expect_that!(counted, lt(naive * 0.8));
}

/// Mean wait over a seeded load: 8 engines read prompts of 5 to 130 ms, 160 requests arrive a
/// second, and each stays open for 1.2 s after its prefill.
fn mean_wait_ms(counts_prompts: bool) -> f64 {
    const ENGINES: usize = 8;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut free_at_ms = [0.0f64; ENGINES];
    let mut ends_ms: Vec<Vec<f64>> = vec![Vec::new(); ENGINES];
    let (mut now_ms, mut waited_ms, mut served) = (0.0, 0.0, 0.0);
    for _ in 0..8_000 {
        now_ms += -6.25 * (1.0 - random.random::<f64>()).ln();
        let long = random.random::<f64>().powi(3);
        let prefill_ms = 5.0 + 125.0 * long;
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|engine| {
                ends_ms[engine].retain(|end| *end > now_ms);
                let pending_ms = (free_at_ms[engine] - now_ms).max(0.0);
                Candidate {
                    open: ends_ms[engine].len() as u32,
                    slots: 64,
                    same_zone: true,
                    prefill_ms: if counts_prompts { pending_ms } else { 0.0 },
                    ..Candidate::default()
                }
            })
            .collect();
        let Some(engine) = choice::least_loaded(&candidates, random.random()) else {
            continue;
        };
        let starts_ms = free_at_ms[engine].max(now_ms);
        free_at_ms[engine] = starts_ms + prefill_ms;
        waited_ms += starts_ms + prefill_ms - now_ms;
        served += 1.0;
        ends_ms[engine].push(starts_ms + prefill_ms + 1_200.0);
    }
    waited_ms / served
}

/// Weights are superseded while the path to an engine is congested without anybody knowing. A
/// request that is sent too late starts on the old weights after their deadline.
#[googletest::test]
fn the_less_is_known_of_a_path_the_earlier_the_cutoff() {
    let unknown = cutoff::margin_ms(PathKnowledge::default());
    let slow =
        PathKnowledge { slow: true, responsive: true, has_newer_weights: true, confirmed: true };
    let responsive = PathKnowledge { responsive: true, ..PathKnowledge::default() };
    let has_newer = PathKnowledge { has_newer_weights: true, ..responsive };
    expect_that!(cutoff::margin_ms(slow), gt(unknown));
    expect_that!(cutoff::margin_ms(responsive), lt(unknown));
    expect_that!(cutoff::margin_ms(has_newer), lt(cutoff::margin_ms(responsive)));
    let confirmed = PathKnowledge { confirmed: true, ..has_newer };
    expect_that!(cutoff::margin_ms(confirmed), lt(cutoff::margin_ms(has_newer)));
}
