//! Numbers by which a voter matches the answers of other voters to what it asked them.

use rand::RngExt as _;

/// Numbers letters that want an answer, each with a number that no other process gives.
///
/// An answer names the number alone, and may come after the process that asked has ended: on a link
/// of the voter's next process, or to the driver that follows a data folder which was given up. A
/// process that counted from 1 would take it for the answer to its own letter with that number and
/// acknowledge a change that nobody logged.
///
/// The first number is drawn from all 64 bits, and the others follow it. At a million letters a
/// process, the numbers of two processes overlap with a probability of about 10^-13. Other voters
/// only repeat a number, so it works beside builds that count from 1.
pub(super) struct LetterNumbers {
    next: u64,
}

impl Default for LetterNumbers {
    fn default() -> Self {
        Self { next: rand::rng().random() }
    }
}

impl LetterNumbers {
    /// The next number, which is never 0.
    pub(super) fn take(&mut self) -> u64 {
        let number = self.next.max(1);
        self.next = number.wrapping_add(1);
        number
    }
}
