//! Tests for splitting streams into events.

use bytes::Bytes;
use sw_proxy::{EventSplitter, EventTooLongError};

/// Longer than the maximum event, in bytes.
const OVERSIZED: usize = 300 << 10;

/// Splits `text` into chunks of `len` bytes.
fn chunks(text: &str, len: usize) -> impl Iterator<Item = Bytes> + '_ {
    text.as_bytes().chunks(len).map(Bytes::copy_from_slice)
}

#[test]
fn complete_events_are_returned_for_any_chunk_size() {
    let events: Vec<_> = (1..=40).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect();
    let text = events.concat();
    for len in [1, 2, 3, 7, 1_000] {
        let mut splitter = EventSplitter::default();
        let passed: Vec<u8> = chunks(&text, len)
            .flat_map(|chunk| splitter.push(&chunk).expect("events within the length limit"))
            .collect();
        assert_eq!(passed, text.as_bytes(), "chunk length {len}");
        assert_eq!(splitter.last_event_id(), Some("40"));
        assert!(!splitter.has_partial());
    }
}

#[test]
fn a_long_stream_of_short_events_passes_the_length_check_for_any_chunk_size() {
    let text = "data: 12\n\n".repeat(OVERSIZED / 10);
    for len in [1, 2, 3, 7, 1_000] {
        let mut splitter = EventSplitter::default();
        let checked = chunks(&text, len).try_for_each(|chunk| splitter.check_len(&chunk));
        assert_eq!(checked, Ok(()), "chunk length {len}");
    }
}

#[test]
fn an_event_without_end_is_rejected() {
    let text = "x\n".repeat(OVERSIZED / 2);
    let mut splitter = EventSplitter::default();
    let fed = chunks(&text, 1_000).try_for_each(|chunk| splitter.push(&chunk).map(|_events| ()));
    assert_eq!(fed, Err(EventTooLongError));
    let mut splitter = EventSplitter::default();
    let checked = chunks(&text, 1_000).try_for_each(|chunk| splitter.check_len(&chunk));
    assert_eq!(checked, Err(EventTooLongError));
}
