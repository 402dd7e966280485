//! Tells an upstream that has gone quiet from one that is slow.
//!
//! A machine that stands still, or a link that is lost without a word, keeps its connections open
//! and takes in what is sent. Nothing but its silence shows it. An entry looks at all upstreams at
//! the same moments and counts, for each, the looks in a row at which it said nothing though it
//! owed answers. Looks at which nobody spoke do not count: there it is the entry that
//! stood still or lost its link.

/// Silent looks in a row after which an upstream counts as quiet in the middle of answers.
pub const QUIET_LOOKS: u32 = 4;

/// The same where it has begun on nothing yet. An engine at work gives its first event in less than
/// half of that.
pub const UNBEGUN_LOOKS: u32 = 8;

/// What one look at an upstream found, of the time since the look before.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// It sent something.
    pub spoke: bool,
    /// Another upstream sent something.
    pub others_spoke: bool,
    /// It owes a piece of an answer, or the first word after it went quiet.
    pub owes: bool,
    /// It has begun on an answer.
    pub begun: bool,
}

/// What a look changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It counts as quiet, again where it did so before.
    Quiet,
    /// It is heard again.
    Heard,
}

/// The silence of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    looks: u32,
    quiet: bool,
}

impl Silence {
    /// Takes one look.
    pub fn look(&mut self, look: Look) -> Option<Change> {
        if look.spoke {
            self.looks = 0;
            return std::mem::take(&mut self.quiet).then_some(Change::Heard);
        }
        if !look.owes {
            self.looks = 0;
            return None;
        }
        self.looks += u32::from(look.others_spoke);
        let needed = if look.begun { QUIET_LOOKS } else { UNBEGUN_LOOKS };
        if self.looks < needed {
            return None;
        }
        self.looks = 0;
        self.quiet = true;
        Some(Change::Quiet)
    }

    /// Whether it has gone quiet and was not heard since.
    pub fn is_quiet(&self) -> bool {
        self.quiet
    }
}
