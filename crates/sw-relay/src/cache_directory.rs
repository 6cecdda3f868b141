//! Directory of the engines that have the shared parts of prompts cached.
//!
//! Transferring a part from another engine takes a fraction of the time of its prefill. The VMs therefore report to
//! each other which engines processed which parts recently, and a prompt is sent with the name of an engine that
//! probably has the parts that its own engine lacks. A wrong entry is harmless, because a part that is not found there
//! is processed normally.
//!
//! A VM reports the prompts that it dispatched or granted to its neighbours. The delegate of a failure domain reports
//! those of all its VMs to the other domains. An entry is reported again only if the part is used again after a while.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Millis, Time};

/// Time after its last use for which a part is assumed to be cached.
const KEPT_FOR: Millis = Millis(15_000);
/// Time for which an update is reported; longer than the heartbeat period.
const TOLD_FOR: Millis = Millis(2_000);
/// Time after which a part that is still used is reported again.
const NEWS_PERIOD: Millis = Millis(4_000);
/// Maximum number of updates in one heartbeat.
const MAX_TOLD: usize = 128;
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
struct Holding {
    used: Time,
    /// When the entry last became an update to report, and its origin.
    news: Option<(Time, Origin)>,
}

/// The engines that have each part cached, as far as this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct CacheDirectory {
    parts: IndexMap<u64, IndexMap<EndpointId, Holding>>,
}

impl CacheDirectory {
    /// Records that an engine processes a prompt with the part until `done_at`.
    pub(crate) fn record_prefill(&mut self, key: u64, endpoint: &EndpointId, read_by: Time, now: Time) {
        let is_kept = self.holding(key, endpoint).is_some_and(|holding| holding.used <= now);
        self.record(key, endpoint, if is_kept { now } else { read_by }, Origin::Local, now);
    }

    /// Records a report from another VM.
    pub(crate) fn record_reported(&mut self, part: &CachedPart, at: Time, witness: Origin, now: Time) {
        self.record(part.key, &part.endpoint, at - part.age, witness, now);
    }

    /// Returns the engines that have a part cached, with the time of its last use.
    pub(crate) fn holders(&self, key: u64, now: Time) -> impl Iterator<Item = (&EndpointId, Time)> {
        let holdings = self.parts.get(&key).into_iter().flatten();
        let holdings = holdings.filter(move |(_, holding)| holding.used <= now && now.since(holding.used) < KEPT_FOR);
        holdings.map(|(endpoint, holding)| (endpoint, holding.used))
    }

    /// Whether a part was used on an engine within `span`.
    pub(crate) fn was_used(&self, key: u64, endpoint: &EndpointId, span: Millis, now: Time) -> bool {
        let holding = self.holding(key, endpoint);
        holding.is_some_and(|holding| holding.used <= now && now.since(holding.used) < span)
    }

    /// Returns the recent updates of this VM.
    pub(crate) fn local_updates(&self, now: Time) -> Vec<CachedPart> {
        self.news(|witness| witness == Origin::Local, now)
    }

    /// Returns the recent updates of the VMs of this failure domain.
    pub(crate) fn domain_updates(&self, now: Time) -> Vec<CachedPart> {
        self.news(|witness| witness != Origin::Remote, now)
    }

    /// Removes the entries of an engine that restarted.
    pub(crate) fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        for holdings in self.parts.values_mut() {
            holdings.swap_remove(endpoint);
        }
    }

    /// Drops expired entries.
    pub(crate) fn prune(&mut self, now: Time) {
        for holdings in self.parts.values_mut() {
            holdings.retain(|_, holding| now.since(holding.used) < KEPT_FOR);
        }
        self.parts.retain(|_, holdings| !holdings.is_empty());
    }

    fn holding(&self, key: u64, endpoint: &EndpointId) -> Option<&Holding> {
        self.parts.get(&key)?.get(endpoint)
    }

    fn record(&mut self, key: u64, endpoint: &EndpointId, used: Time, witness: Origin, now: Time) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&key) {
            return;
        }
        let holdings = self.parts.entry(key).or_default();
        let holding = holdings.entry(endpoint.clone()).or_insert(Holding { used, news: None });
        holding.used = holding.used.max(used);
        let is_news = holding.news.is_none_or(|(since, _)| now.since(since) >= NEWS_PERIOD);
        if is_news && witness != Origin::Remote {
            holding.news = Some((now, witness));
        }
    }

    fn news(&self, by: impl Fn(Origin) -> bool, now: Time) -> Vec<CachedPart> {
        let holdings = self.parts.iter().flat_map(|(key, holdings)| {
            let holdings = holdings.iter();
            holdings.map(move |(endpoint, holding)| (*key, endpoint, holding))
        });
        let told = holdings.filter(|(_, _, holding)| {
            let news = holding.news.filter(|(since, _)| now.since(*since) < TOLD_FOR);
            news.is_some_and(|(_, witness)| by(witness))
        });
        let parts = told.map(|(key, endpoint, holding)| CachedPart {
            key,
            endpoint: endpoint.clone(),
            age: now.since(holding.used),
        });
        parts.take(MAX_TOLD).collect()
    }
}
