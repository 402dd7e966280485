//! Durability and crash recovery of a voter's data folder.

use std::{fs, io, path, sync, sync::atomic};

use googletest::prelude::*;
use proptest::prelude as property;
use ragwortdeal_core::{
    name,
    replication::{entry, membership},
};
use ragwortdeal_node::storage::{self, SegmentFile, Storage, StorageError};

fn entry_at(index: u64) -> entry::Entry {
    let position = entry::Position { term: 1, index };
    let data = format!("change {index}").into_bytes().into();
    entry::Entry { position, payload: entry::Payload::Data(data) }
}

fn write_at(index: u64) -> entry::Write {
    let hard_state = entry::HardState { term: 1, commit: index - 1, ..Default::default() };
    entry::Write {
        id: index,
        entries: vec![entry_at(index)],
        hard_state: Some(hard_state),
        ..Default::default()
    }
}

fn snapshot_at(index: u64) -> entry::Write {
    let instance = name::InstanceName::new("voter-1").expect("a valid name");
    let id = entry::ReplicaId { instance, storage: entry::StorageId(1) };
    let snapshot = entry::Snapshot {
        position: entry::Position { term: 1, index },
        membership: membership::Membership::single_voter(id),
        state: vec![7; 3_000].into(),
    };
    entry::Write { id: index, snapshot: Some(snapshot), ..Default::default() }
}

fn folder_with(writes: u64) -> (tempfile::TempDir, entry::PersistentState) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut storage = Storage::open(folder.path()).expect("opens");
    for index in 1..=writes {
        storage.write(&[write_at(index)]).expect("writes");
    }
    let stored = storage.state().clone();
    (folder, stored)
}

fn segment_path(folder: &path::Path) -> path::PathBuf {
    let mut found: Vec<_> = fs::read_dir(folder)
        .expect("lists")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.to_string_lossy().contains("segment-"))
        .collect();
    found.sort();
    found.pop().expect("a segment")
}

// A process is killed after hundreds of writes and restarted. All acknowledged writes must be
// recovered.
#[googletest::test]
fn acknowledged_writes_are_recovered() {
    let (folder, stored) = folder_with(300);
    let reopened = Storage::open(folder.path()).expect("opens");
    expect_that!(reopened.state(), eq(&stored));
}

// A restart after a snapshot recovers its state and the entries after it, and no entry that the
// snapshot covers.
#[googletest::test]
fn snapshot_replaces_covered_entries() {
    let (folder, _) = folder_with(50);
    let mut storage = Storage::open(folder.path()).expect("opens");
    storage.write(&[snapshot_at(40), write_at(51)]).expect("writes");
    storage.write(&[write_at(52)]).expect("writes");
    let stored = storage.state().clone();
    drop(storage);
    let reopened = Storage::open(folder.path()).expect("opens");
    expect_that!(reopened.state(), eq(&stored));
    expect_that!(reopened.state().entries, len(eq(12)));
    expect_that!(count_files(folder.path(), "segment-"), eq(1));
    expect_that!(count_files(folder.path(), "snapshot-"), eq(1));
}

fn count_files(folder: &path::Path, part: &str) -> usize {
    let entries = fs::read_dir(folder).expect("lists");
    let names = entries.map(|entry| entry.expect("an entry").file_name());
    names.filter(|name| name.to_string_lossy().contains(part)).count()
}

// The instance loses power in the middle of a write. The unacknowledged write may be lost, but the
// voter must start without manual repair.
#[googletest::test]
fn torn_last_frame_is_truncated() {
    let (folder, stored) = folder_with(5);
    let path = segment_path(folder.path());
    let mut bytes = fs::read(&path).expect("reads");
    let torn = bytes[bytes.len() - 40..].to_vec();
    bytes.extend(&torn[..25]);
    fs::write(&path, &bytes).expect("writes");
    let mut reopened = Storage::open(folder.path()).expect("opens");
    expect_that!(reopened.state(), eq(&stored));
    reopened.write(&[write_at(6)]).expect("writes");
    drop(reopened);
    let again = Storage::open(folder.path()).expect("opens");
    expect_that!(again.state().entries, len(eq(6)));
}

// A bit flips in the middle of the log. Truncating the log there would drop acknowledged entries,
// and the voter would vote without them.
#[googletest::test]
fn corrupted_middle_is_refused_with_advice() {
    let (folder, _) = folder_with(20);
    let path = segment_path(folder.path());
    let mut bytes = fs::read(&path).expect("reads");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, &bytes).expect("writes");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::Damaged { .. }));
    expect_that!(error.to_string(), contains_substring("docs/operators/repair.md"));
}

