//! Tells an upstream that has gone quiet from one that is slow.
//!
//! A machine that stands still, or a link that is lost without a word, keeps its connections open
//! and takes in what is sent. Nothing but its silence shows it. An entry looks at all upstreams at
//! the same moments and counts, for each, the looks in a row at which it said nothing though it
//! owed answers. Looks at which nobody spoke do not count: there it is the entry that
//! stood still or lost its link.

/// Silent looks in a row after which an upstream counts as quiet in the middle of answers.
pub const SILENT_CHECKS_MAX: u32 = 4;

/// The same where it has begun on nothing yet. An engine at work gives its first event in less than
/// half of that.
pub const SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX: u32 = 8;

/// What one look at an upstream found, of the time since the look before.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// It sent something.
    pub sent_data: bool,
    /// Another upstream sent something.
    pub others_sent_data: bool,
    /// It owes a piece of an answer, or the first word after it went quiet.
    pub owes_data: bool,
    /// It has begun on an answer.
    pub has_started: bool,
}

/// What a look changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It counts as quiet, again where it did so before.
    Silent,
    /// It is heard again.
    Recovered,
}

/// The silence of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceDetector {
    silent_checks: u32,
    silent: bool,
}

impl SilenceDetector {
    /// Takes one look.
    pub fn observe(&mut self, observation: Observation) -> Option<Change> {
        if observation.sent_data {
            self.silent_checks = 0;
            return std::mem::take(&mut self.silent).then_some(Change::Recovered);
        }
        if !observation.owes_data {
            self.silent_checks = 0;
            return None;
        }
        self.silent_checks += u32::from(observation.others_sent_data);
        let needed = if observation.has_started {
            SILENT_CHECKS_MAX
        } else {
            SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX
        };
        if self.silent_checks < needed {
            return None;
        }
        self.silent_checks = 0;
        self.silent = true;
        Some(Change::Silent)
    }

    /// Whether it has gone quiet and was not heard since.
    pub fn is_silent(&self) -> bool {
        self.silent
    }
}
