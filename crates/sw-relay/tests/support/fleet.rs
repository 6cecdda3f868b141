//! VMs and engines of several regions, and prompts with parts that crash engines.
//!
//! Time passes in steps. A prompt with a crashing part, or a copy of a crashing request, crashes its engine shortly after the
//! head of its response; all other responses of that engine break off with it. Messages between VMs arrive within the step in which they are sent,
//! unless a VM is down or cut off.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use sw_member::VmRow;
use sw_relay::{
    AdmittedRequest, Attempt, AttemptHistory, AttemptOutcome, Choice, EndpointEntry, Options, PathFailure, Prompt,
    PromptPart, Relay, RequestContent, RequestHead,
};
use sw_unit::{DomainId, Incarnation, Millis, PartId, RegionId, Time, Tokens};

mod copies;
mod crashes;
mod exchange;
pub mod faults;

#[allow(unused_imports, reason = "used by some test files only")]
pub use copies::CopiedRequest;
use crashes::{Unconfirmed, Unseen};

use super::{endpoint, head, options, register, relay_with, row};

pub const STEP: Millis = Millis(10);
/// Time from the arrival of a prompt to the head of its response, to a crash, and to the end of a sound response.
const HEAD_AFTER: Millis = Millis(60);
const CRASH_AFTER: Millis = Millis(90);
const END_AFTER: Millis = Millis(700);
/// Time for which a crashed engine is down.
const DOWNTIME: Millis = Millis(2_000);
/// Time for which a VM that was down or cut off is excused.
pub const EXCUSED_FOR: Millis = Millis(5_000);
const TICK_PERIOD: Millis = Millis(500);
const PROBE_TICK: Millis = Millis(100);
const DOMAIN_PERIOD: Millis = Millis(900);
const TAKEOVER_AFTER: Millis = Millis(2_400);
/// The part that all prompts share.
const FIRST_PART: u64 = 1;
/// First id of the parts that some prompts share, and their number.
const SUBJECT: u64 = 100;
const SUBJECTS: u64 = 40;

/// A prompt that an engine received.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Time,
    /// The crashing part that it has, or the crashing request that it is a copy of.
    pub crashing: Option<u64>,
    /// Whether its VM is excused.
    pub excused: bool,
}

/// How a sound prompt ended.
#[derive(Debug, Clone, Copy)]
pub struct SoundPrompt {
    pub at: Time,
    /// The request that it is a copy of.
    pub copy: Option<u64>,
    /// Whether it was refused because of its parts.
    pub quarantined: bool,
}

struct RunningAttempt {
    vm: usize,
    incarnation: Incarnation,
    engine: usize,
    attempt: Attempt,
    admitted: AdmittedRequest,
    history: AttemptHistory,
    crashing: Option<u64>,
    has_head: bool,
    arrived_at: Time,
}

struct Vm {
    relay: Relay,
    running: bool,
    group: u32,
    disturbed_at: Option<Time>,
}

struct Engine {
    entry: EndpointEntry,
    region: usize,
    down_until: Option<Time>,
}

/// Layout of a [`Fleet`].
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    pub regions: usize,
    pub domains_per_region: usize,
    pub vms: usize,
    pub engines_per_region: usize,
}

/// VMs and engines of several regions.
pub struct Fleet {
    pub now: Time,
    layout: Layout,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    running: Vec<RunningAttempt>,
    pub arrivals: Vec<Arrival>,
    pub sound: Vec<SoundPrompt>,
    /// Times of the crashes under each crashing part; 0 stands for crashes without a cause.
    pub crashes: IndexMap<u64, Vec<Time>>,
    admitted: usize,
    /// Time that a VM needs to find out that an engine crashed; none for the others.
    confirm_after: IndexMap<usize, Millis>,
    unconfirmed: Vec<Unconfirmed>,
    /// Time after which a VM sees that a connection broke; none for the others.
    seen_after: IndexMap<usize, Millis>,
    unseen: Vec<Unseen>,
    /// Whether prompts and requests whose connection broke are sent to another engine.
    retries: bool,
    /// Time from the first event of a response to a crash; `None` if engines crash before the first event.
    crash_after_first_event: Option<Millis>,
    /// Whether responses have a length or chunks.
    framed: bool,
    /// Time from the arrival of a prompt to the end of a sound response.
    end_after: Millis,
}

