//! Compression of documents in the log and on links.
//!
//! Documents repeat the same names in every route, so compression saves most of their bytes on the
//! links between zones and on disk.

use std::io::{self, Read as _, Write as _};

/// Largest document after decompression. Only documents that a voter accepted are decompressed.
const DECOMPRESSED_MAX_BYTES: u64 = 16 << 20;

/// Compresses a document.
pub fn compress(body: &[u8]) -> Vec<u8> {
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    encoder.write_all(body).expect("memory takes all bytes");
    encoder.finish().expect("memory takes all bytes")
}

/// Decompresses a document.
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    flate2::read::DeflateDecoder::new(compressed)
        .take(DECOMPRESSED_MAX_BYTES)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}
