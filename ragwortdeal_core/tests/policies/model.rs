//! A small queueing model: callers, entries and upstreams with slots, in virtual time.

use std::collections;

use ragwortdeal_core::{
    admission, labels, name, retry,
    retry::budget,
    routing,
    routing::{choice, load, pool, upstream},
};
use rand::{Rng as _, SeedableRng as _};

const TICK_US: u64 = 20_000;
const REPORT_US: u64 = 100_000;
const SUMMARY_US: u64 = 500_000;
const FAILED_ATTEMPT_US: u64 = 1_000;
const BALANCER_NOTICES_US: u64 = 500_000;
const NETWORK_US: u64 = 5_000;

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choosing {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
    Affinity,
}

/// How failed attempts are repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Retrying {
    Never,
    Unbounded,
    Budgeted,
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    EntryDies(usize),
    UpstreamsFail(usize),
    LeasesEnd(usize),
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub name: &'static str,
    pub part: f64,
}

/// One run. Capacity is `upstreams * slots` calls at once.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub entries: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub service_ms: f64,
    pub offered: f64,
    pub callers: Vec<Caller>,
    pub deadline_ms: u64,
    pub lag_ms: u64,
    pub duration_ms: u64,
    pub choosing: Choosing,
    pub retrying: Retrying,
    pub admission: Option<admission::Settings>,
    pub faults: Vec<(u64, Fault)>,
    pub prefixes: usize,
    pub prefixes_kept: usize,
    pub hedge_after_ms: Option<u64>,
}

impl Setup {
    pub fn new(seed: u64, choosing: Choosing) -> Self {
        Self {
            seed,
            entries: 4,
            upstreams: 12,
            slots: 8,
            service_ms: 200.0,
            offered: 0.8,
            callers: vec![Caller { name: "one", part: 1.0 }],
            deadline_ms: 2_000,
            lag_ms: 0,
            duration_ms: 60_000,
            choosing,
            retrying: Retrying::Never,
            admission: None,
            faults: Vec::new(),
            prefixes: 0,
            prefixes_kept: 0,
            hedge_after_ms: None,
        }
    }

    pub fn capacity_per_s(&self) -> f64 {
        self.upstreams as f64 * f64::from(self.slots) * 1_000.0 / self.service_ms
    }
}

/// What one caller got.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub offered: u64,
    pub good: u64,
    pub refused: u64,
    pub late: u64,
    pub failed: u64,
    pub good_each_s: Vec<u64>,
    pub offered_each_s: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub callers: Vec<Tally>,
    pub response_ms: Vec<u64>,
    pub attempts: u64,
    pub hits: u64,
    pub sent: u64,
}

impl Outcome {
    pub fn good(&self) -> u64 {
        self.callers.iter().map(|caller| caller.good).sum()
    }

    pub fn offered(&self) -> u64 {
        self.callers.iter().map(|caller| caller.offered).sum()
    }

    pub fn response_percentile_ms(&self, percent: usize) -> u64 {
        let mut sorted = self.response_ms.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * percent / 100).copied().unwrap_or(0)
    }
}

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
    setup: Setup,
    rng: rand_chacha::ChaCha8Rng,
    now_us: u64,
    sequence: u64,
    events: collections::BTreeMap<(u64, u64), Event>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    reports: Vec<(u64, Vec<Vec<u32>>)>,
    outcome: Outcome,
}

