//! Connections of callers, whose account is charged for what they make this VM hold.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use sw_limit::{Connection, HeldPart, Payer, RequestGuard, ResponseMemory, UnreadGuard};
use sw_time::Clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::{BodyError, ResponseBody};

/// Bytes of a response that are handed to an HTTP/2 stream at once; the stream buffers all that it is handed, whatever its
/// caller reads.
const STREAM_PART_BYTES: usize = 16 << 10;

/// A caller's connection that reports to the account what was read, and whether the caller takes what is written.
#[derive(Debug)]
pub struct CallerStream<C> {
    stream: TcpStream,
    connection: Connection,
    clock: C,
    is_blocked: bool,
}

impl<C: Clock> CallerStream<C> {
    /// Wraps the stream of `connection`.
    pub fn new(stream: TcpStream, connection: Connection, clock: C) -> Self {
        Self {
            stream,
            connection,
            clock,
            is_blocked: false,
        }
    }

    fn on_write<T>(&mut self, written: &Poll<T>) {
        let is_blocked = written.is_pending();
        if is_blocked == self.is_blocked {
            return;
        }
        self.is_blocked = is_blocked;
        let now = self.clock.now();
        if is_blocked {
            self.connection.on_write_blocked(now);
        } else {
            self.connection.on_written(now);
        }
    }
}

impl<C> Drop for CallerStream<C> {
    fn drop(&mut self) {
        if self.connection.must_reset() {
            // A response that ends with its connection looks complete unless the connection is reset. Fails only if it
            // is closed already.
            let _closed = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl<C: Clock + Unpin> AsyncRead for CallerStream<C> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let len = (buf.filled().len() - before) as u64;
        if len > 0 {
            let read = self.connection.on_read(len, self.clock.now());
            read.map_err(|limit| io::Error::other(limit.to_string()))?;
        }
        Poll::Ready(Ok(()))
    }
}

impl<C: Clock + Unpin> AsyncWrite for CallerStream<C> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.on_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.must_reset() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.on_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of a response to a caller, which ends its request when it is dropped.
///
/// With a complete body on an HTTP/2 stream, the request lasts until the last part has been written, because the stream
/// may buffer it after this body is dropped.
#[derive(Debug)]
pub struct HeldResponse<C> {
    body: ResponseBody,
    clock: C,
    /// The request; `None` if it was refused before it began.
    request: Option<Arc<RequestGuard>>,
    /// Memory of a body that is complete from the start, on connections with one request at a time.
    held: Option<HeldPart>,
    /// Guard of a complete body that the caller has not taken; `None` on connections with one request at a time, and for
    /// streamed bodies.
    unread: Option<Arc<UnreadGuard>>,
    /// Whether the connection ends with a response that breaks off; HTTP/2 ends only the stream.
    owns_connection: bool,
}

impl<C: Clock> HeldResponse<C> {
    /// Wraps the body of the response to `request`.
    pub fn new(body: ResponseBody, request: RequestGuard, version: hyper::Version, clock: C) -> Self {
        let request = Arc::new(request);
        let mut response = Self {
            request: Some(Arc::clone(&request)),
            owns_connection: version < hyper::Version::HTTP_2,
            ..Self::refusal(body, clock)
        };
        let now = response.clock.now();
        let ResponseBody::Full(Some(bytes)) = &mut response.body else {
            return response;
        };
        let connection = request.connection();
        let held = connection.hold(bytes.len() as u64, now);
        if response.owns_connection {
            response.held = Some(held);
        } else {
            let unread = Arc::new(connection.begin_unread(now));
            *bytes = Bytes::from_owner(UnreadBody {
                bytes: std::mem::take(bytes),
                _held: held,
                _unread: Arc::clone(&unread),
                _request: request,
            });
            response.unread = Some(unread);
        }
        response
    }

    /// Wraps the response to a request that a limit on callers has refused.
    pub fn refusal(body: ResponseBody, clock: C) -> Self {
        Self {
            body,
            clock,
            request: None,
            held: None,
            unread: None,
            owns_connection: false,
        }
    }
}

/// A complete response on an HTTP/2 stream; its request ends when the last part has been written.
struct UnreadBody {
    bytes: Bytes,
    _held: HeldPart,
    _request: Arc<RequestGuard>,
    _unread: Arc<UnreadGuard>,
}

impl AsRef<[u8]> for UnreadBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<C: Clock + Unpin> Body for HeldResponse<C> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let response = &mut *self;
        if let (Some(unread), ResponseBody::Full(Some(bytes))) = (&response.unread, &mut response.body)
            && bytes.len() > STREAM_PART_BYTES
        {
            unread.on_taken(response.clock.now());
            let part = bytes.split_to(STREAM_PART_BYTES);
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        let frame = ready!(Pin::new(&mut response.body).poll_frame(cx));
        if let (Some(Err(_)), Some(request), true) = (&frame, &response.request, response.owns_connection) {
            request.connection().on_broken_response();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Bounds what is held of one response for a reader who is slower than its sender, and charges the account for it.
#[derive(Clone)]
pub struct ResponseWindow<C> {
    memory: Arc<ResponseMemory>,
    clock: C,
    /// Notified when a part was taken.
    taken: Arc<Notify>,
}

impl<C> fmt::Debug for ResponseWindow<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponseWindow").finish_non_exhaustive()
    }
}

impl<C: Clock> ResponseWindow<C> {
    /// Creates the window of a response.
    pub fn new(payer: &Payer, clock: C) -> Self {
        Self {
            memory: Arc::new(payer.begin_response()),
            clock,
            taken: Arc::default(),
        }
    }

    /// Returns how many bytes may be held of the response at the moment.
    pub fn bytes(&self) -> u64 {
        self.memory.window()
    }

    /// Waits until `data` fits the window, and returns it; its memory is given back when it has been sent.
    pub async fn hold(&self, data: Bytes) -> Bytes {
        loop {
            let held = self.memory.try_hold(data.len() as u64, self.clock.now());
            if let Some(held) = held {
                return Bytes::from_owner(HeldChunk {
                    data,
                    held: Some(held),
                    taken: Arc::clone(&self.taken),
                });
            }
            self.taken.notified().await;
        }
    }
}

struct HeldChunk {
    data: Bytes,
    /// `None` once it was given back.
    held: Option<HeldPart>,
    taken: Arc<Notify>,
}

impl Drop for HeldChunk {
    fn drop(&mut self) {
        self.held = None;
        self.taken.notify_one();
    }
}

impl AsRef<[u8]> for HeldChunk {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
