//! A bounded queue between those who log and the thread that writes.

use std::{
    io,
    sync::{
        self,
        atomic::{self, AtomicU64},
        mpsc,
    },
    thread, time,
};

/// Lines that may wait: some seconds of a busy process, about a megabyte.
const LINES: usize = 8_192;

/// Lines are gathered for so long and written together, which saves a wake-up for each.
const GATHER: time::Duration = time::Duration::from_millis(20);

/// Longest time that the end of a process waits for its log.
const FLUSH: time::Duration = time::Duration::from_millis(200);

/// The queue. What does not fit is left out and counted, never waited for.
pub(super) struct Queue {
    lines: mpsc::SyncSender<Vec<u8>>,
    waiting: sync::Arc<AtomicU64>,
    left_out: sync::Arc<AtomicU64>,
}

impl Queue {
    /// Starts the thread that writes.
    pub(super) fn start(output: impl io::Write + Send + 'static) -> Self {
        let (lines, received) = mpsc::sync_channel(LINES);
        let (waiting, left_out) = (sync::Arc::default(), sync::Arc::default());
        let counts = (sync::Arc::clone(&waiting), sync::Arc::clone(&left_out));
        thread::spawn(move || write(&received, output, &counts.0, &counts.1));
        Self { lines, waiting, left_out }
    }

    /// Puts a line into the queue, or counts it where the queue is full.
    pub(super) fn push(&self, line: &[u8]) {
        self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            self.left_out.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Waits until the queue is empty, but not for long.
    pub(super) fn flush(&self) {
        let begun = time::Instant::now();
        while self.waiting.load(atomic::Ordering::Relaxed) > 0 && begun.elapsed() < FLUSH {
            thread::sleep(time::Duration::from_millis(2));
        }
    }
}

fn write(
    received: &mpsc::Receiver<Vec<u8>>,
    mut output: impl io::Write,
    waiting: &AtomicU64,
    left_out: &AtomicU64,
) {
    while let Ok(mut lines) = received.recv() {
        let mut count = 1;
        thread::sleep(GATHER);
        while let Ok(line) = received.try_recv() {
            lines.extend_from_slice(&line);
            count += 1;
        }
        let missing = left_out.swap(0, atomic::Ordering::Relaxed);
        if missing > 0 {
            let told = format!(
                "{{\"level\":\"WARN\",\"part\":\"logging\",\"message\":\"lines were left out\",\
                 \"left_out\":{missing}}}\n"
            );
            lines.extend_from_slice(told.as_bytes());
        }
        // Nobody is left to be told that the log cannot be written.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        waiting.fetch_sub(count, atomic::Ordering::Relaxed);
    }
}

/// Hands env_logger's lines to the queue.
pub(super) struct Writer(pub(super) sync::Arc<Queue>);

impl io::Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !line.is_empty() {
            self.0.push(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    /// An output that nobody reads: each write blocks until the test ends.
    struct Stuck(mpsc::Receiver<()>);

    impl io::Write for Stuck {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.0.recv();
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// The reader of standard output stops. Requests must go on; lines are left out and counted.
    #[googletest::test]
    fn a_stuck_output_blocks_nobody() {
        let (_release, stuck) = mpsc::channel();
        let queue = Queue::start(Stuck(stuck));
        for _ in 0..LINES + LINES + 10 {
            queue.push(b"line");
        }
        expect_that!(queue.left_out.load(atomic::Ordering::Relaxed), ge(10));
        queue.flush();
    }
}
