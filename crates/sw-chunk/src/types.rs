//! Identities of chunks and lists of them.

use std::fmt;

use sw_unit::Digest;

/// Identity of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ChunkId {
    /// SHA-256 digest of its content.
    pub digest: Digest,
    /// Length of its content in bytes.
    pub len: u32,
}

/// The chunks of a value, in order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Manifest(pub Vec<ChunkId>);

impl Manifest {
    /// Returns the length of the value in bytes.
    pub fn value_len(&self) -> u64 {
        self.0.iter().map(|chunk| u64::from(chunk.len)).sum()
    }
}

/// Why a received chunk is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ChunkError {
    /// The bytes cannot be unpacked, or not to the stated length.
    Malformed,
    /// The content has another digest than the one that was asked for.
    OtherDigest,
}

impl fmt::Display for ChunkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the chunk cannot be unpacked to its length",
            Self::OtherDigest => "the digest does not match the chunk",
        })
    }
}

impl std::error::Error for ChunkError {}
