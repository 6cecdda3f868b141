//! VMs of which some have no paths to some endpoints.
//!
//! Requests end within the step in which they are sent, so that endpoints are never busy. A VM without a path to an endpoint
//! cannot connect to it.

use std::sync::Arc;

use sw_error::{Kind, Refusal};
use sw_relay::{
    AdmittedRequest, AttemptHistory, AttemptOutcome, Choice, Coordinator, EndpointEntry, Grant, PathFailure, Relay,
    RequestHead, ReservationUpdate,
};
use sw_unit::{Millis, Time};

use super::{endpoint, head, prompt, register, relay_in, row};

pub const STEP: Millis = Millis(100);
const HEARTBEAT_PERIOD: Millis = Millis(500);
const TAKEOVER_AFTER: Millis = Millis(2_400);

/// How a request was served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Served {
    /// The endpoint that ran it.
    pub endpoint: usize,
    /// The VM that sent it there.
    pub vm: usize,
    /// Attempts at endpoints without a path, at all VMs.
    pub failed_attempts: usize,
}

/// VMs and endpoints of several regions; each region has one failure domain.
pub struct PathFleet {
    pub now: Time,
    pub vms: Vec<Relay>,
    endpoints: Vec<EndpointEntry>,
    regions: Vec<&'static str>,
    /// Whether a VM has a path to an endpoint, by VM and endpoint.
    paths: Vec<Vec<bool>>,
    requests: usize,
    failed_attempts: usize,
}

fn vm_name(index: usize) -> String {
    format!("vm-{index:03}")
}

fn vm_index(name: &str) -> usize {
    name.trim_start_matches("vm-").parse().expect("an index")
}

