//! The durable log of a voter: one data folder, written ahead of every acknowledgement.
//!
//! A folder holds an identity, at most one snapshot and one segment of checksummed frames. A write
//! is durable when [`Storage::write`] returns: the frame is synced, and so is the folder wherever a
//! file was made or renamed. `docs/operators/repair.md` says what to do about each error.

mod files;
mod frame;
mod identity;

use std::{fs, io, path};

use ragwortdeal_core::replication::entry;
use snafu::{ResultExt as _, Snafu};

pub use files::SegmentFile;

/// Why a data folder cannot be used.
#[derive(Debug, Snafu)]
pub enum StorageError {
    /// A call to the file system failed. After a failed write or sync nobody knows what the disk
    /// holds, so the voter is lost and has to be replaced.
    #[snafu(display("{step}: {}: {source}", path.display()))]
    Io {
        /// What was being done.
        step: &'static str,
        /// The file or folder.
        path: path::PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// Something that was synced can no longer be read back.
    #[snafu(display(
        "{}: damaged at byte {offset_bytes}: {what}. This voter must not vote again with what is \
         left. Move the folder aside, start the voter with an empty one, and it is taken in again \
         as a new replica; see docs/operators/repair.md",
        path.display()
    ))]
    Damaged {
        /// The damaged file.
        path: path::PathBuf,
        /// Where.
        offset_bytes: u64,
        /// What is wrong there.
        what: &'static str,
    },
    /// The folder was copied or restored from a backup.
    #[snafu(display(
        "{}: copied or restored from elsewhere, so it may lack what this voter promised since. \
         Move the folder aside and start the voter with an empty one; see docs/operators/repair.md",
        path.display()
    ))]
    Copied {
        /// The folder's identity file.
        path: path::PathBuf,
    },
    /// Another process has the folder open.
    #[snafu(display("{}: in use by another process", path.display()))]
    InUse {
        /// The lock file.
        path: path::PathBuf,
    },
    /// A write to this folder failed in an earlier start of the voter.
    #[snafu(display(
        "{}: a write to this folder failed before, so what can be read now may not be on the disk. \
         Move the folder aside and start the voter with an empty one; see docs/operators/repair.md",
        path.display()
    ))]
    Failed {
        /// The file that says so.
        path: path::PathBuf,
    },
    /// An earlier write failed; nothing more is written.
    #[snafu(display("the data folder was given up after a failed write"))]
    GivenUp,
}

/// Gives up all that a folder holds, so that the next opening makes a new replica of it.
///
/// The old identity goes first: a crash in the middle leaves a log without an identity, which is
/// refused as damaged and given up again.
pub fn start_over(folder: &path::Path) -> Result<(), StorageError> {
    files::remove_all(folder, identity::NAME)
}

