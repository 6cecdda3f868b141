//! Which items of the store cannot be decoded, so that each is logged once.

use indexmap::IndexMap;

/// Maximum number of items that are remembered; the oldest are dropped.
const MAX_ITEMS: usize = 1_024;

/// The items that cannot be decoded, and why.
///
/// A writer may write the same item again with each of its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct MalformedItems {
    reasons: IndexMap<String, String>,
}

impl MalformedItems {
    /// Records that an item cannot be decoded, and returns whether that or the reason is new.
    pub fn record(&mut self, key: &str, reason: &str) -> bool {
        if self.reasons.get(key).is_some_and(|known| known == reason) {
            return false;
        }
        self.reasons.insert(key.to_owned(), reason.to_owned());
        if self.reasons.len() > MAX_ITEMS {
            self.reasons.shift_remove_index(0);
        }
        true
    }

    /// Records that an item was decoded or removed.
    pub fn clear(&mut self, key: &str) {
        self.reasons.swap_remove(key);
    }
}
