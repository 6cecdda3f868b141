//! Follows the platform's store.
//!
//! The watchers of a failure domain poll the store. Its other VMs receive changes from a watcher, and poll the store
//! themselves if no watcher is available. When the store was restored from an older copy, watchers read all items again, and
//! the other VMs copy their snapshots.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_peer::relay::{WatchOutcome, WatchQuery};
use sw_relay::StoreSource;
use sw_store::{AnnouncedItem, Applied, Changes, Feed, FeedError, Snapshot, StoreError};
use sw_unit::{Millis, StoreEra, StorePosition, Time, VmId};
use tokio::time::Instant;

use crate::catch_up::{copy_newer, copy_snapshot};
use crate::peer_calls::{self, PeerCall};
use crate::records::Source;
use crate::state::ProxyState;
use crate::{Dialect, configuration_proof, persist, records, restore, transfer};

/// Long-poll timeout for changes.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Long-poll timeout for a watcher with followers and for the followers themselves; short, so that followers soon
/// notice that their watcher cannot reach the store.
const SHORT_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The same for a follower whose last watcher failed: others may have failed at the same moment, so it only asks whether
/// this one is current.
const FAILOVER_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Time after a response of the store within which the next call can be expected to meet the same era.
const SAME_ERA_FOR: Millis = Millis(50);
/// Time within which a response to a call that waits for changes is early.
const EARLY_RESPONSE: Millis = Millis(500);
/// Time without a response of the store after which the mirror of a watcher is not current.
const STALE_AFTER: Millis = Millis(2_000);
/// Time after the end of a store outage during which it is reported to followers.
const REPORT_RECOVERY_FOR: Millis = Millis(10_000);
/// Delay after changes, so that further changes are batched into one call.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// Batch delay shortly after startup or an outage, when many endpoints register again.
const STARTUP_BATCH_DELAY: Duration = Duration::from_millis(100);
/// Time after startup or an outage during which changes are polled more often.
const STARTUP_PERIOD: Millis = Millis(3_000);
/// Time after a call that ends an outage, after which the watchers have made one as well.
const WATCHERS_BACK_AFTER: Duration = Duration::from_millis(350);
/// Delay after a failed call.
const BACKOFF: Duration = Duration::from_millis(250);

/// Follows the store until the process ends.
pub(crate) async fn follow<D: Dialect, F: Feed>(state: Rc<ProxyState<D, F>>) {
    let mut is_complete = false;
    let mut followed = StoreSource::Watcher;
    let mut wait = SHORT_WATCH_WAIT;
    loop {
        let source = current_source(&state);
        if source != followed {
            log_source(&source);
            followed = source.clone();
        }
        is_complete = match source {
            StoreSource::ViaWatcher { vm, address } => {
                let has_followed = follow_watcher(&state, &vm, address, wait).await;
                wait = if has_followed {
                    SHORT_WATCH_WAIT
                } else {
                    FAILOVER_WATCH_WAIT
                };
                true
            }
            StoreSource::Watcher => poll_store(&state, is_complete, true).await.is_complete,
            StoreSource::Fallback => poll_as_fallback(&state, is_complete).await,
        }
    }
}

/// Returns the source from which to follow the store; until the first snapshot is read, this VM polls the store.
fn current_source<D, F>(state: &ProxyState<D, F>) -> StoreSource {
    if state.mirror.borrow().is_empty() {
        return StoreSource::Watcher;
    }
    state.relay.borrow().store_source(state.now())
}

/// Makes one call to the store as a VM whose watchers all failed, and returns whether the mirror is complete. If it is the
/// first one after an outage that the store responds to, the watchers follow it again as well.
async fn poll_as_fallback<D: Dialect, F: Feed>(state: &ProxyState<D, F>, is_complete: bool) -> bool {
    let was_away = state.store_unavailable_since.get().is_some();
    let called_at = Instant::now();
    let poll = poll_store(state, is_complete, false).await;
    if was_away && poll.has_response {
        tokio::time::sleep_until(called_at + WATCHERS_BACK_AFTER).await;
        state.relay.borrow_mut().on_store_reached();
    }
    poll.is_complete
}

/// What came of a call to the store.
struct Poll {
    /// Whether the mirror is complete up to its revision.
    is_complete: bool,
    /// Whether the store responded.
    has_response: bool,
}

