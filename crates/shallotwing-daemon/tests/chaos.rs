//! Random failures, several at a time, under a mixed load; the checker verifies that the guarantees hold.
//!
//! The seed determines the failures and requests, but not their exact times. The guarantees must hold for any timing.
//! More or longer runs: `SHALLOTWING_CHAOS_SEED=11 SHALLOTWING_CHAOS_SECONDS=120 cargo test --release -p
//! shallotwing-daemon --test chaos`.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Fleet, TestRequest, tickets};
use rustix::process::Signal;
use sw_standin::{
    CallerOutcome, CallerResponse, DeploymentOptions, EngineFaults, LinkState, RequestRecord, ServiceFaults,
    StoreFaults,
};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const REQUEST_GAP: Duration = Duration::from_millis(40);
/// Timeout for a graceful stop, longer than the longest deadline of a request.
const MAX_STOP: Duration = Duration::from_secs(20);
const VMS_PER_REGION: usize = 2;

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// A request that is sent once or several times.
struct ScheduledRequest {
    request: TestRequest,
    /// Addresses to send it to, each after a delay.
    sends: Vec<(SocketAddr, Duration)>,
    marker: String,
    regions: Vec<String>,
    idempotent: bool,
}

impl ScheduledRequest {
    async fn run(self) -> RequestRecord {
        let sends = self.sends.iter().map(async |(to, after)| {
            sleep(*after).await;
            let response = self.request.send(*to).await;
            self.request.caller_response(response.as_ref())
        });
        let received: Vec<CallerResponse> = futures::future::join_all(sends).await;
        RequestRecord {
            marker: self.marker,
            regions: self.regions,
            idempotent: self.idempotent,
            responses: received,
        }
    }
}

struct Chaos {
    fleet: Fleet,
    rng: fastrand::Rng,
    count: u64,
}

impl Chaos {
    fn address(&mut self) -> SocketAddr {
        let vm = self.rng.usize(..self.fleet.processes.len());
        self.fleet.vm(vm).listen
    }

    fn request(&mut self, tickets: &mut Vec<String>) -> ScheduledRequest {
        self.count += 1;
        let home = self.rng.u8(..4) == 0;
        let regions = if home {
            vec!["lahore".to_owned()]
        } else {
            self.fleet.regions()
        };
        let marker = format!("m-{};", self.count);
        if self.rng.bool() {
            let route = if home { "question-home" } else { "question" };
            let request = TestRequest::question(&marker, 1 + self.rng.u64(..12), self.rng.bool())
                .with_header("shallotwing-route", route);
            let sends = vec![(self.address(), Duration::ZERO)];
            return ScheduledRequest {
                request,
                sends,
                marker,
                regions,
                idempotent: true,
            };
        }
        let mut request = TestRequest::payment(&marker);
        if home {
            "/svc/payment-home/post".clone_into(&mut request.path);
        }
        let identified = match self.rng.u8(..3) {
            0 => false,
            1 => {
                request = request.with_header("idempotency-key", &format!("key-{}", self.count));
                true
            }
            _ => match self.ticket(tickets) {
                Some(ticket) => {
                    request = request.with_header("shallotwing-ticket", &ticket);
                    true
                }
                None => false,
            },
        };
        let repeats = if identified { 1 + self.rng.usize(..4) } else { 1 };
        let sends = (0..repeats).map(|_| {
            (
                self.address(),
                Duration::from_millis(self.rng.u64(..4_000) * u64::from(identified)),
            )
        });
        ScheduledRequest {
            request,
            sends: sends.collect(),
            marker,
            regions,
            idempotent: false,
        }
    }

    /// Returns a ticket that was issued earlier; the VM that issued it may be gone.
    fn ticket(&mut self, tickets: &mut Vec<String>) -> Option<String> {
        if tickets.is_empty() {
            return None;
        }
        Some(tickets.swap_remove(self.rng.usize(..tickets.len())))
    }

