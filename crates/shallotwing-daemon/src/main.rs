//! `shallotwingd`: the gateway process of an entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::{Context as _, eyre};
use shallotwing_daemon::{Daemon, logging};
use spdlog::prelude::*;
use sw_conf::{RelaySettings, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// The gateway process of an entry VM.
///
/// It serves callers until it receives SIGTERM, then completes all requests and exits.
#[derive(Debug, Parser)]
#[command(version, after_help = "Example: shallotwingd --config /etc/shallotwing/lahore-1.ini")]
struct Args {
    /// The settings file, in INI.
    #[arg(long)]
    config: PathBuf,
    /// Check the settings and exit: 0 if they are valid, 2 if not.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shallotwingd: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &Args) -> eyre::Result<()> {
    let file = args.config.display().to_string();
    let text = std::fs::read_to_string(&args.config).wrap_err_with(|| format!("cannot read {file}"))?;
    if RelaySettings::is_relay_config(&text) {
        return run_relay(args, &file, &text);
    }
    let settings = Settings::parse(&file, &text).map_err(|faults| eyre!("invalid settings\n{faults}"))?;
    if args.check {
        println!("{file}: good");
        return Ok(());
    }
    logging::start(settings.log_format)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

#[cfg(feature = "platform")]
fn run_relay(args: &Args, file: &str, text: &str) -> eyre::Result<()> {
    let settings = shallotwing_daemon::relay::parse_settings(file, text)?;
    if args.check {
        println!("{file}: good");
        return Ok(());
    }
    logging::start(sw_conf::LogFormat::Json)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, shallotwing_daemon::relay::run(args.config.clone(), settings))
}

#[cfg(not(feature = "platform"))]
fn run_relay(_: &Args, file: &str, _: &str) -> eyre::Result<()> {
    Err(eyre!("{file}: this binary was built without the `platform` feature"))
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.drain_requested() => {}
    }
    // Further signals have no effect, because the handlers above stay installed.
    daemon.stop().await;
    info!("stopped");
    logging::flush();
    Ok(())
}
