//! Following the platform's store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_relay::Fact;
use sw_store::{Change, Feed, FeedError, StoreError};
use sw_unit::{Millis, VmId};

use crate::Dialect;
use crate::core::Core;

/// How long the store holds a call that waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause after changes, in which further ones gather, so that they cost one call.
const GATHER: Duration = Duration::from_millis(500);
/// The same shortly after a start or an outage, when much is registered anew.
const FRESH_GATHER: Duration = Duration::from_millis(100);
/// Time after a start or an outage in which changes are asked for more often.
const FRESH: Millis = Millis(3_000);
/// Pause after a failed call.
const BACKOFF: Duration = Duration::from_millis(250);

/// Follows the store until the process ends.
pub(crate) async fn follow<D: Dialect, F: Feed>(core: Rc<Core<D, F>>) {
    let mut follows = false;
    loop {
        let revision = core.mirror.borrow().revision();
        let result = if follows {
            wait(&core, revision).await
        } else {
            read(&core).await
        };
        match result {
            Ok(changes) => {
                let quiet = changes.is_empty();
                seen(&core);
                apply(&core, &changes, "store");
                if follows && !quiet {
                    tokio::time::sleep(gather(&core)).await;
                }
                follows = true;
            }
            Err(FeedError::HistoryGone) => {
                info!("store_history_gone", kv: { revision });
                follows = false;
            }
            Err(FeedError::Store(error)) => {
                lost(&core, &error);
                tokio::time::sleep(BACKOFF).await;
            }
        }
    }
}

/// The pause after changes.
fn gather<D, F>(core: &Core<D, F>) -> Duration {
    let fresh = core.now().since(core.store_returned.get()) < FRESH;
    if fresh { FRESH_GATHER } else { GATHER }
}

/// A VM to copy from, if the store is away for longer than `patience`.
pub(crate) fn neighbour_ahead<D, F>(core: &Core<D, F>, patience: Millis) -> Option<(VmId, SocketAddr)> {
    let lost = core.store_lost.get()?;
    if core.now().since(lost) < patience {
        return None;
    }
    let relay = core.relay.borrow();
    let row = relay.vm_ahead(core.now())?;
    Some((row.vm.clone(), row.peer_listen))
}

/// Takes what another VM knows of the store.
pub(crate) async fn copy_from<D: Dialect, F>(core: Rc<Core<D, F>>, vm: VmId, address: SocketAddr) {
    let Ok(snapshot) = core.peers.snapshot(address).await else {
        return;
    };
    let (vm, revision) = (vm.as_str(), snapshot.revision);
    info!("store_copied", kv: { vm, revision });
    let changes = core.mirror.borrow_mut().replace(snapshot.items, revision);
    apply(&core, &changes, "neighbour");
}

/// Reads everything, and returns what is new.
async fn read<D, F: Feed>(core: &Core<D, F>) -> Result<Vec<Change>, FeedError> {
    let snapshot = core.feed.read().await?;
    let mut mirror = core.mirror.borrow_mut();
    Ok(mirror.replace(snapshot.items, snapshot.revision))
}

/// Waits for changes after `revision`, and returns those that are new.
async fn wait<D, F: Feed>(core: &Core<D, F>, revision: u64) -> Result<Vec<Change>, FeedError> {
    let changes = core.feed.changes(revision, WATCH_WAIT).await?;
    let mut mirror = core.mirror.borrow_mut();
    Ok(mirror.apply(changes.changes, changes.revision))
}

fn apply<D: Dialect, F>(core: &Core<D, F>, changes: &[Change], source: &str) {
    let revision = core.mirror.borrow().revision();
    let now = core.now();
    for change in changes {
        let (key, value) = match change {
            Change::Put(item) => (&item.key, Some(item.value.as_slice())),
            Change::Removed { key, .. } => (key, None),
        };
        let fact = core.dialect.fact(key, value);
        if let Fact::Unreadable { reason, .. } = &fact {
            let (key, reason) = (key.as_str(), reason.as_str());
            warn!("store_item_unreadable", kv: { key, revision, reason });
        }
        learn(core, fact, source, revision);
    }
    let mut relay = core.relay.borrow_mut();
    relay.set_revision(revision);
    for endpoint in relay.tick(now) {
        let endpoint = endpoint.as_str();
        info!("endpoint_gone", kv: { endpoint, revision });
    }
}

fn learn<D, F>(core: &Core<D, F>, fact: Fact, source: &str, revision: u64) {
    let now = core.now();
    let described = describe(&fact);
    if core.relay.borrow_mut().learn(fact, now)
        && let Some((what, id, state)) = described
    {
        let (id, state) = (id.as_str(), state.as_str());
        info!("learned", kv: { what, id, state, source, revision });
    }
}

/// What a fact is about, for the log.
fn describe(fact: &Fact) -> Option<(&'static str, String, String)> {
    match fact {
        Fact::Table(table) => {
            let routes = format!("{} routes", table.routes().count());
            Some(("configuration", table.version.to_string(), routes))
        }
        Fact::Endpoint(id, Some(entry)) => {
            let state = if entry.leaving { "leaving" } else { "ready" };
            let state = format!("{state}, cold for {} ms", entry.cold_for);
            Some(("endpoint", id.to_string(), state))
        }
        Fact::Endpoint(id, None) | Fact::Unreadable { endpoint: Some(id), .. } => {
            Some(("endpoint", id.to_string(), "gone".to_owned()))
        }
        Fact::Evacuated(domain, on) => {
            let state = if *on { "evacuated" } else { "open" };
            Some(("failure_domain", domain.to_string(), state.to_owned()))
        }
        Fact::Unreadable { endpoint: None, .. } | Fact::Other => None,
    }
}

fn lost<D, F>(core: &Core<D, F>, error: &StoreError) {
    if core.store_lost.get().is_none() {
        core.store_lost.set(Some(core.now()));
        let reason = error.to_string();
        warn!("store_lost", kv: { reason = reason.as_str() });
    }
}

fn seen<D, F>(core: &Core<D, F>) {
    if let Some(since) = core.store_lost.take() {
        let now = core.now();
        let away_ms = now.since(since).0;
        core.store_returned.set(now);
        core.relay.borrow_mut().store_returned(now);
        info!("store_regained", kv: { away_ms });
    }
}
