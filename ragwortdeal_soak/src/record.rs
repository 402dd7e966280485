//! The history of a run while it grows.

use std::{sync, time};

use crate::history::{History, Who};

/// A history that many tasks write.
#[derive(Debug)]
pub struct Record {
    begun: time::Instant,
    history: sync::Mutex<History>,
}

impl Record {
    /// Begins a history now.
    pub fn start() -> sync::Arc<Self> {
        sync::Arc::new(Self { begun: time::Instant::now(), history: sync::Mutex::default() })
    }

    /// Milliseconds since the begin.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Milliseconds of a moment.
    pub fn ms(&self, at: time::Instant) -> u64 {
        at.saturating_duration_since(self.begun).as_millis() as u64
    }

    /// Changes the history.
    pub fn change<R>(&self, change: impl FnOnce(&mut History) -> R) -> R {
        change(&mut self.history.lock().expect("no panic under lock"))
    }

    /// Notes that a disturbance begins.
    pub fn disturb(&self, who: Who) {
        let now_ms = self.now_ms();
        self.change(|history| history.disturb(who, now_ms));
    }

    /// Notes that the disturbances of one end.
    pub fn calm(&self, who: Who) {
        let now_ms = self.now_ms();
        self.change(|history| history.calm(who, now_ms));
    }
}
