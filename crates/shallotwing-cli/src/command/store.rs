//! The `show` and `history` commands, which read the key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use sw_store::{ConfigRoot, Etcd, fetch_text, read_history_entry, read_root};
use sw_unit::{Millis, Rate, Version};

use crate::failure::Failure;
use crate::output::print;

const TIMEOUT: Duration = Duration::from_secs(5);
const CALL_RATE: Rate = Rate(100.0);

/// Arguments of commands that use the key-value service.
#[derive(Debug, Args)]
pub(crate) struct StoreArgs {
    /// Address of the key-value service.
    #[arg(long, env = "SHALLOTWING_STORE")]
    store: SocketAddr,
}

/// Print the configuration in the key-value service.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing show --store 127.0.0.1:2379 > fleet.ini")]
pub(crate) struct Show {
    #[command(flatten)]
    store: StoreArgs,
}

/// List accepted configurations, newest first.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing history --store 127.0.0.1:2379 --limit 5")]
pub(crate) struct HistoryArgs {
    #[command(flatten)]
    store: StoreArgs,
    /// Maximum number of configurations.
    #[arg(long, default_value_t = 20)]
    limit: u64,
}

impl StoreArgs {
    /// Creates a client of the service.
    pub(crate) fn client(&self) -> Etcd {
        Etcd::new(self.store, TIMEOUT, CALL_RATE, Millis(0))
    }
}

/// Reads the root and text of the current configuration, if there is one.
pub(crate) async fn current(store: &Etcd) -> Result<Option<(ConfigRoot, String)>, Failure> {
    let unreachable = |error| Failure::unreachable("the key-value service", error);
    let (root, _) = read_root(store).await.map_err(unreachable)?;
    let Some(root) = root else {
        return Ok(None);
    };
    let text = fetch_text(store, &root, "").await.map_err(unreachable)?;
    Ok(Some((root, text)))
}

impl Show {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        let current = current(&self.store.client()).await?;
        let (root, text) =
            current.ok_or_else(|| Failure::Negative("no configuration has been applied yet".to_owned()))?;
        let value = serde_json::json!({ "root": root, "text": text });
        print(json, &value, |_| text.trim_end().to_owned());
        Ok(())
    }
}

impl HistoryArgs {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        let store = self.store.client();
        let unreachable = |error| Failure::unreachable("the key-value service", error);
        let (root, _) = read_root(&store).await.map_err(unreachable)?;
        let newest = root.map_or(0, |root| root.number.0);
        let mut entries: Vec<ConfigRoot> = Vec::new();
        for number in (1..=newest).rev().take(self.limit as usize) {
            entries.extend(read_history_entry(&store, Version(number)).await.map_err(unreachable)?);
        }
        print(json, &entries, |entries| {
            let line =
                |entry: &ConfigRoot| format!("{}  {}  {}  {}", entry.number, entry.at, entry.author, entry.digest);
            entries.iter().map(line).collect::<Vec<_>>().join("\n")
        });
        Ok(())
    }
}
