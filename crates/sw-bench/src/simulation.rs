//! The simulation of a run.

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
use crate::domain::{Domain, LinkQueue, RequestId, RequestToken};
use crate::report::{ClassRecord, Report, Totals, report};
use crate::{Arrival, Arrivals, Deployment, PolicyName, Prompt, Scenario};

const DOMAINS: usize = 3;
const STEP_MS: u64 = 5;
/// Interval between load reports of the local engines, and between summaries of remote domains.
const REPORT_PERIOD_MS: u64 = 1_000;
const BYTES_PER_TOKEN: u64 = 4;
/// Maximum number of times that a caller sends a refused request again.
const MAX_RESENDS: u32 = 3;
/// Number of tokens that prices are given for.
const TOKENS_PER_PRICE: f64 = 1_000_000.0;
/// Factor of the decode time of the slow engine in [`Scenario::SlowEndpoint`].
const SLOWDOWN: u64 = 4;
/// One in this many cache events is lost: evictions of blocks whose hash is divisible by it are not reported.
const LOST_EVICTION_DIVISOR: u64 = 5;
/// Requests of callers of remote domains have larger ids than this.
const REMOTE_ID_BASE: RequestId = 1 << 40;

/// A request by a caller of the local domain that has not ended.
#[derive(Debug)]
struct PendingRequest {
    class: usize,
    prompt: Prompt,
    sent_at: Time,
    resends: u32,
    admitted: Option<AdmittedRequest>,
    dispatched: Option<DispatchRecord>,
    earlier_targets: Vec<Target>,
    first_token_seen: bool,
}

/// A scheduled event.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a refused request again.
    Resend(RequestId),
    /// A forwarded request arrives at a remote domain.
    Forwarded(usize, RequestId),
    /// The first or last token from a remote domain arrives.
    Token(RequestId, bool, bool),
}

/// The state of a run. Index 0 of `domains`, `links`, `arrivals` and `upcoming` is the local domain.
struct Simulation<P> {
    deployment: Deployment,
    scenario: Scenario,
    gate: Gate<P>,
    domains: Vec<Domain>,
    links: Vec<LinkQueue>,
    arrivals: Vec<Arrivals>,
    upcoming: Vec<Arrival>,
    pending: HashMap<RequestId, PendingRequest>,
    /// Scheduled events, ordered by time, then in the order in which they were scheduled.
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_count: u64,
    next_request: RequestId,
    last_remote_request: RequestId,
    records: Vec<ClassRecord>,
    totals: Totals,
    length_ms: u64,
    was_outage: bool,
    token_buf: Vec<RequestToken>,
    report_count: u64,
}

