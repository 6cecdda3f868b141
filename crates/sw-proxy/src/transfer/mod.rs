//! Collects large values of the store from other VMs, chunk by chunk.
//!
//! Changes of the store name a large value by its chunks only, so nothing waits for it. The chunks that this VM lacks are
//! collected from any VM that has them, and kept across failures; a value that differs little from an earlier one needs
//! few. This VM hands on what it has. If no VM makes progress, the store is read instead, by one VM of the failure domain
//! after the other.

mod collection;
mod large;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use metrics::histogram;
use spdlog::prelude::*;
use sw_relay::StoreSource;
use sw_store::{AnnouncedItem, Change, Changes, Feed, Item};
use sw_unit::StoreEra;

pub(crate) use collection::send_chunks;
pub(crate) use large::{fill_snapshot, take_large, take_large_of_snapshot};

use crate::records::Source;
use crate::state::ProxyState;
use crate::{Dialect, store};

/// Delay after the store could not be read either.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Collects the values of announced items until the process ends.
pub(crate) async fn run<D: Dialect, F: Feed>(state: Rc<ProxyState<D, F>>) {
    loop {
        let next = state.mirror.borrow().announced().next().cloned();
        match next {
            Some(item) => receive(&state, item).await,
            None => state.item_announced.notified().await,
        }
    }
}

/// Records large items that were written in the era `era`, whose values are to be collected.
pub(crate) fn announce<D: Dialect, F>(state: &ProxyState<D, F>, items: Vec<AnnouncedItem>, era: StoreEra) {
    if state.mirror.borrow().position().era != era {
        return;
    }
    for item in items {
        announce_one(state, item);
    }
}

fn announce_one<D: Dialect, F>(state: &ProxyState<D, F>, item: AnnouncedItem) {
    let (key, revision, manifest) = (item.key.clone(), item.revision, item.manifest.clone());
    if !state.mirror.borrow_mut().announce(item) {
        return;
    }
    let missing = {
        let (mirror, mut chunks) = (state.mirror.borrow(), state.chunks.borrow_mut());
        // What the current value has in common with the new one need not be collected.
        if let Some(known) = mirror.stored_value(&key).filter(|known| large::is_large(known)) {
            chunks.add_value(&key, known);
        }
        chunks.keep(&key, manifest.clone());
        chunks.missing(&manifest).len()
    };
    let (key, len, chunks) = (key.as_str(), manifest.value_len(), manifest.0.len());
    info!("large_value_announced", kv: { key, revision, len, chunks, missing });
    state.item_announced.notify_one();
}

/// Collects the value of an announced item and applies it; reads the store if other VMs make no progress.
async fn receive<D: Dialect, F: Feed>(state: &ProxyState<D, F>, item: AnnouncedItem) {
    let era = state.mirror.borrow().position().era;
    let first = watcher(state);
    if let Some(value) = collection::collect(state, &item.key, &item.manifest, first).await {
        if state.mirror.borrow().position().era == era {
            apply(state, item, value);
        }
        return;
    }
    let (key, revision) = (item.key.as_str(), item.revision);
    let is_read = store::read_all(state).await.is_ok();
    info!("large_value_read_from_store", kv: { key, revision, is_read });
    if !is_read {
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
}

/// Returns the address of the watcher that this VM follows, which has what it announced.
fn watcher<D, F>(state: &ProxyState<D, F>) -> Option<SocketAddr> {
    match state.relay.borrow().store_source(state.now()) {
        StoreSource::ViaWatcher { address, .. } => Some(address),
        StoreSource::Watcher | StoreSource::Fallback => None,
    }
}

fn apply<D: Dialect, F>(state: &ProxyState<D, F>, item: AnnouncedItem, value: Vec<u8>) {
    let AnnouncedItem { key, revision, .. } = item;
    let position = state.mirror.borrow().position();
    let change = Change::Put(Item { key, value, revision });
    let changes = Changes {
        position,
        changes: vec![change],
    };
    let started_at = state.now();
    // The changes are of the mirror's era, so they can be applied.
    let _applied = store::apply_changes(state, changes, Source::Neighbour);
    let applied_ms = state.now().since(started_at).0;
    info!("large_value_applied", kv: { revision, applied_ms });
    histogram!("shallotwing_large_value_apply_seconds").record(applied_ms as f64 / 1_000.0);
}
