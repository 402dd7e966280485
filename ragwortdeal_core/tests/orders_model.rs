//! Orders under delays of a minute, losses, restarts and stale reads, against a simulated engine.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::{
    digest, name,
    orders::{issuer, order},
};
use rand::{RngExt as _, SeedableRng as _};

const SEEDS: u64 = 600;
const SECONDS: u64 = 1_200;
const ORDER_LIFE_MS: u64 = 60_000;
const REPLY_TIMEOUT_MS: u64 = 5_000;

fn weights(number: u64) -> order::WeightsId {
    order::WeightsId {
        model: name::ModelName::new("matcher").unwrap(),
        adapter: None,
        version: digest::Digest::of(&number.to_le_bytes()),
    }
}

/// An engine that executes any order, even a harmful one.
#[derive(Clone, Debug)]
struct SimulatedEngine {
    fencing: order::Fencing,
    state: order::EngineState,
    loading: Option<(order::WeightsId, u64, u64)>,
}

impl SimulatedEngine {
    fn new(fencing: order::Fencing) -> Self {
        let state = order::EngineState {
            loaded: collections::BTreeSet::from([weights(0)]),
            loading: false,
            active: Some(weights(0)),
            role: order::Role::new("whole"),
            highest_fence: None,
        };
        Self { fencing, state, loading: None }
    }

    /// Executes an order; a load replies only when it has finished.
    fn execute(&mut self, order: &order::Order, load_seconds: u64) -> Option<issuer::Event> {
        if self.fencing == order::Fencing::Checked {
            if self.state.highest_fence > Some(order.fence) {
                return Some(issuer::Event::Refused(order.sequence));
            }
            self.state.highest_fence = Some(order.fence);
        }
        match &order.kind {
            order::OrderKind::Load(id) if self.state.loaded.contains(id) => {}
            order::OrderKind::Load(id) => {
                self.state.loading = true;
                self.loading = Some((id.clone(), load_seconds, order.sequence));
                return None;
            }
            order::OrderKind::Unload(id) => {
                self.state.loaded.remove(id);
            }
            order::OrderKind::Activate(id) => self.state.active = Some(id.clone()),
            order::OrderKind::ChangeRole(role) => self.state.role = role.clone(),
        }
        Some(issuer::Event::Done(order.sequence))
    }

    fn advance_one_second(&mut self) -> Option<issuer::Event> {
        let (id, left, sequence) = self.loading.take()?;
        if left > 0 {
            self.loading = Some((id, left - 1, sequence));
            return None;
        }
        self.state.loading = false;
        self.state.loaded.insert(id);
        Some(issuer::Event::Done(sequence))
    }

    fn serves_partial(&self) -> bool {
        self.state.active.as_ref().is_some_and(|active| !self.state.loaded.contains(active))
    }
}

#[derive(Debug)]
enum Message {
    Order { order: order::Order },
    Event { event: issuer::Event },
}

/// Injected faults, which the checks have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// An order without a reply is considered expired at once.
    NoExpiryWait,
    /// A restarted agent accepts the first intent that it reads.
    NoFloor,
    /// The settings say that the engine checks fences, but it does not.
    WrongFencing,
}

struct Simulation {
    rng: rand_chacha::ChaCha8Rng,
    fault: Fault,
    engine: SimulatedEngine,
    issuer: issuer::OrderIssuer,
    incarnation: u64,
    now_ms: u64,
    in_flight: Vec<(u64, u64, Message)>,
    outstanding: Option<(u64, u64)>,
    intents: Vec<order::Intent>,
    /// Highest revision that this instance has ever read from the log.
    known: u64,
    in_force: u64,
    reports: u64,
    partial: u64,
    fell_back: u64,
}

fn settings(fencing: order::Fencing, fault: Fault) -> issuer::IssuerSettings {
    let wrong = fault == Fault::WrongFencing;
    let fencing = if wrong { order::Fencing::Checked } else { fencing };
    let order_life_ms = if fault == Fault::NoExpiryWait { 0 } else { ORDER_LIFE_MS };
    issuer::IssuerSettings { fencing, order_life_ms }
}

