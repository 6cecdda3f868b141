//! The local copy of the platform's store.
//!
//! Revisions in the copy never decrease: an item that is older than the one in the copy is ignored. A snapshot replaces
//! the copy, except for items that were written after the snapshot was started.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::Changes;

/// Maximum number of recorded removals; the oldest are dropped.
const MAX_REMOVED: usize = 1_024;

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

impl Change {
    /// Returns the store's revision after the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// The local copy of the items of a followed store.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    items: IndexMap<String, Item>,
    revision: u64,
    /// Removed keys and the revisions of the removals, oldest first.
    removed: VecDeque<(String, u64)>,
    /// The revision after which the recorded removals are complete.
    complete_after: u64,
}

impl Mirror {
    /// Returns the revision up to which all changes are applied; zero before the first snapshot.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Returns the changes after a revision; `None` if some of them are no longer recorded, or before the first snapshot.
    pub fn changes_since(&self, after: u64) -> Option<Changes> {
        if after < self.complete_after || self.revision == 0 {
            return None;
        }
        let puts = self.items.values().filter(|item| item.revision > after);
        let removed = self.removed.iter().filter(|(_, revision)| *revision > after);
        let removed = removed.map(|(key, revision)| Change::Removed {
            key: key.clone(),
            revision: *revision,
        });
        let mut changes: Vec<_> = removed.chain(puts.cloned().map(Change::Put)).collect();
        changes.sort_by_key(Change::revision);
        Some(Changes {
            revision: self.revision,
            changes,
        })
    }

    /// Applies all changes up to `revision`; returns those that were new.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut new = Vec::new();
        for change in changes {
            if self.apply_one(&change) {
                new.push(change);
            }
        }
        self.revision = self.revision.max(revision);
        new
    }

    /// Replaces the items by those of a snapshot at `revision`; returns the resulting changes.
    ///
    /// A snapshot that is older than the copy is ignored.
    pub fn apply_snapshot(&mut self, items: Vec<Item>, revision: u64) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        let present: IndexMap<&str, ()> = items.iter().map(|item| (item.key.as_str(), ())).collect();
        let removed = self
            .items
            .values()
            .filter(|item| !present.contains_key(item.key.as_str()));
        let removed = removed.map(|item| Change::Removed {
            key: item.key.clone(),
            revision,
        });
        let mut changes: Vec<_> = removed.collect();
        if revision > self.revision {
            // A snapshot does not tell the removals of items that this copy did not hold.
            self.complete_after = revision;
        }
        changes.extend(items.into_iter().map(Change::Put));
        self.apply(changes, revision)
    }

    fn record_removal(&mut self, key: &str, revision: u64) {
        self.removed.push_back((key.to_owned(), revision));
        if self.removed.len() > MAX_REMOVED
            && let Some((_, oldest)) = self.removed.pop_front()
        {
            self.complete_after = self.complete_after.max(oldest);
        }
    }

    fn apply_one(&mut self, change: &Change) -> bool {
        match change {
            Change::Put(item) => {
                let is_newer = self
                    .items
                    .get(&item.key)
                    .is_none_or(|known| known.revision < item.revision);
                if is_newer {
                    self.items.insert(item.key.clone(), item.clone());
                }
                is_newer
            }
            Change::Removed { key, revision } => {
                let is_newer = self.items.get(key).is_some_and(|known| known.revision <= *revision);
                if is_newer {
                    self.items.swap_remove(key);
                    self.record_removal(key, *revision);
                }
                is_newer
            }
        }
    }
}
