//! A queueing model of callers, entries and upstreams with slots, in virtual time.

mod calls;
pub mod setup;

use std::collections;

use ragwortdeal_core::{
    admission, labels, name,
    retry::budget,
    routing,
    routing::{load, pool, upstream},
};
use rand::{Rng as _, SeedableRng as _};

const TICK_US: u64 = 20_000;
const REPORT_US: u64 = 100_000;
const SUMMARY_US: u64 = 500_000;
const FAILED_ATTEMPT_US: u64 = 1_000;
const BALANCER_DETECTION_US: u64 = 500_000;
const NETWORK_US: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    Done { upstream: usize, call: usize },
    AttemptFailed(usize),
    Hedge(usize),
    TakeReports,
    DeliverReports(usize),
    Tick,
    Summaries,
    Fault(usize),
}

#[derive(Clone, Debug)]
struct Call {
    caller: usize,
    entry: usize,
    arrived_us: u64,
    prefix: Option<u64>,
    ticket: Option<admission::Ticket>,
    at: Option<usize>,
    excluded: Vec<upstream::UpstreamId>,
    attempts: u32,
    twin: Option<usize>,
    over: bool,
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: u32,
    queue: collections::VecDeque<usize>,
    cached: collections::VecDeque<u64>,
    by_entry: Vec<u32>,
    failing: bool,
}

struct Entry {
    name: name::InstanceName,
    router: routing::Router,
    pool: pool::PoolId,
    ids: Vec<upstream::UpstreamId>,
    admission: Option<admission::Admission>,
    budgets: budget::Budgets,
    tickets: collections::BTreeMap<admission::Ticket, usize>,
    reported: Vec<u32>,
    next: usize,
    died_us: Option<u64>,
}

pub struct Model {
    setup: setup::Setup,
    rng: rand_chacha::ChaCha8Rng,
    now_us: u64,
    sequence: u64,
    events: collections::BTreeMap<(u64, u64), Event>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    reports: Vec<(u64, Vec<Vec<u32>>)>,
    outcome: setup::Outcome,
}

/// Runs a simulation to its end.
pub fn run(setup: &setup::Setup) -> setup::Outcome {
    let mut model = Model::new(setup.clone());
    model.run();
    model.outcome
}

pub fn announcement(index: usize, slots: u32) -> upstream::Announcement {
    upstream::Announcement {
        instance: name::InstanceName::new(&format!("engine-{index}")).unwrap(),
        incarnation: 1,
        zone: name::ZoneName::new("amman").unwrap(),
        labels: labels::Labels::new(),
        served: vec![upstream::Served { target: target(), version: None }],
        slots,
        lease_until_ms: u64::MAX,
    }
}

fn target() -> upstream::Target {
    upstream::Target::Service(name::ServiceName::new("offers").unwrap())
}

fn account(caller: &setup::Caller) -> name::AccountName {
    name::AccountName::new(caller.name).unwrap()
}

fn entry(index: usize, setup: &setup::Setup) -> Entry {
    let mut router = routing::Router::new(routing::Settings::default());
    let rule = pool::Rule {
        target: target(),
        version: None,
        selectors: vec![labels::Selector::default()],
    };
    let pool = router.pool(&rule).unwrap();
    let announced = (0..setup.upstreams).map(|index| announcement(index, setup.slots));
    let ids = announced.map(|announcement| router.announce(announcement)).collect();
    let capacity_slots = setup.upstreams as u32 * setup.slots;
    let admission = setup.admission.clone();
    Entry {
        name: name::InstanceName::new(&format!("entry-{index}")).unwrap(),
        router,
        pool,
        ids,
        admission: admission.map(|kind| admission::Admission::new(kind, capacity_slots)),
        budgets: budget::Budgets::new(budget::Settings::default()),
        tickets: collections::BTreeMap::new(),
        reported: vec![0; setup.upstreams],
        next: index,
        died_us: None,
    }
}

