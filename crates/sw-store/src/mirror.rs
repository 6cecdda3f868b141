//! The local copy of the platform's store.
//!
//! A mirror holds an exact copy of the store in its current era, and over it the states of an earlier era that it
//! retains after the store was restored from an older copy. Followers receive both: the changes of the exact copy, and
//! the retained states with a snapshot. A position means something only within its era, so changes and snapshots of an
//! earlier era are ignored, and changes of a later one require a snapshot.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{StoreEra, StorePosition, Time};

use crate::era_history::EraHistory;
use crate::item::ItemRules;
use crate::replica::Replica;
use crate::retained::{self, Known, RetainFor, Retained};
use crate::{AnnouncedItem, Change, Changes, Item, Snapshot, Writer};

/// The result of applying changes or a snapshot to a mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// These changes of items were new.
    New(Vec<Change>),
    /// Nothing was applied, as the store has been restored since.
    OlderEra,
    /// Nothing was applied, as the store was restored; a snapshot is needed.
    NewerEra,
}

/// How a retained state ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SettledBy {
    /// The key was written or removed in the new era.
    Write,
    /// The grace period ended.
    Timeout,
}

/// A retained state that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settled {
    /// The key.
    pub key: String,
    /// How it ended.
    pub by: SettledBy,
}

/// The local copy of the items of a followed store.
#[derive(Debug, Clone, Default)]
pub struct Mirror<R> {
    rules: R,
    replica: Replica,
    retained: IndexMap<String, Retained>,
    /// Positions in earlier eras at which states were written that a snapshot of this era confirmed.
    confirmed: IndexMap<String, StorePosition>,
    /// Earlier eras that were followed.
    history: EraHistory,
    settled: Vec<Settled>,
}

impl<R> Mirror<R> {
    /// Creates an empty mirror.
    pub fn new(rules: R) -> Self {
        Self {
            rules,
            replica: Replica::default(),
            retained: IndexMap::new(),
            confirmed: IndexMap::new(),
            history: EraHistory::default(),
            settled: Vec::new(),
        }
    }

    /// Returns the position up to which all changes are applied; its revision is zero before the first snapshot.
    pub fn position(&self) -> StorePosition {
        self.replica.position()
    }

    /// Returns whether no snapshot was applied yet.
    pub fn is_empty(&self) -> bool {
        self.position().revision == 0
    }

