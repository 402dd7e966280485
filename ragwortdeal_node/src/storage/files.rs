//! Files of a data folder, and the order of syncs that makes them last.

use std::{
    fs,
    io::{self, Write as _},
    os::unix::fs::FileExt as _,
    path,
};

use snafu::ResultExt as _;

use super::{FailedSnafu, InUseSnafu, IoSnafu, StorageError};

/// Prefix of segment files.
pub(super) const SEGMENT: &str = "segment-";
/// Prefix of snapshot files.
pub(super) const SNAPSHOT: &str = "snapshot-";
const UNFINISHED: &str = ".tmp";
const MARK_BYTES: usize = 20;

/// The file that frames are appended to.
pub trait SegmentFile: Send {
    /// Appends all bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all that was appended is on the disk.
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

/// Makes the folder, and syncs the one above so that it lasts.
pub(super) fn make_folder(folder: &path::Path) -> Result<(), StorageError> {
    fs::create_dir_all(folder).context(IoSnafu { step: "make folder", path: folder })?;
    match folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        Some(parent) => sync_folder(parent),
        None => Ok(()),
    }
}

/// Takes the folder for this process. Two would overwrite each other's promises.
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

/// Syncs a folder: a file that was made or renamed is lost in a crash while its name is not synced.
pub(super) fn sync_folder(folder: &path::Path) -> Result<(), StorageError> {
    let opened = fs::File::open(folder);
    let synced = opened.and_then(|handle| handle.sync_all());
    synced.context(IoSnafu { step: "sync folder", path: folder })
}

/// Writes a file aside, syncs it and gives it its name, so that the name never stands for a part.
pub(super) fn write_whole(
    folder: &path::Path,
    path: &path::Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let aside = path.with_extension(&UNFINISHED[1..]);
    let mut file = fs::File::create(&aside).context(IoSnafu { step: "make", path: &aside })?;
    file.write_all(bytes).context(IoSnafu { step: "write", path: &aside })?;
    file.sync_all().context(IoSnafu { step: "sync", path: &aside })?;
    fs::rename(&aside, path).context(IoSnafu { step: "rename", path })?;
    sync_folder(folder)
}

/// Removes what a crash left unfinished.
pub(super) fn remove_unfinished(folder: &path::Path) -> Result<(), StorageError> {
    for name in names(folder)? {
        if name.ends_with(UNFINISHED) {
            let path = folder.join(name);
            fs::remove_file(&path).context(IoSnafu { step: "remove", path })?;
        }
    }
    Ok(())
}

/// Path of a numbered file.
pub(super) fn numbered(folder: &path::Path, prefix: &str, number: u64) -> path::PathBuf {
    folder.join(format!("{prefix}{number:016}"))
}

/// The greatest number among the files with a prefix.
pub(super) fn newest_number(
    folder: &path::Path,
    prefix: &str,
) -> Result<Option<u64>, StorageError> {
    let names = names(folder)?;
    Ok(names.iter().filter_map(|name| number_of(name, prefix)).max())
}

/// Removes the files with a prefix and a smaller number.
pub(super) fn remove_older(
    folder: &path::Path,
    prefix: &str,
    number: u64,
) -> Result<(), StorageError> {
    for name in names(folder)? {
        if number_of(&name, prefix).is_some_and(|older| older < number) {
            let path = folder.join(name);
            fs::remove_file(&path).context(IoSnafu { step: "remove", path })?;
        }
    }
    Ok(())
}

/// Removes all files of a folder, the named one first, and syncs after it.
pub(super) fn remove_all(folder: &path::Path, first: &str) -> Result<(), StorageError> {
    let remove = |name: &str| {
        let path = folder.join(name);
        match fs::remove_file(&path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
        .context(IoSnafu { step: "remove", path: &path })
    };
    if !fs::exists(folder).context(IoSnafu { step: "look for", path: folder })? {
        return Ok(());
    }
    remove(first)?;
    sync_folder(folder)?;
    names(folder)?.iter().try_for_each(|name| remove(name))?;
    sync_folder(folder)
}

fn number_of(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

fn names(folder: &path::Path) -> Result<Vec<String>, StorageError> {
    let read = || -> io::Result<Vec<String>> {
        let entries = fs::read_dir(folder)?;
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    };
    read().context(IoSnafu { step: "list", path: folder })
}

/// Opens a file to append to it.
pub(super) fn open_append(path: &path::Path) -> Result<fs::File, StorageError> {
    let opened = fs::OpenOptions::new().append(true).open(path);
    opened.context(IoSnafu { step: "open", path })
}

/// Cuts a file off, and syncs the new length before anything is appended.
pub(super) fn cut(path: &path::Path, length_bytes: u64) -> Result<(), StorageError> {
    let file = open_append(path)?;
    let cut = file.set_len(length_bytes).and_then(|()| file.sync_all());
    cut.context(IoSnafu { step: "cut", path })
}

/// Notes that a write failed. After a failed sync the system may show pages as written that never
/// reached the disk; a restart would read them back and acknowledge them. If the note cannot be made
/// either, the operator has the error in the log.
pub(super) fn mark_failed(folder: &path::Path) {
    let noted = fs::File::create(failed_path(folder)).and_then(|file| file.sync_all());
    if let Err(error) = noted.and_then(|()| fs::File::open(folder)?.sync_all()) {
        log::error!("storage: cannot note the failure of {}: {error}", folder.display());
    }
}

/// Refuses a folder to which a write failed.
pub(super) fn check_not_failed(folder: &path::Path) -> Result<(), StorageError> {
    let path = failed_path(folder);
    let failed = fs::exists(&path).context(IoSnafu { step: "look for", path: &path })?;
    if failed { FailedSnafu { path }.fail() } else { Ok(()) }
}

fn failed_path(folder: &path::Path) -> path::PathBuf {
    folder.join("failed")
}

/// Path of the mark.
pub(super) fn mark_path(folder: &path::Path) -> path::PathBuf {
    folder.join("synced")
}

/// Opens the file of the mark.
pub(super) fn open_mark(folder: &path::Path) -> Result<fs::File, StorageError> {
    let path = mark_path(folder);
    let opened = fs::OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    opened.context(IoSnafu { step: "open", path })
}

/// How much of a segment was synced. The mark itself is not synced: it may be older than the
/// truth but never newer, and an older one merely checks less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Mark {
    pub(super) segment: u64,
    pub(super) length_bytes: u64,
}

impl Mark {
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
        let number =
            |at: usize| u64::from_le_bytes([0, 1, 2, 3, 4, 5, 6, 7].map(|byte| bytes[at + byte]));
        let checksum = crc32fast::hash(&bytes[..16]).to_le_bytes();
        let whole = checksum == bytes[16..];
        whole.then(|| Self { segment: number(0), length_bytes: number(8) })
    }
}
