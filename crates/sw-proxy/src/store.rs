//! Following the platform's store.
//!
//! The watchers of a failure domain call the store; its other VMs wait for changes at a watcher, and call the store
//! themselves when none helps. A VM that has lost the store copies from any VM that knows more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_peer::relay::Watched;
use sw_relay::StoreSource;
use sw_store::{Change, Feed, FeedError, StoreError};
use sw_unit::{Millis, VmId};

use crate::core::Core;
use crate::{Dialect, learn};

/// How long the store holds a call that waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// The same for a VM through which others follow the store: they must soon know that it has lost the store.
const FOLLOWED_WAIT: Duration = Duration::from_secs(1);
/// A VM that the store did not answer for this long is not in touch with it.
const STALE_AFTER: Millis = Millis(2_000);
/// Followers are told of an outage of the store until this long after its end.
const TOLD_RETURN: Millis = Millis(10_000);
/// Pause after changes, in which further ones gather, so that they cost one call.
const GATHER: Duration = Duration::from_millis(500);
/// The same shortly after a start or an outage, when much is registered anew.
const FRESH_GATHER: Duration = Duration::from_millis(100);
/// Time after a start or an outage in which changes are asked for more often.
const FRESH: Millis = Millis(3_000);
/// Without the store for this long, a neighbour is asked what it knows.
const NEIGHBOUR_PATIENCE: Millis = Millis(1_000);
/// Pause after a failed call.
const BACKOFF: Duration = Duration::from_millis(250);

/// Follows the store until the process ends.
pub(crate) async fn follow<D: Dialect, F: Feed>(core: Rc<Core<D, F>>) {
    let mut is_complete = false;
    let mut followed = StoreSource::Watcher;
    loop {
        let source = source(&core);
        if source != followed {
            log_source(&source);
            followed = source.clone();
        }
        is_complete = match source {
            StoreSource::ViaWatcher { vm, address } => {
                through(&core, &vm, address).await;
                true
            }
            StoreSource::Watcher => itself(&core, is_complete, true).await,
            StoreSource::Fallback => itself(&core, is_complete, false).await,
        }
    }
}

/// How the store is followed now; before anything is known, by the VM's own calls.
fn source<D, F>(core: &Core<D, F>) -> StoreSource {
    if core.mirror.borrow().revision() == 0 {
        return StoreSource::Watcher;
    }
    core.relay.borrow().store_source(core.now())
}

/// Makes one call to the store, and returns whether the copy is complete up to its revision.
async fn itself<D: Dialect, F: Feed>(core: &Core<D, F>, is_complete: bool, is_watcher: bool) -> bool {
    let revision = core.mirror.borrow().revision();
    let has_followers = is_watcher && core.relay.borrow().has_followers(core.now());
    let result = match (is_complete, has_followers) {
        (false, _) => read(core).await,
        (true, true) => wait(core, revision, FOLLOWED_WAIT).await,
        (true, false) => wait(core, revision, WATCH_WAIT).await,
    };
    match result {
        Ok(changes) => {
            core.store_answered.set(Some(core.now()));
            seen(core);
            learn::apply(core, &changes, "store");
            if is_complete && !changes.is_empty() {
                tokio::time::sleep(gather(core, is_watcher)).await;
            }
            true
        }
        Err(FeedError::HistoryGone) => {
            info!("store_history_gone", kv: { revision });
            false
        }
        Err(FeedError::Store(error)) => {
            lost(core, &error);
            tokio::time::sleep(BACKOFF).await;
            is_complete
        }
    }
}

/// Waits for what changes in the store through a watcher.
async fn through<D: Dialect, F>(core: &Core<D, F>, vm: &VmId, address: SocketAddr) {
    let revision = core.mirror.borrow().revision();
    let failure = match core.peers.watch(address, revision, FOLLOWED_WAIT).await {
        Ok(Watched::Changes { changes, returned }) => {
            seen(core);
            if let Some(age) = returned {
                core.relay.borrow_mut().on_store_recovered(core.now() - age);
            }
            let changes = core.mirror.borrow_mut().apply(changes.changes, changes.revision);
            return learn::apply(core, &changes, "watcher");
        }
        Ok(Watched::HistoryGone) if copy_from(core, vm, address).await => return,
        Ok(Watched::HistoryGone) => "no_snapshot",
        Ok(Watched::NotCurrent) => "not_current",
        Err(_no_answer) => "no_answer",
    };
    core.relay.borrow_mut().on_watcher_failed(vm, core.now());
    let vm = vm.as_str();
    info!("watcher_failed", kv: { vm, failure, revision });
}

