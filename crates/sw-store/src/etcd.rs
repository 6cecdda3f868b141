//! The etcd client.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use spdlog::prelude::*;
use sw_http::{JsonClient, JsonError, JsonLines};
use sw_unit::{Millis, Rate};

use crate::wire::Response;
use crate::wire::{
    GrantRequest, GrantResponse, KeepAliveResponse, LeaseRequest, RangeRequest, RangeResponse, TxnRequest, TxnResponse,
    WatchRequest,
};
use crate::{
    CallBudget, CreateOutcome, Entry, LeaseId, Revision, RollbackDetector, StateHeader, Store, StoreError, Swap,
};

const MILLIS_PER_SECOND: u64 = 1_000;

/// A key-value service over etcd's v3 JSON gateway.
#[derive(Debug, Clone)]
pub struct Etcd {
    address: SocketAddr,
    client: JsonClient,
    budget: CallBudget,
    rollback: RollbackDetector,
}

impl Etcd {
    /// Creates a client of the service at `address` that makes up to `rate` calls per second with a timeout each.
    ///
    /// After a rollback of the service, claims are refused for `retention`.
    pub fn new(address: SocketAddr, timeout: Duration, rate: Rate, retention: Millis) -> Self {
        let (budget, rollback) = (CallBudget::new(rate), RollbackDetector::new(retention));
        Self {
            address,
            client: JsonClient::new(timeout),
            budget,
            rollback,
        }
    }

    /// Returns the detector of rollbacks of the service.
    pub fn rollback_detector(&self) -> &RollbackDetector {
        &self.rollback
    }

    /// Watches a key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the watch cannot be started.
    pub async fn watch(&self, key: &str) -> Result<WatchStream, StoreError> {
        if !self.budget.withdraw() {
            return Err(StoreError::BudgetExhausted);
        }
        let lines = self
            .client
            .stream(self.address, "/v3/watch", &WatchRequest::new(key))
            .await;
        lines
            .map(|lines| WatchStream { lines })
            .map_err(|_failed| StoreError::NotRun)
    }

    async fn post<T: DeserializeOwned + Response>(&self, path: &str, body: &impl Serialize) -> Result<T, StoreError> {
        if !self.budget.withdraw() {
            return Err(StoreError::BudgetExhausted);
        }
        let before = self.rollback.highest_revision();
        let response: Result<T, JsonError> = self.client.post(self.address, path, body).await;
        let response = response.map_err(|error| {
            if error.may_have_run() {
                StoreError::Unknown
            } else {
                StoreError::NotRun
            }
        })?;
        let header = response.state()?;
        if self.rollback.record_response(before, header) {
            log_rollback(before, header);
        }
        Ok(response)
    }
}

impl Store for Etcd {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let response: RangeResponse = self.post("/v3/kv/range", &RangeRequest::new(key)).await?;
        response.entry()
    }

    async fn create_all(
        &self,
        pairs: &[(String, Vec<u8>)],
        lease: Option<LeaseId>,
    ) -> Result<Vec<CreateOutcome>, StoreError> {
        let response: TxnResponse = self.post("/v3/kv/txn", &TxnRequest::create_all(pairs, lease)).await?;
        let created = response.created()?;
        if created.len() != pairs.len() {
            return Err(StoreError::Unknown);
        }
        Ok(created
            .into_iter()
            .map(|existing| existing.map_or(CreateOutcome::Created, CreateOutcome::Existing))
            .collect())
    }

    async fn swap(&self, swap: &Swap<'_>) -> Result<bool, StoreError> {
        let response: TxnResponse = self.post("/v3/kv/txn", &TxnRequest::swap(swap)).await?;
        Ok(response.succeeded)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let response: KeepAliveResponse = self.post("/v3/lease/keepalive", &LeaseRequest::new(lease)).await?;
        Ok(response.is_alive())
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let _revoked: RangeResponse = self.post("/v3/lease/revoke", &LeaseRequest::new(lease)).await?;
        Ok(())
    }

    fn quarantine(&self) -> Millis {
        self.rollback.quarantine()
    }

    async fn grant(&self, ttl: Millis) -> Result<LeaseId, StoreError> {
        let ttl = ttl.0.div_ceil(MILLIS_PER_SECOND).to_string();
        let response: GrantResponse = self.post("/v3/lease/grant", &GrantRequest { ttl }).await?;
        response.lease()
    }
}

fn log_rollback(before: Revision, header: StateHeader) {
    let cluster = header.cluster.map_or_else(String::new, |cluster| cluster.to_string());
    let cluster = cluster.as_str();
    warn!("store_rolled_back", kv: { revision_before = before.0, revision = header.revision.0, cluster });
}

/// Events of a watched key.
#[derive(Debug)]
pub struct WatchStream {
    lines: JsonLines,
}

impl WatchStream {
    /// Waits for an event; returns `false` if the watch has ended.
    pub async fn changed(&mut self) -> bool {
        self.lines.next::<IgnoredAny>().await.is_some()
    }
}
