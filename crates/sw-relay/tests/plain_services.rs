//! Plain services before many VMs.
//!
//! The pattern: some hundred VMs send to two endpoints with few slots and a short queue. Each VM's own share is a
//! request or two at a time, so none sees that an endpoint is full before it rejects.

mod support;

use std::collections::HashMap;

use support::{admit, endpoint, heartbeat, register, relay_of, row, service};
use sw_relay::{AttemptHistory, AttemptOutcome, Choice, Relay, Reservation, ReservationUpdate};
use sw_unit::{Millis, Time};

const VMS: usize = 60;
/// Slots and queue of an endpoint.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Time that a request takes.
const SERVICE_MS: u64 = 60;

fn name(vm: usize) -> String {
    format!("vm-{vm:03}")
}

fn vms() -> Vec<Relay> {
    let mut vms: Vec<_> = (0..VMS).map(|vm| relay_of(&name(vm))).collect();
    for (place, relay) in vms.iter_mut().enumerate() {
        for of in ["a-1", "a-2"] {
            register(relay, endpoint(of, "app", "north"), Time(0));
        }
        hear_all(relay, place, Time(0));
    }
    vms
}

/// Lets the VM `place` hear of all others, which tell nothing of what they send.
fn hear_all(relay: &mut Relay, place: usize, now: Time) {
    for other in (0..VMS).filter(|other| *other != place) {
        relay.on_heartbeat(heartbeat(row(&name(other), "north"), Vec::new()), now);
    }
    relay.tick(now);
}

/// A request that runs: the VM that sent it, the one that granted it, and until when.
struct Running {
    vm: usize,
    granted: Option<(usize, u64)>,
    attempt: sw_relay::Attempt,
    until: u64,
}

/// Sends `per_s` requests a second for ten seconds, and returns the most that were at one endpoint at a time after half
/// of that, when the VMs have seen what a request takes, and how many each endpoint got.
fn offer(per_s: u64) -> (usize, HashMap<String, usize>) {
    let mut vms = vms();
    let (mut running, mut most) = (Vec::<Running>::new(), 0);
    let mut got: HashMap<String, usize> = HashMap::new();
    let mut busy_until: HashMap<String, Vec<u64>> = HashMap::new();
    for at in 0..10 * per_s {
        let ms = at * 1_000 / per_s;
        let now = Time(ms);
        for done in running.extract_if(.., |running| running.until <= ms) {
            vms[done.vm].end_attempt(&done.attempt, AttemptOutcome::Complete, now);
            if let Some((vm, ticket)) = done.granted {
                vms[vm].on_reservation_update(&done.attempt.endpoint.id, ticket, ReservationUpdate::Ended, now);
            }
        }
        if at % per_s == 0 {
            let each = vms.iter_mut().enumerate();
            each.for_each(|(place, relay)| hear_all(relay, place, now));
        }
        let vm = at as usize * 7 % VMS;
        let admitted = admit(&mut vms[vm], "pay", None, now);
        let mut tried = AttemptHistory::default();
        while let Ok(Choice::Endpoint {
            endpoint, coordinator, ..
        }) = vms[vm].choose(&admitted, &tried, now)
        {
            let mut granted = None;
            if let Some(coordinator) = &coordinator {
                let asked: usize = coordinator.vm.as_str()["vm-".len()..].parse().expect("a number");
                match vms[asked].reserve(&coordinator.reservation, now) {
                    Ok(place) => granted = Some((asked, place)),
                    Err(wait) => {
                        vms[vm].record_queue_estimate(coordinator, wait, 0.0, now);
                        tried.record_declined(&endpoint.id, wait.expected_ms);
                        continue;
                    }
                }
            }
            let place = granted.as_ref().map(|(_, place)| place);
            let attempt = vms[vm]
                .start_attempt(&admitted, &endpoint, place, now)
                .expect("an attempt");
            // The endpoint runs as many at a time as it has slots.
            let slots = busy_until.entry(endpoint.id.to_string()).or_insert(vec![0; SLOTS]);
            let slot = slots.iter_mut().min().expect("a slot");
            *slot = ms.max(*slot) + SERVICE_MS;
            *got.entry(endpoint.id.to_string()).or_default() += 1;
            running.push(Running {
                vm,
                granted: granted.map(|(vm, place)| (vm, place.entry_id)),
                attempt,
                until: *slot,
            });
            break;
        }
        for of in ["a-1", "a-2"].into_iter().filter(|_| ms > 5_000) {
            let at = running
                .iter()
                .filter(|running| running.attempt.endpoint.id.as_str() == of);
            most = most.max(at.count());
        }
    }
    (most, got)
}

#[test]
fn no_endpoint_is_full_while_there_is_room() {
    let (most, got) = offer(170);
    assert!(most < SLOTS + QUEUE / 2, "{most} at one endpoint, {got:?}");
    let (least, most) = (got.values().min(), got.values().max());
    assert!(
        got.len() == 2 && most < least.map(|least| least * 3 / 2).as_ref(),
        "{got:?}"
    );
}

