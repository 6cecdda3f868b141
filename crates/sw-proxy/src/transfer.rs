//! Collects large values of the store from other VMs, chunk by chunk.
//!
//! Changes of the store name a large value by its chunks only, so nothing waits for it. The chunks that this VM lacks are
//! collected from any VM that has them, and kept across failures; a value that differs little from an earlier one needs
//! few. This VM hands on what it has. If no VM makes progress, the store is read instead, by one VM of the failure domain
//! after the other.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use metrics::{counter, histogram};
use spdlog::prelude::*;
use sw_chunk::{ChunkId, Manifest};
use sw_peer::relay::{LargeValue, ValuePlace};
use sw_store::{AnnouncedItem, Change, Changes, Feed, Item, Snapshot};
use sw_unit::{Digest, Millis, StoreEra, Time};

use crate::records::Source;
use crate::state::ProxyState;
use crate::{Dialect, store};

/// Length in bytes from which on a value is collected chunk by chunk.
const LARGE_VALUE_LEN: usize = 16 << 10;
/// Maximum length in bytes of the chunks that are sent at once, unless the first one is longer.
const MAX_SENT_LEN: usize = 32 << 10;
/// Maximum number of chunks that are asked for at once.
const MAX_ASKED: usize = 128;
/// Number of VMs from which chunks are collected.
const MAX_SOURCES: usize = 8;
/// Delay before the VMs are asked again if none of them had a missing chunk.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a VM is asked last after a call to it failed.
const SOURCE_BACKOFF: Millis = Millis(3_000);
/// Time without a new chunk after which the first VM of a failure domain reads the store.
const READ_STORE_AFTER: Millis = Millis(1_500);
/// The same, in addition, for each VM of the failure domain that ranks higher.
const READ_STORE_DELAY: Millis = Millis(250);

/// Collects the values of announced items until the process ends.
pub(crate) async fn run<D: Dialect, F: Feed>(state: std::rc::Rc<ProxyState<D, F>>) {
    loop {
        let next = state.mirror.borrow().announced().next().cloned();
        match next {
            Some(item) => receive(&state, item).await,
            None => state.item_announced.notified().await,
        }
    }
}

