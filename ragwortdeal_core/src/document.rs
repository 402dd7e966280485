//! The configuration as one versioned document: routes, services, accounts and limits.
//!
//! An operator who works with documents replaces all of it at once, under a version that only
//! increases. `docs/design/platform.md` describes how documents relate to single objects with
//! labels, which [`crate::config`] keeps.

pub mod check;
pub mod evacuation;
pub mod naming;
pub mod store;
pub mod table;

use std::sync;

/// A shared immutable text: names, hosts, prefixes.
pub type Text = sync::Arc<str>;

/// Version of a document. The highest accepted one is in force.
pub type Version = u64;

/// The configuration set by an operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Its version.
    pub version: Version,
    /// Which requests go to which services.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<Service>,
    /// Accounts that may call. Without any account every request is served.
    pub accounts: Vec<Account>,
    /// Limits on requests and connections.
    pub limits: Limits,
}

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent and may be retried.
    Idempotent,
    /// The request runs at most once.
    Never,
    /// The answer is a stream of numbered events, which another upstream can resume.
    Resume,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Text,
    /// Host that callers request.
    pub host: Text,
    /// Prefix of the path. It begins and ends with a slash.
    pub prefix: Text,
    /// Whether its requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Longest time in milliseconds that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The operator's objective for the time to the answer, or to the first event of a stream, in
    /// milliseconds.
    pub objective_ms: u64,
    /// The operator's objective for the pause between two events, in milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Services with their weights. A single service has any weight above 0.
    pub targets: Vec<Target>,
    /// Most upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// Whether it is served without a key.
    pub public: bool,
    /// Whether requests carry the parts of a prompt, for session affinity.
    pub affinity: bool,
    /// Regions in which its requests may be served. Empty: everywhere.
    pub allowed_regions: Vec<Text>,
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Text,
    /// Its weight relative to the other services.
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
    /// Set where upstreams take few requests for some time after a start.
    pub cold_start: Option<ColdStart>,
}

/// How upstreams that have just started are to be spared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long an upstream is cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a cold upstream takes from all entries together.
    pub requests_per_s: f64,
}

/// Origin of weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Its HTTP address.
    pub address: Text,
    /// Bandwidth of its link in megabits per second, 0 if unknown.
    pub link_mbps: f64,
}

/// Performance parameters of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests processed concurrently.
    pub slots: u32,
    /// Token steps of one pass.
    pub steps_per_pass: u32,
    /// Models that the engines may hold.
    pub models: Vec<Text>,
    /// Duration of one token step in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each decoding request adds to a step.
    pub step_per_request_ms: f64,
    /// Milliseconds that each 1,000 tokens of context add to a step.
    pub step_per_context_ms: f64,
    /// Prompt tokens read per second.
    pub prefill_tokens_per_s: f64,
    /// Prefill milliseconds per million pairs of a token and an earlier one.
    pub prefill_pairs_ms: f64,
    /// Prompt tokens read between two steps.
    pub prefill_chunk_tokens: u32,
    /// Tokens that fit into the memory.
    pub memory_tokens: u64,
    /// Mean prompt and answer.
    pub mean_request: MeanRequest,
    /// Layers of a model, 0 if unknown.
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
    /// Name, as sent to upstreams.
    pub name: Text,
    /// Secrets that its callers present.
    pub keys: Vec<Text>,
    /// Priority, which goes before that of a route; 0 is the highest.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served. Empty: everywhere.
    pub allowed_regions: Vec<Text>,
}

/// Limits on requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head_max_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_max_bytes: usize,
    /// Longest time in which a caller must send the head, in milliseconds.
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
    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.iter().find_map(|service| service.origin.as_ref())
    }
}
