//! The fleet configuration in the key-value service.
//!
//! A configuration's text is cut into chunks that are stored under their digest, so a chunk that did not change is
//! not written again. One compare-and-swap of the root then makes the version, together with its line of history.
//! Versions only grow. If the answer to the swap is lost, the root and the history tell whether it took effect.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use sw_unit::{Digest, Version, WallTime};

use crate::{Entry, Revision, Store, StoreError, Swap};

const ROOT_KEY: &str = "shallotwing/config/root";
const CHUNK_PREFIX: &str = "shallotwing/config/chunk/";
const HISTORY_PREFIX: &str = "shallotwing/config/history/";
/// Longest chunk, under the service's limit for a value.
const CHUNK_LEN: usize = 512 << 10;
/// Attempts to settle a write whose answer was lost.
const RESOLVE_ATTEMPTS: u32 = 3;

/// The root of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// The version.
    pub number: Version,
    /// The digest of the text.
    pub digest: Digest,
    /// The digests of its chunks, in order.
    pub chunks: Vec<Digest>,
    /// Tells this change from any other.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// When, by the author's clock.
    pub at: WallTime,
}

/// A line of history.
pub type HistoryEntry = ConfigRoot;

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is accepted as this version.
    Accepted(Version),
    /// Another change was accepted first.
    Conflict {
        /// The winner.
        winner: ConfigRoot,
    },
    /// The text is the one that is in force.
    Unchanged(Version),
}

/// Reads the root with its revision; the revision is zero if there is none.
///
/// # Errors
///
/// Returns [`StoreError`].
pub async fn read_root(store: &impl Store) -> Result<(Option<ConfigRoot>, Revision), StoreError> {
    match store.get(ROOT_KEY).await? {
        None => Ok((None, Revision(0))),
        Some(entry) => Ok((Some(parse(&entry)?), entry.revision)),
    }
}

/// Reads the text of a configuration and checks its digest; chunks that `own` text has too are not read.
///
/// # Errors
///
/// Returns [`StoreError`]; [`StoreError::Corrupt`] if a chunk is missing or the digest does not match.
pub async fn fetch_text(store: &impl Store, root: &ConfigRoot, own: &str) -> Result<String, StoreError> {
    let own_chunks = own.as_bytes().chunks(CHUNK_LEN);
    let own_chunks: HashMap<_, _> = own_chunks.map(|chunk| (sw_conf::digest(chunk), chunk)).collect();
    let mut text = Vec::new();
    for digest in &root.chunks {
        if let Some(chunk) = own_chunks.get(digest) {
            text.extend_from_slice(chunk);
            continue;
        }
        let entry = store.get(&chunk_key(digest)).await?;
        text.extend(
            entry
                .ok_or_else(|| StoreError::Corrupt(format!("no chunk {digest}")))?
                .value,
        );
    }
    if sw_conf::digest(&text) != root.digest {
        return Err(StoreError::Corrupt(format!(
            "chunks that do not make version {}",
            root.number
        )));
    }
    String::from_utf8(text).map_err(|_not_utf8| StoreError::Corrupt("a text that is not UTF-8".to_owned()))
}

/// Reads a line of history.
///
/// # Errors
///
/// Returns [`StoreError`].
pub async fn read_history_entry(store: &impl Store, number: Version) -> Result<Option<HistoryEntry>, StoreError> {
    let entry = store.get(&history_key(number)).await?;
    entry.map(|entry| parse(&entry)).transpose()
}

/// Makes `text` the version after `base`, unless the root has moved on from there.
///
/// # Errors
///
/// Returns [`StoreError`]; after [`StoreError::Unknown`] the change may have been accepted.
pub async fn publish(
    store: &impl Store,
    text: &str,
    base: Version,
    author: &str,
    at: WallTime,
) -> Result<PublishOutcome, StoreError> {
    let (current, revision) = read_root(store).await?;
    let current_number = current.as_ref().map_or(Version(0), |root| root.number);
    let digest = sw_conf::digest(text.as_bytes());
    if let Some(winner) = current.filter(|root| root.number != base || root.digest == digest) {
        if winner.digest == digest {
            return Ok(PublishOutcome::Unchanged(winner.number));
        }
        return Ok(PublishOutcome::Conflict { winner });
    }
    let root = ConfigRoot {
        number: Version(current_number.0.max(base.0) + 1),
        digest,
        chunks: write_chunks(store, text).await?,
        change: format!("{:016x}", fastrand::u64(..)),
        author: author.to_owned(),
        at,
    };
    swap_root(store, &root, revision).await
}

