//! Reuse of connections to endpoints.
//!
//! A new connection costs a round trip and time of the endpoint. The proxy reports which connections its pool keeps and
//! takes, so that selection can prefer an endpoint to which one is idle. Idle connections and running requests
//! together stay within this VM's share of an endpoint's connections. All of this applies only with the option
//! `reuses_connections`; without it, only the time for which a connection is kept is decided here.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_unit::{EndpointId, Millis, Time};

use crate::{AdmittedRequest, EndpointEntry, Relay, ServiceId};

/// Maximum idle time of a connection that is reused for a request that must not run twice.
///
/// The endpoint may be closing a connection that has been idle for longer while the request is sent on it.
const MAX_IDLE_UNREPEATABLE: Millis = Millis(400);
/// Maximum time for which an idle connection to an endpoint is kept.
const MAX_KEEP_ALIVE: Millis = Millis(4_000);
/// Share of the endpoint's keep-alive timeout for which an idle connection is kept, so that the endpoint doesn't close
/// it first.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Time for which an idle connection is kept if the endpoint sends no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Millis = Millis(300);
/// Penalty for a new connection in milliseconds: a round trip within a region (6 ms) and the endpoint's time to accept it
/// (1 ms).
///
/// It is less than the penalty per rank for a shared prompt part, so a part stays on its endpoint.
const NEW_CONNECTION_PENALTY_MS: f64 = 7.0;

#[derive(Debug, Clone, Copy)]
struct IdleConnection {
    since: Time,
    /// When the pool closes it.
    until: Time,
}

/// Idle connections to one address, the most recently used one last.
#[derive(Debug, Clone)]
struct IdleList {
    endpoint: EndpointId,
    service: ServiceId,
    connections: Vec<IdleConnection>,
}

/// The idle connections of this VM's pool, by address.
#[derive(Debug, Clone, Default)]
pub(crate) struct IdleConnections {
    lists: IndexMap<SocketAddr, IdleList>,
}

impl IdleConnections {
    fn on_kept(&mut self, endpoint: &EndpointEntry, connection: IdleConnection) {
        let list = self.lists.entry(endpoint.address).or_insert_with(|| IdleList {
            endpoint: endpoint.id.clone(),
            service: endpoint.service.clone(),
            connections: Vec::new(),
        });
        if list.endpoint != endpoint.id {
            // The address belongs to another endpoint now.
            list.endpoint = endpoint.id.clone();
            list.service = endpoint.service.clone();
        }
        list.connections.push(connection);
    }

    fn on_taken(&mut self, address: SocketAddr) {
        if let Some(list) = self.lists.get_mut(&address) {
            list.connections.pop();
        }
    }

    /// Drops the connections that have been idle for longest until at most `count` are left.
    fn truncate(&mut self, address: SocketAddr, count: usize) {
        if let Some(list) = self.lists.get_mut(&address) {
            let excess = list.connections.len().saturating_sub(count);
            list.connections.drain(..excess);
            if list.connections.is_empty() {
                self.lists.swap_remove(&address);
            }
        }
    }

    fn count(&self, address: SocketAddr, now: Time) -> usize {
        let list = self.lists.get(&address);
        list.map_or(0, |list| {
            list.connections.iter().filter(|idle| now < idle.until).count()
        })
    }

    /// Returns whether the connection that the pool would take has been idle for less than `max_idle`.
    fn is_reusable(&self, address: SocketAddr, max_idle: Millis, now: Time) -> bool {
        let newest = self.lists.get(&address).and_then(|list| list.connections.last());
        newest.is_some_and(|idle| now < idle.until && now.since(idle.since) < max_idle)
    }
}

impl Relay {
    /// Returns whether endpoints with an idle connection are preferred, and connections are kept within this VM's share.
    pub fn reuses_connections(&self) -> bool {
        self.options.reuses_connections
    }

