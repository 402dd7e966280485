//! The durable log of a voter: one data folder, written ahead of every acknowledgement.
//!
//! A folder holds an identity, at most one snapshot and one segment of checksummed frames. A write
//! is durable when [`Storage::write`] returns: the frame is synced, and so is the folder if a file
//! was created or renamed. `docs/operators/repair.md` says what to do about each error.

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
    /// A call to the file system failed, for example because the disk is full. What was synced
    /// before is kept; the folder can be opened again once the disk works.
    #[snafu(display("{step}: {}: {source}", path.display()))]
    Io {
        /// The step that failed.
        step: &'static str,
        /// The file or folder.
        path: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Synced data can no longer be read back.
    #[snafu(display(
        "{}: damaged at byte {offset_bytes}: {problem}. This voter must not vote with the \
         remaining data. Move the folder aside and start the voter with an empty one, so that it \
         joins the group as a new replica; see docs/operators/repair.md",
        path.display()
    ))]
    Damaged {
        /// The damaged file.
        path: path::PathBuf,
        /// Offset of the damage in the file.
        offset_bytes: u64,
        /// Description of the damage.
        problem: &'static str,
    },
    /// The folder was copied or restored from a backup.
    #[snafu(display(
        "{}: copied or restored from a backup, so it may lack later votes and acknowledgements. \
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
    /// An earlier write since the folder was opened failed, so further writes are refused.
    #[snafu(display("the data folder accepts no writes after a failed write; open it again"))]
    Poisoned,
}

impl StorageError {
    /// Whether something that was synced is lost, so that the voter must not go on under this
    /// folder's identifier. A disk that only refuses writes loses nothing.
    pub fn is_data_lost(&self) -> bool {
        match self {
            Self::Damaged { .. } | Self::Copied { .. } => true,
            Self::Io { .. } | Self::InUse { .. } | Self::Poisoned => false,
        }
    }
}

/// Removes all files of a folder, so that the next opening creates a new replica in it.
///
/// The identity is removed first: a crash in between leaves a log without an identity, which is
/// refused as damaged and can be reset again.
pub fn reset(folder: &path::Path) -> Result<(), StorageError> {
    files::remove_all(folder, identity::FILE_NAME)
}

/// Payload of a frame in a segment.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
enum Record {
    /// First frame of a segment: all state that is not in the snapshot file.
    Checkpoint {
        snapshot: Option<SnapshotFile>,
        hard_state: entry::HardState,
        entries: Vec<entry::Entry>,
    },
    /// Writes that were synced together. They share one frame, so a crash tears at most the last
    /// frame, and a bad frame before it is known to be damage.
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
    segment_number: u64,
    segment: Box<dyn SegmentFile>,
    segment_bytes: u64,
    mark_file: fs::File,
    poisoned: bool,
    _lock: fs::File,
}

/// Wraps the file that frames are appended to; tests inject failures with it.
pub type OpenSegment = Box<dyn Fn(fs::File) -> Box<dyn SegmentFile> + Send>;

impl Storage {
    /// Opens a folder, or creates it, and recovers the synced state.
    pub fn open(folder: &path::Path) -> Result<Self, StorageError> {
        Self::open_with(folder, Box::new(|file| Box::new(file)))
    }

    /// Opens a folder on a file system that assigns new inode numbers when a process or an instance
    /// restarts. Only the group can then detect a folder that was copied or rolled back: the leader
    /// knows what this storage id acknowledged, and stops a voter that lacks any of it.
    pub fn open_without_inode_check(folder: &path::Path) -> Result<Self, StorageError> {
        let open_segment: OpenSegment = Box::new(|file| Box::new(file));
        Self::open_checked(folder, open_segment, identity::CopyCheck::Group)
    }

    /// Opens a folder and wraps its segment files with `open_segment`.
    pub fn open_with(folder: &path::Path, open_segment: OpenSegment) -> Result<Self, StorageError> {
        Self::open_checked(folder, open_segment, identity::CopyCheck::Inode)
    }

    fn open_checked(
        folder: &path::Path,
        open_segment: OpenSegment,
        copy_check: identity::CopyCheck,
    ) -> Result<Self, StorageError> {
        files::create_folder(folder)?;
        let lock = files::lock(folder)?;
        let write_failed = files::has_failed_write(folder)?;
        let storage_id = identity::open(folder, copy_check)?;
        files::remove_temporary(folder)?;
        let recovered = match files::newest_number(folder, files::SEGMENT_PREFIX)? {
            Some(number) => Recovered::read(folder, number)?,
            None => Recovered::create(folder)?,
        };
        let segment = files::open_append(&files::numbered_path(
            folder,
            files::SEGMENT_PREFIX,
            recovered.segment_number,
        ))?;
        let mut storage = Self {
            folder: folder.to_owned(),
            storage_id,
            segment: open_segment(segment),
            open_segment,
            state: recovered.state,
            snapshot: recovered.snapshot,
            segment_number: recovered.segment_number,
            segment_bytes: recovered.segment_bytes,
            mark_file: files::open_mark(folder)?,
            poisoned: false,
            _lock: lock,
        };
        if write_failed || recovered.sync_unknown {
            storage.rewrite()?;
        } else {
            storage.write_mark()?;
        }
        Ok(storage)
    }

