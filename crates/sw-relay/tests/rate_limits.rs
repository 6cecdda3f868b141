//! Rate limits that endpoints name: what VMs know of them, and that they hold for all VMs together.
//!
//! Guards against an endpoint in need that gets more requests than it named, because VMs do not know the limit, share
//! it without counting together, or count anew after a fault.

mod support;

use proptest::prelude::*;
use support::region::{MAX_DOMAINS, Region, SPAN, STEP, allowed};
use sw_unit::{Millis, Time};

/// Time from the moment an endpoint names a limit until it must hold.
const CONTACT: Millis = Millis(5_000);

/// Sends `per_second` requests a second to the VMs at random, `share` of them urgent, for the time `duration`.
fn load(region: &mut Region, per_second: f64, urgent_share: f64, duration: Millis, rng: &mut fastrand::Rng) {
    let end = region.now + duration;
    let mut owed = 0.0;
    while region.now < end {
        region.step();
        owed += per_second * STEP.0 as f64 / 1_000.0;
        while owed >= 1.0 {
            owed -= 1.0;
            let vm = rng.usize(..region.vm_count());
            region.request(vm, rng.f64() < urgent_share);
        }
    }
}

/// Returns the requests a second that an endpoint received since `from`.
fn received_per_second(region: &Region, endpoint: usize, from: Time) -> f64 {
    let arrivals = region.arrivals.iter();
    let count = arrivals
        .filter(|arrival| arrival.endpoint == endpoint && arrival.at >= from)
        .count();
    count as f64 * 1_000.0 / region.now.since(from).0 as f64
}

/// Guards against the incident LIMIT: 4 VMs and 2 endpoints, of which one names 1.1 requests a second.
#[test]
fn endpoint_gets_no_more_than_it_names_from_all_vms() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut region = Region::new(4, 2, 1);
    load(&mut region, 100.0, 1.0, Millis(3_000), &mut rng);
    assert!(received_per_second(&region, 0, Time(0)) > 20.0);
    region.set_limit(0, Some(1.1));
    let named_at = region.now;
    load(&mut region, 100.0, 1.0, Millis(20_000), &mut rng);
    let most = region.most_counted(0, named_at + CONTACT);
    assert!(most <= allowed(1.1), "{most}");
    assert_eq!(region.refused, 0, "the other endpoint takes the rest");
}

/// Guards against shares of a limit that are less than a request for each VM.
#[test]
fn limit_is_used_whatever_the_number_of_vms() {
    for (vms, limit) in [(1, 0.3), (3, 1.0), (22, 0.3), (22, 5.0), (60, 40.0), (117, 200.0)] {
        let mut rng = fastrand::Rng::with_seed(2);
        let mut region = Region::new(vms, 1, 2);
        region.set_limit(0, Some(limit));
        load(&mut region, limit * 3.0, 1.0, Millis(10_000), &mut rng);
        let from = region.now;
        load(&mut region, limit * 3.0, 1.0, Millis(30_000), &mut rng);
        let used = received_per_second(&region, 0, from) / limit;
        assert!(used >= 0.8, "{vms} VMs use {used} of {limit}");
        let most = region.most_counted(0, Time(0) + CONTACT);
        assert!(most <= allowed(limit), "{vms} VMs, {limit}: {most}");
    }
}

/// Guards against the largest fleet: all VMs of 350 that are in one region, at a limit far below one request for each.
#[test]
fn limit_holds_for_350_vms() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut region = Region::new(350, 1, MAX_DOMAINS);
    region.set_limit(0, Some(2.0));
    load(&mut region, 50.0, 1.0, Millis(12_000), &mut rng);
    let most = region.most_counted(0, Time(0) + CONTACT);
    assert!(most <= allowed(2.0), "{most}");
    assert!(received_per_second(&region, 0, Time(6_000)) >= 1.6);
}

/// Guards against an endpoint that stays limited after it no longer says so.
#[test]
fn end_of_a_limit_is_known_to_all_vms_within_seconds() {
    for limit in [0.0, 0.3, 2.0] {
        let mut rng = fastrand::Rng::with_seed(4);
        let mut region = Region::new(6, 1, 2);
        region.set_limit(0, Some(limit));
        load(&mut region, 40.0, 1.0, Millis(15_000), &mut rng);
        region.set_limit(0, None);
        load(&mut region, 40.0, 1.0, Millis(14_000), &mut rng);
        let from = region.now;
        load(&mut region, 40.0, 1.0, Millis(3_000), &mut rng);
        let received = received_per_second(&region, 0, from);
        assert!(received > 39.0, "{received} a second after a limit of {limit}");
    }
}

