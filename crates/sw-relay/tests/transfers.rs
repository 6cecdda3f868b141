//! Selection of the engine that supplies the shared parts of a prompt.
//!
//! A few hundred subjects with long shared parts are requested every few seconds in all regions, on engines whose
//! memory holds only a few of them. Without transfers, an engine that gets a prompt for the first time, or that has
//! evicted its part, processes what another engine has cached.

mod support;

use proptest::prelude::*;
use support::{admit, endpoint, heartbeat, prompt, register, relay_in, relay_of, row};
use sw_relay::{AttemptHistory, CachedPart, Choice, EndpointEntry, Heartbeat, Relay, StoreRecord};
use sw_unit::{Incarnation, Millis, Time};

const SHARED: u64 = 13_000;
const UNSHARED: u64 = 1_000;

/// A VM that knows engines of three regions.
fn vm(name: &str, region: &str) -> Relay {
    let mut relay = relay_in(name, region);
    for (engine, of) in [("n-1", "north"), ("n-2", "north"), ("s-1", "south"), ("w-1", "west")] {
        register(&mut relay, endpoint(engine, "engines", of), Time(0));
    }
    relay
}

/// Receives a heartbeat from another region, so that it counts as reachable.
fn receive_heartbeat(relay: &mut Relay, region: &str, now: Time) {
    let services = vec![sw_relay::ServiceLoad {
        service: support::service("engines"),
        usable: 1,
        wait_ms: 5_000.0,
        gap_ms: 45.0,
    }];
    relay.on_heartbeat(heartbeat(row(&format!("vm-{region}"), region), services), now);
}

/// Sends a request about `subject` to an engine, and returns the engine that supplies its shared part.
fn send(relay: &mut Relay, route: &str, subject: u64, to: &EndpointEntry, now: Time) -> Option<String> {
    let admitted = admit(relay, route, Some(prompt(subject, SHARED, UNSHARED)), now);
    let mut attempt = relay.start_attempt(&admitted, to, None, now).expect("an attempt");
    relay.on_first_event(&mut attempt, now + Millis(300));
    attempt.cache_source.map(|source| source.endpoint.id.to_string())
}

/// Sends a heartbeat of `from` to `to`.
fn send_heartbeat(from: &Relay, to: &mut Relay, now: Time) {
    let row = to.members().local().clone();
    to.on_heartbeat(from.heartbeat(Some(&row), now), now);
}

#[test]
fn a_part_is_transferred_from_the_engine_that_processed_it() {
    let mut relay = vm("vm-0", "north");
    let (one, other) = (endpoint("n-1", "engines", "north"), endpoint("n-2", "engines", "north"));
    assert_eq!(send(&mut relay, "digest", 7, &one, Time(1_000)), None);
    assert_eq!(
        send(&mut relay, "digest", 7, &other, Time(3_000)).as_deref(),
        Some("n-1")
    );
    // An engine that may have evicted the part can get it back.
    assert_eq!(send(&mut relay, "digest", 7, &one, Time(5_000)).as_deref(), Some("n-2"));
    assert_eq!(send(&mut relay, "digest", 8, &other, Time(5_000)), None);
}

#[test]
fn a_part_in_prefill_is_not_transferred() {
    let mut relay = vm("vm-0", "north");
    let (one, other) = (endpoint("n-1", "engines", "north"), endpoint("n-2", "engines", "north"));
    send(&mut relay, "digest", 7, &one, Time(1_000));
    assert_eq!(send(&mut relay, "digest", 7, &other, Time(1_050)), None);
}

