//! When a request goes to another region.
//!
//! The pattern: the engines of a region read prompts all the time. First events still come within the objective, but
//! each of the following ones waits for a part of a prompt to be read, and long answers do not end before their
//! callers leave, while the engines of another region are idle.

mod support;

use support::{admit, beat, endpoint, prompt, register, relay, row, service};
use sw_relay::{Choice, Relay, ServiceLoad, Tried};
use sw_unit::{Millis, Time, Tokens};

/// A VM whose only engine takes `gap_ms` between events, and which hears that the engines in the south are idle.
fn vm(gap_ms: u64) -> Relay {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let admitted = admit(&mut relay, "digest", Some(prompt(1, 0, 500)), Time(0));
    let mut attempt = relay
        .begin(&admitted, &endpoint("e-1", "engines", "north"), None, Time(0))
        .expect("an attempt");
    relay.first_event(&mut attempt, Time(50));
    for _ in 0..40 {
        relay.event_gap(&mut attempt, Millis(gap_ms), Time(100));
    }
    let idle = ServiceLoad {
        service: service("engines"),
        usable: 4,
        wait_ms: 0.0,
        gap_ms: 45.0,
    };
    relay.heard(beat(row("vm-9", "south"), vec![idle]), Time(100));
    relay
}

/// Whether a request for `output` tokens goes south.
fn goes_south(relay: &mut Relay, output: u64) -> bool {
    let mut prompt = prompt(1, 0, 500);
    prompt.output_max = Tokens(output);
    let admitted = admit(relay, "digest", Some(prompt), Time(100));
    let choice = relay.choose(&admitted, &Tried::default(), Time(100));
    matches!(choice, Ok(Choice::Vm { .. }))
}

#[test]
fn a_long_answer_that_would_end_too_late_goes_to_an_idle_region() {
    assert!(goes_south(&mut vm(500), 400));
}

#[test]
fn a_short_answer_stays() {
    assert!(!goes_south(&mut vm(500), 30));
}

#[test]
fn a_long_answer_stays_where_it_ends_in_time() {
    assert!(!goes_south(&mut vm(80), 400));
}