    /// Records that the pool keeps a connection to an endpoint for the time `keep_for`.
    pub fn on_connection_kept(&mut self, endpoint: &EndpointEntry, keep_for: Millis, now: Time) {
        let connection = IdleConnection {
            since: now,
            until: now + keep_for,
        };
        self.idle_connections.on_kept(endpoint, connection);
    }

    /// Records that the most recently used idle connection to an address was taken from the pool.
    pub fn on_connection_taken(&mut self, address: SocketAddr) {
        self.idle_connections.on_taken(address);
    }

    /// Records that the pool has no more than `count` idle connections to an address.
    pub fn on_idle_count(&mut self, address: SocketAddr, count: usize) {
        self.idle_connections.truncate(address, count);
    }

    /// Returns whether the pool has idle connections.
    pub fn has_idle_connections(&self) -> bool {
        !self.idle_connections.lists.is_empty()
    }

    /// Returns for how long an idle connection is kept whose endpoint states the keep-alive timeout `stated`; `None` if
    /// this VM's share of the endpoint's connections is used up.
    ///
    /// The request that used the connection no longer counts as running.
    pub fn keep_time(&self, endpoint: &EndpointEntry, stated: Option<Millis>, now: Time) -> Option<Millis> {
        let is_within_share = self
            .max_idle(&endpoint.id, &endpoint.service, now)
            .is_none_or(|max| self.idle_connections.count(endpoint.address, now) < max);
        let safe = stated.map(|stated| Millis((stated.0 as f64 * KEEP_ALIVE_SHARE) as u64));
        is_within_share.then_some(safe.unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE))
    }

    /// Returns the most connections to an endpoint that may be idle beside its running requests; `None` if there is no
    /// limit.
    pub fn max_idle(&self, endpoint: &EndpointId, service: &ServiceId, now: Time) -> Option<usize> {
        if !self.options.reuses_connections {
            return None;
        }
        let running = self.loads.get(endpoint).map_or(0, |load| load.running);
        Some((self.max_running(service, now) as usize).saturating_sub(running as usize))
    }

    /// Returns the addresses with idle connections, each with the most that may be idle now.
    pub fn idle_limits(&self, now: Time) -> Vec<(SocketAddr, usize)> {
        let lists = self.idle_connections.lists.iter();
        let limits = lists.map(|(address, list)| (*address, self.max_idle(&list.endpoint, &list.service, now)));
        limits
            .map(|(address, max)| (address, max.unwrap_or(usize::MAX)))
            .collect()
    }

    /// Returns whether one more request may run at an endpoint within this VM's share of its connections.
    pub(crate) fn connections_allow(&self, endpoint: &EndpointEntry, now: Time) -> bool {
        self.max_idle(&endpoint.id, &endpoint.service, now)
            .is_none_or(|max| max > 0)
    }

    /// Returns the longest idle time of a connection that is reused for a request; `None` for that of the pool.
    pub fn max_idle_time(&self, admitted: &AdmittedRequest) -> Option<Millis> {
        if !admitted.route.kind.is_repeatable() {
            return Some(MAX_IDLE_UNREPEATABLE);
        }
        // The pool keeps no connection for longer than this, so any idle one may be reused.
        self.options.reuses_connections.then_some(MAX_KEEP_ALIVE)
    }

    /// Returns whether an idle connection to an address may be reused for a request.
    pub fn can_reuse_connection(&self, admitted: &AdmittedRequest, address: SocketAddr, now: Time) -> bool {
        let max_idle = self.max_idle_time(admitted).unwrap_or(MAX_KEEP_ALIVE);
        self.idle_connections.is_reusable(address, max_idle, now)
    }

    /// Returns the penalty for an endpoint to which a request would need a new connection.
    pub(crate) fn new_connection_penalty_ms(&self, admitted: &AdmittedRequest, address: SocketAddr, now: Time) -> f64 {
        if !self.options.reuses_connections || self.can_reuse_connection(admitted, address, now) {
            return 0.0;
        }
        NEW_CONNECTION_PENALTY_MS
    }
}