/// Runs a policy through a scenario, with new requests for `length` of simulated time, until all requests have ended.
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
        gate.install(Arc::new(version.expect("the bench's configuration is valid")));
        let domains = (0..DOMAINS)
            .map(|domain| Domain::new(engines(deployment, scenario, domain)))
            .collect();
        let mbps = deployment.link_mbps().0 * (1.0 - scenario.link_utilization());
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
            pending: HashMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            next_request: 0,
            last_remote_request: REMOTE_ID_BASE,
            records: deployment.classes().iter().map(ClassRecord::new).collect(),
            totals: Totals::default(),
            length_ms: length.0,
            was_outage: false,
            token_buf: Vec::new(),
            report_count: 0,
        }
    }

    fn run(mut self, setup: (Deployment, Scenario, PolicyName)) -> Report {
        let mut now = 0;
        while now < self.length_ms || self.records.iter().any(|record| record.pending() > 0) {
            self.step(Time(now));
            now += STEP_MS;
        }
        report(setup, &self.records, &self.totals, self.length_ms as f64 / 1_000.0)
    }

    fn step(&mut self, now: Time) {
        self.gate.tick(now);
        self.update_outage(now);
        if now.0.is_multiple_of(REPORT_PERIOD_MS) {
            self.deliver_reports(now);
        }
        while self.events.peek().is_some_and(|Reverse((at, _, _))| *at <= now) {
            let Some(Reverse((_, _, event))) = self.events.pop() else {
                break;
            };
            self.on_event(&event, now);
        }
        for domain in 0..DOMAINS {
            while self.upcoming[domain].at <= now && now.0 < self.length_ms {
                let next = self.arrivals[domain].next_arrival();
                let arrival = std::mem::replace(&mut self.upcoming[domain], next);
                self.on_arrival(domain, arrival, now);
            }
        }
        self.collect_tokens(now);
    }

    /// Restarts the local engines at the start of an outage, and retries the requests that they lose.
    fn update_outage(&mut self, now: Time) {
        let outage = self.scenario.is_outage(now.0, self.length_ms);
        if outage && !self.was_outage {
            for request in self.domains[0].restart() {
                self.retry(request, now);
            }
        }
        self.was_outage = outage;
    }

    fn deliver_reports(&mut self, now: Time) {
        self.report_count += 1;
        let missing = self.scenario == Scenario::StaleReports && self.report_count.is_multiple_of(2);
        if missing || self.scenario.is_outage(now.0, self.length_ms) {
            self.deliver_summaries(now);
            return;
        }
        let age = self.scenario.report_age();
        let incarnation = Incarnation(self.domains[0].incarnation);
        let loads: Vec<_> = self.domains[0].loads().collect();
        for (engine, (running, queued)) in loads.into_iter().enumerate() {
            let endpoint = local_endpoint(engine);
            let mut evicted = self.domains[0].take_evicted(engine);
            evicted.retain(|block| block % LOST_EVICTION_DIVISOR != 0);
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
                model: "m".parse().expect("valid id"),
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

    fn on_event(&mut self, event: &Event, now: Time) {
        match *event {
            Event::Resend(request) => self.admit(request, now),
            Event::Forwarded(domain, request) => {
                if let Some(pending) = self.pending.get(&request) {
                    let class = &self.deployment.classes()[pending.class];
                    self.domains[domain].submit_to_least_loaded(request, class, &pending.prompt, now);
                }
            }
            Event::Token(request, first, last) => self.on_token(request, first, last, now),
        }
    }

    fn on_arrival(&mut self, domain: usize, arrival: Arrival, now: Time) {
        if domain > 0 {
            self.last_remote_request += 1;
            let class = &self.deployment.classes()[arrival.class];
            self.domains[domain].submit_to_least_loaded(self.last_remote_request, class, &arrival.prompt, now);
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        self.records[arrival.class].record_request();
        let pending = PendingRequest {
            class: arrival.class,
            prompt: arrival.prompt,
            sent_at: arrival.at,
            resends: 0,
            admitted: None,
            dispatched: None,
            earlier_targets: Vec::new(),
            first_token_seen: false,
        };
        self.pending.insert(request, pending);
        self.admit(request, now);
    }

    /// Sends a caller's request to the gate, with the remaining time until its deadline.
    fn admit(&mut self, request: RequestId, now: Time) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let class = &self.deployment.classes()[pending.class];
        let remaining = class.deadline.saturating_sub(now.since(pending.sent_at));
        let head = CallerHeaders {
            api_key: Some(KEY),
            route: Some(class.name),
            deadline: Some(remaining.max(Millis(1))),
        };
        match self.gate.admit(&head, now) {
            Ok(admitted) => {
                pending.admitted = Some(admitted);
                pending.earlier_targets.clear();
                self.totals.admitted += 1;
                self.route(request, now);
            }
            Err(refusal) => self.on_refusal(request, refusal.retry_after, now),
        }
    }

    /// Dispatches an admitted request. Local endpoints chosen during an outage are reported as unreachable and skipped.
    fn route(&mut self, request: RequestId, now: Time) {
        loop {
            let Some(pending) = self.pending.get_mut(&request) else {
                return;
            };
            let Some(admitted) = pending.admitted.clone() else {
                return;
            };
            let input = RoutingInput {
                model: None,
                len: Bytes(pending.prompt.tokens * BYTES_PER_TOKEN),
                prefixes: &pending.prompt.blocks,
                earlier_targets: &pending.earlier_targets,
            };
            let decision = match self.gate.choose_target(&admitted, &input, now) {
                Ok(decision) => decision,
                Err(refusal) => return self.on_refusal(request, refusal.retry_after, now),
            };
            if let Target::Endpoint(id) = &decision.candidate.target
                && self.scenario.is_outage(now.0, self.length_ms)
            {
                self.gate.on_endpoint_unreachable(id, now);
                pending.earlier_targets.push(decision.candidate.target);
                continue;
            }
            match self.gate.dispatch(&admitted, &decision, &input, now) {
                Ok(dispatched) => pending.dispatched = Some(dispatched),
                Err(refusal) => return self.on_refusal(request, refusal.retry_after, now),
            }
            return self.send(request, &decision, now);
        }
    }

    fn send(&mut self, request: RequestId, decision: &RoutingDecision, now: Time) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let class = &self.deployment.classes()[pending.class];
        let domain = match &decision.candidate.target {
            Target::Endpoint(id) => {
                let engine = engine_of(id);
                self.domains[0].submit(engine, request, class, &pending.prompt, now);
                0
            }
            Target::Domain(id) => {
                let domain = domain_of(id.as_str());
                let arrives_at = self.links[domain].send(pending.prompt.tokens * BYTES_PER_TOKEN, now);
                self.schedule(arrives_at, Event::Forwarded(domain, request));
                domain
            }
        };
        let price = self.deployment.price(domain) * class.output.0 as f64 / TOKENS_PER_PRICE;
        self.totals.cost += price;
        self.totals.dispatched += 1;
        self.totals.remote += u64::from(domain > 0);
    }

    /// Retries a request whose response broke off, if the retry budget permits it.
    fn retry(&mut self, request: RequestId, now: Time) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some(admitted) = pending.admitted.clone() else {
            return;
        };
        if let Some(dispatched) = pending.dispatched.take() {
            self.gate.on_end(&dispatched, DispatchOutcome::Incomplete, now);
            pending.earlier_targets.push(dispatched.target);
        }
        if self.gate.withdraw_retry(&admitted, now) {
            self.totals.retries += 1;
            self.route(request, now);
        } else {
            self.on_refusal(request, None, now);
        }
    }

    fn on_refusal(&mut self, request: RequestId, retry_after: Option<Millis>, now: Time) {
        self.totals.refusals += 1;
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let deadline = pending.sent_at + self.deployment.classes()[pending.class].deadline;
        let resend_at = retry_after
            .map(|after| now + after)
            .filter(|resend_at| *resend_at < deadline && pending.resends < MAX_RESENDS);
        if let Some(resend_at) = resend_at {
            pending.resends += 1;
            self.schedule(resend_at, Event::Resend(request));
        } else {
            let class = pending.class;
            self.pending.remove(&request);
            self.records[class].record_refusal();
        }
    }

    fn collect_tokens(&mut self, now: Time) {
        let mut tokens = std::mem::take(&mut self.token_buf);
        for domain in 0..DOMAINS {
            self.domains[domain].advance(now, &mut tokens);
            for token in tokens.drain(..) {
                if token.request >= REMOTE_ID_BASE {
                    continue;
                }
                if domain == 0 {
                    self.on_token(token.request, token.first, token.last, token.at);
                } else {
                    let arrives_at = token.at + self.deployment.link_latency();
                    self.schedule(arrives_at, Event::Token(token.request, token.first, token.last));
                }
            }
        }
        self.token_buf = tokens;
    }

    fn on_token(&mut self, request: RequestId, first: bool, last: bool, at: Time) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let elapsed = at.since(pending.sent_at).0;
        if first && !pending.first_token_seen {
            pending.first_token_seen = true;
            self.records[pending.class].record_first_token(elapsed);
        }
        if last {
            let class = pending.class;
            let dispatched = pending.dispatched.take();
            self.pending.remove(&request);
            self.records[class].record_completion(elapsed);
            if let Some(dispatched) = dispatched {
                self.gate.on_end(&dispatched, DispatchOutcome::Complete, at);
            }
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
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
        vm: format!("vm-{domain}").parse().expect("valid id"),
        incarnation: Incarnation(1),
        domain: id.parse().expect("valid id"),
        region: id.parse().expect("valid id"),
        listen: format!("127.0.0.1:{}", 100 + domain).parse().expect("valid address"),
        peer_listen: format!("127.0.0.1:{}", 200 + domain).parse().expect("valid address"),
        leaving: false,
        version: Version(1),
        size: sw_member::VmSize::default(),
    }
}

fn local_endpoint(engine: usize) -> EndpointId {
    endpoint_id(0, engine).parse().expect("valid id")
}

fn engine_of(id: &EndpointId) -> usize {
    id.as_str()
        .rsplit('-')
        .next()
        .and_then(|index| index.parse().ok())
        .unwrap_or_default()
}

fn domain_of(id: &str) -> usize {
    id.trim_start_matches('r').parse().unwrap_or_default()
}
