//! Packing of chunks with zlib.

use std::io::{Read as _, Write as _};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use sha2::{Digest as _, Sha256};
use sw_unit::Digest;

use crate::split::MAX_CHUNK_LEN;
use crate::{ChunkError, ChunkId};

/// Returns the identity of a chunk's content.
pub(crate) fn id(content: &[u8]) -> ChunkId {
    ChunkId {
        digest: Digest(Sha256::digest(content).into()),
        len: content.len() as u32,
    }
}

pub(crate) fn pack(content: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder
        .write_all(content)
        .expect("a buffer in memory can be written to");
    encoder.finish().expect("a buffer in memory can be written to").into()
}

/// Unpacks the content of a chunk, and checks it.
pub(crate) fn unpack(id: ChunkId, packed: &[u8]) -> Result<Vec<u8>, ChunkError> {
    let len = id.len as usize;
    if len > MAX_CHUNK_LEN {
        return Err(ChunkError::Malformed);
    }
    let mut content = Vec::with_capacity(len);
    // One byte more than expected is enough to see that the content is too long.
    let mut decoder = ZlibDecoder::new(packed).take(u64::from(id.len) + 1);
    let unpacked = decoder.read_to_end(&mut content);
    if unpacked.is_err() || content.len() != len {
        return Err(ChunkError::Malformed);
    }
    if self::id(&content) != id {
        return Err(ChunkError::OtherDigest);
    }
    Ok(content)
}