#[test]
fn a_coordinator_counts_what_others_run_until_it_is_released_or_lost() {
    let mut relay = relay_of("vm-0");
    register(&mut relay, endpoint("a-1", "app", "north"), Time(0));
    let id = "a-1".parse().expect("an id");
    relay.tick(Time(0));
    let ask = |relay: &mut Relay, limit_ms, now| {
        let reservation = Reservation {
            endpoint: "a-1".parse().expect("an id"),
            service: service("app"),
            prompt: sw_relay::Prompt::default(),
            limit_ms,
            urgent: false,
            source_distance: None,
        };
        relay.reserve(&reservation, now)
    };
    let places: Vec<_> = (0..2 * SLOTS)
        .map(|_| ask(&mut relay, 10_000.0, Time(0)).expect("a place"))
        .collect();
    let idle_ms = places[0].estimate.expected_ms;
    assert!(places[2 * SLOTS - 1].estimate.expected_ms > idle_ms * 1.9);
    assert!(ask(&mut relay, idle_ms * 1.5, Time(0)).is_err());
    for place in places {
        relay.on_reservation_update(&id, place.entry_id, ReservationUpdate::Ended, Time(10));
    }
    let place = ask(&mut relay, idle_ms * 1.1, Time(10)).expect("room again");
    assert!(place.estimate.backlog_ms < 1.0);
    let lost = Time(10) + Millis(3_000);
    relay.tick(lost);
    let place = ask(&mut relay, idle_ms * 1.1, lost).expect("what is lost is not counted");
    assert!(place.estimate.backlog_ms < 1.0);
}

/// The pattern: answers come within a millisecond, and the places of those before are released a little later.
#[test]
fn an_endpoint_with_short_answers_is_not_taken_for_busy() {
    let mut relay = relay_of("vm-0");
    register(&mut relay, endpoint("a-1", "app", "north"), Time(0));
    for at in 0..200 {
        let admitted = admit(&mut relay, "pay", None, Time(at));
        let choice = relay
            .choose(&admitted, &AttemptHistory::default(), Time(at))
            .expect("an idle endpoint");
        let Choice::Endpoint { endpoint, .. } = choice else {
            panic!("{choice:?}");
        };
        let attempt = relay
            .start_attempt(&admitted, &endpoint, None, Time(at))
            .expect("an attempt");
        relay.end_attempt(&attempt, AttemptOutcome::Complete, Time(at + 1));
        let place = Reservation {
            endpoint: endpoint.id.clone(),
            service: service("app"),
            prompt: sw_relay::Prompt::default(),
            limit_ms: 10_000.0,
            urgent: false,
            source_distance: None,
        };
        let place = relay.reserve(&place, Time(at)).expect("a place");
        if at % 8 == 0 {
            relay.on_reservation_update(&endpoint.id, place.entry_id, ReservationUpdate::Ended, Time(at));
        }
    }
}

/// The pattern: an endpoint was full a second ago, and all VMs have left it alone since.
#[test]
fn a_report_of_a_queue_that_is_over_keeps_no_one_away() {
    let mut relay = relay_of("vm-0");
    let entry = endpoint("a-1", "app", "north");
    register(&mut relay, entry.clone(), Time(0));
    let admitted = admit(&mut relay, "pay", None, Time(0));
    let attempt = relay
        .start_attempt(&admitted, &entry, None, Time(0))
        .expect("an attempt");
    let full = sw_relay::EndpointReport {
        load: Some(sw_relay::LoadReport {
            running: 6,
            waiting: 24,
            slots: 6,
        }),
        ..sw_relay::EndpointReport::default()
    };
    relay.on_endpoint_report(&entry, &full, Time(10));
    relay.end_attempt(&attempt, AttemptOutcome::Rejected, Time(10));
    let load = relay.load(&entry.id).expect("a load");
    assert_eq!(load.total_running(Time(100)), 30);
    assert_eq!(load.total_running(Time(600)), 0);
}

/// The pattern: one VM has seen short answers and the coordinator long ones, as after a slow start.
#[test]
fn an_idle_endpoint_is_not_declined_for_what_a_vm_expects_of_it() {
    let mut vms = vms();
    let admitted = admit(&mut vms[0], "pay", None, Time(10));
    let learn = |relay: &mut Relay, taken: u64| {
        let admitted = admit(relay, "pay", None, Time(10));
        let entry = endpoint("a-1", "app", "north");
        let attempt = relay
            .start_attempt(&admitted, &entry, None, Time(10))
            .expect("an attempt");
        relay.end_attempt(&attempt, AttemptOutcome::Complete, Time(10 + taken));
    };
    for (place, relay) in vms.iter_mut().enumerate() {
        learn(relay, if place == 0 { 1 } else { 150 });
    }
    for _ in 0..40 {
        let choice = vms[0]
            .choose(&admitted, &AttemptHistory::default(), Time(200))
            .expect("an idle endpoint");
        let Choice::Endpoint {
            coordinator: Some(coordinator),
            ..
        } = choice
        else {
            panic!("{choice:?}");
        };
        let asked: usize = coordinator.vm.as_str()["vm-".len()..].parse().expect("a number");
        let place = vms[asked]
            .reserve(&coordinator.reservation, Time(200))
            .expect("a place");
        vms[asked].on_reservation_update(
            &coordinator.reservation.endpoint,
            place.entry_id,
            ReservationUpdate::Ended,
            Time(200),
        );
    }
}
