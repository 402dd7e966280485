//! Splits an event stream into complete events with consecutive numbers.
//!
//! Only complete events are forwarded: an upstream may break off in the middle of one, and another
//! upstream then resumes after the last complete one.

use bytes::{Bytes, BytesMut};

/// Largest event. Bounds the buffer where an upstream never ends one.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Why an event stream is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamError {
    /// An event is too large.
    TooLarge,
    /// Event numbers are not consecutive: an event is missing.
    Gap,
}

/// Parses the events of one answer, across all upstreams that send parts of it.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    pending: BytesMut,
    last: Option<u64>,
}

impl EventBuffer {
    /// Resumes after the events that the caller has already; `last` is the number of the newest.
    pub(super) fn resume_after(last: Option<u64>) -> Self {
        Self { pending: BytesMut::new(), last }
    }

    /// Adds a piece of the body and returns the events that are now complete, without those that
    /// the caller has already.
    pub(super) fn push(&mut self, piece: &[u8]) -> Result<Bytes, StreamError> {
        self.pending.extend_from_slice(piece);
        let mut events = BytesMut::new();
        while let Some(end) = event_end(&self.pending) {
            let event = self.pending.split_to(end);
            if self.is_next(&event)? {
                events.extend_from_slice(&event);
            }
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(StreamError::TooLarge);
        }
        Ok(events.freeze())
    }

    /// Whether the event is the next one. An event without a number is forwarded as it is.
    fn is_next(&mut self, event: &[u8]) -> Result<bool, StreamError> {
        let Some(number) = event_id(event) else {
            return Ok(true);
        };
        match self.last {
            Some(last) if number <= last => return Ok(false),
            Some(last) if number > last + 1 => return Err(StreamError::Gap),
            _ => (),
        }
        self.last = Some(number);
        Ok(true)
    }

    /// Number of the last complete event.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether no incomplete event is buffered.
    pub(super) fn is_at_event_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards an event that was cut by a lost connection.
    pub(super) fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

/// End of the first event, after its empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        let empty = line.is_empty() || line == b"\r";
        if empty && line_start > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value).ok()?.trim().parse().ok()
}