/// Runs a setup to its end.
pub fn run(setup: &Setup) -> Outcome {
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

fn account(caller: &Caller) -> name::AccountName {
    name::AccountName::new(caller.name).unwrap()
}

fn entry(index: usize, setup: &Setup) -> Entry {
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
    fn new(setup: Setup) -> Self {
        let seconds = setup.duration_ms as usize / 1_000 + 1;
        let zeros = vec![0; seconds];
        let tally = Tally { good_each_s: zeros.clone(), offered_each_s: zeros, ..Tally::default() };
        let outcome = Outcome { callers: vec![tally; setup.callers.len()], ..Outcome::default() };
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
        let noticed = |died_us: u64| self.now_us > died_us + BALANCER_NOTICES_US;
        let entries = self.entries.iter().enumerate();
        let listed = entries.filter(|(_, entry)| !entry.died_us.is_some_and(noticed));
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

    /// Popularity falls with rank: the square of a uniform value favours the first prefixes.
    fn prefix(&mut self) -> u64 {
        let unit = self.unit();
        (unit * unit * self.setup.prefixes as f64) as u64
    }

    fn offer(&mut self, call: usize) {
        let now_ms = self.now_ms();
        let (entry, caller) = (self.calls[call].entry, self.calls[call].caller);
        let request = admission::Request {
            account: account(&self.setup.callers[caller]),
            priority: admission::Priority::Normal,
            deadline_ms: now_ms + self.setup.deadline_ms,
            draw: self.rng.next_u64(),
        };
        let Some(admission) = self.entries[entry].admission.as_mut() else {
            return self.send(call);
        };
        match admission.offer(request, now_ms) {
            admission::Decision::Admitted(ticket) => {
                self.calls[call].ticket = Some(ticket);
                self.send(call);
            }
            admission::Decision::Queued(ticket) => {
                self.calls[call].ticket = Some(ticket);
                self.entries[entry].tickets.insert(ticket, call);
            }
            admission::Decision::Refused(_) => self.outcome.callers[caller].refused += 1,
        }
    }

    fn act(&mut self, entry: usize, actions: Vec<admission::Action>) {
        for action in actions {
            match action {
                admission::Action::Start(ticket) => {
                    let call = self.entries[entry].tickets.remove(&ticket).unwrap();
                    self.send(call);
                }
                admission::Action::Refuse(ticket, _) => {
                    let call = self.entries[entry].tickets.remove(&ticket).unwrap();
                    self.outcome.callers[self.calls[call].caller].refused += 1;
                }
            }
        }
    }

    fn choose(&mut self, call: usize) -> Option<usize> {
        let draw = self.rng.next_u64();
        let random = self.below(self.setup.upstreams);
        let now_ms = self.now_ms();
        let call = &self.calls[call];
        let entry = &mut self.entries[call.entry];
        let affinity = self.setup.choosing == Choosing::Affinity;
        match self.setup.choosing {
            Choosing::Random => Some(random),
            Choosing::RoundRobin => {
                entry.next = (entry.next + 1) % self.setup.upstreams;
                Some(entry.next)
            }
            Choosing::LeastReported => {
                (0..self.setup.upstreams).min_by_key(|&index| entry.reported[index])
            }
            Choosing::TwoChoices | Choosing::Affinity => {
                let prefix = call.prefix.filter(|_| affinity);
                let excluded = &call.excluded;
                let wanted = choice::Call { prefix, excluded, draw, now_ms };
                let id = entry.router.choose(entry.pool, &wanted)?.id;
                entry.ids.iter().position(|&other| other == id)
            }
        }
    }

    fn send(&mut self, call: usize) {
        let Some(at) = self.choose(call) else { return self.end(call, None) };
        let now_ms = self.now_ms();
        let entry = &mut self.entries[self.calls[call].entry];
        entry.router.begin(entry.ids[at], self.calls[call].prefix, now_ms);
        if self.calls[call].attempts == 0 {
            entry.budgets.first_attempt(entry.ids[at]);
        }
        self.calls[call].attempts += 1;
        self.calls[call].at = Some(at);
        self.outcome.attempts += 1;
        if self.servers[at].failing {
            return self.at(self.now_us + FAILED_ATTEMPT_US, Event::AttemptFailed(call));
        }
        self.servers[at].queue.push_back(call);
        self.servers[at].by_entry[self.calls[call].entry] += 1;
        self.serve(at);
    }

    /// Sends a copy of a call that takes long to another upstream; the first answer counts.
    fn hedge(&mut self, call: usize) {
        let (Some(at), false) = (self.calls[call].at, self.calls[call].over) else { return };
        let twin = self.calls.len();
        let excluded = vec![self.entries[self.calls[call].entry].ids[at]];
        let copy = Call { twin: Some(call), excluded, at: None, ..self.calls[call].clone() };
        self.calls[call].twin = Some(twin);
        self.calls.push(copy);
        self.send(twin);
    }

    fn serve(&mut self, at: usize) {
        while self.servers[at].running < self.setup.slots && !self.servers[at].failing {
            let Some(call) = self.servers[at].queue.pop_front() else { return };
            let waited_ms = (self.now_us - self.calls[call].arrived_us) / 1_000;
            if self.calls[call].over || waited_ms > self.setup.deadline_ms {
                self.servers[at].by_entry[self.calls[call].entry] -= 1;
            }
            if self.calls[call].over {
                continue;
            }
            if waited_ms > self.setup.deadline_ms {
                self.end(call, Some(false));
                continue;
            }
            self.servers[at].running += 1;
            let mut mean_us = self.setup.service_ms * 1_000.0;
            if self.calls[call].prefix.is_some_and(|prefix| self.cache_hit(at, prefix)) {
                mean_us /= 2.0;
            }
            let service_us = self.exponential_us(mean_us);
            self.at(self.now_us + service_us, Event::Done { upstream: at, call });
        }
    }

    fn cache_hit(&mut self, at: usize, prefix: u64) -> bool {
        let cached = &mut self.servers[at].cached;
        let held = cached.iter().position(|&other| other == prefix);
        held.map(|position| cached.remove(position));
        cached.push_back(prefix);
        if cached.len() > self.setup.prefixes_kept {
            cached.pop_front();
        }
        self.outcome.sent += 1;
        self.outcome.hits += u64::from(held.is_some());
        held.is_some()
    }

    fn done(&mut self, at: usize, call: usize) {
        if self.servers[at].failing {
            return;
        }
        self.servers[at].running -= 1;
        self.servers[at].by_entry[self.calls[call].entry] -= 1;
        if !self.calls[call].over {
            self.end(call, Some(true));
        }
        self.serve(at);
    }

    /// Ends a call that ran (`Some(true)`), ran out of time, or found nobody (`None`).
    fn end(&mut self, call: usize, ran: Option<bool>) {
        self.calls[call].over = true;
        if let Some(twin) = self.calls[call].twin {
            if ran != Some(true) && !self.calls[twin].over {
                return;
            }
            self.calls[twin].over = true;
        }
        let Call { caller, entry, arrived_us, ticket, at, .. } = self.calls[call].clone();
        let now_ms = self.now_ms();
        let second = self.second();
        let took_ms = (self.now_us - arrived_us) / 1_000;
        let tally = &mut self.outcome.callers[caller];
        match ran {
            Some(true) if took_ms <= self.setup.deadline_ms => {
                tally.good += 1;
                tally.good_each_s[second] += 1;
                self.outcome.response_ms.push(took_ms);
            }
            Some(_) => tally.late += 1,
            None => tally.failed += 1,
        }
        let entry_index = entry;
        let entry = &mut self.entries[entry_index];
        if let (Some(at), Some(_)) = (at, ran) {
            entry.router.finish(entry.ids[at], routing::Outcome::Answered, now_ms);
        }
        if let (Some(ticket), Some(admission)) = (ticket, entry.admission.as_mut()) {
            let actions = admission.finish(ticket, now_ms);
            self.act(entry_index, actions);
        }
    }

    fn attempt_failed(&mut self, call: usize) {
        let now_ms = self.now_ms();
        let known = self.calls[call].clone();
        if known.over {
            return;
        }
        let entry = &mut self.entries[known.entry];
        let failed_at = entry.ids[known.at.unwrap()];
        entry.router.finish(failed_at, routing::Outcome::Failed, now_ms);
        let attempted = retry::Attempted {
            idempotent: true,
            attempts: known.attempts,
            failure: retry::Failure::NoAnswer,
            resumable_on: None,
            deadline_ms: known.arrived_us / 1_000 + self.setup.deadline_ms,
            needed_ms: 0,
        };
        let again = retry::judge(&attempted, now_ms) == retry::Verdict::Retry;
        let again = again
            && match self.setup.retrying {
                Retrying::Never => false,
                Retrying::Unbounded => true,
                Retrying::Budgeted => entry.budgets.spend(failed_at).is_ok(),
            };
        if again {
            self.calls[call].excluded.push(failed_at);
            self.send(call);
        } else {
            self.end(call, None);
        }
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
                    admission.learn(&name, summary.clone(), now_ms);
                }
            }
        }
        self.at(self.now_us + SUMMARY_US, Event::Summaries);
    }

    fn fault(&mut self, index: usize) {
        match self.setup.faults[index].1 {
            Fault::EntryDies(entry) => {
                self.entries[entry].died_us = Some(self.now_us);
                let lost = self.calls.iter_mut().filter(|call| call.entry == entry && !call.over);
                for call in lost {
                    call.over = true;
                    self.outcome.callers[call.caller].failed += 1;
                }
            }
            Fault::LeasesEnd(count) => {
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
            Fault::UpstreamsFail(count) => {
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
