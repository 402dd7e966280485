//! What callers, engines and the operator saw in a run, and what disturbed the processes meanwhile.
//! Times are milliseconds since the run began.

use std::collections;

use bytes::Bytes;
use ragwortdeal_standins::fleet::engine;

/// How long after a disturbance bounds of time are not judged yet.
pub const WINDOW_MS: u64 = 3_000;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Read,
    /// Runs once at most.
    Transfer,
    /// A stream of events, which may be resumed.
    Stream,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Default)]
pub struct End {
    /// When.
    pub at_ms: u64,
    /// Status, 0 where no answer came.
    pub status: u16,
    /// Identifier that the answer bears.
    pub echo: Option<String>,
    /// Engine whose signature the answer bears.
    pub signer: Option<String>,
    /// Body as far as it came.
    pub body: Bytes,
    /// Whether the answer looks complete.
    pub whole: bool,
    /// Whether the caller itself broke off.
    pub gave_up: bool,
}

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its kind.
    pub kind: Kind,
    /// Path and query.
    pub path: String,
    /// Entry that took it.
    pub entry: u8,
    /// When it was sent.
    pub at_ms: u64,
    /// How it ended, as far as it has.
    pub end: Option<End>,
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrived {
    /// Its identifier.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// The engine.
    pub engine: String,
    /// Service of the engine.
    pub service: String,
    /// When it arrived.
    pub at_ms: u64,
    /// Weights on which it began to run, none where the engine refused it.
    pub ran_on: Option<u64>,
    /// Hashes of the chunks of these weights, as the engine loaded them.
    pub ran_on_chunks: Vec<[u8; 32]>,
    /// Number of the engine's address.
    pub place: u8,
    /// What the engine asks in its answer.
    pub asked: engine::Asks,
}

/// A document that was sent.
#[derive(Clone, Debug)]
pub struct Document {
    /// Service that takes reads.
    pub reads: &'static str,
    /// Whether it is valid.
    pub valid: bool,
    /// When a voter acknowledged it.
    pub acked_ms: Option<u64>,
    /// Status by which a voter refused it.
    pub refused: Option<u16>,
}

/// A document that was read back.
#[derive(Clone, Debug)]
pub struct ReadBack {
    /// When the question was sent.
    pub asked_ms: u64,
    /// Version of the answer.
    pub version: u64,
    /// Whether it is what was sent under this number.
    pub as_sent: bool,
}

/// What a disturbance concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    /// A voter's process.
    Voter(u8),
    /// An entry's process.
    Entry(u8),
    /// An agent's process.
    Agent(u8),
    /// An engine or the way to it.
    Engine(u8),
    /// The way of callers to an entry.
    Callers(u8),
    /// The way of the operator to a voter.
    Control(u8),
    /// The origin of weights, or the way to it.
    Origin,
    /// The machine itself was late.
    Machine,
}

/// A disturbance.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Of whom.
    pub who: Who,
    /// Whether it is a stop that leaves time for answers in progress.
    pub planned: bool,
    /// Its start.
    pub from_ms: u64,
    /// Its end, as far as it has ended.
    pub to_ms: Option<u64>,
}

/// Planned work on an entry.
#[derive(Clone, Debug)]
pub struct Planned {
    /// The entry.
    pub entry: u8,
    /// Its start.
    pub from_ms: u64,
    /// Until when it may be the cause of a cut.
    pub to_ms: u64,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests by identifier.
    pub sent: collections::BTreeMap<String, Sent>,
    /// Requests at engines.
    pub arrived: Vec<Arrived>,
    /// Documents by version.
    pub documents: collections::BTreeMap<u64, Document>,
    /// Documents that were read back.
    pub read_back: Vec<ReadBack>,
    /// Weights and when their naming was acknowledged.
    pub named: collections::BTreeMap<u64, u64>,
    /// Engines and when their word that they leave was acknowledged.
    pub leaving: collections::BTreeMap<String, u64>,
    /// Disturbances.
    pub disturbances: Vec<Disturbance>,
    /// Planned work.
    pub planned: Vec<Planned>,
    /// Memory of entries at some moments, in KiB.
    pub memory: Vec<(u8, u64)>,
    /// Until when what reached engines is known here.
    pub taken_ms: u64,
    /// From when on requests have to be served again, once that time is over.
    pub recovered_ms: Option<u64>,
}

