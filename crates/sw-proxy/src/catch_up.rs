//! Learns from other VMs what the store has not told this one.
//!
//! A VM that cannot reach the store, or that others are ahead of by a version of the configuration, copies a snapshot from a VM
//! with a newer position. One that others are ahead of in any way gets the changes from another VM, because its own call
//! to the store may be without a response for seconds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use spdlog::prelude::*;
use sw_peer::relay::WatchOutcome;
use sw_unit::{Millis, StorePosition, VmId};

use crate::Dialect;
use crate::peer_calls::{self, PeerCall};
use crate::records::Source;
use crate::state::ProxyState;
use crate::store::{Polled, apply_snapshot, apply_watched};
use crate::transfer;

/// Duration of an outage after which a snapshot is copied from another VM.
const COPY_AFTER_OUTAGE: Millis = Millis(1_000);
/// Time behind another VM after which changes are got from it; longer than a watcher and a follower both batch changes.
const CATCH_UP_AFTER: Millis = Millis(1_500);
/// Number of attempts to copy the snapshot of a watcher after the store was restored, before a VM that is none reads all
/// items itself.
const RESTORE_COPY_ATTEMPTS: u32 = 4;
/// Delay between these attempts.
const RESTORE_COPY_DELAY: Duration = Duration::from_millis(300);

/// Returns a VM to copy a snapshot from, if the mirror is empty or the store has been unavailable for `after`, if another VM
/// has run a newer version for as long (at startup: at all), or if another VM retains what the store has lost and knows more of it.
///
/// At startup a call to an unreachable store may take long to fail, so a snapshot is copied at the same time.
fn copy_source<D, F>(state: &ProxyState<D, F>, after: Millis) -> Option<(VmId, SocketAddr)> {
    let is_empty = state.mirror.borrow().is_empty();
    let unavailable_since = state.store_unavailable_since.get();
    let is_away = unavailable_since.is_some_and(|since| state.now().since(since) >= after);
    let (relay, now) = (state.relay.borrow(), state.now());
    let newer = relay.peer_with_newer_position(now).filter(|_| is_empty || is_away);
    let copy_behind_after = if state.startup.is_over() { after } else { Millis(0) };
    let is_behind = relay
        .behind_for(now)
        .is_some_and(|behind_for| behind_for >= copy_behind_after);
    let newer = newer.or_else(|| relay.peer_with_newer_version(now).filter(|_| is_behind));
    let retaining = relay.peer_that_retains(now).filter(|_| !is_empty);
    let row = newer.or(retaining)?;
    Some((row.vm.clone(), row.peer_listen))
}

/// Returns whether another VM has been ahead of this one for a while.
fn is_behind<D, F>(state: &ProxyState<D, F>) -> bool {
    let behind_for = state.relay.borrow().position_behind_for(state.now());
    !state.mirror.borrow().is_empty() && behind_for.is_some_and(|time| time >= CATCH_UP_AFTER)
}

/// Copies a snapshot from another VM, or gets the changes that this VM lacks, if that is due and neither is in progress.
pub(crate) fn start_if_due<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    if state.is_copying.get() {
        return;
    }
    let source = copy_source(state, COPY_AFTER_OUTAGE);
    if source.is_none() && !is_behind(state) {
        return;
    }
    state.is_copying.set(true);
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        match source {
            Some((vm, address)) => {
                copy_snapshot(&state, &vm, address).await;
            }
            None => catch_up(&state).await,
        }
        state.is_copying.set(false);
    });
}

/// Gets the changes that this VM lacks from another one, or its snapshot if it no longer has them.
async fn catch_up<D: Dialect, F>(state: &ProxyState<D, F>) {
    let (row, behind_ms) = {
        let (relay, now) = (state.relay.borrow(), state.now());
        let behind_for = relay.position_behind_for(now).unwrap_or_default();
        (relay.peer_to_catch_up_from(now).cloned(), behind_for.0)
    };
    let Some(row) = row else {
        return;
    };
    let position = state.mirror.borrow().position();
    let call = state.peers.watch(row.peer_listen, position, Duration::ZERO);
    let outcome = match peer_calls::counted(PeerCall::Watch, call).await {
        Ok(WatchOutcome::Changes { changes, announced, .. }) => {
            match apply_watched(state, changes, announced, Source::Neighbour) {
                Ok(Polled::Applied { .. }) => "changes",
                Ok(Polled::Restored(_)) | Err(_) => "other_era",
            }
        }
        Ok(WatchOutcome::HistoryGone) if copy_snapshot(state, &row.vm, row.peer_listen).await => "snapshot",
        Ok(WatchOutcome::HistoryGone) => "no_snapshot",
        Ok(WatchOutcome::NotCurrent) => "not_current",
        Err(_no_response) => "no_answer",
    };
    let (vm, revision) = (row.vm.as_str(), position.revision);
    let reached = state.mirror.borrow().position().revision;
    info!("store_caught_up", kv: { vm, outcome, behind_ms, revision, reached });
    counter!("shallotwing_store_catch_ups_total", "outcome" => outcome).increment(1);
}

/// Copies the snapshot of another VM, and returns whether it was applied.
pub(crate) async fn copy_snapshot<D: Dialect, F>(state: &ProxyState<D, F>, vm: &VmId, address: SocketAddr) -> bool {
    let assumed = state.mirror.borrow().position().era;
    let vm = vm.as_str();
    let call = state.peers.store_copy(address, assumed);
    let Ok(mut copy) = peer_calls::counted(PeerCall::StoreCopy, call).await else {
        info!("store_copy_failed", kv: { vm });
        return false;
    };
    if !transfer::fill_snapshot(state, &mut copy.snapshot, copy.large, address).await {
        info!("store_copy_incomplete", kv: { vm });
        return false;
    }
    let position = copy.snapshot.position;
    let (revision, era) = (position.revision, position.era.0);
    for leaving in &copy.leaving {
        state.relay.borrow_mut().on_leaving_reported(leaving);
    }
    let polled = apply_snapshot(state, copy.snapshot, Source::Neighbour);
    let applied = matches!(polled, Ok(Polled::Applied { .. }));
    transfer::announce(state, copy.announced, position.era);
    info!("store_copied", kv: { vm, revision, era, applied });
    applied
}

/// Copies the snapshot of a VM that has reached the position `wanted`, and returns whether that succeeded; otherwise all
/// items have to be read from the store.
pub(crate) async fn copy_newer<D: Dialect, F>(state: &ProxyState<D, F>, wanted: StorePosition) -> bool {
    for _ in 0..RESTORE_COPY_ATTEMPTS {
        tokio::time::sleep(RESTORE_COPY_DELAY).await;
        let source = {
            let relay = state.relay.borrow();
            let row = relay.peer_with_newer_position(state.now());
            row.map(|row| (row.vm.clone(), row.peer_listen))
        };
        if let Some((vm, address)) = source {
            copy_snapshot(state, &vm, address).await;
        }
        if state.mirror.borrow().position() >= wanted {
            return true;
        }
    }
    false
}
