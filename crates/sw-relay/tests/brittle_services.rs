//! Endpoints that fail if they have to reject more than a few requests a second.
//!
//! Guards against the incident LIMIT: the endpoints of a service say that they are brittle, let fewer requests wait soon
//! after, and fall over one after another, because all VMs send what the queues took before.

mod support;

use support::region::{Region, STEP};
use sw_unit::{Millis, Time};

/// Time from the moment at which the endpoints name a limit until they may let fewer wait.
const CONTACT: Millis = Millis(5_000);
/// Slots of each endpoint.
const SLOTS: u32 = 8;
/// Requests that wait at an endpoint before it is brittle.
const MAX_WAITING: usize = 16;
/// Shortest and longest time that a request takes, and its mean in seconds.
const SERVICE_TIME: (u64, u64) = (200, 400);
const MEAN_SERVICE: f64 = 0.3;
/// Share of the capacity that is served under overload.
const GOODPUT: f64 = 0.8;
/// Time for which the endpoints are brittle.
const BRITTLE: Millis = Millis(20_000);

/// What happens to a VM while the endpoints are brittle.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Kill,
    Restart,
    Cut,
    Pause,
}

struct Day {
    region: Region,
    rng: fastrand::Rng,
    owed: f64,
    per_second: f64,
}

impl Day {
    /// A day with `load` times as many requests as the endpoints can serve.
    fn new(vms: usize, endpoints: usize, domains: usize, load: f64) -> Self {
        let mut region = Region::new(vms, endpoints, domains);
        region.set_rooms(SLOTS, MAX_WAITING, SERVICE_TIME);
        Self {
            per_second: load * capacity(endpoints),
            region,
            rng: fastrand::Rng::with_seed(1),
            owed: 0.0,
        }
    }

    fn run(&mut self, duration: Millis) {
        let end = self.region.now + duration;
        while self.region.now < end {
            self.region.step();
            self.owed += self.per_second * STEP.0 as f64 / 1_000.0;
            while self.owed >= 1.0 {
                self.owed -= 1.0;
                let vm = self.rng.usize(..self.region.vm_count());
                self.region.request(vm, self.rng.f64() < 0.3);
            }
        }
    }

    /// Names a limit, and lets nothing wait any more soon after.
    fn become_brittle(&mut self, limit: f64) -> Time {
        self.region.set_rejection_limit(Some(limit));
        self.run(CONTACT);
        for model in &mut self.region.rooms {
            model.room.max_waiting = 0;
        }
        self.region.now
    }

    fn most_rejected(&self, from: Time) -> usize {
        let rooms = self.region.rooms.iter();
        rooms
            .map(|model| model.room.most_rejected(from))
            .max()
            .unwrap_or_default()
    }

    fn served_per_second(&self, from: Time) -> f64 {
        let rooms = self.region.rooms.iter();
        rooms
            .map(|model| model.room.served_per_second(from, self.region.now))
            .sum()
    }
}

/// Returns the requests a second that the endpoints can serve.
fn capacity(endpoints: usize) -> f64 {
    endpoints as f64 * f64::from(SLOTS) / MEAN_SERVICE
}

/// Plays a brittle time, and returns the largest number of rejections of an endpoint in a second, and the share of the
/// capacity that was served.
fn play(vms: usize, endpoints: usize, limit: f64, fault: Fault) -> (usize, f64) {
    let mut day = Day::new(vms, endpoints, 2, 3.0);
    day.run(Millis(8_000));
    let from = day.become_brittle(limit);
    day.run(Millis(3_000));
    match fault {
        Fault::None => {}
        Fault::Kill | Fault::Restart => day.region.set_running(1, false),
        Fault::Cut => day.region.set_group(1, 1),
        Fault::Pause => day.region.set_paused(1, true),
    }
    day.run(Millis(4_000));
    match fault {
        Fault::None | Fault::Kill => {}
        Fault::Restart => day.region.set_running(1, true),
        Fault::Cut => day.region.set_group(1, 0),
        Fault::Pause => day.region.set_paused(1, false),
    }
    day.run(Millis(BRITTLE.0 - 7_000));
    let share = day.served_per_second(from) / capacity(endpoints);
    (day.most_rejected(from), share)
}

fn check(vms: usize, endpoints: usize, fault: Fault, least: f64) {
    let mut failures = Vec::new();
    for limit in [0.0, 1.0, 5.0] {
        let (rejected, share) = play(vms, endpoints, limit, fault);
        println!(
            "{vms} VMs, {endpoints} endpoints, {fault:?}, limit {limit}: {rejected} rejected a second, {share:.2} served"
        );
        if rejected as f64 > limit || share < least {
            failures.push((limit, rejected, share));
        }
    }
    assert!(
        failures.is_empty(),
        "limit, rejected a second, share served: {failures:?}"
    );
}

#[test]
fn no_endpoint_rejects_more_than_it_bears() {
    for (vms, endpoints) in [(1, 2), (4, 4), (22, 6)] {
        check(vms, endpoints, Fault::None, GOODPUT);
    }
}

#[test]
fn killed_vm_makes_no_endpoint_fall() {
    check(4, 4, Fault::Kill, 0.6);
}

#[test]
fn restarted_vm_makes_no_endpoint_fall() {
    check(9, 4, Fault::Restart, 0.6);
}

#[test]
fn cut_off_vm_makes_no_endpoint_fall() {
    check(9, 4, Fault::Cut, 0.6);
}

#[test]
fn paused_vm_makes_no_endpoint_fall() {
    check(9, 4, Fault::Pause, 0.6);
}

/// Guards against VMs of a large fleet that each try an endpoint once.
#[test]
fn large_fleet_makes_no_endpoint_fall() {
    check(100, 3, Fault::None, 0.7);
}

/// Guards against an endpoint that has less room than it has slots, as when abandoned requests hold some: what it rejects
/// must lower what it gets before it falls.
#[test]
fn slots_that_are_held_by_others_make_no_endpoint_fall() {
    for limit in [1.0, 5.0] {
        let mut day = Day::new(4, 2, 1, 3.0);
        day.run(Millis(8_000));
        let from = day.become_brittle(limit);
        for model in &mut day.region.rooms {
            model.room.occupy(SLOTS as usize / 2, from + BRITTLE);
        }
        day.run(BRITTLE);
        let rejected = day.most_rejected(from);
        let share = day.served_per_second(from) * 2.0 / capacity(2);
        println!("limit {limit}: {rejected} rejected a second, {share:.2} of the rest served");
        assert!(rejected as f64 <= limit, "{rejected} rejected a second, limit {limit}");
        assert!(share >= 0.6, "{share} of the rest served, limit {limit}");
    }
}

/// Guards against a service that is held back after its endpoints are sound again.
#[test]
fn end_of_brittleness_gives_the_queues_back() {
    let mut day = Day::new(4, 4, 2, 3.0);
    day.run(Millis(8_000));
    day.become_brittle(1.0);
    day.region.set_rejection_limit(None);
    for model in &mut day.region.rooms {
        model.room.max_waiting = MAX_WAITING;
    }
    day.run(Millis(3_000));
    let from = day.region.now;
    day.run(Millis(3_000));
    let most_waiting = day
        .region
        .rooms
        .iter()
        .map(|model| model.room.waiting(day.region.now))
        .max();
    assert!(most_waiting > Some(0), "requests wait at the endpoints again");
    let share = day.served_per_second(from) / capacity(4);
    assert!(share >= 0.9, "{share}");
}
