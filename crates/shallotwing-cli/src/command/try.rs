//! The `try` command.

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

/// Run a complete system on loopback in this process and send sample requests.
///
/// The system has three regions, each with an entry VM, a model engine and a plain service, and stand-ins of the
/// platform.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing try --keep")]
pub(crate) struct Try {
    /// Keep running, for requests with curl.
    #[arg(long)]
    keep: bool,
}

/// A sample request.
struct Sample {
    title: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: &'static str,
}

impl Try {
    pub(crate) async fn run(self) -> Result<(), Failure> {
        let cannot_start = |error: String| Failure::Unreachable(format!("cannot start: {error}"));
        logging::start(LogFormat::Human).map_err(|error| cannot_start(error.to_string()))?;
        let deployment = Deployment::start(DeploymentOptions::default()).await;
        let deployment = deployment.map_err(|error| cannot_start(error.to_string()))?;
        let mut daemons = Vec::new();
        for vm in &deployment.vms {
            let settings = Settings::parse(&vm.vm, &vm.settings).map_err(|errors| cannot_start(errors.to_string()))?;
            daemons.push(
                Daemon::start(settings)
                    .await
                    .map_err(|error| cannot_start(error.to_string()))?,
            );
        }
        let store = Etcd::new(deployment.store.address(), TIMEOUT, Rate(100.0), Millis(0));
        let published = publish(&store, &deployment.fleet, Version(0), "try", WallTime(0)).await;
        published.map_err(|error| cannot_start(error.to_string()))?;
        for vm in &deployment.vms {
            wait_until_ready(vm.operator_listen).await?;
        }
        let entry = deployment.vms[0].listen;
        for sample in samples(&issue_ticket(entry).await?) {
            send(entry, &sample).await?;
        }
        println!("endpoints ran {} requests", deployment.ledger.runs().len());
        if self.keep {
            print_addresses(&deployment);
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
    let streaming_body =
        r#"{"stream":true,"max_tokens":6,"messages":[{"role":"user","content":"When was the trolley weighed?"}]}"#;
    let chat_body = r#"{"max_tokens":6,"messages":[{"role":"user","content":"Summarise the season."}]}"#;
    let payment_body = r#"{"collector":"c-17","rupees":5200}"#;
    let chat_path = "/v1/chat/completions";
    [
        Sample {
            title: "a streamed question",
            path: chat_path,
            headers: vec![route("question")],
            body: streaming_body,
        },
        Sample {
            title: "a question without streaming",
            path: chat_path,
            headers: vec![route("question")],
            body: chat_body,
        },
        Sample {
            title: "a payment",
            path: "/svc/payment/post",
            headers: vec![ticket.clone()],
            body: payment_body,
        },
        Sample {
            title: "the same payment again",
            path: "/svc/payment/post",
            headers: vec![ticket],
            body: payment_body,
        },
        Sample {
            title: "an unknown route",
            path: chat_path,
            headers: vec![route("none")],
            body: chat_body,
        },
    ]
}

async fn send(entry: SocketAddr, sample: &Sample) -> Result<(), Failure> {
    let response = call(entry, KEY, Method::POST, sample.path, &sample.headers, sample.body).await?;
    let ran = response
        .headers
        .get(RAN_HEADER)
        .and_then(|ran| ran.to_str().ok())
        .unwrap_or("yes");
    let text = String::from_utf8_lossy(&response.body);
    println!(
        "--- {}: {}, ran: {ran}\n{}",
        sample.title,
        response.status,
        text.trim_end()
    );
    Ok(())
}

async fn issue_ticket(entry: SocketAddr) -> Result<String, Failure> {
    let response = call(entry, KEY, Method::POST, "/v1/tickets?n=1", &[], "").await?.json();
    let ticket = response["tickets"][0].as_str();
    ticket
        .map(str::to_owned)
        .ok_or_else(|| Failure::Unreachable("no ticket was issued".to_owned()))
}

async fn wait_until_ready(operator: SocketAddr) -> Result<(), Failure> {
    let client = JsonClient::new(TIMEOUT);
    for _ in 0..READY_POLLS {
        if client.get::<Value>(operator, "/readyz").await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL).await;
    }
    Err(Failure::Unreachable("a VM did not become ready".to_owned()))
}

fn print_addresses(deployment: &Deployment) {
    println!("--- staying up; key-value service at {}", deployment.store.address());
    for vm in &deployment.vms {
        println!("{}: callers {}, operators {}", vm.vm, vm.listen, vm.operator_listen);
    }
    println!(
        "curl -N -H 'Authorization: Bearer {KEY}' -H 'Shallotwing-Route: question' \
         -d '{{\"stream\":true,\"max_tokens\":5}}' http://{}/v1/chat/completions",
        deployment.vms[0].listen
    );
}