    /// Writes the recovered state to a new segment and syncs it before anything counts on it.
    ///
    /// Bytes of which no sync is recorded may be in the page cache only: after a failed sync the
    /// kernel may report success for a later one without writing them.
    fn rewrite(&mut self) -> Result<(), StorageError> {
        self.checkpoint()?;
        let (segment, entries) = (self.segment_number, self.state.entries.len());
        log::warn!("storage: state rewritten, segment={segment}, entries={entries}");
        files::clear_failed_write(&self.folder)
    }

    /// Identifier of this folder; a folder that was emptied gets a new one.
    pub fn storage_id(&self) -> entry::StorageId {
        self.storage_id
    }

    /// State that the folder holds, including all writes so far.
    pub fn state(&self) -> &entry::PersistentState {
        &self.state
    }

    /// Length of the segment in bytes, which decides when a snapshot is due.
    pub fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// Appends writes in order and returns once all are synced.
    ///
    /// After an error all further writes are refused until the folder is opened again: the kernel
    /// may drop dirty pages whose write failed and then report success for a later sync.
    pub fn write(&mut self, writes: &[entry::Write]) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        let result = self.append_all(writes);
        if result.is_err() {
            self.poisoned = true;
            files::record_failed_write(&self.folder);
        }
        result
    }

    fn append_all(&mut self, writes: &[entry::Write]) -> Result<(), StorageError> {
        for write in writes {
            self.state.apply(write);
        }
        if writes.iter().any(|write| write.snapshot.is_some()) {
            return self.checkpoint();
        }
        let bytes = frame::encode(&Record::Batch(writes.to_vec()));
        let path = files::numbered_path(&self.folder, files::SEGMENT_PREFIX, self.segment_number);
        self.segment.append(&bytes).context(IoSnafu { step: "append", path: &path })?;
        self.segment.sync().context(IoSnafu { step: "sync", path: &path })?;
        self.segment_bytes += bytes.len() as u64;
        self.write_mark()
    }

    /// Starts a new segment. The old files are removed last, so that they are still intact after a
    /// crash in between.
    fn checkpoint(&mut self) -> Result<(), StorageError> {
        let number = self.segment_number + 1;
        self.snapshot = self.write_snapshot(number)?;
        let record = Record::Checkpoint {
            snapshot: self.snapshot,
            hard_state: self.state.hard_state.clone(),
            entries: self.state.entries.clone(),
        };
        let bytes = frame::encode(&record);
        let path = files::numbered_path(&self.folder, files::SEGMENT_PREFIX, number);
        files::write_atomically(&self.folder, &path, &bytes)?;
        self.segment = (self.open_segment)(files::open_append(&path)?);
        self.segment_bytes = bytes.len() as u64;
        self.segment_number = number;
        self.write_mark()?;
        let snapshot_number = self.snapshot.map_or(0, |file| file.number);
        files::remove_older(&self.folder, files::SEGMENT_PREFIX, number)?;
        files::remove_older(&self.folder, files::SNAPSHOT_PREFIX, snapshot_number)
    }

    fn write_snapshot(&self, number: u64) -> Result<Option<SnapshotFile>, StorageError> {
        let Some(snapshot) = &self.state.snapshot else {
            return Ok(None);
        };
        let position = snapshot.position;
        if self.snapshot.is_some_and(|file| file.position == position) {
            return Ok(self.snapshot);
        }
        let path = files::numbered_path(&self.folder, files::SNAPSHOT_PREFIX, number);
        files::write_atomically(&self.folder, &path, &frame::encode(snapshot))?;
        Ok(Some(SnapshotFile { number, position }))
    }

    fn write_mark(&self) -> Result<(), StorageError> {
        let path = files::mark_path(&self.folder);
        let mark =
            files::SyncMark { segment: self.segment_number, length_bytes: self.segment_bytes };
        mark.write(&self.mark_file).context(IoSnafu { step: "mark", path })
    }
}

/// State recovered from a folder.
struct Recovered {
    segment_number: u64,
    state: entry::PersistentState,
    snapshot: Option<SnapshotFile>,
    segment_bytes: u64,
    /// Whether the files hold more than what is recorded as synced.
    sync_unknown: bool,
}