    /// Injects a random failure.
    async fn inject_failure(&mut self) {
        let vm = self.rng.usize(..self.fleet.processes.len());
        let region = vm / VMS_PER_REGION;
        let engine = &self.fleet.deployment.engines[region];
        let service = &self.fleet.deployment.services[region];
        let link = self.fleet.vm(vm).link.as_ref().unwrap();
        match self.rng.u8(..13) {
            0 => {
                self.fleet.processes[vm].kill();
                sleep(Duration::from_millis(self.rng.u64(..1_500))).await;
                self.fleet.restart(vm);
            }
            1 => {
                self.fleet.processes[vm].signal(Signal::STOP);
                sleep(Duration::from_millis(self.rng.u64(..4_000))).await;
                self.fleet.processes[vm].signal(Signal::CONT);
            }
            2 => self.stop(vm).await,
            3 => link.set(LinkState::Cut),
            4 => link.set(LinkState::Frozen),
            5 => link.blackhole(),
            6 => engine.set_faults(EngineFaults {
                cut_after: Some(2),
                ..EngineFaults::default()
            }),
            7 => engine.set_faults(EngineFaults {
                stall_after: Some(2),
                ..EngineFaults::default()
            }),
            8 => engine.set_faults(EngineFaults {
                mismatched_ids: true,
                ..EngineFaults::default()
            }),
            9 => service.set_faults(ServiceFaults {
                lose_responses: true,
                ..ServiceFaults::default()
            }),
            10 => service.set_faults(ServiceFaults {
                delay: Duration::from_secs(2),
                ..ServiceFaults::default()
            }),
            11 => {
                let faults = StoreFaults {
                    down: self.rng.bool(),
                    lose_responses: 3,
                    ..StoreFaults::default()
                };
                self.fleet.deployment.store.set_faults(faults);
            }
            _ => self.fleet.deployment.store_link.set(LinkState::Cut),
        }
    }

    /// Stops a VM gracefully and starts a new process in its place.
    async fn stop(&mut self, vm: usize) {
        self.fleet.processes[vm].signal(Signal::TERM);
        if tokio::time::timeout(MAX_STOP, self.fleet.processes[vm].wait_for_exit())
            .await
            .is_err()
        {
            self.fleet.processes[vm].kill();
        }
        self.fleet.restart(vm);
    }

    fn heal(&mut self) {
        let deployment = &self.fleet.deployment;
        deployment
            .vms
            .iter()
            .filter_map(|plan| plan.link.as_ref())
            .for_each(|link| link.set(LinkState::Up));
        deployment.store_link.set(LinkState::Up);
        deployment.store.set_faults(StoreFaults::default());
        deployment
            .engines
            .iter()
            .for_each(|engine| engine.set_faults(EngineFaults::default()));
        deployment
            .services
            .iter()
            .for_each(|service| service.set_faults(ServiceFaults::default()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_failures() {
    let seed = env_or("SHALLOTWING_CHAOS_SEED", 1);
    let length = Duration::from_secs(env_or("SHALLOTWING_CHAOS_SECONDS", 15));
    let options = DeploymentOptions {
        vms: VMS_PER_REGION,
        link_delay: Some(Duration::from_millis(2)),
        ..DeploymentOptions::default()
    };
    let fleet = Fleet::start(options).await;
    let mut issued = Vec::new();
    for vm in 0..fleet.processes.len() {
        issued.extend(tickets(fleet.vm(vm).listen, 60).await);
    }
    let mut chaos = Chaos {
        fleet,
        rng: fastrand::Rng::with_seed(seed),
        count: 0,
    };
    let mut tasks: Vec<JoinHandle<RequestRecord>> = Vec::new();
    let end = Instant::now() + length;
    while Instant::now() < end {
        for _ in 0..chaos.rng.usize(5..30) {
            let request = chaos.request(&mut issued);
            tasks.push(tokio::spawn(request.run()));
            sleep(REQUEST_GAP).await;
        }
        if chaos.rng.u8(..3) == 0 {
            chaos.heal();
        }
        for _ in 0..chaos.rng.usize(1..3) {
            chaos.inject_failure().await;
        }
    }
    chaos.heal();
    let mut records = Vec::new();
    for task in tasks {
        records.push(task.await.unwrap());
    }
    let count_outcome = |wanted: &CallerOutcome| {
        records
            .iter()
            .flat_map(|record| &record.responses)
            .filter(|response| response.outcome == *wanted)
            .count()
    };
    let counts = [
        CallerOutcome::Complete { correct: true },
        CallerOutcome::NotRun,
        CallerOutcome::Ran,
        CallerOutcome::Unknown,
    ]
    .map(|wanted| count_outcome(&wanted));
    println!(
        "seed {seed}: {} requests; answered, not run, ran, unknown: {counts:?}",
        records.len()
    );
    assert!(counts[0] > 0, "some requests are answered");
    chaos.fleet.assert_guarantees(&records);
}