/// Makes one call to the store.
async fn poll_store<D: Dialect, F: Feed>(state: &ProxyState<D, F>, is_complete: bool, is_watcher: bool) -> Poll {
    let (position, called_at) = (state.mirror.borrow().position(), state.now());
    let revision = position.revision;
    let wait = watch_wait(state, is_watcher);
    let result = if is_complete {
        wait_for_changes(state, position, wait).await.map(Some)
    } else {
        read_all_unless_copied(state).await
    };
    let has_response = !matches!(result, Err(FeedError::Store(_)));
    let is_complete = match result {
        Ok(None) => true,
        Ok(Some(Polled::Restored(era))) => !is_watcher && copy_newer(state, StorePosition::new(era, 0)).await,
        Ok(Some(Polled::Applied { is_change })) => {
            state.store_responded_at.set(Some(state.now()));
            // Changes that this VM does not follow end the wait as well.
            let is_early = !wait.is_zero() && state.now().since(called_at) < EARLY_RESPONSE;
            if is_complete && (is_early || is_change) {
                tokio::time::sleep(batch_delay(state, is_watcher)).await;
            }
            true
        }
        Err(FeedError::HistoryGone) => {
            info!("store_history_gone", kv: { revision });
            !is_watcher && copy_newer(state, StorePosition::new(position.era, revision + 1)).await
        }
        Err(FeedError::Store(error)) => {
            on_store_unavailable(state, &error);
            tokio::time::sleep(BACKOFF).await;
            is_complete
        }
    };
    Poll {
        is_complete,
        has_response,
    }
}

/// Returns the long-poll timeout of the next call for changes.
///
/// A store that was restored since its last response may have given out the mirror's revision again. The call then waits in
/// the new era, and does not see what was written before. So it waits for long only right after a response, and not
/// at all after an outage.
fn watch_wait<D, F>(state: &ProxyState<D, F>, is_watcher: bool) -> Duration {
    let now = state.now();
    if state.store_unavailable_since.get().is_some() {
        return Duration::ZERO;
    }
    let responded_at = state.store_responded_at.get();
    let is_same_era = responded_at.is_some_and(|at| now.since(at) < SAME_ERA_FOR);
    let has_lease = state.options().strict_revocation.is_some();
    if !is_same_era || has_lease || (is_watcher && state.relay.borrow().has_followers(now)) {
        return SHORT_WATCH_WAIT;
    }
    WATCH_WAIT
}

/// Brings the mirror up to date with the store, and returns whether it is. One call serves all that ask before it is made.
pub(crate) async fn refresh<D: Dialect, F: Feed>(state: &ProxyState<D, F>, timeout: Duration) -> bool {
    let asked_at = state.now();
    let _turn = state.refresh_turn.lock().await;
    if state.refreshed_at.get().is_some_and(|at| at > asked_at) {
        return true;
    }
    let started_at = state.now();
    let position = state.mirror.borrow().position();
    let polled = tokio::time::timeout(timeout, async {
        match wait_for_changes(state, position, Duration::ZERO).await {
            Ok(Polled::Restored(_)) | Err(FeedError::HistoryGone) => read_all(state).await,
            polled => polled,
        }
    });
    if !matches!(polled.await, Ok(Ok(Polled::Applied { .. }))) {
        let revision = position.revision;
        info!("store_not_refreshed", kv: { revision });
        return false;
    }
    state.refreshed_at.set(Some(started_at));
    true
}

/// Makes one call to a watcher for changes of the store, and returns whether it follows the store.
async fn follow_watcher<D: Dialect, F>(
    state: &ProxyState<D, F>,
    vm: &VmId,
    address: SocketAddr,
    wait: Duration,
) -> bool {
    let (position, called_at) = (state.mirror.borrow().position(), state.now());
    let call = state.peers.watch(address, position, wait);
    let (failure, has_lost_store) = match peer_calls::counted(PeerCall::Watch, call).await {
        Ok(WatchOutcome::Changes {
            changes,
            announced,
            recovered_ago,
            newest,
        }) => {
            if let Ok(Polled::Applied { .. }) = apply_watched(state, changes, announced, Source::Watcher) {
                on_store_response(state);
                if let Some(newest) = newest {
                    configuration_proof::on_watched(state, newest, called_at);
                }
                if let Some(age) = recovered_ago {
                    state.relay.borrow_mut().on_store_recovered(state.now() - age);
                }
                return true;
            }
            ("other_era", false)
        }
        Ok(WatchOutcome::HistoryGone) if copy_snapshot(state, vm, address).await => return true,
        Ok(WatchOutcome::HistoryGone) => ("no_snapshot", false),
        Ok(WatchOutcome::NotCurrent) => ("not_current", true),
        Err(_no_response) => ("no_answer", false),
    };
    if has_lost_store {
        state.relay.borrow_mut().on_watcher_not_current(vm, state.now());
    } else {
        state.relay.borrow_mut().on_watcher_failed(vm, state.now());
    }
    let (vm, revision) = (vm.as_str(), position.revision);
    info!("watcher_failed", kv: { vm, failure, revision });
    false
}

