//! Synchronization of the fleet configuration.
//!
//! Two VMs of a failure domain watch the root in the store and also read it periodically, because a watch can end
//! silently or miss events. The others see in heartbeats that a peer has a newer version and fetch it from there. A
//! version is only ever replaced by a higher one. If the store comes back with an older root, the newer one is written
//! back to it.

use std::sync::Arc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_gate::{ConfigOffer, FleetVersion};
use sw_store::{ConfigRoot, PublishOutcome, StoreError, WatchStream, fetch_text, read_root, republish};
use sw_time::Clock as _;
use sw_unit::{Millis, Version};

use crate::process::Gateway;

const PERIOD: Millis = Millis(500);
/// Interval between reads of the root once a configuration is in force.
const READ_PERIOD: Duration = Duration::from_secs(3);
/// Interval between reads of the root while no configuration is in force.
const FIRST_READ_PERIOD: Duration = Duration::from_secs(1);
/// Number of VMs of a failure domain that watch the root.
const WATCHERS: usize = 2;
/// Number of consecutive reads that must find an older root before it is replaced.
const OLDER_READS_BEFORE_RESTORE: u32 = 2;
const ROOT_KEY: &str = "shallotwing/config/root";

/// Keeps the configuration in sync until the process ends.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut sync = ConfigSync {
        gateway,
        watch: None,
        older_reads: 0,
        next_read: tokio::time::Instant::now(),
    };
    let mut ticks = sync.gateway.timers.subscribe(PERIOD);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = changed(&mut sync.watch) => sync.next_read = tokio::time::Instant::now(),
        }
        sync.update_from_store().await;
        sync.update_from_peers().await;
    }
}

/// Waits for an event of the watch; without a watch, forever.
async fn changed(watch: &mut Option<WatchStream>) {
    match watch {
        None => std::future::pending().await,
        Some(stream) => {
            if !stream.changed().await {
                *watch = None;
            }
        }
    }
}

struct ConfigSync {
    gateway: Arc<Gateway>,
    watch: Option<WatchStream>,
    older_reads: u32,
    next_read: tokio::time::Instant,
}

impl ConfigSync {
    async fn update_from_store(&mut self) {
        let step = |gate: &mut sw_gate::Gate, now| (gate.is_chosen("config", WATCHERS, now), gate.version_number());
        let Ok((chosen, local)) = self.gateway.gate.run(step).await else {
            return;
        };
        if !chosen {
            self.watch = None;
            return;
        }
        if tokio::time::Instant::now() < self.next_read {
            return;
        }
        let period = if local == Version(0) {
            FIRST_READ_PERIOD
        } else {
            READ_PERIOD
        };
        self.next_read = tokio::time::Instant::now() + period;
        if self.watch.is_none() {
            self.watch = self.gateway.store.watch(ROOT_KEY).await.ok();
        }
        match read_root(&self.gateway.store).await {
            Ok((Some(root), _)) if root.number > local => self.fetch(&root).await,
            Ok((root, _)) if local > Version(0) && root.as_ref().is_none_or(|root| root.number < local) => {
                self.restore().await;
            }
            Ok(_) => self.older_reads = 0,
            Err(error) => debug!("cannot read the configuration root", kv: { error = error.to_string().as_str() }),
        }
    }

    async fn fetch(&mut self, root: &ConfigRoot) {
        self.older_reads = 0;
        let local = self.gateway.gate.run(|gate, _| gate.version().cloned()).await;
        let local = local.ok().flatten();
        let local = local.as_ref().map_or("", |version| version.text.as_str());
        match fetch_text(&self.gateway.store, root, local).await {
            Ok(text) => {
                install(
                    &self.gateway,
                    ConfigOffer::full(root.number, root.digest, text),
                    "store",
                )
                .await;
            }
            Err(error) => warn!("cannot fetch the configuration", kv: { error = error.to_string().as_str() }),
        }
    }

    /// Writes the version in force back to a store that has lost it.
    async fn restore(&mut self) {
        self.older_reads += 1;
        if self.older_reads < OLDER_READS_BEFORE_RESTORE {
            return;
        }
        self.older_reads = 0;
        let Ok(Some(version)) = self.gateway.gate.run(|gate, _| gate.version().cloned()).await else {
            return;
        };
        let at = self.gateway.timers.clock().wall();
        let author = self.gateway.settings.vm.as_str();
        let result = republish(&self.gateway.store, &version.text, version.number, author, at).await;
        let result = match result {
            Ok(PublishOutcome::Accepted(_)) => "restored",
            Ok(PublishOutcome::Conflict { .. } | PublishOutcome::Unchanged(_)) => "overtaken",
            Err(StoreError::Corrupt(_)) => "corrupt",
            Err(_) => "failed",
        };
        warn!("the store had an older configuration", kv: { version = version.number.0, result });
    }

    async fn update_from_peers(&self) {
        let step = |gate: &mut sw_gate::Gate, now| {
            gate.peer_with_newer_config(now)
                .map(|row| (row, gate.version().cloned()))
        };
        let Ok(Some((peer, local))) = self.gateway.gate.run(step).await else {
            return;
        };
        let known = local.as_ref().map(|version| version.digest);
        if let Ok(Some(offer)) = self.gateway.peers.configuration(peer.peer_listen, known).await {
            let (number, digest) = (offer.number, offer.digest);
            let local = local.as_ref().map(|version| (version.digest, version.text.as_str()));
            if let Some(text) = offer.resolve(local) {
                install(&self.gateway, ConfigOffer::full(number, digest, text), peer.vm.as_str()).await;
            }
        }
    }
}

/// Validates an offer outside of the gate's actor, and puts it in force if it is newer.
async fn install(gateway: &Gateway, offer: ConfigOffer, source: &str) {
    let number = offer.number;
    let domain = gateway.settings.domain.clone();
    let check = move || FleetVersion::new(offer.number, offer.digest, offer.text, &domain);
    let checked = tokio::task::spawn_blocking(check).await;
    match checked {
        Ok(Ok(version)) => {
            let installed = gateway.gate.run(move |gate, _| gate.install(Arc::new(version))).await;
            if installed == Ok(true) {
                info!("configuration in force", kv: { version = number.0, source });
            }
        }
        Ok(Err(error)) => {
            error!("a configuration was rejected", kv: { version = number.0, error = error.to_string().as_str() });
        }
        Err(_panicked) => error!("the validation of a configuration panicked", kv: { version = number.0 }),
    }
}
