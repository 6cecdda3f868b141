//! Cutting streams into events.

use bytes::Bytes;
use sw_proxy::{EventSplitter, EventTooLongError};

/// Longer than any event.
const OVERSIZED: usize = 300 << 10;

/// The chunks of `text`, of `len` bytes each.
fn chunks(text: &str, len: usize) -> impl Iterator<Item = Bytes> + '_ {
    text.as_bytes().chunks(len).map(Bytes::copy_from_slice)
}

#[test]
fn whole_events_are_passed_on_however_they_are_cut() {
    let events: Vec<_> = (1..=40).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect();
    let text = events.concat();
    for len in [1, 2, 3, 7, 1_000] {
        let mut splitter = EventSplitter::default();
        let passed: Vec<u8> = chunks(&text, len)
            .flat_map(|chunk| splitter.push(&chunk).expect("events"))
            .collect();
        assert_eq!(passed, text.as_bytes(), "cut by {len}");
        assert_eq!(splitter.last_event_id(), Some("40"));
        assert!(!splitter.has_partial());
    }
}

#[test]
fn a_long_stream_of_short_events_is_sound_however_it_is_cut() {
    let text = "data: 12\n\n".repeat(OVERSIZED / 10);
    for len in [1, 2, 3, 7, 1_000] {
        let mut splitter = EventSplitter::default();
        let checked = chunks(&text, len).try_for_each(|chunk| splitter.check_len(&chunk));
        assert_eq!(checked, Ok(()), "cut by {len}");
    }
}

#[test]
fn an_event_without_end_is_none() {
    let text = "x\n".repeat(OVERSIZED / 2);
    let mut splitter = EventSplitter::default();
    let fed = chunks(&text, 1_000).try_for_each(|chunk| splitter.push(&chunk).map(|_events| ()));
    assert_eq!(fed, Err(EventTooLongError));
    let mut splitter = EventSplitter::default();
    let checked = chunks(&text, 1_000).try_for_each(|chunk| splitter.check_len(&chunk));
    assert_eq!(checked, Err(EventTooLongError));
}
