//! Documents packed for the log and the links.
//!
//! Documents repeat the same names in every route, so packing takes most of their bytes off the
//! links between zones and off the disks.

use std::io::{self, Read as _, Write as _};

/// Largest document once it is unpacked. Only documents that a voter accepted are unpacked.
const UNPACKED_MAX_BYTES: u64 = 16 << 20;

/// Packs a document.
pub fn compress(body: &[u8]) -> Vec<u8> {
    let mut packer = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    packer.write_all(body).expect("memory takes all bytes");
    packer.finish().expect("memory takes all bytes")
}

/// Unpacks a document.
pub fn decompress(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    flate2::read::DeflateDecoder::new(packed).take(UNPACKED_MAX_BYTES).read_to_end(&mut bytes)?;
    Ok(bytes)
}
