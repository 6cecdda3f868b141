//! Property test of mirrors that follow a store which is restored from older copies of itself.

mod restored_store;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use restored_store::{Key, RestoredStore, TestRules, incarnation, serial};
use sw_store::{Applied, Change, Changes, Item, Mirror, Snapshot};
use sw_unit::{Millis, StoreEra, StorePosition, Time};

/// Time after which no state is retained unless it has a higher rank.
const ALL_GRACE: Millis = Millis(6_000);
/// Time for which a state is retained at least, whoever writes it.
const LEAST_GRACE: Millis = Millis(2_300);
const MIRRORS: usize = 4;
/// The last mirror joins late and starts from a snapshot of another.
const LATE: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// A writer writes the next state of a key.
    Write(Key),
    /// The writer of an endpoint's registration restarts.
    Restart(Key),
    Remove(Key),
    /// A copy of the store is made.
    Copy,
    /// The store returns from the copy.
    Restore,
    /// A writer writes the state again that the store has lost.
    Rewrite(Key),
    /// A mirror reads all items of the store.
    Read(usize),
    /// A mirror asks the store for changes.
    Watch(usize),
    /// A mirror asks another one for changes, or copies its snapshot.
    Follow(usize, usize),
    Wait(Millis),
}

fn key() -> impl Strategy<Value = Key> {
    prop_oneof![
        2 => Just(Key::Config),
        4 => (0..3_u8).prop_map(Key::Endpoint),
        2 => (0..2_u8).prop_map(Key::Evacuation),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => key().prop_map(Step::Write),
        1 => key().prop_map(Step::Restart),
        2 => key().prop_map(Step::Remove),
        2 => Just(Step::Copy),
        2 => Just(Step::Restore),
        5 => key().prop_map(Step::Rewrite),
        1 => (0..LATE).prop_map(Step::Read),
        6 => (0..LATE).prop_map(Step::Watch),
        4 => (0..MIRRORS, 0..MIRRORS).prop_map(|(from, to)| Step::Follow(from, to)),
        3 => (50..1_500_u64).prop_map(|ms| Step::Wait(Millis(ms))),
    ]
}

type Serials = BTreeMap<Key, u64>;

/// A mirror, and what it has been shown.
#[derive(Default)]
struct Follower {
    mirror: Mirror<TestRules>,
    /// Serial number of the latest write or removal of each key that it was certainly shown.
    shown: Serials,
    /// Keys whose grace period was over once.
    expired: BTreeSet<Key>,
    /// Latest incarnation of each key's writer that it was shown.
    incarnations: BTreeMap<Key, u64>,
    /// When it last changed its era.
    restored_at: Time,
}

impl Follower {
    fn era(&self) -> StoreEra {
        self.mirror.position().era
    }

    fn config_version(&self) -> u64 {
        let config = self.mirror.items().find(|item| item.key == Key::Config.name());
        config.map_or(0, |item| serial(&item))
    }

    fn state(&self, key: Key) -> Option<Item> {
        self.mirror.items().find(|item| item.key == key.name())
    }

    /// Applies a snapshot of a source that has shown the states `serials`.
    fn read_all(&mut self, snapshot: Snapshot, serials: &Serials, now: Time) {
        let before = self.era();
        let applied = self.mirror.apply_snapshot(snapshot, now);
        if self.era() != before {
            self.restored_at = now;
        }
        // A state that a restored store shows first may be an old one, and that it lacks an item proves nothing.
        self.on_incarnations(&applied);
        if self.era() == StoreEra::default() {
            self.on_applied(&applied, |key| serials.get(&key).copied());
        }
    }

    /// Accepts new incarnations, which are usable at once.
    fn on_incarnations(&mut self, applied: &Applied) {
        let Applied::New(changes) = applied else {
            return;
        };
        for change in changes {
            if let Change::Put(item) = change {
                let key = Key::parse(&item.key);
                let known = self.incarnations.entry(key).or_default();
                if incarnation(item) > *known {
                    *known = incarnation(item);
                    self.shown.remove(&key);
                }
            }
        }
    }

