//! Subcommands.

mod apply;
mod bench;
mod config;
mod load;
mod standin;
mod store;
mod r#try;
mod vm;

use clap::Subcommand;

use crate::failure::Failure;

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a fleet configuration.
    Check(config::Check),
    /// Show what a configuration would change.
    Diff(config::Diff),
    /// Put a configuration in force.
    Apply(apply::Apply),
    /// Print the configuration in the key-value service.
    Show(store::Show),
    /// List accepted configurations, newest first.
    History(store::HistoryArgs),
    /// Show how a VM sees the system.
    Status(vm::Status),
    /// Ask a VM which entry VMs to use.
    Entries(vm::Entries),
    /// Stop a VM without cutting a request.
    Drain(vm::Drain),
    /// Start a whole system on loopback in this process and send requests.
    Try(r#try::Try),
    /// Measure the routing policy against baselines.
    Bench(bench::Bench),
    /// Send a load to running VMs and measure the answers.
    Load(load::Load),
    /// Run a stand-in of the platform or of an endpoint.
    Standin(standin::Standin),
}

impl Command {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why it failed.
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        match self {
            Self::Check(args) => args.run(json),
            Self::Diff(args) => args.run(json).await,
            Self::Apply(args) => args.run(json).await,
            Self::Show(args) => args.run(json).await,
            Self::History(args) => args.run(json).await,
            Self::Status(args) => args.run(json).await,
            Self::Entries(args) => args.run(json).await,
            Self::Drain(args) => args.run(json).await,
            Self::Try(args) => args.run().await,
            Self::Bench(args) => {
                args.run(json);
                Ok(())
            }
            Self::Load(args) => args.run(json).await,
            Self::Standin(args) => args.run().await,
        }
    }
}
