//! Admission against a naive computation of shares, and its invariants over random histories with
//! fixed seeds.

use std::collections;

use googletest::prelude::*;
use proptest::prelude::{Strategy as _, prop};
use ragwortdeal_core::{
    admission,
    admission::{refusal, shares},
    name,
};
use rand::{Rng as _, SeedableRng as _};

fn account(text: &str) -> name::AccountName {
    name::AccountName::new(text).unwrap()
}

fn entry(text: &str) -> name::InstanceName {
    name::InstanceName::new(text).unwrap()
}

fn request(text: &str, deadline_ms: u64) -> admission::Request {
    let priority = admission::Priority::Normal;
    admission::Request { account: account(text), priority, deadline_ms, draw: 0 }
}

/// Raises the level of all unsatisfied requests in small steps until the capacity is used up.
fn naive_shares(capacity: f64, requests: &[shares::ShareRequest]) -> Vec<f64> {
    const STEP: f64 = 0.002;
    let mut level = 0.0;
    let at = |level: f64| -> Vec<f64> {
        requests
            .iter()
            .map(|request| request.wanted.min(level * f64::from(request.weight)))
            .collect()
    };
    let all: f64 = requests.iter().map(|request| request.wanted).sum();
    while at(level).iter().sum::<f64>() < capacity.min(all) - 1e-9 {
        level += STEP;
    }
    at(level)
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..proptest::test_runner::Config::with_cases(200)
    })]

    #[test]
    fn shares_agree_with_a_naive_computation(
        capacity in 0u32..60,
        requests in prop::collection::vec((1u32..5, 0u32..30), 0..8)
            .prop_map(|requests| requests.into_iter().map(|(weight, wanted)| shares::ShareRequest {
                weight,
                wanted: f64::from(wanted),
            }).collect::<Vec<_>>()),
    ) {
        let capacity = f64::from(capacity);
        let shares = shares::max_min_shares(capacity, requests.iter());
        let naive = naive_shares(capacity, &requests);
        for (share, naive) in shares.iter().zip(&naive) {
            proptest::prop_assert!((share - naive).abs() < 0.02, "{shares:?} {naive:?}");
        }
        let wanted: f64 = requests.iter().map(|request| request.wanted).sum();
        let given: f64 = shares.iter().sum();
        proptest::prop_assert!((given - capacity.min(wanted)).abs() < 1e-6);
    }
}

/// State of a ticket. Each state may be entered once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TicketState {
    Queued { since_ms: u64 },
    Running,
    Over,
}

struct History {
    admission: admission::Admission,
    states: collections::BTreeMap<admission::Ticket, TicketState>,
    queue_max_ms: u64,
}

impl History {
    fn act(&mut self, actions: Vec<admission::Action>, now_ms: u64) {
        for action in actions {
            let (ticket, next) = match action {
                admission::Action::Start(ticket) => (ticket, TicketState::Running),
                admission::Action::Refuse(ticket, refusal) => {
                    assert_that!(refusal.retry_after_ms, ge(100));
                    (ticket, TicketState::Over)
                }
            };
            let TicketState::Queued { since_ms } = self.states[&ticket] else {
                panic!("{ticket:?} was {:?} before {action:?}", self.states[&ticket]);
            };
            assert_that!(now_ms - since_ms, le(self.queue_max_ms));
            self.states.insert(ticket, next);
        }
    }

    fn offer(&mut self, text: &str, deadline_ms: u64, now_ms: u64) {
        let state = match self.admission.offer(request(text, deadline_ms), now_ms) {
            admission::Decision::Admitted(ticket) => (ticket, TicketState::Running),
            admission::Decision::Queued(ticket) => {
                (ticket, TicketState::Queued { since_ms: now_ms })
            }
            admission::Decision::Refused(_) => return,
        };
        assert_that!(self.states.insert(state.0, state.1), none());
    }

    fn running(&self) -> Vec<admission::Ticket> {
        let running = self.states.iter().filter(|(_, state)| **state == TicketState::Running);
        running.map(|(&ticket, _)| ticket).collect()
    }
}

macro_rules! keeps_its_invariants {
    ($($case:ident: $seed:expr,)*) => {$(
        /// Requests arrive, end and are cancelled in any order. A ticket that is started after its
        /// refusal would run although its caller was told that it did not.
        #[googletest::test]
        fn $case() {
            let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64($seed);
            let settings = admission::Settings::default();
            let queue_max_ms = settings.queue_max_ms;
            let admission = admission::Admission::new(settings, 8);
            let states = collections::BTreeMap::new();
            let mut history = History { admission, states, queue_max_ms };
            for now_ms in 0..5_000 {
                step_of(&mut history, &mut rng, now_ms);
            }
            let queued = history
                .states
                .values()
                .filter(|state| matches!(state, TicketState::Queued { .. }));
            expect_that!(history.admission.queued(), eq(queued.count()));
            expect_that!(history.admission.running(), eq(history.running().len()));
        }
    )*};
}

