//! What follows when the platform's store was restored from an older copy.
//!
//! The mirror keeps what the store has lost until it is written again. Endpoints get time to register again, and this
//! VM writes its own records again.

use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_store::Settled;
use sw_unit::{Millis, StoreEra, StorePosition};

use crate::records::Source;
use crate::state::ProxyState;
use crate::{Dialect, heartbeat, persist, records};

/// Delay until other failure domains are told that a grace period is over; by then it is over at all VMs.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of retained states that one pass logs singly.
const MAX_LOGGED: usize = 32;

/// Returns the era of a response of the store: the known one if the response states none.
pub(crate) fn stated_era<D, F>(state: &ProxyState<D, F>, era: StoreEra) -> StoreEra {
    let known = state.mirror.borrow().position().era;
    let is_missing = era == StoreEra::default() && known > era;
    if state.is_era_missing.replace(is_missing) != is_missing {
        let known = known.0;
        warn!("store_era_missing", kv: { is_missing, known });
    }
    if is_missing { known } else { era }
}

/// Records that the mirror went from the position `before` of an earlier era to a later era.
pub(crate) fn on_restored<D, F>(state: &ProxyState<D, F>, before: StorePosition, source: Source) {
    let now = state.now();
    let (after, retained, has_software) = {
        let mirror = state.mirror.borrow();
        let has_software = mirror.is_stored(persist::SOFTWARE_KEY);
        (mirror.position(), mirror.retained_len(), has_software)
    };
    state.store_recovered_at.set(Some(now));
    let rewritten = state.relay.borrow_mut().on_store_restored(has_software, now);
    let (before, after) = (before.to_string(), after.to_string());
    let (before, after, source): (_, _, &'static str) = (before.as_str(), after.as_str(), source.into());
    let (services, streams) = (rewritten.services, rewritten.streams);
    warn!("store_restored", kv: { before, after, source, retained, services, streams });
}

/// Ends the retention of states when their grace periods are over, until the process ends.
pub(crate) async fn run<D: Dialect, F: 'static>(state: Rc<ProxyState<D, F>>) {
    loop {
        let next_expiry = state.mirror.borrow().next_expiry();
        let Some(next_expiry) = next_expiry else {
            state.retained_changed.notified().await;
            continue;
        };
        let wait = next_expiry.since(state.now());
        if wait > Millis(0) {
            // A snapshot may bring states whose grace periods end earlier.
            let _late = tokio::time::timeout(Duration::from_millis(wait.0), state.retained_changed.notified()).await;
            continue;
        }
        let changes = state.mirror.borrow_mut().expire(state.now());
        records::apply(&state, &changes, Source::GracePeriod);
        if !changes.is_empty() {
            let state = Rc::clone(&state);
            tokio::task::spawn_local(async move {
                tokio::time::sleep(ANNOUNCE_DELAY).await;
                heartbeat::announce_to_domains(&state);
            });
        }
    }
}

/// Logs the retained states that ended.
pub(crate) fn log_settled<D, F>(state: &ProxyState<D, F>) {
    let settled = state.mirror.borrow_mut().take_settled();
    for Settled { key, by } in settled.iter().take(MAX_LOGGED) {
        let (key, by): (&str, &'static str) = (key, (*by).into());
        info!("store_item_settled", kv: { key, by });
    }
    if settled.len() > MAX_LOGGED {
        let more = settled.len() - MAX_LOGGED;
        info!("store_items_settled", kv: { more });
    }
}
