//! Property test of a mirror that follows a store through another mirror.

use proptest::prelude::*;
use sw_store::{Change, Item, Mirror};

/// A step of the store or of the mirrors that follow it.
#[derive(Debug, Clone)]
enum Step {
    Put(u8),
    Remove(u8),
    /// The first mirror reads a snapshot, as after missing history.
    ReadSnapshot,
    /// The first mirror applies the store's changes.
    FollowStore,
    /// The second mirror applies the first mirror's changes.
    FollowMirror,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6_u8).prop_map(Step::Put),
        2 => (0..6_u8).prop_map(Step::Remove),
        1 => Just(Step::ReadSnapshot),
        3 => Just(Step::FollowStore),
        3 => Just(Step::FollowMirror),
    ]
}

/// A store with its full history.
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

    fn changes_since(&self, after: u64) -> Vec<Change> {
        let changes = self.history.iter().filter(|change| change.revision() > after);
        changes.cloned().collect()
    }

    fn items(&self) -> Vec<Item> {
        self.items.values().cloned().collect()
    }
}

fn sorted_items(mirror: &Mirror) -> Vec<Item> {
    let mut items: Vec<_> = mirror.items().cloned().collect();
    items.sort_by(|a, b| a.key.cmp(&b.key));
    items
}

fn follow_mirror(first: &Mirror, second: &mut Mirror) {
    match first.changes_since(second.revision()) {
        Some(changes) => {
            second.apply(changes.changes, changes.revision);
        }
        None => {
            second.apply_snapshot(sorted_items(first), first.revision());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_mirror_of_a_mirror_has_the_same_items(steps in proptest::collection::vec(step(), 1..80)) {
        let mut store = Store::default();
        store.put(0);
        let (mut first, mut second) = (Mirror::default(), Mirror::default());
        for step in steps.into_iter().chain([Step::FollowStore, Step::FollowMirror]) {
            match step {
                Step::Put(key) => store.put(key),
                Step::Remove(key) => store.remove(key),
                Step::ReadSnapshot => {
                    first.apply_snapshot(store.items(), store.revision);
                }
                Step::FollowStore if first.revision() == 0 => {
                    first.apply_snapshot(store.items(), store.revision);
                }
                Step::FollowStore => {
                    first.apply(store.changes_since(first.revision()), store.revision);
                }
                Step::FollowMirror => {
                    follow_mirror(&first, &mut second);
                    prop_assert_eq!(sorted_items(&second), sorted_items(&first));
                    prop_assert_eq!(second.revision(), first.revision());
                }
            }
        }
        prop_assert_eq!(sorted_items(&second), store.items());
    }
}

#[test]
fn a_snapshot_is_needed_once_removals_are_dropped() {
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

/// DRAIN: a follower of a mirror that had read a snapshot was never told what was removed before that snapshot.
#[test]
fn a_snapshot_does_not_hide_removals_from_followers() {
    let item = Item {
        key: "a".to_owned(),
        value: Vec::new(),
        revision: 2,
    };
    let (mut first, mut second) = (Mirror::default(), Mirror::default());
    first.apply_snapshot(Vec::new(), 1);
    second.apply_snapshot(vec![item], 2);
    // The item is written and removed between the two snapshots of the first mirror.
    first.apply_snapshot(Vec::new(), 3);
    follow_mirror(&first, &mut second);
    assert_eq!(sorted_items(&second), sorted_items(&first));
}
