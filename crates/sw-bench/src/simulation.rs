//! The run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use sw_engine::Options;
use sw_gate::{
    AdmittedRequest, CallerHeaders, DispatchOutcome, DispatchRecord, FleetVersion, Gate, HeartbeatSender,
    RoutingDecision, RoutingInput,
};
use sw_load::{DomainSummary, ModelLoad, Report as LoadReport};
use sw_member::VmRow;
use sw_route::{LeastLoad, LocalOnly, Policy, RoundRobin, Target, Weighted};
use sw_unit::{Bytes, EndpointId, Incarnation, Millis, Time, Version};

use crate::deployment::{KEY, endpoint_id};
use crate::domain::{Domain, LinkQueue, Progress, RequestId};
use crate::report::{ClassRecord, Report, Totals, report};
use crate::{Arrival, Arrivals, Deployment, PolicyName, Prompt, Scenario};

const DOMAINS: usize = 3;
const STEP_MS: u64 = 5;
const REPORT_PERIOD_MS: u64 = 1_000;
const BYTES_PER_TOKEN: u64 = 4;
/// Times that a caller comes back after a refusal.
const MAX_RETURNS: u32 = 3;
const TOKENS_PER_PRICE: f64 = 1_000_000.0;
const SLOWDOWN: u64 = 4;
/// One of this many cache events is lost.
const LOST_EVENT: u64 = 5;
/// Requests of other domains' callers have ids from here on.
const OTHERS: RequestId = 1 << 40;

/// A caller's request that has not ended.
#[derive(Debug)]
struct Open {
    class: usize,
    prompt: Prompt,
    start: Time,
    returns: u32,
    admitted: Option<AdmittedRequest>,
    handed: Option<DispatchRecord>,
    tried: Vec<Target>,
    first_seen: bool,
}

/// Something that happens later, by time and order of planning.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Later {
    /// A caller comes back.
    Return(RequestId),
    /// A forwarded request arrives at a domain.
    Arrive(usize, RequestId),
    /// An answer from another domain is back.
    Back(RequestId, bool, bool),
}

struct Simulation<P> {
    deployment: Deployment,
    scenario: Scenario,
    gate: Gate<P>,
    domains: Vec<Domain>,
    links: Vec<LinkQueue>,
    arrivals: Vec<Arrivals>,
    upcoming: Vec<Arrival>,
    open: HashMap<RequestId, Open>,
    later: BinaryHeap<Reverse<(Time, u64, Later)>>,
    order: u64,
    next_request: RequestId,
    next_other: RequestId,
    records: Vec<ClassRecord>,
    totals: Totals,
    length: u64,
    was_away: bool,
    progress: Vec<Progress>,
    report_count: u64,
}

/// Runs a policy through a scenario for `length` of simulated time, and then until all requests have ended.
pub fn run(deployment: Deployment, scenario: Scenario, policy: PolicyName, length: Millis, seed: u64) -> Report {
    let setup = (deployment, scenario, policy);
    match policy {
        PolicyName::Weighted => Simulation::new(deployment, scenario, Weighted, length, seed).run(setup),
        PolicyName::RoundRobin => Simulation::new(deployment, scenario, RoundRobin::default(), length, seed).run(setup),
        PolicyName::LeastLoad => Simulation::new(deployment, scenario, LeastLoad, length, seed).run(setup),
        PolicyName::LocalOnly => Simulation::new(deployment, scenario, LocalOnly, length, seed).run(setup),
    }
}

