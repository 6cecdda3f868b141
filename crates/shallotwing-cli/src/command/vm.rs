//! The `status`, `entries` and `drain` commands, which call a VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use hyper::Method;
use serde_json::Value;
use sw_http::JsonClient;

use crate::client::call;
use crate::failure::Failure;
use crate::output::print;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Show the state of the system as a VM sees it.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing status --vm 127.0.0.1:7301")]
pub(crate) struct Status {
    /// Operator address of the VM.
    #[arg(long)]
    vm: SocketAddr,
}

/// Ask a VM which entry VMs to use.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing entries --vm 127.0.0.1:7101 --key KEY --route question")]
pub(crate) struct Entries {
    /// Caller address of the VM.
    #[arg(long)]
    vm: SocketAddr,
    /// Bearer key of a workspace.
    #[arg(long, env = "SHALLOTWING_KEY", hide_env_values = true)]
    key: String,
    /// Route that the entry VMs are for.
    #[arg(long, default_value = "")]
    route: String,
}

/// Stop a VM once its requests have finished.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing drain --vm 127.0.0.1:7301")]
pub(crate) struct Drain {
    /// Operator address of the VM.
    #[arg(long)]
    vm: SocketAddr,
}

impl Status {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        let status: Value = JsonClient::new(TIMEOUT)
            .get(self.vm, "/status")
            .await
            .map_err(|error| unreachable(self.vm, error))?;
        print(json, &status, format_status);
        Ok(())
    }
}

impl Entries {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        let path = format!("/v1/entries?route={}", self.route);
        let response = call(self.vm, &self.key, Method::GET, &path, &[], "").await?;
        let (status, response) = (response.status, response.json());
        if status != 200 {
            let message = response["error"]["message"].as_str().unwrap_or("refused");
            return Err(Failure::Negative(message.to_owned()));
        }
        print(json, &response, |response| {
            let row = |row: &Value| {
                format!(
                    "{}  {}  {}",
                    field(row, "address"),
                    field(row, "region"),
                    field(row, "vm")
                )
            };
            let rows: Vec<_> = response["entries"].as_array().into_iter().flatten().map(row).collect();
            rows.join("\n")
        });
        Ok(())
    }
}

impl Drain {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        let response = JsonClient::new(TIMEOUT)
            .call::<Value>(self.vm, Method::POST, "/drain", Bytes::new())
            .await;
        let response = response.map_err(|error| unreachable(self.vm, error))?;
        print(json, &response, |_| format!("{} is stopping", self.vm));
        Ok(())
    }
}

fn unreachable(vm: SocketAddr, error: impl std::fmt::Display) -> Failure {
    Failure::unreachable(&vm.to_string(), error)
}

fn field<'a>(row: &'a Value, name: &str) -> &'a str {
    row[name].as_str().unwrap_or_default()
}

fn format_status(status: &Value) -> String {
    let mut lines = vec![format!(
        "{} in {} ({}), version {}{}",
        field(status, "vm"),
        field(status, "domain"),
        field(status, "region"),
        status["version"],
        if status["leaving"] == true { ", stopping" } else { "" },
    )];
    for row in status["members"].as_array().into_iter().flatten() {
        lines.push(format!(
            "  VM {} in {}: {}, version {}",
            field(row, "vm"),
            field(row, "domain"),
            field(row, "state"),
            row["version"]
        ));
    }
    for row in status["endpoints"].as_array().into_iter().flatten() {
        let state = match (row["leaving"] == true, row["paused"] == true, row["reported"] == true) {
            (true, _, _) => "leaving",
            (_, true, _) => "unreachable",
            (_, _, true) => "reporting",
            _ => "silent",
        };
        lines.push(format!(
            "  endpoint {}: {state}, load {} of {} slots",
            field(row, "endpoint"),
            row["load"],
            row["slots"]
        ));
    }
    lines.join("\n")
}
