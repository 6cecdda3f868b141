//! What a VM knows of the rate limit of an endpoint, from responses and from other VMs.

mod support;

use support::{endpoint, heartbeat, register, relay, row};
use sw_member::VmRow;
use sw_relay::{
    EndpointEntry, EndpointRateLimit, EndpointReport, Heartbeat, LimitKind, RateLimitChange, RateLimitState,
    RateLimitStatement, Relay, StoreRecord,
};
use sw_unit::{Incarnation, Millis, Rate, Time};

const LIMIT: RateLimitStatement = RateLimitStatement::Named(Rate(1.0));

fn entry(incarnation: u64) -> EndpointEntry {
    EndpointEntry {
        incarnation: Incarnation(incarnation),
        ..endpoint("a-1", "app", "north")
    }
}

/// A VM that has ticked until `now`.
fn relay_at(now: u64) -> Relay {
    let mut relay = relay();
    register(&mut relay, entry(1), Time(0));
    for at in (0..=now).step_by(500) {
        relay.tick(Time(at));
    }
    relay
}

/// Whether the VM sends to the endpoint without a token.
fn is_unlimited(relay: &Relay, now: u64) -> bool {
    relay.may_send(&entry(1), None, Time(now))
}

/// Records a response to a request that was sent at `sent_at`.
fn respond(relay: &mut Relay, statement: RateLimitStatement, sent_at: u64, now: u64) {
    relay.on_rate_limit_statement(&entry(1), statement, Some(Time(sent_at)), Time(now));
}

/// A heartbeat of another VM that knows a limit, or the end of one.
fn report(rate: Option<f64>, age: u64) -> Heartbeat {
    let state = RateLimitState {
        incarnation: Incarnation(1),
        rate: rate.map(Rate),
        age: Millis(age),
    };
    Heartbeat {
        rate_limits: vec![EndpointRateLimit {
            endpoint: entry(1).id,
            kind: LimitKind::Requests,
            state,
        }],
        ..heartbeat(row("vm-1", "north"), Vec::new())
    }
}

fn statements(changes: Vec<RateLimitChange>) -> Vec<RateLimitStatement> {
    changes.into_iter().map(|change| change.statement).collect()
}

/// Guards against a response that was made before a limit was named, arrives after it, and ends it.
#[test]
fn overtaken_response_does_not_end_a_limit() {
    let mut relay = relay_at(1_000);
    respond(&mut relay, LIMIT, 1_000, 1_020);
    respond(&mut relay, RateLimitStatement::NotNamed, 1_010, 1_030);
    assert!(
        !is_unlimited(&relay, 1_040),
        "its request was sent before the limit was known"
    );
    respond(&mut relay, RateLimitStatement::NotNamed, 1_040, 1_060);
    assert!(is_unlimited(&relay, 1_070));
}

/// Guards against a late response of another request that ends a limit.
#[test]
fn response_that_may_belong_to_another_request_does_not_end_a_limit() {
    let mut relay = relay_at(1_000);
    respond(&mut relay, LIMIT, 1_000, 1_020);
    relay.on_rate_limit_statement(&entry(1), RateLimitStatement::NotNamed, None, Time(1_500));
    assert!(!is_unlimited(&relay, 1_500));
}

/// Guards against news of an end that is older than it seems, because its heartbeat was delayed on the way.
#[test]
fn delayed_report_of_an_end_does_not_end_a_newer_limit() {
    let mut relay = relay_at(11_000);
    respond(&mut relay, LIMIT, 9_980, 10_000);
    relay.on_heartbeat(report(None, 500), Time(11_000));
    assert!(!is_unlimited(&relay, 11_000), "sent 1.2 s ago");
    for at in (11_500..=13_000).step_by(500) {
        relay.tick(Time(at));
    }
    relay.on_heartbeat(report(None, 0), Time(13_000));
    assert!(is_unlimited(&relay, 13_000), "stated after the limit in any case");
}

/// Guards against a VM that was paused and takes the heartbeats that arrived meanwhile for new.
#[test]
fn report_that_a_paused_vm_receives_late_does_not_end_a_limit() {
    let mut relay = relay_at(10_000);
    respond(&mut relay, LIMIT, 9_880, 9_900);
    relay.on_heartbeat(report(None, 2_000), Time(16_000));
    assert!(!is_unlimited(&relay, 16_000), "before the first tick after the pause");
    relay.tick(Time(16_010));
    relay.on_heartbeat(report(None, 2_000), Time(16_020));
    assert!(!is_unlimited(&relay, 16_020), "after it");
    for at in (16_510..18_000).step_by(500) {
        relay.tick(Time(at));
    }
    relay.on_heartbeat(report(None, 100), Time(18_000));
    assert!(is_unlimited(&relay, 18_000), "a second later");
}

/// Guards against an end of a limit that nobody learns of, because it is always older than the last limit.
#[test]
fn reported_end_is_renewed_by_further_responses() {
    let (mut relay, mut other) = (relay_at(1_000), relay_at(1_000));
    respond(&mut other, LIMIT, 980, 1_000);
    respond(&mut relay, LIMIT, 980, 1_000);
    respond(&mut relay, RateLimitStatement::NotNamed, 1_100, 1_120);
    for at in (1_500..5_000).step_by(500) {
        for vm in [&mut relay, &mut other] {
            vm.tick(Time(at));
        }
        respond(&mut relay, RateLimitStatement::NotNamed, at - 30, at - 10);
        let heartbeat = relay.heartbeat(Some(&row("vm-1", "north")), Time(at));
        let from = row("vm-1", "north");
        other.on_heartbeat(Heartbeat { from, ..heartbeat }, Time(at));
    }
    assert!(is_unlimited(&other, 5_000));
}

