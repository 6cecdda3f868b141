//! `try`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use hyper::Method;
use serde_json::Value;
use shallotwing_daemon::{Daemon, logging};
use sw_conf::{LogFormat, Settings};
use sw_http::{JsonClient, RAN_HEADER};
use sw_standin::{Deployment, DeploymentOptions, KEY};
use sw_store::{Etcd, publish};
use sw_unit::{Millis, Rate, Version, WallTime};

use crate::client::call;
use crate::failure::Failure;

const TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(50);
const READY_POLLS: u32 = 200;

/// Start a whole system on loopback in this process and send requests.
///
/// Three regions with an entry VM, a model engine and a plain service each, and stand-ins of the platform.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing try --keep")]
pub(crate) struct Try {
    /// Stay up, for curl.
    #[arg(long)]
    keep: bool,
}

/// A request to send.
struct Sample {
    title: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: &'static str,
}

impl Try {
    pub(crate) async fn run(self) -> Result<(), Failure> {
        let failed = |error: String| Failure::Unreachable(format!("cannot start: {error}"));
        logging::start(LogFormat::Human).map_err(|error| failed(error.to_string()))?;
        let deployment = Deployment::start(DeploymentOptions::default()).await;
        let deployment = deployment.map_err(|error| failed(error.to_string()))?;
        let mut daemons = Vec::new();
        for plan in &deployment.vms {
            let settings = Settings::parse(&plan.vm, &plan.settings).map_err(|faults| failed(faults.to_string()))?;
            daemons.push(
                Daemon::start(settings)
                    .await
                    .map_err(|error| failed(error.to_string()))?,
            );
        }
        let store = Etcd::new(deployment.store.address(), TIMEOUT, Rate(100.0), Millis(0));
        let published = publish(&store, &deployment.fleet, Version(0), "try", WallTime(0)).await;
        published.map_err(|error| failed(error.to_string()))?;
        for plan in &deployment.vms {
            wait_until_ready(plan.operator_listen).await?;
        }
        let entry = deployment.vms[0].listen;
        for sample in samples(&ticket(entry).await?) {
            send(entry, &sample).await?;
        }
        println!("endpoints ran {} requests", deployment.ledger.runs().len());
        if self.keep {
            print_help(&deployment);
            std::future::pending::<()>().await;
        }
        for daemon in daemons {
            daemon.stop().await;
        }
        Ok(())
    }
}

fn samples(ticket: &str) -> [Sample; 5] {
    let route = |route: &str| ("shallotwing-route", route.to_owned());
    let ticket = ("shallotwing-ticket", ticket.to_owned());
    let streamed =
        r#"{"stream":true,"max_tokens":6,"messages":[{"role":"user","content":"When was the trolley weighed?"}]}"#;
    let whole = r#"{"max_tokens":6,"messages":[{"role":"user","content":"Summarise the season."}]}"#;
    let payment = r#"{"collector":"c-17","rupees":5200}"#;
    let chat = "/v1/chat/completions";
    [
        Sample {
            title: "a streamed question",
            path: chat,
            headers: vec![route("question")],
            body: streamed,
        },
        Sample {
            title: "a whole answer",
            path: chat,
            headers: vec![route("question")],
            body: whole,
        },
        Sample {
            title: "a payment",
            path: "/svc/payment/post",
            headers: vec![ticket.clone()],
            body: payment,
        },
        Sample {
            title: "the same payment again",
            path: "/svc/payment/post",
            headers: vec![ticket],
            body: payment,
        },
        Sample {
            title: "an unknown route",
            path: chat,
            headers: vec![route("none")],
            body: whole,
        },
    ]
}

async fn send(entry: SocketAddr, sample: &Sample) -> Result<(), Failure> {
    let answer = call(entry, KEY, Method::POST, sample.path, &sample.headers, sample.body).await?;
    let ran = answer
        .headers
        .get(RAN_HEADER)
        .and_then(|ran| ran.to_str().ok())
        .unwrap_or("yes");
    let text = String::from_utf8_lossy(&answer.body);
    println!(
        "--- {}: {}, ran: {ran}\n{}",
        sample.title,
        answer.status,
        text.trim_end()
    );
    Ok(())
}

async fn ticket(entry: SocketAddr) -> Result<String, Failure> {
    let answer = call(entry, KEY, Method::POST, "/v1/tickets?n=1", &[], "").await?.json();
    let ticket = answer["tickets"][0].as_str();
    ticket
        .map(str::to_owned)
        .ok_or_else(|| Failure::Unreachable("no ticket was issued".to_owned()))
}

async fn wait_until_ready(operator: SocketAddr) -> Result<(), Failure> {
    let caller = JsonClient::new(TIMEOUT);
    for _ in 0..READY_POLLS {
        if caller.get::<Value>(operator, "/readyz").await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL).await;
    }
    Err(Failure::Unreachable("a VM did not become ready".to_owned()))
}

fn print_help(deployment: &Deployment) {
    println!("--- staying up; key-value service at {}", deployment.store.address());
    for plan in &deployment.vms {
        println!(
            "{}: callers {}, operators {}",
            plan.vm, plan.listen, plan.operator_listen
        );
    }
    println!(
        "curl -N -H 'Authorization: Bearer {KEY}' -H 'Shallotwing-Route: question' \
         -d '{{\"stream\":true,\"max_tokens\":5}}' http://{}/v1/chat/completions",
        deployment.vms[0].listen
    );
}
