//! Memory of bodies that are received.

use std::io;

use bytes::{Bytes, BytesMut};
use memmap2::MmapMut;

/// Length in bytes up to which a body is kept by the allocator.
const SMALL_BYTES: usize = 64 << 10;

/// A body that arrives in parts.
///
/// A long body has pages of its own, which go back to the system as soon as it is dropped. The allocator would keep them, or
/// free blocks of the sizes through which the body has grown.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    small: BytesMut,
    /// The pages of a long body; `small` is empty then.
    pages: Option<MmapMut>,
    len: usize,
}

impl BodyBuffer {
    /// Returns a buffer with room for `len` bytes; pages that are not written to take no memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the system provides no pages.
    pub fn with_capacity(len: usize) -> io::Result<Self> {
        let pages = (len > SMALL_BYTES).then(|| MmapMut::map_anon(len));
        Ok(Self {
            pages: pages.transpose()?,
            ..Self::default()
        })
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds bytes at the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the system provides no pages.
    pub fn push(&mut self, data: &[u8]) -> io::Result<()> {
        let end = self.len + data.len();
        if self.pages.is_none() && end <= SMALL_BYTES {
            self.small.extend_from_slice(data);
        } else {
            let begin = self.len;
            self.pages_for(end)?[begin..end].copy_from_slice(data);
        }
        self.len = end;
        Ok(())
    }

    /// Returns pages for at least `len` bytes that begin with what has arrived.
    fn pages_for(&mut self, len: usize) -> io::Result<&mut MmapMut> {
        if self.pages.as_ref().is_none_or(|pages| pages.len() < len) {
            let mut larger = MmapMut::map_anon(len.next_power_of_two())?;
            let arrived = self.pages.as_deref().unwrap_or(&self.small);
            larger[..self.len].copy_from_slice(&arrived[..self.len]);
            self.small = BytesMut::new();
            self.pages = Some(larger);
        }
        self.pages.as_mut().ok_or_else(|| io::ErrorKind::OutOfMemory.into())
    }

    /// Returns what has arrived.
    pub fn into_bytes(self) -> Bytes {
        let Self { small, pages, len } = self;
        pages.map_or_else(|| small.freeze(), |pages| Bytes::from_owner(LongBody { pages, len }))
    }
}

struct LongBody {
    pages: MmapMut,
    len: usize,
}

impl AsRef<[u8]> for LongBody {
    fn as_ref(&self) -> &[u8] {
        &self.pages[..self.len]
    }
}
