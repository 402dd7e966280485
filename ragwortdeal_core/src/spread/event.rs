//! What the transfer tells the policy, and what the policy asks of the transfer.

use crate::{digest, name, spread::manifest};

/// An instance and where it stands.
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
    /// Another instance that takes part in the spread.
    Peer(name::InstanceName),
}

/// Why a request brought no chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The sender has no upload slot free.
    Busy,
    /// The sender does not hold the chunk yet.
    NotYet {
        /// Chunks that it holds, by which a stalled owner is told from a slow one.
        held: u32,
        /// Whether the origin failed it last.
        origin_fails: bool,
    },
    /// The connection failed or the answer was an error.
    Error,
    /// Nothing came in time, by the timers of whoever sends requests: of a connect, or before the
    /// next tick. Later requests get no longer for it, as each holds an upload slot at its sender.
    Timeout,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An instance that wants the same version was announced, or announced again.
    Joined(Location),
    /// An instance left or its lease ended.
    Left(name::InstanceName),
    /// The link of an instance turned narrow or is free again, by its own word.
    LinkChanged {
        /// Which one; it may be the own one.
        instance: name::InstanceName,
        /// Whether it is narrow.
        narrow: bool,
    },
    /// A peer says which further chunks it holds. It may be wrong.
    Holds {
        /// The peer.
        instance: name::InstanceName,
        /// The version of which it speaks.
        version: digest::Digest,
        /// Numbers of the chunks.
        chunks: Vec<u32>,
    },
    /// A chunk arrived and has the hash that the manifest names.
    Arrived {
        /// Who sent it.
        source: Source,
        /// The proof of its hash.
        chunk: manifest::VerifiedChunk,
    },
    /// Bytes arrived which are not the chunk.
    InvalidChunk {
        /// Who sent them.
        source: Source,
        /// The version that was asked for.
        version: digest::Digest,
        /// Number of the chunk.
        chunk: u32,
        /// What is wrong.
        fault: manifest::ChunkFault,
    },
    /// A request ended without bytes.
    Failed {
        /// Who was asked.
        source: Source,
        /// The version that was asked for.
        version: digest::Digest,
        /// Number of the chunk.
        chunk: u32,
        /// Why.
        failure: Failure,
    },
    /// Time passed.
    Tick,
}

/// Why a sender is blamed.
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
    /// It answers, but got no new chunk for long while others wait for it.
    Stalled,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask for a chunk.
    Request {
        /// Whom to ask.
        source: Source,
        /// Number of the chunk.
        chunk: u32,
        /// Monotonic time at which the request counts as failed.
        deadline_ms: u64,
    },
    /// Give up a request and free its buffers.
    Cancel {
        /// Who was asked.
        source: Source,
        /// Number of the chunk.
        chunk: u32,
    },
    /// Tell peers which further chunks this instance holds.
    Announce {
        /// Whom to tell.
        to: Vec<name::InstanceName>,
        /// Numbers of the chunks.
        chunks: Vec<u32>,
    },
    /// Record a sender's fault for the log and the metrics.
    ReportFault {
        /// Who is at fault.
        source: Source,
        /// Number of the chunk.
        chunk: u32,
        /// What it did.
        fault: Fault,
    },
    /// End an upload whose receiver is too slow, and free its buffers.
    AbortUpload {
        /// The receiver.
        to: name::InstanceName,
        /// Number of the chunk.
        chunk: u32,
    },
    /// Every chunk is present and verified; the whole can be checked now.
    Complete,
}

/// The answer to a peer that asks for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send it, then report the end with [`crate::spread::download::Download::upload_ended`].
    Send,
    /// No upload slot is free.
    Busy,
    /// The chunk is not here yet.
    NotYet {
        /// Chunks held here.
        held: u32,
        /// Whether the origin failed this instance last.
        origin_fails: bool,
    },
    /// Another version is being spread here.
    OtherVersion,
}
