//! Stateful fuzz test of permitted regions, forwarding loops, versions and leaving endpoints, with the gates of VMs in
//! three regions.
//!
//! Guards against requests that are processed outside of their permitted regions, are forwarded twice or reach a
//! leaving endpoint. Configurations that narrow and widen a route reach the VMs in any order, and older ones arrive
//! again; requests wait between admission, target selection and dispatch; endpoints leave and restart. The oracle knows
//! the permitted regions of each version and which endpoint incarnations each VM knows to be leaving.

mod support;

use std::collections::{HashMap, HashSet};

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use sw_fuzz::{IndependentSteps, config};
use sw_gate::{AdmittedRequest, CallerHeaders, Envelope, ForwardPurpose, Gate, RoutingDecision, RoutingInput};
use sw_load::Report;
use sw_member::EndpointIncarnation;
use sw_route::Target;
use sw_unit::{EndpointId, Incarnation, Millis, Time, Version};

use support::REGIONS;

const VMS: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    /// Publishes a version in which route `r` permits the regions whose bits are set.
    Publish {
        regions: u8,
    },
    Install {
        vm: usize,
        number: usize,
    },
    /// Admits a request to route `r` if `restricted`, or else to a route that permits all regions.
    Admit {
        vm: usize,
        restricted: bool,
    },
    ChooseTarget {
        waiting: usize,
    },
    Dispatch {
        decided: usize,
    },
    Leave {
        vm: usize,
        endpoint: usize,
    },
    Report {
        vm: usize,
        endpoint: usize,
        restart: bool,
        running: u32,
    },
    Heartbeat {
        from: usize,
        to: usize,
    },
    Advance {
        ms: u64,
    },
}

impl sw_fuzz::Step for Step {
    fn any() -> BoxedStrategy<Self> {
        let vm = || 0..VMS;
        prop_oneof![
            2 => (0..8_u8).prop_map(|regions| Step::Publish { regions }),
            6 => (vm(), 0..20_usize).prop_map(|(vm, number)| Step::Install { vm, number }),
            6 => (vm(), any::<bool>()).prop_map(|(vm, restricted)| Step::Admit { vm, restricted }),
            6 => (0..8_usize).prop_map(|waiting| Step::ChooseTarget { waiting }),
            6 => (0..8_usize).prop_map(|decided| Step::Dispatch { decided }),
            1 => (vm(), 0..2_usize).prop_map(|(vm, endpoint)| Step::Leave { vm, endpoint }),
            6 => (vm(), 0..2_usize, prop::bool::weighted(0.2), prop_oneof![Just(0), Just(20), Just(120)])
                .prop_map(|(vm, endpoint, restart, running)| Step::Report { vm, endpoint, restart, running }),
            8 => (vm(), vm()).prop_map(|(from, to)| Step::Heartbeat { from, to }),
            2 => (1..1_500_u64).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }
}

#[derive(Debug)]
struct Waiting {
    vm: usize,
    admitted: AdmittedRequest,
    hops: u32,
}

#[derive(Debug)]
struct World {
    gates: Vec<Gate>,
    /// Regions that each version permits for route `r`, as bits.
    permitted: Vec<u8>,
    highest_versions: Vec<u64>,
    waiting: Vec<Waiting>,
    decided: Vec<(Waiting, RoutingDecision)>,
    incarnations: HashMap<EndpointId, u64>,
    known_leaving: HashSet<(usize, EndpointId, u64)>,
    reported_incarnations: HashMap<(usize, EndpointId), u64>,
    now: Time,
}

fn endpoint(vm: usize, number: usize) -> EndpointId {
    format!("e-{}-{number}", REGIONS[vm % REGIONS.len()]).parse().unwrap()
}

fn region_index(id: &str) -> usize {
    REGIONS.iter().position(|region| *region == id).unwrap()
}

impl World {
    fn new() -> Self {
        let gates = (0..VMS)
            .map(|vm| support::gate(vm, 1, sw_once::Options::default()))
            .collect();
        let mut world = Self {
            gates,
            permitted: vec![7],
            highest_versions: vec![0; VMS],
            waiting: Vec::new(),
            decided: Vec::new(),
            incarnations: HashMap::new(),
            known_leaving: HashSet::new(),
            reported_incarnations: HashMap::new(),
            now: Time(1_000_000),
        };
        for vm in 0..VMS {
            world.install(vm, 0);
        }
        for (from, to) in (0..VMS).flat_map(|from| (0..VMS).map(move |to| (from, to))) {
            world.send_heartbeat(from, to);
        }
        world
    }

