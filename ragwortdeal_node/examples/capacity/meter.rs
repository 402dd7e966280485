//! Processor time of this thread, memory of this process, and bytes as links would carry them.

use std::fs;

use rustix::time;

/// Size of a page of memory on the machines that this is measured on.
const PAGE_BYTES: u64 = 4096;

/// What the network adds to each message: IPv4 20, TCP with timestamps 32, WebSocket and the link's
/// frame about 60 bytes.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 112;

/// Processor time that this thread has used so far.
pub fn thread_cpu_ns() -> u64 {
    nanoseconds(time::clock_gettime(time::ClockId::ThreadCPUTime))
}

fn nanoseconds(time: time::Timespec) -> u64 {
    (time.tv_sec * 1_000_000_000 + time.tv_nsec) as u64
}

/// Memory that this process holds.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// The encoded form of a message.
pub fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(value, &mut bytes).expect("own types encode into memory");
    bytes
}

/// Reads an encoded message back, as the receiver does.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    ciborium::from_reader(bytes).expect("it was just written")
}