impl Recovered {
    fn create(folder: &path::Path) -> Result<Self, StorageError> {
        check_mark(folder, 0, 0)?;
        let state = entry::PersistentState::default();
        let record = Record::Checkpoint {
            snapshot: None,
            hard_state: state.hard_state.clone(),
            entries: Vec::new(),
        };
        let bytes = frame::encode(&record);
        let path = files::numbered_path(folder, files::SEGMENT_PREFIX, 1);
        files::write_atomically(folder, &path, &bytes)?;
        let segment_bytes = bytes.len() as u64;
        Ok(Self { segment_number: 1, state, snapshot: None, segment_bytes, sync_unknown: false })
    }

    fn read(folder: &path::Path, number: u64) -> Result<Self, StorageError> {
        let path = files::numbered_path(folder, files::SEGMENT_PREFIX, number);
        let bytes = fs::read(&path).context(IoSnafu { step: "read", path: &path })?;
        let damaged = |offset: usize, problem| {
            let (path, offset_bytes) = (path.clone(), offset as u64);
            DamagedSnafu { path, offset_bytes, problem }.build()
        };
        let scan = frame::scan(&bytes);
        if let Some(offset) = scan.damaged_at {
            return Err(damaged(offset, "a synced frame fails its checksum"));
        }
        let mark = check_mark(folder, number, scan.valid_bytes as u64)?;
        let mut recovered = None;
        for payload in &scan.payloads {
            let offset = payload.offset;
            let record = frame::decode(payload.bytes);
            let record = record.ok_or_else(|| damaged(offset, "a frame cannot be decoded"))?;
            recovered = Some(Self::replay(folder, number, recovered, record)?);
        }
        let mut recovered: Self =
            recovered.ok_or_else(|| damaged(0, "the segment has no checkpoint"))?;
        recovered.segment_bytes = scan.valid_bytes as u64;
        let synced = files::SyncMark { segment: number, length_bytes: bytes.len() as u64 };
        recovered.sync_unknown = mark != Some(synced);
        Ok(recovered)
    }

    fn replay(
        folder: &path::Path,
        number: u64,
        previous: Option<Self>,
        record: Record,
    ) -> Result<Self, StorageError> {
        match (previous, record) {
            (None, Record::Checkpoint { snapshot, hard_state, entries }) => {
                let loaded = snapshot.map(|file| read_snapshot(folder, file)).transpose()?;
                let state = entry::PersistentState { hard_state, snapshot: loaded, entries };
                let (segment_bytes, sync_unknown) = (0, true);
                Ok(Self { segment_number: number, state, snapshot, segment_bytes, sync_unknown })
            }
            (Some(mut recovered), Record::Batch(writes)) => {
                writes.iter().for_each(|write| recovered.state.apply(write));
                Ok(recovered)
            }
            (_, _) => {
                let path = files::numbered_path(folder, files::SEGMENT_PREFIX, number);
                let problem = "frames are out of order";
                DamagedSnafu { path, offset_bytes: 0_u64, problem }.fail()
            }
        }
    }
}

fn read_snapshot(folder: &path::Path, file: SnapshotFile) -> Result<entry::Snapshot, StorageError> {
    let path = files::numbered_path(folder, files::SNAPSHOT_PREFIX, file.number);
    let bytes = fs::read(&path).context(IoSnafu { step: "read", path: &path })?;
    let scan = frame::scan(&bytes);
    let snapshot: Option<entry::Snapshot> =
        scan.payloads.first().and_then(|payload| frame::decode(payload.bytes));
    let problem = "the snapshot fails its checksum";
    snapshot
        .filter(|snapshot| snapshot.position == file.position)
        .ok_or_else(|| DamagedSnafu { path, offset_bytes: 0_u64, problem }.build())
}

/// Distinguishes a torn last frame from a corrupted one: the mark is written after each sync, so
/// everything that it covers was synced and must be readable. Returns the mark, if there is one.
fn check_mark(
    folder: &path::Path,
    number: u64,
    valid_bytes: u64,
) -> Result<Option<files::SyncMark>, StorageError> {
    let Some(mark) = files::SyncMark::read(folder) else {
        return Ok(None);
    };
    let missing =
        mark.segment > number || (mark.segment == number && mark.length_bytes > valid_bytes);
    if missing {
        let path = files::numbered_path(folder, files::SEGMENT_PREFIX, mark.segment);
        let problem = "synced frames are missing";
        return DamagedSnafu { path, offset_bytes: valid_bytes, problem }.fail();
    }
    Ok(Some(mark))
}
