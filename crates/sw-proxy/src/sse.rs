//! Cutting a stream into whole events.

use bytes::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
/// An event longer than this is passed on in pieces.
const MAX_EVENT: usize = 256 << 10;

/// Passes whole events on, and remembers the id of the last.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes in a chunk, and returns the events that are whole now; empty if there are none.
    pub fn feed(&mut self, chunk: &Bytes) -> Bytes {
        let whole = if self.buf.is_empty() && chunk.ends_with(EVENT_END) {
            chunk.clone()
        } else {
            self.buf.extend_from_slice(chunk);
            let end = rfind(&self.buf, EVENT_END).map_or(0, |at| at + EVENT_END.len());
            let end = if self.buf.len() - end > MAX_EVENT {
                self.buf.len()
            } else {
                end
            };
            self.buf.split_to(end).freeze()
        };
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether a part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the part of an event that is held back, before the stream is resumed.
    pub fn drop_partial(&mut self) {
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