/// What follows a checkpoint in a segment, and the checkpoint itself.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
enum Record {
    /// First frame of a segment: everything that is not in the snapshot file.
    Checkpoint {
        snapshot: Option<SnapshotFile>,
        hard_state: entry::HardState,
        entries: Vec<entry::Entry>,
    },
    /// Writes that were synced together. One frame, so that a crash tears at most the last one and
    /// any damage before it is known to be damage.
    Batch(Vec<entry::Write>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct SnapshotFile {
    number: u64,
    position: entry::Position,
}

/// An open data folder.
pub struct Storage {
    folder: path::PathBuf,
    storage_id: entry::StorageId,
    open_segment: OpenSegment,
    state: entry::PersistentState,
    snapshot: Option<SnapshotFile>,
    number: u64,
    segment: Box<dyn SegmentFile>,
    segment_bytes: u64,
    synced_mark: fs::File,
    given_up: bool,
    _lock: fs::File,
}

/// Makes the file that frames are appended to; tests put a failing one in its place.
pub type OpenSegment = Box<dyn Fn(fs::File) -> Box<dyn SegmentFile> + Send>;

impl Storage {
    /// Opens a folder, or makes it, and recovers what was synced.
    pub fn open(folder: &path::Path) -> Result<Self, StorageError> {
        Self::open_with(folder, Box::new(|file| Box::new(file)))
    }

    /// Opens a folder on a file system that gives files new numbers when a process or an instance
    /// starts again. A folder that was copied or set back is then told by the group alone: the
    /// leader holds the acknowledgements of its storage id, and stops a voter that lacks one.
    pub fn open_renumbered(folder: &path::Path) -> Result<Self, StorageError> {
        let open_segment: OpenSegment = Box::new(|file| Box::new(file));
        Self::open_guarded(folder, open_segment, identity::Guard::Group)
    }

    /// Opens a folder with the given kind of segment file.
    pub fn open_with(folder: &path::Path, open_segment: OpenSegment) -> Result<Self, StorageError> {
        Self::open_guarded(folder, open_segment, identity::Guard::FileNumber)
    }

    fn open_guarded(
        folder: &path::Path,
        open_segment: OpenSegment,
        guard: identity::Guard,
    ) -> Result<Self, StorageError> {
        files::make_folder(folder)?;
        let lock = files::lock(folder)?;
        files::check_not_failed(folder)?;
        let storage_id = identity::open(folder, guard)?;
        files::remove_unfinished(folder)?;
        let recovered = match files::newest_number(folder, files::SEGMENT)? {
            Some(number) => Recovered::read(folder, number)?,
            None => Recovered::fresh(folder)?,
        };
        let segment =
            files::open_append(&files::numbered(folder, files::SEGMENT, recovered.number))?;
        let storage = Self {
            folder: folder.to_owned(),
            storage_id,
            segment: open_segment(segment),
            open_segment,
            state: recovered.state,
            snapshot: recovered.snapshot,
            number: recovered.number,
            segment_bytes: recovered.segment_bytes,
            synced_mark: files::open_mark(folder)?,
            given_up: false,
            _lock: lock,
        };
        storage.mark_synced()?;
        Ok(storage)
    }

    /// Identifier of this folder, new for each emptied one.
    pub fn storage_id(&self) -> entry::StorageId {
        self.storage_id
    }

    /// What the folder holds.
    pub fn stored(&self) -> &entry::PersistentState {
        &self.state
    }

    /// Length of the segment in bytes, for the decision when to take a snapshot.
    pub fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// Carries out writes in order and returns once all are synced.
    ///
    /// After an error nothing is written any more: the kernel may drop pages whose write failed
    /// and then report a later sync as good.
    pub fn write(&mut self, writes: &[entry::Write]) -> Result<(), StorageError> {
        if self.given_up {
            return Err(StorageError::GivenUp);
        }
        let written = self.write_all(writes);
        if written.is_err() {
            self.given_up = true;
            files::mark_failed(&self.folder);
        }
        written
    }

    fn write_all(&mut self, writes: &[entry::Write]) -> Result<(), StorageError> {
        for write in writes {
            self.state.apply(write);
        }
        if writes.iter().any(|write| write.snapshot.is_some()) {
            return self.checkpoint();
        }
        let bytes = frame::encode(&Record::Batch(writes.to_vec()));
        let path = files::numbered(&self.folder, files::SEGMENT, self.number);
        self.segment.append(&bytes).context(IoSnafu { step: "append", path: &path })?;
        self.segment.sync().context(IoSnafu { step: "sync", path: &path })?;
        self.segment_bytes += bytes.len() as u64;
        self.mark_synced()
    }

    /// Starts a new segment. The old files go last: until then a crash finds them whole.
    fn checkpoint(&mut self) -> Result<(), StorageError> {
        let number = self.number + 1;
        self.snapshot = self.write_snapshot(number)?;
        let record = Record::Checkpoint {
            snapshot: self.snapshot,
            hard_state: self.state.hard_state.clone(),
            entries: self.state.entries.clone(),
        };
        let bytes = frame::encode(&record);
        let path = files::numbered(&self.folder, files::SEGMENT, number);
        files::write_whole(&self.folder, &path, &bytes)?;
        self.segment = (self.open_segment)(files::open_append(&path)?);
        self.segment_bytes = bytes.len() as u64;
        self.number = number;
        self.mark_synced()?;
        let snapshot_number = self.snapshot.map_or(0, |file| file.number);
        files::remove_older(&self.folder, files::SEGMENT, number)?;
        files::remove_older(&self.folder, files::SNAPSHOT, snapshot_number)
    }

    fn write_snapshot(&self, number: u64) -> Result<Option<SnapshotFile>, StorageError> {
        let Some(snapshot) = &self.state.snapshot else {
            return Ok(None);
        };
        let position = snapshot.position;
        if self.snapshot.is_some_and(|file| file.position == position) {
            return Ok(self.snapshot);
        }
        let path = files::numbered(&self.folder, files::SNAPSHOT, number);
        files::write_whole(&self.folder, &path, &frame::encode(snapshot))?;
        Ok(Some(SnapshotFile { number, position }))
    }

    fn mark_synced(&self) -> Result<(), StorageError> {
        let path = files::mark_path(&self.folder);
        let mark = files::Mark { segment: self.number, length_bytes: self.segment_bytes };
        mark.write(&self.synced_mark).context(IoSnafu { step: "mark", path })
    }
}

/// What was found in a folder.
struct Recovered {
    number: u64,
    state: entry::PersistentState,
    snapshot: Option<SnapshotFile>,
    segment_bytes: u64,
}

impl Recovered {
    fn fresh(folder: &path::Path) -> Result<Self, StorageError> {
        check_mark(folder, 0, 0)?;
        let state = entry::PersistentState::default();
        let record = Record::Checkpoint {
            snapshot: None,
            hard_state: state.hard_state.clone(),
            entries: Vec::new(),
        };
        let bytes = frame::encode(&record);
        let path = files::numbered(folder, files::SEGMENT, 1);
        files::write_whole(folder, &path, &bytes)?;
        Ok(Self { number: 1, state, snapshot: None, segment_bytes: bytes.len() as u64 })
    }

    fn read(folder: &path::Path, number: u64) -> Result<Self, StorageError> {
        let path = files::numbered(folder, files::SEGMENT, number);
        let bytes = fs::read(&path).context(IoSnafu { step: "read", path: &path })?;
        let damaged = |offset: usize, what| {
            let (path, offset_bytes) = (path.clone(), offset as u64);
            DamagedSnafu { path, offset_bytes, what }.build()
        };
        let scan = frame::scan(&bytes);
        if let Some(offset) = scan.damaged_at {
            return Err(damaged(offset, "a frame that was synced fails its checksum"));
        }
        check_mark(folder, number, scan.valid_bytes as u64)?;
        let mut recovered = None;
        for payload in &scan.payloads {
            let offset = payload.offset;
            let record = frame::decode(payload.bytes);
            let record = record.ok_or_else(|| damaged(offset, "a frame cannot be decoded"))?;
            recovered = Some(Self::replay(folder, number, recovered, record)?);
        }
        let mut recovered: Self =
            recovered.ok_or_else(|| damaged(0, "the segment has no checkpoint"))?;
        if scan.valid_bytes < bytes.len() {
            let torn_bytes = bytes.len() - scan.valid_bytes;
            log::warn!("storage: cut off a torn frame that was never synced, {torn_bytes} bytes");
            files::cut(&path, scan.valid_bytes as u64)?;
        }
        recovered.segment_bytes = scan.valid_bytes as u64;
        Ok(recovered)
    }

    fn replay(
        folder: &path::Path,
        number: u64,
        before: Option<Self>,
        record: Record,
    ) -> Result<Self, StorageError> {
        match (before, record) {
            (None, Record::Checkpoint { snapshot, hard_state, entries }) => {
                let whole = snapshot.map(|file| read_snapshot(folder, file)).transpose()?;
                let state = entry::PersistentState { hard_state, snapshot: whole, entries };
                Ok(Self { number, state, snapshot, segment_bytes: 0 })
            }
            (Some(mut recovered), Record::Batch(writes)) => {
                writes.iter().for_each(|write| recovered.state.apply(write));
                Ok(recovered)
            }
            (_, _) => {
                let path = files::numbered(folder, files::SEGMENT, number);
                let what = "frames are out of order";
                DamagedSnafu { path, offset_bytes: 0_u64, what }.fail()
            }
        }
    }
}

fn read_snapshot(folder: &path::Path, file: SnapshotFile) -> Result<entry::Snapshot, StorageError> {
    let path = files::numbered(folder, files::SNAPSHOT, file.number);
    let bytes = fs::read(&path).context(IoSnafu { step: "read", path: &path })?;
    let scan = frame::scan(&bytes);
    let snapshot: Option<entry::Snapshot> =
        scan.payloads.first().and_then(|payload| frame::decode(payload.bytes));
    let what = "the snapshot fails its checksum";
    snapshot
        .filter(|snapshot| snapshot.position == file.position)
        .ok_or_else(|| DamagedSnafu { path, offset_bytes: 0_u64, what }.build())
}

/// A torn last frame and a rotten one look alike. The mark, written after each sync, tells them
/// apart: what it covers was synced and must be readable.
fn check_mark(folder: &path::Path, number: u64, valid_bytes: u64) -> Result<(), StorageError> {
    let Some(mark) = files::Mark::read(folder) else {
        return Ok(());
    };
    let missing =
        mark.segment > number || (mark.segment == number && mark.length_bytes > valid_bytes);
    if missing {
        let path = files::numbered(folder, files::SEGMENT, mark.segment);
        let what = "frames that were synced are gone";
        return DamagedSnafu { path, offset_bytes: valid_bytes, what }.fail();
    }
    Ok(())
}
