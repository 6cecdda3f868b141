//! Measures the resources that a VM uses for control traffic; docs/CAPACITY.md extrapolates from them to full size.
//!
//! Run by hand: `cargo test --release -p shallotwing-daemon --test capacity -- --ignored --nocapture --test-threads 1`

mod common;

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use common::{Fleet, TestRequest};
use sw_conf::{FleetBuilder, WorkspaceOptions};
use sw_engine::Options;
use sw_standin::DeploymentOptions;
use sw_unit::Version;

const WINDOW: Duration = Duration::from_secs(15);
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_KB: u64 = 4;

/// Resources that all processes together have used.
#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu_s: f64,
    rss_kb: u64,
    peer_bytes: u64,
    store_calls: u64,
}

fn usage(fleet: &Fleet) -> Usage {
    let mut usage = Usage {
        cpu_s: 0.0,
        rss_kb: 0,
        peer_bytes: 0,
        store_calls: fleet.deployment.store.calls().values().sum(),
    };
    for process in &fleet.processes {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
        usage.cpu_s += ticks / TICKS_PER_SECOND;
        usage.rss_kb += fields[21].parse::<u64>().unwrap() * PAGE_KB;
    }
    usage.peer_bytes = fleet
        .deployment
        .vms
        .iter()
        .filter_map(|plan| plan.link.as_ref())
        .map(sw_standin::Link::relayed_bytes)
        .sum();
    usage
}

/// Runs `work`, and returns a table row with what each VM used per second meanwhile.
async fn measure(fleet: &Fleet, label: &str, work: impl Future<Output = u64>) -> String {
    let (before, since) = (usage(fleet), Instant::now());
    let requests = work.await;
    let (after, seconds) = (usage(fleet), since.elapsed().as_secs_f64());
    let vms = fleet.processes.len() as f64;
    // Each byte between two VMs is sent by one and received by the other.
    let peer_kb = (after.peer_bytes - before.peer_bytes) as f64 * 2.0 / 1_000.0 / seconds / vms;
    let mut row = String::new();
    write!(
        row,
        "| {label} | {:.2} | {:.1} | {:.2} | {:.2} | {:.2} |",
        (after.cpu_s - before.cpu_s) / seconds / vms * 100.0,
        after.rss_kb as f64 / 1_000.0 / vms,
        peer_kb,
        (after.store_calls - before.store_calls) as f64 / seconds,
        requests as f64 / seconds / vms,
    )
    .unwrap();
    row
}

const HEADER: &str = "| case | CPU, % of a core | memory, MB | peers, KB/s | store calls/s, all VMs | requests/s |\n|---|---|---|---|---|---|";

async fn idle() -> u64 {
    tokio::time::sleep(WINDOW).await;
    0
}