impl History {
    /// Notes that a disturbance begins.
    pub fn disturb(&mut self, who: Who, now_ms: u64) {
        let (from_ms, to_ms) = (now_ms, None);
        self.disturbances.push(Disturbance { who, planned: false, from_ms, to_ms });
    }

    /// Notes that a planned stop begins.
    pub fn stop(&mut self, who: Who, now_ms: u64) {
        let (from_ms, to_ms) = (now_ms, None);
        self.disturbances.push(Disturbance { who, planned: true, from_ms, to_ms });
    }

    /// Notes that all disturbances of one end.
    pub fn calm(&mut self, who: Who, now_ms: u64) {
        let open = self.disturbances.iter_mut().filter(|it| it.who == who && it.to_ms.is_none());
        open.for_each(|it| it.to_ms = Some(now_ms));
    }

    /// Since when bounds of time hold for what an entry does at a moment: a while after the last
    /// disturbance of that entry, of any voter, of any engine, or of the machine.
    pub fn in_touch_since(&self, entry: u8, at_ms: u64) -> u64 {
        self.undisturbed_since(entry, at_ms, |_| true)
    }

    /// The same, where planned stops of the entry count as no disturbance.
    pub fn unharmed_since(&self, entry: u8, at_ms: u64) -> u64 {
        self.undisturbed_since(entry, at_ms, |it| !(it.planned && it.who == Who::Entry(entry)))
    }

    /// Whether voters and entries, the ways of callers and the machine were undisturbed in a time.
    pub fn processes_undisturbed(&self, from_ms: u64, to_ms: u64) -> bool {
        let concerns = |who: Who| !matches!(who, Who::Engine(_) | Who::Agent(_) | Who::Origin);
        let within = |it: &Disturbance| {
            it.from_ms <= to_ms && it.to_ms.is_none_or(|ended_ms| ended_ms + WINDOW_MS >= from_ms)
        };
        !self.disturbances.iter().any(|it| concerns(it.who) && within(it))
    }

    fn undisturbed_since(
        &self,
        entry: u8,
        at_ms: u64,
        counts: impl Fn(&Disturbance) -> bool,
    ) -> u64 {
        let concerns = |who: Who| match who {
            Who::Entry(number) | Who::Callers(number) => number == entry,
            Who::Voter(_) | Who::Engine(_) | Who::Machine => true,
            Who::Agent(_) | Who::Control(_) | Who::Origin => false,
        };
        let before = self.disturbances.iter();
        let before = before.filter(|it| concerns(it.who) && it.from_ms <= at_ms && counts(it));
        let ends = before.map(|it| it.to_ms.map_or(at_ms, |to_ms| to_ms.min(at_ms)) + WINDOW_MS);
        ends.max().unwrap_or(0)
    }

    /// Since when an entry has worked and reached an engine without a disturbance of either, of the
    /// way between them, or of the machine.
    pub fn reached_since(&self, entry: u8, place: u8, at_ms: u64) -> u64 {
        let concerns = |who: Who| match who {
            Who::Entry(number) | Who::Callers(number) => number == entry,
            Who::Engine(number) => number == place,
            Who::Machine => true,
            _ => false,
        };
        let before = self.disturbances.iter();
        let before = before.filter(|it| concerns(it.who) && it.from_ms <= at_ms);
        let ends = before.map(|it| it.to_ms.map_or(at_ms, |to_ms| to_ms.min(at_ms)) + WINDOW_MS);
        ends.max().unwrap_or(0)
    }

    /// Requests at engines with the entry that sent them.
    pub fn arrivals(&self) -> impl Iterator<Item = (&Arrived, &Sent)> {
        self.arrived.iter().filter_map(|it| Some((it, self.sent.get(&it.id)?)))
    }

    /// Whether a bound is over at a moment that began when something was acknowledged. Only time
    /// counts in which the entry was in touch.
    pub fn is_over(&self, acked_ms: u64, bound_ms: u64, entry: u8, at_ms: u64) -> bool {
        at_ms > acked_ms.max(self.in_touch_since(entry, at_ms)) + bound_ms
    }

    /// Where and when a request ran.
    pub fn runs(&self) -> impl Iterator<Item = (&Arrived, &Sent)> {
        let ran = self.arrived.iter().filter(|it| it.ran_on.is_some());
        ran.filter_map(|it| Some((it, self.sent.get(&it.id)?)))
    }
}