/// Guards against an endpoint that is asked for less, and gets what it first named.
#[test]
fn changed_limit_holds() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut region = Region::new(5, 1, 1);
    for limit in [8.0, 1.0, 4.0] {
        region.set_limit(0, Some(limit));
        let changed_at = region.now;
        load(&mut region, 60.0, 1.0, Millis(15_000), &mut rng);
        let most = region.most_counted(0, changed_at + CONTACT);
        assert!(most <= allowed(limit), "{limit}: {most}");
        let used = received_per_second(&region, 0, changed_at + CONTACT) / limit;
        assert!(used >= 0.8, "{used} of {limit}");
    }
}

/// Guards against urgent requests that are refused because others took the tokens.
#[test]
fn urgent_requests_get_the_tokens_first() {
    let mut rng = fastrand::Rng::with_seed(6);
    let mut region = Region::new(5, 1, 1);
    region.set_limit(0, Some(10.0));
    load(&mut region, 40.0, 0.5, Millis(20_000), &mut rng);
    let served = |urgent| {
        region
            .arrivals
            .iter()
            .filter(move |arrival| arrival.urgent == urgent && arrival.at > Time(5_000))
    };
    let (urgent, others) = (served(true).count(), served(false).count());
    assert!(urgent > 4 * others, "{urgent} urgent requests and {others} others");
}

/// Returns the largest number of requests that an endpoint received in a span after `from`, of all VMs.
fn most_received(region: &Region, endpoint: usize, from: Time) -> usize {
    let arrivals = region.arrivals.iter();
    let times: Vec<_> = arrivals
        .filter(|arrival| arrival.endpoint == endpoint && arrival.at >= from)
        .map(|arrival| arrival.at)
        .collect();
    let in_span = |start: usize| {
        times[start..]
            .iter()
            .take_while(|at| at.since(times[start]) < SPAN)
            .count()
    };
    (0..times.len()).map(in_span).max().unwrap_or_default()
}

/// A region of `vms` VMs in one failure domain, whose only endpoint has named `limit` for 10 s.
fn limited_region(vms: usize, limit: f64, rng: &mut fastrand::Rng) -> Region {
    let mut region = Region::new(vms, 1, 1);
    region.set_limit(0, Some(limit));
    load(&mut region, limit * 3.0, 1.0, Millis(10_000), rng);
    region
}

/// Guards against two sides of a cut that each use the whole limit, although both reach the endpoint.
#[test]
fn limit_holds_on_both_sides_of_a_cut() {
    for cut_off in [vec![0], vec![0, 1], vec![1, 2, 3]] {
        let mut rng = fastrand::Rng::with_seed(7);
        let mut region = limited_region(5, 20.0, &mut rng);
        let from = region.now;
        for vm in &cut_off {
            region.set_group(*vm, 1);
        }
        load(&mut region, 100.0, 1.0, Millis(30_000), &mut rng);
        let most = most_received(&region, 0, from);
        assert!(most <= allowed(20.0), "{cut_off:?}: {most}");
        let used = received_per_second(&region, 0, from + Millis(15_000)) / 20.0;
        assert!(used >= 0.8, "{cut_off:?}: {used}");
    }
}

/// Guards against a paused coordinator that spends the tokens of its pause, which its successor granted meanwhile.
#[test]
fn coordinator_that_was_paused_starts_anew() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut region = limited_region(1, 200.0, &mut rng);
    region.set_paused(0, true);
    for _ in 0..500 {
        region.step();
    }
    region.set_paused(0, false);
    let resumed_at = region.now;
    (0..100).for_each(|_| region.request(0, true));
    assert_eq!(received_since(&region, resumed_at), 0, "before its first tick");
    load(&mut region, 1_000.0, 1.0, Millis(3_000), &mut rng);
    let received = received_since(&region, resumed_at);
    assert!((200..=300).contains(&received), "half the rate: {received}");
}

/// Guards against a request that a paused VM chose before the pause, and sends with an old token after it.
#[test]
fn request_that_was_held_by_a_paused_vm_is_not_sent() {
    for pause_steps in [10, 300] {
        let mut rng = fastrand::Rng::with_seed(9);
        let mut region = limited_region(1, 20.0, &mut rng);
        for _ in 0..100 {
            region.step();
        }
        region.request_before_pause(0);
        region.set_paused(0, true);
        for _ in 0..pause_steps {
            region.step();
        }
        let resumed_at = region.now;
        region.set_paused(0, false);
        let sent = received_since(&region, resumed_at);
        assert_eq!(sent, usize::from(pause_steps < 50), "after {pause_steps} steps");
    }
}

/// Guards against a VM that has just started, takes itself for the only one, and grants beside the coordinator.
#[test]
fn vm_that_has_just_started_grants_nothing() {
    let mut rng = fastrand::Rng::with_seed(10);
    let mut region = limited_region(3, 20.0, &mut rng);
    region.set_running(0, false);
    region.set_group(0, 1);
    region.set_running(0, true);
    let started_at = region.now;
    while region.now < started_at + Millis(1_900) {
        region.step();
        region.request(0, true);
    }
    let sent = received_since(&region, started_at + Millis(500));
    assert_eq!(sent, 0, "it knows the limit from its first response");
}