#[test]
fn other_vms_report_a_limit() {
    let mut relay = relay_at(1_000);
    relay.on_heartbeat(report(Some(2.0), 100), Time(1_000));
    assert!(!is_unlimited(&relay, 1_000));
    assert_eq!(
        statements(relay.take_rate_limit_changes()),
        [RateLimitStatement::Named(Rate(2.0))]
    );
}

/// Guards against a restarted endpoint, or another one at its address, that is held to the limit of its predecessor.
#[test]
fn limit_does_not_apply_to_another_incarnation() {
    let mut relay = relay_at(1_000);
    respond(&mut relay, LIMIT, 1_000, 1_020);
    register(&mut relay, entry(2), Time(1_100));
    assert!(relay.may_send(&entry(2), None, Time(1_110)));
    respond(&mut relay, LIMIT, 1_110, 1_120);
    assert!(
        relay.may_send(&entry(2), None, Time(1_130)),
        "a late response of the first one"
    );
}

/// Guards against a malformed value that ends a limit, sets one, or fills the log.
#[test]
fn malformed_limit_changes_nothing_and_is_logged_once() {
    let mut relay = relay_at(1_000);
    for at in 0..100 {
        respond(&mut relay, RateLimitStatement::Malformed, 1_000 + at, 1_010 + at);
    }
    assert!(is_unlimited(&relay, 1_200));
    assert_eq!(
        statements(relay.take_rate_limit_changes()),
        [RateLimitStatement::Malformed]
    );
    respond(&mut relay, LIMIT, 1_200, 1_210);
    respond(&mut relay, RateLimitStatement::Malformed, 1_220, 1_230);
    assert!(!is_unlimited(&relay, 1_240), "the limit stays in force");
    assert_eq!(
        statements(relay.take_rate_limit_changes()),
        [LIMIT, RateLimitStatement::Malformed]
    );
}

/// Guards against a limit that takes the place of a retry time, of leaving or of an evacuation: the strictest holds.
#[test]
fn limit_does_not_relax_other_restrictions() {
    let token = Some(Time(1_000));
    let restrict: [fn(&mut Relay); 3] = [
        |relay| {
            let report = EndpointReport {
                retry_after: Some(Millis(5_000)),
                ..EndpointReport::default()
            };
            relay.on_endpoint_report(&entry(1), &report, Time(1_000));
        },
        |relay| {
            let report = EndpointReport {
                leaving: true,
                ..EndpointReport::default()
            };
            relay.on_endpoint_report(&entry(1), &report, Time(1_000));
        },
        |relay| {
            relay.apply(StoreRecord::Evacuated(entry(1).domain, true), Time(1_000));
        },
    ];
    for restrict in restrict {
        let mut relay = relay_at(1_000);
        respond(&mut relay, LIMIT, 980, 1_000);
        assert!(relay.may_send(&entry(1), token, Time(1_010)), "with a token");
        restrict(&mut relay);
        assert!(!relay.may_send(&entry(1), token, Time(1_010)));
    }
}

/// Guards against heartbeats that repeat limits that all VMs know, or those of the past.
#[test]
fn limits_are_reported_for_a_while_after_they_changed() {
    let mut relay = relay_at(1_000);
    let peer = row("vm-1", "north");
    let known = relay.heartbeat(Some(&peer), Time(1_000)).members_digest;
    let same_view = Heartbeat {
        members_digest: known,
        ..heartbeat(peer.clone(), Vec::new())
    };
    relay.on_heartbeat(same_view, Time(1_000));
    let digest = relay.heartbeat(Some(&peer), Time(1_000)).members_digest;
    let agreeing = Heartbeat {
        members_digest: digest,
        ..heartbeat(peer.clone(), Vec::new())
    };
    relay.on_heartbeat(agreeing, Time(1_010));
    let reported = |relay: &Relay, to: &VmRow, at| relay.heartbeat(Some(to), Time(at)).rate_limits.len();
    respond(&mut relay, LIMIT, 1_000, 1_020);
    assert_eq!(reported(&relay, &peer, 1_100), 1);
    for at in (1_100..13_000).step_by(100) {
        respond(&mut relay, LIMIT, at, at + 20);
    }
    assert_eq!(reported(&relay, &peer, 13_000), 0, "the other VM was told");
    let started = row("vm-2", "north");
    assert_eq!(
        reported(&relay, &started, 13_000),
        1,
        "a VM that has just started was not"
    );
    respond(&mut relay, RateLimitStatement::NotNamed, 13_100, 13_120);
    assert_eq!(reported(&relay, &peer, 13_200), 1);
    for at in (13_200..25_000).step_by(100) {
        respond(&mut relay, RateLimitStatement::NotNamed, at, at + 20);
    }
    assert_eq!(reported(&relay, &peer, 25_000), 0);
    assert_eq!(reported(&relay, &started, 25_000), 0);
}
