//! Handshakes that take longer than a probe waits, on a path that is not lost.
//!
//! A link that is full for a second delays new connections, while bytes of endpoints still arrive on open ones. Only the
//! silence of the endpoint itself shows that the path to it is lost, and only the silence of all that a service is cut off.

mod support;

use support::{admit, endpoint, prompt, register, relay};
use sw_relay::{Attempt, AttemptOutcome, EndpointEntry, PathFailure, Relay};
use sw_unit::{Millis, Time};

const ENDPOINTS: usize = 8;
/// When the probes begin.
const BEGUN_AT: Time = Time(10_000);
/// How long a probe waits.
const PROBE_TIME: Millis = Millis(250);
/// Time within which a VM must notice that no new connection is made any more, although it hears of the endpoints.
const CONTACT: Millis = Millis(5_000);

fn entry(index: usize) -> EndpointEntry {
    endpoint(&format!("e-{index}"), "engines", "north")
}

/// A VM to which each endpoint sends a stream, whose first event was received long before the probes begin.
fn vm() -> (Relay, Vec<Attempt>) {
    let mut relay = relay();
    let streams = (0..ENDPOINTS).map(|index| {
        register(&mut relay, entry(index), Time(0));
        let admitted = admit(&mut relay, "digest", Some(prompt(1, 0, 500)), Time(0));
        let attempt = relay.start_attempt(&admitted, &entry(index), None, Time(0));
        let mut attempt = attempt.expect("an attempt");
        relay.on_first_event(&mut attempt, Time(50));
        attempt
    });
    let streams = streams.collect();
    (relay, streams)
}

/// Receives an event of each of the given streams.
fn receive(relay: &mut Relay, streams: &mut [Attempt], now: Time) {
    for stream in streams {
        relay.record_gap(stream, Millis(200), now);
    }
}

/// Lets probes of the first three endpoints fail that began at `begun_at`.
fn fail_probes(relay: &mut Relay, failure: PathFailure, begun_at: Time) {
    let probes: Vec<_> = (0..3).map(|index| (entry(index), Err(failure))).collect();
    relay.on_path_sample(&probes, begun_at, begun_at + PROBE_TIME);
}

/// Guards against a VM that takes itself for cut off because its link is full, while all endpoints send events.
#[test]
fn endpoints_that_send_events_have_a_path() {
    let (mut relay, mut streams) = vm();
    receive(&mut relay, &mut streams, BEGUN_AT + Millis(100));
    fail_probes(&mut relay, PathFailure::Timeout, BEGUN_AT);
    assert_eq!(relay.lost_paths(), (0, 0));
}

/// Guards against a service that is taken for cut off because of three silent endpoints, while others send events.
#[test]
fn a_service_of_which_an_endpoint_sends_events_is_not_cut_off() {
    let (mut relay, mut streams) = vm();
    receive(&mut relay, &mut streams[3..4], BEGUN_AT + Millis(100));
    fail_probes(&mut relay, PathFailure::Timeout, BEGUN_AT);
    assert_eq!(relay.lost_paths(), (3, 0));
}

/// Guards against a path that is taken for lost because a request could not connect in time, while the endpoint sends events.
#[test]
fn an_endpoint_that_sends_events_has_a_path_if_a_request_cannot_connect() {
    let (mut relay, mut streams) = vm();
    let admitted = admit(&mut relay, "digest", Some(prompt(2, 0, 500)), BEGUN_AT);
    // The silent endpoint first: once a handshake with the other one is slow, its silence shows nothing.
    for index in [1, 0] {
        let attempt = relay.start_attempt(&admitted, &entry(index), None, BEGUN_AT);
        receive(&mut relay, &mut streams[..1], BEGUN_AT + Millis(100));
        let attempt = attempt.expect("an attempt");
        relay.end_attempt(&attempt, AttemptOutcome::Unreachable, BEGUN_AT + Millis(750));
        assert_eq!(relay.has_path(&entry(index).id), index == 0, "endpoint {index}");
    }
}

/// Guards against the path to an endpoint that is silent by chance, while handshakes are slow with others that send events.
#[test]
fn silent_endpoints_have_a_path_while_handshakes_with_others_are_slow() {
    let (mut relay, mut streams) = vm();
    receive(&mut relay, &mut streams[2..3], BEGUN_AT + Millis(100));
    fail_probes(&mut relay, PathFailure::Timeout, BEGUN_AT);
    assert_eq!(relay.lost_paths(), (0, 0));
    let admitted = admit(&mut relay, "digest", Some(prompt(2, 0, 500)), BEGUN_AT);
    let attempt = relay.start_attempt(&admitted, &entry(7), None, BEGUN_AT);
    relay.end_attempt(
        &attempt.expect("an attempt"),
        AttemptOutcome::Unreachable,
        BEGUN_AT + Millis(750),
    );
    assert_eq!(relay.lost_paths(), (0, 0), "a request that could not connect");
}

