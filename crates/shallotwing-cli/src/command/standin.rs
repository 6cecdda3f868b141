//! The `standin` command.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, Subcommand};
use sw_engine::Options;
use sw_standin::{EngineOptions, Ledger, Link, StandinEngine, StandinPlatform, StandinService, StandinStore};
use sw_unit::Millis;

use crate::failure::Failure;

/// Run a stand-in of the platform or of an endpoint until the process is killed.
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
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// The directory and the list of VMs.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Name of the endpoint.
        #[arg(long)]
        name: String,
        /// Region of the endpoint.
        #[arg(long)]
        region: String,
        /// Number of requests that it runs concurrently.
        #[arg(long, default_value_t = 16)]
        slots: u32,
        /// Milliseconds per output token.
        #[arg(long, default_value_t = 20)]
        token_ms: u64,
        /// Load and unload models only by orders.
        #[arg(long)]
        takes_orders: bool,
        /// Reject orders with an outdated fencing token.
        #[arg(long)]
        checks_orders: bool,
    },
    /// A plain service.
    Service {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Name of the endpoint.
        #[arg(long)]
        name: String,
        /// Region of the endpoint.
        #[arg(long)]
        region: String,
    },
    /// A TCP link with a delay.
    Link {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Address that it forwards to.
        #[arg(long)]
        to: SocketAddr,
        /// One-way delay in milliseconds.
        #[arg(long, default_value_t = 0)]
        delay_ms: u64,
    },
}

impl Standin {
    pub(crate) async fn run(self) -> Result<(), Failure> {
        let ledger = Ledger::default();
        let cannot_listen = |error| Failure::unreachable("cannot listen", error);
        match self.kind {
            Kind::Store { listen } => run_forever(StandinStore::start(listen).await.map_err(cannot_listen)?).await,
            Kind::Platform { listen } => {
                run_forever(StandinPlatform::start(listen).await.map_err(cannot_listen)?).await
            }
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
                run_forever(
                    StandinEngine::start(listen, &name, &region, options, ledger)
                        .await
                        .map_err(cannot_listen)?,
                )
                .await
            }
            Kind::Service { listen, name, region } => {
                run_forever(
                    StandinService::start(listen, &name, &region, 1, ledger)
                        .await
                        .map_err(cannot_listen)?,
                )
                .await
            }
            Kind::Link { listen, to, delay_ms } => {
                run_forever(
                    Link::start(listen, to, Duration::from_millis(delay_ms))
                        .await
                        .map_err(cannot_listen)?,
                )
                .await
            }
        }
    }
}

/// Keeps a stand-in running until the process is killed.
async fn run_forever<T>(standin: T) -> Result<(), Failure> {
    std::future::pending::<()>().await;
    drop(standin);
    Ok(())
}
