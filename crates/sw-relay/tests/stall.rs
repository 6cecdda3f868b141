//! Detection of stalled streams.

mod support;

use support::{admit, prompt, relay};
use sw_relay::{AdmittedRequest, StallDetector};
use sw_unit::{Millis, Time};

/// Extra time before a late stream counts as stalled.
const LATE_GRACE: Millis = Millis(200);

/// A request on a route with a gap objective of 800 ms and a first event objective of 1,200 ms.
fn digest() -> AdmittedRequest {
    admit(&mut relay(), "digest", Some(prompt(1, 0, 500)), Time(0))
}

#[test]
fn first_event_timeout_is_a_multiple_of_the_objective_or_the_expected_time() {
    assert_eq!(digest().first_event_timeout(50.0), Millis(3_600));
    assert_eq!(digest().first_event_timeout(2_000.0), Millis(6_000));
}

/// Polls a stream every 10 ms from `from`, and returns when it has stalled.
fn stalled_at(detector: &mut StallDetector, from: Time) -> Time {
    let mut now = from;
    while detector.event_timeout(now) > Millis(0) {
        now = now + Millis(10);
    }
    now
}

#[test]
fn slow_stream_whose_events_keep_coming_does_not_stall() {
    let admitted = digest();
    let mut detector = StallDetector::new(Time(3_600));
    let mut now = Time(1_000);
    for _ in 0..20 {
        detector.on_event(&admitted, now);
        now = now + Millis(1_920);
        assert!(detector.event_timeout(now) > Millis(0), "80 % of the timeout");
    }
}

#[test]
fn stream_without_a_complete_event_stalls() {
    let admitted = digest();
    let mut detector = StallDetector::new(Time(3_600));
    assert_eq!(stalled_at(&mut detector, Time(0)), Time(3_600) + LATE_GRACE);
    let mut detector = StallDetector::new(Time(3_600));
    detector.on_event(&admitted, Time(500));
    assert_eq!(stalled_at(&mut detector, Time(500)), Time(2_900) + LATE_GRACE);
}

#[test]
fn stream_that_was_slow_before_gets_a_longer_timeout() {
    let admitted = digest();
    let mut detector = StallDetector::new(Time(3_600));
    detector.on_event(&admitted, Time(500));
    detector.on_event(&admitted, Time(2_500));
    assert_eq!(stalled_at(&mut detector, Time(2_500)), Time(8_500) + LATE_GRACE);
}

/// Guards against taking a stream for stalled when the VM itself was frozen: it reads the events that arrived meanwhile
/// as soon as it continues.
#[test]
fn stream_is_not_stalled_if_its_vm_was_frozen() {
    let admitted = digest();
    let mut detector = StallDetector::new(Time(3_600));
    detector.on_event(&admitted, Time(500));
    let resumed_at = Time(9_000);
    assert_eq!(detector.event_timeout(resumed_at), LATE_GRACE);
    detector.on_event(&admitted, resumed_at + Millis(20));
    assert!(detector.event_timeout(resumed_at + Millis(2_000)) > Millis(0));
}