    /// Returns the items, including those that are retained.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        let shown = self
            .replica
            .items()
            .filter(|item| !self.retained.contains_key(&item.key));
        let retained = self.retained.iter().filter_map(|(key, entry)| entry.item(key));
        shown.cloned().chain(retained)
    }

    /// Returns the position in the latest earlier era up to which all changes are known, also if other mirrors told them;
    /// its revision is zero if there is none.
    pub fn followed(&self) -> StorePosition {
        let latest = self.history.followed().last();
        latest.map_or_else(StorePosition::default, |followed| {
            StorePosition::new(followed.era, followed.until)
        })
    }

    /// Returns the number of retained states.
    pub fn retained_len(&self) -> usize {
        self.retained.len()
    }

    /// Returns whether the store has a key in the state that the mirror shows.
    pub fn is_stored(&self, key: &str) -> bool {
        !self.retained.contains_key(key) && self.replica.get(key).is_some()
    }

    /// Returns the value of a key in the store.
    pub fn stored_value(&self, key: &str) -> Option<&[u8]> {
        self.replica.get(key).map(|item| item.value.as_slice())
    }

    /// Returns the revision of the last change of a key in the store; 0 if the store does not have it.
    pub fn stored_revision(&self, key: &str) -> u64 {
        let stored = self.replica.get(key).filter(|_| self.is_stored(key));
        stored.map_or(0, |item| item.revision)
    }

    /// Returns when the next grace period of a retained state ends.
    pub fn next_expiry(&self) -> Option<Time> {
        self.retained.values().filter_map(|entry| entry.until).min()
    }

    /// Returns the retained states that ended since the last call.
    pub fn take_settled(&mut self) -> Vec<Settled> {
        std::mem::take(&mut self.settled)
    }

    /// Returns the changes of the store after a position; `None` if some of them are no longer recorded, or if the
    /// position is in another era.
    pub fn changes_since(&self, after: StorePosition) -> Option<Changes> {
        let same_era = after.era == self.position().era;
        same_era.then(|| self.replica.changes_since(after.revision)).flatten()
    }

    /// Returns the items that were written and whose values are not here yet.
    pub fn announced(&self) -> impl Iterator<Item = &AnnouncedItem> {
        self.replica.announced()
    }

    /// Records that a large item was written in the current era, and returns whether that is news. Its value is applied
    /// like any change once it is here.
    pub fn announce(&mut self, announced: AnnouncedItem) -> bool {
        self.replica.announce(announced)
    }

    /// Returns the items and the retained states, for another mirror.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        Snapshot {
            position: self.position(),
            items: self.replica.items().cloned().collect(),
            retained: retained::export(&self.retained, now),
            history: self.history.clone(),
        }
    }

    /// Returns the current state of a key.
    fn item(&self, key: &str) -> Option<Item> {
        match self.retained.get(key) {
            Some(entry) => entry.item(key),
            None => self.replica.get(key).cloned(),
        }
    }

    /// Ends the retention of a state, and returns whether the key had a value.
    fn settle(&mut self, key: &str, by: SettledBy) -> bool {
        let entry = self.retained.swap_remove(key);
        let key = key.to_owned();
        self.settled.push(Settled { key, by });
        entry.is_some_and(|entry| entry.known.value.is_some())
    }

    /// Returns the change that leads from the value `before` of a key to its current state; `None` if it is the same.
    fn change_from(&self, key: &str, before: Option<&[u8]>) -> Option<Change> {
        match self.item(key) {
            Some(item) if before == Some(item.value.as_slice()) => None,
            Some(item) => Some(Change::Put(item)),
            None => before.map(|_removed| Change::Removed {
                key: key.to_owned(),
                revision: self.position().revision,
            }),
        }
    }
}

impl<R: ItemRules> Mirror<R> {
    /// Applies the changes of a store or of another mirror.
    pub fn apply(&mut self, changes: Changes) -> Applied {
        if let Some(other) = self.other_era(changes.position.era) {
            return other;
        }
        let new = self.apply_changes(changes.changes);
        self.replica.advance(changes.position.revision);
        Applied::New(new)
    }

