//! Bodies of answers, and bounded reading of bodies.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Chunks that wait for a slow reader before the sender waits too.
const CHANNEL_LEN: usize = 16;

/// The answer broke off; hyper then closes the connection without the end mark, so the reader cannot take what it has
/// for the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyError;

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BodyError {}

impl From<Infallible> for BodyError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Full(Option<Bytes>),
    /// Chunks as they come; it is whole only if the channel ends without an error.
    Stream(mpsc::Receiver<Result<Bytes, BodyError>>),
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }
}

/// A streamed body and its sender.
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

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBodyError {
    /// It is longer than allowed.
    TooLarge,
    /// It took longer than allowed.
    Timeout,
    /// It broke off.
    Broken,
}

/// Reads a body of up to `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns [`ReadBodyError`] if it is too large, too slow or broken; no more than `limit` bytes are held.
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

async fn collect<B>(mut body: B, limit: u64) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_broken| ReadBodyError::Broken)?.into_data() else {
            continue;
        };
        if (buf.len() + data.len()) as u64 > limit {
            return Err(ReadBodyError::TooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
