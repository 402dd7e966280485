//! Divides the memory and descriptors of a process between what peers may make it hold.

/// Memory that a process takes by itself in bytes. What peers make it hold comes on top.
const OWN_BYTES: usize = 24 << 20;

/// The least that peers may make a process hold, however small it is.
const PEERS_MIN_BYTES: usize = 8 << 20;

/// Descriptors for files, links, and the listeners for health checks and metrics.
const OWN_DESCRIPTORS: usize = 200;

/// The same on a process with few descriptors, as its part of them.
const OWN_DESCRIPTORS_PART: usize = 4;

/// Buffers of a connection for each byte that a head may have: one that is read into, and one that
/// the request before it still holds.
const HEAD_BUFFERS: usize = 2;

/// Connections that a listener takes however little memory there is.
const CONNECTIONS_MIN: usize = 16;

/// What a process has, and which parts of it peers may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory of the process in bytes.
    pub process_bytes: usize,
    /// Percent of the memory for peers that bodies of requests may hold.
    pub body_percent: usize,
    /// Percent of the memory for peers that connections may hold.
    pub connection_percent: usize,
    /// Descriptors of the process.
    pub descriptors: usize,
    /// Bytes that the kernel holds for a connection before they are read.
    pub receive_buffer_bytes: usize,
}

impl Capacity {
    fn peers_bytes(&self) -> usize {
        self.process_bytes.saturating_sub(OWN_BYTES).max(PEERS_MIN_BYTES)
    }

    /// Bytes that bodies of requests may hold.
    pub fn body_bytes(&self) -> usize {
        self.peers_bytes() / 100 * self.body_percent
    }

    /// Connections that callers may hold, each with a head of at most so many bytes.
    ///
    /// A request needs one more connection to an upstream, so callers get half of the descriptors.
    pub fn connections_max(&self, head_max_bytes: usize) -> usize {
        let each_bytes = HEAD_BUFFERS * head_max_bytes + self.receive_buffer_bytes;
        let by_memory = self.peers_bytes() / 100 * self.connection_percent / each_bytes.max(1);
        let own = OWN_DESCRIPTORS.min(self.descriptors / OWN_DESCRIPTORS_PART);
        let by_descriptors = (self.descriptors - own) / 2;
        by_memory.min(by_descriptors).max(CONNECTIONS_MIN)
    }
}
