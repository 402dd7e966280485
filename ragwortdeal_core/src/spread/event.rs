//! Events that the transfer code reports to the distribution policy, and the actions it returns.

use crate::{digest, name, spread::manifest};

/// An instance with its availability zone and region.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Location {
    /// Name of the instance.
    pub instance: name::InstanceName,
    /// Its availability zone.
    pub zone: name::ZoneName,
    /// Its region.
    pub region: name::RegionName,
}

/// Who sends a chunk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// Another instance that downloads or holds the version.
    Peer(name::InstanceName),
}

/// Why a request returned no chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The sender has no upload slot free.
    Busy,
    /// The sender does not hold the chunk yet.
    NotYet {
        /// Number of chunks that it holds; distinguishes a stalled owner from a slow one.
        held: u32,
        /// Whether its last request to the origin failed.
        origin_fails: bool,
    },
    /// The connection failed or the answer was an error.
    Error,
    /// The requester's own timer expired: on connecting, or at the deadline before the next tick.
    /// It does not extend later deadlines, as each request occupies an upload slot at its sender.
    Timeout,
}

/// An input of the policy.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An instance that wants the same version was announced, or announced again.
    Joined(Location),
    /// An instance left or its lease ended.
    Left(name::InstanceName),
    /// An instance reports that its link became narrow or recovered.
    LinkChanged {
        /// The instance; it may be this one.
        instance: name::InstanceName,
        /// Whether the link is narrow.
        narrow: bool,
    },
    /// A peer announces further chunks that it holds. The announcement may be wrong.
    Holds {
        /// The peer.
        instance: name::InstanceName,
        /// The version that the chunks belong to.
        version: digest::Digest,
        /// Numbers of the chunks.
        chunks: Vec<u32>,
    },
    /// A chunk arrived and matches its hash in the manifest.
    Arrived {
        /// Who sent it.
        source: Source,
        /// Proof that its hash was verified.
        chunk: manifest::VerifiedChunk,
    },
    /// The received bytes are not the chunk.
    InvalidChunk {
        /// Who sent them.
        source: Source,
        /// The requested version.
        version: digest::Digest,
        /// Number of the chunk.
        chunk: u32,
        /// What is wrong.
        fault: manifest::ChunkFault,
    },
    /// A request ended without a chunk.
    Failed {
        /// Where the request was sent.
        source: Source,
        /// The requested version.
        version: digest::Digest,
        /// Number of the chunk.
        chunk: u32,
        /// Why.
        failure: Failure,
    },
    /// Time passed.
    Tick,
}

/// What a sender did wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It sent bytes that are not the chunk.
    BadChunk(manifest::ChunkFault),
    /// It did not answer before the deadline.
    Timeout,
    /// It answered with an error or could not be reached.
    Error,
    /// It announced a chunk that it does not hold.
    FalseAnnouncement,
    /// It answers, but has gained no new chunk for too long while others wait for it.
    Stalled,
}

/// An output of the policy, carried out by the transfer code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request a chunk.
    Request {
        /// Where to send the request.
        source: Source,
        /// Number of the chunk.
        chunk: u32,
        /// Monotonic time at which the request counts as failed.
        deadline_ms: u64,
    },
    /// Cancel a request and free its buffers.
    Cancel {
        /// Where the request was sent.
        source: Source,
        /// Number of the chunk.
        chunk: u32,
    },
    /// Announce to peers which further chunks this instance holds.
    Announce {
        /// The receivers.
        to: Vec<name::InstanceName>,
        /// Numbers of the chunks.
        chunks: Vec<u32>,
    },
    /// Record a sender's fault for the log and the metrics.
    ReportFault {
        /// The sender at fault.
        source: Source,
        /// Number of the chunk.
        chunk: u32,
        /// What it did wrong.
        fault: Fault,
    },
    /// Abort an upload whose receiver is too slow, and free its buffers.
    AbortUpload {
        /// The receiver.
        to: name::InstanceName,
        /// Number of the chunk.
        chunk: u32,
    },
    /// Every chunk is present and verified; the version can be verified as a whole now.
    Complete,
}

/// The answer to a peer's request for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send it, then report the end with [`crate::spread::download::Download::upload_ended`].
    Send,
    /// No upload slot is free.
    Busy,
    /// This instance does not hold the chunk yet.
    NotYet {
        /// Number of chunks held here.
        held: u32,
        /// Whether this instance's last request to the origin failed.
        origin_fails: bool,
    },
    /// This instance is downloading another version.
    OtherVersion,
}
