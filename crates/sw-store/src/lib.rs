//! Client of the platform's key-value service.
//!
//! [`Store`] is the interface to a key-value service; [`Etcd`] implements it over the JSON gateway of etcd's v3 API.
//! [`publish`] writes a configuration with one compare-and-swap of its root. [`Claimer`] binds callers' idempotency
//! keys to tickets and batches claims. If the response to a write is lost, both find out whether it took effect.
//! [`Feed`] and [`Mirror`] follow a store and keep a local copy of its items, also when the store is restored from an
//! older copy of itself.

mod budget;
mod claim;
mod era_history;
mod etcd;
mod feed;
mod item;
mod lease;
mod mirror;
mod publish;
mod replica;
mod retained;
mod rollback;
mod types;
mod wire;

pub use budget::CallBudget;
pub use claim::{Claim, Claimer};
pub use era_history::{EraHistory, FollowedEra};
pub use etcd::{Etcd, WatchStream};
pub use feed::{Changes, Feed, FeedError, Snapshot};
pub use item::{AnnouncedItem, Change, Item, ItemRules, Rank, Writer};
pub use lease::{Lease, acquire_lease};
pub use mirror::{Applied, Mirror, Settled, SettledBy};
pub use publish::{
    ConfigRoot, HistoryEntry, PublishOutcome, fetch_text, publish, read_history_entry, read_root, republish,
};
pub use retained::RetainedItem;
pub use rollback::{RollbackDetector, StateHeader};
pub use types::{ClusterId, CreateOutcome, Entry, LeaseId, Revision, Store, StoreError, Swap};
