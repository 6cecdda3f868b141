//! Splits a server-sent event stream into complete events.

use std::fmt;

use bytes::{Bytes, BytesMut};

const EVENT_DELIMITER: &[u8] = b"\n\n";
const LF: &[u8] = b"\n";
const ID_FIELD: &[u8] = b"id:";
/// Maximum length of an event in bytes.
const MAX_EVENT_LEN: usize = 256 << 10;

/// Error for an event that exceeds the length limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLongError;

impl fmt::Display for EventTooLongError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is longer than {MAX_EVENT_LEN} bytes")
    }
}

impl std::error::Error for EventTooLongError {}

/// Splits a stream into complete events and tracks the last event id.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
    /// Bytes since the end of the last event, if the stream is only checked.
    partial_len: usize,
    /// Whether the last checked chunk ends with a line feed.
    line_ended: bool,
}

impl EventSplitter {
    /// Adds a chunk, and returns the events that are complete now; empty if there are none.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLongError`] if the incomplete event at the end exceeds the length limit.
    pub fn push(&mut self, chunk: &Bytes) -> Result<Bytes, EventTooLongError> {
        let complete = if self.buf.is_empty() && chunk.ends_with(EVENT_DELIMITER) {
            chunk.clone()
        } else {
            // The buffered bytes contain no delimiter, but may end with its first byte.
            let search_from = self.buf.len().saturating_sub(EVENT_DELIMITER.len() - 1);
            self.buf.extend_from_slice(chunk);
            let end = rfind(&self.buf[search_from..], EVENT_DELIMITER)
                .map_or(0, |at| search_from + at + EVENT_DELIMITER.len());
            if self.buf.len() - end > MAX_EVENT_LEN {
                return Err(EventTooLongError);
            }
            self.buf.split_to(end).freeze()
        };
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Checks the event length in a chunk that is relayed unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLongError`] if the incomplete event at the end exceeds the length limit.
    pub fn check_len(&mut self, chunk: &Bytes) -> Result<(), EventTooLongError> {
        self.partial_len = match rfind(chunk, EVENT_DELIMITER) {
            Some(at) => chunk.len() - at - EVENT_DELIMITER.len(),
            None if self.line_ended && chunk.starts_with(LF) => chunk.len() - LF.len(),
            None => self.partial_len + chunk.len(),
        };
        self.line_ended = chunk.ends_with(LF);
        if self.partial_len > MAX_EVENT_LEN {
            Err(EventTooLongError)
        } else {
            Ok(())
        }
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Takes back the id of events that are not relayed.
    pub fn reset_last_id(&mut self, id: Option<String>) {
        self.last_id = id;
    }

    /// Returns whether the stream is inside an event.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty() || self.partial_len > 0
    }

    /// Discards the buffered partial event, before the stream is resumed.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.partial_len = 0;
    }
}

/// Returns the last event id in complete events.
fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(ID_FIELD))?;
    let id = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(id.trim().to_owned())
}

fn rfind(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).rposition(|window| window == needle)
}
