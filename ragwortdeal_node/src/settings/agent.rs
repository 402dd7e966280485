//! Settings of `ragwortdeal-agent`.

use std::net;

use serde::Deserialize;

use super::common;

/// The whole file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Who and where the process is.
    pub process: common::Process,
    /// Where it listens.
    pub listen: Listen,
    /// Entries of its availability zone.
    pub entries: common::Peers,
    /// The upstream beside it.
    pub upstream: Upstream,
    /// Staging of weights.
    pub weights: Weights,
    /// Secrets.
    pub credentials: common::Credentials,
    /// What peers may make the process hold.
    pub inbound: common::Inbound,
    /// Logs.
    pub log: common::Log,
    /// Metrics and traces.
    pub telemetry: common::Telemetry,
}

/// Where an agent listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Address for calls from entries, for chunks asked by other agents, and for its engine.
    pub calls: net::SocketAddr,
    /// How long a planned stop waits for calls in progress.
    pub grace_ms: u64,
}

impl Default for Listen {
    fn default() -> Self {
        let calls = net::SocketAddr::from(([127, 0, 0, 1], 7300));
        Self { calls, grace_ms: 60_000 }
    }
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// It runs a model and takes orders.
    #[default]
    Engine,
    /// It is a plain service.
    Service,
}

/// The upstream beside the agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Upstream {
    /// Kind of upstream.
    pub kind: UpstreamKind,
    /// Name of the plain service; an engine's model comes from the configuration.
    pub service: Option<String>,
    /// Its HTTP address.
    pub address: net::SocketAddr,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fence: bool,
    /// Whether it honours an idempotency key by itself.
    pub honours_key: bool,
    /// Longest life of an order on its way to an engine that does not check numbers.
    pub order_life_ms: u64,
    /// How often the upstream's load is read.
    pub report_ms: u64,
    /// Calls that it works on at once; entries admit as much as all upstreams can take together.
    pub slots: u32,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            kind: UpstreamKind::Engine,
            service: None,
            address: net::SocketAddr::from(([127, 0, 0, 1], 8000)),
            checks_fence: false,
            honours_key: false,
            order_life_ms: 60_000,
            report_ms: 500,
            slots: 64,
        }
    }
}

/// Staging of weights.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Weights {
    /// HTTP address of the origin.
    pub origin: Option<net::SocketAddr>,
    /// Most bytes of weights held for the engine and for other agents.
    pub staged_max_bytes: u64,
    /// Most bytes of chunks that are being received.
    pub buffers_max_bytes: u64,
    /// 0 weighs the time until all replicas serve, 100 the bytes drawn from the origin.
    pub origin_weight_percent: u8,
    /// Most bytes a second that are served to other agents, 0 for no bound.
    pub upload_bytes_per_s: u64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            origin: None,
            staged_max_bytes: 64 << 30,
            buffers_max_bytes: 256 << 20,
            origin_weight_percent: 50,
            upload_bytes_per_s: 0,
        }
    }
}

impl super::Settings for Settings {
    fn log_level(&self) -> &str {
        &self.log.level
    }

    fn check(&self) -> Vec<(String, String)> {
        let mut complaints = self.process.check();
        complaints.extend(self.credentials.check());
        complaints.extend(self.inbound.check());
        let mut complain =
            |key: &str, message: &str| complaints.push((key.to_owned(), message.to_owned()));
        if self.entries.addresses.is_empty() {
            complain("entries.addresses", "names no entry");
        }
        if self.weights.origin_weight_percent > 100 {
            complain("weights.origin_weight_percent", "is at most 100");
        }
        if self.upstream.report_ms == 0 {
            complain("upstream.report_ms", "must not be 0");
        }
        match (self.upstream.kind, &self.upstream.service) {
            (UpstreamKind::Service, None) => complain("upstream.service", "is missing"),
            (UpstreamKind::Engine, None) if self.weights.origin.is_none() => {
                complain("weights.origin", "is missing");
            }
            (_, Some(service)) => {
                complaints.extend(common::check_name("upstream.service", service));
            }
            _ => (),
        }
        complaints
    }
}
