//! `shallotwing`: the command line for operators.
//!
//! Each subcommand is in a module of [`command`]. Exit codes: 0 for success, 1 for a negative result (sections differ,
//! another operator's change was accepted first, a VM did not get the new version in time), 2 for invalid input, 3 if
//! something could not be reached.

mod client;
mod command;
mod failure;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::command::Command;

/// Operates the shallotwing inference gateway.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("shallotwing: cannot start: {error}");
            return ExitCode::from(3);
        }
    };
    match runtime.block_on(args.command.run(args.json)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("shallotwing: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
