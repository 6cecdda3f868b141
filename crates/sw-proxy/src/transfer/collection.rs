//! Calls for the chunks of one value.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use metrics::counter;
use spdlog::prelude::*;
use sw_chunk::{ChunkId, Manifest};
use sw_unit::{Digest, Millis, Time};

use crate::peer_calls::{self, PeerCall};
use crate::state::ProxyState;

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
pub(super) async fn collect<D, F>(
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
        let call = state.peers.chunks(address, &missing);
        let Ok(packed) = peer_calls::counted(PeerCall::Chunks, call).await else {
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