    /// Returns whether a version permits a route in a region.
    fn permits(&self, version: Version, route: &str, region: usize) -> bool {
        route == "all" || self.permitted[version.0 as usize - 1] & (1 << region) != 0
    }

    fn install(&mut self, vm: usize, index: usize) {
        let number = index as u64 + 1;
        let newer = number > self.highest_versions[vm];
        let version = support::version(number, self.permitted[index], REGIONS[vm % REGIONS.len()]);
        assert_eq!(
            self.gates[vm].install(version),
            newer,
            "only a higher version is put in force"
        );
        self.highest_versions[vm] = self.highest_versions[vm].max(number);
    }

    fn admit(&mut self, vm: usize, restricted: bool) {
        let route = if restricted { "r" } else { "all" };
        let headers = CallerHeaders {
            api_key: Some(support::KEY),
            route: Some(route),
            deadline: None,
        };
        if let Ok(admitted) = self.gates[vm].admit(&headers, self.now) {
            assert!(
                self.permits(admitted.version.number, route, vm % REGIONS.len()),
                "admitted in a permitted region"
            );
            self.waiting.push(Waiting { vm, admitted, hops: 0 });
        }
    }

    fn choose_target(&mut self, index: usize) {
        let waiting = self.waiting.remove(index);
        let decision = self.gates[waiting.vm].choose_target(&waiting.admitted, &RoutingInput::default(), self.now);
        if let Ok(decision) = decision {
            assert!(
                waiting.hops == 0 || decision.forward_to.is_none(),
                "a forwarded request is not forwarded again"
            );
            self.decided.push((waiting, decision));
        }
    }

    fn dispatch(&mut self, index: usize) {
        let (waiting, decision) = self.decided.remove(index);
        let gate = &mut self.gates[waiting.vm];
        if gate
            .dispatch(&waiting.admitted, &decision, &RoutingInput::default(), self.now)
            .is_err()
        {
            return;
        }
        assert!(
            self.now < waiting.admitted.deadline,
            "nothing is dispatched after its deadline"
        );
        let route = waiting.admitted.route.as_str();
        match &decision.candidate.target {
            Target::Endpoint(id) => {
                let region = waiting.vm % REGIONS.len();
                self.assert_permitted(&waiting, route, region);
                let incarnation = self
                    .reported_incarnations
                    .get(&(waiting.vm, id.clone()))
                    .copied()
                    .unwrap_or(0);
                assert!(
                    !self.known_leaving.contains(&(waiting.vm, id.clone(), incarnation)),
                    "{id} is leaving"
                );
            }
            Target::Domain(domain) => {
                self.assert_permitted(&waiting, route, region_index(domain.as_str()));
                self.forward(&waiting, &decision);
            }
        }
    }

    /// Asserts that a region is permitted by the version that admitted a request and by the one in force.
    fn assert_permitted(&self, waiting: &Waiting, route: &str, region: usize) {
        let in_force = self.gates[waiting.vm].version_number();
        for version in [waiting.admitted.version.number, in_force] {
            assert!(
                self.permits(version, route, region),
                "{route} in {} under {version}",
                REGIONS[region]
            );
        }
    }

