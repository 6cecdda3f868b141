//! Property test of a mirror that follows a store through another mirror.

use proptest::prelude::*;
use sw_store::{Change, Changes, Item, ItemRules, Mirror, Rank, Snapshot, Writer};
use sw_unit::{StoreEra, StorePosition, Time};

/// Items without an order of their states.
#[derive(Debug, Clone, Copy, Default)]
struct Unranked;

impl ItemRules for Unranked {
    fn rank(&self, _key: &str, _value: &[u8]) -> Option<Rank> {
        None
    }

    fn writer(&self, _key: &str) -> Writer {
        Writer::Regular
    }
}

fn at(revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(0), revision)
}

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

    fn changes_since(&self, after: u64) -> Changes {
        let changes = self.history.iter().filter(|change| change.revision() > after);
        Changes {
            position: at(self.revision),
            changes: changes.cloned().collect(),
        }
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            position: at(self.revision),
            items: self.items(),
            ..Snapshot::default()
        }
    }

    fn items(&self) -> Vec<Item> {
        self.items.values().cloned().collect()
    }
}

fn sorted_items(mirror: &Mirror<Unranked>) -> Vec<Item> {
    let mut items: Vec<_> = mirror.items().collect();
    items.sort_by(|a, b| a.key.cmp(&b.key));
    items
}

fn follow_mirror(first: &Mirror<Unranked>, second: &mut Mirror<Unranked>) {
    match first.changes_since(second.position()) {
        Some(changes) => second.apply(changes),
        None => second.apply_snapshot(first.snapshot(Time(0)), Time(0)),
    };
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_mirror_of_a_mirror_has_the_same_items(steps in proptest::collection::vec(step(), 1..80)) {
        let mut store = Store::default();
        store.put(0);
        let (mut first, mut second) = (Mirror::new(Unranked), Mirror::new(Unranked));
        for step in steps.into_iter().chain([Step::FollowStore, Step::FollowMirror]) {
            match step {
                Step::Put(key) => store.put(key),
                Step::Remove(key) => store.remove(key),
                Step::ReadSnapshot => {
                    first.apply_snapshot(store.snapshot(), Time(0));
                }
                Step::FollowStore if first.is_empty() => {
                    first.apply_snapshot(store.snapshot(), Time(0));
                }
                Step::FollowStore => {
                    first.apply(store.changes_since(first.position().revision));
                }
                Step::FollowMirror => {
                    follow_mirror(&first, &mut second);
                    prop_assert_eq!(sorted_items(&second), sorted_items(&first));
                    prop_assert_eq!(second.position(), first.position());
                }
            }
        }
        prop_assert_eq!(sorted_items(&second), store.items());
    }
}

#[test]
fn a_snapshot_is_needed_once_removals_are_dropped() {
    let mut mirror = Mirror::new(Unranked);
    let empty = Snapshot {
        position: at(1),
        ..Snapshot::default()
    };
    mirror.apply_snapshot(empty, Time(0));
    let mut apply = |change: Change| {
        let position = at(change.revision());
        mirror.apply(Changes {
            position,
            changes: vec![change],
        });
    };
    for revision in (2..4_002).step_by(2) {
        let key = revision.to_string();
        let item = Item {
            key: key.clone(),
            value: Vec::new(),
            revision,
        };
        apply(Change::Put(item));
        let revision = revision + 1;
        apply(Change::Removed { key, revision });
    }
    assert!(mirror.changes_since(at(1)).is_none());
    assert!(mirror.changes_since(at(mirror.position().revision - 100)).is_some());
}

/// DRAIN: a follower of a mirror that had read a snapshot was never told what was removed before that snapshot.
#[test]
fn a_snapshot_does_not_hide_removals_from_followers() {
    let item = Item {
        key: "a".to_owned(),
        value: Vec::new(),
        revision: 2,
    };
    let apply = |mirror: &mut Mirror<Unranked>, revision, items| {
        let snapshot = Snapshot {
            position: at(revision),
            items,
            ..Snapshot::default()
        };
        mirror.apply_snapshot(snapshot, Time(0));
    };
    let (mut first, mut second) = (Mirror::new(Unranked), Mirror::new(Unranked));
    apply(&mut first, 1, Vec::new());
    apply(&mut second, 2, vec![item]);
    // The item is written and removed between the two snapshots of the first mirror.
    apply(&mut first, 3, Vec::new());
    follow_mirror(&first, &mut second);
    assert_eq!(sorted_items(&second), sorted_items(&first));
}
