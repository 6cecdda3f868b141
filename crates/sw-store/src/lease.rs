//! Keys that one process holds at a time.

use sw_unit::{FencingToken, Millis};

use crate::{CreateOutcome, LeaseId, Store, StoreError};

/// A key that this process holds as long as its lease lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The lease.
    pub id: LeaseId,
    /// A number that is higher than that of any earlier holder.
    pub fence: FencingToken,
}

/// Takes hold of `key` for `owner`, and returns `None` if another one has it.
///
/// # Errors
///
/// Returns [`StoreError`]; the key may then be held until the lease ends.
pub async fn acquire_lease(
    store: &impl Store,
    key: &str,
    owner: &str,
    ttl: Millis,
) -> Result<Option<Lease>, StoreError> {
    let lease = store.grant(ttl).await?;
    let pair = (key.to_owned(), owner.as_bytes().to_vec());
    let created = store.create_all(std::slice::from_ref(&pair), Some(lease)).await;
    let created = match created {
        // An earlier attempt of this call may have created it.
        Err(StoreError::Unknown) => store.create_all(&[pair], Some(lease)).await?,
        created => created?,
    };
    let mine = match created.first() {
        Some(CreateOutcome::Created) => true,
        Some(CreateOutcome::Existing(value)) => value == owner.as_bytes(),
        None => false,
    };
    let entry = if mine { store.get(key).await? } else { None };
    // Revisions grow with each creation, whoever creates.
    if let Some(entry) = entry.filter(|entry| entry.value == owner.as_bytes()) {
        let fence = FencingToken(entry.revision.0.unsigned_abs());
        return Ok(Some(Lease { id: lease, fence }));
    }
    store.revoke(lease).await?;
    Ok(None)
}