    fn forward(&mut self, waiting: &Waiting, decision: &RoutingDecision) {
        let row = decision.forward_to.as_ref().unwrap();
        let to = (0..VMS).find(|to| support::row(*to, 1).vm == row.vm).unwrap();
        assert_ne!(to % REGIONS.len(), waiting.vm % REGIONS.len());
        let envelope = Envelope {
            request_id: "r".to_owned(),
            workspace: waiting.admitted.workspace.clone(),
            route: waiting.admitted.route.clone(),
            version: waiting.admitted.version.number,
            remaining: waiting.admitted.deadline.since(self.now),
            hops: waiting.hops + 1,
            purpose: ForwardPurpose::Run,
            ticket: None,
        };
        assert!(
            self.gates[to]
                .admit_forwarded(
                    &Envelope {
                        hops: 2,
                        ..envelope.clone()
                    },
                    self.now
                )
                .is_err(),
            "a loop is refused"
        );
        if let Ok(admitted) = self.gates[to].admit_forwarded(&envelope, self.now) {
            assert!(
                admitted.version.number >= envelope.version,
                "the receiver uses no older configuration"
            );
            assert!(self.permits(admitted.version.number, admitted.route.as_str(), to % REGIONS.len()));
            self.waiting.push(Waiting {
                vm: to,
                admitted,
                hops: 1,
            });
        }
    }

    fn leave(&mut self, vm: usize, number: usize) {
        let id = endpoint(vm, number);
        let incarnation = *self.incarnations.get(&id).unwrap_or(&1);
        self.gates[vm].on_endpoint_leaving(&EndpointIncarnation {
            endpoint: id.clone(),
            incarnation: Incarnation(incarnation),
        });
        (0..=incarnation).for_each(|incarnation| {
            self.known_leaving.insert((vm, id.clone(), incarnation));
        });
    }

    fn report(&mut self, vm: usize, number: usize, restart: bool, running: u32) {
        let id = endpoint(vm, number);
        let incarnation = self.incarnations.entry(id.clone()).or_insert(1);
        *incarnation += u64::from(restart);
        let report = Report {
            endpoint: id.clone(),
            incarnation: Incarnation(*incarnation),
            running,
            queued: 0,
            leaving: false,
            age: Millis(0),
            loaded: None,
        };
        self.reported_incarnations.insert((vm, id), *incarnation);
        self.gates[vm].on_polled_report(report, self.now);
    }

    fn send_heartbeat(&mut self, from: usize, to: usize) {
        if from == to {
            return;
        }
        let receiver = self.gates[to].members().local().clone();
        let heartbeat = self.gates[from].heartbeat(Some(&receiver), self.now);
        for leaving in &heartbeat.leaving {
            (0..=leaving.incarnation.0).for_each(|number| {
                self.known_leaving.insert((to, leaving.endpoint.clone(), number));
            });
        }
        for report in &heartbeat.reports {
            let known = self
                .reported_incarnations
                .entry((to, report.endpoint.clone()))
                .or_default();
            *known = (*known).max(report.incarnation.0);
        }
        self.gates[to].on_heartbeat(heartbeat, self.now);
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = IndependentSteps<Step>;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Publish { regions } if world.permitted.len() < 20 => world.permitted.push(regions),
            Step::Install { vm, number } => world.install(vm, number % world.permitted.len()),
            Step::Admit { vm, restricted } => world.admit(vm, restricted),
            Step::ChooseTarget { waiting } if !world.waiting.is_empty() => {
                world.choose_target(waiting % world.waiting.len());
            }
            Step::Dispatch { decided } if !world.decided.is_empty() => world.dispatch(decided % world.decided.len()),
            Step::Leave { vm, endpoint } => world.leave(vm, endpoint),
            Step::Report {
                vm,
                endpoint,
                restart,
                running,
            } => world.report(vm, endpoint, restart, running),
            Step::Heartbeat { from, to } => world.send_heartbeat(from, to),
            Step::Advance { ms } => {
                world.now = world.now + Millis(ms);
                let now = world.now;
                world.gates.iter_mut().for_each(|gate| gate.tick(now));
            }
            _ => {}
        }
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        for (gate, highest_version) in world.gates.iter().zip(&world.highest_versions) {
            assert_eq!(
                gate.version_number(),
                Version(*highest_version),
                "a configuration never reverts"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn requests_stay_in_their_regions(sequential 1..120 => World);
}
