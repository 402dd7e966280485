//! Which memory a folder is: a random number, and the file that first held it.

use std::{fs, os::unix::fs::MetadataExt as _, path};

use ragwortdeal_core::replication::entry;
use rand::RngExt as _;
use snafu::{ResultExt as _, ensure};

use super::{CopiedSnafu, DamagedSnafu, IoSnafu, StorageError, files, frame};

/// File that holds the identity.
pub(super) const NAME: &str = "identity";

/// By what a folder that was copied or set back is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Guard {
    /// Its identity's file has another number.
    FileNumber,
    /// Only the other voters remember more than it holds.
    Group,
}

#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Identity {
    storage: entry::StorageId,
    /// Number that the file system gave to this file. A folder that is copied or restored from a
    /// backup has new files, so an older memory is not taken for the present one.
    inode: u64,
}

/// Reads the identity of a folder, or gives a new folder one.
pub(super) fn open(folder: &path::Path, guard: Guard) -> Result<entry::StorageId, StorageError> {
    let path = folder.join(NAME);
    if !fs::exists(&path).context(IoSnafu { step: "look for", path: &path })? {
        return create(folder, &path);
    }
    let bytes = fs::read(&path).context(IoSnafu { step: "read", path: &path })?;
    let scan = frame::scan(&bytes);
    let identity: Option<Identity> =
        scan.payloads.first().and_then(|payload| frame::decode(payload.bytes));
    let what = "the identity fails its checksum";
    let identity =
        identity.ok_or_else(|| DamagedSnafu { path: &path, offset_bytes: 0_u64, what }.build())?;
    let same_file = guard == Guard::Group || inode(&path)? == identity.inode;
    ensure!(same_file, CopiedSnafu { path });
    Ok(identity.storage)
}

fn create(folder: &path::Path, path: &path::Path) -> Result<entry::StorageId, StorageError> {
    let held = files::newest_number(folder, files::SEGMENT)?;
    let what = "there is a log but no identity";
    ensure!(held.is_none(), DamagedSnafu { path, offset_bytes: 0_u64, what });
    let storage = entry::StorageId(rand::rng().random());
    let aside = path.with_extension("tmp");
    fs::File::create(&aside).context(IoSnafu { step: "make", path: &aside })?;
    let identity = Identity { storage, inode: inode(&aside)? };
    // Truncates the file that was just made, so the number stays.
    files::write_whole(folder, path, &frame::encode(&identity))?;
    Ok(storage)
}

fn inode(path: &path::Path) -> Result<u64, StorageError> {
    let metadata = fs::metadata(path).context(IoSnafu { step: "look at", path })?;
    Ok(metadata.ino())
}
