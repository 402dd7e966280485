//! Parameters and results of a simulation.

use ragwortdeal_core::admission;

/// How an upstream is selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choosing {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
    Affinity,
}

/// How failed attempts are retried.
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

/// One simulation. The capacity is `upstreams * slots` concurrent calls.
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

/// Results of one caller.
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
