//! Exclusive leases on keys.

use sw_unit::{FencingToken, Millis};

use crate::{CreateOutcome, LeaseId, Store, StoreError};

/// The exclusive right of this process to a key, until the lease expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The id of the lease that the key is attached to.
    pub id: LeaseId,
    /// Fencing token; higher than that of any earlier holder.
    pub fence: FencingToken,
}

/// Acquires a lease on `key` for `owner`; returns `None` if another owner holds it.
///
/// # Errors
///
/// Returns [`StoreError`]; `owner` may then hold the key until the lease expires.
pub async fn acquire_lease(
    store: &impl Store,
    key: &str,
    owner: &str,
    ttl: Millis,
) -> Result<Option<Lease>, StoreError> {
    let id = store.grant(ttl).await?;
    let pair = (key.to_owned(), owner.as_bytes().to_vec());
    let created = store.create_all(std::slice::from_ref(&pair), Some(id)).await;
    let created = match created {
        // The first attempt may have created the key; the second one then finds it.
        Err(StoreError::Unknown) => store.create_all(&[pair], Some(id)).await?,
        created => created?,
    };
    let acquired = match created.first() {
        Some(CreateOutcome::Created) => true,
        Some(CreateOutcome::Existing(value)) => value == owner.as_bytes(),
        None => false,
    };
    let entry = if acquired { store.get(key).await? } else { None };
    // The store's revision increases with every write, so each holder gets a higher fencing token.
    if let Some(entry) = entry.filter(|entry| entry.value == owner.as_bytes()) {
        let fence = FencingToken(entry.revision.0.unsigned_abs());
        return Ok(Some(Lease { id, fence }));
    }
    store.revoke(id).await?;
    Ok(None)
}
