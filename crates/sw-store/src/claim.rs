//! Claims of callers' idempotency keys.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sw_unit::{Millis, WorkspaceId};
use tokio::sync::{mpsc, oneshot};

use crate::{CreateOutcome, LeaseId, Store, StoreError};

const KEY_PREFIX: &str = "shallotwing/once/";
/// Claims in one call.
const MAX_BATCH: usize = 64;
/// Shortest time between two calls, so that a burst of claims costs few.
const CALL_GAP: Duration = Duration::from_millis(25);
/// Time for which a lease takes new claims, as a share of the retention.
const LEASE_USE_DIVISOR: u32 = 4;

/// An idempotency key with the ticket that it is to be bound to.
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

/// Binds idempotency keys to tickets by create-if-absent; claims that come together share a call.
#[derive(Debug, Clone)]
pub struct Claimer {
    tx: mpsc::Sender<(Claim, Reply)>,
}

impl Claimer {
    /// Starts a claimer whose bindings last for `retention` at least.
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

    /// Binds a key to a ticket, and returns the ticket that it is bound to: the given one, or an earlier one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the service did not answer; the request must not be run then.
    pub async fn claim(&self, claim: Claim) -> Result<String, StoreError> {
        let (reply, answer) = oneshot::channel();
        self.tx
            .send((claim, reply))
            .await
            .map_err(|_stopped| StoreError::NotRun)?;
        answer.await.unwrap_or(Err(StoreError::Unknown))
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
            // What comes in the meantime joins the batch.
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
                let _gone = reply.send(ticket);
            }
        }
    }

    async fn bind(&mut self, claims: &[Claim]) -> Result<Vec<String>, StoreError> {
        let lease = self.lease().await?;
        // A key may be written once in a transaction; of equal claims the first one speaks for all.
        let unique: IndexMap<String, Vec<u8>> = claims.iter().rev().map(pair).collect();
        let pairs: Vec<_> = unique.into_iter().collect();
        let mut created = self.store.create_all(&pairs, Some(lease)).await;
        if created == Err(StoreError::Unknown) {
            // What an earlier attempt created is found to exist with the own ticket, which binds it all the same.
            created = self.store.create_all(&pairs, Some(lease)).await;
        }
        if self.store.quarantine() > Millis(0) {
            // A claim that was acknowledged before may be gone, so that "absent" proves nothing.
            return Err(StoreError::NotRun);
        }
        let mut bound = IndexMap::with_capacity(pairs.len());
        for (created, (key, ticket)) in created?.into_iter().zip(pairs) {
            let ticket = if let CreateOutcome::Existing(earlier) = created {
                earlier
            } else {
                ticket
            };
            let corrupt = |_not_utf8| StoreError::Corrupt("a claim that is not text".to_owned());
            bound.insert(key, String::from_utf8(ticket).map_err(corrupt)?);
        }
        Ok(claims.iter().map(|claim| bound[&store_key(claim)].clone()).collect())
    }

    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        let use_for = Duration::from_millis(self.retention.0) / LEASE_USE_DIVISOR;
        if let Some((lease, since)) = self.lease
            && since.elapsed() < use_for
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
