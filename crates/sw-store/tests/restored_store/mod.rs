//! Model of a store that can be restored from an older copy, and of the writers that write again what it has lost.

use std::collections::BTreeMap;

use sw_store::{Change, Changes, Item, ItemRules, Rank, Snapshot, Writer};
use sw_unit::{StoreEra, StorePosition};

/// A key of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The configuration, whose versions only rise.
    Config,
    /// A registration; its value has the incarnation and a serial number.
    Endpoint(u8),
    /// An item whose states have no order.
    Evacuation(u8),
}

impl Key {
    /// Returns the name in the store.
    pub fn name(self) -> String {
        match self {
            Self::Config => "config".to_owned(),
            Self::Endpoint(index) => format!("endpoint/{index}"),
            Self::Evacuation(index) => format!("evacuate/{index}"),
        }
    }

    /// Returns the key with a name.
    pub fn parse(name: &str) -> Self {
        match name.split_once('/') {
            Some(("endpoint", index)) => Self::Endpoint(index.parse().expect("an index")),
            Some((_, index)) => Self::Evacuation(index.parse().expect("an index")),
            None => Self::Config,
        }
    }
}

/// Ranks configurations by version and registrations by incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub struct TestRules;

impl ItemRules for TestRules {
    fn rank(&self, key: &str, value: &[u8]) -> Option<Rank> {
        let (incarnation, serial) = parse_value(value);
        match Key::parse(key) {
            Key::Config => Some(Rank(serial)),
            Key::Endpoint(_) => Some(Rank(incarnation)),
            Key::Evacuation(_) => None,
        }
    }

    fn writer(&self, key: &str) -> Writer {
        match Key::parse(key) {
            Key::Endpoint(_) => Writer::Regular,
            Key::Config | Key::Evacuation(_) => Writer::Occasional,
        }
    }
}

fn parse_value(value: &[u8]) -> (u64, u64) {
    let text = std::str::from_utf8(value).expect("text");
    let (incarnation, serial) = text.split_once(' ').unwrap_or(("0", text));
    (
        incarnation.parse().expect("a number"),
        serial.parse().expect("a number"),
    )
}

/// Returns the serial number of the write of an item.
pub fn serial(item: &Item) -> u64 {
    parse_value(&item.value).1
}

/// Returns the incarnation of the writer of an item.
pub fn incarnation(item: &Item) -> u64 {
    parse_value(&item.value).0
}

/// The state of a key as its writer last wrote or removed it.
#[derive(Debug, Clone, Default)]
struct Written {
    value: Option<Vec<u8>>,
    incarnation: u64,
    serial: u64,
}

/// A store, and the writers' states.
#[derive(Debug, Clone, Default)]
pub struct RestoredStore {
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    written: BTreeMap<Key, Written>,
    /// Serial numbers of the states that the store holds, removals included.
    serials: BTreeMap<Key, u64>,
    next_serial: u64,
    copy: Option<Box<RestoredStore>>,
}

impl RestoredStore {
    /// Writes the next state of a key.
    pub fn write(&mut self, key: Key) {
        self.next_serial += 1;
        let written = self.written.entry(key).or_default();
        written.serial = self.next_serial;
        written.value = Some(format!("{} {}", written.incarnation, written.serial).into_bytes());
        self.store(key);
    }

    /// Writes the next state of a key in the next incarnation of its writer.
    pub fn restart(&mut self, key: Key) {
        self.written.entry(key).or_default().incarnation += 1;
        self.write(key);
    }

    /// Removes a key, except the configuration.
    pub fn remove(&mut self, key: Key) {
        if key == Key::Config || !self.items.contains_key(&key.name()) {
            return;
        }
        self.next_serial += 1;
        let written = self.written.entry(key).or_default();
        // An endpoint does not come back in the same incarnation.
        written.incarnation += 1;
        written.serial = self.next_serial;
        written.value = None;
        self.store(key);
    }

    /// Copies the store.
    pub fn copy(&mut self) {
        let mut copy = self.clone();
        copy.copy = None;
        self.copy = Some(Box::new(copy));
    }

    /// Restores the store from the copy, if there is one.
    pub fn restore(&mut self) {
        let Some(copy) = self.copy.take() else {
            return;
        };
        let (era, written, next_serial) = (self.era + 1, std::mem::take(&mut self.written), self.next_serial);
        *self = Self {
            era,
            written,
            next_serial,
            ..*copy
        };
    }

    /// Writes a state again that the store has lost.
    pub fn rewrite(&mut self, key: Key) {
        let held = self.serials.get(&key).copied().unwrap_or_default();
        if self.written.get(&key).is_some_and(|written| written.serial != held) {
            self.store(key);
        }
    }

    /// Writes all states again that the store has lost.
    pub fn rewrite_all(&mut self) {
        let keys: Vec<_> = self.written.keys().copied().collect();
        for key in keys {
            self.rewrite(key);
        }
    }

    /// Returns all items.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        self.items.values().cloned()
    }

    /// Returns the serial numbers of the states that the store holds, removals included.
    pub fn serials(&self) -> BTreeMap<Key, u64> {
        self.serials.clone()
    }

    /// Returns all items with the position.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            position: self.position(),
            items: self.items().collect(),
            ..Snapshot::default()
        }
    }

    /// Returns the changes after a revision; `None` if the store has not given it out yet.
    pub fn changes(&self, after: u64) -> Option<Changes> {
        let changes = self.history.iter().filter(|change| change.revision() > after);
        (after <= self.position().revision).then(|| Changes {
            position: self.position(),
            changes: changes.cloned().collect(),
        })
    }

    fn position(&self) -> StorePosition {
        StorePosition::new(StoreEra(self.era), self.revision + 1)
    }

    /// Applies the state of a key's writer to the store.
    fn store(&mut self, key: Key) {
        let written = &self.written[&key];
        self.revision += 1;
        // The store starts at revision 1.
        let revision = self.revision + 1;
        let name = key.name();
        self.serials.insert(key, written.serial);
        let change = match &written.value {
            Some(value) => {
                let item = Item {
                    key: name.clone(),
                    value: value.clone(),
                    revision,
                };
                self.items.insert(name, item.clone());
                Change::Put(item)
            }
            None if self.items.remove(&name).is_none() => return,
            None => Change::Removed { key: name, revision },
        };
        self.history.push(change);
    }
}
