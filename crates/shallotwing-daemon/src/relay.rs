//! The relay mode: a proxy for services that are discovered through a platform's store.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

use eyre::{Context as _, eyre};
use spdlog::prelude::*;
use sw_conf::RelaySettings;
use sw_member::VmSize;
use sw_platform::{PlatformDialect, PlatformStore};
use sw_proxy::{LimitOptions, Options, Proxy};
use sw_time::{SystemClock, TimerService};
use sw_unit::{Bytes, Millis};
use tokio::signal::unix::{SignalKind, signal};

use crate::logging;
use crate::process::metrics_recorder;

/// Interval between checks of the settings file for changes.
const SETTINGS_CHECK_PERIOD: Millis = Millis(2_000);

/// Parses the text of the settings file `file`.
///
/// # Errors
///
/// Returns an error if the settings are invalid.
pub fn parse_settings(file: &str, text: &str) -> eyre::Result<RelaySettings> {
    RelaySettings::parse(file, text).map_err(|faults| eyre!("invalid settings\n{faults}"))
}

fn read_settings(file: &Path) -> eyre::Result<RelaySettings> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {name}"))?;
    parse_settings(&name, &text)
}

/// Serves until the process receives SIGTERM or SIGINT. Must run in a `LocalSet`.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or signals cannot be received.
pub async fn run(file: PathBuf, settings: RelaySettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let recorder = metrics_recorder();
    let render = Box::leak(Box::new(move || recorder.render()));
    let store = PlatformStore::new(settings.store);
    let proxy = Proxy::start(options(&settings), PlatformDialect, store, &*render).await?;
    let mut ticks = TimerService::new(SystemClock::default()).subscribe(SETTINGS_CHECK_PERIOD);
    let mut last_modified = modified(&file);
    let mut current = settings;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {}
            _ = ticks.tick() => {
                let now = modified(&file);
                if now == last_modified {
                    continue;
                }
                last_modified = now;
            }
        }
        reload(&file, &mut current, &proxy);
    }
    proxy.stop().await;
    logging::flush();
    Ok(())
}

fn reload(file: &Path, current: &mut RelaySettings, proxy: &Proxy<PlatformDialect, PlatformStore>) {
    match read_settings(file) {
        Ok(settings) => {
            let changed = settings != *current;
            info!("reloaded", kv: { changed });
            proxy.reload(options(&settings));
            *current = settings;
        }
        Err(error) => {
            let reason = format!("{error:#}");
            error!("reload_failed", kv: { reason = reason.as_str() });
        }
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}

fn options(settings: &RelaySettings) -> Options {
    let workspaces = settings.workspaces;
    Options {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        regions: settings.regions.clone(),
        listen: settings.listen,
        ready_listen: settings.ready_listen,
        directory_listen: settings.directory_listen,
        peer_listen: settings.peer_listen,
        peer_advertise: settings.peer_advertise,
        metrics_listen: settings.metrics_listen,
        seeds: settings.seeds.clone(),
        entry_ttl: settings.entry_ttl,
        stop_grace: settings.stop_grace,
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        callers: caller_limits(settings),
        body_idle: settings.callers.body_idle,
        exempt_parts: settings.exempt_parts.clone(),
        exempt_requests: settings.exempt_requests.clone(),
        size: VmSize(settings.size.size()),
        plans_regions: settings.region_plan,
        limits_pauses: settings.stream_pauses,
        shares_capacity: settings.fair_shares,
        reuses_connections: settings.reuse_connections,
        strict_revocation: workspaces.strict_revocation.then_some(workspaces.revocation),
        quota_overshoot: workspaces.quota_overshoot,
    }
}

/// Returns the limits on callers: those that the settings state, and the others by the size of the VM.
fn caller_limits(settings: &RelaySettings) -> LimitOptions {
    const BYTES_PER_MB: u64 = 1_000_000;
    let memory = settings.size.memory_mb.map(|mb| Bytes(mb * BYTES_PER_MB));
    let by_size = LimitOptions::for_vm(memory, settings.size.descriptors);
    let callers = settings.callers;
    let limits = LimitOptions::new(
        settings.body_memory.unwrap_or(by_size.memory),
        callers.connections.unwrap_or(by_size.connections),
    );
    LimitOptions {
        memory_per_address: callers.memory_per_address.unwrap_or(limits.memory_per_address),
        connections_per_address: callers
            .connections_per_address
            .unwrap_or(limits.connections_per_address),
        ..limits
    }
}
