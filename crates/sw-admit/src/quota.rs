//! Quotas of workspaces, shared out between VMs.
//!
//! The VMs that come first in a workspace's entry lists get the larger shares, every other VM gets a floor. Shares
//! follow from the VMs that are known, live or not, so a partition does not enlarge them.

use indexmap::IndexMap;
use sw_error::{Kind, Refusal};
use sw_unit::{Millis, Rate, Time, WorkspaceId};

/// Time over which an unused quota may be saved up.
const BURST: Millis = Millis(2_000);
/// Buckets that are kept before unused ones are dropped.
const MAX_BUCKETS: usize = 4_096;
/// Part of a request that rounding may take away.
const ROUNDING: f64 = 1e-9;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The share of a workspace's quota that this VM may give out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaShare {
    /// VMs among which the quota is divided.
    pub divisor: f64,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    at: Time,
}

/// Token buckets of the workspaces that are active at this VM.
#[derive(Debug, Clone, Default)]
pub struct Quotas {
    buckets: IndexMap<WorkspaceId, Bucket>,
}

impl Quotas {
    /// Takes one request out of a workspace's share.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::QuotaExceeded`] and the time until the share holds a request again.
    pub fn take(&mut self, workspace: &WorkspaceId, quota: Rate, share: QuotaShare, now: Time) -> Result<(), Refusal> {
        let rate = quota.0 / share.divisor.max(1.0);
        let burst = (rate * BURST.0 as f64 / MILLIS_PER_SECOND).max(1.0);
        if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(workspace) {
            self.buckets.retain(|_, bucket| now.since(bucket.at) < BURST);
        }
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert(Bucket { tokens: burst, at: now });
        let earned = now.since(bucket.at).0 as f64 * rate / MILLIS_PER_SECOND;
        bucket.tokens = (bucket.tokens + earned).min(burst);
        bucket.at = now;
        if bucket.tokens >= 1.0 - ROUNDING {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.tokens) / rate.max(0.001);
        Err(Refusal::after(
            Kind::QuotaExceeded,
            Millis((missing * MILLIS_PER_SECOND).ceil() as u64),
        ))
    }
}
