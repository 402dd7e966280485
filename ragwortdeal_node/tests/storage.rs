//! Failures of a voter's data folder.

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

fn write_of(index: u64) -> entry::Write {
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
        storage.write(&[write_of(index)]).expect("writes");
    }
    let stored = storage.stored().clone();
    (folder, stored)
}

fn segment(folder: &path::Path) -> path::PathBuf {
    let mut found: Vec<_> = fs::read_dir(folder)
        .expect("lists")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.to_string_lossy().contains("segment-"))
        .collect();
    found.sort();
    found.pop().expect("a segment")
}

// A process is killed after hundreds of changes and started again. Whatever it acknowledged must
// be there.
#[googletest::test]
fn all_that_was_written_is_read_back() {
    let (folder, stored) = folder_with(300);
    let reopened = Storage::open(folder.path()).expect("opens");
    expect_that!(reopened.stored(), eq(&stored));
}

// The same after a snapshot: the state and the entries behind it, and nothing that it covers.
#[googletest::test]
fn snapshot_replaces_what_it_covers() {
    let (folder, _) = folder_with(50);
    let mut storage = Storage::open(folder.path()).expect("opens");
    storage.write(&[snapshot_at(40), write_of(51)]).expect("writes");
    storage.write(&[write_of(52)]).expect("writes");
    let stored = storage.stored().clone();
    drop(storage);
    let reopened = Storage::open(folder.path()).expect("opens");
    expect_that!(reopened.stored(), eq(&stored));
    expect_that!(reopened.stored().entries, len(eq(12)));
    expect_that!(files_named(folder.path(), "segment-"), eq(1));
    expect_that!(files_named(folder.path(), "snapshot-"), eq(1));
}

fn files_named(folder: &path::Path, part: &str) -> usize {
    let entries = fs::read_dir(folder).expect("lists");
    let names = entries.map(|entry| entry.expect("an entry").file_name());
    names.filter(|name| name.to_string_lossy().contains(part)).count()
}

// The machine loses power in the middle of a write. What was not yet acknowledged may go; the
// voter has to start by itself.
#[googletest::test]
fn torn_last_frame_is_cut_off() {
    let (folder, stored) = folder_with(5);
    let path = segment(folder.path());
    let mut bytes = fs::read(&path).expect("reads");
    let torn = bytes[bytes.len() - 40..].to_vec();
    bytes.extend(&torn[..25]);
    fs::write(&path, &bytes).expect("writes");
    let mut reopened = Storage::open(folder.path()).expect("opens");
    expect_that!(reopened.stored(), eq(&stored));
    reopened.write(&[write_of(6)]).expect("writes");
    drop(reopened);
    let again = Storage::open(folder.path()).expect("opens");
    expect_that!(again.stored().entries, len(eq(6)));
}

// A bit rots in the middle of the log. To cut the log off there would drop changes that were
// acknowledged, and the voter would vote as if they had never been.
#[googletest::test]
fn rotten_middle_is_refused_with_advice() {
    let (folder, _) = folder_with(20);
    let path = segment(folder.path());
    let mut bytes = fs::read(&path).expect("reads");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, &bytes).expect("writes");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::Damaged { .. }));
    expect_that!(error.to_string(), contains_substring("docs/operators/repair.md"));
}

// The last acknowledged change rots. It looks like a torn write, but it was promised.
#[googletest::test]
fn rotten_end_that_was_synced_is_refused() {
    let (folder, _) = folder_with(20);
    let path = segment(folder.path());
    let mut bytes = fs::read(&path).expect("reads");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("writes");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::Damaged { .. }));
}

// Somebody deletes the log but not the rest of the folder. An empty log must not pass for a new
// voter under the old identity.
#[googletest::test]
fn missing_segment_is_refused() {
    let (folder, _) = folder_with(3);
    fs::remove_file(segment(folder.path())).expect("removes");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::Damaged { .. }));
}

