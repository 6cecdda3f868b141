//! `standin`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, Subcommand};
use sw_engine::Options;
use sw_standin::{EngineOptions, Ledger, Link, StandinEngine, StandinPlatform, StandinService, StandinStore};
use sw_unit::Millis;

use crate::failure::Failure;

/// Run a stand-in of the platform or of an endpoint, until the process is ended.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing standin engine --listen 127.0.0.1:8001 --name e1 --region lahore")]
pub(crate) struct Standin {
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// The key-value service.
    Store {
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// The directory and VM list.
    Platform {
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
        /// Its name.
        #[arg(long)]
        name: String,
        /// Its region.
        #[arg(long)]
        region: String,
        /// Requests that it runs at a time.
        #[arg(long, default_value_t = 16)]
        slots: u32,
        /// Milliseconds between two tokens.
        #[arg(long, default_value_t = 20)]
        token_ms: u64,
        /// Load models by order only.
        #[arg(long)]
        takes_orders: bool,
        /// Refuse orders with an old fencing number.
        #[arg(long)]
        checks_orders: bool,
    },
    /// A plain service.
    Service {
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
        /// Its name.
        #[arg(long)]
        name: String,
        /// Its region.
        #[arg(long)]
        region: String,
    },
    /// A TCP link with a delay.
    Link {
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
        /// Where it leads.
        #[arg(long)]
        to: SocketAddr,
        /// Delay of each way in milliseconds.
        #[arg(long, default_value_t = 0)]
        delay_ms: u64,
    },
}

impl Standin {
    pub(crate) async fn run(self) -> Result<(), Failure> {
        let ledger = Ledger::default();
        let failed = |error| Failure::unreachable("cannot listen", error);
        match self.kind {
            Kind::Store { listen } => keep(StandinStore::start(listen).await.map_err(failed)?).await,
            Kind::Platform { listen } => keep(StandinPlatform::start(listen).await.map_err(failed)?).await,
            Kind::Engine {
                listen,
                name,
                region,
                slots,
                token_ms,
                takes_orders,
                checks_orders,
            } => {
                let capacity = Options {
                    slots,
                    token_time: Millis(token_ms),
                    ..Options::default()
                };
                let options = EngineOptions {
                    capacity,
                    incarnation: 1,
                    takes_orders,
                    checks_orders,
                };
                keep(
                    StandinEngine::start(listen, &name, &region, options, ledger)
                        .await
                        .map_err(failed)?,
                )
                .await
            }
            Kind::Service { listen, name, region } => {
                keep(
                    StandinService::start(listen, &name, &region, 1, ledger)
                        .await
                        .map_err(failed)?,
                )
                .await
            }
            Kind::Link { listen, to, delay_ms } => {
                keep(
                    Link::start(listen, to, Duration::from_millis(delay_ms))
                        .await
                        .map_err(failed)?,
                )
                .await
            }
        }
    }
}

/// Keeps a stand-in until the process is ended.
async fn keep<T>(standin: T) -> Result<(), Failure> {
    std::future::pending::<()>().await;
    drop(standin);
    Ok(())
}