impl PathFleet {
    /// Creates VMs that know each other and have all paths; `layout` names each region with its VMs and its endpoints of
    /// each service.
    pub fn new(layout: &[(&'static str, usize, usize)]) -> Self {
        let mut fleet = Self {
            now: Time(10_000),
            vms: Vec::new(),
            endpoints: Vec::new(),
            regions: Vec::new(),
            paths: Vec::new(),
            requests: 0,
            failed_attempts: 0,
        };
        for (region, vms, endpoints) in layout {
            for index in 0..*endpoints {
                for service in ["app", "engines"] {
                    let name = format!("e-{region}-{service}-{index}");
                    fleet.endpoints.push(endpoint(&name, service, region));
                }
            }
            for _ in 0..*vms {
                fleet.vms.push(relay_in(&vm_name(fleet.vms.len()), region));
                fleet.regions.push(region);
            }
        }
        for relay in &mut fleet.vms {
            for endpoint in &fleet.endpoints {
                register(relay, endpoint.clone(), fleet.now);
            }
        }
        fleet.paths = vec![vec![true; fleet.endpoints.len()]; fleet.vms.len()];
        let vms = fleet.vms.len();
        for (from, to) in (0..vms).flat_map(|from| (0..vms).map(move |to| (from, to))) {
            if from != to {
                fleet.exchange(from, to);
            }
        }
        fleet.pass(Millis(1_000));
        fleet
    }

    /// Sets whether a VM has a path to each endpoint.
    pub fn set_paths(&mut self, vm: usize, has_path: impl Fn(&EndpointEntry) -> bool) {
        self.paths[vm] = self.endpoints.iter().map(has_path).collect();
    }

    /// Takes all paths from a VM, or gives them back.
    pub fn set_cut(&mut self, vm: usize, cut: bool) {
        self.set_paths(vm, |_| !cut);
    }

    /// Returns whether a request for `service` at a VM has a way of at most two hops that stays in the region.
    pub fn has_way(&self, vm: usize, service: &str) -> bool {
        let relays = (0..self.vms.len()).filter(|other| self.regions[*other] == self.regions[vm]);
        relays.into_iter().any(|other| {
            let paths = self.endpoints.iter().zip(&self.paths[other]);
            let local = paths.filter(|(entry, _)| entry.domain.as_str() == self.regions[vm]);
            local
                .into_iter()
                .any(|(entry, path)| *path && entry.service.as_str() == service)
        })
    }

    /// Lets time pass.
    pub fn pass(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            (0..self.vms.len()).for_each(|vm| self.send_probes(vm));
            if self.now.0.is_multiple_of(HEARTBEAT_PERIOD.0) {
                (0..self.vms.len()).for_each(|vm| self.send_heartbeats(vm));
                for relay in &mut self.vms {
                    relay.tick(self.now);
                }
            }
        }
    }

    fn send_probes(&mut self, vm: usize) {
        for endpoint in self.vms[vm].due_path_probes(self.now) {
            match self.connect(vm, &endpoint) {
                Ok(()) => self.vms[vm].on_path_open(&endpoint, self.now),
                Err(failure) => self.vms[vm].on_path_lost(&endpoint, failure, self.now, self.now),
            }
        }
    }

    /// Checks a path and a sample of the others, as a VM does when a connection fails.
    fn check(&mut self, vm: usize, endpoint: &EndpointEntry) {
        let sample = self.vms[vm].path_sample(endpoint);
        let probes = sample.into_iter().map(|endpoint| {
            let outcome = self.connect(vm, &endpoint);
            (endpoint, outcome)
        });
        let probes: Vec<_> = probes.collect();
        self.vms[vm].on_path_sample(&probes, self.now, self.now);
    }

    fn connect(&self, vm: usize, endpoint: &EndpointEntry) -> Result<(), PathFailure> {
        if self.paths[vm][self.index_of(endpoint)] {
            Ok(())
        } else {
            Err(PathFailure::Timeout)
        }
    }

    fn index_of(&self, endpoint: &EndpointEntry) -> usize {
        let index = self.endpoints.iter().position(|entry| entry.id == endpoint.id);
        index.expect("a known endpoint")
    }

    fn send_heartbeats(&mut self, from: usize) {
        let relay = &mut self.vms[from];
        let local = relay.members().local().clone();
        let neighbours = relay.members().neighbours().filter(|row| local.vm < row.vm);
        let mut rows: Vec<_> = neighbours.cloned().collect();
        let domains: Vec<_> = relay.remote_domains().cloned().collect();
        for domain in domains {
            if relay.is_heartbeat_due(&domain, HEARTBEAT_PERIOD, TAKEOVER_AFTER, self.now) {
                rows.extend(relay.remote_delegate(&domain, self.now));
            }
        }
        for row in rows {
            self.exchange(from, vm_index(row.vm.as_str()));
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let (from_row, to_row) = (
            row(&vm_name(from), self.regions[from]),
            row(&vm_name(to), self.regions[to]),
        );
        let heartbeat = self.vms[from].heartbeat(Some(&to_row), self.now);
        self.vms[to].on_heartbeat(heartbeat, self.now);
        let reply = self.vms[to].heartbeat(Some(&from_row), self.now);
        self.vms[from].on_heartbeat(reply, self.now);
    }

    /// A caller sends a request to a VM.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets.
    pub fn request(&mut self, vm: usize, route: &str) -> Result<Served, Refusal> {
        self.requests += 1;
        self.failed_attempts = 0;
        let needs_prompt = matches!(route, "digest" | "query");
        let head = RequestHead {
            id: Arc::from(format!("a{}", self.requests)),
            ..head(route, needs_prompt.then(|| prompt(self.requests as u64 % 5, 100, 100)))
        };
        let admitted = self.vms[vm]
            .admit(head.clone(), self.now, false)
            .expect("a known route");
        self.run(vm, &admitted, &head)
    }

    fn run(&mut self, vm: usize, admitted: &AdmittedRequest, head: &RequestHead) -> Result<Served, Refusal> {
        let mut history = AttemptHistory::default();
        loop {
            let choice = self.vms[vm].choose(admitted, &history, self.now);
            let choice = choice.map_err(|refusal| history.final_refusal(Some(refusal)))?;
            match choice {
                Choice::Endpoint {
                    endpoint, coordinator, ..
                } => {
                    if let Some(served) = self.attempt(vm, admitted, &endpoint, coordinator.as_deref(), &mut history) {
                        return Ok(served);
                    }
                }
                Choice::Vm { vm: to, region, .. } => {
                    assert!(!admitted.forwarded, "a forwarded request is forwarded again");
                    let index = vm_index(to.as_str());
                    let mut forwarded = self.vms[index].admit(head.clone(), self.now, true)?;
                    forwarded.max_attempts = 1;
                    match self.run(index, &forwarded, head) {
                        Ok(served) => return Ok(served),
                        Err(refusal) => {
                            history.record_vm_refusal(&to, &region, refusal);
                            if refusal.kind == Kind::NoEndpoint {
                                self.vms[vm].on_forward_without_endpoint(&to, &admitted.service, self.now);
                            }
                        }
                    }
                }
            }
            if !self.vms[vm].withdraw_retry(admitted, &history) {
                return Err(history.final_refusal(None));
            }
        }
    }

    /// Makes an attempt at an endpoint; `None` if it failed.
    fn attempt(
        &mut self,
        vm: usize,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        coordinator: Option<&Coordinator>,
        history: &mut AttemptHistory,
    ) -> Option<Served> {
        let now = self.now;
        let mut grant: Option<Grant> = None;
        let asked = coordinator.map(|coordinator| vm_index(coordinator.vm.as_str()));
        if let (Some(coordinator), Some(asked)) = (coordinator, asked) {
            match self.vms[asked].reserve(&coordinator.reservation, now) {
                Ok(granted) => grant = Some(granted),
                Err(estimate) => {
                    history.record_declined(&endpoint.id, estimate.expected_ms);
                    return None;
                }
            }
        }
        let index = self.index_of(endpoint);
        let relay = &mut self.vms[vm];
        let Some(attempt) = relay.start_attempt(admitted, endpoint, grant.as_ref(), now) else {
            history.record_endpoint(&endpoint.id, Some(AttemptOutcome::Unsent));
            return None;
        };
        let (outcome, update) = if self.paths[vm][index] {
            (AttemptOutcome::Complete, ReservationUpdate::Ended)
        } else {
            (AttemptOutcome::Unreachable, ReservationUpdate::EndpointUnreachable)
        };
        relay.end_attempt(&attempt, outcome, now);
        if let (Some(grant), Some(asked)) = (grant, asked) {
            self.vms[asked].on_reservation_update(&endpoint.id, grant.entry_id, update, now);
        }
        history.record_endpoint(
            &endpoint.id,
            Some(outcome).filter(|_| outcome != AttemptOutcome::Complete),
        );
        if outcome != AttemptOutcome::Complete {
            self.failed_attempts += 1;
            self.check(vm, endpoint);
            return None;
        }
        Some(Served {
            endpoint: index,
            vm,
            failed_attempts: self.failed_attempts,
        })
    }
}
