//! Spillover to another region.
//!
//! The engines of a region are busy with prefill. First events still arrive within the objective, but each following
//! event waits for a piece of prefill. Long responses do not end before their callers close the connection, although
//! the engines of another region are idle.

mod support;

use support::{admit, heartbeat, prompt_with_output, row, service, slow_engine};
use sw_relay::{AttemptHistory, Choice, Relay, ServiceLoad};
use sw_unit::Time;

/// A VM whose only engine has a gap of `gap_ms` between events, and that knows of idle engines in the south.
fn vm(gap_ms: u64) -> Relay {
    let mut relay = slow_engine(gap_ms);
    let idle = ServiceLoad {
        service: service("engines"),
        usable: 4,
        wait_ms: 0.0,
        gap_ms: 45.0,
    };
    relay.on_heartbeat(heartbeat(row("vm-9", "south"), vec![idle]), Time(100));
    relay
}

/// Whether a request with a response of `output` tokens spills to the south.
fn spills_south(relay: &mut Relay, output: u64) -> bool {
    let admitted = admit(relay, "digest", Some(prompt_with_output(output)), Time(100));
    let choice = relay.choose(&admitted, &AttemptHistory::default(), Time(100));
    matches!(choice, Ok(Choice::Vm { .. }))
}

#[test]
fn a_long_response_that_would_end_too_late_spills_to_an_idle_region() {
    assert!(spills_south(&mut vm(500), 400));
}

#[test]
fn a_short_response_stays_local() {
    assert!(!spills_south(&mut vm(500), 30));
}

#[test]
fn a_long_response_stays_local_if_it_ends_in_time() {
    assert!(!spills_south(&mut vm(80), 400));
}

/// A failure domain is evacuated, and the short prompts of all its callers go to another region, which starts them in
/// time.
#[test]
fn a_steady_stream_of_forwards_does_not_fill_a_region_that_keeps_up() {
    let mut relay = support::relay();
    let busy = ServiceLoad {
        service: service("engines"),
        usable: 4,
        wait_ms: 250.0,
        gap_ms: 45.0,
    };
    relay.on_heartbeat(heartbeat(row("vm-9", "south"), vec![busy]), Time(0));
    for at in (0..1_500).step_by(15) {
        let admitted = admit(&mut relay, "query", Some(support::prompt(1, 0, 400)), Time(at));
        let choice = relay.choose(&admitted, &AttemptHistory::default(), Time(at));
        assert!(matches!(choice, Ok(Choice::Vm { .. })), "{at}: {choice:?}");
    }
}

/// The same load within a moment exceeds the capacity of the region.
#[test]
fn a_burst_of_forwards_fills_a_region() {
    let mut relay = support::relay();
    let busy = ServiceLoad {
        service: service("engines"),
        usable: 4,
        wait_ms: 250.0,
        gap_ms: 45.0,
    };
    relay.on_heartbeat(heartbeat(row("vm-9", "south"), vec![busy]), Time(0));
    let mut forward = |_| {
        let admitted = admit(&mut relay, "query", Some(support::prompt(1, 0, 4_000)), Time(100));
        relay.choose(&admitted, &AttemptHistory::default(), Time(100)).is_ok()
    };
    let forwarded = (0..100).filter(|index| forward(*index)).count();
    assert!((5..50).contains(&forwarded), "{forwarded}");
}
