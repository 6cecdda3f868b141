//! A key-value service over etcd's v3 JSON gateway.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use sw_http::{JsonClient, JsonError, JsonLines};
use sw_unit::{Millis, Rate};

use crate::wire::Answer;
use crate::wire::{
    GrantRequest, GrantResponse, KeepAliveResponse, LeaseRequest, RangeRequest, RangeResponse, TxnRequest, TxnResponse,
    WatchRequest,
};
use crate::{CallBudget, CreateOutcome, Entry, LeaseId, RollbackDetector, Store, StoreError, Swap};

const MILLIS_PER_SECOND: u64 = 1_000;

/// A key-value service over etcd's v3 JSON gateway.
#[derive(Debug, Clone)]
pub struct Etcd {
    address: SocketAddr,
    caller: JsonClient,
    budget: CallBudget,
    trust: RollbackDetector,
}

impl Etcd {
    /// The service at `address`, with up to `rate` calls a second, each given up after `timeout`.
    ///
    /// A service that goes back to an earlier state is not trusted with claims for `retention`.
    pub fn new(address: SocketAddr, timeout: Duration, rate: Rate, retention: Millis) -> Self {
        let (budget, trust) = (CallBudget::new(rate), RollbackDetector::new(retention));
        Self {
            address,
            caller: JsonClient::new(timeout),
            budget,
            trust,
        }
    }

    /// What was seen of the service's revisions.
    pub fn rollback_detector(&self) -> &RollbackDetector {
        &self.trust
    }

    /// Watches a key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the watch cannot be begun.
    pub async fn watch(&self, key: &str) -> Result<WatchStream, StoreError> {
        if !self.budget.withdraw() {
            return Err(StoreError::BudgetExhausted);
        }
        let lines = self
            .caller
            .stream(self.address, "/v3/watch", &WatchRequest::new(key))
            .await;
        lines
            .map(|lines| WatchStream { lines })
            .map_err(|_failed| StoreError::NotRun)
    }

    async fn post<T: DeserializeOwned + Answer>(&self, path: &str, body: &impl Serialize) -> Result<T, StoreError> {
        if !self.budget.withdraw() {
            return Err(StoreError::BudgetExhausted);
        }
        let before = self.trust.highest_revision();
        let answer: Result<T, JsonError> = self.caller.post(self.address, path, body).await;
        let answer = answer.map_err(|error| {
            if error.may_have_run() {
                StoreError::Unknown
            } else {
                StoreError::NotRun
            }
        })?;
        if let Some(revision) = answer.revision() {
            self.trust.record_revision(before, revision);
        }
        Ok(answer)
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
        self.trust.quarantine()
    }

    async fn grant(&self, ttl: Millis) -> Result<LeaseId, StoreError> {
        let ttl = ttl.0.div_ceil(MILLIS_PER_SECOND).to_string();
        let response: GrantResponse = self.post("/v3/lease/grant", &GrantRequest { ttl }).await?;
        response.lease()
    }
}

/// Events of a watched key.
#[derive(Debug)]
pub struct WatchStream {
    lines: JsonLines,
}

impl WatchStream {
    /// Waits for an event, and returns whether there was one; `false` means that the watch has ended.
    pub async fn changed(&mut self) -> bool {
        self.lines.next::<IgnoredAny>().await.is_some()
    }
}