// The last acknowledged entry is corrupted. It looks like a torn write, but it was synced.
#[googletest::test]
fn corrupted_synced_end_is_refused() {
    let (folder, _) = folder_with(20);
    let path = segment_path(folder.path());
    let mut bytes = fs::read(&path).expect("reads");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("writes");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::Damaged { .. }));
}

// The log is deleted but not the rest of the folder. The voter must not start with an empty log
// under its old identity.
#[googletest::test]
fn missing_segment_is_refused() {
    let (folder, _) = folder_with(3);
    fs::remove_file(segment_path(folder.path())).expect("removes");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::Damaged { .. }));
}

// A snapshot is corrupted. The entries after it cannot be applied without its state.
#[googletest::test]
fn corrupted_snapshot_is_refused() {
    let (folder, _) = folder_with(50);
    let mut storage = Storage::open(folder.path()).expect("opens");
    storage.write(&[snapshot_at(40)]).expect("writes");
    drop(storage);
    let path = folder.path().join(format!("snapshot-{:016}", 2));
    let mut bytes = fs::read(&path).expect("reads");
    bytes[1_000] ^= 1;
    fs::write(&path, &bytes).expect("writes");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::Damaged { .. }));
}

// A crash happens before the temporary snapshot file is renamed. The old files remain valid.
#[googletest::test]
fn unfinished_snapshot_is_ignored() {
    let (folder, stored) = folder_with(5);
    fs::write(folder.path().join("snapshot-0000000000000002.tmp"), b"half").expect("writes");
    let reopened = Storage::open(folder.path()).expect("opens");
    expect_that!(reopened.state(), eq(&stored));
    expect_that!(count_files(folder.path(), ".tmp"), eq(0));
}

// The folder is restored from a backup. It may lack votes and acknowledgements made after the
// backup, so the voter would contradict them.
#[googletest::test]
fn restored_backup_is_refused() {
    let (folder, _) = folder_with(5);
    let restored = tempfile::tempdir().expect("a folder");
    for entry in fs::read_dir(folder.path()).expect("lists") {
        let entry = entry.expect("an entry");
        fs::copy(entry.path(), restored.path().join(entry.file_name())).expect("copies");
    }
    let error = Storage::open(restored.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::Copied { .. }));
}

// Each emptied folder gets a new storage id, so that the group doesn't take it for the old replica.
#[googletest::test]
fn emptied_folder_gets_new_storage_id() {
    let (first, _) = folder_with(1);
    let (second, _) = folder_with(1);
    let first = Storage::open(first.path()).expect("opens").storage_id();
    let second = Storage::open(second.path()).expect("opens").storage_id();
    expect_that!(first, not(eq(second)));
}

// A second process opens the same folder by mistake.
#[googletest::test]
fn second_process_is_refused() {
    let (folder, _) = folder_with(1);
    let _first = Storage::open(folder.path()).expect("opens");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::InUse { .. }));
}

/// A segment whose appends or syncs fail while `fails` is set.
struct FailingSegment {
    file: fs::File,
    fails: sync::Arc<atomic::AtomicBool>,
    at_sync: bool,
}