    /// Applies a snapshot: replaces the items by those of the snapshot.
    ///
    /// A snapshot that is older than the copy changes nothing. One of a later era is reconciled with what is known: a
    /// known state that the restored store has lost is retained for a while.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: Time) -> Applied {
        if self.is_empty() || self.other_era(snapshot.position.era) == Some(Applied::NewerEra) {
            return Applied::New(self.reconcile(snapshot, now));
        }
        if self.other_era(snapshot.position.era).is_some() {
            return Applied::OlderEra;
        }
        let mut new = Vec::new();
        let position = snapshot.position;
        if position >= self.position() {
            let changes = self.replica.changes_to(snapshot.items, position.revision);
            new = self.apply_changes(changes);
            self.replica.on_snapshot(position.revision);
        }
        let retained = retained::import(snapshot.retained, now);
        new.extend(self.take_over(retained, position, &snapshot.history));
        Applied::New(new)
    }

    /// Ends the retention of states whose grace period is over, and returns the resulting changes.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let is_over = |entry: &Retained| entry.until.is_some_and(|until| until <= now);
        let expired = self.retained.iter().filter(|(_, entry)| is_over(entry));
        let expired: Vec<_> = expired
            .map(|(key, entry)| (key.clone(), entry.known.value.clone()))
            .collect();
        let changes = expired.into_iter().filter_map(|(key, before)| {
            self.settle(&key, SettledBy::Timeout);
            self.change_from(&key, before.as_deref())
        });
        changes.collect()
    }

    /// Returns why nothing of `era` can be applied; `None` if it is the current one.
    fn other_era(&self, era: StoreEra) -> Option<Applied> {
        match era.cmp(&self.position().era) {
            std::cmp::Ordering::Less => Some(Applied::OlderEra),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(Applied::NewerEra),
        }
    }

    fn apply_changes(&mut self, changes: Vec<Change>) -> Vec<Change> {
        let mut new = Vec::new();
        for change in changes {
            if self.apply_one(&change) {
                new.push(change);
            }
        }
        new
    }

    /// Applies a change of the current era, and returns whether the current state of its key changes with it.
    fn apply_one(&mut self, change: &Change) -> bool {
        match change {
            Change::Put(item) => self.replica.put(item) && self.on_written(item),
            Change::Removed { key, revision } => self.remove(key, *revision),
        }
    }

    /// Ends the retention of a state whose key was written; returns whether the written state counts.
    fn on_written(&mut self, item: &Item) -> bool {
        let Some(entry) = self.retained.get_mut(&item.key) else {
            return true;
        };
        if entry.known.outranks(self.rules.rank(&item.key, &item.value)) {
            entry.until = None;
            return false;
        }
        self.settle(&item.key, SettledBy::Write);
        true
    }

    fn remove(&mut self, key: &str, revision: u64) -> bool {
        let value = self.replica.get(key).map(|item| item.value.as_slice());
        let rank = value.and_then(|value| self.rules.rank(key, value));
        let is_removed = self.replica.remove(key, revision, rank);
        if is_removed || self.replica.get(key).is_none() {
            let Some(entry) = self.retained.get(key) else {
                return is_removed;
            };
            if !is_removed {
                // Followers may retain the key as well.
                self.replica.record_removal(key, revision, entry.known.rank);
            }
            return self.settle(key, SettledBy::Write);
        }
        false
    }

    /// Replaces the copy by a snapshot of a later era, and returns the resulting changes.
    fn reconcile(&mut self, snapshot: Snapshot, now: Time) -> Vec<Change> {
        let mut known = self.known_states();
        self.add_unknown(&mut known, &snapshot);
        if !self.is_empty() {
            self.history.record(self.replica.followed());
        }
        let position = snapshot.position;
        self.replica = Replica::new(position, snapshot.items);
        self.retained = retained::import(snapshot.retained, now);
        self.confirmed = self.confirmed_states(&known);
        for (key, state) in &known {
            self.reconcile_state(key, state, &snapshot.history, now);
        }
        self.history.merge(&snapshot.history);
        let keys: IndexSet<&str> = self.replica.items().map(|item| item.key.as_str()).collect();
        let keys: IndexSet<&str> = keys
            .into_iter()
            .chain(self.retained.keys().map(String::as_str))
            .chain(known.keys().map(String::as_str))
            .collect();
        let before = |key: &str| known.get(key).and_then(|state| state.value.as_deref());
        let changes = keys.into_iter().filter_map(|key| self.change_from(key, before(key)));
        changes.collect()
    }

    /// Decides whether a known state is retained beside the state that a snapshot brought, whose sender knew the eras
    /// of `history`.
    fn reconcile_state(&mut self, key: &str, known: &Known, history: &EraHistory, now: Time) {
        let mut sender_knew = history.includes(known.position);
        if let Some(other) = self.retained.get(key).map(|entry| &entry.known) {
            let is_later = !known.is_later_than(other) && !known.outranks(other.rank);
            if is_later || other.outranks(known.rank) {
                return;
            }
            self.retained.swap_remove(key);
            sender_knew = false;
        }
        let shown = self.replica.get(key);
        let retain_for = known.retain_for(key, shown, self.position(), &self.rules);
        let retain_for = retain_for.filter(|retain_for| !sender_knew || *retain_for == RetainFor::UntilWritten);
        if let Some(retain_for) = retain_for {
            let entry = Retained::new(known.clone(), retain_for, now);
            self.retained.insert(key.to_owned(), entry);
        }
    }

    /// Takes over retained states of another mirror of the same era, whose copy of the store is at `position`; returns
    /// the resulting changes.
    fn take_over(
        &mut self,
        retained: IndexMap<String, Retained>,
        position: StorePosition,
        history: &EraHistory,
    ) -> Vec<Change> {
        // A mirror that knows the earlier eras has decided on the other states itself.
        let knows_more = !self.history.includes_all(history);
        let mut changes = Vec::new();
        for (key, entry) in retained {
            let is_written_since = self.replica.is_changed_since(&key, position.revision);
            let counts =
                self.outranks_shown(&key, &entry) || (!is_written_since && self.accepts(&key, &entry, knows_more));
            if !counts || self.retained.contains_key(&key) {
                continue;
            }
            let before = self.item(&key);
            self.retained.insert(key.clone(), entry);
            changes.extend(self.change_from(&key, before.as_ref().map(|item| item.value.as_slice())));
        }
        self.history.merge(history);
        changes
    }

    /// Adds the absence of items that a snapshot of a later era shows with a revision up to which this mirror was
    /// complete: they were removed in the meantime, or written in the new era, which a regular writer repeats.
    fn add_unknown(&self, known: &mut IndexMap<String, Known>, snapshot: &Snapshot) {
        let position = self.position();
        for item in &snapshot.items {
            let is_regular = self.rules.writer(&item.key) == Writer::Regular;
            if is_regular && item.revision <= position.revision && !known.contains_key(&item.key) {
                let absent = Known {
                    value: None,
                    position,
                    is_of_era: false,
                    rank: None,
                };
                known.insert(item.key.clone(), absent);
            }
        }
    }

    /// Returns when the known states were written that the store shows unchanged.
    fn confirmed_states(&self, known: &IndexMap<String, Known>) -> IndexMap<String, StorePosition> {
        let shown = |key: &str| self.replica.get(key).map(|item| &item.value);
        let confirmed = known
            .iter()
            .filter(|(key, state)| state.is_of_era && state.value.is_some() && state.value.as_ref() == shown(key));
        confirmed.map(|(key, state)| (key.clone(), state.position)).collect()
    }

    /// Returns whether a state that another mirror retains counts beside the one that the store shows.
    fn accepts(&self, key: &str, entry: &Retained, knows_more: bool) -> bool {
        let shown = self.replica.get(key).map(|item| self.shown_state(item));
        knows_more && shown.is_none_or(|shown| !shown.is_later_than(&entry.known))
    }

    /// Returns whether a state that another mirror retains ranks higher than the one that the store shows.
    fn outranks_shown(&self, key: &str, entry: &Retained) -> bool {
        let shown = self.replica.get(key);
        shown.is_some_and(|item| entry.known.outranks(self.rules.rank(key, &item.value)))
    }

    /// Returns what is known of an item that the store shows.
    fn shown_state(&self, item: &Item) -> Known {
        let is_of_era = item.revision > self.replica.first_revision();
        let confirmed = self.confirmed.get(&item.key).filter(|_| !is_of_era);
        let position = StorePosition::new(self.position().era, item.revision);
        Known {
            rank: self.rules.rank(&item.key, &item.value),
            value: Some(item.value.clone()),
            position: confirmed.copied().unwrap_or(position),
            is_of_era: is_of_era || confirmed.is_some(),
        }
    }

    /// Returns the known states of all keys, including known removals.
    fn known_states(&self) -> IndexMap<String, Known> {
        let era = self.position().era;
        let present = self
            .replica
            .items()
            .map(|item| (item.key.clone(), self.shown_state(item)));
        let removed = self.replica.removals().map(|removal| {
            let known = Known {
                value: None,
                position: StorePosition::new(era, removal.revision),
                is_of_era: true,
                rank: removal.rank,
            };
            (removal.key.clone(), known)
        });
        let retained = self
            .retained
            .iter()
            .map(|(key, entry)| (key.clone(), entry.known.clone()));
        present.chain(removed).chain(retained).collect()
    }
}