#[test]
fn a_transfer_takes_a_fraction_of_the_prefill() {
    let mut relay = vm("vm-0", "north");
    let (one, other) = (endpoint("n-1", "engines", "north"), endpoint("n-2", "engines", "north"));
    let admitted = admit(&mut relay, "digest", Some(prompt(7, SHARED, UNSHARED)), Time(1_000));
    let first = relay
        .start_attempt(&admitted, &one, None, Time(1_000))
        .expect("an attempt");
    let admitted = admit(&mut relay, "digest", Some(prompt(7, SHARED, UNSHARED)), Time(3_000));
    let second = relay
        .start_attempt(&admitted, &other, None, Time(3_000))
        .expect("an attempt");
    assert_eq!((second.plan.prefill.0, second.plan.transfer.0), (UNSHARED, SHARED));
    assert!(second.expected_ms() < first.expected_ms() / 2.0, "{second:?}");
}

#[test]
fn short_shared_parts_are_not_transferred() {
    let mut relay = vm("vm-0", "north");
    for (at, engine) in [(1_000, "n-1"), (3_000, "n-2")] {
        let admitted = admit(&mut relay, "digest", Some(prompt(7, 300, UNSHARED)), Time(at));
        let engine = endpoint(engine, "engines", "north");
        let attempt = relay
            .start_attempt(&admitted, &engine, None, Time(at))
            .expect("an attempt");
        assert_eq!(attempt.cache_source, None);
    }
}

#[test]
fn cached_parts_are_reported_to_neighbours_and_other_regions() {
    let mut sender = vm("vm-0", "north");
    send(
        &mut sender,
        "digest",
        7,
        &endpoint("n-1", "engines", "north"),
        Time(1_000),
    );
    let mut neighbour = vm("vm-1", "north");
    send_heartbeat(&sender, &mut neighbour, Time(2_000));
    let to = endpoint("n-2", "engines", "north");
    assert_eq!(
        send(&mut neighbour, "digest", 7, &to, Time(2_100)).as_deref(),
        Some("n-1")
    );
    // The neighbour reports it to another region, as a delegate does.
    let mut neighbour = vm("vm-1", "north");
    send_heartbeat(&sender, &mut neighbour, Time(2_000));
    let mut remote = vm("vm-9", "south");
    receive_heartbeat(&mut remote, "north", Time(2_400));
    send_heartbeat(&neighbour, &mut remote, Time(2_500));
    let to = endpoint("s-1", "engines", "south");
    assert_eq!(send(&mut remote, "digest", 7, &to, Time(2_600)).as_deref(), Some("n-1"));
}

#[test]
fn a_part_is_reported_again_only_after_later_use() {
    let mut sender = vm("vm-0", "north");
    let engine = endpoint("n-1", "engines", "north");
    let reported = |relay: &Relay, at: u64| {
        relay
            .heartbeat(Some(&row("vm-1", "north")), Time(at))
            .cached_parts
            .len()
    };
    send(&mut sender, "digest", 7, &engine, Time(1_000));
    assert_eq!(reported(&sender, 1_500), 1);
    send(&mut sender, "digest", 7, &engine, Time(3_500));
    assert_eq!(reported(&sender, 3_600), 0, "it was reported already");
    send(&mut sender, "digest", 7, &engine, Time(6_000));
    assert_eq!(reported(&sender, 6_100), 1, "it is still cached");
}

/// A transfer over the links between regions takes longer than the prefill that it replaces.
#[test]
fn a_slow_transfer_is_made_only_if_the_response_starts_well_in_time() {
    for (unshared, source) in [(1_000, Some("s-1")), (9_000, None)] {
        let mut relay = vm("vm-0", "north");
        receive_heartbeat(&mut relay, "south", Time(1_800));
        receive_report(&mut relay, "s-1", Time(1_900));
        let admitted = admit(&mut relay, "digest", Some(prompt(7, SHARED, unshared)), Time(2_000));
        let here = endpoint("n-1", "engines", "north");
        let attempt = relay
            .start_attempt(&admitted, &here, None, Time(2_000))
            .expect("an attempt");
        let named = attempt.cache_source.map(|source| source.endpoint.id.to_string());
        assert_eq!(named.as_deref(), source, "{unshared}");
    }
}

