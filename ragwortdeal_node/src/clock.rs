//! Monotonic time for the core, which never reads a clock itself.

use std::time;

/// A monotonic clock in milliseconds.
///
/// Wall clocks jump; a lease that was measured by one could outlive its end. Each process counts
/// from its own start, so these numbers never travel between processes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Starts at zero now.
    pub fn start() -> Self {
        Self { start: time::Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Number of this start of a process, higher than that of any earlier start on the instance.
///
/// It is the wall clock's microseconds at the start: the one place where wall time is read, since
/// an instance without a disk has nothing else that grows across restarts.
pub fn incarnation() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since_epoch.map_or(1, |elapsed| elapsed.as_micros() as u64)
}
