//! Membership rows that heartbeats carry, in a fleet of which many VMs stop and start.
//!
//! Guards against heartbeats that carry the rows of all VMs for as long as VMs stop and start in turn, as hardly two VMs
//! know the same rows then. They fill the links of the VMs, on which streams stand still and short calls fail.

mod support;

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_member::VmRow;
use sw_relay::{Exchange, Heartbeat, Options, Relay, RowQuery};
use sw_unit::{DomainId, Incarnation, Millis, RegionId, Time};

const VMS: usize = 195;
const DOMAINS: usize = 6;
const REGIONS: usize = 3;
const SEEDS: usize = 3;
const STEP: Millis = Millis(100);
const TICK_PERIOD: Millis = Millis(500);
const OVERDUE: Millis = Millis(700);
const TICK_MARGIN: Millis = Millis(60);
const DOMAIN_PERIOD: Millis = Millis(900);
const TAKEOVER_AFTER: Millis = Millis(2_400);
/// Time from the announcement of a stop to the end of the process, and from there to its next start.
const STOP_TIME: Millis = Millis(1_500);
const DOWNTIME: Millis = Millis(1_000);
/// Bytes of a row on the wire.
const ROW_LEN: f64 = 186.0;
/// Bytes a second that a VM may send and receive for control, see `docs/CAPACITY.md`.
const CONTROL_BUDGET: f64 = 13_000.0;
/// Bytes a second of the link of a VM: 20 Mbit/s.
const LINK_RATE: f64 = 2_500_000.0;
/// Time limit of a short call between VMs in seconds.
const SHORT_CALL_LIMIT: f64 = 1.2;
/// Time after which all VMs know a change of which no message was lost.
const PROPAGATION: Millis = Millis(5_000);
/// Time after which all VMs know a change although messages were lost.
const REPAIR: Millis = Millis(30_000);
/// Time after which a started VM knows all others.
const JOIN: Millis = Millis(2_000);

/// Rows that a VM sent and received in each second.
type Traffic = IndexMap<(usize, u64), u64>;

struct Fleet {
    now: Time,
    /// The running VMs.
    relays: Vec<Option<Relay>>,
    incarnations: Vec<u64>,
    /// Times of stops, ends and starts that are to come.
    stops: Vec<(Time, usize)>,
    ends: Vec<(Time, usize)>,
    starts: Vec<(Time, usize)>,
    sent: Traffic,
    received: Traffic,
    /// Share of requests and of replies that are lost.
    loss: f64,
    /// A failure domain that cannot reach the others.
    cut_off: Option<usize>,
    rng: fastrand::Rng,
}

fn domain_id(domain: usize) -> DomainId {
    format!("d{domain}").parse().expect("an id")
}

fn region_id(domain: usize) -> RegionId {
    format!("r{}", domain % REGIONS).parse().expect("an id")
}

fn address(vm: usize) -> SocketAddr {
    ([10, 0, 0, 2], 7_000 + vm as u16).into()
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port() - 7_000)
}

fn vm_row(vm: usize, incarnation: u64) -> VmRow {
    VmRow {
        incarnation: Incarnation(incarnation),
        domain: domain_id(vm % DOMAINS),
        region: region_id(vm % DOMAINS),
        peer_listen: address(vm),
        ..support::row(&format!("vm-{vm:03}"), "north")
    }
}

fn started(vm: usize, incarnation: u64, now: Time) -> Relay {
    support::relay_with(Options {
        members: sw_member::Options {
            min_period: Millis(500),
            period_per_neighbour: Millis(60),
            max_period: Millis(1_500),
            missed_periods: 5,
            remote_suspect_after: Millis(4_000),
            forget_after: Millis(120_000),
        },
        domain_regions: (0..DOMAINS)
            .map(|domain| (domain_id(domain), region_id(domain)))
            .collect(),
        started_at: now,
        seed: vm as u64 + 1,
        ..support::options(vm_row(vm, incarnation))
    })
}

