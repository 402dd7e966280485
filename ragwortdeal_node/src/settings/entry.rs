//! Settings of `ragwortdeal-entry`.

use std::net;

use serde::Deserialize;

use super::{common, voter};

/// The whole file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Who and where the process is.
    pub process: common::Process,
    /// Where it listens.
    pub listen: Listen,
    /// The voters.
    pub voters: common::Peers,
    /// The other entries of the deployment.
    pub entries: common::Peers,
    /// Accounts that may call.
    pub accounts: Vec<Account>,
    /// Operators that may change labels and selectors.
    pub operators: Vec<Operator>,
    /// Limits on calls.
    pub limits: Limits,
    /// The voter part, where this instance has a disk for it.
    pub voter: voter::Voter,
    /// Secrets.
    pub credentials: common::Credentials,
    /// What peers may make the process hold.
    pub inbound: common::Inbound,
    /// Logs.
    pub log: common::Log,
    /// Metrics and traces.
    pub telemetry: common::Telemetry,
}

/// Where an entry listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Address for callers, behind the platform's balancer.
    pub callers: net::SocketAddr,
    /// Address for operators.
    pub operators: net::SocketAddr,
    /// Address for links of agents and other entries.
    pub links: net::SocketAddr,
    /// Address for links of other processes to the voter part, where this entry carries it.
    pub voter: net::SocketAddr,
    /// How long a planned stop waits for the balancer to notice that the entry is not ready.
    pub unready_ms: u64,
    /// How long a planned stop then waits for requests in progress.
    pub grace_ms: u64,
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: net::SocketAddr::from(([127, 0, 0, 1], 7100)),
            operators: net::SocketAddr::from(([127, 0, 0, 1], 7101)),
            links: net::SocketAddr::from(([127, 0, 0, 1], 7102)),
            voter: net::SocketAddr::from(([127, 0, 0, 1], 7200)),
            unready_ms: 3_000,
            grace_ms: 60_000,
        }
    }
}

/// An account that may call.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// The secret that its callers present.
    pub token: String,
    /// Its share of the capacity beside the other accounts' shares.
    pub weight: Option<u32>,
}

/// An operator.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Operator {
    /// The operator's name, for the log.
    pub name: String,
    /// The secret that the operator's tool presents.
    pub token: String,
}

/// Limits on calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest body of a request.
    pub request_max_bytes: usize,
    /// Largest answer of an operation that is kept for resends.
    pub operation_answer_max_bytes: usize,
    /// How long an upstream may take to the first byte of an answer.
    pub first_byte_ms: u64,
    /// Longest gap between two pieces of an answer.
    pub gap_ms: u64,
    /// How long an operation's upstream may take before its outcome is reported as unknown.
    pub operation_ms: u64,
    /// How long a change or a claim may take at the voters.
    pub control_ms: u64,
    /// How long an upstream's announcement is believed.
    pub lease_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            request_max_bytes: 4 << 20,
            operation_answer_max_bytes: 16 << 10,
            first_byte_ms: 10_000,
            gap_ms: 5_000,
            operation_ms: 20_000,
            control_ms: 3_000,
            lease_ms: 2_500,
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
        complaints.extend(self.voter.check());
        for account in &self.accounts {
            complaints.extend(common::check_name("accounts.name", &account.name));
            complaints.extend(common::check_secret("accounts.token", &account.token));
        }
        for operator in &self.operators {
            complaints.extend(common::check_name("operators.name", &operator.name));
            complaints.extend(common::check_secret("operators.token", &operator.token));
        }
        if self.voters.addresses.is_empty() {
            complaints.push(("voters.addresses".to_owned(), "names no voter".to_owned()));
        }
        complaints
    }
}
