//! `apply`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::Args;
use serde_json::{Value, json};
use sw_conf::diff;
use sw_http::JsonClient;
use sw_store::{Etcd, PublishOutcome, publish};
use sw_time::{Clock as _, SystemClock};
use sw_unit::Version;

use crate::command::config::{lines, read_checked, rows};
use crate::command::store::{StoreArgs, current};
use crate::failure::Failure;
use crate::output::print;

const POLL_PERIOD: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Put a configuration in force.
///
/// The configuration is checked, then accepted by one compare-and-swap. If another operator's change was accepted
/// first, nothing is changed and the exit code is 1.
#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  shallotwing apply --store 127.0.0.1:2379 fleet.ini\n  \
    shallotwing apply --store 127.0.0.1:2379 --wait --vm 127.0.0.1:7301 --vm 127.0.0.1:7302 fleet.ini")]
pub(crate) struct Apply {
    #[command(flatten)]
    store: StoreArgs,
    /// The file; `-` for standard input.
    file: String,
    /// Who makes the change.
    #[arg(long, env = "USER", default_value = "operator")]
    author: String,
    /// The version that the change was made from; the current one if not given.
    #[arg(long)]
    base: Option<Version>,
    /// Wait until the given VMs run the version.
    #[arg(long, requires = "vms")]
    wait: bool,
    /// Operators' address of a VM to wait for; may be given several times.
    #[arg(long = "vm")]
    vms: Vec<SocketAddr>,
    /// Longest wait in seconds.
    #[arg(long, default_value_t = 30)]
    timeout: u64,
}

impl Apply {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        let text = read_checked(&self.file)?;
        let store = self.store.connect();
        let before = current(&store).await?;
        let base = self
            .base
            .or(before.as_ref().map(|(root, _)| root.number))
            .unwrap_or_default();
        let at = SystemClock::default().wall();
        let published = publish(&store, &text, base, &self.author, at).await;
        let published = published.map_err(|error| Failure::unreachable("the key-value service", error))?;
        let version = match published {
            PublishOutcome::Accepted(version) => version,
            PublishOutcome::Unchanged(version) => {
                print(json, &json!({ "version": version, "changed": false }), |_| {
                    format!("version {version} is the same")
                });
                return Ok(());
            }
            PublishOutcome::Conflict { winner } => {
                return Err(self.lost(&store, &text, winner.number, &winner.author).await);
            }
        };
        let changes = rows(&diff(before.as_ref().map_or("", |(_, text)| text), &text));
        let accepted = json!({ "version": version, "changed": true, "changes": changes });
        print(json, &accepted, |_| {
            format!("{}\nversion {version} is accepted", lines(&changes))
        });
        if self.wait {
            self.wait_for(version).await
        } else {
            Ok(())
        }
    }

    /// Says which version won and what differs from it.
    async fn lost(&self, store: &Etcd, text: &str, winner: Version, author: &str) -> Failure {
        let theirs = current(store)
            .await
            .ok()
            .flatten()
            .map_or(String::new(), |(_, text)| text);
        let differences = lines(&rows(&diff(&theirs, text)));
        Failure::No(format!(
            "version {winner} by {author} was accepted first; yours differs from it in\n{differences}"
        ))
    }

    async fn wait_for(&self, version: Version) -> Result<(), Failure> {
        let caller = JsonClient::new(POLL_TIMEOUT);
        let deadline = Instant::now() + Duration::from_secs(self.timeout);
        let mut missing = self.vms.clone();
        loop {
            let mut behind = Vec::new();
            for address in missing {
                let status: Result<Value, _> = caller.get(address, "/status").await;
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
                return Err(Failure::No(format!("version {version} is not in force on {behind:?}")));
            }
            missing = behind;
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}
