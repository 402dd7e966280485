//! Leases of upstreams and entries, and the deltas and summaries that spread them.
//!
//! No list of upstreams exists. Each upstream announces itself to a few entries of its availability
//! zone ([`announcer`]), which keep a lease on it ([`leases`]). The entries of a zone hand each other
//! only what changed, by sequence number and per entry ([`gossip`]), and the zones hand each other
//! summaries ([`summary`]). `docs/design/membership.md` tells what was weighed.

pub mod announcer;
pub mod gossip;
pub mod leases;
pub mod origin;
pub mod summary;
pub mod view;

use std::net;

use crate::{digest, labels, name};

/// Times and counts of membership. The defaults hold both for today's size and for the target's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Entries to which one upstream announces itself. Three survive the loss of two.
    pub entries_per_upstream: usize,
    /// Time between two announcements of one upstream to one entry.
    pub announce_every_ms: u64,
    /// Life of an upstream's lease. It counts from the entry's stamp, which an announcement's time
    /// ago came with the last answer; two lost messages in a row then still end no lease.
    pub upstream_lease_ms: u64,
    /// Time between two rounds in which an entry pulls from others.
    pub pull_every_ms: u64,
    /// Entries from which one entry pulls in a round.
    pub pull_fanout: usize,
    /// Entries to which a fresh change is pushed on at its first receipt.
    pub push_fanout: usize,
    /// Greatest age of the last sign of life of an entry at which its records are believed.
    pub entry_lease_ms: u64,
    /// Time for which the end of an upstream's life stays recorded, longer than any lease.
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

/// A reading of one process's own monotonic clock, which others only carry back to it.
///
/// A message that echoes the receiver's stamp was sent after that reading. A lease therefore counts
/// from the echoed reading and never from the arrival: a message that waited in a stalled link or
/// in the queue of a stopped process grants nothing that has already ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stamp {
    /// Life of the process that read the clock; a clock of an earlier life means nothing.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The reading in milliseconds.
    pub at_ms: u64,
}

impl Stamp {
    /// The reading, if it is of this life and not from the future.
    pub fn reading_of(self, incarnation: u64, now_ms: u64) -> Option<u64> {
        (self.incarnation == incarnation && self.at_ms <= now_ms).then_some(self.at_ms)
    }
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// The instance on which it runs.
    pub name: name::InstanceName,
    /// Number of this life of the process; a higher one replaces every lower one.
    pub incarnation: u64,
    /// Number of this description within this life; a higher one replaces every lower one.
    pub description: u32,
    /// Where its agent takes calls.
    pub address: net::SocketAddr,
    /// The model that it serves, if it is an engine.
    pub model: Option<name::ModelName>,
    /// The version of the weights that it serves, once whole.
    pub version: Option<digest::Digest>,
    /// Calls that it can serve at once.
    pub capacity: u32,
    /// Labels that the instance has by itself, beside those that operators attach.
    pub labels: labels::Labels,
}

/// Whether an upstream may get new work, in the order in which one keeper's word outweighs another's.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Status {
    /// This keeper hears it no longer; another one still may.
    Lapsed,
    /// Its lease stands and it has not said that it leaves.
    Serving,
    /// It said that it leaves: it finishes what it has and gets nothing new.
    Leaving,
}

/// One keeper's word on one upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The upstream as it last described itself.
    pub upstream: Upstream,
    /// What the keeper holds of it.
    pub status: Status,
}

/// Mixes a number into an evenly spread one (the finaliser of SplitMix64).
///
/// Choices of peers come from a seed that is passed in, so that a test can replay them.
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
