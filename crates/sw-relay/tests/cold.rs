//! Sharing the rate of a cold endpoint.

mod support;

use support::{COLD_RATE, admit, beat, endpoint, prompt, register, relay, row};
use sw_relay::{Relay, Tried};
use sw_unit::{Millis, Time};

/// Share beyond the rate, and requests beyond that, that a cold endpoint bears in a second.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 3.0;

/// Sends what a VM would send to its cold endpoints between `from` and `to`, trying every 10 ms.
fn send_all(relay: &mut Relay, from: u64, to: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for ms in (from..to).step_by(10) {
        let now = Time(ms);
        let admitted = admit(relay, "digest", Some(prompt(1, 100, 100)), now);
        let Ok(sw_relay::Choice::Endpoint { endpoint, .. }) = relay.choose(&admitted, &Tried::default(), now) else {
            continue;
        };
        if relay.begin(&admitted, &endpoint, now).is_some() {
            sent.push(ms);
        }
    }
    sent
}

fn cold_vm(others: usize) -> Relay {
    let mut relay = relay();
    let mut cold = endpoint("e-1", "engines", "north");
    cold.cold_for = Millis(3_000);
    register(&mut relay, cold, Time(0));
    for index in 1..=others {
        relay.heard(beat(row(&format!("vm-{index}"), "north"), Vec::new()), Time(10));
    }
    relay
}

#[test]
fn all_vms_together_keep_to_the_rate_of_a_cold_endpoint() {
    for vms in 1..=6 {
        let mut sent: Vec<u64> = Vec::new();
        for _ in 0..vms {
            sent.extend(send_all(&mut cold_vm(vms - 1), 20, 3_000));
        }
        for start in (0..3_000).step_by(50) {
            let in_second = sent.iter().filter(|ms| (start..start + 1_000).contains(*ms)).count();
            assert!(
                in_second as f64 <= COLD_RATE * OVERSHOOT + SLACK,
                "{vms} VMs sent {in_second}"
            );
        }
        assert!(!sent.is_empty());
    }
}

#[test]
fn a_vm_that_does_not_know_the_others_yet_sends_nothing_to_a_cold_endpoint() {
    assert_eq!(send_all(&mut cold_vm(0), 20, 1_400), Vec::<u64>::new());
    assert!(!send_all(&mut cold_vm(0), 1_500, 2_500).is_empty());
}
