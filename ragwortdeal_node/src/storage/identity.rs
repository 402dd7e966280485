//! Identity of a data folder: a random storage id and the inode of the file that holds it.

use std::{fs, os::unix::fs::MetadataExt as _, path};

use ragwortdeal_core::replication::entry;
use rand::RngExt as _;
use snafu::{ResultExt as _, ensure};

use super::{CopiedSnafu, DamagedSnafu, IoSnafu, StorageError, files, frame};

/// File that holds the identity.
pub(super) const FILE_NAME: &str = "identity";

/// How a folder that was copied or rolled back is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyCheck {
    /// The identity file has another inode number.
    Inode,
    /// The other voters have acknowledgements of entries that it lacks; the folder isn't checked.
    Group,
}

#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Identity {
    storage: entry::StorageId,
    /// Inode number of the identity file. A folder that was copied or restored from a backup has
    /// new files, so stale state is not taken for the current one.
    inode: u64,
}

/// Reads the identity of a folder, or creates one in a new folder.
pub(super) fn open(
    folder: &path::Path,
    copy_check: CopyCheck,
) -> Result<entry::StorageId, StorageError> {
    let path = folder.join(FILE_NAME);
    if !fs::exists(&path).context(IoSnafu { step: "check existence", path: &path })? {
        return create(folder, &path);
    }
    let bytes = fs::read(&path).context(IoSnafu { step: "read", path: &path })?;
    let scan = frame::scan(&bytes);
    let identity: Option<Identity> =
        scan.payloads.first().and_then(|payload| frame::decode(payload.bytes));
    let problem = "the identity fails its checksum";
    let identity = identity
        .ok_or_else(|| DamagedSnafu { path: &path, offset_bytes: 0_u64, problem }.build())?;
    let same_file = copy_check == CopyCheck::Group || inode(&path)? == identity.inode;
    ensure!(same_file, CopiedSnafu { path });
    Ok(identity.storage)
}

fn create(folder: &path::Path, path: &path::Path) -> Result<entry::StorageId, StorageError> {
    let segment_number = files::newest_number(folder, files::SEGMENT_PREFIX)?;
    let problem = "there is a log but no identity";
    ensure!(segment_number.is_none(), DamagedSnafu { path, offset_bytes: 0_u64, problem });
    let storage = entry::StorageId(rand::rng().random());
    let temporary = path.with_extension("tmp");
    fs::File::create(&temporary).context(IoSnafu { step: "make", path: &temporary })?;
    let identity = Identity { storage, inode: inode(&temporary)? };
    // Truncates the file created above, which keeps its inode number.
    files::write_atomically(folder, path, &frame::encode(&identity))?;
    Ok(storage)
}

fn inode(path: &path::Path) -> Result<u64, StorageError> {
    let metadata = fs::metadata(path).context(IoSnafu { step: "read metadata", path })?;
    Ok(metadata.ino())
}
