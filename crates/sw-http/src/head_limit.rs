//! A limit on the bytes that a server sends before the head of its response is complete, and ends of connections that are
//! no end of a response.
//!
//! The limit of hyper is for one head; interim heads are not counted together, so a server could send them without end and
//! keep the thread busy that reads them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::upload::UploadState;

/// Maximum number of bytes of a read. The buffers of hyper grow with what a read delivers, and each response whose caller reads
/// slowly keeps one.
const READ_BYTES: usize = 8 << 10;

/// Bytes that a connection may still deliver.
#[derive(Debug, Clone)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    const UNLIMITED: usize = usize::MAX;

    /// Limits the bytes from now on to `limit`.
    pub(crate) fn limit(&self, limit: usize) {
        self.0.store(limit, Ordering::Relaxed);
    }

    /// Ends the limit.
    pub(crate) fn lift(&self) {
        self.0.store(Self::UNLIMITED, Ordering::Relaxed);
    }

    fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn take(&self, len: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != Self::UNLIMITED {
            self.0.store(left.saturating_sub(len), Ordering::Relaxed);
        }
    }
}

/// A stream whose reads fail when their allowance is used up.
#[derive(Debug)]
pub(crate) struct LimitedStream<T> {
    stream: T,
    allowance: Allowance,
    upload: UploadState,
}

impl<T> LimitedStream<T> {
    /// Returns the stream, unlimited at first, and the handle that limits it; `upload` tells whether its end may be the end
    /// of a response.
    pub(crate) fn new(stream: T, upload: UploadState) -> (Self, Allowance) {
        let allowance = Allowance(Arc::new(AtomicUsize::new(Allowance::UNLIMITED)));
        let limited = Self {
            stream,
            allowance: allowance.clone(),
            upload,
        };
        (limited, allowance)
    }

    fn record_write<R>(&self, written: Poll<io::Result<R>>) -> Poll<io::Result<R>> {
        if matches!(written, Poll::Ready(Err(_))) {
            self.upload.on_failed();
        }
        written
    }
}

impl<T: AsyncRead + Unpin> LimitedStream<T> {
    /// Reads at most [`READ_BYTES`], and returns how many bytes were read.
    fn poll_read_part(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        let before = buf.filled().len();
        if buf.remaining() <= READ_BYTES {
            ready!(stream.poll_read(cx, buf))?;
        } else {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(READ_BYTES));
            ready!(stream.poll_read(cx, &mut part))?;
            let len = part.filled().len();
            buf.advance(len);
        }
        Poll::Ready(Ok(buf.filled().len() - before))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for LimitedStream<T> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(io::Error::other("the head of the response is too long")));
        }
        let len = ready!(self.poll_read_part(cx, buf))?;
        // After a failed write, the error of a reset is gone and the connection seems to end in order.
        if len == 0 && buf.remaining() > 0 && !self.upload.is_written() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.allowance.take(len);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for LimitedStream<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.upload.on_flushed();
        }
        self.record_write(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