#[test]
fn the_nearest_engine_supplies_the_part() {
    let mut relay = vm("vm-0", "north");
    receive_heartbeat(&mut relay, "south", Time(1_800));
    send(
        &mut relay,
        "digest",
        7,
        &endpoint("n-2", "engines", "north"),
        Time(1_000),
    );
    receive_report(&mut relay, "s-1", Time(1_900));
    let here = endpoint("n-1", "engines", "north");
    assert_eq!(
        send(&mut relay, "digest", 7, &here, Time(2_000)).as_deref(),
        Some("n-2")
    );
}

#[test]
fn transfer_times_are_learned() {
    const ROUNDS: u64 = 100;
    let mut relay = vm("vm-0", "north");
    let engines = [endpoint("n-1", "engines", "north"), endpoint("n-2", "engines", "north")];
    let mut expected = Vec::new();
    for round in 0..ROUNDS {
        let (now, subject) = (Time(10_000 * (round + 1)), round);
        send(&mut relay, "digest", subject, &engines[0], now);
        let admitted = admit(
            &mut relay,
            "digest",
            Some(prompt(subject, SHARED, UNSHARED)),
            now + Millis(2_000),
        );
        let started = relay.start_attempt(&admitted, &engines[1], None, now + Millis(2_000));
        let mut attempt = started.expect("an attempt");
        expected.push(attempt.transfer_ms);
        relay.on_first_event(&mut attempt, now + Millis(2_000 + 250));
        relay.end_attempt(&attempt, sw_relay::AttemptOutcome::Complete, now + Millis(3_000));
    }
    assert!(expected[0] < 150.0, "{expected:?}");
    let last = expected.last().expect("a round");
    assert!((last - 180.0).abs() < 15.0, "{expected:?}");
}

/// Receives the report that an engine of the south has the shared part of subject 7 cached.
fn receive_report(relay: &mut Relay, engine: &str, now: Time) {
    let part = CachedPart {
        key: key_of(7),
        endpoint: engine.parse().expect("an id"),
        age: Millis(100),
    };
    let mut reported = heartbeat(row("vm-south", "south"), Vec::new());
    reported.domains[0].cached_parts.push(part);
    relay.on_heartbeat(reported, now);
}

/// An engine that is leaving, gone, restarted or evacuated, or in a region without heartbeats, supplies nothing.
#[test]
fn only_available_and_reachable_engines_supply_parts() {
    type Change = fn(&mut Relay, &EndpointEntry);
    let changes: [(&str, Change); 4] = [
        ("leaving", |relay, entry| {
            let leaving = EndpointEntry {
                leaving: true,
                ..entry.clone()
            };
            register(relay, leaving, Time(2_000));
        }),
        ("gone", |relay, entry| {
            relay.apply(StoreRecord::Endpoint(entry.id.clone(), None), Time(2_000));
        }),
        ("restarted", |relay, entry| {
            let restarted = EndpointEntry {
                incarnation: Incarnation(2),
                ..entry.clone()
            };
            register(relay, restarted, Time(2_000));
        }),
        ("evacuated", |relay, entry| {
            relay.apply(StoreRecord::Evacuated(entry.domain.clone(), true), Time(2_000));
        }),
    ];
    let here = endpoint("n-1", "engines", "north");
    for (what, change) in changes {
        let mut relay = vm("vm-0", "north");
        receive_heartbeat(&mut relay, "south", Time(1_800));
        receive_report(&mut relay, "s-1", Time(1_900));
        change(&mut relay, &endpoint("s-1", "engines", "south"));
        assert_eq!(send(&mut relay, "digest", 7, &here, Time(2_100)), None, "{what}");
    }
    for (what, at, source) in [("reachable", 2_100, Some("s-1")), ("unreachable", 6_000, None)] {
        let mut relay = vm("vm-0", "north");
        receive_heartbeat(&mut relay, "south", Time(1_800));
        receive_report(&mut relay, "s-1", Time(1_900));
        assert_eq!(
            send(&mut relay, "digest", 7, &here, Time(at)).as_deref(),
            source,
            "{what}"
        );
    }
}

