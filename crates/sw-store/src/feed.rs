//! The interface to a store that a process follows: snapshots of its items and the changes since a
//! position.

use std::fmt;
use std::time::Duration;

use sw_unit::StorePosition;

use crate::{Change, EraHistory, Item, RetainedItem, StoreError};

/// All items of a store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// The store's position before the read started.
    pub position: StorePosition,
    /// The items.
    pub items: Vec<Item>,
    /// States of an earlier era that a mirror retains although the items differ; a store has none.
    pub retained: Vec<RetainedItem>,
    /// Earlier eras that the sender followed; a store has none.
    pub history: EraHistory,
}

/// The changes since a position.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// The position up to which the list is complete.
    pub position: StorePosition,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// Error of reading changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedError {
    /// The store no longer has these changes; a snapshot is needed.
    HistoryGone,
    /// The call failed.
    Store(StoreError),
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryGone => f.write_str("the store no longer has the requested history"),
            Self::Store(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for FeedError {}

impl From<StoreError> for FeedError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// A store that a process follows.
pub trait Feed: Clone + 'static {
    /// Reads all followed items.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`].
    fn read_snapshot(&self) -> impl Future<Output = Result<Snapshot, StoreError>>;

    /// Waits up to `wait` for changes after `revision`.
    ///
    /// A store in a later era than the one of `revision` answers as well, if it has given the revision out again; the
    /// position of the result tells.
    ///
    /// # Errors
    ///
    /// Returns [`FeedError`].
    fn changes(&self, revision: u64, wait: Duration) -> impl Future<Output = Result<Changes, FeedError>>;

    /// Returns the time since bytes of a response were last received; `None` if there were none.
    fn received_ago(&self) -> Option<Duration>;

    /// Writes an item that was last changed at `revision`; 0 if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotRun`] if it was changed since, and the errors of [`write`](Self::write).
    fn write_at(&self, key: &str, value: &[u8], revision: u64) -> impl Future<Output = Result<(), StoreError>>;

    /// Writes an item, whatever it held before.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; after [`StoreError::Unknown`] it may be written, also some seconds later.
    fn write(&self, key: &str, value: &[u8]) -> impl Future<Output = Result<(), StoreError>>;
}