/// Serves the call of a follower: waits until the store changes, the wait expires, or the mirror is no longer current. A
/// follower that knows no eras is in that of the mirror.
///
/// A caller that does not wait is behind, and gets the known changes even if the mirror is not current.
pub(crate) async fn serve_watch<D, F: Feed>(state: &ProxyState<D, F>, query: WatchQuery) -> WatchOutcome {
    let called_at = state.now();
    let end = called_at + Millis(query.wait.as_millis() as u64);
    let position = state.mirror.borrow().position();
    let asked = StorePosition::new(query.era.unwrap_or(position.era), query.after);
    if query.wait.is_zero() && position > asked {
        return changes_since(state, asked, query.takes_chunks, called_at);
    }
    loop {
        let now = state.now();
        let Some(stale_at) = current_until(state).filter(|stale_at| now < *stale_at) else {
            return WatchOutcome::NotCurrent;
        };
        let position = state.mirror.borrow().position();
        let after = StorePosition::new(query.era.unwrap_or(position.era), query.after);
        if after.era > position.era {
            return WatchOutcome::NotCurrent;
        }
        if position > after || now >= end {
            return changes_since(state, after, query.takes_chunks, called_at);
        }
        let wait = end.min(stale_at).since(now);
        // The loop checks the current state in either case.
        let _late = tokio::time::timeout(Duration::from_millis(wait.0), state.store_changed.notified()).await;
    }
}

/// Returns the time until which the mirror counts as current, unless the store is heard of before; `None` while the store
/// is unavailable. A response that is being received counts as well.
fn current_until<D, F: Feed>(state: &ProxyState<D, F>) -> Option<Time> {
    if state.store_unavailable_since.get().is_some() {
        return None;
    }
    let received_at = state
        .feed
        .received_ago()
        .map(|ago| state.now() - Millis(ago.as_millis() as u64));
    let responded_at = state.store_responded_at.get()?;
    Some(received_at.map_or(responded_at, |at| at.max(responded_at)) + STALE_AFTER)
}

/// Returns the changes after the position `after` from the mirror.
fn changes_since<D, F>(
    state: &ProxyState<D, F>,
    after: StorePosition,
    takes_chunks: bool,
    called_at: Time,
) -> WatchOutcome {
    let recovered_ago = state.store_recovered_at.get().map(|at| state.now().since(at));
    let changes = state.mirror.borrow().changes_since(after);
    let Some(mut changes) = changes else {
        return WatchOutcome::HistoryGone;
    };
    let mut announced = if takes_chunks {
        transfer::take_large(state, &mut changes)
    } else {
        Vec::new()
    };
    let mirror = state.mirror.borrow();
    announced.extend(
        mirror
            .announced()
            .filter(|item| item.revision > after.revision)
            .cloned(),
    );
    if !takes_chunks && !announced.is_empty() {
        return WatchOutcome::NotCurrent;
    }
    WatchOutcome::Changes {
        changes,
        announced,
        recovered_ago: recovered_ago.filter(|age| *age < REPORT_RECOVERY_FOR),
        newest: configuration_proof::stated(state, called_at),
    }
}

/// Returns the delay after changes.
fn batch_delay<D, F>(state: &ProxyState<D, F>, is_watcher: bool) -> Duration {
    let is_startup = state.store_available_for() < STARTUP_PERIOD;
    if is_startup && is_watcher {
        STARTUP_BATCH_DELAY
    } else {
        BATCH_DELAY
    }
}

/// What came of a response of the store or of a watcher.
pub(crate) enum Polled {
    /// It was applied.
    Applied {
        /// Whether an item changed.
        is_change: bool,
    },
    /// The store was restored, and is in this era now; all items have to be read.
    Restored(StoreEra),
}

/// Reads all items of the store; gives up, and returns `None`, if the mirror is empty and gets a copy from another VM
/// first.
async fn read_all_unless_copied<D: Dialect, F: Feed>(state: &ProxyState<D, F>) -> Result<Option<Polled>, FeedError> {
    if !state.mirror.borrow().is_empty() {
        return read_all(state).await.map(Some);
    }
    let copied = async {
        while state.mirror.borrow().is_empty() {
            state.store_changed.notified().await;
        }
    };
    tokio::select! {
        polled = read_all(state) => polled.map(Some),
        () = copied => Ok(None),
    }
}