impl<P: Policy> Simulation<P> {
    fn new(deployment: Deployment, scenario: Scenario, policy: P, length: Millis, seed: u64) -> Self {
        let mut gate = Gate::new(
            vm_row(0),
            policy,
            sw_gate::Options {
                seed,
                ..sw_gate::Options::default()
            },
        );
        let (text, _) = deployment.fleet();
        let digest = sw_conf::digest(text.as_bytes());
        let version = FleetVersion::new(Version(1), digest, text, &vm_row(0).domain);
        gate.install(Arc::new(version.expect("the bench's configuration is good")));
        let domains = (0..DOMAINS)
            .map(|domain| Domain::new(engines(deployment, scenario, domain)))
            .collect();
        let mbps = deployment.link_mbps().0 * (1.0 - scenario.link_use());
        let mut arrivals: Vec<_> = (0..DOMAINS)
            .map(|domain| {
                let load = if domain == 0 {
                    scenario.local_load()
                } else {
                    scenario.remote_load()
                };
                Arrivals::new(deployment, scenario, load, seed * 31 + domain as u64)
            })
            .collect();
        let upcoming = arrivals.iter_mut().map(Arrivals::next_arrival).collect();
        Self {
            deployment,
            scenario,
            gate,
            domains,
            links: vec![LinkQueue::new(mbps, deployment.link_latency()); DOMAINS],
            arrivals,
            upcoming,
            open: HashMap::new(),
            later: BinaryHeap::new(),
            order: 0,
            next_request: 0,
            next_other: OTHERS,
            records: deployment.classes().iter().map(ClassRecord::new).collect(),
            totals: Totals::default(),
            length: length.0,
            was_away: false,
            progress: Vec::new(),
            report_count: 0,
        }
    }

    fn run(mut self, setup: (Deployment, Scenario, PolicyName)) -> Report {
        let mut now = 0;
        while now < self.length || self.records.iter().any(|record| record.open() > 0) {
            self.step(Time(now));
            now += STEP_MS;
        }
        report(setup, &self.records, &self.totals, self.length as f64 / 1_000.0)
    }

    fn step(&mut self, now: Time) {
        self.gate.tick(now);
        self.come_and_go(now);
        if now.0.is_multiple_of(REPORT_PERIOD_MS) {
            self.deliver_reports(now);
        }
        while self.later.peek().is_some_and(|Reverse((at, _, _))| *at <= now) {
            let Some(Reverse((_, _, later))) = self.later.pop() else {
                break;
            };
            self.happen(&later, now);
        }
        for domain in 0..DOMAINS {
            while self.upcoming[domain].at <= now && now.0 < self.length {
                let next = self.arrivals[domain].next_arrival();
                let arrival = std::mem::replace(&mut self.upcoming[domain], next);
                self.arrive(domain, arrival, now);
            }
        }
        self.collect_progress(now);
    }

    /// Takes the own engines away and brings them back cold.
    fn come_and_go(&mut self, now: Time) {
        let away = self.scenario.is_away(now.0, self.length);
        if away && !self.was_away {
            for request in self.domains[0].restart() {
                self.retry(request, now);
            }
        }
        self.was_away = away;
    }

    fn deliver_reports(&mut self, now: Time) {
        self.report_count += 1;
        let missing = self.scenario == Scenario::StaleReports && self.report_count.is_multiple_of(2);
        if missing || self.scenario.is_away(now.0, self.length) {
            self.deliver_summaries(now);
            return;
        }
        let age = self.scenario.report_age();
        let incarnation = Incarnation(self.domains[0].incarnation);
        let loads: Vec<_> = self.domains[0].loads().collect();
        for (engine, (running, queued)) in loads.into_iter().enumerate() {
            let endpoint = own_endpoint(engine);
            let mut evicted = self.domains[0].take_evicted(engine);
            evicted.retain(|block| block % LOST_EVENT != 0);
            self.gate.on_blocks_evicted(&endpoint, &evicted);
            self.gate.on_polled_report(
                LoadReport {
                    endpoint,
                    incarnation,
                    running,
                    queued,
                    leaving: false,
                    age,
                    loaded: None,
                },
                now,
            );
        }
        self.deliver_summaries(now);
    }

