//! The subcommands.

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

/// A subcommand.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a fleet configuration.
    Check(config::Check),
    /// Show what a configuration would change.
    Diff(config::Diff),
    /// Apply a configuration.
    Apply(apply::Apply),
    /// Print the configuration in the key-value service.
    Show(store::Show),
    /// List accepted configurations, newest first.
    History(store::HistoryArgs),
    /// Show the state of the system as a VM sees it.
    Status(vm::Status),
    /// Ask a VM which entry VMs to use.
    Entries(vm::Entries),
    /// Stop a VM once its requests have finished.
    Drain(vm::Drain),
    /// Run a complete system on loopback in this process and send sample requests.
    Try(r#try::Try),
    /// Compare the routing policy with baselines in a simulation.
    Bench(bench::Bench),
    /// Send load to running VMs and measure the responses.
    Load(load::Load),
    /// Run a stand-in of the platform or of an endpoint.
    Standin(standin::Standin),
}

impl Command {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the command fails or its result is negative.
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
