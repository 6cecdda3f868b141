//! Content-defined boundaries of chunks.

use fastcdc::v2020::FastCDC;

/// Smallest length of a chunk in bytes, but for the last one of a value.
const MIN_CHUNK_LEN: usize = 4 << 10;
/// Length of most chunks in bytes.
const AVERAGE_CHUNK_LEN: usize = 16 << 10;
/// Greatest length of a chunk in bytes.
pub(crate) const MAX_CHUNK_LEN: usize = 64 << 10;

/// Splits a value into chunks.
pub(crate) fn split(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    let chunks = FastCDC::new(value, MIN_CHUNK_LEN, AVERAGE_CHUNK_LEN, MAX_CHUNK_LEN);
    chunks.map(|chunk| &value[chunk.offset..chunk.offset + chunk.length])
}
