//! Client of the platform's key-value service.
//!
//! The service is reached over the published JSON gateway of etcd's v3 API. [`Store`] is the small interface that the
//! rest uses; [`Etcd`] implements it. A write whose answer is lost is resolved by reading back: [`publish`] puts a
//! configuration into the service with one compare-and-swap of its root, and [`Claimer`] binds callers' idempotency
//! keys to tickets, many in one call.

mod budget;
mod claim;
mod etcd;
mod feed;
mod lease;
mod mirror;
mod publish;
mod rollback;
mod types;
mod wire;

pub use budget::CallBudget;
pub use claim::{Claim, Claimer};
pub use etcd::{Etcd, WatchStream};
pub use feed::{Changes, Feed, FeedError, Snapshot};
pub use lease::{Lease, acquire_lease};
pub use mirror::{Change, Item, Mirror};
pub use publish::{
    ConfigRoot, HistoryEntry, PublishOutcome, fetch_text, publish, read_history_entry, read_root, republish,
};
pub use rollback::RollbackDetector;
pub use types::{CreateOutcome, Entry, LeaseId, Revision, Store, StoreError, Swap};
