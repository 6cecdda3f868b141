//! Cutting a stream into whole events.

use std::fmt;

use bytes::{Bytes, BytesMut};

const EVENT_DELIMITER: &[u8] = b"\n\n";
const LF: &[u8] = b"\n";
const ID_FIELD: &[u8] = b"id:";
/// Longest event, in bytes; what is longer is no event.
const MAX_EVENT_LEN: usize = 256 << 10;

/// Bytes came that do not end in an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLongError;

impl fmt::Display for EventTooLongError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is longer than {MAX_EVENT_LEN} bytes")
    }
}

impl std::error::Error for EventTooLongError {}

/// Passes whole events on, and remembers the id of the last.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
    /// Bytes since the end of the last event, of a stream that is only measured.
    partial_len: usize,
    /// Whether such a stream is at the end of a line.
    line_ended: bool,
}

impl EventSplitter {
    /// Takes in a chunk, and returns the events that are whole now; empty if there are none.
    ///
    /// # Errors
    ///
    /// Returns [`EndlessEvent`] if an event is too long to be one.
    pub fn push(&mut self, chunk: &Bytes) -> Result<Bytes, EventTooLongError> {
        let complete = if self.buf.is_empty() && chunk.ends_with(EVENT_DELIMITER) {
            chunk.clone()
        } else {
            // What was held back before ends no event, but may end with a part of the mark.
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

    /// Measures a chunk that is passed on as it is.
    ///
    /// # Errors
    ///
    /// Returns [`EndlessEvent`] if an event is too long to be one.
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

    /// The id of the last whole event.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether a part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the part of an event that is held back, before the stream is resumed.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }
}

/// The last event id in whole events.
fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(ID_FIELD))?;
    let id = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(id.trim().to_owned())
}

fn rfind(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).rposition(|window| window == needle)
}