fn linked(regions: usize, vms: usize, engines: usize) -> DeploymentOptions {
    DeploymentOptions {
        regions,
        vms,
        engines,
        link_delay: Some(Duration::ZERO),
        ..DeploymentOptions::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of minutes, run by hand"]
async fn vms_in_a_domain() {
    println!("{HEADER}");
    for vms in [3, 9, 20, 40] {
        let fleet = Fleet::start(linked(1, vms, 6)).await;
        println!(
            "{}",
            measure(&fleet, &format!("{vms} VMs in one domain, 7 endpoints"), idle()).await
        );
    }
    for engines in [1, 12, 32] {
        let fleet = Fleet::start(linked(1, 9, engines)).await;
        println!(
            "{}",
            measure(
                &fleet,
                &format!("9 VMs in one domain, {} endpoints", engines + 1),
                idle()
            )
            .await
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of minutes, run by hand"]
async fn domains() {
    println!("{HEADER}");
    for regions in [2, 6, 12, 18] {
        let fleet = Fleet::start(linked(regions, 2, 1)).await;
        println!(
            "{}",
            measure(&fleet, &format!("{regions} domains of 2 VMs, 2 endpoints each"), idle()).await
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of minutes, run by hand"]
async fn domains_of_nine() {
    println!("{HEADER}");
    for regions in [2, 6] {
        let fleet = Fleet::start(linked(regions, 9, 1)).await;
        println!(
            "{}",
            measure(&fleet, &format!("{regions} domains of 9 VMs, 2 endpoints each"), idle()).await
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of minutes, run by hand"]
async fn workspaces() {
    println!("{HEADER}");
    for (round, workspaces) in [350, 3_500, 14_000].into_iter().enumerate() {
        let fleet = Fleet::start(linked(1, 3, 1)).await;
        let mut builder = FleetBuilder::new();
        for index in 0..workspaces {
            let key = format!("key-{round}-{index}");
            let options = WorkspaceOptions {
                key: &key,
                quota_per_s: 5,
                home: Some("lahore"),
                routes: &["question", "payment"],
            };
            builder.workspace(&format!("w-{index}"), &options);
        }
        let text = format!("{}\n{builder}", fleet.deployment.fleet);
        let (before, since) = (usage(&fleet).cpu_s, Instant::now());
        fleet.apply(&text, Version(1)).await;
        for vm in 0..3 {
            fleet.wait_for_version(vm, 2).await;
        }
        let (in_force, cpu_s) = (since.elapsed(), usage(&fleet).cpu_s - before);
        let kb = text.len() / 1_000;
        println!(
            "{}",
            measure(&fleet, &format!("{workspaces} workspaces, {kb} KB"), idle()).await
        );
        println!(
            "  in force on 3 VMs after {in_force:?}, {:.0} ms of CPU a VM",
            cpu_s / 3.0 * 1_000.0
        );
        let text = text.replacen("worth = 1\n", "worth = 2\n", 1);
        let before = usage(&fleet).peer_bytes;
        fleet.apply(&text, Version(2)).await;
        for vm in 0..3 {
            fleet.wait_for_version(vm, 3).await;
        }
        let kb = (usage(&fleet).peer_bytes - before) / 1_000;
        println!("  a change of one line: {kb} KB between VMs, heartbeats included");
        println!(
            "  memory after a second change: {:.1} MB a VM",
            usage(&fleet).rss_kb as f64 / 3_000.0
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of minutes, run by hand"]
async fn requests() {
    println!("{HEADER}");
    let engine = Options {
        slots: 256,
        token_time: sw_unit::Millis(1),
        ..Options::default()
    };
    for (rate, tokens) in [(0, 16), (50, 16), (100, 16), (200, 16), (100, 64), (100, 128)] {
        let options = DeploymentOptions {
            engine,
            ..linked(1, 1, 2)
        };
        let fleet = Fleet::start(options).await;
        let questions = load(&fleet, rate, |index| {
            TestRequest::question(&format!("m-{index};"), tokens, true)
        });
        let label = format!("{rate} streamed questions a second, {tokens} tokens");
        println!("{}", measure(&fleet, &label, questions).await);
    }
    let fleet = Fleet::start(linked(1, 1, 2)).await;
    let payments = load(&fleet, 100, |index| TestRequest::payment(&format!("p-{index};")));
    println!("{}", measure(&fleet, "100 payments a second", payments).await);
    let fleet = Fleet::start(linked(1, 1, 2)).await;
    let keyed = load(&fleet, 100, |index| {
        TestRequest::payment(&format!("k-{index};")).with_header("idempotency-key", &format!("k-{index}"))
    });
    println!(
        "{}",
        measure(&fleet, "100 payments a second with idempotency keys", keyed).await
    );
}

/// Sends requests at a rate, and returns how many succeeded.
async fn load(fleet: &Fleet, rate: u64, make: impl Fn(u64) -> TestRequest) -> u64 {
    let to = fleet.vm(0).listen;
    let start = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for index in 0..rate * WINDOW.as_secs() {
        tokio::time::sleep_until(start + Duration::from_micros(index * 1_000_000 / rate)).await;
        let request = make(index);
        tasks.push(tokio::spawn(async move {
            request.send(to).await.is_some_and(|response| response.status == 200)
        }));
    }
    if rate == 0 {
        tokio::time::sleep(WINDOW).await;
    }
    let mut answered = 0;
    for task in tasks {
        answered += u64::from(task.await.unwrap());
    }
    answered
}
