//! A stream is split into complete events for any chunk boundaries.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sw_http::{SseError, SseReader};

fn stream(events: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for index in 0..events {
        bytes.extend_from_slice(format!("data: {{\"id\":\"r1\",\"n\":{index}}}\n\n").as_bytes());
    }
    bytes.extend_from_slice(b"data: [DONE]\n\n");
    bytes
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    #[test]
    fn complete_events_for_any_chunks(events in 0..20_usize, cuts in prop::collection::vec(0..700_usize, 0..12)) {
        let bytes = stream(events);
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut % (bytes.len() + 1)).chain([0, bytes.len()]).collect();
        cuts.sort_unstable();
        let mut reader = SseReader::new("r1", 0);
        let mut relayed = Vec::new();
        for window in cuts.windows(2) {
            let complete = reader.feed(&bytes[window[0]..window[1]]).unwrap();
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n\n"), "only complete events are returned");
            relayed.extend_from_slice(&complete);
        }
        prop_assert_eq!(relayed, bytes);
        prop_assert!(reader.ended());
        prop_assert_eq!(reader.events(), events as u64);
    }

    #[test]
    fn a_truncated_stream_has_not_ended(events in 1..20_usize, cut in 0..700_usize) {
        let bytes = stream(events);
        let mut reader = SseReader::new("r1", 0);
        reader.feed(&bytes[..cut % bytes.len()]).unwrap();
        prop_assert!(!reader.ended());
    }
}

#[test]
fn an_event_of_another_request_is_an_error() {
    let mut reader = SseReader::new("r1", 0);
    assert_eq!(reader.feed(b"data: {\"id\":\"r12\"}\n\n"), Err(SseError::IdMismatch));
    let mut reader = SseReader::new("r1", 0);
    assert!(reader.feed(b"data: {\"id\":\"r1\"}\n\ndata: {\"id\":\"r1").is_ok());
    reader.drop_partial();
    assert!(reader.feed(b"data: {\"id\":\"r1\"}\n\n").is_ok());
    assert_eq!(reader.events(), 2);
}
