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
        let storage_id = storage.storage_id();
        if let Err(error) = storage.write(&batch) {
            // Frees the lock first, as the folder is opened again at once.
            drop(storage);
            // Where nobody listens any more the voter has ended.
            let _ = events.blocking_send(Event::DiskFailed { storage: storage_id, error });
            return;
        }
        let segment_bytes = storage.segment_bytes();
        let synced = Event::Synced { storage: storage_id, write_id, segment_bytes };
        if events.blocking_send(synced).is_err() {
            return;
        }
    }
}
