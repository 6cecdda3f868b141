//! The VMs of one region, with their heartbeats and reservations, and endpoints that name rate limits.
//!
//! Time passes in steps. Messages arrive within the step in which they are sent, unless their receiver is down, paused
//! or cut off from the sender. Endpoints are reached by all VMs.

use std::sync::Arc;

use indexmap::IndexMap;
use sw_member::VmRow;
use sw_relay::{
    AdmittedRequest, Attempt, AttemptHistory, AttemptOutcome, Choice, Coordinator, EndpointEntry, EndpointReport,
    Grant, Options, RateLimitStatement, RejectionLimitStatement, Relay, RequestHead, ReservationUpdate,
};
use sw_unit::{DomainId, Incarnation, Millis, Rate, Time};

use super::room::Room;
use super::{endpoint, head, heartbeat, options, register, relay_with, row};

/// Length of a step.
pub const STEP: Millis = Millis(10);
/// Time from the arrival of a request at an endpoint to its response.
const RESPONSE_TIME: Millis = Millis(20);
/// Time for which a VM that was down, paused or cut off is excused.
const EXCUSED_FOR: Millis = Millis(5_000);
/// Time from the first response that names a limit until the requests of its VM count.
const NOTICE: Millis = Millis(500);
/// Length of the spans in which requests are counted.
pub const SPAN: Millis = Millis(4_000);
/// Period of heartbeats with another failure domain, and the time after which the second delegate takes over.
const DOMAIN_PERIOD: Millis = Millis(900);
const TAKEOVER_AFTER: Millis = Millis(2_400);
/// Delay of a heartbeat after which a neighbour with a smaller id is called.
const OVERDUE: Millis = Millis(700);
/// Number of VMs that a VM calls as long as it does not know them.
const SEEDS: usize = 3;
const TICK_PERIOD: Millis = Millis(500);
/// Largest number of failure domains.
pub const MAX_DOMAINS: usize = 6;

/// A request that an endpoint received.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Time,
    pub endpoint: usize,
    pub vm: usize,
    pub urgent: bool,
    /// Whether it counts: its VM knew the limit for long enough, and is not excused.
    pub counts: bool,
}

/// A response that is on its way to a VM.
struct Response {
    due: Time,
    vm: usize,
    incarnation: Incarnation,
    endpoint: usize,
    attempt: Attempt,
    rate: Option<Rate>,
    rejection_limit: Option<Rate>,
    outcome: AttemptOutcome,
    reservation: Option<HeldReservation>,
}

/// A reservation that is released when its request ends.
#[derive(Debug, Clone, Copy)]
struct HeldReservation {
    coordinator: usize,
    entry_id: u64,
}

struct Vm {
    relay: Relay,
    /// Whether its process runs.
    running: bool,
    paused: bool,
    /// VMs reach each other only within a group.
    group: u32,
    /// When it was last down, paused or cut off.
    disturbed_at: Option<Time>,
    /// When it first received a response that names the limit in force, by endpoint.
    told_at: IndexMap<usize, Time>,
    /// Attempts that were started, to be sent when the VM is no longer paused.
    held: Vec<(Attempt, bool)>,
}

/// What an endpoint does with requests.
pub struct RoomModel {
    pub room: Room,
    /// Shortest and longest time that a request takes.
    pub service_time: (u64, u64),
    /// The rejections a second that the endpoint names.
    pub rejection_limit: Option<Rate>,
}

/// VMs and endpoints of one region.
pub struct Region {
    pub now: Time,
    domains: usize,
    vms: Vec<Vm>,
    endpoints: Vec<EndpointEntry>,
    /// The limits that the endpoints name.
    pub limits: Vec<Option<Rate>>,
    /// The room of the endpoints; empty if they take all requests.
    pub rooms: Vec<RoomModel>,
    rng: fastrand::Rng,
    pub arrivals: Vec<Arrival>,
    pub refused: usize,
    admitted: usize,
    responses: Vec<Response>,
}

fn domain(index: usize) -> DomainId {
    format!("north-{index}").parse().expect("an id")
}

fn index_of(vm: &str) -> usize {
    vm.trim_start_matches("vm-").parse().expect("an index")
}

