//! Requests for one operation at several entries, with random delays, losses and kills.

#[path = "claims/sim.rs"]
mod sim;

use googletest::prelude::*;
use ragwortdeal_core::claims::operation;
use rand::{RngExt as _, SeedableRng as _};
use sim::{Fault, Message, Policy, Sim};

const SEEDS: u64 = 4_000;
const STEPS: usize = 120;
const ENTRIES: usize = 3;
const REQUESTS: usize = 5;

/// The results of the runs of all seeds.
#[derive(Debug, Default)]
struct Totals {
    runs_with_effect: u64,
    duplicates: u64,
    false_refusals: u64,
    foreign_answers: u64,
    released_and_run: u64,
}

fn run(policy: Policy, fault: Fault, seed: u64) -> Sim {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Sim::new(policy, fault);
    sim.request(0);
    for _ in 0..STEPS {
        match rng.random_range(0..100) {
            0..4 if sim.requests.len() < REQUESTS => {
                sim.request(rng.random_range(0..ENTRIES));
            }
            15..17 => sim.reconcile(rng.random_range(0..ENTRIES)),
            4..6 => sim.kill_entry(rng.random_range(0..ENTRIES)),
            6..8 => sim.restart_agent(),
            8..11 => lose_link(&mut sim, &mut rng),
            11..15 => lose_message(&mut sim, &mut rng),
            _ => deliver_any(&mut sim, &mut rng),
        }
    }
    // Deliver everything that is still in flight.
    for _ in 0..10_000 {
        if sim.in_flight.is_empty() {
            break;
        }
        deliver_any(&mut sim, &mut rng);
    }
    sim
}

fn pick(sim: &mut Sim, rng: &mut impl rand::Rng) -> Option<(usize, Message)> {
    if sim.in_flight.is_empty() {
        return None;
    }
    let index = rng.random_range(0..sim.in_flight.len());
    Some(sim.in_flight.swap_remove(index))
}

fn deliver_any(sim: &mut Sim, rng: &mut impl rand::Rng) {
    if let Some((number, message)) = pick(sim, rng) {
        sim.deliver(number, message);
    }
}

fn lose_link(sim: &mut Sim, rng: &mut impl rand::Rng) {
    let number = rng.random_range(0..sim.requests.len());
    if sim.requests[number].sent {
        sim.tell(number, operation::Event::LinkLost);
    }
}

fn lose_message(sim: &mut Sim, rng: &mut impl rand::Rng) {
    let Some((number, message)) = pick(sim, rng) else { return };
    match message {
        Message::ToLog(command) => {
            if rng.random_bool(0.5) {
                sim.commit(command);
            }
            sim.in_flight.push((number, Message::FromLog(None)));
        }
        Message::FromLog(_) => sim.in_flight.push((number, Message::FromLog(None))),
        Message::Call(..) | Message::Answered(_) => {
            sim.tell(number, operation::Event::LinkLost);
        }
        Message::ToUpstream(attempt, _) if rng.random_bool(0.5) => {
            sim.agent.mark_not_forwarded(&attempt);
            sim.tell(number, operation::Event::LinkLost);
        }
        Message::ToUpstream(attempt, _) | Message::FromUpstream(attempt, ..) => {
            sim.agent.mark_lost(&attempt);
            sim.tell(number, operation::Event::LinkLost);
        }
        Message::QueryAttempt(..) | Message::AttemptStatus(_) => {
            sim.tell(number, operation::Event::AgentUnreachable);
        }
        Message::WaitElapsed => sim.in_flight.push((number, Message::WaitElapsed)),
    }
}

fn totals(policy: Policy, fault: Fault) -> Totals {
    let mut totals = Totals::default();
    for seed in 0..SEEDS {
        let sim = run(policy, fault, seed);
        totals.runs_with_effect += u64::from(!sim.effects.is_empty());
        totals.duplicates += u64::from(sim.effects.len() > 1);
        totals.false_refusals += u64::from(sim.false_refusals() > 0);
        totals.foreign_answers += u64::from(sim.foreign_answers() > 0);
        let first = sim.requests.first().map(|request| &request.attempt);
        totals.released_and_run +=
            u64::from(sim.effects.first() != first && !sim.effects.is_empty());
    }
    println!("{policy:?} {fault:?}: {totals:?}");
    totals
}

/// Callers retry while earlier requests are in flight, links break, entries are killed and the
/// agent restarts, in any order. A second effect would be a transfer that is executed twice.
#[googletest::test]
fn seeded_faults_never_lead_to_a_second_effect() {
    for policy in [Policy::Promise, Policy::PromiseAndKey] {
        let totals = totals(policy, Fault::None);
        expect_that!(totals.duplicates, eq(0), "{policy:?}");
        expect_that!(totals.false_refusals, eq(0), "{policy:?}");
        expect_that!(totals.foreign_answers, eq(0), "{policy:?}");
        // The runs are meaningful: most take effect, and some only with a later attempt.
        expect_that!(totals.runs_with_effect, gt(SEEDS / 2), "{policy:?}");
        expect_that!(totals.released_and_run, gt(SEEDS / 100), "{policy:?}");
    }
}

macro_rules! injected {
    ($($case:ident: $fault:expr,)*) => {$(
        /// Verifies the check itself: with an injected fault the same seeds show a second effect.
        #[googletest::test]
        fn $case() {
            expect_that!(totals(Policy::Promise, $fault).duplicates, gt(0));
        }
    )*};
}

injected! {
    a_reused_incarnation_is_detected: Fault::SameIncarnation,
    a_forgotten_promise_is_detected: Fault::ForgetPromise,
    a_release_in_doubt_is_detected: Fault::DoubtReleases,
}