/// Reads all items of the store, and applies them.
pub(crate) async fn read_all<D: Dialect, F: Feed>(state: &ProxyState<D, F>) -> Result<Polled, FeedError> {
    let called_at = state.now();
    let mut snapshot = state.feed.read_snapshot().await?;
    snapshot.position.era = restore::stated_era(state, snapshot.position.era);
    let is_older = snapshot.position < state.mirror.borrow().position();
    let polled = apply_snapshot(state, snapshot, Source::Store)?;
    configuration_proof::on_polled(state, &polled, called_at);
    if is_older {
        // The next watch may find no history either.
        tokio::time::sleep(BACKOFF).await;
    }
    Ok(polled)
}

/// Waits for changes after `position`, and applies them.
async fn wait_for_changes<D: Dialect, F: Feed>(
    state: &ProxyState<D, F>,
    position: StorePosition,
    wait: Duration,
) -> Result<Polled, FeedError> {
    let called_at = state.now();
    let mut changes = state.feed.changes(position.revision, wait).await?;
    changes.position.era = restore::stated_era(state, changes.position.era);
    changes.changes.retain(|change| !persist::is_origin_change(change));
    if changes.position.era != position.era && state.mirror.borrow().position().era == changes.position.era {
        // The mirror went to the later era during the call, and may lack changes before those of the response.
        return Ok(Polled::Applied { is_change: false });
    }
    let polled = apply_changes(state, changes, Source::Store)?;
    configuration_proof::on_polled(state, &polled, called_at);
    Ok(polled)
}

/// Applies the changes of another VM, and records the large items that it announced.
pub(crate) fn apply_watched<D: Dialect, F>(
    state: &ProxyState<D, F>,
    changes: Changes,
    announced: Vec<AnnouncedItem>,
    source: Source,
) -> Result<Polled, StoreError> {
    let era = changes.position.era;
    let polled = apply_changes(state, changes, source);
    if matches!(polled, Ok(Polled::Applied { .. })) {
        transfer::announce(state, announced, era);
    }
    polled
}

/// Applies changes of the mirror's era.
pub(crate) fn apply_changes<D: Dialect, F>(
    state: &ProxyState<D, F>,
    changes: Changes,
    source: Source,
) -> Result<Polled, StoreError> {
    let (era, received) = (changes.position.era, changes.changes.len());
    let (revision, known_revision) = (changes.position.revision, state.mirror.borrow().position().revision);
    let applied = state.mirror.borrow_mut().apply(changes);
    if let Applied::New(new) = &applied
        && new.len() < received
    {
        let ignored = received - new.len();
        info!("store_changes_ignored", kv: { ignored, known_revision, revision });
    }
    on_applied(state, applied, era, source)
}

/// Applies a snapshot, which may be of a later era.
pub(crate) fn apply_snapshot<D: Dialect, F>(
    state: &ProxyState<D, F>,
    snapshot: Snapshot,
    source: Source,
) -> Result<Polled, StoreError> {
    let era = snapshot.position.era;
    let before = state.mirror.borrow().position();
    if era == before.era && snapshot.position < before {
        let (revision, known_revision) = (snapshot.position.revision, before.revision);
        warn!("store_snapshot_ignored", kv: { revision, known_revision });
    }
    let applied = state.mirror.borrow_mut().apply_snapshot(snapshot, state.now());
    if before.revision > 0 && state.mirror.borrow().position().era > before.era {
        restore::on_restored(state, before, source);
    }
    state.retained_changed.notify_one();
    on_applied(state, applied, era, source)
}

fn on_applied<D: Dialect, F>(
    state: &ProxyState<D, F>,
    applied: Applied,
    era: StoreEra,
    source: Source,
) -> Result<Polled, StoreError> {
    match applied {
        Applied::New(changes) => {
            if source == Source::Store {
                on_store_response(state);
            }
            records::apply(state, &changes, source);
            Ok(Polled::Applied {
                is_change: !changes.is_empty(),
            })
        }
        Applied::NewerEra => Ok(Polled::Restored(era)),
        Applied::OlderEra => Err(StoreError::Corrupt(format!("the response is of the earlier era {era}"))),
    }
}

fn on_store_unavailable<D, F>(state: &ProxyState<D, F>, error: &StoreError) {
    if state.store_unavailable_since.get().is_none() {
        state.store_unavailable_since.set(Some(state.now()));
        let reason = error.to_string();
        warn!("store_lost", kv: { reason = reason.as_str() });
        state.store_changed.notify_waiters();
    }
}

fn on_store_response<D, F>(state: &ProxyState<D, F>) {
    if let Some(since) = state.store_unavailable_since.take() {
        let now = state.now();
        let away_ms = now.since(since).0;
        state.store_recovered_at.set(Some(now));
        state.relay.borrow_mut().on_store_recovered(now);
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