/// Returns the key with which VMs report the shared part of `subject`.
fn key_of(subject: u64) -> u64 {
    let mut relay = vm("vm-0", "north");
    send(
        &mut relay,
        "digest",
        subject,
        &endpoint("n-1", "engines", "north"),
        Time(0),
    );
    relay.heartbeat(Some(&row("vm-1", "north")), Time(1_000)).cached_parts[0].key
}

#[test]
fn an_engine_with_a_cache_source_is_preferred_to_a_late_one() {
    let mut relay = vm("vm-0", "north");
    let admitted = admit(&mut relay, "digest", Some(prompt(7, SHARED, UNSHARED)), Time(1_000));
    let chosen = |relay: &mut Relay, admitted: &sw_relay::AdmittedRequest, now| match relay
        .choose(admitted, &AttemptHistory::default(), now)
        .expect("a choice")
    {
        Choice::Endpoint { endpoint, .. } => endpoint,
        choice @ Choice::Vm { .. } => panic!("{choice:?} leaves the region"),
    };
    let home = chosen(&mut relay, &admitted, Time(1_000));
    let mut attempt = relay
        .start_attempt(&admitted, &home, None, Time(1_000))
        .expect("an attempt");
    relay.on_first_event(&mut attempt, Time(1_300));
    // Other prompts keep the engine busy for most of the objective.
    for subject in 100..103 {
        let other = admit(
            &mut relay,
            "digest",
            Some(prompt(subject, SHARED, UNSHARED)),
            Time(3_000),
        );
        relay
            .start_attempt(&other, &home, None, Time(3_000))
            .expect("an attempt");
    }
    let again = admit(&mut relay, "digest", Some(prompt(7, SHARED, UNSHARED)), Time(3_000));
    assert_ne!(chosen(&mut relay, &again, Time(3_000)).id, home.id);
}

proptest! {
    /// Whatever VMs report, parts are transferred only from engines in regions that the route permits.
    #[test]
    fn parts_are_transferred_within_the_permitted_regions(
        reported in proptest::collection::vec((0..5_u64, prop_oneof![Just("n-2"), Just("s-1"), Just("w-1")]), 1..20),
        subject in 0..5_u64,
    ) {
        let mut relay = vm("vm-0", "north");
        for region in ["south", "west"] {
            receive_heartbeat(&mut relay, region, Time(1_000));
        }
        let parts = reported.iter().map(|(subject, engine)| CachedPart {
            key: key_of(*subject),
            endpoint: engine.parse().expect("an id"),
            age: Millis(0),
        });
        let reported = Heartbeat { cached_parts: parts.collect(), ..heartbeat(row("vm-1", "north"), Vec::new()) };
        relay.on_heartbeat(reported, Time(1_000));
        let here = endpoint("n-1", "engines", "north");
        // The route `query` permits north and south.
        let source = send(&mut relay, "query", subject, &here, Time(1_500));
        prop_assert_ne!(source.as_deref(), Some("w-1"));
    }
}

#[test]
fn the_directory_is_bounded_and_expires() {
    let mut relay = relay_of("vm-0");
    let engine = endpoint("n-1", "engines", "north");
    register(&mut relay, engine.clone(), Time(0));
    for subject in 0..6_000 {
        send(&mut relay, "digest", subject, &engine, Time(1_000));
    }
    let reported = |relay: &Relay, at| relay.heartbeat(Some(&row("vm-1", "north")), at).cached_parts.len();
    assert!(reported(&relay, Time(1_500)) <= 128);
    relay.tick(Time(30_000));
    assert_eq!(reported(&relay, Time(30_000)), 0);
}
