//! Sections that several programs share.

use std::{fs, net};

use ragwortdeal_core::{inbound::capacity, name};
use ragwortdeal_wire::link as wire;
use serde::Deserialize;

use crate::clock;

/// Shortest secret that is accepted, so that guessing is hopeless at any rate the network allows.
pub const SECRET_MIN_BYTES: usize = 16;

/// Who and where this process is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Process {
    /// Name of the instance.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Its region.
    pub region: String,
}

/// The checked names of a process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub name: name::InstanceName,
    /// Its availability zone.
    pub zone: name::ZoneName,
    /// Its region.
    pub region: name::RegionName,
    /// Number of this start of the process.
    pub incarnation: u64,
}

impl Process {
    /// Checks the names and numbers this start of the process.
    pub fn identity(&self) -> Result<Identity, name::NameError> {
        Ok(Identity {
            name: name::InstanceName::new(&self.name)?,
            zone: name::ZoneName::new(&self.availability_zone)?,
            region: name::RegionName::new(&self.region)?,
            incarnation: clock::incarnation(),
        })
    }

    /// Complaints about the names.
    pub fn check(&self) -> Vec<(String, String)> {
        let fields = [
            ("process.name", &self.name),
            ("process.availability_zone", &self.availability_zone),
            ("process.region", &self.region),
        ];
        fields.into_iter().filter_map(|(key, text)| check_name(key, text)).collect()
    }
}

impl Identity {
    /// How the process introduces itself on a link.
    pub fn hello(&self, role: &str) -> wire::Hello {
        wire::Hello {
            name: self.name.to_string(),
            zone: self.zone.to_string(),
            role: role.to_owned(),
            incarnation: self.incarnation,
        }
    }
}

/// A complaint about a name, if there is one.
pub fn check_name(key: &str, text: &str) -> Option<(String, String)> {
    name::check(text).err().map(|error| (key.to_owned(), error.to_string()))
}

/// A complaint about a secret, if there is one.
pub fn check_secret(key: &str, secret: &str) -> Option<(String, String)> {
    let message = format!("a secret has at least {SECRET_MIN_BYTES} bytes");
    (secret.len() < SECRET_MIN_BYTES).then(|| (key.to_owned(), message))
}

/// Secrets between the system's own processes.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Credentials {
    /// Presented by every process of the system to every other.
    pub cluster: String,
}

impl Credentials {
    /// Complaints about the secrets.
    pub fn check(&self) -> Vec<(String, String)> {
        check_secret("credentials.cluster", &self.cluster).into_iter().collect()
    }
}

/// What is logged.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Log {
    /// Level, or a filter by part, as `RUST_LOG` takes it.
    pub level: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: "info".to_owned() }
    }
}

/// Where metrics and traces go. Nothing is sent where no address is set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Telemetry {
    /// UDP address of a statsd server.
    pub statsd: Option<net::SocketAddr>,
    /// URL of an OpenTelemetry collector that takes OTLP over HTTP.
    pub otlp_url: Option<String>,
    /// File to which spans are appended, a JSON object a line.
    pub spans_file: Option<std::path::PathBuf>,
}

/// Addresses of processes to open links to.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Peers {
    /// Link addresses.
    pub addresses: Vec<net::SocketAddr>,
}

/// Memory of a process that is told no limit.
const MEMORY_DEFAULT_MB: usize = 256;

/// Descriptors of a process that cannot find out how many it may hold.
const DESCRIPTORS_DEFAULT: usize = 1_024;

/// Percent of the memory that answers and what a process holds for itself need beside the parts of
/// [`Inbound`].
const OTHER_MEMORY_PERCENT: usize = 30;

/// Smallest receive buffer with which a connection makes progress.
const RECEIVE_BUFFER_MIN_BYTES: usize = 4 << 10;

/// Smallest bound of a head that the parser takes.
const HEAD_MIN_BYTES: usize = 8 << 10;

/// What peers may make the process hold. `docs/design/inbound.md` tells how the parts add up.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Inbound {
    /// Memory of the process in MiB, 0 where it is not told. In a fleet `bounds.memory_mb` says it.
    pub memory_mb: usize,
    /// Descriptors that the process may hold, 0 for the limit that it was started with.
    pub file_descriptors: usize,
    /// Percent of the memory that bodies of requests may hold together.
    pub body_memory_percent: usize,
    /// Percent of the memory that connections may hold together.
    pub connection_memory_percent: usize,
    /// Largest head in bytes, where the document allows no larger one.
    pub head_max_bytes: usize,
    /// Bytes that the kernel holds for a connection before they are read.
    pub receive_buffer_bytes: usize,
    /// Milliseconds without progress after which a body gives way to others that need its memory.
    pub stalled_body_ms: u64,
    /// Longest time in milliseconds for which the rest of a refused body is discarded.
    pub drain_ms: u64,
    /// Most bytes of a refused body that are discarded.
    pub drain_max_bytes: usize,
}

impl Default for Inbound {
    fn default() -> Self {
        Self {
            memory_mb: 0,
            file_descriptors: 0,
            body_memory_percent: 25,
            connection_memory_percent: 35,
            head_max_bytes: 20 << 10,
            receive_buffer_bytes: 32 << 10,
            stalled_body_ms: 1_000,
            drain_ms: 10_000,
            drain_max_bytes: 8 << 20,
        }
    }
}

impl Inbound {
    /// What the process has, with so much memory in MiB, 0 where that is not known.
    pub fn capacity(&self, memory_mb: usize) -> capacity::Capacity {
        let memory_mb = if memory_mb == 0 { MEMORY_DEFAULT_MB } else { memory_mb };
        let descriptors = match self.file_descriptors {
            0 => descriptors_allowed().unwrap_or(DESCRIPTORS_DEFAULT),
            told => told,
        };
        capacity::Capacity {
            process_bytes: memory_mb << 20,
            body_percent: self.body_memory_percent,
            connection_percent: self.connection_memory_percent,
            descriptors,
            receive_buffer_bytes: self.receive_buffer_bytes,
        }
    }

    /// Complaints about limits with which the process could not serve.
    pub fn check(&self) -> Vec<(String, String)> {
        let mut complaints = Vec::new();
        let mut complain = |wrong: bool, key: &str, message: String| {
            if wrong {
                complaints.push((format!("inbound.{key}"), message));
            }
        };
        let parts = [
            ("body_memory_percent", self.body_memory_percent),
            ("connection_memory_percent", self.connection_memory_percent),
        ];
        for (key, percent) in parts {
            complain(percent == 0, key, "leaves no memory".to_owned());
        }
        let left_percent = 100 - OTHER_MEMORY_PERCENT;
        complain(
            self.body_memory_percent.saturating_add(self.connection_memory_percent) > left_percent,
            "body_memory_percent",
            format!("is with connection_memory_percent over {left_percent} percent"),
        );
        let least = [
            ("head_max_bytes", self.head_max_bytes, HEAD_MIN_BYTES),
            ("receive_buffer_bytes", self.receive_buffer_bytes, RECEIVE_BUFFER_MIN_BYTES),
        ];
        for (key, bytes, least_bytes) in least {
            complain(bytes < least_bytes, key, format!("is under {least_bytes} bytes"));
        }
        complain(self.stalled_body_ms == 0, "stalled_body_ms", "gives up every body".to_owned());
        complaints
    }
}

/// Descriptors that this process may hold by the limit that it was started with.
fn descriptors_allowed() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
