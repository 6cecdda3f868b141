//! Directory of the engines that have the shared parts of prompts cached.
//!
//! Transferring a part from another engine takes a fraction of the time of its prefill. The VMs therefore report to
//! each other which engines processed which parts recently, and a prompt is sent with the name of an engine that
//! probably has the parts that its own engine lacks. A wrong entry is harmless, because a part that is not found there
//! is processed normally.
//!
//! A VM reports the prompts that it dispatched or granted to its neighbours. The delegates of a failure domain
//! report those of all its VMs to the other domains. An entry is reported again only if the part is used again after a
//! while.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Millis, Time};

/// Time after its last use for which a part is assumed to be cached.
const CACHED_FOR: Millis = Millis(15_000);
/// Time for which an update is reported; longer than the heartbeat period.
const UPDATE_LIFETIME: Millis = Millis(2_000);
/// Time after which a part that is still used is reported again.
const REPEAT_PERIOD: Millis = Millis(4_000);
/// Maximum number of updates in one heartbeat.
const MAX_UPDATES: usize = 128;
/// Maximum number of parts in the directory.
const MAX_PARTS: usize = 4_096;

/// An engine that has shared prompt parts cached, as reported between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedPart {
    /// Key of the shared parts.
    pub key: u64,
    /// The engine.
    pub endpoint: EndpointId,
    /// Time since a prompt last used the parts on this engine.
    pub age: Millis,
}

/// Where an entry comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// From this VM, which dispatched or granted the prompt.
    Local,
    /// From a VM of the local failure domain.
    Neighbour,
    /// From a VM of another failure domain.
    Remote,
}

#[derive(Debug, Clone, Copy)]
struct DirectoryEntry {
    last_used_at: Time,
    /// When the entry last became an update to report, and its origin.
    update: Option<(Time, Origin)>,
}

/// The engines that have each part cached, as far as this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct CacheDirectory {
    parts: IndexMap<u64, IndexMap<EndpointId, DirectoryEntry>>,
}

impl CacheDirectory {
    /// Records that an engine processes a prompt with the part until `done_at`.
    pub(crate) fn record_prefill(&mut self, key: u64, endpoint: &EndpointId, done_at: Time, now: Time) {
        let is_cached = self.entry(key, endpoint).is_some_and(|entry| entry.last_used_at <= now);
        self.record(key, endpoint, if is_cached { now } else { done_at }, Origin::Local, now);
    }

    /// Records a report from another VM.
    pub(crate) fn record_reported(&mut self, part: &CachedPart, at: Time, origin: Origin, now: Time) {
        self.record(part.key, &part.endpoint, at - part.age, origin, now);
    }

    /// Returns the engines that have a part cached, with the time of its last use.
    pub(crate) fn holders(&self, key: u64, now: Time) -> impl Iterator<Item = (&EndpointId, Time)> {
        let entries = self.parts.get(&key).into_iter().flatten();
        let entries =
            entries.filter(move |(_, entry)| entry.last_used_at <= now && now.since(entry.last_used_at) < CACHED_FOR);
        entries.map(|(endpoint, entry)| (endpoint, entry.last_used_at))
    }

    /// Whether a part was used on an engine within `span`.
    pub(crate) fn used_within(&self, key: u64, endpoint: &EndpointId, span: Millis, now: Time) -> bool {
        let entry = self.entry(key, endpoint);
        entry.is_some_and(|entry| entry.last_used_at <= now && now.since(entry.last_used_at) < span)
    }

    /// Returns the recent updates of this VM.
    pub(crate) fn local_updates(&self, now: Time) -> Vec<CachedPart> {
        self.updates(|origin| origin == Origin::Local, now)
    }

    /// Returns the recent updates of the VMs of this failure domain.
    pub(crate) fn domain_updates(&self, now: Time) -> Vec<CachedPart> {
        self.updates(|origin| origin != Origin::Remote, now)
    }

    /// Removes the entries of an engine that restarted.
    pub(crate) fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        for entries in self.parts.values_mut() {
            entries.swap_remove(endpoint);
        }
    }

    /// Drops expired entries.
    pub(crate) fn prune(&mut self, now: Time) {
        for entries in self.parts.values_mut() {
            entries.retain(|_, entry| now.since(entry.last_used_at) < CACHED_FOR);
        }
        self.parts.retain(|_, entries| !entries.is_empty());
    }

    fn entry(&self, key: u64, endpoint: &EndpointId) -> Option<&DirectoryEntry> {
        self.parts.get(&key)?.get(endpoint)
    }

    fn record(&mut self, key: u64, endpoint: &EndpointId, last_used_at: Time, origin: Origin, now: Time) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&key) {
            return;
        }
        let entries = self.parts.entry(key).or_default();
        let entry = entries.entry(endpoint.clone()).or_insert(DirectoryEntry {
            last_used_at,
            update: None,
        });
        entry.last_used_at = entry.last_used_at.max(last_used_at);
        let is_update = entry.update.is_none_or(|(since, _)| now.since(since) >= REPEAT_PERIOD);
        if is_update && origin != Origin::Remote {
            entry.update = Some((now, origin));
        }
    }

    fn updates(&self, matches: impl Fn(Origin) -> bool, now: Time) -> Vec<CachedPart> {
        let entries = self.parts.iter().flat_map(|(key, entries)| {
            let entries = entries.iter();
            entries.map(move |(endpoint, entry)| (*key, endpoint, entry))
        });
        let recent = entries.filter(|(_, _, entry)| {
            let update = entry.update.filter(|(since, _)| now.since(*since) < UPDATE_LIFETIME);
            update.is_some_and(|(_, origin)| matches(origin))
        });
        let parts = recent.map(|(key, endpoint, entry)| CachedPart {
            key,
            endpoint: endpoint.clone(),
            age: now.since(entry.last_used_at),
        });
        parts.take(MAX_UPDATES).collect()
    }
}
