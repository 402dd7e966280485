//! Splits an event stream into complete events with consecutive numbers.
//!
//! Only complete events are forwarded: an upstream may break off in the middle of one, and another
//! upstream then resumes after the last complete one.

use bytes::{Bytes, BytesMut};

/// Largest event. Bounds the buffer where an upstream never ends one.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Most bytes between two new events: comments, empty lines, events that the caller has already.
const BETWEEN_EVENTS_MAX_BYTES: usize = 256 << 10;

/// Why an event stream is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamError {
    /// An event is too large.
    TooLarge,
    /// Event numbers are not consecutive: an event is missing.
    Gap,
    /// Bytes come, and no new event.
    NoEvents,
}

/// What a piece of the body has completed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Completed {
    /// Events that the caller does not have yet, with the comments between them.
    pub(super) bytes: Bytes,
    /// Whether there is a new event among them, not only comments.
    pub(super) has_events: bool,
}

/// Parses the events of one answer, across all upstreams that send parts of it.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    pending: BytesMut,
    /// Bytes of `pending` in which no event ends, and the beginning of the line behind them.
    scanned: usize,
    line_start: usize,
    /// Bytes since the last new event.
    between_events_bytes: usize,
    last: Option<u64>,
}

impl EventBuffer {
    /// Resumes after the events that the caller has already; `last` is the number of the newest.
    pub(super) fn resume_after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Adds a piece of the body and returns the events that are now complete, without those that
    /// the caller has already.
    pub(super) fn push(&mut self, piece: &[u8]) -> Result<Completed, StreamError> {
        self.pending.extend_from_slice(piece);
        let mut events = BytesMut::new();
        let mut has_events = false;
        while let Some(end) = self.event_end() {
            let event = self.pending.split_to(end);
            (self.scanned, self.line_start) = (0, 0);
            let is_next = self.is_next(&event)?;
            if is_next && !is_comment(&event) {
                self.between_events_bytes = 0;
                has_events = true;
            } else {
                self.between_events_bytes += event.len();
            }
            if is_next {
                events.extend_from_slice(&event);
            }
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(StreamError::TooLarge);
        }
        if self.between_events_bytes > BETWEEN_EVENTS_MAX_BYTES {
            return Err(StreamError::NoEvents);
        }
        Ok(Completed { bytes: events.freeze(), has_events })
    }

    /// End of the first event, after its empty line. Bytes that were looked at before are not
    /// looked at again: an upstream may send an event in very small pieces.
    fn event_end(&mut self) -> Option<usize> {
        for (index, byte) in self.pending.iter().enumerate().skip(self.scanned) {
            if *byte != b'\n' {
                continue;
            }
            let line = &self.pending[self.line_start..index];
            let empty = line.is_empty() || line == b"\r";
            if empty && self.line_start > 0 {
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.scanned = self.pending.len();
        None
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

    /// Bytes of an event that is not complete.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether no incomplete event is buffered.
    pub(super) fn is_at_event_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards an event that was cut by a lost connection.
    pub(super) fn discard_partial(&mut self) {
        self.pending.clear();
        (self.scanned, self.line_start, self.between_events_bytes) = (0, 0, 0);
    }
}

/// Whether lines up to an empty one hold nothing but comments.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value).ok()?.trim().parse().ok()
}
