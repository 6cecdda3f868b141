//! The interface of a key-value service.

use std::fmt;

use serde::{Deserialize, Serialize};
use sw_unit::Millis;

/// The revision of the last write to a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Revision(pub i64);

/// A lease; the keys that hang on it go when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// A key's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// When it was last written.
    pub revision: Revision,
}

/// What a create-if-absent found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key was absent and is created.
    Created,
    /// The key exists with this value.
    Existing(Vec<u8>),
}

/// A compare-and-swap of one key with further writes that go with it.
#[derive(Debug, Clone)]
pub struct Swap<'a> {
    /// The key that is compared.
    pub key: &'a str,
    /// The revision that it must have; zero if it must be absent.
    pub expected: Revision,
    /// Keys and values to write.
    pub puts: Vec<(String, Vec<u8>)>,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// It did not take effect.
    NotRun,
    /// It may have taken effect.
    Unknown,
    /// The budget of calls is used up; it did not take effect.
    BudgetExhausted,
    /// What is stored is not what was expected.
    Corrupt(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun => f.write_str("the key-value service cannot be reached"),
            Self::Unknown => f.write_str("the key-value service gave no answer"),
            Self::BudgetExhausted => f.write_str("the budget of calls to the key-value service is used up"),
            Self::Corrupt(what) => write!(f, "the key-value service holds {what}"),
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

    /// Creates keys that are absent, each on its own, in one call.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; after [`StoreError::Unknown`] any of them may have been created.
    fn create_all(
        &self,
        pairs: &[(String, Vec<u8>)],
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Vec<CreateOutcome>, StoreError>> + Send;

    /// Makes all writes of `swap` if its comparison holds, and returns whether it did.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; after [`StoreError::Unknown`] the writes may have been made.
    fn swap(&self, swap: &Swap<'_>) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// How much longer the service is not trusted to know of earlier claims, because it was seen to have lost state.
    fn quarantine(&self) -> Millis {
        Millis(0)
    }

    /// Renews a lease, and returns whether it was still there.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`].
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Ends a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`].
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`].
    fn grant(&self, ttl: Millis) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;
}
