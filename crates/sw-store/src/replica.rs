//! Exact copy of the items of a followed store in one era.
//!
//! Revisions in the copy never decrease: an item that is older than the one in the copy is ignored. A snapshot replaces
//! the copy, except for items that were written after the snapshot was started. The position does not wait for large
//! values: a large item that was written is *announced* until its value is here, and the copy shows its earlier state.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use sw_unit::{StoreEra, StorePosition};

use crate::era_history::FollowedEra;
use crate::{AnnouncedItem, Change, Changes, Item, Rank};

/// Maximum number of recorded removals; the oldest are dropped.
const MAX_REMOVED: usize = 1_024;

/// A recorded removal.
#[derive(Debug, Clone)]
pub(crate) struct Removal {
    pub(crate) key: String,
    pub(crate) revision: u64,
    /// Rank of the removed state.
    pub(crate) rank: Option<Rank>,
}

/// Exact copy of a store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Replica {
    era: StoreEra,
    revision: u64,
    items: IndexMap<String, Item>,
    /// Items that were written after the state in `items`, and whose values are not here yet.
    announced: IndexMap<String, AnnouncedItem>,
    /// Recorded removals, oldest first.
    removed: VecDeque<Removal>,
    /// The revision after which the recorded removals are complete.
    complete_after: u64,
    first_revision: u64,
}

impl Replica {
    pub(crate) fn new(position: StorePosition, items: Vec<Item>) -> Self {
        let items = items.into_iter().map(|item| (item.key.clone(), item)).collect();
        Self {
            era: position.era,
            revision: position.revision,
            items,
            announced: IndexMap::new(),
            removed: VecDeque::new(),
            complete_after: position.revision,
            first_revision: position.revision,
        }
    }

    /// Returns the position up to which all changes are applied; its revision is zero before the first snapshot.
    pub(crate) fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.revision)
    }

    /// Returns the changes that were followed, removals included.
    pub(crate) fn followed(&self) -> FollowedEra {
        FollowedEra {
            era: self.era,
            after: self.complete_after,
            until: self.revision,
        }
    }

    /// Returns the revision of the first snapshot; later changes are known to be of this era.
    pub(crate) fn first_revision(&self) -> u64 {
        self.first_revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    pub(crate) fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Returns the items whose values are not here yet.
    pub(crate) fn announced(&self) -> impl Iterator<Item = &AnnouncedItem> {
        self.announced.values()
    }

    /// Records that an item was written, and returns whether that is news.
    pub(crate) fn announce(&mut self, announced: AnnouncedItem) -> bool {
        let known = self.items.get(&announced.key).map(|item| item.revision);
        let known = known.max(self.announced.get(&announced.key).map(|known| known.revision));
        let is_news = known.is_none_or(|known| known < announced.revision);
        if is_news {
            self.announced.insert(announced.key.clone(), announced);
        }
        is_news
    }

    /// Forgets an announcement that a state of its key at `revision` supersedes.
    fn supersede(&mut self, key: &str, revision: u64) {
        if self
            .announced
            .get(key)
            .is_some_and(|announced| announced.revision <= revision)
        {
            self.announced.swap_remove(key);
        }
    }

    /// Returns the latest recorded removal of each key that is absent.
    pub(crate) fn removals(&self) -> impl Iterator<Item = &Removal> {
        let latest: IndexMap<&str, &Removal> = self.removed.iter().map(|entry| (entry.key.as_str(), entry)).collect();
        let absent = latest.into_values();
        absent.filter(|removal| !self.items.contains_key(&removal.key))
    }

    /// Returns whether a key was certainly written or removed in this era, after its first snapshot or after `revision`.
    pub(crate) fn is_changed_since(&self, key: &str, revision: u64) -> bool {
        let written = self.items.get(key).map(|item| item.revision);
        let removed = self.removed.iter().rev().find(|removal| removal.key == key);
        let last_change = written.max(removed.map(|removal| removal.revision));
        last_change.is_some_and(|last_change| last_change > revision.min(self.first_revision))
    }

    /// Returns the changes after a revision; `None` if some of them are no longer recorded, or before the first snapshot.
    pub(crate) fn changes_since(&self, after: u64) -> Option<Changes> {
        if after < self.complete_after || self.revision == 0 {
            return None;
        }
        let puts = self.items.values().filter(|item| item.revision > after);
        let removed = self.removed.iter().filter(|removal| removal.revision > after);
        let removed = removed.map(|removal| Change::Removed {
            key: removal.key.clone(),
            revision: removal.revision,
        });
        let mut changes: Vec<_> = removed.chain(puts.cloned().map(Change::Put)).collect();
        changes.sort_by_key(Change::revision);
        Some(Changes {
            position: self.position(),
            changes,
        })
    }

    /// Returns the changes that lead to the items of a snapshot at `revision`.
    pub(crate) fn changes_to(&self, items: Vec<Item>, revision: u64) -> Vec<Change> {
        let present: IndexSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let absent = self.items.values().filter(|item| !present.contains(item.key.as_str()));
        let removed = absent.map(|item| Change::Removed {
            key: item.key.clone(),
            revision,
        });
        let mut changes: Vec<_> = removed.collect();
        changes.extend(items.into_iter().map(Change::Put));
        changes
    }

    /// Records that a snapshot at `revision` was applied, which does not tell the removals of items that this copy did
    /// not hold.
    pub(crate) fn on_snapshot(&mut self, revision: u64) {
        if revision > self.revision {
            self.complete_after = revision;
        }
        self.announced.retain(|_, announced| announced.revision > revision);
        self.advance(revision);
    }

    /// Records that all changes up to `revision` are applied.
    pub(crate) fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Writes an item, and returns whether it is newer than the known one.
    pub(crate) fn put(&mut self, item: &Item) -> bool {
        let known = self.items.get(&item.key);
        let is_newer = known.is_none_or(|known| known.revision < item.revision);
        if is_newer {
            self.items.insert(item.key.clone(), item.clone());
        }
        self.supersede(&item.key, item.revision);
        is_newer
    }

    /// Removes an item, and returns whether it was known and not written since.
    pub(crate) fn remove(&mut self, key: &str, revision: u64, rank: Option<Rank>) -> bool {
        self.supersede(key, revision);
        let Some(known) = self.items.get(key) else {
            self.update_removal(key, revision);
            return false;
        };
        let is_newer = known.revision <= revision;
        if is_newer {
            self.items.swap_remove(key);
            self.record_removal(key, revision, rank);
        }
        is_newer
    }

    /// Records a later removal of an item that was removed before, and written in between unnoticed.
    fn update_removal(&mut self, key: &str, revision: u64) {
        let last = self.removed.iter().rev().find(|removal| removal.key == key);
        if let Some(last) = last.filter(|last| last.revision < revision) {
            self.record_removal(key, revision, last.rank);
        }
    }

    /// Records the removal of a key, whether or not it was present.
    pub(crate) fn record_removal(&mut self, key: &str, revision: u64, rank: Option<Rank>) {
        self.removed.push_back(Removal {
            key: key.to_owned(),
            revision,
            rank,
        });
        if self.removed.len() > MAX_REMOVED
            && let Some(oldest) = self.removed.pop_front()
        {
            self.complete_after = self.complete_after.max(oldest.revision);
        }
    }
}
