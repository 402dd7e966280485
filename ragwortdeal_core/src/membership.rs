//! Leases of upstreams and entries, and the deltas and summaries that spread them.
//!
//! There is no central list of upstreams. Each upstream announces itself to a few entries of its
//! availability zone ([`announcer`]), which hold a lease on it ([`leases`]). The entries of a zone
//! exchange only changes, numbered per entry, by push-pull gossip ([`gossip`]), and the zones
//! exchange summaries ([`summary`]). `docs/design/membership.md` discusses the alternatives.

pub mod announcer;
pub mod gossip;
pub mod leases;
pub mod origin;
pub mod summary;
pub mod view;

use std::net;

use crate::{digest, labels, name};

/// Timeouts and fan-outs of membership. The defaults suit both the present and the target size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Entries to which one upstream announces itself. Three survive the loss of two.
    pub entries_per_upstream: usize,
    /// Interval between two announcements of one upstream to one entry.
    pub announce_every_ms: u64,
    /// Duration of an upstream's lease. It counts from the entry's stamp in the last answer, which
    /// is one announcement interval old, and is long enough that two lost messages in a row end no
    /// lease.
    pub upstream_lease_ms: u64,
    /// Interval between two rounds in which an entry pulls from others.
    pub pull_every_ms: u64,
    /// Entries from which one entry pulls in a round.
    pub pull_fanout: usize,
    /// Entries to which a new urgent change is forwarded when it is first received.
    pub push_fanout: usize,
    /// Time since the last sign of life of an entry after which its records are dropped.
    pub entry_lease_ms: u64,
    /// Time for which an ended upstream stays recorded, longer than any lease.
    pub tombstone_ms: u64,
    /// Time after the start of leaving from which an upstream's agent refuses all new work.
    pub leave_grace_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entries_per_upstream: 3,
            announce_every_ms: 1_000,
            upstream_lease_ms: 4_000,
            pull_every_ms: 500,
            pull_fanout: 2,
            push_fanout: 4,
            entry_lease_ms: 6_000,
            tombstone_ms: 60_000,
            leave_grace_ms: 2_500,
        }
    }
}

/// A reading of one process's own monotonic clock, which others only echo back to it.
///
/// A message that echoes the receiver's stamp was sent after that reading. A lease therefore counts
/// from the echoed reading and never from the arrival: a message that was delayed in a stalled link
/// or in the queue of a paused process cannot renew a lease that has already ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stamp {
    /// Incarnation of the process that read the clock; clocks of different incarnations cannot be
    /// compared.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The reading in milliseconds.
    pub at_ms: u64,
}

impl Stamp {
    /// The reading, if it is of this incarnation and not in the future.
    pub fn reading_of(self, incarnation: u64, now_ms: u64) -> Option<u64> {
        (self.incarnation == incarnation && self.at_ms <= now_ms).then_some(self.at_ms)
    }
}

/// An upstream's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// The instance on which it runs.
    pub name: name::InstanceName,
    /// Incarnation of the process; a higher number supersedes every lower one.
    pub incarnation: u64,
    /// Number of this description within the incarnation; a higher one supersedes every lower one.
    pub description: u32,
    /// Address at which its agent accepts calls.
    pub address: net::SocketAddr,
    /// The model that it serves, if it is an engine.
    pub model: Option<name::ModelName>,
    /// The version of the weights that it serves, once they are complete.
    pub version: Option<digest::Digest>,
    /// Calls that it can serve concurrently.
    pub capacity: u32,
    /// Labels that the instance reports itself, in addition to those that operators attach.
    pub labels: labels::Labels,
}

/// Whether an upstream may get new work. Where the records of two entries differ, the greater
/// status in this order takes precedence.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Status {
    /// Its lease at this entry has expired; another entry may still hold one.
    Lapsed,
    /// Its lease is valid and it has not announced that it leaves.
    Serving,
    /// It has announced that it leaves: it finishes its calls and gets no new ones.
    Leaving,
}

/// What one entry knows of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The upstream as it last described itself.
    pub upstream: Upstream,
    /// Status of its lease at the entry.
    pub status: Status,
}

/// The finaliser of SplitMix64, which maps numbers to evenly distributed ones.
///
/// Random choices of peers derive from a seed that is passed in, so that a test can replay them.
pub(crate) fn splitmix64(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Weight of `candidate` for `owner` in rendezvous hashing; the highest weights are chosen.
pub fn rendezvous_weight(owner: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(owner.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    first_u64(hasher.finalize().as_bytes())
}

/// The first eight bytes of a hash as a number.
pub(crate) fn first_u64(hash: &[u8; digest::DIGEST_BYTES]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
