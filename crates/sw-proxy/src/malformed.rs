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
    /// Key of the item that holds the configuration; `None` before one was decoded.
    configuration_key: Option<String>,
    is_configuration_malformed: bool,
}

impl MalformedItems {
    /// Records that an item cannot be decoded, and returns whether that or the reason is new.
    pub fn record(&mut self, key: &str, reason: &str) -> bool {
        // Kept beside the reasons, of which the oldest are dropped.
        self.is_configuration_malformed |= self.is_configuration(key);
        if self.reasons.get(key).is_some_and(|known| known == reason) {
            return false;
        }
        self.reasons.insert(key.to_owned(), reason.to_owned());
        if self.reasons.len() > MAX_ITEMS {
            self.reasons.shift_remove_index(0);
        }
        true
    }

    /// Records the key under which a configuration was decoded.
    pub fn on_configuration(&mut self, key: &str) {
        if !self.is_configuration(key) {
            self.configuration_key = Some(key.to_owned());
        }
    }

    /// Returns whether the item that held a configuration before is among them.
    pub fn has_configuration(&self) -> bool {
        self.is_configuration_malformed
    }

    fn is_configuration(&self, key: &str) -> bool {
        self.configuration_key.as_deref() == Some(key)
    }

    /// Records that an item was decoded or removed.
    pub fn clear(&mut self, key: &str) {
        if self.is_configuration(key) {
            self.is_configuration_malformed = false;
        }
        self.reasons.swap_remove(key);
    }
}
