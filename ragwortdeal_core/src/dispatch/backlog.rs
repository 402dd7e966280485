//! The work that one upstream has, as one entry knows it.
//!
//! What the entry sent itself is counted; what others sent is estimated from the upstream's last
//! word; what neither tells shows in first events that come later than forecast.

use super::{choice, elsewhere, forecast};

/// Milliseconds that a prompt of another entry is taken to need where nothing else is known of it:
/// some thousand tokens at thirty a millisecond.
const UNREAD_USUAL_MS: f64 = 35.0;

/// Load of an upstream that refuses work, as a multiple of its slots: more than it is offered at.
const SHED_SLOTS: f64 = 2.0;

/// Work at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    open: u32,
    /// Requests of this entry that have no first event yet.
    unread: u32,
    /// Milliseconds of prompts that it has to read before their first event.
    reading_ms: f64,
    /// Requests of others.
    elsewhere: elsewhere::Word,
    excess: forecast::Excess,
}

/// Where an upstream stands, and how many requests it works on together.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Whether in this entry's availability zone.
    pub near: bool,
    /// By its own word.
    pub slots: u32,
}

/// Other entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Others {
    /// Those of this entry's availability zone, which send to its engines as this one does.
    pub near: f64,
    /// All.
    pub all: f64,
}

impl Backlog {
    /// The backlog at a new life of the upstream: of the life before only what is still open counts.
    pub fn after_restart(&self) -> Self {
        Self { open: self.open, ..Self::default() }
    }

    /// Requests of this entry that are open there.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Whether it has begun on a request of this entry.
    pub fn has_begun(&self) -> bool {
        self.open > self.unread
    }

    /// Whether it has a prompt of this entry to read.
    pub fn has_unread(&self) -> bool {
        self.unread > 0 && self.reading_ms > 0.0
    }

    /// Notes a request as open, with a prompt to be read.
    pub fn opened(&mut self, reading_ms: f64) {
        self.open += 1;
        self.unread += 1;
        self.reading_ms += reading_ms;
    }

    /// Notes a prompt as read.
    pub fn read(&mut self, reading_ms: f64) {
        self.unread = self.unread.saturating_sub(1);
        self.reading_ms = (self.reading_ms - reading_ms).max(0.0);
    }

    /// Notes a request as ended.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Takes a first event that was forecast for one time and took another.
    pub fn answered(&mut self, forecast_ms: f64, took_ms: f64, now_ms: u64) {
        self.excess.answered(forecast_ms, took_ms, now_ms);
    }

    /// Takes what the upstream says that it has in all.
    pub fn heard(&mut self, all: elsewhere::Requests, now_ms: u64) {
        self.elsewhere.heard(all, self.own(), now_ms);
    }

    /// Notes that it refused work, by the slots that it announced itself.
    pub fn shed(&mut self, slots: u32, now_ms: u64) {
        let all = elsewhere::Requests { open: f64::from(slots) * SHED_SLOTS, unread: 0.0 };
        self.elsewhere.heard(all, elsewhere::Requests::default(), now_ms);
    }

    /// The upstream as the choice sees it. Nobody knows more of one that has said nothing of late, so
    /// all others are taken to send there as this entry does: when a deployment comes back, each
    /// entry sees all engines idle.
    pub fn candidate(&self, place: &Place, others: &Others, now_ms: u64) -> choice::Candidate {
        let alike = match self.elsewhere.is_heard(now_ms) {
            true if place.near => others.near,
            true => 0.0,
            false => others.all,
        };
        let elsewhere = self.elsewhere.estimate(self.own(), alike, now_ms);
        choice::Candidate {
            open: self.open,
            elsewhere: elsewhere.open,
            slots: place.slots,
            near: place.near,
            failing: 0.0,
            reading_ms: self.reading_ms,
            unread_elsewhere_ms: elsewhere.unread * UNREAD_USUAL_MS,
            excess_ms: self.excess.now(now_ms),
        }
    }

    fn own(&self) -> elsewhere::Requests {
        elsewhere::Requests { open: f64::from(self.open), unread: f64::from(self.unread) }
    }
}
