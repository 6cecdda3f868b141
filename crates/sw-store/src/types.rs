//! The interface to a key-value service.

use std::fmt;

use serde::{Deserialize, Serialize};
use sw_unit::Millis;

/// A revision of the service, which increases with every write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Revision(pub i64);

/// The identity of the cluster that serves; a restore from a backup gives it another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClusterId(pub u64);

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The id of a lease; keys attached to a lease are deleted when it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// A key's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last write to the key.
    pub revision: Revision,
}

/// The result of a create-if-absent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key was absent and has been created.
    Created,
    /// The key already exists with this value.
    Existing(Vec<u8>),
}

/// A transaction that makes its writes if one key has the expected revision.
#[derive(Debug, Clone)]
pub struct Swap<'a> {
    /// The key to compare.
    pub key: &'a str,
    /// The expected revision of the key; zero if it must be absent.
    pub expected: Revision,
    /// Keys and values to write.
    pub puts: Vec<(String, Vec<u8>)>,
}

/// Error of a call to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not take effect.
    NotRun,
    /// There was no valid response; the call may have taken effect.
    Unknown,
    /// The call budget is exhausted; the call was not sent.
    BudgetExhausted,
    /// Stored data or a response is malformed.
    Corrupt(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun => f.write_str("the key-value service cannot be reached"),
            Self::Unknown => f.write_str("the key-value service gave no answer"),
            Self::BudgetExhausted => f.write_str("the call budget for the key-value service is exhausted"),
            Self::Corrupt(what) => write!(f, "unexpected data from the key-value service: {what}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A key-value service with compare-and-swap and leases.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Creates the keys that are absent in one call; the result for each key is independent of the others.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; after [`StoreError::Unknown`] any of them may have been created.
    fn create_all(
        &self,
        pairs: &[(String, Vec<u8>)],
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Vec<CreateOutcome>, StoreError>> + Send;

    /// Makes all writes of `swap` if the comparison succeeds; returns whether it did.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; after [`StoreError::Unknown`] the writes may have been made.
    fn swap(&self, swap: &Swap<'_>) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Returns how much longer claims are refused because the service has lost committed state.
    fn quarantine(&self) -> Millis {
        Millis(0)
    }

    /// Renews a lease; returns `false` if it has expired.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`].
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Revokes a lease, which deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`].
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Creates a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`].
    fn grant(&self, ttl: Millis) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;
}