fn region_id(region: usize) -> RegionId {
    format!("r{region}").parse().expect("an id")
}

fn domain_id(domain: usize) -> DomainId {
    format!("d{domain}").parse().expect("an id")
}

fn vm_name(index: usize) -> String {
    format!("vm-{index:03}")
}

fn index_of(vm: &str) -> usize {
    vm.trim_start_matches("vm-").parse().expect("an index")
}

impl Layout {
    fn domains(self) -> usize {
        self.regions * self.domains_per_region
    }

    fn region_of(self, domain: usize) -> usize {
        domain % self.regions
    }

    fn vm_row(self, index: usize, incarnation: u64) -> VmRow {
        let domain = index % self.domains();
        VmRow {
            incarnation: Incarnation(incarnation),
            domain: domain_id(domain),
            region: region_id(self.region_of(domain)),
            ..row(&vm_name(index), "north")
        }
    }

    fn options(self, index: usize, incarnation: u64, now: Time) -> Options {
        let domains = (0..self.domains()).map(|domain| (domain_id(domain), region_id(self.region_of(domain))));
        Options {
            domain_regions: domains.collect(),
            started_at: now,
            seed: index as u64 + incarnation,
            ..options(self.vm_row(index, incarnation))
        }
    }
}

impl Fleet {
    /// Creates VMs that know each other.
    pub fn new(layout: Layout) -> Self {
        let engines = (0..layout.regions).flat_map(|region| (0..layout.engines_per_region).map(move |n| (region, n)));
        let engines = engines.map(|(region, n)| Engine {
            entry: EndpointEntry {
                domain: domain_id(region),
                ..endpoint(&format!("e-{region}-{n}"), "engines", "north")
            },
            region,
            down_until: None,
        });
        let mut fleet = Self {
            now: Time(0),
            layout,
            vms: Vec::new(),
            engines: engines.collect(),
            running: Vec::new(),
            arrivals: Vec::new(),
            sound: Vec::new(),
            crashes: IndexMap::new(),
            admitted: 0,
            confirm_after: IndexMap::new(),
            unconfirmed: Vec::new(),
            seen_after: IndexMap::new(),
            unseen: Vec::new(),
            retries: true,
            crash_after_first_event: None,
            framed: true,
            end_after: END_AFTER,
        };
        fleet.vms = (0..layout.vms).map(|index| fleet.start_vm(index, 1)).collect();
        for (from, to) in (0..layout.vms).flat_map(|from| (0..layout.vms).map(move |to| (from, to))) {
            if from != to {
                fleet.exchange(from, to);
            }
        }
        fleet
    }

    fn start_vm(&self, index: usize, incarnation: u64) -> Vm {
        let mut relay = relay_with(self.layout.options(index, incarnation, self.now));
        for engine in &self.engines {
            register(&mut relay, engine.entry.clone(), self.now);
        }
        Vm {
            relay,
            running: true,
            group: 0,
            disturbed_at: None,
        }
    }

    /// Kills the process of a VM, or starts it again.
    pub fn set_running(&mut self, index: usize, running: bool) {
        let index = index % self.vms.len();
        let vm = &self.vms[index];
        if running && !vm.running {
            let incarnation = vm.relay.members().local().incarnation.0 + 1;
            let group = vm.group;
            self.vms[index] = Vm {
                group,
                ..self.start_vm(index, incarnation)
            };
        }
        self.vms[index].running = running;
        self.vms[index].disturbed_at = Some(self.now);
    }

    /// Moves a VM to a group; only VMs of one group reach each other.
    pub fn set_group(&mut self, index: usize, group: u32) {
        let index = index % self.vms.len();
        self.vms[index].group = group;
        self.vms[index].disturbed_at = Some(self.now);
    }

    /// Lets all VMs run and reach each other.
    pub fn heal(&mut self) {
        for index in 0..self.vms.len() {
            self.set_running(index, true);
            self.set_group(index, 0);
        }
    }

