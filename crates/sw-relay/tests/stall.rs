//! Streams that are slow, and streams that have stalled.

mod support;

use support::{admit, prompt, relay};
use sw_relay::{AdmittedRequest, StallDetector};
use sw_unit::{Millis, Time};

/// Time in which a stream that is late is looked at once more.
const SECOND_LOOK: Millis = Millis(200);

/// A request on a route that wants pauses of 800 ms at most, and a first event within 1,200 ms.
fn digest() -> AdmittedRequest {
    admit(&mut relay(), "digest", Some(prompt(1, 0, 500)), Time(0))
}

#[test]
fn a_first_event_may_take_some_objectives_or_as_much_longer_than_expected() {
    assert_eq!(digest().first_event_timeout(50.0), Millis(3_600));
    assert_eq!(digest().first_event_timeout(2_000.0), Millis(6_000));
}

/// Looks at a stream every 10 ms from `from`, and returns when it has stalled.
fn stalled_at(watch: &mut StallDetector, from: Time) -> Time {
    let mut now = from;
    while watch.event_timeout(now) > Millis(0) {
        now = now + Millis(10);
    }
    now
}

#[test]
fn a_slow_stream_whose_events_keep_coming_does_not_stall() {
    let admitted = digest();
    let mut watch = StallDetector::new(Time(3_600));
    let mut now = Time(1_000);
    for _ in 0..20 {
        watch.on_event(&admitted, now);
        now = now + Millis(1_920);
        assert!(watch.event_timeout(now) > Millis(0), "eight tenths of the limit");
    }
}

#[test]
fn a_stream_without_a_whole_event_stalls_whatever_its_bytes() {
    let admitted = digest();
    let mut watch = StallDetector::new(Time(3_600));
    assert_eq!(stalled_at(&mut watch, Time(0)), Time(3_600) + SECOND_LOOK);
    let mut watch = StallDetector::new(Time(3_600));
    watch.on_event(&admitted, Time(500));
    assert_eq!(stalled_at(&mut watch, Time(500)), Time(2_900) + SECOND_LOOK);
}

#[test]
fn a_stream_that_was_slow_all_along_is_given_more_time() {
    let admitted = digest();
    let mut watch = StallDetector::new(Time(3_600));
    watch.on_event(&admitted, Time(500));
    watch.on_event(&admitted, Time(2_500));
    assert_eq!(stalled_at(&mut watch, Time(2_500)), Time(8_500) + SECOND_LOOK);
}

/// The pattern: the VM was frozen, and reads the events that came meanwhile as soon as it goes on.
#[test]
fn a_stream_that_is_late_only_for_its_vm_does_not_stall() {
    let admitted = digest();
    let mut watch = StallDetector::new(Time(3_600));
    watch.on_event(&admitted, Time(500));
    let woken = Time(9_000);
    assert_eq!(watch.event_timeout(woken), SECOND_LOOK);
    watch.on_event(&admitted, woken + Millis(20));
    assert!(watch.event_timeout(woken + Millis(2_000)) > Millis(0));
}
