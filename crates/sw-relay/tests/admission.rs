//! Who is refused: more prompts than the engines read in time.

mod support;

use support::{admit, endpoint, prompt, prompt_with_output, register, relay, slow_engine};
use sw_error::Kind;
use sw_relay::{AttemptHistory, AttemptOutcome, Choice, Relay};
use sw_unit::{EndpointId, Millis, Time};

/// Sends prompts of `tokens` to the only engine until one is refused, and returns how many were sent.
fn fill(relay: &mut Relay, route: &str, tokens: u64, now: Time) -> usize {
    for sent in 0..1_000 {
        let admitted = admit(relay, route, Some(prompt(sent as u64, 0, tokens)), now);
        let Ok(Choice::Endpoint { endpoint, .. }) = relay.choose(&admitted, &AttemptHistory::default(), now) else {
            return sent;
        };
        assert!(relay.start_attempt(&admitted, &endpoint, None, now).is_some());
    }
    panic!("nothing was refused");
}

/// The pattern: a region is evacuated while many users ask at once, and every prompt that is let in makes those
/// behind it late, until callers leave streams that the engines still read for.
#[test]
fn a_prompt_that_cannot_begin_within_its_objective_is_refused_at_once() {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let sent = fill(&mut relay, "query", 4_000, Time(0));
    let ahead = relay
        .load(&endpoint("e-1", "engines", "north").id)
        .expect("a load")
        .backlog_ms(Time(0));
    assert!(
        (900.0..=1_300.0).contains(&ahead),
        "{sent} prompts are {ahead} ms ahead"
    );
    let admitted = admit(&mut relay, "query", Some(prompt(1, 0, 4_000)), Time(0));
    let refusal = relay
        .choose(&admitted, &AttemptHistory::default(), Time(0))
        .expect_err("refused");
    assert_eq!(refusal.kind, Kind::DeadlineUnreachable);
    let after = refusal.retry_after.expect("a time to come back");
    assert!(after >= Millis(100) && after.0 <= admitted.remaining(Time(0)).0 / 3);
}

#[test]
fn a_long_prompt_is_not_refused_for_its_own_length() {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let admitted = admit(&mut relay, "digest", Some(prompt(1, 0, 80_000)), Time(0));
    assert!(relay.choose(&admitted, &AttemptHistory::default(), Time(0)).is_ok());
}

#[test]
fn a_stream_that_broke_is_resumed_also_when_new_ones_are_refused() {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let admitted = admit(&mut relay, "digest", Some(prompt(1, 0, 4_000)), Time(0));
    fill(&mut relay, "digest", 4_000, Time(0));
    let mut tried = AttemptHistory::default();
    let broken: EndpointId = "e-0".parse().expect("an id");
    tried.record_endpoint(&broken, Some(AttemptOutcome::Broken));
    assert!(relay.choose(&admitted, &tried, Time(0)).is_ok());
}

fn long_answer(relay: &mut Relay, output: u64, tried: &AttemptHistory) -> Result<Choice, sw_error::Refusal> {
    let admitted = admit(relay, "digest", Some(prompt_with_output(output)), Time(100));
    relay.choose(&admitted, tried, Time(100))
}

/// The pattern: engines that read prompts all the time still begin each answer soon, but make so few tokens that long
/// answers do not end before their callers leave; all that was made of them is in vain, and it slows short ones.
#[test]
fn a_stream_that_cannot_end_in_time_is_refused_at_once() {
    let refusal = long_answer(&mut slow_engine(600), 400, &AttemptHistory::default()).expect_err("refused");
    assert_eq!(refusal.kind, Kind::DeadlineUnreachable);
    assert!(refusal.retry_after.is_some_and(|after| after >= Millis(100)));
    assert!(
        long_answer(&mut slow_engine(600), 40, &AttemptHistory::default()).is_ok(),
        "a short one"
    );
    assert!(
        long_answer(&mut slow_engine(100), 400, &AttemptHistory::default()).is_ok(),
        "a fast engine"
    );
}

#[test]
fn a_stream_that_has_begun_goes_on_also_if_it_may_end_late() {
    let mut tried = AttemptHistory::default();
    tried.record_endpoint(&"e-0".parse().expect("an id"), Some(AttemptOutcome::Broken));
    assert!(long_answer(&mut slow_engine(600), 400, &tried).is_ok());
}

/// The pattern: a stream breaks in another region, whose VM forwards what is left of it to a region that is busy.
#[test]
fn a_forwarded_stream_that_has_begun_elsewhere_is_not_refused_for_beginning_late() {
    let mut relay = relay();
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    fill(&mut relay, "digest", 4_000, Time(0));
    let head = support::head("digest", Some(prompt(1, 0, 4_000)));
    let mut admitted = relay.admit(head, Time(0), true).expect("admitted");
    assert!(relay.choose(&admitted, &AttemptHistory::default(), Time(0)).is_err());
    admitted.resumed = true;
    assert!(relay.choose(&admitted, &AttemptHistory::default(), Time(0)).is_ok());
}