impl Fleet {
    /// A fleet whose VMs know each other.
    fn new() -> Self {
        let mut fleet = Self {
            now: Time(0),
            relays: (0..VMS).map(|vm| Some(started(vm, 1, Time(0)))).collect(),
            incarnations: vec![1; VMS],
            stops: Vec::new(),
            ends: Vec::new(),
            starts: Vec::new(),
            sent: Traffic::new(),
            received: Traffic::new(),
            loss: 0.0,
            cut_off: None,
            rng: fastrand::Rng::with_seed(3),
        };
        fleet.run_for(REPAIR);
        assert!(fleet.agrees(), "all VMs know all others before the test");
        fleet
    }

    /// Lets a third of the VMs stop and start in turn within 10 s.
    fn plan_restarts(&mut self) {
        for (at, vm) in (0..10_000).step_by(150).zip((0..VMS).step_by(3)) {
            self.stops.push((self.now + Millis(at), vm));
        }
    }

    fn run_for(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until all planned restarts are over.
    fn run_restarts(&mut self) {
        while !(self.stops.is_empty() && self.ends.is_empty() && self.starts.is_empty()) {
            self.step();
        }
    }

    fn step(&mut self) {
        for vm in take_due(&mut self.stops, self.now) {
            self.stop(vm);
        }
        for vm in take_due(&mut self.ends, self.now) {
            self.relays[vm] = None;
        }
        for vm in take_due(&mut self.starts, self.now) {
            self.incarnations[vm] += 1;
            self.relays[vm] = Some(started(vm, self.incarnations[vm], self.now));
        }
        for vm in 0..VMS {
            let is_tick = (self.now.0 + vm as u64 * STEP.0).is_multiple_of(TICK_PERIOD.0);
            if is_tick && self.relays[vm].is_some() {
                self.tick(vm);
            }
        }
        self.now = self.now + STEP;
    }

    fn stop(&mut self, vm: usize) {
        let Some(relay) = &mut self.relays[vm] else {
            return;
        };
        relay.announce_leaving();
        let rows: Vec<_> = relay.members().peers().cloned().collect();
        for row in rows {
            self.exchange(vm, row.peer_listen, Some(row));
        }
        self.ends.push((self.now + STOP_TIME, vm));
        self.starts.push((self.now + STOP_TIME + DOWNTIME, vm));
    }

    fn tick(&mut self, vm: usize) {
        let now = self.now;
        let Some(relay) = &mut self.relays[vm] else {
            return;
        };
        relay.tick(now);
        let mut rows = due_neighbours(relay, now);
        for domain in (0..DOMAINS).map(domain_id) {
            let is_remote = domain != relay.members().local().domain;
            if is_remote && relay.is_heartbeat_due(&domain, DOMAIN_PERIOD, TAKEOVER_AFTER, now) {
                rows.extend(relay.remote_delegate(&domain, now));
            }
        }
        let seeds: Vec<_> = (0..SEEDS).map(address).collect();
        let unknown = relay.seeds_to_call(&seeds, now);
        for row in rows {
            self.exchange(vm, row.peer_listen, Some(row));
        }
        for seed in unknown {
            self.exchange(vm, seed, None);
        }
    }

    fn exchange(&mut self, from: usize, address: SocketAddr, row: Option<VmRow>) {
        let (now, to) = (self.now, index_of(address));
        let Some(caller) = &mut self.relays[from] else {
            return;
        };
        let exchange = caller.start_exchange(row, now);
        let from_row = caller.members().local().clone();
        let arrives = self.is_received(from, to, &exchange.heartbeat);
        let Some(peer) = self.relays[to].as_mut().filter(|_| arrives) else {
            return;
        };
        peer.on_heartbeat(exchange.heartbeat.clone(), now);
        let reply = peer.reply(&from_row, now);
        if self.is_received(to, from, &reply) {
            self.apply_reply(from, &exchange, reply);
        }
    }

    fn apply_reply(&mut self, vm: usize, exchange: &Exchange, reply: Heartbeat) {
        if let Some(caller) = &mut self.relays[vm] {
            caller.end_exchange(exchange, reply, self.now);
        }
    }

    /// Counts the rows of a heartbeat, and returns whether it is received.
    fn is_received(&mut self, from: usize, to: usize, heartbeat: &Heartbeat) -> bool {
        let (second, rows) = (self.now.0 / 1_000, heartbeat.known_vms.len() as u64);
        let is_cut = |vm: usize| Some(vm % DOMAINS) == self.cut_off;
        if is_cut(from) != is_cut(to) || self.relays[to].is_none() {
            return false;
        }
        *self.sent.entry((from, second)).or_default() += rows;
        let received = self.rng.f64() >= self.loss;
        if received {
            *self.received.entry((to, second)).or_default() += rows;
        }
        received
    }

    /// Returns whether all running VMs know the same rows of all VMs.
    fn agrees(&self) -> bool {
        let mut digests: Vec<_> = self
            .running()
            .map(|relay| relay.heartbeat(None, self.now).members_digest)
            .collect();
        digests.dedup();
        digests.len() == 1 && self.running().all(|relay| relay.members().peers().count() == VMS - 1)
    }

    fn running(&self) -> impl Iterator<Item = &Relay> {
        self.relays.iter().flatten()
    }

    /// Returns the time until all VMs agree, up to `limit`; `None` if they do not.
    fn time_to_agree(&mut self, limit: Millis) -> Option<Millis> {
        let began_at = self.now;
        while !self.agrees() {
            if self.now.since(began_at) >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(began_at))
    }
}

fn take_due(planned: &mut Vec<(Time, usize)>, now: Time) -> Vec<usize> {
    planned.extract_if(.., |(at, _)| *at <= now).map(|(_, vm)| vm).collect()
}

fn due_neighbours(relay: &Relay, now: Time) -> Vec<VmRow> {
    let members = relay.members();
    let period = members.heartbeat_period();
    let is_due = |row: &&VmRow| {
        let last = members.last_received_at(&row.vm);
        let since_last = last.map_or(OVERDUE, |last| now.since(last));
        let limit = if members.local().vm < row.vm {
            period
        } else {
            period + OVERDUE
        };
        since_last + TICK_MARGIN >= limit
    };
    members.neighbours().filter(is_due).cloned().collect()
}

/// Guards against LOST in planned stops: the rows of all VMs in each heartbeat, while no two VMs know the same ones.
#[test]
fn rows_fit_the_budget_for_control_while_vms_stop_and_start() {
    let mut fleet = Fleet::new();
    fleet.sent.clear();
    fleet.received.clear();
    let began_at = fleet.now;
    fleet.plan_restarts();
    fleet.run_restarts();
    let seconds = fleet.now.since(began_at).0 as f64 / 1_000.0;
    let rows = fleet.sent.values().chain(fleet.received.values()).sum::<u64>() as f64;
    let mean = rows * ROW_LEN / VMS as f64 / seconds;
    let peak = fleet.sent.values().copied().max().unwrap_or_default() as f64 * ROW_LEN;
    eprintln!("rows of a VM: {mean:.0} bytes/s sent and received, at most {peak:.0} bytes sent in a second");
    assert!(mean <= CONTROL_BUDGET, "{mean:.0} bytes/s of rows");
    assert!(
        peak <= LINK_RATE * SHORT_CALL_LIMIT,
        "{peak:.0} bytes of rows in a second keep a short call waiting beyond its limit"
    );
}

/// Guards against rows that some VMs never learn, as heartbeats carry only those that changed.
#[test]
fn all_vms_know_all_rows_soon_after_the_last_change() {
    let mut fleet = Fleet::new();
    fleet.plan_restarts();
    fleet.run_restarts();
    let time = fleet.time_to_agree(PROPAGATION);
    eprintln!("all VMs agree after {time:?}");
    assert!(time.is_some(), "not all VMs know all rows after {PROPAGATION}");
}

/// Guards against a VM that starts while others do and learns only what changed lately.
#[test]
fn started_vm_knows_all_vms_soon() {
    let mut fleet = Fleet::new();
    fleet.plan_restarts();
    let mut checks = Vec::new();
    while !(fleet.stops.is_empty() && fleet.starts.is_empty() && checks.is_empty()) {
        let starts = fleet.starts.iter().filter(|(at, _)| *at == fleet.now);
        checks.extend(starts.map(|(at, vm)| (*at + JOIN, *vm)));
        fleet.step();
        for vm in take_due(&mut checks, fleet.now) {
            let relay = fleet.relays[vm].as_ref().expect("it runs");
            assert_eq!(relay.members().peers().count(), VMS - 1, "vm-{vm:03} after {JOIN}");
        }
    }
}

/// Guards against rows that are lost for good with a heartbeat or its reply, as the sender does not repeat them.
#[test]
fn rows_of_lost_heartbeats_are_learned_later() {
    let mut fleet = Fleet::new();
    fleet.loss = 0.2;
    fleet.plan_restarts();
    fleet.run_restarts();
    fleet.loss = 0.0;
    let time = fleet.time_to_agree(REPAIR);
    eprintln!("all VMs agree after {time:?}");
    assert!(time.is_some(), "not all VMs know all rows after {REPAIR}");
}

/// Guards against a failure domain that lacks what changed while it was cut off, longer ago than heartbeats report.
#[test]
fn domain_that_was_cut_off_learns_all_rows() {
    let mut fleet = Fleet::new();
    fleet.plan_restarts();
    fleet.cut_off = Some(4);
    fleet.run_restarts();
    fleet.run_for(Millis(15_000));
    assert!(!fleet.agrees(), "the others' rows have changed");
    fleet.cut_off = None;
    let time = fleet.time_to_agree(REPAIR);
    eprintln!("all VMs agree after {time:?}");
    assert!(time.is_some(), "not all VMs know all rows after {REPAIR}");
}

/// Two VMs, of which `known` knows rows of 20 others since long ago.
fn two_vms() -> (Relay, Relay) {
    let (mut known, other) = (support::relay_of("vm-0"), support::relay_of("vm-1"));
    for index in 10..30 {
        let row = support::row(&format!("vm-{index}"), "south");
        known.on_heartbeat(support::heartbeat(row, Vec::new()), Time(0));
    }
    (known, other)
}

/// Guards against a VM of an earlier build that never learns rows, as it does not ask for all of them.
#[test]
fn vm_of_an_earlier_build_gets_all_rows() {
    let now = Time(60_000);
    let (mut known, other) = two_vms();
    let row = other.members().local().clone();
    known.on_heartbeat(support::heartbeat(row.clone(), Vec::new()), now);
    assert_eq!(known.reply(&row, now).known_vms.len(), 21 - 1, "but its own");
    let called = known.start_exchange(Some(row), now + Millis(1_000)).heartbeat;
    assert_eq!(called.known_vms.len(), 20);
}

/// Guards against a stop that tells each VM the rows of all others: nothing of it is about the stop.
#[test]
fn vm_that_takes_differences_gets_no_rows_that_did_not_change() {
    let now = Time(60_000);
    let (mut known, other) = two_vms();
    let row = other.members().local().clone();
    let heartbeat = Heartbeat {
        row_query: RowQuery {
            takes_differences: true,
            ..RowQuery::default()
        },
        ..support::heartbeat(row.clone(), Vec::new())
    };
    known.on_heartbeat(heartbeat, now);
    assert_eq!(known.reply(&row, now).known_vms, []);
    known.announce_leaving();
    let announced = known.start_exchange(Some(row), now).heartbeat;
    assert!(announced.from.leaving);
    assert_eq!(announced.known_vms, []);
}

/// Guards against a VM that starts alone and never asks for the rows that it lacks.
#[test]
fn started_vm_asks_for_all_rows() {
    let now = Time(1_000);
    let (mut known, mut other) = two_vms();
    let asked = other.start_exchange(None, now);
    assert!(asked.heartbeat.row_query.wants_all && asked.heartbeat.row_query.takes_differences);
    known.on_heartbeat(asked.heartbeat.clone(), now);
    let reply = known.reply(other.members().local(), now);
    other.end_exchange(&asked, reply, now);
    assert_eq!(other.members().peers().count(), 21);
}
