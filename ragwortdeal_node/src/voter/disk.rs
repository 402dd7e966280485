//! The thread that writes: it takes all waiting writes together and syncs once for them.

use std::{sync::mpsc as blocking, thread};

use ragwortdeal_core::replication::entry;
use tokio::sync::mpsc;

use super::Event;
use crate::storage;

/// Most writes that are synced together, so that the first of them is not kept waiting.
const BATCH_WRITES: usize = 512;

/// Starts the thread. It ends when the sender is dropped or a write fails.
pub(super) fn start(
    storage: storage::Storage,
    events: mpsc::Sender<Event>,
) -> blocking::Sender<entry::Write> {
    let (sender, writes) = blocking::channel();
    thread::spawn(move || run(storage, &writes, &events));
    sender
}

fn run(
    mut storage: storage::Storage,
    writes: &blocking::Receiver<entry::Write>,
    events: &mpsc::Sender<Event>,
) {
    while let Ok(first) = writes.recv() {
        let mut batch = vec![first];
        batch.extend(writes.try_iter().take(BATCH_WRITES - 1));
        let write_id = batch[batch.len() - 1].id;
        let event = match storage.write(&batch) {
            Ok(()) => {
                let segment_bytes = storage.segment_bytes();
                Event::Synced { storage: storage.storage_id(), write_id, segment_bytes }
            }
            Err(error) => Event::DiskFailed { storage: storage.storage_id(), error },
        };
        let failed = matches!(event, Event::DiskFailed { .. });
        if events.blocking_send(event).is_err() || failed {
            return;
        }
    }
}
