//! What an upstream asks of the entries that use it, as its answers tell.

/// What the head of one answer asks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Requests a second that the upstream takes from all entries together.
    pub limit_per_s: Option<f64>,
}

/// The answer to a request, as far as it tells of the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// What its head asks.
    pub signals: Signals,
    /// When the request was sent, in milliseconds of the entry's clock.
    pub sent_at_ms: u64,
    /// Whether the upstream executed the request.
    pub executed: bool,
}

/// A change of what an upstream asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It names a rate, or another one than before.
    LimitNamed {
        /// Requests a second from all entries together.
        per_s: f64,
    },
    /// It no longer names a rate.
    LimitEnded,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    named_at_ms: u64,
}

/// What one upstream asks of this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowControl {
    limit: Option<Limit>,
}

impl FlowControl {
    /// Records an answer. Returns what changes by it.
    pub fn record_answer(&mut self, answer: &Answer, now_ms: u64) -> Option<Change> {
        match (self.limit, answer.signals.limit_per_s) {
            (held, Some(per_s)) => {
                self.limit = Some(Limit { per_s, named_at_ms: now_ms });
                let same = held.is_some_and(|held| held.per_s == per_s);
                (!same).then_some(Change::LimitNamed { per_s })
            }
            // An answer whose request was sent before the rate was named may have been made
            // before it, and what was not executed may have been turned away on other grounds.
            (Some(held), None) if answer.executed && answer.sent_at_ms >= held.named_at_ms => {
                self.limit = None;
                Some(Change::LimitEnded)
            }
            _ => None,
        }
    }

    /// Requests a second that the upstream takes from all entries together, if it names them.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s)
    }
}
