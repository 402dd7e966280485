//! The configuration as one versioned document: routes, services, accounts and limits as a whole.
//!
//! An operator who works with documents replaces all of it at once, under a version that only ever
//! rises. `docs/design/platform.md` tells how it stands beside single objects with labels, which
//! [`crate::config`] keeps.

pub mod check;
pub mod naming;
pub mod store;
pub mod table;

use std::sync;

/// A shared immutable text: names, hosts, prefixes.
pub type Text = sync::Arc<str>;

/// Number of a document. The highest accepted one is in force.
pub type Version = u64;

/// Everything that an operator sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Its number.
    pub version: Version,
    /// Which requests go where.
    pub routes: Vec<Route>,
    /// What routes lead to.
    pub services: Vec<Service>,
    /// Who may call. Without any account every request is served.
    pub accounts: Vec<Account>,
    /// What a caller may send, and how long it may take.
    pub limits: Limits,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once.
    Never,
    /// The answer is a stream of numbered events, which another upstream can go on with.
    Resume,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Text,
    /// Host that callers name.
    pub host: Text,
    /// Start of the path, from slash to slash.
    pub prefix: Text,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Longest time in milliseconds for which a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time in milliseconds to the answer, or to a stream's first event, that the operator aims at.
    pub objective_ms: u64,
    /// Longest pause in milliseconds between two events that the operator aims at.
    pub gap_objective_ms: Option<u64>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services with their weights; one service has any weight above 0.
    pub targets: Vec<Target>,
    /// Upstreams to which one request may be sent.
    pub attempts_max: u32,
    /// Whether it is served without a key.
    pub public: bool,
    /// Whether requests carry the parts of a prompt.
    pub affinity: bool,
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Text,
    /// Its share beside the others.
    pub weight: u32,
}

/// A service: a group of upstreams that announce themselves under its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Text,
    /// Connections that one upstream accepts from all callers together.
    pub connections_max: usize,
    /// Set where the upstreams are engines.
    pub engine: Option<Engine>,
    /// Set where the service is an origin of weights.
    pub origin: Option<Origin>,
}

/// Where weights come from.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Its HTTP address.
    pub address: Text,
    /// Megabits a second that its link carries, 0 where that is not told.
    pub link_mbps: f64,
}

/// How the engines of a service work.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that are worked on together.
    pub slots: u32,
    /// Token steps of one pass.
    pub steps_per_pass: u32,
    /// Models that the engines may hold.
    pub models: Vec<Text>,
    /// Milliseconds of one token step.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub step_per_request_ms: f64,
    /// Milliseconds that each 1,000 tokens of context add to a step.
    pub step_per_context_ms: f64,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds for each million pairs of a token and an earlier one.
    pub prefill_pairs_ms: f64,
    /// Prompt tokens that are read between two steps.
    pub prefill_chunk_tokens: u32,
    /// Tokens that fit into the memory.
    pub memory_tokens: u64,
    /// Mean prompt and answer in tokens.
    pub mean_request: MeanRequest,
    /// Layers of a model, 0 where that is not told.
    pub layers: u32,
    /// Chunks of one version of weights.
    pub chunks: u32,
    /// Bytes of one chunk.
    pub chunk_bytes: u32,
}

/// Mean size of requests in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanRequest {
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Tokens of the answer.
    pub answer_tokens: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, as upstreams are told it.
    pub name: Text,
    /// Secrets that its callers present.
    pub keys: Vec<Text>,
    /// Rank that goes before a route's.
    pub priority: Option<u8>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head_max_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_max_bytes: usize,
    /// Longest time in milliseconds in which a caller sends a head.
    pub head_ms: u64,
    /// Time in milliseconds after which an idle connection is closed.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_max_bytes: 16 << 10, body_max_bytes: 4 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}

impl Document {
    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.iter().find_map(|service| service.origin.as_ref())
    }
}
