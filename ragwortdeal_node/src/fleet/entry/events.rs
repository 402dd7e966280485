//! Splits a stream into whole events with rising numbers.
//!
//! Only whole events are passed on: an upstream may break off in the middle of one, and another
//! upstream then begins again behind the last whole one.

use bytes::{Bytes, BytesMut};

/// Largest event. An upstream that never ends one must not fill the memory.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Why a stream is not what it claims to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Broken {
    /// An event is too large.
    TooLarge,
    /// Numbers do not rise by one: an event is missing.
    Gap,
}

/// The events of one answer, over all upstreams that made it.
#[derive(Debug, Default)]
pub(super) struct Events {
    pending: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// Events that the caller has already; `last` is the number of the newest.
    pub(super) fn after(last: Option<u64>) -> Self {
        Self { pending: BytesMut::new(), last }
    }

    /// Takes a piece and returns the events that are whole now, without those that the caller has.
    pub(super) fn push(&mut self, piece: &[u8]) -> Result<Bytes, Broken> {
        self.pending.extend_from_slice(piece);
        let mut passed = BytesMut::new();
        while let Some(end) = event_end(&self.pending) {
            let event = self.pending.split_to(end);
            if self.is_new(&event)? {
                passed.extend_from_slice(&event);
            }
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(Broken::TooLarge);
        }
        Ok(passed.freeze())
    }

    /// Whether the event comes next. One without a number is passed on as it is.
    fn is_new(&mut self, event: &[u8]) -> Result<bool, Broken> {
        let Some(number) = number(event) else {
            return Ok(true);
        };
        match self.last {
            Some(last) if number <= last => return Ok(false),
            Some(last) if number > last + 1 => return Err(Broken::Gap),
            _ => (),
        }
        self.last = Some(number);
        Ok(true)
    }

    /// Number of the last whole event.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the stream ends between two events.
    pub(super) fn is_whole(&self) -> bool {
        self.pending.is_empty()
    }

    /// Forgets the event that a lost connection cut.
    pub(super) fn reconnect(&mut self) {
        self.pending.clear();
    }
}

/// Where the first event ends, behind its empty line.
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

fn number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value).ok()?.trim().parse().ok()
}