    /// A caller sends a prompt to a VM.
    pub fn request(&mut self, vm: usize, crashing: Option<u64>, subject: u64) {
        let content = format!("request {}", self.admitted);
        let unique = 1_000_000 + self.admitted as u64;
        let ids = [
            Some(FIRST_PART),
            Some(SUBJECT + subject % SUBJECTS),
            crashing,
            Some(unique),
        ];
        self.submit(vm, &ids, &content, crashing, None, true);
    }

    fn submit(
        &mut self,
        vm: usize,
        ids: &[Option<u64>],
        content: &str,
        crashing: Option<u64>,
        copy: Option<u64>,
        has_head: bool,
    ) {
        let vm = vm % self.vms.len();
        if !self.vms[vm].running {
            return;
        }
        self.admitted += 1;
        let parts = ids.iter().flatten().map(|id| PromptPart {
            id: PartId(*id),
            len: Tokens(50),
        });
        let prompt = Prompt {
            input: Tokens(200),
            output_max: Tokens(50),
            output_hint: None,
            parts: parts.collect(),
        };
        let head = RequestHead {
            id: Arc::from(format!("a{}", self.admitted)),
            ..head("digest", Some(prompt))
        };
        let mut admitted = self.vms[vm].relay.admit(head, self.now, false).expect("a known route");
        let content = Bytes::copy_from_slice(content.as_bytes());
        admitted.content = Some(Arc::new(RequestContent::new(vec![content])));
        if crashing.is_none() {
            let quarantined = self.vms[vm].relay.quarantined(&admitted, self.now).is_some();
            self.sound.push(SoundPrompt {
                at: self.now,
                copy,
                quarantined,
            });
        }
        self.send(vm, admitted, AttemptHistory::default(), crashing, has_head);
    }

    /// Returns the crashing prompts that reached engines, sent later than `notice` after the fifth crash under their part by
    /// VMs that are not excused.
    pub fn late_arrivals(&self, part: u64, notice: Millis) -> usize {
        self.arrivals_after_crash(part, 4, notice)
    }

    fn arrivals_after_crash(&self, cause: u64, index: usize, notice: Millis) -> usize {
        let Some(crashed_at) = self.crashes.get(&cause).and_then(|crashes| crashes.get(index)) else {
            return 0;
        };
        let late = |arrival: &&Arrival| {
            arrival.crashing == Some(cause) && arrival.at > *crashed_at + notice && !arrival.excused
        };
        self.arrivals.iter().filter(late).count()
    }

    /// Returns the number of crashes under a part.
    pub fn crash_count(&self, part: u64) -> usize {
        self.crashes.get(&part).map_or(0, Vec::len)
    }

    /// Exempts a part from the quarantine of a VM.
    pub fn exempt(&mut self, vm: usize, part: u64) {
        self.vms[vm]
            .relay
            .set_exempt_parts([PartId(part)].into_iter(), self.now);
    }

    /// Returns the number of crashes that a VM reports to one that it does not know.
    pub fn reported_crashes(&self, vm: usize) -> usize {
        self.vms[vm].relay.heartbeat(None, self.now).domains[0].crashes.len()
    }

    /// Returns the share of the sound prompts since `from` that were refused because of their parts.
    pub fn quarantined_share(&self, from: Time) -> f64 {
        let sound: Vec<_> = self.sound.iter().filter(|prompt| prompt.at >= from).collect();
        let quarantined = sound.iter().filter(|prompt| prompt.quarantined).count();
        quarantined as f64 / sound.len().max(1) as f64
    }

