//! Whether the path to an instance is free, by questions that its agent answers.
//!
//! A link that turns narrow and a machine that stands still show in requests only after seconds:
//! what was sent is on its way, and nobody can tell where it waits. A question takes the same path
//! several times a second, and its answer tells when it was asked.

/// Age beyond which the last answer no longer shows that the path is free: two questions in a row
/// and a lost datagram have had no answer by then.
const ANSWERED_MAX_MS: u64 = 400;

/// Round trip beyond which something waits on the path. Without a queue it takes some milliseconds.
const ROUND_TRIP_MAX_MS: u64 = 150;

/// What is known of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// Nobody has answered yet, or nobody was asked for long.
    #[default]
    Unknown,
    /// Questions come back at once.
    Free,
    /// They come back late: something waits on the path.
    Slow,
    /// They do not come back any more: nothing gets through, or the agent is gone.
    Silent,
}

/// The questions to one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Probe {
    /// When the newest question that was answered was asked.
    asked_at_ms: Option<u64>,
    /// When the oldest question was asked that is newer than the last answered one.
    open_since_ms: Option<u64>,
    round_trip_ms: u64,
}

impl Probe {
    /// Notes a question.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.open_since_ms.get_or_insert(now_ms);
    }

    /// Notes the answer to a question. Returns whether it is the newest.
    pub fn record_reply(&mut self, asked_at_ms: u64, now_ms: u64) -> bool {
        if self.asked_at_ms.is_some_and(|newest_ms| newest_ms >= asked_at_ms) {
            return false;
        }
        self.asked_at_ms = Some(asked_at_ms);
        self.open_since_ms = None;
        self.round_trip_ms = now_ms.saturating_sub(asked_at_ms);
        true
    }

    /// Whether the path was free just now, as far as anybody there answers at all.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        self.asked_at_ms.is_none() || self.path_state(now_ms) == PathState::Free
    }

    /// What is known of the path now. An instance that never answered may have no agent, which says
    /// nothing of the path to it.
    pub fn path_state(&self, now_ms: u64) -> PathState {
        let Some(asked_at_ms) = self.asked_at_ms else { return PathState::Unknown };
        let waits_ms = self.open_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        if self.round_trip_ms > ROUND_TRIP_MAX_MS {
            return PathState::Slow;
        }
        if waits_ms > ANSWERED_MAX_MS {
            return PathState::Silent;
        }
        let is_recent = now_ms.saturating_sub(asked_at_ms) <= ANSWERED_MAX_MS;
        if is_recent { PathState::Free } else { PathState::Unknown }
    }
}
