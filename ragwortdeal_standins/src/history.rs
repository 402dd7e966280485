//! What callers, operators and upstreams saw in a run, for the checkers to judge afterwards.

use std::{collections, sync, time};

use ragwortdeal_wire::operator as wire;

use crate::caller;

/// A completion as its caller saw it.
#[derive(Clone, Debug)]
pub struct Completion {
    /// What was asked.
    pub prompt: String,
    /// How many tokens were asked for.
    pub tokens: u64,
    /// What came.
    pub answer: caller::Answer,
    /// Whether the entry that was asked had a planned stop and nothing else failed meanwhile.
    pub planned_stop_only: bool,
}

/// An answer to a request for an operation.
#[derive(Clone, Debug)]
pub struct OperationAnswer {
    /// Key of the operation.
    pub key: String,
    /// HTTP status, 0 where no answer came.
    pub status: u16,
    /// What the answer says of this request, where it is an error.
    pub ran: Option<wire::Ran>,
    /// The body.
    pub body: bytes::Bytes,
}

/// A revision that a process was seen to apply.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The process.
    pub process: String,
    /// The revision in force there.
    pub revision: u64,
    /// When it was seen, from the start of the run.
    pub at: time::Duration,
}

/// A change that was accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Identifier of the change.
    pub id: String,
    /// What was changed.
    pub key: String,
    /// The object that it set.
    pub object: Option<wire::Object>,
    /// The revision that it brought about.
    pub revision: u64,
    /// When its answer came, from the start of the run.
    pub at: time::Duration,
}

/// A planned stop of an upstream's agent.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The instance.
    pub instance: String,
    /// When it was asked to stop, from the start of the run.
    pub at: time::Duration,
    /// When requests began at its upstream, from the start of the run.
    pub begun: Vec<time::Duration>,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Completions.
    pub completions: Vec<Completion>,
    /// Answers to operations.
    pub operations: Vec<OperationAnswer>,
    /// Effects of each operation's key at the ledger.
    pub effects: collections::BTreeMap<String, u64>,
    /// Loads of bytes that were not exactly a version's.
    pub partial_loads: u64,
    /// Revisions seen, in the order of time.
    pub applied: Vec<Applied>,
    /// Accepted changes.
    pub accepted: Vec<Accepted>,
    /// Objects in force at each entry at the end.
    pub final_objects:
        collections::BTreeMap<String, collections::BTreeMap<String, wire::ObjectView>>,
    /// Planned stops of agents.
    pub leaving: Vec<Leaving>,
}

/// A history that many tasks write to.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: time::Instant,
    history: sync::Arc<sync::Mutex<History>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self { start: time::Instant::now(), history: sync::Arc::default() }
    }
}

impl Recorder {
    /// Time since the start of the run.
    pub fn now(&self) -> time::Duration {
        self.start.elapsed()
    }

    /// Time since the start of the run at an instant.
    pub fn since_start(&self, instant: time::Instant) -> time::Duration {
        instant.saturating_duration_since(self.start)
    }

    /// Adds to the history.
    pub fn note(&self, add: impl FnOnce(&mut History)) {
        add(&mut self.history.lock().expect("no panic under lock"));
    }

    /// The history so far.
    pub fn history(&self) -> History {
        self.history.lock().expect("no panic under lock").clone()
    }
}
