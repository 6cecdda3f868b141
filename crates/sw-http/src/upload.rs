//! Request bodies that tell when they have been written.
//!
//! A response without a length and chunks ends with its connection. If the server had not read the request by then, it has
//! broken off, also when the connection ends in order.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// How much of a request has been written to its connection.
#[derive(Debug, Clone)]
pub(crate) struct UploadState(Arc<AtomicU8>);

impl UploadState {
    const WRITTEN: u8 = 0;
    /// hyper has the last part of the body, and may not have written it.
    const BUFFERED: u8 = 1;
    const PENDING: u8 = 2;
    /// A write has failed; this does not change any more.
    const FAILED: u8 = 3;

    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicU8::new(Self::WRITTEN)))
    }

    fn advance(&self, from: u8, to: u8) {
        // Fails if the state is another one, which then stays.
        let _other = self.0.compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Records that all buffered bytes were written.
    pub(crate) fn on_flushed(&self) {
        self.advance(Self::BUFFERED, Self::WRITTEN);
    }

    /// Records that a write failed.
    pub(crate) fn on_failed(&self) {
        self.0.store(Self::FAILED, Ordering::Relaxed);
    }

    /// Returns whether the server may have the complete request.
    pub(crate) fn is_written(&self) -> bool {
        self.0.load(Ordering::Relaxed) == Self::WRITTEN
    }
}

/// Body of a request.
#[derive(Debug)]
pub(crate) struct Upload {
    bytes: Option<Bytes>,
    state: UploadState,
}

impl Upload {
    /// Creates the body of the next request on the connection of `state`.
    pub(crate) fn new(bytes: Bytes, state: UploadState) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        if bytes.is_some() {
            state.advance(UploadState::WRITTEN, UploadState::PENDING);
        }
        Self { bytes, state }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = self.bytes.take();
        if bytes.is_some() {
            self.state.advance(UploadState::PENDING, UploadState::BUFFERED);
        }
        Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
