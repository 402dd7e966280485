//! Settings of the programs where upstreams announce themselves and the configuration is one
//! document. The three programs read the same sections; each uses those that concern it.

use std::{collections, net, path};

use serde::Deserialize;

use super::common;

/// The whole file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Who and where the process is.
    pub process: common::Process,
    /// How it finds the others.
    pub fleet: Fleet,
    /// Where it listens.
    pub listen: Listen,
    /// Where a voter keeps its log.
    pub disk: Disk,
    /// What the operator promises to callers and upstreams.
    pub bounds: Bounds,
    /// What peers may make the process hold.
    pub inbound: common::Inbound,
    /// Secrets.
    pub credentials: common::Credentials,
    /// Logs.
    pub log: common::Log,
}

/// How a process finds the others.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Fleet {
    /// Address of this instance; also its name among the voters.
    pub address: net::Ipv4Addr,
    /// Port of the links between own processes, the same on all instances.
    pub link_port: u16,
    /// Addresses of some voters' listeners for operators, to begin with.
    pub seeds: Vec<net::SocketAddrV4>,
    /// Whether all of the system starts for the first time, so that a group may be founded.
    pub first_start: bool,
    /// Lost voters that the group has to bear at once.
    pub losses_borne: usize,
    /// Region of each availability zone.
    pub regions: collections::BTreeMap<String, String>,
    /// Address of the engine on this instance.
    pub engine: Option<net::SocketAddrV4>,
    /// Service of that engine.
    pub service: Option<String>,
    /// Megabits a second that this instance's link carries, 0 where it is not told. Chunks to other
    /// agents take a part of it only.
    pub link_mbps: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            address: net::Ipv4Addr::LOCALHOST,
            link_port: 7700,
            seeds: Vec::new(),
            first_start: false,
            losses_borne: 1,
            regions: collections::BTreeMap::new(),
            engine: None,
            service: None,
            link_mbps: 0.0,
        }
    }
}

/// Where a process listens. Each program needs some of these.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// For callers.
    pub callers: Option<net::SocketAddrV4>,
    /// For the balancer's question whether the process is ready.
    pub readiness: Option<net::SocketAddrV4>,
    /// For operators and announcements.
    pub control: Option<net::SocketAddrV4>,
    /// For counters, as text.
    pub metrics: Option<net::SocketAddrV4>,
}

/// Where a voter keeps its log.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Disk {
    /// Folder of the log.
    pub data_dir: Option<path::PathBuf>,
}

/// What the operator promises to callers and upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Milliseconds within which an upstream that leaves gets no more work.
    pub drain_ms: u64,
    /// Seconds between the request to stop and the kill.
    pub grace_s: f64,
    /// Milliseconds within which a document is in force everywhere.
    pub configuration_ms: u64,
    /// Milliseconds within which engines serve a version that was named.
    pub weights_ms: u64,
    /// Repeats for each request, over all entries.
    pub budget_ratio: f64,
    /// Seconds of the window over which repeats count.
    pub budget_window_s: f64,
    /// Repeats in each window beside the ratio, over all entries.
    pub budget_allowance: f64,
    /// Milliseconds between two announcements of an upstream.
    pub heartbeat_ms: u64,
    /// A cold upstream gets at most so many times its rate, beside `cold_slack`, in any second.
    pub cold_overrun: f64,
    /// Requests that a cold upstream may get beside its rate in any second.
    pub cold_slack: f64,
    /// Milliseconds within which an evacuation is in force everywhere.
    pub evacuation_ms: u64,
    /// Memory that the process may take in MiB, 0 where it is not told.
    pub memory_mb: usize,
    /// Largest answer in bytes that is read as a whole before it is forwarded.
    pub answer_max_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_ms: 2_000,
            grace_s: 8.0,
            configuration_ms: 2_000,
            weights_ms: 8_000,
            budget_ratio: 0.2,
            budget_window_s: 10.0,
            budget_allowance: 100.0,
            heartbeat_ms: 1_200,
            cold_overrun: 1.5,
            cold_slack: 5.0,
            evacuation_ms: 5_000,
            memory_mb: 0,
            answer_max_bytes: 16 << 20,
        }
    }
}

impl Settings {
    /// Address of another process's links.
    pub fn link_address(&self, instance: &str) -> String {
        format!("{instance}:{}", self.fleet.link_port)
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
        if self.fleet.seeds.is_empty() {
            complaints.push(("fleet.seeds".to_owned(), "names no voter".to_owned()));
        }
        if self.fleet.link_port == 0 {
            complaints.push(("fleet.link_port".to_owned(), "is no port".to_owned()));
        }
        complaints
    }
}
