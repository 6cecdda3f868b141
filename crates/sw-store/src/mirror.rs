//! A copy of what the platform's store holds.
//!
//! The copy only moves forward: an item that is older than the known one is ignored. A full read replaces the copy,
//! but for what was written after the read began.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::Changes;

/// Removals that are remembered; the oldest are forgotten.
const MAX_REMOVED: usize = 1_024;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision when it was written.
    pub revision: u64,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was removed at this revision.
    Removed {
        /// The key.
        key: String,
        /// The store's revision after that.
        revision: u64,
    },
}

impl Change {
    /// The store's revision after the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// A copy of the store's items.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    items: IndexMap<String, Item>,
    revision: u64,
    /// Keys that were removed, oldest first.
    removed: VecDeque<(String, u64)>,
    /// The revision after which no removal is forgotten.
    complete_after: u64,
}

impl Mirror {
    /// The revision up to which all changes are known; 0 if nothing is.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// What changed after a revision; `None` if that is no longer known.
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

    /// Takes in changes up to `revision`, and returns those that were new.
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

    /// Replaces the copy by what a full read found at `revision`, and returns what that changed.
    ///
    /// A read that is older than the copy changes nothing.
    pub fn apply_snapshot(&mut self, items: Vec<Item>, revision: u64) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        let read: IndexMap<&str, ()> = items.iter().map(|item| (item.key.as_str(), ())).collect();
        let gone = self.items.values().filter(|item| !read.contains_key(item.key.as_str()));
        let gone = gone.map(|item| Change::Removed {
            key: item.key.clone(),
            revision,
        });
        let mut changes: Vec<_> = gone.collect();
        if self.revision == 0 {
            self.complete_after = revision;
        }
        changes.extend(items.into_iter().map(Change::Put));
        self.apply(changes, revision)
    }

    fn remember_removed(&mut self, key: &str, revision: u64) {
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
                let newer = self
                    .items
                    .get(&item.key)
                    .is_none_or(|known| known.revision < item.revision);
                if newer {
                    self.items.insert(item.key.clone(), item.clone());
                }
                newer
            }
            Change::Removed { key, revision } => {
                let older = self.items.get(key).is_some_and(|known| known.revision <= *revision);
                if older {
                    self.items.swap_remove(key);
                    self.remember_removed(key, *revision);
                }
                older
            }
        }
    }
}
