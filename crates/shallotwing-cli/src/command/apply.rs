//! The `apply` command.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::Args;
use serde_json::{Value, json};
use sw_conf::diff;
use sw_http::JsonClient;
use sw_store::{Etcd, PublishOutcome, publish};
use sw_time::{Clock as _, SystemClock};
use sw_unit::Version;

use crate::command::config::{change_rows, format_changes, read_valid};
use crate::command::store::{StoreArgs, current};
use crate::failure::Failure;
use crate::output::print;

const POLL_PERIOD: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Apply a configuration.
///
/// The configuration is checked, then published by one compare-and-swap. If another operator's change was accepted
/// first, nothing is changed and the exit code is 1.
#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  shallotwing apply --store 127.0.0.1:2379 fleet.ini\n  \
    shallotwing apply --store 127.0.0.1:2379 --wait --vm 127.0.0.1:7301 --vm 127.0.0.1:7302 fleet.ini")]
pub(crate) struct Apply {
    #[command(flatten)]
    store: StoreArgs,
    /// Configuration file; `-` for standard input.
    file: String,
    /// Name of the operator, for the history.
    #[arg(long, env = "USER", default_value = "operator")]
    author: String,
    /// Version that the change is based on; the current one if not given.
    #[arg(long)]
    base: Option<Version>,
    /// Wait until the given VMs use the new version.
    #[arg(long, requires = "vms")]
    wait: bool,
    /// Operator address of a VM to wait for; may be given several times.
    #[arg(long = "vm")]
    vms: Vec<SocketAddr>,
    /// Maximum wait in seconds.
    #[arg(long, default_value_t = 30)]
    timeout: u64,
}

impl Apply {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        let text = read_valid(&self.file)?;
        let store = self.store.client();
        let before = current(&store).await?;
        let base = self
            .base
            .or(before.as_ref().map(|(root, _)| root.number))
            .unwrap_or_default();
        let at = SystemClock::default().wall();
        let outcome = publish(&store, &text, base, &self.author, at).await;
        let outcome = outcome.map_err(|error| Failure::unreachable("the key-value service", error))?;
        let version = match outcome {
            PublishOutcome::Accepted(version) => version,
            PublishOutcome::Unchanged(version) => {
                print(json, &json!({ "version": version, "changed": false }), |_| {
                    format!("version {version} is the same")
                });
                return Ok(());
            }
            PublishOutcome::Conflict { winner } => {
                return Err(self.conflict(&store, &text, winner.number, &winner.author).await);
            }
        };
        let changes = change_rows(&diff(before.as_ref().map_or("", |(_, text)| text), &text));
        let accepted = json!({ "version": version, "changed": true, "changes": changes });
        print(json, &accepted, |_| {
            format!("{}\nversion {version} is accepted", format_changes(&changes))
        });
        if self.wait {
            self.wait_for(version).await
        } else {
            Ok(())
        }
    }

    /// Returns the error for a change that conflicts with the accepted version `winner`, with the sections that differ.
    async fn conflict(&self, store: &Etcd, text: &str, winner: Version, author: &str) -> Failure {
        let winner_text = current(store)
            .await
            .ok()
            .flatten()
            .map_or(String::new(), |(_, text)| text);
        let differences = format_changes(&change_rows(&diff(&winner_text, text)));
        Failure::Negative(format!(
            "version {winner} by {author} was accepted first; yours differs from it in\n{differences}"
        ))
    }

    async fn wait_for(&self, version: Version) -> Result<(), Failure> {
        let client = JsonClient::new(POLL_TIMEOUT);
        let deadline = Instant::now() + Duration::from_secs(self.timeout);
        let mut pending = self.vms.clone();
        loop {
            let mut behind = Vec::new();
            for address in pending {
                let status: Result<Value, _> = client.get(address, "/status").await;
                let running = status
                    .ok()
                    .and_then(|status| status["version"].as_u64())
                    .unwrap_or_default();
                if running < version.0 {
                    behind.push(address);
                }
            }
            eprintln!(
                "version {version} is in force on {} of {} VMs",
                self.vms.len() - behind.len(),
                self.vms.len()
            );
            if behind.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Failure::Negative(format!(
                    "version {version} is not in force on {behind:?}"
                )));
            }
            pending = behind;
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}
