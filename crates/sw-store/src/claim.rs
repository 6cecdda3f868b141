//! Claims of callers' idempotency keys.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sw_unit::{Millis, WorkspaceId};
use tokio::sync::{mpsc, oneshot};

use crate::{CreateOutcome, LeaseId, Store, StoreError};

const KEY_PREFIX: &str = "shallotwing/once/";
/// Maximum number of claims in one call.
const MAX_BATCH: usize = 64;
/// Minimum time between two calls, so that a burst of claims needs few calls.
const CALL_GAP: Duration = Duration::from_millis(25);
/// A lease is used for new claims for the retention divided by this.
const LEASE_USE_DIVISOR: u32 = 4;

/// An idempotency key and the ticket to bind it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: String,
    /// The ticket.
    pub ticket: String,
}

type Reply = oneshot::Sender<Result<String, StoreError>>;

/// Binds idempotency keys to tickets by create-if-absent; concurrent claims are batched into one call.
#[derive(Debug, Clone)]
pub struct Claimer {
    tx: mpsc::Sender<(Claim, Reply)>,
}

impl Claimer {
    /// Starts a claimer whose bindings last for at least `retention`.
    pub fn start<S: Store>(store: S, retention: Millis) -> Self {
        let (tx, rx) = mpsc::channel(MAX_BATCH);
        let worker = Worker {
            store,
            retention,
            lease: None,
        };
        tokio::spawn(worker.run(rx));
        Self { tx }
    }

    /// Binds a key to a ticket; returns the ticket it is bound to, which is the given one or an earlier one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the binding is not confirmed; the request must not run then.
    pub async fn claim(&self, claim: Claim) -> Result<String, StoreError> {
        let (reply, response) = oneshot::channel();
        self.tx
            .send((claim, reply))
            .await
            .map_err(|_stopped| StoreError::NotRun)?;
        response.await.unwrap_or(Err(StoreError::Unknown))
    }
}

struct Worker<S> {
    store: S,
    retention: Millis,
    lease: Option<(LeaseId, Instant)>,
}

impl<S: Store> Worker<S> {
    async fn run(mut self, mut rx: mpsc::Receiver<(Claim, Reply)>) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        let mut next_call = tokio::time::Instant::now();
        while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
            // Claims that arrive in the meantime join the batch.
            tokio::time::sleep_until(next_call).await;
            next_call = tokio::time::Instant::now() + CALL_GAP;
            while batch.len() < MAX_BATCH
                && let Ok(claim) = rx.try_recv()
            {
                batch.push(claim);
            }
            let (claims, replies): (Vec<Claim>, Vec<Reply>) = batch.drain(..).unzip();
            let bound = self.bind(&claims).await;
            for (index, reply) in replies.into_iter().enumerate() {
                let ticket = bound
                    .as_ref()
                    .map(|tickets| tickets[index].clone())
                    .map_err(Clone::clone);
                let _dropped = reply.send(ticket);
            }
        }
    }

    async fn bind(&mut self, claims: &[Claim]) -> Result<Vec<String>, StoreError> {
        let lease = self.lease().await?;
        // A transaction may write a key only once. Of several claims of a key, the first is bound and returned for all.
        let unique: IndexMap<String, Vec<u8>> = claims.iter().rev().map(pair).collect();
        let pairs: Vec<_> = unique.into_iter().collect();
        let mut created = self.store.create_all(&pairs, Some(lease)).await;
        if created == Err(StoreError::Unknown) {
            // A key that the first attempt created is found to exist with the ticket of this claim, which is a valid
            // binding.
            created = self.store.create_all(&pairs, Some(lease)).await;
        }
        if created.is_err() {
            // The service may have lost the lease.
            self.lease = None;
        }
        if self.store.quarantine() > Millis(0) {
            // An earlier acknowledged claim may be lost, so an absent key does not prove that it was never claimed.
            return Err(StoreError::NotRun);
        }
        let mut bound = IndexMap::with_capacity(pairs.len());
        for (created, (key, ticket)) in created?.into_iter().zip(pairs) {
            let ticket = if let CreateOutcome::Existing(existing) = created {
                existing
            } else {
                ticket
            };
            let corrupt = |_not_utf8| StoreError::Corrupt("a claim is not valid UTF-8".to_owned());
            bound.insert(key, String::from_utf8(ticket).map_err(corrupt)?);
        }
        Ok(claims.iter().map(|claim| bound[&store_key(claim)].clone()).collect())
    }

    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        let max_age = Duration::from_millis(self.retention.0) / LEASE_USE_DIVISOR;
        if let Some((lease, granted_at)) = self.lease
            && granted_at.elapsed() < max_age
        {
            return Ok(lease);
        }
        let lease = self.store.grant(self.retention + self.retention).await?;
        self.lease = Some((lease, Instant::now()));
        Ok(lease)
    }
}

fn store_key(claim: &Claim) -> String {
    format!("{KEY_PREFIX}{}/{}", claim.workspace, claim.key)
}

fn pair(claim: &Claim) -> (String, Vec<u8>) {
    (store_key(claim), claim.ticket.clone().into_bytes())
}