    fn deliver_summaries(&mut self, now: Time) {
        for index in 1..DOMAINS {
            let domain = &self.domains[index];
            let load = domain.loads().map(|(running, queued)| running + queued).sum();
            let models = vec![ModelLoad {
                model: "m".parse().expect("an id"),
                slots: domain.slots(),
                load,
            }];
            let row = vm_row(index);
            let summary = DomainSummary {
                domain: row.domain.clone(),
                models,
                vms: vec![row.clone()],
                live_digests: Vec::new(),
                age: self.deployment.link_latency(),
            };
            let mut heartbeat = self.gate.heartbeat(Some(&row), now);
            heartbeat.sender = HeartbeatSender::Full(row);
            heartbeat.summaries = vec![summary];
            self.gate.on_heartbeat(heartbeat, now);
        }
    }

    fn happen(&mut self, later: &Later, now: Time) {
        match *later {
            Later::Return(request) => self.attempt(request, now),
            Later::Arrive(domain, request) => {
                if let Some(open) = self.open.get(&request) {
                    let class = &self.deployment.classes()[open.class];
                    self.domains[domain].submit_anywhere(request, class, &open.prompt, now);
                }
            }
            Later::Back(request, first, last) => self.progressed(request, first, last, now),
        }
    }

    fn arrive(&mut self, domain: usize, arrival: Arrival, now: Time) {
        if domain > 0 {
            self.next_other += 1;
            let class = &self.deployment.classes()[arrival.class];
            self.domains[domain].submit_anywhere(self.next_other, class, &arrival.prompt, now);
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        self.records[arrival.class].offered();
        let open = Open {
            class: arrival.class,
            prompt: arrival.prompt,
            start: arrival.at,
            returns: 0,
            admitted: None,
            handed: None,
            tried: Vec::new(),
            first_seen: false,
        };
        self.open.insert(request, open);
        self.attempt(request, now);
    }

    /// Sends a caller's request to the gate, with the time that is left until its deadline.
    fn attempt(&mut self, request: RequestId, now: Time) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let class = &self.deployment.classes()[open.class];
        let left = class.deadline.saturating_sub(now.since(open.start));
        let head = CallerHeaders {
            api_key: Some(KEY),
            route: Some(class.name),
            deadline: Some(left.max(Millis(1))),
        };
        match self.gate.admit(&head, now) {
            Ok(admitted) => {
                open.admitted = Some(admitted);
                open.tried.clear();
                self.totals.attempts += 1;
                self.plan(request, now);
            }
            Err(refusal) => self.refused(request, refusal.retry_after, now),
        }
    }

    fn plan(&mut self, request: RequestId, now: Time) {
        loop {
            let Some(open) = self.open.get_mut(&request) else {
                return;
            };
            let Some(admitted) = open.admitted.clone() else {
                return;
            };
            let asked = RoutingInput {
                model: None,
                len: Bytes(open.prompt.tokens * BYTES_PER_TOKEN),
                prefixes: &open.prompt.blocks,
                tried: &open.tried,
            };
            let plan = match self.gate.choose_target(&admitted, &asked, now) {
                Ok(plan) => plan,
                Err(refusal) => return self.refused(request, refusal.retry_after, now),
            };
            if let Target::Endpoint(id) = &plan.candidate.target
                && self.scenario.is_away(now.0, self.length)
            {
                self.gate.on_endpoint_unreachable(id, now);
                open.tried.push(plan.candidate.target);
                continue;
            }
            match self.gate.dispatch(&admitted, &plan, &asked, now) {
                Ok(handed) => open.handed = Some(handed),
                Err(refusal) => return self.refused(request, refusal.retry_after, now),
            }
            return self.send(request, &plan, now);
        }
    }

