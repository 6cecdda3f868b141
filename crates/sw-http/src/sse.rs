//! Server-sent event streams.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// The data line of the event that ends an answer.
const TERMINAL: &[u8] = b"data: [DONE]";
const EVENT_END: &[u8] = b"\n\n";
const ID_MEMBER: &[u8] = b"\"id\":\"";
/// Longest event.
const MAX_EVENT: usize = 1 << 20;

/// Why a stream is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SseError {
    /// An event is longer than allowed.
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

/// Cuts a stream into whole events, counts them, and finds the one that ends the answer.
///
/// An event that names another request than the expected one is an error.
#[derive(Debug, Clone)]
pub struct SseReader {
    buf: BytesMut,
    id: Vec<u8>,
    events: u64,
    ended: bool,
}

impl SseReader {
    /// A reader of the answer to the request `id`, of which `events` events were read before.
    pub fn new(id: &str, events: u64) -> Self {
        Self {
            buf: BytesMut::new(),
            id: id.as_bytes().to_vec(),
            events,
            ended: false,
        }
    }

    /// Takes in a chunk, and returns the events that are whole now; empty if there are none.
    ///
    /// # Errors
    ///
    /// Returns [`SseError`]; the events of the chunk must not be passed on then.
    pub fn feed(&mut self, chunk: &[u8]) -> Result<Bytes, SseError> {
        self.buf.extend_from_slice(chunk);
        let mut len = 0;
        while let Some(end) = find(&self.buf[len..], EVENT_END) {
            let event = &self.buf[len..len + end];
            if event == TERMINAL {
                self.ended = true;
            } else {
                self.check(event)?;
                self.events += 1;
            }
            len += end + EVENT_END.len();
        }
        if self.buf.len() - len > MAX_EVENT {
            return Err(SseError::TooLong);
        }
        Ok(self.buf.split_to(len).freeze())
    }

    /// Whether the event that ends the answer was read.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Events that were read, without the one that ends the answer.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Drops what was read of an event that is not whole, before the stream is resumed.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    fn check(&self, event: &[u8]) -> Result<(), SseError> {
        let Some(at) = find(event, ID_MEMBER) else {
            return Ok(());
        };
        let rest = &event[at + ID_MEMBER.len()..];
        let same = rest
            .strip_prefix(self.id.as_slice())
            .is_some_and(|rest| rest.first() == Some(&b'"'));
        if same { Ok(()) } else { Err(SseError::IdMismatch) }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}