    /// Asks the store for changes as a watcher does.
    fn watch(&mut self, store: &RestoredStore, now: Time) {
        let position = self.mirror.position();
        let changes = store.changes(position.revision).filter(|_| !self.mirror.is_empty());
        let applied = changes.clone().map(|changes| self.mirror.apply(changes));
        let serials = store.serials();
        let Some(applied @ Applied::New(_)) = applied else {
            return self.read_all(store.snapshot(), &serials, now);
        };
        self.on_applied(&applied, |key| serials.get(&key).copied());
        for change in changes.expect("applied").changes {
            let key = Key::parse(change.key());
            let state = self.state(key).map_or(serials[&key], |item| serial(&item));
            assert!(state >= serials[&key], "a change of {key:?} was missed");
        }
    }

    fn follow(&mut self, other: &mut Self, now: Time) {
        if other.mirror.is_empty() || other.era() < self.era() {
            return;
        }
        let changes = other.mirror.changes_since(self.mirror.position());
        if let Some(changes) = changes.filter(|_| !self.mirror.is_empty()) {
            let applied = self.mirror.apply(changes);
            self.on_applied(&applied, |key| other.shown.get(&key).copied());
        } else {
            let before = self.era();
            self.read_all(other.mirror.snapshot(now), &other.shown, now);
            if self.era() != before {
                // What the other mirror retains, it retains since its own restore; other grace periods may be over.
                self.restored_at = other.restored_at;
                self.accept(&other.expired);
            }
        }
    }

    /// Accepts the states of the store whose writers did not write again in time.
    fn expire(&mut self, now: Time) {
        let changes = self.mirror.expire(now);
        self.accept(&changes.iter().map(|change| Key::parse(change.key())).collect());
    }

    fn accept(&mut self, keys: &BTreeSet<Key>) {
        self.shown.retain(|key, _| !keys.contains(key));
        self.expired.extend(keys);
    }

    fn on_applied(&mut self, applied: &Applied, removed: impl Fn(Key) -> Option<u64>) {
        self.on_incarnations(applied);
        let Applied::New(changes) = applied else {
            return;
        };
        for change in changes {
            let key = Key::parse(change.key());
            let shown = match change {
                Change::Put(item) => Some(serial(item)),
                Change::Removed { .. } => removed(key),
            };
            let known = self.shown.entry(key).or_default();
            *known = shown.unwrap_or_default().max(*known);
        }
    }
}

/// Checks that no state is older than one that the mirror was shown, unless its grace period is over.
fn check(follower: &Follower, config_version: u64, now: Time) -> Result<(), TestCaseError> {
    prop_assert!(
        follower.config_version() >= config_version,
        "the configuration went back"
    );
    for item in follower.mirror.items() {
        let key = Key::parse(&item.key);
        let shown = follower.shown.get(&key).copied().unwrap_or_default();
        let in_grace = now.since(follower.restored_at) < LEAST_GRACE;
        prop_assert!(
            serial(&item) >= shown || !in_grace,
            "{key:?} went back to {} from {shown}",
            serial(&item)
        );
    }
    Ok(())
}

fn sorted(items: impl Iterator<Item = Item>) -> Vec<(String, Vec<u8>)> {
    let mut items: Vec<_> = items.map(|item| (item.key, item.value)).collect();
    items.sort();
    items
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// CONFIG, DRAIN: after the store was restored from an older copy, mirrors went back to older states, ignored what
    /// was written again, or took what was removed for present.
    #[test]
    fn mirrors_survive_restores_of_the_store(steps in proptest::collection::vec(step(), 1..120)) {
        let mut store = RestoredStore::default();
        let mut followers: [Follower; MIRRORS] = Default::default();
        let mut now = Time(1_000);
        for step in steps {
            let versions = followers.each_ref().map(Follower::config_version);
            match step {
                Step::Write(key) => store.write(key),
                Step::Restart(key) => store.restart(key),
                Step::Remove(key) => store.remove(key),
                Step::Copy => store.copy(),
                Step::Restore => store.restore(),
                Step::Rewrite(key) => store.rewrite(key),
                Step::Read(index) => followers[index].read_all(store.snapshot(), &store.serials(), now),
                Step::Watch(index) => followers[index].watch(&store, now),
                Step::Follow(from, to) if from != to => {
                    let mut other = std::mem::take(&mut followers[from]);
                    followers[to].follow(&mut other, now);
                    followers[from] = other;
                }
                Step::Follow(..) => {}
                Step::Wait(time) => now = now + time,
            }
            for (follower, version) in followers.iter_mut().zip(versions) {
                follower.expire(now);
                check(follower, version, now)?;
            }
        }
        store.rewrite_all();
        for follower in &mut followers {
            follower.watch(&store, now);
            follower.mirror.expire(now + ALL_GRACE);
            prop_assert_eq!(sorted(follower.mirror.items()), sorted(store.items()));
        }
    }

    /// A VM that starts after the restore knows nothing of its own; the snapshot of another VM gives it what that one retains.
    #[test]
    fn a_mirror_that_starts_late_gets_what_others_retain(keys in proptest::collection::vec(key(), 1..12)) {
        let mut store = RestoredStore::default();
        let [mut watcher, mut late]: [Follower; 2] = Default::default();
        store.copy();
        for key in keys {
            store.write(key);
        }
        watcher.watch(&store, Time(0));
        store.restore();
        watcher.watch(&store, Time(0));
        late.read_all(store.snapshot(), &store.serials(), Time(0));
        late.read_all(watcher.mirror.snapshot(Time(0)), &watcher.shown, Time(0));
        prop_assert_eq!(sorted(late.mirror.items()), sorted(watcher.mirror.items()));
    }
}

