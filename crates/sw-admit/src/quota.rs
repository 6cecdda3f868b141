//! Workspace quotas, divided among VMs.
//!
//! The VMs that come first in a workspace's entry lists get the larger shares; every other VM gets a minimum share,
//! which is computed from all known VMs, live or not, so that a partition does not enlarge it.

use indexmap::IndexMap;
use sw_error::{Kind, Refusal};
use sw_unit::{Millis, Rate, Time, WorkspaceId};

/// Time for which unused quota accumulates.
const BURST: Millis = Millis(2_000);
/// Number of buckets at which idle ones are dropped.
const MAX_BUCKETS: usize = 4_096;
/// Fraction of a token that may be missing because of rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The share of a workspace's quota that this VM may admit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaShare {
    /// Number by which the quota is divided.
    pub divisor: f64,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    updated_at: Time,
}

/// Token buckets of the workspaces with recent requests at this VM.
#[derive(Debug, Clone, Default)]
pub struct Quotas {
    buckets: IndexMap<WorkspaceId, Bucket>,
}

impl Quotas {
    /// Takes one request from this VM's share of a workspace's quota.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::QuotaExceeded`] and the time until the share allows another request.
    pub fn take(&mut self, workspace: &WorkspaceId, quota: Rate, share: QuotaShare, now: Time) -> Result<(), Refusal> {
        let rate = quota.0 / share.divisor.max(1.0);
        let burst = (rate * BURST.0 as f64 / MILLIS_PER_SECOND).max(1.0);
        if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(workspace) {
            self.buckets.retain(|_, bucket| now.since(bucket.updated_at) < BURST);
        }
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            tokens: burst,
            updated_at: now,
        });
        let refill = now.since(bucket.updated_at).0 as f64 * rate / MILLIS_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(burst);
        bucket.updated_at = now;
        if bucket.tokens >= 1.0 - ROUNDING_TOLERANCE {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.tokens) / rate.max(0.001);
        Err(Refusal::with_retry_after(
            Kind::QuotaExceeded,
            Millis((missing * MILLIS_PER_SECOND).ceil() as u64),
        ))
    }
}
