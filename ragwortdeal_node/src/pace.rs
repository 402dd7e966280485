//! Spreads what a process sends over time.
//!
//! A chunk that is written at once fills the instance's link, and the events of streams wait behind
//! it. Cut into pieces that leave one after the other, below the link's rate, it lets them through.

use std::{sync, time};

use tokio::time as tokio_time;

/// A bound on the bytes that leave in a second, over all senders of a process.
#[derive(Debug)]
pub struct Pace {
    /// No bound where 0.
    bytes_per_s: u64,
    free_at: sync::Mutex<time::Instant>,
}

impl Pace {
    /// A bound in bytes a second; 0 sets none.
    pub fn new(bytes_per_s: u64) -> Self {
        Self { bytes_per_s, free_at: sync::Mutex::new(time::Instant::now()) }
    }

    /// Waits until so many bytes may leave at a part of the bound.
    pub async fn turn(&self, len_bytes: usize, share: f64) {
        if self.bytes_per_s == 0 {
            return;
        }
        let takes = len_bytes as f64 / (self.bytes_per_s as f64 * share);
        let takes = time::Duration::from_secs_f64(takes);
        let turn = {
            let mut free_at = self.free_at.lock().expect("no panic under lock");
            let turn = (*free_at).max(time::Instant::now());
            *free_at = turn + takes;
            turn
        };
        tokio_time::sleep_until(turn.into()).await;
    }
}
