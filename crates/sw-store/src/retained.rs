//! States of an earlier era that a mirror retains although the restored store shows older ones.
//!
//! A store that was restored from a copy has lost the writes since the copy. Their writers make them again, in any
//! order. Until then the mirror keeps what it knew: items that the copy lacks or shows in an older state, and removals
//! of items that the copy still holds. A state is retained until its key is written in the new era or a grace period
//! ends; one with a higher rank than the item in the store, and one with a rank whose writer does not renew it, is retained
//! without a time limit.

use std::cmp::Ordering;

use indexmap::IndexMap;
use sw_unit::{Millis, StorePosition, Time};

use crate::item::ItemRules;
use crate::{Item, Rank, Writer};

/// Time within which writers write again what the store has lost.
const REWRITE_GRACE: Millis = Millis(2_300);
/// Time for which the store shows an item that nobody renews; afterwards an item that was known to be removed counts as
/// present again.
const EXPIRY_GRACE: Millis = Millis(6_000);

/// A state of a key that a mirror retains, as VMs tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetainedItem {
    /// The key.
    pub key: String,
    /// Its value; `None` if it was removed.
    pub value: Option<Vec<u8>>,
    /// When it was written or removed.
    pub position: StorePosition,
    /// Whether it was written or removed in the era of the position, not in an earlier one.
    pub is_of_era: bool,
    /// Rank of the state, or of the state that was removed.
    pub rank: Option<Rank>,
    /// Time for which it is retained; `None` until the key is written.
    pub remaining: Option<Millis>,
}

/// A known state of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Known {
    /// The value; `None` if the key was removed.
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) position: StorePosition,
    /// Whether the state was written in the era of the position, not in an earlier one.
    pub(crate) is_of_era: bool,
    pub(crate) rank: Option<Rank>,
}

impl Known {
    /// Returns whether the state is later than another known one.
    pub(crate) fn is_later_than(&self, other: &Self) -> bool {
        let by_revision = self.position.revision > other.position.revision;
        match self.position.era.cmp(&other.position.era) {
            Ordering::Equal => by_revision,
            Ordering::Greater => self.is_of_era || by_revision,
            Ordering::Less => !other.is_of_era && by_revision,
        }
    }

    /// Returns whether the state may not be replaced by one of the rank `other`.
    pub(crate) fn outranks(&self, other: Option<Rank>) -> bool {
        let ranks = self.rank.zip(other);
        self.value.is_some() && ranks.is_some_and(|(known, other)| known > other)
    }

    /// Returns for how long this state is retained if the store shows `shown` after it was restored; `None` if the store
    /// is right.
    pub(crate) fn retain_for(
        &self,
        key: &str,
        shown: Option<&Item>,
        snapshot_at: StorePosition,
        rules: &impl ItemRules,
    ) -> Option<RetainFor> {
        let grace = if self.value.is_some() {
            REWRITE_GRACE
        } else {
            EXPIRY_GRACE
        };
        let Some(item) = shown else {
            let has_order = self.value.is_some() && self.rank.is_some();
            if has_order && rules.writer(key) == Writer::Occasional {
                return Some(RetainFor::UntilWritten);
            }
            // Another mirror may still retain a state that was removed since.
            return Some(RetainFor::Grace(grace));
        };
        if self.value.as_ref() == Some(&item.value) {
            return None;
        }
        let rank = rules.rank(key, &item.value);
        if self.outranks(rank) {
            return Some(RetainFor::UntilWritten);
        }
        let is_successor = self.rank.zip(rank).is_some_and(|(known, shown)| known < shown);
        let is_written_since = item.revision >= self.position.revision || item.revision > snapshot_at.revision;
        (!is_successor && !is_written_since).then_some(RetainFor::Grace(grace))
    }
}

/// How long a state is retained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetainFor {
    /// Until the key is written or the time is over.
    Grace(Millis),
    /// Until the key is written in a state of the same or a higher rank, or removed.
    UntilWritten,
}

/// A retained state.
#[derive(Debug, Clone)]
pub(crate) struct Retained {
    pub(crate) known: Known,
    /// When it ends; `None` until the key is written.
    pub(crate) until: Option<Time>,
}

impl Retained {
    pub(crate) fn new(known: Known, retain_for: RetainFor, now: Time) -> Self {
        let until = match retain_for {
            RetainFor::Grace(grace) => Some(now + grace),
            RetainFor::UntilWritten => None,
        };
        Self { known, until }
    }

    pub(crate) fn item(&self, key: &str) -> Option<Item> {
        let value = self.known.value.clone()?;
        Some(Item {
            key: key.to_owned(),
            value,
            revision: self.known.position.revision,
        })
    }
}

/// Encodes retained states for another VM.
pub(crate) fn export(retained: &IndexMap<String, Retained>, now: Time) -> Vec<RetainedItem> {
    let items = retained.iter().map(|(key, entry)| RetainedItem {
        key: key.clone(),
        value: entry.known.value.clone(),
        position: entry.known.position,
        is_of_era: entry.known.is_of_era,
        rank: entry.known.rank,
        remaining: entry.until.map(|until| until.since(now)),
    });
    items.collect()
}

/// Decodes the retained states of another VM.
pub(crate) fn import(items: Vec<RetainedItem>, now: Time) -> IndexMap<String, Retained> {
    let retained = items.into_iter().map(|item| {
        let known = Known {
            value: item.value,
            position: item.position,
            is_of_era: item.is_of_era,
            rank: item.rank,
        };
        let until = item.remaining.map(|remaining| now + remaining.min(EXPIRY_GRACE));
        (item.key, Retained { known, until })
    });
    retained.collect()
}
