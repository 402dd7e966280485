//! Settings of `ragwortdeal-voter`.

use std::{net, path};

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
    /// The voter part.
    pub voter: Voter,
    /// Secrets.
    pub credentials: common::Credentials,
    /// Logs.
    pub log: common::Log,
    /// Metrics and traces.
    pub telemetry: common::Telemetry,
}

/// Where a voter listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Address for links of entries and other voters.
    pub links: net::SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        Self { links: net::SocketAddr::from(([127, 0, 0, 1], 7200)) }
    }
}

/// The voter part, which an entry with a disk may carry as well.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Voter {
    /// Folder of the replicated log. It must be on a disk that keeps what was synced.
    pub data_dir: Option<path::PathBuf>,
    /// The first voters, this one included, by name and link address.
    pub initial: Vec<Member>,
}

/// One voter.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Name of its instance.
    pub name: String,
    /// Address of its link listener.
    pub address: net::SocketAddr,
}

impl Voter {
    /// Complaints about the voter part.
    pub fn check(&self) -> Vec<(String, String)> {
        let members = self.initial.iter();
        members.filter_map(|member| common::check_name("voter.initial", &member.name)).collect()
    }
}

impl super::Settings for Settings {
    fn log_level(&self) -> &str {
        &self.log.level
    }

    fn check(&self) -> Vec<(String, String)> {
        let mut complaints = self.process.check();
        complaints.extend(self.credentials.check());
        complaints.extend(self.voter.check());
        if self.voter.data_dir.is_none() {
            complaints.push(("voter.data_dir".to_owned(), "is missing".to_owned()));
        }
        complaints
    }
}
