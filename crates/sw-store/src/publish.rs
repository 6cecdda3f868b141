//! The fleet configuration in the key-value service.
//!
//! The text of a configuration is split into chunks that are stored under their digests, so an unchanged chunk is not
//! written again. One compare-and-swap of the root then creates the version together with its history entry. Version
//! numbers only increase. If the response to the swap is lost, the history and the root show whether it took effect.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use sw_unit::{Digest, Version, WallTime};

use crate::{Entry, Revision, Store, StoreError, Swap};

const ROOT_KEY: &str = "shallotwing/config/root";
const CHUNK_PREFIX: &str = "shallotwing/config/chunk/";
const HISTORY_PREFIX: &str = "shallotwing/config/history/";
/// Maximum length of a chunk in bytes, below the service's limit for a value.
const CHUNK_LEN: usize = 512 << 10;
/// Maximum number of attempts to find out whether the swap took effect.
const RESOLVE_ATTEMPTS: u32 = 3;
/// Maximum number of attempts to write a chunk, if the responses are lost.
const CHUNK_ATTEMPTS: u32 = 3;

/// The root record of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// The version.
    pub number: Version,
    /// Digest of the text.
    pub digest: Digest,
    /// Digests of the chunks of the text, in order.
    pub chunks: Vec<Digest>,
    /// Id that distinguishes this change from any other.
    pub change: String,
    /// The author of the change.
    pub author: String,
    /// Time of the change by the author's clock.
    pub at: WallTime,
}

/// The history entry of a version: a copy of its root.
pub type HistoryEntry = ConfigRoot;

/// The result of publishing a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The configuration is accepted as this version.
    Accepted(Version),
    /// Another version was accepted first.
    Conflict {
        /// The version that was accepted instead.
        winner: ConfigRoot,
    },
    /// The text equals that of the current version.
    Unchanged(Version),
}

/// Reads the root and its revision; the revision is zero if there is no root.
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

/// Reads the text of a configuration and checks its digest; chunks that `local_text` already contains are not read.
///
/// # Errors
///
/// Returns [`StoreError`]; [`StoreError::Corrupt`] if a chunk is missing or the digest does not match.
pub async fn fetch_text(store: &impl Store, root: &ConfigRoot, local_text: &str) -> Result<String, StoreError> {
    let local_chunks = local_text.as_bytes().chunks(CHUNK_LEN);
    let local_chunks: HashMap<_, _> = local_chunks.map(|chunk| (sw_conf::digest(chunk), chunk)).collect();
    let mut text = Vec::new();
    for digest in &root.chunks {
        if let Some(chunk) = local_chunks.get(digest) {
            text.extend_from_slice(chunk);
            continue;
        }
        let entry = store.get(&chunk_key(digest)).await?;
        text.extend(
            entry
                .ok_or_else(|| StoreError::Corrupt(format!("chunk {digest} is missing")))?
                .value,
        );
    }
    if sw_conf::digest(&text) != root.digest {
        return Err(StoreError::Corrupt(format!(
            "the chunks do not match the digest of version {}",
            root.number
        )));
    }
    String::from_utf8(text).map_err(|_not_utf8| StoreError::Corrupt("the configuration is not valid UTF-8".to_owned()))
}

/// Reads the history entry of a version.
///
/// # Errors
///
/// Returns [`StoreError`].
pub async fn read_history_entry(store: &impl Store, number: Version) -> Result<Option<HistoryEntry>, StoreError> {
    let entry = store.get(&history_key(number)).await?;
    entry.map(|entry| parse(&entry)).transpose()
}

/// Publishes `text` as the version after `base`, unless `base` is no longer the current version.
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

/// Publishes again a configuration that VMs use but that the service has lost.
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
        write_chunk(store, (chunk_key(&digest), chunk.to_vec())).await?;
        digests.push(digest);
    }
    Ok(digests)
}

/// Writes a chunk, again if the response is lost: the key is the digest of the value, so an existing chunk is identical.
async fn write_chunk(store: &impl Store, pair: (String, Vec<u8>)) -> Result<(), StoreError> {
    let pairs = [pair];
    let mut written = store.create_all(&pairs, None).await;
    for _ in 1..CHUNK_ATTEMPTS {
        if written != Err(StoreError::Unknown) {
            break;
        }
        written = store.create_all(&pairs, None).await;
    }
    written.map(|_outcomes| ())
}

async fn swap_root(store: &impl Store, root: &ConfigRoot, expected: Revision) -> Result<PublishOutcome, StoreError> {
    let value = serde_json::to_vec(root).expect("a root has text keys and is serializable");
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

/// Determines whether a swap that failed or got no response took effect, and repeats it if it did not and still can.
///
/// The history entry decides, not the root: a later version may have replaced the root since, and the root of another
/// change must not be mistaken for this one.
async fn resolve(store: &impl Store, root: &ConfigRoot, swap: &Swap<'_>) -> Result<Option<PublishOutcome>, StoreError> {
    match read_history_entry(store, root.number).await? {
        Some(entry) if entry.change == root.change => return Ok(Some(PublishOutcome::Accepted(root.number))),
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
    serde_json::from_slice(&entry.value).map_err(|error| StoreError::Corrupt(format!("malformed root ({error})")))
}

fn chunk_key(digest: &Digest) -> String {
    format!("{CHUNK_PREFIX}{digest}")
}

fn history_key(number: Version) -> String {
    format!("{HISTORY_PREFIX}{:010}", number.0)
}