fn step_of(history: &mut History, rng: &mut rand_chacha::ChaCha8Rng, now_ms: u64) {
    let due = history.admission.next_wake_ms().is_some_and(|wake_ms| wake_ms <= now_ms);
    if due || now_ms.is_multiple_of(100) {
        let actions = history.admission.tick(now_ms);
        history.act(actions, now_ms);
    }
    if rng.next_u64().is_multiple_of(10) {
        let name = ["a", "b", "c"][rng.next_u64() as usize % 3];
        history.offer(name, now_ms + 100 + rng.next_u64() % 2_000, now_ms);
    }
    let running = history.running();
    if rng.next_u64().is_multiple_of(20) && !running.is_empty() {
        let ticket = running[rng.next_u64() as usize % running.len()];
        history.states.insert(ticket, TicketState::Over);
        let cancelled = rng.next_u64().is_multiple_of(5);
        let actions = match cancelled {
            true => history.admission.cancel(ticket, now_ms),
            false => history.admission.finish(ticket, now_ms),
        };
        history.act(actions, now_ms);
    }
    assert_that!(history.admission.running(), le(8 * 2));
}

keeps_its_invariants! {
    seed_1: 1,
    seed_2: 2,
    seed_3: 3,
}

/// Fills the entry with one account's calls.
fn full_of(text: &str) -> admission::Admission {
    let mut admission = admission::Admission::new(admission::Settings::default(), 10);
    for _ in 0..40 {
        admission.offer(request(text, 10_000), 0);
    }
    admission.tick(10);
    admission
}

/// Queued requests can no longer start once the upstreams stall. If they were refused only at their
/// deadline, callers would wait seconds for nothing.
#[googletest::test]
fn an_expired_request_is_refused_at_once() {
    let mut admission = full_of("large");
    let queued = admission.queued();
    expect_that!(queued, gt(0));
    let wake_ms = admission.next_wake_ms().unwrap();
    expect_that!(wake_ms, le(500));
    let actions = admission.tick(wake_ms);
    expect_that!(actions.len(), eq(queued));
    expect_that!(actions, each(matches_pattern!(admission::Action::Refuse(_, _))));
}

/// Most upstreams vanish while requests wait. Those at the end of the queue can no longer start in
/// time and must be refused at the next tick, not at the end of their time.
#[googletest::test]
fn a_loss_of_capacity_refuses_late_requests_at_the_next_tick() {
    let mut admission = full_of("large");
    let queued = admission.queued();
    admission.set_capacity(2);
    let actions = admission.tick(100);
    let refused = actions.len();
    expect_that!(refused, gt(0));
    expect_that!(refused, lt(queued));
}

/// A large account holds every slot and a full queue. The first call of a small one must not wait.
#[googletest::test]
fn a_small_account_is_served_beside_a_large_one() {
    let mut admission = full_of("large");
    let refused = admission.offer(request("large", 10_000), 20);
    expect_that!(
        refused,
        matches_pattern!(admission::Decision::Refused(matches_pattern!(refusal::Refusal {
            reason: eq(refusal::Reason::AccountShare),
            ..
        })))
    );
    let small = admission.offer(request("small", 10_000), 20);
    expect_that!(small, matches_pattern!(admission::Decision::Admitted(_)));
}

/// A caller that waits 50 ms cannot be served by calls that last 200 ms. Running its call anyway
/// takes a slot for an answer that nobody reads.
#[googletest::test]
fn a_request_with_too_close_a_deadline_is_refused() {
    let mut admission = admission::Admission::new(admission::Settings::default(), 10);
    let decision = admission.offer(request("a", 50), 0);
    expect_that!(
        decision,
        matches_pattern!(admission::Decision::Refused(matches_pattern!(refusal::Refusal {
            reason: eq(refusal::Reason::Deadline),
            ..
        })))
    );
}

/// An entry dies without notice. Its account's calls come here, and its share must be available
/// after its last summary has expired, not only after a restart.
#[googletest::test]
fn the_share_of_a_silent_entry_is_released() {
    let mut admission = admission::Admission::new(admission::Settings::default(), 20);
    let other = admission_with_demand(20);
    admission.update_peer(&entry("entry-2"), other.summary(), 0);
    admission.tick(5);
    let admitted = |admission: &mut admission::Admission, now_ms: u64| {
        for _ in 0..40 {
            admission.offer(request("a", now_ms + 10_000), now_ms);
        }
        admission.tick(now_ms + 1);
        admission.running()
    };
    let before = admitted(&mut admission, 10);
    expect_that!(before, le(16));
    admission.tick(2_100);
    let after = admitted(&mut admission, 2_200);
    expect_that!(after, ge(22));
}

fn admission_with_demand(calls: usize) -> admission::Admission {
    let mut admission = admission::Admission::new(admission::Settings::default(), 20);
    for _ in 0..calls {
        admission.offer(request("a", 10_000), 0);
    }
    admission
}