    fn send(&mut self, request: RequestId, plan: &RoutingDecision, now: Time) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let class = &self.deployment.classes()[open.class];
        let domain = match &plan.candidate.target {
            Target::Endpoint(id) => {
                let engine = engine_index(id);
                self.domains[0].submit(engine, request, class, &open.prompt, now);
                0
            }
            Target::Domain(id) => {
                let domain = domain_index(id.as_str());
                let arrives = self.links[domain].send(open.prompt.tokens * BYTES_PER_TOKEN, now);
                self.later(arrives, Later::Arrive(domain, request));
                domain
            }
        };
        let price = self.deployment.price(domain) * class.output.0 as f64 / TOKENS_PER_PRICE;
        self.totals.cost += price;
        self.totals.answered += 1;
        self.totals.remote += u64::from(domain > 0);
    }

    /// A request that broke is tried again if the budget allows it.
    fn retry(&mut self, request: RequestId, now: Time) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(admitted) = open.admitted.clone() else {
            return;
        };
        if let Some(handed) = open.handed.take() {
            self.gate.on_end(&handed, DispatchOutcome::Incomplete, now);
            open.tried.push(handed.target);
        }
        if self.gate.withdraw_retry(&admitted, now) {
            self.totals.retries += 1;
            self.plan(request, now);
        } else {
            self.refused(request, None, now);
        }
    }

    fn refused(&mut self, request: RequestId, retry_after: Option<Millis>, now: Time) {
        self.totals.refusals += 1;
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let deadline = open.start + self.deployment.classes()[open.class].deadline;
        let back = retry_after
            .map(|after| now + after)
            .filter(|back| *back < deadline && open.returns < MAX_RETURNS);
        if let Some(back) = back {
            open.returns += 1;
            self.later(back, Later::Return(request));
        } else {
            let class = open.class;
            self.open.remove(&request);
            self.records[class].refused();
        }
    }

    fn collect_progress(&mut self, now: Time) {
        let mut progress = std::mem::take(&mut self.progress);
        for domain in 0..DOMAINS {
            self.domains[domain].advance(now, &mut progress);
            for made in progress.drain(..) {
                if made.request >= OTHERS {
                    continue;
                }
                if domain == 0 {
                    self.progressed(made.request, made.first, made.last, made.at);
                } else {
                    let back = made.at + self.deployment.link_latency();
                    self.later(back, Later::Back(made.request, made.first, made.last));
                }
            }
        }
        self.progress = progress;
    }

    fn progressed(&mut self, request: RequestId, first: bool, last: bool, at: Time) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let elapsed = at.since(open.start).0;
        if first && !open.first_seen {
            open.first_seen = true;
            self.records[open.class].first(elapsed);
        }
        if last {
            let class = open.class;
            let handed = open.handed.take();
            self.open.remove(&request);
            self.records[class].ended(elapsed);
            if let Some(handed) = handed {
                self.gate.on_end(&handed, DispatchOutcome::Complete, at);
            }
        }
    }

    fn later(&mut self, at: Time, later: Later) {
        self.order += 1;
        self.later.push(Reverse((at, self.order, later)));
    }
}

fn engines(deployment: Deployment, scenario: Scenario, domain: usize) -> Vec<Options> {
    let mut engines = vec![deployment.engine(); deployment.engines()];
    if domain == 0 {
        for engine in &mut engines {
            engine.slots = ((f64::from(engine.slots) * scenario.slot_share()) as u32).max(1);
        }
        if scenario == Scenario::SlowEndpoint {
            engines[0].token_time = Millis(engines[0].token_time.0 * SLOWDOWN);
        }
    }
    engines
}

fn vm_row(domain: usize) -> VmRow {
    let id = format!("r{domain}");
    VmRow {
        vm: format!("vm-{domain}").parse().expect("an id"),
        incarnation: Incarnation(1),
        domain: id.parse().expect("an id"),
        region: id.parse().expect("an id"),
        listen: format!("127.0.0.1:{}", 100 + domain).parse().expect("an address"),
        peer_listen: format!("127.0.0.1:{}", 200 + domain).parse().expect("an address"),
        leaving: false,
        version: Version(1),
    }
}

fn own_endpoint(engine: usize) -> EndpointId {
    endpoint_id(0, engine).parse().expect("an id")
}

fn engine_index(id: &EndpointId) -> usize {
    id.as_str()
        .rsplit('-')
        .next()
        .and_then(|index| index.parse().ok())
        .unwrap_or_default()
}

fn domain_index(id: &str) -> usize {
    id.trim_start_matches('r').parse().unwrap_or_default()
}