/// Guards against a path that is not found to be lost because one endpoint answers no handshake, while others do.
#[test]
fn a_silent_endpoint_has_no_path_if_a_handshake_succeeds() {
    let (mut relay, mut streams) = vm();
    receive(&mut relay, &mut streams[2..3], BEGUN_AT + Millis(100));
    let probes = [
        (entry(0), Err(PathFailure::Timeout)),
        (entry(1), Ok(())),
        (entry(2), Err(PathFailure::Timeout)),
    ];
    relay.on_path_sample(&probes, BEGUN_AT, BEGUN_AT + PROBE_TIME);
    assert_eq!(relay.lost_paths(), (1, 0));
    assert!(!relay.has_path(&entry(0).id));
}

/// Guards against a cut that is noticed late because handshakes were slow before it.
#[test]
fn slow_handshakes_before_a_cut_do_not_hide_it() {
    let (mut relay, mut streams) = vm();
    receive(&mut relay, &mut streams, BEGUN_AT + Millis(100));
    fail_probes(&mut relay, PathFailure::Timeout, BEGUN_AT);
    assert_eq!(relay.lost_paths(), (0, 0));
    fail_probes(&mut relay, PathFailure::Timeout, BEGUN_AT + PROBE_TIME + Millis(400));
    assert_eq!(relay.lost_paths(), (ENDPOINTS, 1));
}

/// Guards against probes that say little: of endpoints that send nothing, a slow handshake and a lost path look alike.
#[test]
fn probes_prefer_endpoints_that_send_events() {
    let (mut relay, mut streams) = vm();
    receive(&mut relay, &mut streams[5..7], BEGUN_AT);
    let sample = relay.path_sample(&entry(0));
    let mut others: Vec<_> = sample[1..].iter().map(|entry| entry.id.to_string()).collect();
    others.sort();
    assert_eq!(others, ["e-5", "e-6"]);
}

/// Guards against a cut that is noticed late, because bytes were received until just before the probes began.
#[test]
fn a_service_that_falls_silent_is_cut_off_at_once() {
    let (mut relay, mut streams) = vm();
    receive(&mut relay, &mut streams, BEGUN_AT);
    fail_probes(&mut relay, PathFailure::Timeout, BEGUN_AT);
    assert_eq!(relay.lost_paths(), (ENDPOINTS, 1));
}

/// Guards against lost paths that open connections hide: new ones are refused, which no full link does.
#[test]
fn refused_connections_are_lost_paths_although_endpoints_send_events() {
    let (mut relay, mut streams) = vm();
    receive(&mut relay, &mut streams, BEGUN_AT + Millis(100));
    fail_probes(&mut relay, PathFailure::Refused, BEGUN_AT);
    assert!((0..3).all(|index| !relay.has_path(&entry(index).id)));
}

/// Guards against requests that wait for connections for good, because open connections live on while new ones hang.
#[test]
fn paths_on_which_no_connection_is_made_for_long_are_lost() {
    let (mut relay, mut streams) = vm();
    for since in (0..CONTACT.0).step_by(500) {
        let begun_at = BEGUN_AT + Millis(since);
        receive(&mut relay, &mut streams, begun_at + Millis(100));
        fail_probes(&mut relay, PathFailure::Timeout, begun_at);
    }
    assert!((0..3).all(|index| !relay.has_path(&entry(index).id)));
}

/// Guards against the same belief because of handshakes that were slow long ago, or that succeeded in between.
#[test]
fn slow_handshakes_long_ago_do_not_count() {
    let (mut relay, mut streams) = vm();
    for since in [0, CONTACT.0 * 4, CONTACT.0 * 8] {
        let begun_at = BEGUN_AT + Millis(since);
        receive(&mut relay, &mut streams, begun_at + Millis(100));
        fail_probes(&mut relay, PathFailure::Timeout, begun_at);
        assert_eq!(relay.lost_paths(), (0, 0), "after {since} ms");
    }
    let again_at = BEGUN_AT + CONTACT + CONTACT;
    for since in (0..CONTACT.0 * 2).step_by(500) {
        let begun_at = again_at + CONTACT + Millis(CONTACT.0 * 8 + since);
        receive(&mut relay, &mut streams, begun_at + Millis(100));
        fail_probes(&mut relay, PathFailure::Timeout, begun_at);
        if since % 1_000 == 500 {
            (0..3).for_each(|index| relay.on_path_open(&entry(index), begun_at + Millis(300)));
        }
        assert_eq!(relay.lost_paths(), (0, 0), "after {since} ms");
    }
}
