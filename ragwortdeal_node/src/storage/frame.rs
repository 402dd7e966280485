//! Checksummed frames: payload length, CRC-32 of the payload, CRC-32 of both fields, payload.

use serde::de;

const HEADER_BYTES: usize = 12;

/// A payload and the offset of its frame.
pub(super) struct Payload<'b> {
    pub(super) offset: usize,
    pub(super) bytes: &'b [u8],
}

/// Result of reading a sequence of frames.
pub(super) struct Scan<'b> {
    pub(super) payloads: Vec<Payload<'b>>,
    /// Total length of the valid frames at the start.
    pub(super) valid_bytes: usize,
    /// Offset of an invalid frame that a valid one follows. Frames are synced one after the other,
    /// so a crash can tear only the last; this one was synced and was corrupted later.
    pub(super) damaged_at: Option<usize>,
}

/// Encodes a value as one frame.
pub(super) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    ciborium::into_writer(value, &mut bytes).expect("own types encode into memory");
    let length = u32::try_from(bytes.len() - HEADER_BYTES).expect("a frame is under 4 GiB");
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes[4..8].copy_from_slice(&checksum.to_le_bytes());
    let header_checksum = crc32fast::hash(&bytes[..8]);
    bytes[8..HEADER_BYTES].copy_from_slice(&header_checksum.to_le_bytes());
    bytes
}

/// Decodes a payload; `None` if it doesn't hold a `T`.
pub(super) fn decode<T: de::DeserializeOwned>(payload: &[u8]) -> Option<T> {
    ciborium::from_reader(payload).ok()
}

/// Reads frames up to the end or the first invalid one.
pub(super) fn scan(bytes: &[u8]) -> Scan<'_> {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while let Some(payload) = payload_at(bytes, offset) {
        payloads.push(Payload { offset, bytes: payload });
        offset += HEADER_BYTES + payload.len();
    }
    let valid_follows = (offset + 1..bytes.len()).any(|later| payload_at(bytes, later).is_some());
    Scan { payloads, valid_bytes: offset, damaged_at: valid_follows.then_some(offset) }
}

fn payload_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let field = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|byte| header[at + byte]));
    if field(8) != crc32fast::hash(&header[..8]) {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let payload = bytes.get(start..start + field(0) as usize)?;
    (crc32fast::hash(payload) == field(4)).then_some(payload)
}