/// Writes a configuration back that is in force on VMs but missing from a service that lost its latest state.
///
/// # Errors
///
/// Returns [`StoreError`].
pub async fn republish(
    store: &impl Store,
    text: &str,
    number: Version,
    author: &str,
    at: WallTime,
) -> Result<PublishOutcome, StoreError> {
    let (current, revision) = read_root(store).await?;
    if let Some(winner) = current.filter(|root| root.number >= number) {
        return Ok(PublishOutcome::Conflict { winner });
    }
    let root = ConfigRoot {
        number,
        digest: sw_conf::digest(text.as_bytes()),
        chunks: write_chunks(store, text).await?,
        change: format!("restored-{number}"),
        author: author.to_owned(),
        at,
    };
    swap_root(store, &root, revision).await
}

async fn write_chunks(store: &impl Store, text: &str) -> Result<Vec<Digest>, StoreError> {
    let mut digests = Vec::new();
    for chunk in text.as_bytes().chunks(CHUNK_LEN) {
        let digest = sw_conf::digest(chunk);
        let pair = (chunk_key(&digest), chunk.to_vec());
        // The key is the digest of the value, so a chunk that exists already, or whose answer was lost, is the same.
        let created = store.create_all(std::slice::from_ref(&pair), None).await;
        if created == Err(StoreError::Unknown) {
            store.create_all(&[pair], None).await?;
        } else {
            created?;
        }
        digests.push(digest);
    }
    Ok(digests)
}

async fn swap_root(store: &impl Store, root: &ConfigRoot, expected: Revision) -> Result<PublishOutcome, StoreError> {
    let value = serde_json::to_vec(root).expect("a root has text keys and serializes");
    let puts = vec![(ROOT_KEY.to_owned(), value.clone()), (history_key(root.number), value)];
    let swap = Swap {
        key: ROOT_KEY,
        expected,
        puts,
    };
    match store.swap(&swap).await {
        Ok(true) => return Ok(PublishOutcome::Accepted(root.number)),
        Ok(false) | Err(StoreError::Unknown) => {}
        Err(error) => return Err(error),
    }
    for _ in 0..RESOLVE_ATTEMPTS {
        if let Ok(Some(published)) = resolve(store, root, &swap).await {
            return Ok(published);
        }
    }
    Err(StoreError::Unknown)
}

/// Finds out whether a swap took effect whose answer said no or was lost; makes it again if it did not and still can.
///
/// The history decides: the root may have moved on since, and a root that cannot be told from another's must not be
/// taken for one.
async fn resolve(store: &impl Store, root: &ConfigRoot, swap: &Swap<'_>) -> Result<Option<PublishOutcome>, StoreError> {
    match read_history_entry(store, root.number).await? {
        Some(line) if line.change == root.change => return Ok(Some(PublishOutcome::Accepted(root.number))),
        Some(winner) => return Ok(Some(PublishOutcome::Conflict { winner })),
        None => {}
    }
    let (winner, revision) = read_root(store).await?;
    if revision == swap.expected {
        let swapped = store.swap(swap).await?;
        return Ok(swapped.then_some(PublishOutcome::Accepted(root.number)));
    }
    Ok(winner.map(|winner| PublishOutcome::Conflict { winner }))
}

fn parse(entry: &Entry) -> Result<ConfigRoot, StoreError> {
    serde_json::from_slice(&entry.value).map_err(|error| StoreError::Corrupt(format!("a faulty root ({error})")))
}

fn chunk_key(digest: &Digest) -> String {
    format!("{CHUNK_PREFIX}{digest}")
}

fn history_key(number: Version) -> String {
    format!("{HISTORY_PREFIX}{:010}", number.0)
}
