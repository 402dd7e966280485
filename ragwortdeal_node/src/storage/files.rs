//! Files of a data folder, and the order of syncs that makes them durable.

use std::{
    fs,
    io::{self, Write as _},
    os::unix::fs::FileExt as _,
    path,
};

use snafu::ResultExt as _;

use super::{InUseSnafu, IoSnafu, StorageError};

/// Prefix of segment files.
pub(super) const SEGMENT_PREFIX: &str = "segment-";
/// Prefix of snapshot files.
pub(super) const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";
const MARK_BYTES: usize = 20;

/// The file that frames are appended to.
pub trait SegmentFile: Send {
    /// Appends all bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all appended bytes are on the disk.
    fn sync(&mut self) -> io::Result<()>;
}

impl SegmentFile for fs::File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Creates the folder and syncs its parent, so that the folder survives a crash.
pub(super) fn create_folder(folder: &path::Path) -> Result<(), StorageError> {
    fs::create_dir_all(folder).context(IoSnafu { step: "make folder", path: folder })?;
    match folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        Some(parent) => sync_folder(parent),
        None => Ok(()),
    }
}

/// Locks the folder: two processes would overwrite each other's votes and entries.
pub(super) fn lock(folder: &path::Path) -> Result<fs::File, StorageError> {
    let path = folder.join("lock");
    let file = fs::File::create(&path).context(IoSnafu { step: "make", path: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => InUseSnafu { path }.fail(),
        Err(fs::TryLockError::Error(source)) => {
            Err(StorageError::Io { step: "lock", path, source })
        }
    }
}

/// Syncs a folder: a crash loses a created or renamed file until its directory entry is synced.
pub(super) fn sync_folder(folder: &path::Path) -> Result<(), StorageError> {
    let opened = fs::File::open(folder);
    let synced = opened.and_then(|handle| handle.sync_all());
    synced.context(IoSnafu { step: "sync folder", path: folder })
}

/// Writes a temporary file, syncs it and renames it, so that `path` never holds a partial file.
pub(super) fn write_atomically(
    folder: &path::Path,
    path: &path::Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = path.with_extension(&TEMPORARY_SUFFIX[1..]);
    let mut file =
        fs::File::create(&temporary).context(IoSnafu { step: "make", path: &temporary })?;
    file.write_all(bytes).context(IoSnafu { step: "write", path: &temporary })?;
    file.sync_all().context(IoSnafu { step: "sync", path: &temporary })?;
    fs::rename(&temporary, path).context(IoSnafu { step: "rename", path })?;
    sync_folder(folder)
}

/// Removes temporary files left by a crash.
pub(super) fn remove_temporary(folder: &path::Path) -> Result<(), StorageError> {
    for name in file_names(folder)? {
        if name.ends_with(TEMPORARY_SUFFIX) {
            let path = folder.join(name);
            fs::remove_file(&path).context(IoSnafu { step: "remove", path })?;
        }
    }
    Ok(())
}

pub(super) fn numbered_path(folder: &path::Path, prefix: &str, number: u64) -> path::PathBuf {
    folder.join(format!("{prefix}{number:016}"))
}

/// Returns the greatest number among the files with a prefix.
pub(super) fn newest_number(
    folder: &path::Path,
    prefix: &str,
) -> Result<Option<u64>, StorageError> {
    let names = file_names(folder)?;
    Ok(names.iter().filter_map(|name| number_of(name, prefix)).max())
}

/// Removes the files with a prefix and a number below `number`.
pub(super) fn remove_older(
    folder: &path::Path,
    prefix: &str,
    number: u64,
) -> Result<(), StorageError> {
    for name in file_names(folder)? {
        if number_of(&name, prefix).is_some_and(|older| older < number) {
            let path = folder.join(name);
            fs::remove_file(&path).context(IoSnafu { step: "remove", path })?;
        }
    }
    Ok(())
}

/// Removes all files of a folder; the removal of `first` is synced before the others go.
pub(super) fn remove_all(folder: &path::Path, first: &str) -> Result<(), StorageError> {
    let remove = |name: &str| remove_if_present(&folder.join(name));
    if !fs::exists(folder).context(IoSnafu { step: "check existence", path: folder })? {
        return Ok(());
    }
    remove(first)?;
    sync_folder(folder)?;
    file_names(folder)?.iter().try_for_each(|name| remove(name))?;
    sync_folder(folder)
}

fn number_of(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

fn file_names(folder: &path::Path) -> Result<Vec<String>, StorageError> {
    let read = || -> io::Result<Vec<String>> {
        let entries = fs::read_dir(folder)?;
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    };
    read().context(IoSnafu { step: "list", path: folder })
}

pub(super) fn open_append(path: &path::Path) -> Result<fs::File, StorageError> {
    let opened = fs::OpenOptions::new().append(true).open(path);
    opened.context(IoSnafu { step: "open", path })
}

/// Records that a write failed, so that the next opening writes all state anew. Where the disk takes
/// no file either, the mark of the synced length tells the same.
pub(super) fn record_failed_write(folder: &path::Path) {
    let result = fs::File::create(failed_path(folder)).and_then(|file| file.sync_all());
    if let Err(error) = result.and_then(|()| fs::File::open(folder)?.sync_all()) {
        log::warn!("storage: cannot record the failed write to {}: {error}", folder.display());
    }
}

/// Whether an earlier write to the folder failed and its state was not rewritten since.
pub(super) fn has_failed_write(folder: &path::Path) -> Result<bool, StorageError> {
    let path = failed_path(folder);
    fs::exists(&path).context(IoSnafu { step: "check existence", path: &path })
}

/// Removes the record of a failed write, once the state is synced in new files.
pub(super) fn clear_failed_write(folder: &path::Path) -> Result<(), StorageError> {
    remove_if_present(&failed_path(folder))?;
    sync_folder(folder)
}

fn remove_if_present(path: &path::Path) -> Result<(), StorageError> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
    .context(IoSnafu { step: "remove", path })
}

fn failed_path(folder: &path::Path) -> path::PathBuf {
    folder.join("failed")
}

pub(super) fn mark_path(folder: &path::Path) -> path::PathBuf {
    folder.join("synced")
}

/// Opens the file of the mark, or creates it.
pub(super) fn open_mark(folder: &path::Path) -> Result<fs::File, StorageError> {
    let path = mark_path(folder);
    let opened = fs::OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    opened.context(IoSnafu { step: "open", path })
}

/// Synced length of a segment. The mark itself is not synced: it may lag behind the segment but
/// never be ahead of it, and a stale mark only checks less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SyncMark {
    pub(super) segment: u64,
    pub(super) length_bytes: u64,
}

impl SyncMark {
    pub(super) fn write(self, file: &fs::File) -> io::Result<()> {
        let mut bytes = [0; MARK_BYTES];
        bytes[..8].copy_from_slice(&self.segment.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.length_bytes.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..16]);
        bytes[16..].copy_from_slice(&checksum.to_le_bytes());
        file.write_all_at(&bytes, 0)
    }

    pub(super) fn read(folder: &path::Path) -> Option<Self> {
        let bytes: [u8; MARK_BYTES] = fs::read(mark_path(folder)).ok()?.try_into().ok()?;
        let field =
            |at: usize| u64::from_le_bytes([0, 1, 2, 3, 4, 5, 6, 7].map(|byte| bytes[at + byte]));
        let checksum = crc32fast::hash(&bytes[..16]).to_le_bytes();
        let is_valid = checksum == bytes[16..];
        is_valid.then(|| Self { segment: field(0), length_bytes: field(8) })
    }
}
