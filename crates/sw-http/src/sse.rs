//! Server-sent event streams.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// The event that ends a response.
const TERMINAL: &[u8] = b"data: [DONE]";
const EVENT_END: &[u8] = b"\n\n";
const ID_PREFIX: &[u8] = b"\"id\":\"";
/// Maximum size of an event in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Error in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SseError {
    /// An event exceeds the maximum size.
    TooLong,
    /// An event belongs to another request.
    IdMismatch,
}

impl fmt::Display for SseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "an event is too long",
            Self::IdMismatch => "an event belongs to another request",
        })
    }
}

impl std::error::Error for SseError {}

/// Splits a stream into complete events, counts them and detects the event that ends the response.
///
/// An event with the id of another request is an error.
#[derive(Debug, Clone)]
pub struct SseReader {
    buf: BytesMut,
    id: Vec<u8>,
    events: u64,
    ended: bool,
}

impl SseReader {
    /// Creates a reader for the response to the request `id`, of which `events` events have been read before.
    pub fn new(id: &str, events: u64) -> Self {
        Self {
            buf: BytesMut::new(),
            id: id.as_bytes().to_vec(),
            events,
            ended: false,
        }
    }

    /// Appends a chunk and returns the events that are now complete; empty if there are none.
    ///
    /// # Errors
    ///
    /// Returns [`SseError`]; the events of the chunk must not be relayed then.
    pub fn feed(&mut self, chunk: &[u8]) -> Result<Bytes, SseError> {
        self.buf.extend_from_slice(chunk);
        let mut len = 0;
        while let Some(end) = find(&self.buf[len..], EVENT_END) {
            let event = &self.buf[len..len + end];
            if event == TERMINAL {
                self.ended = true;
            } else {
                self.check_id(event)?;
                self.events += 1;
            }
            len += end + EVENT_END.len();
        }
        if self.buf.len() - len > MAX_EVENT {
            return Err(SseError::TooLong);
        }
        Ok(self.buf.split_to(len).freeze())
    }

    /// Returns whether the event that ends the response has been read.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Returns the number of events read, without the one that ends the response.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Discards an incomplete event before the stream is resumed.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    fn check_id(&self, event: &[u8]) -> Result<(), SseError> {
        let Some(at) = find(event, ID_PREFIX) else {
            return Ok(());
        };
        let rest = &event[at + ID_PREFIX.len()..];
        let is_same_id = rest
            .strip_prefix(self.id.as_slice())
            .is_some_and(|rest| rest.first() == Some(&b'"'));
        if is_same_id { Ok(()) } else { Err(SseError::IdMismatch) }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}