fn put(key: &str, value: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        revision,
    }
}

fn snapshot(era: u64, revision: u64, items: Vec<Item>) -> Snapshot {
    Snapshot {
        position: StorePosition::new(StoreEra(era), revision),
        items,
        ..Snapshot::default()
    }
}

/// A revision that the restored store gave out again for another value was taken for already seen.
#[test]
fn a_revision_given_out_again_is_not_taken_for_seen() {
    let mut mirror = Mirror::new(TestRules);
    mirror.apply_snapshot(snapshot(1, 5, vec![put("evacuate/0", "1", 5)]), Time(0));
    let applied = mirror.apply_snapshot(snapshot(2, 5, vec![put("evacuate/0", "2", 5)]), Time(0));
    assert_eq!(applied, Applied::New(vec![Change::Put(put("evacuate/0", "2", 5))]));
}

/// A watch from a revision of the earlier era succeeded once the store had given it out again, and changes were lost.
#[test]
fn changes_of_a_later_era_are_not_applied_without_a_snapshot() {
    let mut mirror = Mirror::new(TestRules);
    mirror.apply_snapshot(snapshot(1, 5, Vec::new()), Time(0));
    let changes = sw_store::Changes {
        position: StorePosition::new(StoreEra(2), 9),
        changes: vec![Change::Put(put("evacuate/0", "1", 9))],
    };
    assert_eq!(mirror.apply(changes), Applied::NewerEra);
    assert_eq!(mirror.position(), StorePosition::new(StoreEra(1), 5));
}

/// A response of the earlier era that arrives late undid what the later era brought.
#[test]
fn a_late_response_of_an_earlier_era_changes_nothing() {
    let mut mirror = Mirror::new(TestRules);
    mirror.apply_snapshot(snapshot(2, 5, vec![put("evacuate/0", "1", 5)]), Time(0));
    assert_eq!(
        mirror.apply_snapshot(snapshot(1, 90, Vec::new()), Time(0)),
        Applied::OlderEra
    );
    assert_eq!(mirror.items().count(), 1);
}

/// A VM that starts after a restore misses the newest configuration that the others retain, because the operator has written
/// an older one again in the meantime.
#[test]
fn a_retained_state_of_higher_rank_counts_beside_a_later_write() {
    let mut watcher = Mirror::new(TestRules);
    watcher.apply_snapshot(snapshot(1, 100, vec![put("config", "7", 100)]), Time(0));
    watcher.apply_snapshot(snapshot(2, 80, vec![put("config", "5", 60)]), Time(0));
    let write = || Changes {
        position: StorePosition::new(StoreEra(2), 90),
        changes: vec![Change::Put(put("config", "6", 90))],
    };
    watcher.apply(write());
    let mut started = Mirror::new(TestRules);
    started.apply_snapshot(snapshot(2, 80, vec![put("config", "5", 60)]), Time(0));
    started.apply(write());
    started.apply_snapshot(watcher.snapshot(Time(0)), Time(0));
    let shown = |mirror: &Mirror<TestRules>| mirror.items().map(|item| item.value).collect::<Vec<_>>();
    assert_eq!(shown(&watcher), vec![b"7".to_vec()]);
    assert_eq!(shown(&started), shown(&watcher));
    assert_eq!(started.followed(), watcher.followed());
}
