//! Bounds how many lines of one kind are written.
//!
//! Under load a process refuses hundreds of requests a second, each with a line. Each kind of line,
//! told by its place in the code, has a budget of its own, so that many refusals never push out the
//! one line that tells of a lost dependency.

use std::{collections, sync, time};

/// Lines of one kind that are written in a second: more than a busy entry has requests.
const LINES_PER_S: u64 = 400;

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is written, with how many of its kind were left out before.
    Write {
        /// Lines left out since the last one.
        left_out: u64,
    },
    /// It is counted only.
    LeaveOut,
}

#[derive(Debug, Default)]
struct Kind {
    second: u64,
    written: u64,
    left_out: u64,
}

/// Where in the code a kind of line is written.
type Place = (Option<String>, Option<u32>);

/// Budgets of all kinds of lines.
#[derive(Debug)]
pub(super) struct Limits {
    start: time::Instant,
    kinds: sync::Mutex<collections::HashMap<Place, Kind>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self { start: time::Instant::now(), kinds: sync::Mutex::default() }
    }
}

impl Limits {
    /// Judges a line.
    pub(super) fn admit(&self, record: &log::Record<'_>) -> Verdict {
        let place = (record.file().map(str::to_owned), record.line());
        self.admit_at(place, self.start.elapsed().as_secs())
    }

    fn admit_at(&self, place: Place, second: u64) -> Verdict {
        let mut kinds = self.kinds.lock().expect("no panic under lock");
        let kind = kinds.entry(place).or_default();
        if kind.second != second {
            (kind.second, kind.written) = (second, 0);
        }
        if kind.written >= LINES_PER_S {
            kind.left_out += 1;
            return Verdict::LeaveOut;
        }
        kind.written += 1;
        Verdict::Write { left_out: std::mem::take(&mut kind.left_out) }
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    /// A storm of one kind of line must be bounded, be counted, and leave other kinds alone.
    #[googletest::test]
    fn a_storm_is_bounded_and_counted() {
        let limits = Limits::default();
        let place = |line| (Some("serve.rs".to_owned()), Some(line));
        let storm = (0..LINES_PER_S + 50).map(|_| limits.admit_at(place(1), 7));
        let written = storm.filter(|verdict| *verdict != Verdict::LeaveOut).count() as u64;
        expect_that!(written, eq(LINES_PER_S));
        expect_that!(limits.admit_at(place(2), 7), eq(Verdict::Write { left_out: 0 }));
        expect_that!(limits.admit_at(place(1), 8), eq(Verdict::Write { left_out: 50 }));
    }
}