impl Simulation {
    fn new(fencing: order::Fencing, fault: Fault, seed: u64) -> Self {
        let mut issuer = issuer::OrderIssuer::new(settings(fencing, fault), 0);
        issuer.handle(issuer::Event::Floor(order::Fence(0)), 0);
        Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            fault,
            engine: SimulatedEngine::new(fencing),
            issuer,
            incarnation: 0,
            now_ms: 0,
            in_flight: Vec::new(),
            outstanding: None,
            intents: vec![intent(0, 0)],
            known: 0,
            in_force: 0,
            reports: 0,
            partial: 0,
            fell_back: 0,
        }
    }

    fn run(mut self) -> Self {
        for _ in 0..SECONDS {
            self.now_ms += 1_000;
            self.random_event();
            self.deliver_due();
            if let Some(event) = self.engine.advance_one_second() {
                self.send_event(event);
            }
            self.time_out();
            self.act();
            self.check();
        }
        self
    }

    fn random_event(&mut self) {
        match self.rng.random_range(0..200) {
            0..3 => self.commit_intent(),
            3..5 => self.restart(),
            5..8 => self.read_intent(),
            8..20 => self.issuer.refresh(),
            _ => {}
        }
    }

    /// An operator changes the version, sometimes back to an earlier one.
    fn commit_intent(&mut self) {
        let fence = self.intents.len() as u64;
        let back = fence.saturating_sub(self.rng.random_range(0..4));
        let version = if self.rng.random_bool(0.5) { fence } else { back };
        self.intents.push(intent(fence, version));
        self.read_intent();
    }

    fn read_intent(&mut self) {
        let newest = self.intents.len() - 1;
        self.known = newest as u64;
        let intent = self.intents[newest].clone();
        self.issuer.handle(issuer::Event::Intent(intent), self.now_ms);
    }

    /// The agent restarts and reads an intent from a voter that has been partitioned for a while.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.outstanding = None;
        let settings = settings(self.engine.fencing, self.fault);
        self.issuer = issuer::OrderIssuer::new(settings, self.now_ms);
        let stale = self.rng.random_range(0..self.intents.len());
        let intent = self.intents[stale].clone();
        let floor = if self.fault == Fault::NoFloor { 0 } else { self.known };
        self.issuer.handle(issuer::Event::Intent(intent), self.now_ms);
        if self.rng.random_bool(0.8) {
            self.issuer.handle(issuer::Event::Floor(order::Fence(floor)), self.now_ms);
        }
    }

    fn deliver_due(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self.in_flight.drain(..).partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.in_flight = later;
        for (_, incarnation, message) in due {
            match message {
                Message::Order { order } => {
                    let load_seconds = self.rng.random_range(0..4);
                    if let Some(event) = self.engine.execute(&order, load_seconds) {
                        self.send_event_from(incarnation, event);
                    }
                }
                Message::Event { event } if incarnation == self.incarnation => self.deliver(event),
                Message::Event { .. } => {}
            }
        }
    }

    fn deliver(&mut self, event: issuer::Event) {
        if let issuer::Event::Done(sequence) | issuer::Event::Refused(sequence) = &event
            && self.outstanding.is_some_and(|(outstanding, _)| outstanding == *sequence)
        {
            self.outstanding = None;
        }
        self.issuer.handle(event, self.now_ms);
    }

    fn send_event(&mut self, event: issuer::Event) {
        self.send_event_from(self.incarnation, event);
    }

    fn send_event_from(&mut self, incarnation: u64, event: issuer::Event) {
        if self.rng.random_bool(0.95) {
            let at_ms = self.now_ms + self.delay_ms();
            self.in_flight.push((at_ms, incarnation, Message::Event { event }));
        }
    }

    /// Most messages arrive at once, some take almost as long as the lifetime of an order.
    fn delay_ms(&mut self) -> u64 {
        match self.rng.random_range(0..10) {
            0..8 => 0,
            8 => self.rng.random_range(0..10_000),
            _ => self.rng.random_range(0..ORDER_LIFE_MS - 5_000),
        }
    }

    fn time_out(&mut self) {
        if let Some((sequence, issued_at_ms)) = self.outstanding
            && self.now_ms >= issued_at_ms + REPLY_TIMEOUT_MS
        {
            self.outstanding = None;
            self.issuer.handle(issuer::Event::NoReply(sequence), self.now_ms);
        }
    }

    fn act(&mut self) {
        let local = issuer::LocalWeights {
            verified: self.intents.iter().filter_map(|intent| intent.active.clone()).collect(),
            in_use: collections::BTreeSet::new(),
        };
        match self.issuer.poll(self.now_ms, &local) {
            Some(issuer::Action::ReadState) => {
                let state = self.engine.state.clone();
                self.issuer.handle(issuer::Event::State(state), self.now_ms);
            }
            Some(issuer::Action::Issue(order)) => {
                self.outstanding = Some((order.sequence, self.now_ms));
                let at_ms = self.now_ms + self.delay_ms();
                self.in_flight.push((at_ms, self.incarnation, Message::Order { order }));
            }
            None => {}
        }
    }

    fn check(&mut self) {
        self.partial += u64::from(self.engine.serves_partial());
        if let Some(fence) = self.issuer.in_force() {
            self.reports += u64::from(fence.0 > self.in_force);
            self.in_force = self.in_force.max(fence.0);
        }
        let newer = &self.intents[self.in_force as usize..];
        let intended = newer.iter().any(|intent| intent.active == self.engine.state.active);
        self.fell_back += u64::from(!intended);
    }
}