    fn send(
        &mut self,
        vm: usize,
        admitted: AdmittedRequest,
        mut history: AttemptHistory,
        crashing: Option<u64>,
        has_head: bool,
    ) {
        for _ in 0..4 {
            let relay = &mut self.vms[vm].relay;
            let endpoint = match relay.choose(&admitted, &history, self.now) {
                Ok(Choice::Endpoint { endpoint, .. }) => endpoint,
                // Forwarded requests are sent by the VMs of their region in these tests.
                Ok(Choice::Vm { .. }) | Err(_) => return,
            };
            let Some(attempt) = relay.start_attempt(&admitted, &endpoint, None, self.now) else {
                return;
            };
            let engine = self.engines.iter().position(|engine| engine.entry.id == endpoint.id);
            let engine = engine.expect("a known engine");
            if self.engines[engine].down_until.is_some() {
                history.record_endpoint(&endpoint.id, Some(AttemptOutcome::Unreachable));
                relay.end_attempt(&attempt, AttemptOutcome::Unreachable, self.now);
                continue;
            }
            let excused = self.vms[vm]
                .disturbed_at
                .is_some_and(|at| self.now.since(at) < EXCUSED_FOR);
            self.arrivals.push(Arrival {
                at: self.now,
                crashing,
                excused,
            });
            self.running.push(RunningAttempt {
                vm,
                incarnation: self.vms[vm].relay.members().local().incarnation,
                engine,
                attempt,
                admitted,
                history,
                crashing,
                has_head,
                arrived_at: self.now,
            });
            return;
        }
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.see_broken_connections();
        self.confirm_crashes();
        self.restart_engines();
        self.advance_attempts();
        for index in 0..self.vms.len() {
            // VMs tick at different moments.
            if self.vms[index].running && (self.now.0 + 10 * index as u64).is_multiple_of(TICK_PERIOD.0) {
                self.vms[index].relay.tick(self.now);
                self.send_heartbeats(index);
            }
            if !self.vms[index].running || self.vms[index].group != 0 {
                self.vms[index].disturbed_at = Some(self.now);
            }
            self.send_news(index);
            if self.now.0.is_multiple_of(PROBE_TICK.0) {
                self.probe_paths(index);
            }
        }
    }

    /// Probes the paths of a VM that are due; only an engine that is down cannot be reached.
    fn probe_paths(&mut self, vm: usize) {
        let relay = &mut self.vms[vm].relay;
        for entry in relay.due_path_probes(self.now) {
            let engine = self.engines.iter().find(|engine| engine.entry.id == entry.id);
            if engine.is_some_and(|engine| engine.down_until.is_none()) {
                relay.on_path_open(&entry, self.now);
            } else {
                relay.on_path_lost(&entry, PathFailure::Refused, self.now, self.now);
            }
        }
    }

    fn restart_engines(&mut self) {
        for engine in &mut self.engines {
            if engine.down_until.is_some_and(|until| until <= self.now) {
                engine.down_until = None;
                engine.entry.incarnation.0 += 1;
                for vm in self.vms.iter_mut().filter(|vm| vm.running) {
                    register(&mut vm.relay, engine.entry.clone(), self.now);
                }
            }
        }
    }

    fn advance_attempts(&mut self) {
        let now = self.now;
        let mut crashed = Vec::new();
        let mut ended = Vec::new();
        for (at, running) in self.running.iter_mut().enumerate() {
            let vm = &mut self.vms[running.vm];
            if !vm.running || vm.relay.members().local().incarnation != running.incarnation {
                ended.push(at);
                continue;
            }
            let age = now.since(running.arrived_at);
            if running.attempt.first_event_at.is_some() {
                vm.relay.record_gap(&mut running.attempt, STEP, now);
            }
            if age >= HEAD_AFTER && running.has_head && running.attempt.head_at.is_none() {
                vm.relay.on_head(&mut running.attempt, self.framed, now);
            }
            let has_event = running.crashing.is_none() || self.crash_after_first_event.is_some();
            if has_event && age >= CRASH_AFTER && running.attempt.first_event_at.is_none() {
                vm.relay.on_first_event(&mut running.attempt, now);
            }
            if let Some(part) = running.crashing
                && age >= CRASH_AFTER + self.crash_after_first_event.unwrap_or_default()
            {
                crashed.push((running.engine, part));
            }
            if running.crashing.is_none() && age >= self.end_after {
                vm.relay.end_attempt(&running.attempt, AttemptOutcome::Complete, now);
                ended.push(at);
            }
        }
        for at in ended.into_iter().rev() {
            self.running.swap_remove(at);
        }
        for (engine, part) in crashed {
            self.crash(engine, part);
        }
    }
}