// A snapshot rots. Without its state the entries behind it mean nothing.
#[googletest::test]
fn rotten_snapshot_is_refused() {
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

// A crash falls between the snapshot written aside and its name. The old files still hold.
#[googletest::test]
fn unfinished_snapshot_is_ignored() {
    let (folder, stored) = folder_with(5);
    fs::write(folder.path().join("snapshot-0000000000000002.tmp"), b"half").expect("writes");
    let reopened = Storage::open(folder.path()).expect("opens");
    expect_that!(reopened.stored(), eq(&stored));
    expect_that!(files_named(folder.path(), ".tmp"), eq(0));
}

// The folder is put back from a backup. It may lack what the voter promised after the backup was
// made, and would vote with a memory it no longer has.
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

// Emptied disks get another identity each, so that nobody takes them for what they were.
#[googletest::test]
fn emptied_folder_is_another_replica() {
    let (first, _) = folder_with(1);
    let (second, _) = folder_with(1);
    let first = Storage::open(first.path()).expect("opens").storage_id();
    let second = Storage::open(second.path()).expect("opens").storage_id();
    expect_that!(first, not(eq(second)));
}

// A second process is started on the same folder by mistake.
#[googletest::test]
fn second_process_is_refused() {
    let (folder, _) = folder_with(1);
    let _first = Storage::open(folder.path()).expect("opens");
    let error = Storage::open(folder.path()).err().expect("refused");
    expect_that!(error, pat!(StorageError::InUse { .. }));
}

/// A segment whose writes or syncs fail from a moment on.
struct Failing {
    file: fs::File,
    fails: sync::Arc<atomic::AtomicBool>,
    at_sync: bool,
}

impl SegmentFile for Failing {
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

macro_rules! given_up_for_good {
    ($($case:ident: at_sync $at_sync:expr => $step:expr,)*) => {$(
        // The disk is full or reports an error once and then works again. A voter that went on
        // would acknowledge changes behind one that never reached the disk.
        #[googletest::test]
        fn $case() {
            let (folder, _) = folder_with(3);
            let fails = sync::Arc::new(atomic::AtomicBool::new(false));
            let switch = fails.clone();
            let open: storage::OpenSegment = Box::new(move |file| {
                Box::new(Failing { file, fails: switch.clone(), at_sync: $at_sync })
            });
            let mut storage = Storage::open_with(folder.path(), open).expect("opens");
            storage.write(&[write_of(4)]).expect("writes");
            fails.store(true, atomic::Ordering::SeqCst);
            let first = storage.write(&[write_of(5)]).expect_err("fails");
            expect_that!(first, pat!(StorageError::Io { step: eq(&$step), .. }));
            fails.store(false, atomic::Ordering::SeqCst);
            let second = storage.write(&[write_of(5)]).expect_err("still refused");
            expect_that!(second, pat!(StorageError::GivenUp));
            drop(storage);
            // A restart would read back pages that may never have reached the disk.
            let restarted = Storage::open(folder.path()).err().expect("refused");
            expect_that!(restarted, pat!(StorageError::Failed { .. }));
        }
    )*};
}

given_up_for_good! {
    disk_full: at_sync false => "append",
    failed_sync: at_sync true => "sync",
}

proptest::proptest! {
    // Power is lost at any byte of the last write, after any sequence of writes, truncations and
    // snapshots. What was acknowledged is there, and what was not is there whole or not at all.
    #[test]
    fn any_cut_leaves_the_acknowledged_state(
        steps in property::prop::collection::vec(0_u8..10, 1..30),
        cut in 0.0..1.0_f64,
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut storage = Storage::open(folder.path()).expect("opens");
        let mut states = vec![(storage.stored().clone(), storage.segment_bytes())];
        let mut next = 1;
        for step in steps {
            let snapshot_index =
                storage.stored().snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
            let write = match step {
                0 if next - 1 > snapshot_index => snapshot_at(next - 1),
                1 if next > snapshot_index + 2 => {
                    next -= 1;
                    entry::Write { truncate_from: Some(next), ..write_of(next) }
                }
                _ => write_of(next),
            };
            next += write.entries.len() as u64;
            storage.write(std::slice::from_ref(&write)).expect("writes");
            states.push((storage.stored().clone(), storage.segment_bytes()));
        }
        drop(storage);
        let (last, end) = states.pop().expect("states");
        let (before, start) = states.pop().expect("states");
        let same_segment = start < end && before.snapshot == last.snapshot;
        if same_segment {
            let length = start + ((end - start) as f64 * cut) as u64;
            let file = fs::OpenOptions::new().write(true).open(segment(folder.path()));
            file.expect("opens").set_len(length).expect("cuts");
            fs::remove_file(folder.path().join("synced")).expect("removes");
            let reopened = Storage::open(folder.path()).expect("opens");
            proptest::prop_assert_eq!(reopened.stored(), &before);
        } else {
            let reopened = Storage::open(folder.path()).expect("opens");
            proptest::prop_assert_eq!(reopened.stored(), &last);
        }
    }
}