/// Returns whether a value is collected chunk by chunk.
pub(crate) fn is_large(value: &[u8]) -> bool {
    value.len() >= LARGE_VALUE_LEN
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
        if let Some(known) = mirror.stored_value(&key).filter(|known| is_large(known)) {
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
    if let Some(value) = collect(state, &item.key, &item.manifest, None).await {
        if state.mirror.borrow().position().era == era {
            apply(state, item, value);
        }
        return;
    }
    let (key, revision) = (item.key.as_str(), item.revision);
    let result: &'static str = match store::read_all(state).await {
        Ok(_) => "read",
        Err(_) => "failed",
    };
    info!("large_value_read_from_store", kv: { key, revision, result });
    if result == "failed" {
        tokio::time::sleep(RETRY_DELAY).await;
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

/// What has been collected of a value.
struct Collection {
    started_at: Time,
    progress_at: Time,
    received_len: u64,
    received_chunks: u64,
    failed: IndexMap<SocketAddr, Time>,
    /// The VM that sent the last chunks.
    last_source: Option<SocketAddr>,
    rounds: usize,
}

/// Collects a value of `name` from other VMs, from `first` if it is given and else from the nearest; `None` if there is no
/// progress for a while.
pub(crate) async fn collect<D, F>(
    state: &ProxyState<D, F>,
    name: &str,
    manifest: &Manifest,
    first: Option<SocketAddr>,
) -> Option<Vec<u8>> {
    state.chunks.borrow_mut().keep(name, manifest.clone());
    let now = state.now();
    let mut collection = Collection {
        started_at: now,
        progress_at: now,
        received_len: 0,
        received_chunks: 0,
        failed: IndexMap::new(),
        last_source: first,
        rounds: 0,
    };
    loop {
        let missing = state.chunks.borrow().missing(manifest);
        if missing.is_empty() {
            break;
        }
        if ask_round(state, &mut collection, missing).await {
            collection.progress_at = state.now();
            continue;
        }
        if state.now().since(collection.progress_at) >= patience(state) {
            log_collected(state, name, manifest, &collection, "no_progress");
            return None;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    log_collected(state, name, manifest, &collection, "complete");
    state.chunks.borrow().assemble(manifest)
}

/// Asks VMs for missing chunks until one has some, and returns whether one had.
async fn ask_round<D, F>(state: &ProxyState<D, F>, collection: &mut Collection, mut missing: Vec<ChunkId>) -> bool {
    let sources = sources(state, collection);
    collection.rounds += 1;
    // VMs that begin at different chunks can soon hand them on to each other.
    let start = sw_member::rendezvous_score("chunk", &state.options().vm) as usize % missing.len();
    missing.rotate_left(start);
    missing.truncate(MAX_ASKED);
    for address in sources {
        let Ok(packed) = state.peers.chunks(address, &missing).await else {
            collection.failed.insert(address, state.now());
            continue;
        };
        if insert_all(state, collection, address, &missing, packed) {
            collection.last_source = Some(address);
            return true;
        }
    }
    false
}

/// Adds the chunks that a VM sent, and returns whether there were any.
fn insert_all<D, F>(
    state: &ProxyState<D, F>,
    collection: &mut Collection,
    address: SocketAddr,
    ids: &[ChunkId],
    packed: Vec<Bytes>,
) -> bool {
    let mut has_inserted = false;
    for (id, chunk) in ids.iter().zip(packed).filter(|(_, chunk)| !chunk.is_empty()) {
        let len = chunk.len() as u64;
        if let Err(error) = state.chunks.borrow_mut().insert(*id, chunk) {
            let (from, reason): (_, &'static str) = (address.to_string(), error.into());
            let (from, digest) = (from.as_str(), id.digest.to_string());
            let digest = digest.as_str();
            warn!("chunk_refused", kv: { from, digest, reason });
            collection.failed.insert(address, state.now());
            break;
        }
        collection.received_len += len;
        collection.received_chunks += 1;
        counter!("shallotwing_chunk_bytes_total", "direction" => "received").increment(len);
        has_inserted = true;
    }
    has_inserted
}

/// Returns the VMs to ask: every other time first the one that sent the last chunks, and otherwise another one, which may
/// have some by now; those that failed come last.
fn sources<D, F>(state: &ProxyState<D, F>, collection: &Collection) -> Vec<SocketAddr> {
    let now = state.now();
    let mut sources: Vec<_> = state.relay.borrow().transfer_sources(MAX_SOURCES, now);
    if !sources.is_empty() {
        let start = collection.rounds / 2 % sources.len();
        sources.rotate_left(start);
    }
    if let Some(last) = collection.last_source {
        sources.retain(|address| *address != last);
        let at = (collection.rounds % 2).min(sources.len());
        sources.insert(at, last);
    }
    let has_failed = |address: &SocketAddr| {
        let failed_at = collection.failed.get(address);
        failed_at.is_some_and(|at| now.since(*at) < SOURCE_BACKOFF)
    };
    sources.sort_by_key(has_failed);
    sources
}

/// Returns the time without progress after which this VM reads the store.
fn patience<D, F>(state: &ProxyState<D, F>) -> Millis {
    let rank = state.relay.borrow().domain_rank(state.now());
    READ_STORE_AFTER + Millis(READ_STORE_DELAY.0 * rank as u64)
}

fn log_collected<D, F>(
    state: &ProxyState<D, F>,
    key: &str,
    manifest: &Manifest,
    collection: &Collection,
    outcome: &'static str,
) {
    let (len, chunks) = (manifest.value_len(), manifest.0.len());
    let (received, received_chunks, failed) = (
        collection.received_len,
        collection.received_chunks,
        collection.failed.len(),
    );
    let (rounds, took_ms) = (collection.rounds, state.now().since(collection.started_at).0);
    info!("large_value_collected", kv: { key, outcome, len, chunks, received, received_chunks, rounds, failed, took_ms });
}

/// Returns the packed chunks that another VM asks for: of the first ones, as many as are sent at once.
pub(crate) fn send_chunks<D, F>(state: &ProxyState<D, F>, digests: &[Digest]) -> Vec<Bytes> {
    let chunks = state.chunks.borrow();
    let (mut sent, mut len) = (Vec::new(), 0);
    for digest in digests {
        let chunk = chunks.get(digest).cloned().unwrap_or_default();
        if len > 0 && len + chunk.len() > MAX_SENT_LEN {
            break;
        }
        len += chunk.len();
        sent.push(chunk);
    }
    counter!("shallotwing_chunk_bytes_total", "direction" => "sent").increment(len as u64);
    sent
}

/// Takes the large values out of changes; returns them by their chunks.
pub(crate) fn take_large<D, F>(state: &ProxyState<D, F>, changes: &mut Changes) -> Vec<AnnouncedItem> {
    let mut chunks = state.chunks.borrow_mut();
    let is_large = |change: &mut Change| matches!(change, Change::Put(item) if is_large(&item.value));
    let large = changes.changes.extract_if(.., is_large);
    let announced = large.filter_map(|change| match change {
        Change::Put(item) => Some(AnnouncedItem {
            manifest: chunks.add_value(&item.key, &item.value),
            key: item.key,
            revision: item.revision,
        }),
        Change::Removed { .. } => None,
    });
    announced.collect()
}

/// Takes the large values out of a snapshot; returns them by their chunks.
pub(crate) fn take_large_of_snapshot<D, F>(state: &ProxyState<D, F>, snapshot: &mut Snapshot) -> Vec<LargeValue> {
    let mut chunks = state.chunks.borrow_mut();
    let items = (0..).zip(&mut snapshot.items);
    let items = items.map(|(i, item)| (ValuePlace::Item(i), &item.key, &mut item.value));
    let retained = (0..).zip(&mut snapshot.retained).filter_map(|(i, entry)| {
        let value = entry.value.as_mut()?;
        Some((ValuePlace::Retained(i), &entry.key, value))
    });
    let large = items.chain(retained).filter(|(_, _, value)| is_large(value));
    let large = large.map(|(place, key, value)| {
        let manifest = chunks.add_value(key, value);
        value.clear();
        LargeValue { place, manifest }
    });
    large.collect()
}

/// Collects the large values of another VM's snapshot, and returns whether all are there.
pub(crate) async fn fill_snapshot<D, F>(
    state: &ProxyState<D, F>,
    snapshot: &mut Snapshot,
    large: Vec<LargeValue>,
    from: SocketAddr,
) -> bool {
    for value in large {
        let (key, to) = match value.place {
            ValuePlace::Item(i) => (snapshot.items[i].key.clone(), &mut snapshot.items[i].value),
            ValuePlace::Retained(i) => {
                let entry = &mut snapshot.retained[i];
                (entry.key.clone(), entry.value.get_or_insert_default())
            }
        };
        let Some(collected) = collect(state, &key, &value.manifest, Some(from)).await else {
            return false;
        };
        *to = collected;
    }
    true
}
