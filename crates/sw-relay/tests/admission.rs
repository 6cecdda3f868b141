//! Requests that are refused because the engines cannot prefill their prompts in time.

mod support;

use support::{admit, endpoint, prompt, prompt_with_output, register, relay, slow_engine};
use sw_error::Kind;
use sw_relay::{AttemptHistory, AttemptOutcome, Choice, Relay};
use sw_unit::{EndpointId, Millis, Time};

/// Sends prompts of `tokens` to the only engine until one is refused, and returns the number sent.
fn fill_queue(relay: &mut Relay, route: &str, tokens: u64, now: Time) -> usize {
    for sent in 0..1_000 {
        let admitted = admit(relay, route, Some(prompt(sent as u64, 0, tokens)), now);
        let Ok(Choice::Endpoint { endpoint, .. }) = relay.choose(&admitted, &AttemptHistory::default(), now) else {
            return sent;
        };
        assert!(relay.start_attempt(&admitted, &endpoint, None, now).is_some());
    }
    panic!("nothing was refused");
}

/// Guards against admitting more prompts than the engines can prefill, as when a region is evacuated under load: each
/// one delays those behind it, until callers disconnect from streams whose prompts are still in prefill.
#[test]
fn prompt_that_would_miss_its_objective_is_refused() {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let sent = fill_queue(&mut relay, "query", 4_000, Time(0));
    let backlog_ms = relay
        .load(&endpoint("e-1", "engines", "north").id)
        .expect("a load")
        .backlog_ms(Time(0));
    assert!(
        (900.0..=1_300.0).contains(&backlog_ms),
        "{sent} prompts make a backlog of {backlog_ms} ms"
    );
    let admitted = admit(&mut relay, "query", Some(prompt(1, 0, 4_000)), Time(0));
    let refusal = relay
        .choose(&admitted, &AttemptHistory::default(), Time(0))
        .expect_err("refused");
    assert_eq!(refusal.kind, Kind::DeadlineUnreachable);
    let after = refusal.retry_after.expect("a retry time");
    assert!(after >= Millis(100) && after.0 <= admitted.remaining(Time(0)).0 / 3);
}

#[test]
fn long_prompt_is_not_refused_for_its_own_prefill() {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let admitted = admit(&mut relay, "digest", Some(prompt(1, 0, 80_000)), Time(0));
    assert!(relay.choose(&admitted, &AttemptHistory::default(), Time(0)).is_ok());
}

#[test]
fn broken_stream_is_resumed_while_new_ones_are_refused() {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let admitted = admit(&mut relay, "digest", Some(prompt(1, 0, 4_000)), Time(0));
    fill_queue(&mut relay, "digest", 4_000, Time(0));
    let mut history = AttemptHistory::default();
    let broken: EndpointId = "e-0".parse().expect("an id");
    history.record_endpoint(&broken, Some(AttemptOutcome::Broken));
    assert!(relay.choose(&admitted, &history, Time(0)).is_ok());
}

fn choose_for_output(relay: &mut Relay, output: u64, history: &AttemptHistory) -> Result<Choice, sw_error::Refusal> {
    let admitted = admit(relay, "digest", Some(prompt_with_output(output)), Time(100));
    relay.choose(&admitted, history, Time(100))
}

/// Guards against starting streams that cannot finish: engines that prefill all the time send the first event soon, but
/// decode so slowly that long responses do not end before their deadlines. The tokens decoded until then are wasted and
/// slow down short responses.
#[test]
fn stream_that_cannot_end_in_time_is_refused() {
    let refusal = choose_for_output(&mut slow_engine(600), 400, &AttemptHistory::default()).expect_err("refused");
    assert_eq!(refusal.kind, Kind::DeadlineUnreachable);
    assert!(refusal.retry_after.is_some_and(|after| after >= Millis(100)));
    assert!(
        choose_for_output(&mut slow_engine(600), 40, &AttemptHistory::default()).is_ok(),
        "a short one"
    );
    assert!(
        choose_for_output(&mut slow_engine(100), 400, &AttemptHistory::default()).is_ok(),
        "a fast engine"
    );
}

#[test]
fn started_stream_is_resumed_even_if_it_may_end_late() {
    let mut history = AttemptHistory::default();
    history.record_endpoint(&"e-0".parse().expect("an id"), Some(AttemptOutcome::Broken));
    assert!(choose_for_output(&mut slow_engine(600), 400, &history).is_ok());
}

/// Guards against refusing a resumed stream: a stream breaks in another region, whose VM forwards the rest of it to a
/// busy region.
#[test]
fn forwarded_resumed_stream_is_not_refused_for_a_late_first_event() {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    fill_queue(&mut relay, "digest", 4_000, Time(0));
    let head = support::head("digest", Some(prompt(1, 0, 4_000)));
    let mut admitted = relay.admit(head, Time(0), true).expect("admitted");
    assert!(relay.choose(&admitted, &AttemptHistory::default(), Time(0)).is_err());
    admitted.resumed = true;
    assert!(relay.choose(&admitted, &AttemptHistory::default(), Time(0)).is_ok());
}