fn intent(fence: u64, version: u64) -> order::Intent {
    order::Intent {
        fence: order::Fence(fence),
        active: Some(weights(version)),
        loaded: collections::BTreeSet::new(),
        role: Some(order::Role::new("whole")),
    }
}

/// Seeds that served partial weights, seeds that fell back to old ones, and intents in force.
#[derive(Debug, Default)]
struct Totals {
    partial: u64,
    fell_back: u64,
    in_force: u64,
}

fn totals(fencing: order::Fencing, fault: Fault) -> Totals {
    let mut totals = Totals::default();
    for seed in 0..SEEDS {
        let simulation = Simulation::new(fencing, fault, seed).run();
        totals.partial += u64::from(simulation.partial > 0);
        totals.fell_back += u64::from(simulation.fell_back > 0);
        totals.in_force += simulation.reports;
    }
    println!("{fencing:?} {fault:?}: {totals:?}");
    totals
}

macro_rules! without_fault {
    ($($case:ident: $fencing:expr,)*) => {$(
        /// Orders arrive up to a minute late, replies are lost, the agent restarts and reads old
        /// intents. Callers must get neither answers of a withdrawn version nor garbage from partly
        /// unloaded weights.
        #[googletest::test]
        fn $case() {
            let totals = totals($fencing, Fault::None);
            expect_that!(totals.partial, eq(0));
            expect_that!(totals.fell_back, eq(0));
            expect_that!(totals.in_force, gt(SEEDS));
        }
    )*};
}

without_fault! {
    an_engine_that_checks_fences_is_safe: order::Fencing::Checked,
    an_engine_that_ignores_fences_is_safe: order::Fencing::Ignored,
}

macro_rules! with_fault {
    ($($case:ident: $fault:expr,)*) => {$(
        /// The issuer is used with an injected fault; the same seeds have to show a fallback or
        /// partial weights.
        #[googletest::test]
        fn $case() {
            let totals = totals(order::Fencing::Ignored, $fault);
            expect_that!(totals.partial + totals.fell_back, gt(0));
        }
    )*};
}

with_fault! {
    not_waiting_for_late_orders_is_detected: Fault::NoExpiryWait,
    accepting_a_stale_intent_is_detected: Fault::NoFloor,
    wrong_settings_for_the_engine_are_detected: Fault::WrongFencing,
}