/// Waits for another VM until the store changes after the revision `after`.
pub(crate) async fn watch<D, F>(core: &Core<D, F>, after: u64, wait: Duration) -> Watched {
    let end = core.now() + Millis(wait.as_millis() as u64);
    loop {
        let now = core.now();
        let answered = core.store_answered.get().filter(|_| core.store_lost.get().is_none());
        let Some(stale) = answered.map(|at| at + STALE_AFTER).filter(|stale| now < *stale) else {
            return Watched::NotCurrent;
        };
        if core.mirror.borrow().revision() > after || now >= end {
            return changes_since(core, after);
        }
        let wait = end.min(stale).since(now);
        // Either way, what is known now is looked at.
        let _late = tokio::time::timeout(Duration::from_millis(wait.0), core.changed.notified()).await;
    }
}

fn changes_since<D, F>(core: &Core<D, F>, after: u64) -> Watched {
    let returned = core.store_regained.get().map(|at| core.now().since(at));
    let changes = core.mirror.borrow().since(after);
    changes.map_or(Watched::HistoryGone, |changes| Watched::Changes {
        changes,
        returned: returned.filter(|age| *age < TOLD_RETURN),
    })
}

/// The pause after changes.
fn gather<D, F>(core: &Core<D, F>, is_watcher: bool) -> Duration {
    let is_fresh = core.store_there_for() < FRESH;
    if is_fresh && is_watcher { FRESH_GATHER } else { GATHER }
}

/// A VM to copy from, if nothing is known yet or the store is away for longer than `patience`.
///
/// At a start the store may take its time to fail, so other VMs are asked beside it.
fn neighbour_ahead<D, F>(core: &Core<D, F>, patience: Millis) -> Option<(VmId, SocketAddr)> {
    if core.mirror.borrow().revision() > 0 {
        let lost = core.store_lost.get()?;
        if core.now().since(lost) < patience {
            return None;
        }
    }
    let relay = core.relay.borrow();
    let row = relay.peer_with_newer_revision(core.now())?;
    Some((row.vm.clone(), row.peer_listen))
}

/// Copies from a VM that knows more, if that is due and no copy is under way.
pub(crate) fn copy_if_due<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>) {
    if core.copying.get() {
        return;
    }
    let Some((vm, address)) = neighbour_ahead(core, NEIGHBOUR_PATIENCE) else {
        return;
    };
    core.copying.set(true);
    let core = Rc::clone(core);
    tokio::task::spawn_local(async move {
        copy_from(&core, &vm, address).await;
        core.copying.set(false);
    });
}

/// Takes what another VM knows of the store.
///
/// Returns whether it answered.
async fn copy_from<D: Dialect, F>(core: &Core<D, F>, vm: &VmId, address: SocketAddr) -> bool {
    let Ok(snapshot) = core.peers.snapshot(address).await else {
        let vm = vm.as_str();
        info!("store_copy_failed", kv: { vm });
        return false;
    };
    let (vm, revision) = (vm.as_str(), snapshot.revision);
    info!("store_copied", kv: { vm, revision });
    let changes = core.mirror.borrow_mut().replace(snapshot.items, revision);
    learn::apply(core, &changes, "neighbour");
    true
}

/// Reads everything, and returns what is new.
async fn read<D, F: Feed>(core: &Core<D, F>) -> Result<Vec<Change>, FeedError> {
    let snapshot = core.feed.read().await?;
    let mut mirror = core.mirror.borrow_mut();
    Ok(mirror.replace(snapshot.items, snapshot.revision))
}

/// Waits for changes after `revision`, and returns those that are new.
async fn wait<D, F: Feed>(core: &Core<D, F>, revision: u64, wait: Duration) -> Result<Vec<Change>, FeedError> {
    let changes = core.feed.changes(revision, wait).await?;
    let mut mirror = core.mirror.borrow_mut();
    Ok(mirror.apply(changes.changes, changes.revision))
}

fn lost<D, F>(core: &Core<D, F>, error: &StoreError) {
    if core.store_lost.get().is_none() {
        core.store_lost.set(Some(core.now()));
        let reason = error.to_string();
        warn!("store_lost", kv: { reason = reason.as_str() });
        core.changed.notify_waiters();
    }
}

fn seen<D, F>(core: &Core<D, F>) {
    if let Some(since) = core.store_lost.take() {
        let now = core.now();
        let away_ms = now.since(since).0;
        core.store_regained.set(Some(now));
        core.relay.borrow_mut().on_store_recovered(now);
        info!("store_regained", kv: { away_ms });
    }
}

fn log_source(source: &StoreSource) {
    let (what, vm) = match source {
        StoreSource::Watcher => ("store", ""),
        StoreSource::Fallback => ("store_as_no_watcher_helps", ""),
        StoreSource::ViaWatcher { vm, .. } => ("watcher", vm.as_str()),
    };
    info!("store_followed", kv: { what, vm });
}