impl Model {
    fn new(setup: setup::Setup) -> Self {
        let seconds = setup.duration_ms as usize / 1_000 + 1;
        let zeros = vec![0; seconds];
        let tally = setup::Tally {
            good_each_s: zeros.clone(),
            offered_each_s: zeros,
            ..setup::Tally::default()
        };
        let outcome = setup::Outcome {
            callers: vec![tally; setup.callers.len()],
            ..setup::Outcome::default()
        };
        let mut model = Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(setup.seed),
            now_us: 0,
            sequence: 0,
            events: collections::BTreeMap::new(),
            entries: (0..setup.entries).map(|index| entry(index, &setup)).collect(),
            servers: vec![
                Server { by_entry: vec![0; setup.entries], ..Server::default() };
                setup.upstreams
            ],
            calls: Vec::new(),
            reports: Vec::new(),
            outcome,
            setup,
        };
        for caller in 0..model.setup.callers.len() {
            model.next_arrival(caller);
        }
        for (index, (at_ms, _)) in model.setup.faults.clone().into_iter().enumerate() {
            model.at(at_ms * 1_000, Event::Fault(index));
        }
        model.at(0, Event::TakeReports);
        model.at(TICK_US, Event::Tick);
        model.at(SUMMARY_US, Event::Summaries);
        model
    }

    fn run(&mut self) {
        while let Some(((at_us, _), event)) = self.events.pop_first() {
            if at_us >= self.setup.duration_ms * 1_000 {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_us, self.sequence), event);
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn second(&self) -> usize {
        self.now_us as usize / 1_000_000
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        (-(1.0 - self.unit()).ln() * mean_us) as u64
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.unit() * limit as f64) as usize
    }

    fn next_arrival(&mut self, caller: usize) {
        let part = self.setup.callers[caller].part;
        let per_s = self.setup.capacity_per_s() * self.setup.offered * part;
        let gap_us = self.exponential_us(1e6 / per_s);
        self.at(self.now_us + gap_us, Event::Arrive(caller));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(caller) => self.arrive(caller),
            Event::Done { upstream, call } => self.done(upstream, call),
            Event::AttemptFailed(call) => self.attempt_failed(call),
            Event::Hedge(call) => self.hedge(call),
            Event::TakeReports => self.take_reports(),
            Event::DeliverReports(index) => self.deliver_reports(index),
            Event::Tick => self.tick(),
            Event::Summaries => self.exchange_summaries(),
            Event::Fault(index) => self.fault(index),
        }
    }

    fn arrive(&mut self, caller: usize) {
        self.next_arrival(caller);
        let second = self.second();
        self.outcome.callers[caller].offered += 1;
        self.outcome.callers[caller].offered_each_s[second] += 1;
        let detected = |died_us: u64| self.now_us > died_us + BALANCER_DETECTION_US;
        let entries = self.entries.iter().enumerate();
        let listed = entries.filter(|(_, entry)| !entry.died_us.is_some_and(detected));
        let listed: Vec<usize> = listed.map(|(index, _)| index).collect();
        let entry = listed[self.below(listed.len())];
        if self.entries[entry].died_us.is_some() {
            self.outcome.callers[caller].failed += 1;
            return;
        }
        let prefix = (self.setup.prefixes > 0).then(|| self.prefix());
        let call = Call {
            caller,
            entry,
            arrived_us: self.now_us,
            prefix,
            ticket: None,
            at: None,
            excluded: Vec::new(),
            attempts: 0,
            twin: None,
            over: false,
        };
        self.calls.push(call);
        let call = self.calls.len() - 1;
        if let Some(after_ms) = self.setup.hedge_after_ms {
            self.at(self.now_us + after_ms * 1_000, Event::Hedge(call));
        }
        self.offer(call);
    }

    /// Popularity decreases with the prefix number: the square of a uniform value favours low ones.
    fn prefix(&mut self) -> u64 {
        let unit = self.unit();
        (unit * unit * self.setup.prefixes as f64) as u64
    }

    fn take_reports(&mut self) {
        let by_entry = self.servers.iter().map(|server| server.by_entry.clone());
        self.reports.push((self.now_ms(), by_entry.collect()));
        let index = self.reports.len() - 1;
        self.at(self.now_us + self.setup.lag_ms * 1_000, Event::DeliverReports(index));
        self.at(self.now_us + REPORT_US, Event::TakeReports);
    }

    fn deliver_reports(&mut self, index: usize) {
        let (taken_at_ms, loads) = self.reports[index].clone();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            for (upstream, by_entry) in loads.iter().enumerate() {
                let name = announcement(upstream, 1).instance;
                let running = by_entry.iter().sum();
                let from_here = by_entry[index];
                let report = load::Report { running, waiting: 0, from_here, taken_at_ms };
                entry.router.report(&name, report);
                entry.reported[upstream] = running;
            }
            entry.router.refresh();
        }
    }

    fn tick(&mut self) {
        for index in 0..self.entries.len() {
            let now_ms = self.now_ms();
            let entry = &mut self.entries[index];
            if let (Some(admission), None) = (entry.admission.as_mut(), entry.died_us) {
                let actions = admission.tick(now_ms);
                self.act(index, actions);
            }
        }
        self.at(self.now_us + TICK_US, Event::Tick);
    }

    fn exchange_summaries(&mut self) {
        let now_ms = self.now_ms() + NETWORK_US / 1_000;
        for from in 0..self.entries.len() {
            let sender = &self.entries[from];
            let (Some(admission), None) = (sender.admission.as_ref(), sender.died_us) else {
                continue;
            };
            let (name, summary) = (sender.name.clone(), admission.summary());
            for (to, entry) in self.entries.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                debug_assert_ne!(to, from);
                if let Some(admission) = entry.admission.as_mut() {
                    admission.update_peer(&name, summary.clone(), now_ms);
                }
            }
        }
        self.at(self.now_us + SUMMARY_US, Event::Summaries);
    }

    fn fault(&mut self, index: usize) {
        match self.setup.faults[index].1 {
            setup::Fault::EntryDies(entry) => {
                self.entries[entry].died_us = Some(self.now_us);
                let lost = self.calls.iter_mut().filter(|call| call.entry == entry && !call.over);
                for call in lost {
                    call.over = true;
                    self.outcome.callers[call.caller].failed += 1;
                }
            }
            setup::Fault::LeasesEnd(count) => {
                let left = (self.setup.upstreams - count) as u32 * self.setup.slots;
                for entry in &mut self.entries {
                    for index in 0..count {
                        entry.router.leave(&announcement(index, 1).instance);
                    }
                    if let Some(admission) = entry.admission.as_mut() {
                        admission.set_capacity(left);
                    }
                }
            }
            setup::Fault::UpstreamsFail(count) => {
                for server in &mut self.servers[..count] {
                    server.failing = true;
                }
                let at = |call: &Call| call.at.is_some_and(|at| at < count) && !call.over;
                let lost = (0..self.calls.len()).filter(|&call| at(&self.calls[call]));
                for call in lost.collect::<Vec<_>>() {
                    self.at(self.now_us + FAILED_ATTEMPT_US, Event::AttemptFailed(call));
                }
            }
        }
    }
}
