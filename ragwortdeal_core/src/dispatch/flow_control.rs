//! What an upstream asks of the entries that use it, as its answers and announcements tell.

pub mod cold;
pub mod cold_changes;
pub mod pause;
pub mod rate_limit;
pub mod share;

/// What the head of one answer asks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Requests a second that the upstream takes from all entries together.
    pub limit_per_s: Option<f64>,
    /// Milliseconds for which it wants nothing from this entry.
    pub pause_ms: Option<u64>,
    /// Whether it leaves.
    pub leaving: bool,
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
    /// It wants nothing from this entry for a while.
    PauseBegan {
        /// For how long in milliseconds.
        pause_ms: u64,
    },
    /// It takes work again after a pause.
    PauseEnded,
    /// It leaves.
    Leaving,
    /// It counts as cold.
    ColdBegan {
        /// For how long in milliseconds, as far as it is known.
        remaining_ms: u64,
        /// Why.
        reason: cold::Reason,
    },
    /// It no longer counts as cold.
    ColdEnded {
        /// Why it counted as cold.
        reason: cold::Reason,
    },
}

/// What one upstream asks of this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowControl {
    limit: Option<rate_limit::RateLimit>,
    pause: Option<pause::Pause>,
    cold: Option<cold::Cold>,
    leaving: bool,
}

impl FlowControl {
    /// Records an answer. Returns the changes by it. `place` is this entry's among those that use
    /// the upstream.
    pub fn record_answer(
        &mut self,
        answer: &Answer,
        place: share::Place,
        now_ms: u64,
    ) -> Vec<Change> {
        if let Some(cold) = &mut self.cold {
            cold.record_reached(answer.sent_at_ms, now_ms);
        }
        let limit = self.record_limit(answer, place, now_ms);
        let pause = self.record_pause(answer, now_ms);
        let leaving = self.record_leaving(answer);
        limit.into_iter().chain(pause).chain(leaving).collect()
    }

    fn record_leaving(&mut self, answer: &Answer) -> Option<Change> {
        let began = answer.signals.leaving && !self.leaving;
        self.leaving |= answer.signals.leaving;
        began.then_some(Change::Leaving)
    }

    fn record_limit(
        &mut self,
        answer: &Answer,
        place: share::Place,
        now_ms: u64,
    ) -> Option<Change> {
        match (&mut self.limit, answer.signals.limit_per_s) {
            (Some(held), Some(per_s)) => {
                let changed = held.per_s() != per_s;
                held.record_named(per_s, now_ms);
                changed.then_some(Change::LimitNamed { per_s })
            }
            (None, Some(per_s)) => {
                self.limit = Some(rate_limit::RateLimit::new(per_s, place, now_ms));
                Some(Change::LimitNamed { per_s })
            }
            // An answer whose request was sent before the rate was named may have been made
            // before it, and what was not executed may have been turned away on other grounds.
            (Some(held), None) if answer.executed && answer.sent_at_ms >= held.named_at_ms() => {
                self.limit = None;
                Some(Change::LimitEnded)
            }
            _ => None,
        }
    }

    fn record_pause(&mut self, answer: &Answer, now_ms: u64) -> Option<Change> {
        match (&mut self.pause, answer.signals.pause_ms) {
            (Some(held), Some(pause_ms)) => {
                let lasts = held.is_lasting(now_ms);
                held.record_asked(pause_ms, now_ms);
                (!lasts).then_some(Change::PauseBegan { pause_ms })
            }
            (None, Some(pause_ms)) => {
                self.pause = Some(pause::Pause::new(pause_ms, now_ms));
                Some(Change::PauseBegan { pause_ms })
            }
            (Some(held), None) if answer.executed && held.ends_by(answer.sent_at_ms) => {
                self.pause = None;
                Some(Change::PauseEnded)
            }
            _ => None,
        }
    }

    /// Takes another place among the entries that use the upstream.
    pub fn set_place(&mut self, place: share::Place, now_ms: u64) {
        if let Some(limit) = &mut self.limit {
            limit.set_place(place, now_ms);
        }
        if let Some(cold) = &mut self.cold {
            cold.set_place(place, now_ms);
        }
    }

    /// Counts a request when it is sent, be it a first attempt, a retry or a resumed stream.
    pub fn record_sent(&mut self, now_ms: u64) {
        if let Some(limit) = &mut self.limit {
            limit.record_sent(now_ms);
        }
        if let Some(pause) = &mut self.pause {
            pause.record_sent(now_ms);
        }
        if let Some(cold) = &mut self.cold {
            cold.record_sent(now_ms);
        }
    }

    /// Whether the upstream said that it leaves. It does so until it restarts, whatever later answers
    /// and announcements say: they may have been under way before.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a request may be sent now, unless the upstream leaves.
    pub fn may_send(&self, now_ms: u64) -> bool {
        let limited = self.limit.is_some_and(|limit| now_ms < limit.next_send_ms());
        let paused = self.pause.is_some_and(|pause| now_ms < pause.next_send_ms());
        let cold = self.cold_at(now_ms).is_some_and(|cold| now_ms < cold.next_send_ms());
        !limited && !paused && !cold
    }

    /// Milliseconds until the upstream takes a request, as far as it is known: from any entry where
    /// it names a rate or is cold, from this one where it asked for a pause.
    pub fn takes_work_in_ms(&self, now_ms: u64) -> u64 {
        let limited_ms = self.limit.map_or(0, |limit| limit.takes_work_in_ms(now_ms));
        let cold_ms = self.cold_at(now_ms).map_or(0, |cold| cold.takes_work_in_ms(now_ms));
        limited_ms.max(cold_ms).max(self.pause_left_ms(now_ms))
    }

    /// Milliseconds until the end of a pause that the upstream asked for, 0 where there is none.
    pub fn pause_left_ms(&self, now_ms: u64) -> u64 {
        self.pause.map_or(0, |pause| pause.until_ms().saturating_sub(now_ms))
    }

    /// Requests a second that the upstream takes from all entries together, if it names them.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s())
    }

    /// Takes the rate that another entry was told of, unless this one knows a rate. Returns whether
    /// it is news.
    pub fn record_rate_of_others(&mut self, per_s: f64, place: share::Place, now_ms: u64) -> bool {
        let is_news = self.limit.is_none();
        self.limit.get_or_insert_with(|| rate_limit::RateLimit::new(per_s, place, now_ms));
        is_news
    }
}
