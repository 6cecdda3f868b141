//! Placement of prompts that share a part.

mod support;

use std::collections::BTreeSet;

use support::{admit, endpoint, prompt, register, relay};
use sw_relay::{AttemptHistory, Choice, Relay};
use sw_unit::Time;

fn vm() -> Relay {
    let mut relay = relay();
    for index in 1..=4 {
        register(&mut relay, endpoint(&format!("e-{index}"), "engines", "north"), Time(0));
    }
    relay
}

/// Sends a request about `subject`, completes its prefill, and returns the endpoint.
fn send(relay: &mut Relay, subject: u64, now: Time) -> String {
    let admitted = admit(relay, "digest", Some(prompt(subject, 5_000, 500)), now);
    let choice = relay
        .choose(&admitted, &AttemptHistory::default(), now)
        .expect("a choice");
    let Choice::Endpoint { endpoint, .. } = choice else {
        panic!("{choice:?} leaves the region");
    };
    let mut attempt = relay
        .start_attempt(&admitted, &endpoint, None, now)
        .expect("an attempt");
    relay.on_first_event(&mut attempt, now);
    endpoint.id.to_string()
}

/// Each VM of a region receives some of the requests about the same subjects.
#[test]
fn all_vms_send_a_shared_part_to_the_same_engine() {
    let (mut one, mut other) = (vm(), vm());
    let mut used = BTreeSet::new();
    for subject in 0..20 {
        let engine = send(&mut one, subject, Time(1_000));
        assert_eq!(engine, send(&mut other, subject, Time(1_000)));
        assert_eq!(
            engine,
            send(&mut one, subject, Time(1_500)),
            "it stays where its prefill was done"
        );
        used.insert(engine);
    }
    assert_eq!(used.len(), 4, "subjects are spread over all engines");
}

#[test]
fn a_shared_part_goes_elsewhere_when_its_engine_is_late() {
    let mut relay = vm();
    let home = send(&mut relay, 7, Time(1_000));
    let mut engines = BTreeSet::new();
    for _ in 0..40 {
        let admitted = admit(&mut relay, "digest", Some(prompt(7, 5_000, 4_000)), Time(2_000));
        if let Ok(Choice::Endpoint { endpoint, .. }) = relay.choose(&admitted, &AttemptHistory::default(), Time(2_000))
        {
            relay.start_attempt(&admitted, &endpoint, None, Time(2_000));
            engines.insert(endpoint.id.to_string());
        }
    }
    assert!(engines.contains(&home) && engines.len() > 1, "{engines:?}");
}