fn vm_row(index: usize, domains: usize, incarnation: u64) -> VmRow {
    VmRow {
        incarnation: Incarnation(incarnation),
        domain: domain(index % domains),
        ..row(&format!("vm-{index}"), "north")
    }
}

fn vm_options(row: VmRow, seed: u64, now: Time) -> Options {
    let regions = (0..MAX_DOMAINS).map(|index| (domain(index), "north".parse().expect("an id")));
    Options {
        domain_regions: regions.collect(),
        started_at: now,
        seed,
        ..options(row)
    }
}

impl Region {
    /// Creates VMs that know each other, and endpoints of the plain service, spread over failure domains.
    pub fn new(vms: usize, endpoints: usize, domains: usize) -> Self {
        let entries = (0..endpoints).map(|index| EndpointEntry {
            domain: domain(index % domains),
            ..endpoint(&format!("a-{index}"), "app", "north")
        });
        let mut region = Self {
            now: Time(0),
            domains,
            vms: Vec::new(),
            endpoints: entries.collect(),
            limits: vec![None; endpoints],
            rooms: Vec::new(),
            rng: fastrand::Rng::with_seed(1),
            arrivals: Vec::new(),
            refused: 0,
            admitted: 0,
            responses: Vec::new(),
        };
        region.vms = (0..vms).map(|index| region.start_vm(index, 1)).collect();
        for (from, to) in (0..vms).flat_map(|from| (0..vms).map(move |to| (from, to))) {
            let row = vm_row(from, domains, 1);
            region.vms[to].relay.on_heartbeat(heartbeat(row, Vec::new()), Time(0));
        }
        region
    }

    fn start_vm(&self, index: usize, incarnation: u64) -> Vm {
        let mut relay = relay_with(vm_options(
            vm_row(index, self.domains, incarnation),
            index as u64,
            self.now,
        ));
        for entry in &self.endpoints {
            register(&mut relay, entry.clone(), self.now);
        }
        Vm {
            relay,
            running: true,
            paused: false,
            group: 0,
            disturbed_at: None,
            told_at: IndexMap::new(),
            held: Vec::new(),
        }
    }

    /// Kills the process of a VM, or starts it again.
    pub fn set_running(&mut self, index: usize, running: bool) {
        let incarnation = self.vms[index].relay.members().local().incarnation.0;
        if running && !self.vms[index].running {
            let group = self.vms[index].group;
            self.vms[index] = Vm {
                group,
                ..self.start_vm(index, incarnation + 1)
            };
        }
        self.vms[index].running = running;
        self.vms[index].disturbed_at = Some(self.now);
        if running && !self.rooms.is_empty() {
            self.ask_seeds(index);
        }
    }

    /// Exchanges heartbeats with the seeds, before which a process that has started serves nothing.
    fn ask_seeds(&mut self, index: usize) {
        for seed in (0..SEEDS.min(self.vms.len())).filter(|seed| *seed != index) {
            if self.reaches(index, seed) {
                self.exchange(index, seed);
            }
        }
    }

    /// Pauses a VM, or lets it go on.
    pub fn set_paused(&mut self, index: usize, paused: bool) {
        self.vms[index].paused = paused;
        self.vms[index].disturbed_at = Some(self.now);
        if !paused {
            for (attempt, urgent) in std::mem::take(&mut self.vms[index].held) {
                self.send(index, attempt, None, urgent);
            }
        }
    }

    /// Moves a VM to a group; only VMs of one group reach each other.
    pub fn set_group(&mut self, index: usize, group: u32) {
        self.vms[index].group = group;
        self.vms[index].disturbed_at = Some(self.now);
    }

    /// Registers an endpoint that rejects all requests, and that the other VMs do not know.
    pub fn register_at(&mut self, index: usize, name: &str) {
        let entry = EndpointEntry {
            domain: domain(0),
            ..endpoint(name, "app", "north")
        };
        let relay = &mut self.vms[index].relay;
        register(relay, entry.clone(), self.now);
        let report = EndpointReport {
            retry_after: Some(Millis(u64::MAX)),
            ..EndpointReport::default()
        };
        relay.on_endpoint_report(&entry, &report, self.now);
    }

