//! Crashes until no VM sends any more what causes them, in fleets of several sizes.

mod support;

use support::fleet::{CopiedRequest, Fleet, Layout, STEP};
use sw_unit::Millis;

const CRASHING_PART: u64 = 666;
const CRASHING: CopiedRequest = CopiedRequest {
    id: 7_001,
    subject: 3,
    crashes: true,
    has_head: true,
};
const HEADLESS: CopiedRequest = CopiedRequest {
    id: 7_002,
    has_head: false,
    ..CRASHING
};
/// A sound request that its caller sends again after each crash.
const SENT_AGAIN: CopiedRequest = CopiedRequest {
    id: 7_003,
    subject: 5,
    crashes: false,
    has_head: true,
};
/// Time from one crashing request to the next one: more than crashes of one cause are apart, less than heartbeats are.
const PAUSE: Millis = Millis(400);
/// The same where each region has one engine, which is back by then.
const PAUSE_OF_ONE_ENGINE: Millis = Millis(2_400);
/// Number of crashing requests that callers send.
const ROUNDS: usize = 6;
/// Number of sound prompts per region that run beside each of them.
const BESIDE: usize = 12;
/// Time after which some VMs see that a connection broke, when others have reported the crash.
const SEEN_LATE: Millis = Millis(30);
/// Crashes that tell a cause from what ran beside it.
const BOUND: usize = 2;
/// The same, if each broken request is sent again before its VM knows that the endpoint crashed, or if two causes crash
/// engines at the same time.
const BOUND_OF_TWO: usize = 3;

fn layouts() -> impl Iterator<Item = Layout> {
    let sizes = [7, 22, 195];
    sizes.into_iter().flat_map(|vms| {
        (1..=4).map(move |regions| Layout {
            regions,
            domains_per_region: 1 + usize::from(vms > 7),
            vms,
            engines_per_region: 6,
        })
    })
}

fn pass(fleet: &mut Fleet, time: Millis) {
    for _ in 0..time.0 / STEP.0 {
        fleet.step();
    }
}

/// Sends different sound prompts to the VMs at random.
fn send_sound(fleet: &mut Fleet, layout: Layout, rng: &mut fastrand::Rng) {
    for _ in 0..BESIDE * layout.regions {
        fleet.request(rng.usize(..layout.vms), None, rng.u64(..));
    }
}

/// Lets `send` send crashing requests to a VM of one region after the other, beside sound prompts.
fn play(mut fleet: Fleet, layout: Layout, pause: Millis, send: impl Fn(&mut Fleet, usize)) -> Fleet {
    let mut rng = fastrand::Rng::with_seed(layout.vms as u64);
    send_sound(&mut fleet, layout, &mut rng);
    pass(&mut fleet, Millis(1_000));
    for round in 0..ROUNDS {
        send_sound(&mut fleet, layout, &mut rng);
        send(&mut fleet, round);
        pass(&mut fleet, pause);
    }
    fleet
}

fn fleet(layout: Layout, retries: bool) -> Fleet {
    let mut fleet = Fleet::new(layout);
    fleet.set_retries(retries);
    fleet
}

/// Crashes in fleets, with the numbers of their VMs and regions.
#[derive(Debug, Default)]
struct Crashes(Vec<(usize, usize, usize)>);

impl Crashes {
    fn record(&mut self, layout: Layout, crashes: usize) {
        self.0.push((layout.vms, layout.regions, crashes));
    }

    fn check(&self, bound: usize) {
        let is_within = self.0.iter().all(|(_, _, crashes)| *crashes <= bound);
        assert!(is_within, "VMs, regions and crashes, {bound} allowed: {:?}", self.0);
    }
}

/// Guards against a crashing part that is found late because each request with it is a suspect as well.
#[test]
fn part_of_different_requests_is_refused_after_the_second_crash() {
    for (retries, bound) in [(false, BOUND), (true, BOUND_OF_TWO)] {
        let mut crashes = Crashes::default();
        for layout in layouts() {
            let fleet = play(fleet(layout, retries), layout, PAUSE, |fleet, round| {
                fleet.request(round, Some(CRASHING_PART), round as u64);
            });
            crashes.record(layout, fleet.crash_count(CRASHING_PART));
        }
        crashes.check(bound);
    }
}

/// Guards against a crashing part that is found late because a sound request, sent again after each crash, ran beside it.
#[test]
fn part_beside_a_request_that_is_sent_again_is_refused_after_the_second_crash() {
    let mut crashes = Crashes::default();
    for layout in layouts() {
        let layout = Layout {
            engines_per_region: 1,
            ..layout
        };
        let fleet = play(fleet(layout, false), layout, PAUSE_OF_ONE_ENGINE, |fleet, round| {
            fleet.request(round, Some(CRASHING_PART), round as u64);
            fleet.send_copy(round, SENT_AGAIN);
        });
        crashes.record(layout, fleet.crash_count(CRASHING_PART));
    }
    crashes.check(BOUND);
}

/// Guards against a crashing part that other VMs learn of with a heartbeat only, because a VM that had not sent the
/// part saw and reported the crash first.
#[test]
fn part_that_is_seen_after_the_report_of_the_crash_is_announced_at_once() {
    let mut crashes = Crashes::default();
    for layout in layouts() {
        let mut fleet = fleet(layout, false);
        (0..ROUNDS).for_each(|vm| fleet.set_seen_after(vm % layout.vms, SEEN_LATE));
        let fleet = play(fleet, layout, PAUSE, |fleet, round| {
            fleet.request(round, Some(CRASHING_PART), round as u64);
        });
        crashes.record(layout, fleet.crash_count(CRASHING_PART));
    }
    crashes.check(BOUND);
}

/// Guards against a request that crashes engines and is found late, with and without a head before the crash.
#[test]
fn request_that_comes_again_is_refused_after_the_second_crash() {
    for copied in [CRASHING, HEADLESS] {
        let mut crashes = Crashes::default();
        for layout in layouts() {
            let fleet = play(fleet(layout, false), layout, PAUSE, |fleet, round| {
                fleet.send_copy(round, copied);
            });
            crashes.record(layout, fleet.crash_count(copied.id));
        }
        crashes.check(BOUND);
    }
}

/// Guards against a part and a request that hide each other while both crash engines.
#[test]
fn part_and_request_together_are_refused_after_three_crashes_each() {
    for copied in [CRASHING, HEADLESS] {
        let mut crashes = Crashes::default();
        for layout in layouts() {
            let fleet = play(fleet(layout, false), layout, PAUSE, |fleet, round| {
                fleet.send_copy(round, copied);
                fleet.request(round + 1, Some(CRASHING_PART), round as u64);
            });
            for cause in [copied.id, CRASHING_PART] {
                crashes.record(layout, fleet.crash_count(cause));
            }
        }
        crashes.check(BOUND_OF_TWO);
    }
}
