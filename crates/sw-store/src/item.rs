//! Items of a followed store and their changes.

use sw_chunk::Manifest;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision after it was written.
    pub revision: u64,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// The store's revision after the removal.
        revision: u64,
    },
}

/// A large item that was written, and whose value has to be collected chunk by chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedItem {
    /// The key.
    pub key: String,
    /// The store's revision after it was written.
    pub revision: u64,
    /// The chunks of its value.
    pub manifest: Manifest,
}

impl Change {
    /// Returns the key.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns the store's revision after the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Order of the states of one key; a mirror does not return from a higher to a lower one when the store is restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u64);

/// Who writes an item, which decides how long a mirror waits for it to be written again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writer {
    /// The writer renews the item regularly.
    Regular,
    /// The writer writes the item once for each change.
    Occasional,
}

/// What a mirror needs to know about the meaning of items.
pub trait ItemRules {
    /// Returns the rank of an item's state; `None` if its states have no order.
    fn rank(&self, key: &str, value: &[u8]) -> Option<Rank>;

    /// Returns who writes an item.
    fn writer(&self, key: &str) -> Writer;
}
