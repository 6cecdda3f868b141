//! Streams that are slow, and streams that have stalled.

mod support;

use support::{admit, prompt, relay};
use sw_relay::{Admitted, StallWatch};
use sw_unit::{Millis, Time};

/// A request on a route that wants pauses of 800 ms at most, and a first event within 1,200 ms.
fn digest() -> Admitted {
    admit(&mut relay(), "digest", Some(prompt(1, 0, 500)), Time(0))
}

#[test]
fn a_first_event_may_take_some_objectives_or_as_much_longer_than_expected() {
    assert_eq!(digest().begin_patience(50.0), Millis(3_600));
    assert_eq!(digest().begin_patience(2_000.0), Millis(6_000));
}

#[test]
fn a_slow_stream_whose_events_keep_coming_does_not_stall() {
    let admitted = digest();
    let mut watch = StallWatch::new(Time(3_600));
    let mut now = Time(1_000);
    for _ in 0..20 {
        watch.event(&admitted, now);
        now = now + Millis(1_920);
        assert!(now < watch.stalls_at(), "eight tenths of the limit");
    }
}

#[test]
fn a_stream_without_a_whole_event_stalls_whatever_its_bytes() {
    let admitted = digest();
    let mut watch = StallWatch::new(Time(3_600));
    assert_eq!(watch.stalls_at(), Time(3_600));
    watch.event(&admitted, Time(500));
    assert_eq!(watch.stalls_at(), Time(500) + Millis(2_400));
}

#[test]
fn a_stream_that_was_slow_all_along_is_given_more_time() {
    let admitted = digest();
    let mut watch = StallWatch::new(Time(3_600));
    watch.event(&admitted, Time(500));
    watch.event(&admitted, Time(2_500));
    assert_eq!(watch.stalls_at(), Time(2_500) + Millis(6_000));
}