impl SegmentFile for FailingSegment {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !self.at_sync && self.fails.load(atomic::Ordering::SeqCst) {
            self.file.append(&bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.at_sync && self.fails.load(atomic::Ordering::SeqCst) {
            return Err(io::Error::other("the device reports a write error"));
        }
        self.file.sync()
    }
}

macro_rules! keeps_synced_state_after_failure {
    ($($case:ident: at_sync $at_sync:expr => $step:expr,)*) => {$(
        // The disk is full or reports an error once and then works again. A voter that continued
        // would acknowledge entries after one that never reached the disk; one that gave the folder
        // up would take the only copy of what it had acknowledged with it.
        #[googletest::test]
        fn $case() {
            let (folder, _) = folder_with(3);
            let fails = sync::Arc::new(atomic::AtomicBool::new(false));
            let switch = fails.clone();
            let open: storage::OpenSegment = Box::new(move |file| {
                Box::new(FailingSegment { file, fails: switch.clone(), at_sync: $at_sync })
            });
            let mut storage = Storage::open_with(folder.path(), open).expect("opens");
            storage.write(&[write_at(4)]).expect("writes");
            let acknowledged = storage.state().clone();
            let storage_id = storage.storage_id();
            fails.store(true, atomic::Ordering::SeqCst);
            let first = storage.write(&[write_at(5)]).expect_err("fails");
            expect_that!(first, pat!(StorageError::Io { step: eq(&$step), .. }));
            expect_that!(first.is_data_lost(), eq(false));
            fails.store(false, atomic::Ordering::SeqCst);
            let second = storage.write(&[write_at(5)]).expect_err("still refused");
            expect_that!(second, pat!(StorageError::Poisoned));
            drop(storage);
            let doubtful = segment_path(folder.path());
            let restarted = Storage::open(folder.path()).expect("opens");
            expect_that!(restarted.storage_id(), eq(storage_id));
            expect_that!(restarted.state().entries[..4], eq(&acknowledged.entries[..]));
            // Cached pages of the old file may never have reached the disk, so nothing of it counts.
            expect_that!(doubtful.exists(), eq(false));
            let written = restarted.state().clone();
            drop(restarted);
            let again = Storage::open(folder.path()).expect("opens");
            expect_that!(again.state(), eq(&written));
        }
    )*};
}

keeps_synced_state_after_failure! {
    disk_full: at_sync false => "append",
    failed_sync: at_sync true => "sync",
}

// A write fails, its record cannot be written either, and the process is killed. The frame that was
// appended but never synced must not count from the page cache.
#[googletest::test]
fn unsynced_frames_are_rewritten_without_a_record_of_the_failure() {
    let (folder, _) = folder_with(3);
    let mark = fs::read(folder.path().join("synced")).expect("reads");
    let mut storage = Storage::open(folder.path()).expect("opens");
    storage.write(&[write_at(4)]).expect("writes");
    let storage_id = storage.storage_id();
    drop(storage);
    fs::write(folder.path().join("synced"), mark).expect("writes");
    let unsynced = segment_path(folder.path());
    let restarted = Storage::open(folder.path()).expect("opens");
    expect_that!(restarted.storage_id(), eq(storage_id));
    expect_that!(restarted.state().entries, len(eq(4)));
    expect_that!(unsynced.exists(), eq(false));
}

// What is recorded as synced needs no second copy: a voter restarts often, on a small disk.
#[googletest::test]
fn synced_segment_is_not_rewritten() {
    let (folder, _) = folder_with(3);
    let synced = segment_path(folder.path());
    drop(Storage::open(folder.path()).expect("opens"));
    expect_that!(segment_path(folder.path()), eq(&synced));
}

// The disk is still full when the folder is opened again, at any file that has to be written.
// Nothing may be lost, and the folder opens as before once there is room.
#[googletest::test]
fn opening_on_a_full_disk_loses_nothing() {
    let (folder, stored) = folder_with(3);
    let storage_id = Storage::open(folder.path()).expect("opens").storage_id();
    fs::write(folder.path().join("failed"), b"").expect("writes");
    // A folder in the place of the file fails the write as a full disk does.
    for obstacle in ["segment-0000000000000002.tmp", "lock", "synced"] {
        let obstacle = folder.path().join(obstacle);
        let _ = fs::remove_file(&obstacle);
        fs::create_dir(&obstacle).expect("makes a folder");
        let error = Storage::open(folder.path()).err().expect("fails");
        expect_that!(error.is_data_lost(), eq(false), "{error}");
        fs::remove_dir(&obstacle).expect("removes");
    }
    let opened = Storage::open(folder.path()).expect("opens");
    expect_that!(opened.storage_id(), eq(storage_id));
    expect_that!(opened.state(), eq(&stored));
}

proptest::proptest! {
    // Power is lost at any byte of the last write, after any sequence of writes, truncations and
    // snapshots. Acknowledged writes are recovered, and an unacknowledged one wholly or not at all.
    #[test]
    fn truncation_at_any_byte_keeps_acknowledged_state(
        steps in property::prop::collection::vec(0_u8..10, 1..30),
        cut in 0.0..1.0_f64,
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut storage = Storage::open(folder.path()).expect("opens");
        let mut states = vec![(storage.state().clone(), storage.segment_bytes())];
        let mut next = 1;
        for step in steps {
            let snapshot_index =
                storage.state().snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
            let write = match step {
                0 if next - 1 > snapshot_index => snapshot_at(next - 1),
                1 if next > snapshot_index + 2 => {
                    next -= 1;
                    entry::Write { truncate_from: Some(next), ..write_at(next) }
                }
                _ => write_at(next),
            };
            next += write.entries.len() as u64;
            storage.write(std::slice::from_ref(&write)).expect("writes");
            states.push((storage.state().clone(), storage.segment_bytes()));
        }
        drop(storage);
        let (last, end) = states.pop().expect("states");
        let (before, start) = states.pop().expect("states");
        let same_segment = start < end && before.snapshot == last.snapshot;
        if same_segment {
            let length = start + ((end - start) as f64 * cut) as u64;
            let file = fs::OpenOptions::new().write(true).open(segment_path(folder.path()));
            file.expect("opens").set_len(length).expect("cuts");
            fs::remove_file(folder.path().join("synced")).expect("removes");
            let reopened = Storage::open(folder.path()).expect("opens");
            proptest::prop_assert_eq!(reopened.state(), &before);
        } else {
            let reopened = Storage::open(folder.path()).expect("opens");
            proptest::prop_assert_eq!(reopened.state(), &last);
        }
    }
}
