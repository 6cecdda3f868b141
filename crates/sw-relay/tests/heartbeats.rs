//! Exchange of state between VMs by heartbeats and delegates.

mod support;

use support::{admit, endpoint, prompt, register, relay_of, row};
use sw_relay::{AttemptHistory, Choice, EntryQuery, Relay};
use sw_unit::{RegionId, Time};

/// Exchanges heartbeats between `a`, which sends first, and `b`. Each knows the row of the other.
fn exchange(a: &mut Relay, b: &mut Relay, now: Time) {
    let (row_a, row_b) = (a.members().local().clone(), b.members().local().clone());
    let exchange = a.start_exchange(Some(row_b), now);
    b.on_heartbeat(exchange.heartbeat.clone(), now);
    let reply = b.reply(&row_a, now);
    a.end_exchange(&exchange, reply, now);
}

fn live_in_south(relay: &Relay, now: Time) -> Vec<String> {
    let region: RegionId = "south".parse().expect("an id");
    let query = EntryQuery {
        region: Some(&region),
        ..EntryQuery::default()
    };
    let rows = relay.entry_vms(query, now).into_iter();
    rows.filter(|row| row.region == region)
        .map(|row| row.vm.to_string())
        .collect()
}

/// A domain has only one VM, and only the delegate of the other domain exchanges heartbeats with it.
#[test]
fn neighbour_learns_from_the_delegate_that_a_remote_vm_is_live() {
    let (mut delegate, mut neighbour) = (relay_of("vm-0"), relay_of("vm-1"));
    let mut other = support::relay_in("vm-9", "south");
    for step in 0..10 {
        let now = Time(step * 1_000);
        exchange(&mut delegate, &mut other, now);
        exchange(&mut delegate, &mut neighbour, now);
    }
    assert_eq!(live_in_south(&neighbour, Time(9_100)), ["vm-9"]);
    assert_eq!(
        live_in_south(&neighbour, Time(15_000)),
        Vec::<String>::new(),
        "unresponsiveness is reported too"
    );
}

#[test]
fn rows_are_sent_only_until_both_sides_know_the_same() {
    let (mut one, mut other) = (relay_of("vm-0"), relay_of("vm-1"));
    other.on_heartbeat(support::heartbeat(row("vm-2", "north"), Vec::new()), Time(0));
    exchange(&mut one, &mut other, Time(0));
    exchange(&mut one, &mut other, Time(1_000));
    assert!(one.members().row(&"vm-2".parse().expect("an id")).is_some());
    let unchanged = one.heartbeat(Some(&row("vm-1", "north")), Time(2_000));
    assert!(unchanged.known_vms.is_empty(), "{:?}", unchanged.known_vms);
}

/// Two VMs of a region send to the same engine.
#[test]
fn prompts_of_neighbours_count_as_backlog() {
    let (mut one, mut other) = (relay_of("vm-0"), relay_of("vm-1"));
    for relay in [&mut one, &mut other] {
        register(relay, endpoint("e-1", "engines", "north"), Time(0));
    }
    let admitted = admit(&mut one, "digest", Some(prompt(1, 0, 8_000)), Time(0));
    let Ok(Choice::Endpoint { endpoint, .. }) = one.choose(&admitted, &AttemptHistory::default(), Time(0)) else {
        panic!("nothing was chosen");
    };
    let attempt = one
        .start_attempt(&admitted, &endpoint, None, Time(0))
        .expect("an attempt");
    exchange(&mut one, &mut other, Time(10));
    let reported_ms = other.load(&endpoint.id).expect("a load").backlog_ms(Time(10));
    assert!(
        (reported_ms - attempt.prefill_ms).abs() < 20.0,
        "{reported_ms} of {}",
        attempt.prefill_ms
    );
}