/// Guards against a series of takeovers in which predecessor and successor both grant for a moment each time.
#[test]
fn limit_holds_while_vms_leave_one_after_another() {
    for pause in [300, 700, 1_100] {
        let mut rng = fastrand::Rng::with_seed(12);
        let mut region = limited_region(12, 50.0, &mut rng);
        let from = region.now;
        for vm in 0..10 {
            region.leave(vm);
            load(&mut region, 200.0, 1.0, Millis(pause), &mut rng);
        }
        load(&mut region, 200.0, 1.0, Millis(6_000), &mut rng);
        let most = most_received(&region, 0, from);
        assert!(most <= allowed(50.0), "a VM each {pause} ms: {most}");
    }
}

/// Guards against two VMs that both grant for as long as they know different endpoints, because one of them is cut off
/// from the store. The endpoints of a coordinator depended on all others.
#[test]
fn limit_holds_while_vms_know_different_endpoints() {
    const ENDPOINTS: usize = 8;
    let mut rng = fastrand::Rng::with_seed(13);
    let mut region = Region::new(3, ENDPOINTS, 1);
    for extra in 0..4 {
        region.register_at(0, &format!("z-{extra}"));
    }
    for endpoint in 0..ENDPOINTS {
        region.set_limit(endpoint, Some(10.0));
    }
    load(&mut region, 900.0, 1.0, Millis(20_000), &mut rng);
    for endpoint in 0..ENDPOINTS {
        let most = most_received(&region, endpoint, Time(5_000));
        assert!(most <= allowed(10.0), "endpoint {endpoint}: {most}");
        let used = received_per_second(&region, endpoint, Time(8_000)) / 10.0;
        assert!(used >= 0.8, "endpoint {endpoint}: {used}");
    }
}

/// Guards against requests that are sent without a token because the coordinator does not answer.
#[test]
fn nothing_is_sent_while_the_coordinator_does_not_answer() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut region = limited_region(3, 20.0, &mut rng);
    let from = region.now;
    for vm in 0..3 {
        region.set_group(vm, vm as u32);
    }
    load(&mut region, 200.0, 1.0, Millis(2_000), &mut rng);
    let most = most_received(&region, 0, from);
    assert!(most <= 50, "only the coordinator itself sends: {most}");
}

fn received_since(region: &Region, from: Time) -> usize {
    region.arrivals.iter().filter(|arrival| arrival.at >= from).count()
}

/// A fault of the VMs of a region.
#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Pause { vm: usize, holds_request: bool },
    Leave(usize),
    CutOff { vms: Vec<usize> },
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    let vm = 0..64_usize;
    prop_oneof![
        vm.clone().prop_map(Fault::Kill),
        (vm.clone(), any::<bool>()).prop_map(|(vm, holds_request)| Fault::Pause { vm, holds_request }),
        vm.clone().prop_map(Fault::Leave),
        proptest::collection::vec(vm, 1..8).prop_map(|vms| Fault::CutOff { vms }),
        Just(Fault::Heal),
    ]
}

fn inject(region: &mut Region, fault: &Fault) {
    let count = region.vm_count();
    match fault {
        Fault::Kill(vm) => region.set_running(vm % count, false),
        Fault::Pause { vm, holds_request } => {
            if *holds_request {
                region.request_before_pause(vm % count);
            }
            region.set_paused(vm % count, true);
        }
        Fault::Leave(vm) => region.leave(vm % count),
        Fault::CutOff { vms } => vms.iter().for_each(|vm| region.set_group(vm % count, 1)),
        Fault::Heal => {
            for vm in 0..count {
                region.set_running(vm, true);
                region.set_paused(vm, false);
                region.set_group(vm, 0);
            }
        }
    }
}

proptest! {
    #![proptest_config(sw_fuzz::config())]

    /// For any faults of the VMs, no endpoint gets more in any span than its limit allows.
    #[test]
    fn limit_holds_under_faults(
        seed in any::<u64>(),
        vms in 1..24_usize,
        domains in 1..4_usize,
        limit in prop_oneof![0.2..2.0, 2.0..200.0],
        faults in proptest::collection::vec((0..3_000_u64, fault()), 0..16),
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut region = Region::new(vms, 2, domains);
        region.set_limit(0, Some(limit));
        let per_second = (limit * 3.0).clamp(20.0, 400.0);
        load(&mut region, per_second, 0.7, Millis(5_000), &mut rng);
        for (pause, fault) in &faults {
            inject(&mut region, fault);
            load(&mut region, per_second, 0.7, Millis(*pause), &mut rng);
        }
        inject(&mut region, &Fault::Heal);
        load(&mut region, per_second, 0.7, Millis(10_000), &mut rng);
        let most = region.most_counted(0, Time(0) + CONTACT);
        prop_assert!(most <= allowed(limit), "{most} of {} allowed", allowed(limit));
    }
}
