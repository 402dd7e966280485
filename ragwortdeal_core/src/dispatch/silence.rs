//! Failure detector that tells silent upstreams from slow ones.
//!
//! A hung machine, or a link that fails without notice, keeps its connections open and accepts
//! data. Only its silence shows the failure. An entry checks all upstreams at the same moments and
//! counts, for each, the consecutive checks at which it sent nothing although data was due. Checks
//! at which no upstream sent anything do not count, because then the entry itself was hung or lost
//! its link.

/// Consecutive silent checks after which an upstream counts as silent in the middle of answers.
pub const SILENT_CHECKS_MAX: u32 = 4;

/// The same before any first event, counted from when one was forecast.
pub const SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX: u32 = 8;

/// Most checks for a slow upstream, whatever it reports: callers who get no event leave after 20,
/// and another upstream has to send one before.
pub const SILENT_CHECKS_SLOW_MAX: u32 = 10;

/// What an upstream is to send next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The next event of a stream.
    NextEvent,
    /// The first event of a stream.
    FirstEvent,
    /// A whole answer, which takes up to so many checks ([`super::answer_time`]).
    Answer {
        /// Consecutive silent checks after which the upstream counts as silent.
        silent_checks_max: u32,
    },
}

impl Due {
    /// Silent checks after which an upstream counts as silent whose work takes `pace` times as long
    /// as usual. Whole answers are measured, so they include the pace.
    fn silent_checks_max(self, pace: f64) -> u32 {
        let usual = match self {
            Due::NextEvent => SILENT_CHECKS_MAX,
            Due::FirstEvent => SILENT_CHECKS_BEFORE_FIRST_EVENT_MAX,
            Due::Answer { silent_checks_max } => return silent_checks_max,
        };
        ((f64::from(usual) * pace).ceil() as u32).clamp(usual, SILENT_CHECKS_SLOW_MAX)
    }
}

/// What one check of an upstream found since the previous one.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The upstream sent something.
    pub sent_data: bool,
    /// Another upstream sent something.
    pub others_sent_data: bool,
    /// Data that is due: part of an answer, or any sign of life after the upstream became silent.
    pub due: Option<Due>,
    /// How much longer than usual its work takes.
    pub pace: f64,
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
        let Some(due) = observation.due else {
            self.silent_checks = 0;
            return None;
        };
        self.silent_checks += u32::from(observation.others_sent_data);
        if self.silent_checks < due.silent_checks_max(observation.pace) {
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
