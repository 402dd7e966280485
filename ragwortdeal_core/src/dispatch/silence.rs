//! Failure detector that tells silent upstreams from slow ones.
//!
//! A hung machine, or a link that fails without notice, keeps its connections open and accepts
//! data. Only its silence shows the failure. An entry checks all upstreams at the same moments and
//! counts, for each, the consecutive checks at which it sent nothing although data was due. Checks
//! at which no upstream sent anything do not count, because then the entry itself was hung or lost
//! its link.

/// Consecutive silent checks after which an upstream counts as silent in the middle of answers.
pub const SILENT_CHECKS_MAX: u32 = 4;

/// The same before any first event. A working engine sends its first event in less than half of
/// that time.
pub const SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX: u32 = 8;

/// What one check of an upstream found since the previous one.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The upstream sent something.
    pub sent_data: bool,
    /// Another upstream sent something.
    pub others_sent_data: bool,
    /// Data is due: part of an answer, or any sign of life after the upstream became silent.
    pub owes_data: bool,
    /// An answer has started.
    pub has_started: bool,
}

/// Change of state found by a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream counts as silent. Reported again while the silence lasts.
    Silent,
    /// The upstream has sent something again.
    Recovered,
}

/// Silence of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceDetector {
    silent_checks: u32,
    silent: bool,
}

impl SilenceDetector {
    /// Records a check.
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

    /// Whether the upstream is silent.
    pub fn is_silent(&self) -> bool {
        self.silent
    }
}
