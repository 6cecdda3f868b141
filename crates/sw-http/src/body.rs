//! Response bodies, and reading bodies with limits.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use sw_limit::{BodyGuard, Connection, Limit};
use sw_time::Clock;
use tokio::sync::mpsc;

use crate::BodyBuffer;

/// Number of chunks to buffer for a slow reader before the sender has to wait.
const CHANNEL_LEN: usize = 16;

/// The response is incomplete; hyper then closes the connection without the final chunk, so the reader cannot mistake
/// the part that it received for a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyError;

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response is incomplete")
    }
}

impl std::error::Error for BodyError {}

impl From<Infallible> for BodyError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body; `None` once it has been read.
    Full(Option<Bytes>),
    /// Chunks as they arrive; the body is complete only if the channel ends without an error.
    Stream(mpsc::Receiver<Result<Bytes, BodyError>>),
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }
}

/// Creates a streamed body and its sender.
pub fn channel() -> (mpsc::Sender<Result<Bytes, BodyError>>, ResponseBody) {
    let (tx, rx) = mpsc::channel(CHANNEL_LEN);
    (tx, ResponseBody::Stream(rx))
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(rx) => rx.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Error of reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive within the time limit.
    Timeout,
    /// The connection broke before the end of the body.
    Broken,
}

/// Error of reading a body whose memory is accounted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldBodyError {
    /// The body was not received.
    Read(ReadBodyError),
    /// A limit on callers does not permit more of it.
    Refused(Limit),
}

impl From<ReadBodyError> for HeldBodyError {
    fn from(error: ReadBodyError) -> Self {
        Self::Read(error)
    }
}

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns [`ReadBodyError`] if the body is too large, too slow or incomplete; at most `limit` bytes are buffered.
pub async fn read_body<B>(body: B, limit: u64, timeout: Duration) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limit {
        return Err(ReadBodyError::TooLarge);
    }
    let read = tokio::time::timeout(timeout, collect(body, limit));
    read.await.unwrap_or(Err(ReadBodyError::Timeout))
}

/// Reads a body of at most `limit` bytes within `timeout`, and takes memory of the account of `connection` for it; the
/// memory is given back when the last clone of the body is dropped.
///
/// # Errors
///
/// Returns [`HeldBodyError`] if the body is too large, too slow or incomplete, or if a limit on callers ends it.
pub async fn read_held_body<B, C>(
    body: B,
    limit: u64,
    timeout: Duration,
    connection: &Connection,
    clock: &C,
) -> Result<Bytes, HeldBodyError>
where
    B: Body<Data = Bytes> + Unpin,
    C: Clock,
{
    let expected = body.size_hint().lower();
    if expected > limit {
        return Err(ReadBodyError::TooLarge.into());
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let (held, mut ended) = connection.begin_body(clock.now());
    let read = tokio::time::timeout(timeout, collect_held(body, limit, &held, clock));
    let body = tokio::select! {
        biased;
        Ok(limit) = &mut ended => return Err(HeldBodyError::Refused(limit)),
        read = read => read.unwrap_or(Err(ReadBodyError::Timeout.into()))?,
    };
    Ok(held.finish().attach(body))
}

/// Returns the error of a body for which the system has no memory.
fn out_of_memory() -> HeldBodyError {
    HeldBodyError::Refused(Limit::Memory)
}

async fn collect_held<B, C>(mut body: B, limit: u64, held: &BodyGuard, clock: &C) -> Result<Bytes, HeldBodyError>
where
    B: Body<Data = Bytes> + Unpin,
    C: Clock,
{
    let stated = body.size_hint().exact().unwrap_or_default() as usize;
    let mut buf = BodyBuffer::with_capacity(stated).map_err(|_no_pages| out_of_memory())?;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_broken| ReadBodyError::Broken)?.into_data() else {
            continue;
        };
        if (buf.len() + data.len()) as u64 > limit {
            return Err(ReadBodyError::TooLarge.into());
        }
        let taken = held.grow(data.len() as u64, clock.now());
        taken.map_err(HeldBodyError::Refused)?;
        buf.push(&data).map_err(|_no_pages| out_of_memory())?;
    }
    Ok(buf.into_bytes())
}

/// Reads a body of at most `limit` bytes, however long that takes, for as long as data arrives; calls `on_data` whenever it
/// does.
///
/// # Errors
///
/// Returns [`ReadBodyError`] if the body is too large or incomplete, or if nothing arrives for `idle_timeout`.
pub async fn read_body_while_active<B>(
    mut body: B,
    limit: u64,
    idle_timeout: Duration,
    on_data: impl Fn(),
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limit {
        return Err(ReadBodyError::TooLarge);
    }
    let mut buf = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_silent| ReadBodyError::Timeout)? else {
            return Ok(buf.freeze());
        };
        on_data();
        append(&mut buf, frame, limit)?;
    }
}

/// Adds the data of a frame to a body of at most `limit` bytes.
fn append<E>(buf: &mut BytesMut, frame: Result<Frame<Bytes>, E>, limit: u64) -> Result<(), ReadBodyError> {
    let Ok(data) = frame.map_err(|_broken| ReadBodyError::Broken)?.into_data() else {
        return Ok(());
    };
    if (buf.len() + data.len()) as u64 > limit {
        return Err(ReadBodyError::TooLarge);
    }
    buf.extend_from_slice(&data);
    Ok(())
}

async fn collect<B>(mut body: B, limit: u64) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        append(&mut buf, frame, limit)?;
    }
    Ok(buf.freeze())
}
