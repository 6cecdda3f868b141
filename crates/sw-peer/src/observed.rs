//! Tells when bytes were last received on a connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use capnp::capability::Rc;
use futures::AsyncRead;

/// A reader that records when it last read bytes.
pub(crate) struct ObservedReader<R> {
    reader: R,
    last_read_at: Rc<Cell<Instant>>,
}

impl<R> ObservedReader<R> {
    pub(crate) fn new(reader: R, last_read_at: Rc<Cell<Instant>>) -> Self {
        Self { reader, last_read_at }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for ObservedReader<R> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.reader).poll_read(cx, buf))?;
        if len > 0 {
            self.last_read_at.set(Instant::now());
        }
        Poll::Ready(Ok(len))
    }
}
