//! Divides the memory of a process between what peers may make it hold.

/// Memory that a process takes by itself in bytes. What peers make it hold comes on top.
const OWN_BYTES: usize = 24 << 20;

/// The least that peers may make a process hold, however small it is.
const PEERS_MIN_BYTES: usize = 8 << 20;

/// What a process has, and which parts of it peers may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory of the process in bytes.
    pub process_bytes: usize,
    /// Percent of the memory for peers that bodies of requests may hold.
    pub body_percent: usize,
}

impl Capacity {
    fn peers_bytes(&self) -> usize {
        self.process_bytes.saturating_sub(OWN_BYTES).max(PEERS_MIN_BYTES)
    }

    /// Bytes that bodies of requests may hold.
    pub fn body_bytes(&self) -> usize {
        self.peers_bytes() / 100 * self.body_percent
    }
}
