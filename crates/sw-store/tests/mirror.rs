//! A copy of the store that is followed through another copy.

use proptest::prelude::*;
use sw_store::{Change, Item, Mirror};

/// A step of a store and of the copies that follow it.
#[derive(Debug, Clone)]
enum Step {
    Put(u8),
    Remove(u8),
    /// The first copy reads everything, as after a lost history.
    Read,
    /// The first copy takes in what changed.
    Follow,
    /// The second copy takes in what changed in the first one.
    Through,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6_u8).prop_map(Step::Put),
        2 => (0..6_u8).prop_map(Step::Remove),
        1 => Just(Step::Read),
        3 => Just(Step::Follow),
        3 => Just(Step::Through),
    ]
}

/// A store with its whole history.
#[derive(Default)]
struct Store {
    items: std::collections::BTreeMap<String, Item>,
    history: Vec<Change>,
    revision: u64,
}

impl Store {
    fn put(&mut self, key: u8) {
        self.revision += 1;
        let item = Item {
            key: key.to_string(),
            value: self.revision.to_le_bytes().to_vec(),
            revision: self.revision,
        };
        self.items.insert(item.key.clone(), item.clone());
        self.history.push(Change::Put(item));
    }

    fn remove(&mut self, key: u8) {
        let key = key.to_string();
        if self.items.remove(&key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change::Removed { key, revision });
        }
    }

    fn since(&self, after: u64) -> Vec<Change> {
        let new = self.history.iter().filter(|change| change.revision() > after);
        new.cloned().collect()
    }

    fn items(&self) -> Vec<Item> {
        self.items.values().cloned().collect()
    }
}

fn held(mirror: &Mirror) -> Vec<Item> {
    let mut items: Vec<_> = mirror.items().cloned().collect();
    items.sort_by(|a, b| a.key.cmp(&b.key));
    items
}

fn follow_through(first: &Mirror, second: &mut Mirror) {
    match first.changes_since(second.revision()) {
        Some(changes) => {
            second.apply(changes.changes, changes.revision);
        }
        None => {
            second.apply_snapshot(held(first), first.revision());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_copy_of_a_copy_holds_the_same(steps in proptest::collection::vec(step(), 1..80)) {
        let mut store = Store::default();
        store.put(0);
        let (mut first, mut second) = (Mirror::default(), Mirror::default());
        for step in steps.into_iter().chain([Step::Follow, Step::Through]) {
            match step {
                Step::Put(key) => store.put(key),
                Step::Remove(key) => store.remove(key),
                Step::Read => {
                    first.apply_snapshot(store.items(), store.revision);
                }
                Step::Follow if first.revision() == 0 => {
                    first.apply_snapshot(store.items(), store.revision);
                }
                Step::Follow => {
                    first.apply(store.since(first.revision()), store.revision);
                }
                Step::Through => {
                    follow_through(&first, &mut second);
                    prop_assert_eq!(held(&second), held(&first));
                    prop_assert_eq!(second.revision(), first.revision());
                }
            }
        }
        prop_assert_eq!(held(&second), store.items());
    }
}

#[test]
fn removals_that_are_forgotten_ask_for_a_snapshot() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(Vec::new(), 1);
    for revision in (2..4_002).step_by(2) {
        let key = revision.to_string();
        let item = Item {
            key: key.clone(),
            value: Vec::new(),
            revision,
        };
        mirror.apply(vec![Change::Put(item)], revision);
        let revision = revision + 1;
        mirror.apply(vec![Change::Removed { key, revision }], revision);
    }
    assert!(mirror.changes_since(1).is_none());
    assert!(mirror.changes_since(mirror.revision() - 100).is_some());
}