    /// Announces that a VM is leaving.
    pub fn leave(&mut self, index: usize) {
        self.vms[index].relay.announce_leaving();
    }

    /// Sets what an endpoint names.
    pub fn set_limit(&mut self, endpoint: usize, limit: Option<f64>) {
        self.limits[endpoint] = limit.map(Rate);
        for vm in &mut self.vms {
            vm.told_at.swap_remove(&endpoint);
        }
    }

    /// Returns the number of VMs.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Gives the endpoints room for `slots` running and `max_waiting` waiting requests, and a range of service times.
    pub fn set_rooms(&mut self, slots: u32, max_waiting: usize, service_time: (u64, u64)) {
        for entry in &mut self.endpoints {
            entry.slots = slots;
            for vm in &mut self.vms {
                register(&mut vm.relay, entry.clone(), self.now);
            }
        }
        let model = || RoomModel {
            room: Room::new(slots as usize, max_waiting),
            service_time,
            rejection_limit: None,
        };
        self.rooms = self.endpoints.iter().map(|_| model()).collect();
    }

    /// Sets the rejections a second that all endpoints name.
    pub fn set_rejection_limit(&mut self, limit: Option<f64>) {
        for model in &mut self.rooms {
            model.rejection_limit = limit.map(Rate);
        }
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        let due: Vec<_> = self
            .responses
            .extract_if(.., |response| response.due <= self.now)
            .collect();
        for response in due {
            self.receive(response);
        }
        for index in 0..self.vms.len() {
            // VMs tick at different moments.
            if self.is_up(index) && (self.now.0 + 10 * index as u64).is_multiple_of(TICK_PERIOD.0) {
                self.vms[index].relay.tick(self.now);
                self.send_heartbeats(index);
            }
            let disturbed = !self.is_up(index) || self.vms[index].group != 0;
            if disturbed {
                self.vms[index].disturbed_at = Some(self.now);
            }
        }
    }

    /// A caller sends a request to a VM, which is handled at once unless the VM is down or paused.
    pub fn request(&mut self, index: usize, urgent: bool) {
        if !self.is_up(index) {
            return;
        }
        let now = self.now;
        let mut history = AttemptHistory::default();
        let route = if urgent { "read" } else { "status" };
        let admitted = self.admit(index, route);
        loop {
            let choice = self.vms[index].relay.choose(&admitted, &history, now);
            let Ok(Choice::Endpoint {
                endpoint, coordinator, ..
            }) = choice
            else {
                self.refused += 1;
                return;
            };
            let reserved = coordinator
                .as_ref()
                .map(|coordinator| self.reserve(index, coordinator, &mut history));
            let grant = match reserved {
                Some(Err(AttemptOutcome::Declined)) => continue,
                Some(Ok(grant)) => grant,
                Some(Err(_)) | None => None,
            };
            let held = coordinator.zip(grant).map(|(coordinator, grant)| HeldReservation {
                coordinator: index_of(coordinator.vm.as_str()),
                entry_id: grant.entry_id,
            });
            let attempt = self.vms[index]
                .relay
                .start_attempt(&admitted, &endpoint, grant.as_ref(), now);
            let Some(attempt) = attempt else {
                self.release(index, held, &endpoint, ReservationUpdate::Ended);
                history.record_endpoint(&endpoint.id, Some(AttemptOutcome::Unsent));
                if self.vms[index].relay.withdraw_retry(&admitted, &history) {
                    continue;
                }
                self.refused += 1;
                return;
            };
            return self.send(index, attempt, held, urgent);
        }
    }

    /// A caller's request is chosen now and sent when the VM, which is paused in between, goes on.
    pub fn request_before_pause(&mut self, index: usize) {
        let now = self.now;
        let admitted = self.admit(index, "read");
        let choice = self.vms[index].relay.choose(&admitted, &AttemptHistory::default(), now);
        if let Ok(Choice::Endpoint {
            endpoint,
            coordinator: None,
            ..
        }) = choice
            && let Some(attempt) = self.vms[index].relay.start_attempt(&admitted, &endpoint, None, now)
        {
            self.vms[index].held.push((attempt, true));
        }
    }

