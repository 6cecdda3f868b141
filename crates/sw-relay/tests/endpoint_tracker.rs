//! Estimates of the load of an endpoint.

use sw_relay::EndpointTracker;
use sw_unit::Time;

#[test]
fn queued_prompts_add_to_the_backlog() {
    let mut load = EndpointTracker::default();
    let first = load.on_dispatch(100.0, Time(0), Time(0));
    load.on_dispatch(200.0, Time(0), Time(0));
    assert!((load.backlog_ms(Time(0)) - 300.0).abs() < 1.0);
    assert!((load.backlog_ms(Time(60)) - 240.0).abs() < 1.0);
    load.on_prefill_done(first, Time(100));
    assert!((load.backlog_ms(Time(100)) - 200.0).abs() < 1.0);
}

/// An engine that other senders keep busy, or that hangs, responds to none of its prompts for a long time.
#[test]
fn an_engine_that_is_late_is_expected_to_stay_late() {
    let mut load = EndpointTracker::default();
    load.on_dispatch(50.0, Time(0), Time(0));
    assert!(load.backlog_ms(Time(1_500)) > 1_000.0);
}

#[test]
fn a_request_that_ends_without_an_event_leaves_the_backlog() {
    let mut load = EndpointTracker::default();
    let entry_id = load.on_dispatch(100.0, Time(0), Time(0));
    load.on_end(entry_id, Time(10));
    assert!(load.backlog_ms(Time(10)) < 1.0);
    assert_eq!(load.running, 0);
}

/// An engine processes later prompts while the shared parts of an earlier one are being transferred.
#[test]
fn a_prompt_in_transfer_is_not_late() {
    let mut load = EndpointTracker::default();
    load.on_dispatch(50.0, Time(600), Time(0));
    let behind = load.on_dispatch(100.0, Time(0), Time(0));
    assert!((load.backlog_ms(Time(80)) - 70.0).abs() < 1.0);
    load.on_prefill_done(behind, Time(100));
    assert!((load.backlog_ms(Time(500)) - 50.0).abs() < 1.0);
    assert!((load.backlog_ms(Time(620)) - 30.0).abs() < 1.0);
}
