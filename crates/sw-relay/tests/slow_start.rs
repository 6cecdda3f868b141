//! Slow start of a cold endpoint that several VMs send to.

mod support;

use support::{COLD_RATE, admit, endpoint, heartbeat, prompt, register, relay_of, row};
use sw_relay::{AttemptHistory, AttemptOutcome, Relay};
use sw_unit::{Millis, Time};

/// Factor on the rate, and additional requests, that a cold endpoint can handle in one second.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 3.0;

/// Sends a request every 10 ms between `from` and `to` if the VM allows it, and returns the times of those sent.
fn send_all(relay: &mut Relay, from: u64, to: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for ms in (from..to).step_by(10) {
        let now = Time(ms);
        let admitted = admit(relay, "digest", Some(prompt(1, 100, 100)), now);
        let Ok(sw_relay::Choice::Endpoint { endpoint, .. }) = relay.choose(&admitted, &AttemptHistory::default(), now)
        else {
            continue;
        };
        if let Some(mut attempt) = relay.start_attempt(&admitted, &endpoint, None, now) {
            relay.on_first_event(&mut attempt, now);
            relay.end_attempt(&attempt, AttemptOutcome::Complete, now);
            sent.push(ms);
        }
    }
    sent
}

/// Returns the VM with index `index` of `vms` VMs in a region with one endpoint, which is cold until 6,000 ms.
fn cold_vm(index: usize, vms: usize) -> Relay {
    let mut relay = relay_of(&format!("vm-{index:02}"));
    let mut cold = endpoint("e-1", "engines", "north");
    cold.cold_for = Millis(6_000);
    // Each VM learns of the endpoint at a different time, with the cold time from when the registration was written.
    register(&mut relay, cold, Time(index as u64 * 37 % 400));
    for other in (0..vms).filter(|other| *other != index) {
        relay.on_heartbeat(heartbeat(row(&format!("vm-{other:02}"), "north"), Vec::new()), Time(10));
    }
    relay
}

/// A server of a failure domain with many VMs restarts cold while all of them are busy.
#[test]
fn all_vms_together_keep_to_the_rate_of_a_cold_endpoint() {
    for vms in [1, 2, 3, 6, 11, 22] {
        let sent: Vec<u64> = (0..vms)
            .flat_map(|index| send_all(&mut cold_vm(index, vms), 20, 6_000))
            .collect();
        for start in (0..6_000).step_by(50) {
            let in_second = sent.iter().filter(|ms| (start..start + 1_000).contains(*ms)).count();
            assert!(
                in_second as f64 <= COLD_RATE * OVERSHOOT + SLACK,
                "{vms} VMs sent {in_second}"
            );
        }
        assert!(sent.len() >= 4, "{vms} VMs sent only {}", sent.len());
    }
}

#[test]
fn a_vm_that_has_just_started_sends_nothing_to_a_cold_endpoint() {
    assert_eq!(send_all(&mut cold_vm(0, 3), 20, 1_900), Vec::<u64>::new());
    assert!(!send_all(&mut cold_vm(0, 3), 2_000, 5_000).is_empty());
}

/// Guards against a registration from before the endpoint became cold, written late or read from an older copy of the store, that
/// makes a cold endpoint warm.
#[test]
fn an_older_registration_does_not_end_a_slow_start() {
    let mut relay = cold_vm(0, 1);
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(2_100));
    let sent = send_all(&mut relay, 2_100, 3_100);
    assert!(sent.len() as f64 <= COLD_RATE * OVERSHOOT + SLACK, "{sent:?}");
}

/// Guards against a new process under a known id that stays cold because an earlier one was.
#[test]
fn a_new_incarnation_that_is_warm_ends_a_slow_start() {
    let mut relay = cold_vm(0, 1);
    let mut restarted = endpoint("e-1", "engines", "north");
    restarted.incarnation = sw_unit::Incarnation(2);
    register(&mut relay, restarted, Time(2_100));
    assert!(send_all(&mut relay, 2_100, 3_100).len() > 50);
}