    /// Returns the largest number of counted requests that an endpoint received in a span that begins after `from`.
    pub fn most_counted(&self, endpoint: usize, from: Time) -> usize {
        let arrivals = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.endpoint == endpoint && arrival.counts);
        let times: Vec<_> = arrivals.map(|arrival| arrival.at).filter(|at| *at >= from).collect();
        let in_span = |start: usize| {
            times[start..]
                .iter()
                .take_while(|at| at.since(times[start]) < SPAN)
                .count()
        };
        (0..times.len()).map(in_span).max().unwrap_or_default()
    }

    fn admit(&mut self, index: usize, route: &str) -> AdmittedRequest {
        self.admitted += 1;
        let head = RequestHead {
            id: Arc::from(format!("a{}", self.admitted)),
            ..head(route, None)
        };
        let admitted = self.vms[index].relay.admit(head, self.now, false);
        admitted.expect("a known route")
    }

    fn is_up(&self, index: usize) -> bool {
        self.vms[index].running && !self.vms[index].paused
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.is_up(from) && self.is_up(to) && self.vms[from].group == self.vms[to].group
    }

    fn reserve(
        &mut self,
        from: usize,
        coordinator: &Coordinator,
        history: &mut AttemptHistory,
    ) -> Result<Option<Grant>, AttemptOutcome> {
        let (now, to) = (self.now, index_of(coordinator.vm.as_str()));
        let reservation = &coordinator.reservation;
        if !self.reaches(from, to) {
            self.vms[from].relay.on_coordinator_unresponsive(&coordinator.vm, now);
            return Ok(None);
        }
        let answer = self.vms[to].relay.reserve(reservation, now);
        let estimate = match &answer {
            Ok(grant) => &grant.estimate,
            Err(estimate) => estimate,
        };
        self.vms[from].relay.record_rate_limit(reservation, estimate, now);
        match answer {
            Ok(grant) => Ok(Some(grant)),
            Err(estimate) => {
                match estimate.token_wait {
                    Some(wait) => history.record_rate_limited(&reservation.endpoint, wait),
                    None => history.record_declined(&reservation.endpoint, estimate.expected_ms),
                }
                Err(AttemptOutcome::Declined)
            }
        }
    }

    /// Tells the coordinator of a reservation how its request ended.
    fn release(
        &mut self,
        from: usize,
        held: Option<HeldReservation>,
        endpoint: &EndpointEntry,
        update: ReservationUpdate,
    ) {
        let Some(held) = held.filter(|held| self.reaches(from, held.coordinator)) else {
            return;
        };
        let relay = &mut self.vms[held.coordinator].relay;
        relay.on_reservation_update(&endpoint.id, held.entry_id, update, self.now);
    }

    fn send(&mut self, index: usize, attempt: Attempt, held: Option<HeldReservation>, urgent: bool) {
        let now = self.now;
        // Without a model of its room, an endpoint has no queue to keep an account of.
        let reservation = if self.rooms.is_empty() {
            self.release(index, held, &attempt.endpoint, ReservationUpdate::Ended);
            None
        } else {
            held
        };
        let vm = &mut self.vms[index];
        if !vm.relay.may_send(&attempt.endpoint, attempt.token_taken_at, now) {
            vm.relay.end_attempt(&attempt, AttemptOutcome::Unsent, now);
            self.release(index, reservation, &attempt.endpoint, ReservationUpdate::Ended);
            return;
        }
        let id = &attempt.endpoint.id;
        let endpoint = self.endpoints.iter().position(|known| known.id == *id);
        let endpoint = endpoint.expect("a known endpoint");
        let told = vm.told_at.get(&endpoint).is_some_and(|at| now.since(*at) >= NOTICE);
        let excused = vm.disturbed_at.is_some_and(|at| now.since(at) < EXCUSED_FOR);
        self.arrivals.push(Arrival {
            at: now,
            endpoint,
            vm: index,
            urgent,
            counts: told && !excused,
        });
        let incarnation = vm.relay.members().local().incarnation;
        let (due, outcome) = self.outcome_at(endpoint);
        self.responses.push(Response {
            due,
            vm: index,
            incarnation,
            endpoint,
            attempt,
            rate: self.limits[endpoint],
            rejection_limit: self.rooms.get(endpoint).and_then(|model| model.rejection_limit),
            outcome,
            reservation,
        });
    }

    /// Returns how an endpoint ends a request that arrives now, and when the response arrives.
    fn outcome_at(&mut self, endpoint: usize) -> (Time, AttemptOutcome) {
        let now = self.now;
        let Some(model) = self.rooms.get_mut(endpoint) else {
            return (now + RESPONSE_TIME, AttemptOutcome::Complete);
        };
        let duration = Millis(self.rng.u64(model.service_time.0..=model.service_time.1));
        match model.room.offer(duration, now) {
            Some(end) => (end + STEP, AttemptOutcome::Complete),
            None => (now + STEP, AttemptOutcome::Rejected),
        }
    }

    fn receive(&mut self, response: Response) {
        let Response {
            vm,
            endpoint,
            attempt,
            rate,
            rejection_limit,
            outcome,
            reservation,
            ..
        } = response;
        let is_same = self.vms[vm].relay.members().local().incarnation == response.incarnation;
        if !self.is_up(vm) || !is_same {
            return;
        }
        let statement = rate.map_or(RateLimitStatement::NotNamed, RateLimitStatement::Named);
        let entry = self.endpoints[endpoint].clone();
        self.vms[vm]
            .relay
            .on_rate_limit_statement(&entry, statement, Some(attempt.started_at), self.now);
        let statement = rejection_limit.map_or(RejectionLimitStatement::NotNamed, RejectionLimitStatement::Named);
        let sent_at = Some(attempt.started_at);
        let relay = &mut self.vms[vm].relay;
        relay.on_rejection_limit_statement(&entry, statement, sent_at, self.now);
        relay.end_attempt(&attempt, outcome, self.now);
        let update = if outcome == AttemptOutcome::Rejected {
            ReservationUpdate::Rejected
        } else {
            ReservationUpdate::Ended
        };
        self.release(vm, reservation, &entry, update);
        if rate.is_some() && rate == self.limits[endpoint] {
            self.vms[vm].told_at.entry(endpoint).or_insert(self.now);
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        let now = self.now;
        let members = self.vms[from].relay.members();
        let period = members.heartbeat_period();
        let local = members.local().vm.clone();
        let is_due = |row: &&VmRow| {
            let since_last = members.last_received_at(&row.vm).map(|last| now.since(last));
            let limit = if local < row.vm { period } else { period + OVERDUE };
            since_last.is_none_or(|since_last| since_last + STEP >= limit)
        };
        let mut rows: Vec<_> = members.neighbours().filter(is_due).map(|row| row.vm.clone()).collect();
        let seeds = (0..SEEDS.min(self.vms.len())).filter(|seed| *seed != from);
        let seeds = seeds.map(|seed| vm_row(seed, self.domains, 1).vm);
        rows.extend(seeds.filter(|vm| members.row(vm).is_none()));
        let domains = 0..self.domains;
        let relay = &mut self.vms[from].relay;
        for domain in domains.map(domain) {
            let is_remote = relay.members().local().domain != domain;
            if is_remote && relay.is_heartbeat_due(&domain, DOMAIN_PERIOD, TAKEOVER_AFTER, now) {
                rows.extend(relay.remote_delegate(&domain, now).map(|row| row.vm));
            }
        }
        for vm in rows {
            let to = index_of(vm.as_str());
            if self.reaches(from, to) {
                self.exchange(from, to);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let now = self.now;
        let row = |region: &Self, index: usize| region.vms[index].relay.members().local().clone();
        let (from_row, to_row) = (row(self, from), row(self, to));
        let heartbeat = self.vms[from].relay.heartbeat(Some(&to_row), now);
        self.vms[to].relay.on_heartbeat(heartbeat, now);
        let reply = self.vms[to].relay.heartbeat(Some(&from_row), now);
        self.vms[from].relay.on_heartbeat(reply, now);
    }
}

/// Returns the number of requests that an endpoint may receive in a span under a limit.
pub fn allowed(limit: f64) -> usize {
    (1.5 * limit * SPAN.0 as f64 / 1_000.0 + 5.0) as usize
}
