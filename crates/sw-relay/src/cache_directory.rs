//! Which engines keep the shared parts of prompts.
//!
//! An engine copies a part from another one in a fraction of the time that reading it takes. So VMs tell each other
//! which engines read which parts lately, and a prompt goes out with the name of an engine that probably keeps what
//! its own engine lacks. A wrong belief is harmless: what is not kept there is read.
//!
//! A VM tells its neighbours what it sent and granted itself, and the delegate of a failure domain tells the other
//! domains what its VMs said. What was told is told again only when the part is used again a while later.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Millis, Time};

/// Time after its last use for which a part is taken to be kept.
const KEPT_FOR: Millis = Millis(15_000);
/// Time for which news of a part are told; longer than the period of heartbeats.
const TOLD_FOR: Millis = Millis(2_000);
/// Time after which a part that is still used is news again.
const NEWS_PERIOD: Millis = Millis(4_000);
/// News in one heartbeat.
const MAX_TOLD: usize = 128;
/// Parts that are remembered.
const MAX_PARTS: usize = 4_096;
/// An engine that keeps the shared parts of a prompt, as VMs tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedPart {
    /// Stands for the shared parts.
    pub key: u64,
    /// The engine.
    pub endpoint: EndpointId,
    /// Time since a prompt used them there.
    pub age: Millis,
}

/// Who said that an engine keeps a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This VM, which sent or granted the prompt.
    Local,
    /// A VM of the own failure domain.
    Neighbour,
    /// A VM of another domain.
    Remote,
}

#[derive(Debug, Clone, Copy)]
struct Holding {
    used: Time,
    /// Since when it is news, and whose.
    news: Option<(Time, Origin)>,
}

/// The engines that keep each part, as far as this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct CacheDirectory {
    parts: IndexMap<u64, IndexMap<EndpointId, Holding>>,
}

impl CacheDirectory {
    /// Records that a prompt that uses a part is read by an engine until `read_by`.
    pub(crate) fn record_prefill(&mut self, key: u64, endpoint: &EndpointId, read_by: Time, now: Time) {
        let is_kept = self.holding(key, endpoint).is_some_and(|holding| holding.used <= now);
        self.record(key, endpoint, if is_kept { now } else { read_by }, Origin::Local, now);
    }

    /// Records what another VM says.
    pub(crate) fn record_reported(&mut self, part: &CachedPart, at: Time, witness: Origin, now: Time) {
        self.record(part.key, &part.endpoint, at - part.age, witness, now);
    }

    /// The engines that keep a part, with the time of the last use.
    pub(crate) fn holders(&self, key: u64, now: Time) -> impl Iterator<Item = (&EndpointId, Time)> {
        let holdings = self.parts.get(&key).into_iter().flatten();
        let holdings = holdings.filter(move |(_, holding)| holding.used <= now && now.since(holding.used) < KEPT_FOR);
        holdings.map(|(endpoint, holding)| (endpoint, holding.used))
    }

    /// Whether an engine keeps a part that was used within `span`.
    pub(crate) fn was_used(&self, key: u64, endpoint: &EndpointId, span: Millis, now: Time) -> bool {
        let holding = self.holding(key, endpoint);
        holding.is_some_and(|holding| holding.used <= now && now.since(holding.used) < span)
    }

    /// What this VM saw itself lately.
    pub(crate) fn local_updates(&self, now: Time) -> Vec<CachedPart> {
        self.news(|witness| witness == Origin::Local, now)
    }

    /// What the VMs of this failure domain saw lately.
    pub(crate) fn domain_updates(&self, now: Time) -> Vec<CachedPart> {
        self.news(|witness| witness != Origin::Remote, now)
    }

    /// Forgets what an engine kept, when it restarted.
    pub(crate) fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        for holdings in self.parts.values_mut() {
            holdings.swap_remove(endpoint);
        }
    }

    /// Drops what is out of date.
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
