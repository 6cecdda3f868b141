//! Operators race to publish while answers of the service are lost.
//!
//! The service is a map whose calls may fail before or after they take effect, and which lets other operators go
//! between. The oracle is the map itself: each accepted change is in its history under the version that was told,
//! and each change in the history was told to be accepted or to be unknown.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use futures::future::join_all;
use proptest::prelude::*;
use sw_fuzz::config;
use sw_store::{
    CreateOutcome, Entry, LeaseId, PublishOutcome, Revision, Store, StoreError, Swap, fetch_text, publish,
    read_history_entry, read_root,
};
use sw_unit::{Millis, Version, WallTime};

#[derive(Debug, Clone, Copy)]
enum Fate {
    Fine,
    NotRun,
    AnswerLost,
}

#[derive(Debug, Default)]
struct Data {
    items: HashMap<String, Entry>,
    revision: i64,
    fates: Vec<Fate>,
}

/// A service in memory.
#[derive(Debug, Clone, Default)]
struct Memory {
    data: Arc<Mutex<Data>>,
}

impl Memory {
    /// Lets others go first, then runs a call as its fate will have it.
    async fn call<T>(&self, run: impl FnOnce(&mut Data) -> T) -> Result<T, StoreError> {
        let fate = self.data.lock().unwrap().fates.pop().unwrap_or(Fate::Fine);
        let yields = self.data.lock().unwrap().fates.len() % 3;
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        if matches!(fate, Fate::NotRun) {
            return Err(StoreError::NotRun);
        }
        let answer = run(&mut self.data.lock().unwrap());
        tokio::task::yield_now().await;
        if matches!(fate, Fate::AnswerLost) {
            Err(StoreError::Unknown)
        } else {
            Ok(answer)
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.items.insert(
            key.to_owned(),
            Entry {
                value,
                revision: Revision(self.revision),
            },
        );
    }

    fn create(&mut self, key: &str, value: &[u8]) -> CreateOutcome {
        if let Some(entry) = self.items.get(key) {
            return CreateOutcome::Existing(entry.value.clone());
        }
        self.put(key, value.to_vec());
        CreateOutcome::Created
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.call(|data| data.items.get(key).cloned()).await
    }

    async fn create_all(
        &self,
        pairs: &[(String, Vec<u8>)],
        _: Option<LeaseId>,
    ) -> Result<Vec<CreateOutcome>, StoreError> {
        self.call(|data| pairs.iter().map(|(key, value)| data.create(key, value)).collect())
            .await
    }

    async fn swap(&self, swap: &Swap<'_>) -> Result<bool, StoreError> {
        let run = |data: &mut Data| {
            let found = data.items.get(swap.key).map_or(Revision(0), |entry| entry.revision);
            if found != swap.expected {
                return false;
            }
            swap.puts.iter().for_each(|(key, value)| data.put(key, value.clone()));
            true
        };
        self.call(run).await
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<bool, StoreError> {
        Ok(true)
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }

    async fn grant(&self, _: Millis) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(1))
    }
}

async fn race(fates: Vec<Fate>, operators: usize) {
    let store = Memory::default();
    store.data.lock().unwrap().fates = fates;
    let texts: Vec<_> = (0..operators)
        .map(|operator| format!("[region r{operator}]\n"))
        .collect();
    let authors: Vec<_> = (0..operators).map(|operator| format!("o{operator}")).collect();
    let results = join_all((0..operators).map(async |operator| {
        let (root, _) = read_root(&store).await?;
        let base = root.map_or(Version(0), |root| root.number);
        publish(&store, &texts[operator], base, &authors[operator], WallTime(0)).await
    }))
    .await;
    store.data.lock().unwrap().fates.clear();
    let (root, _) = read_root(&store).await.unwrap();
    let newest = root.as_ref().map_or(0, |root| root.number.0);
    let mut authors_in_history = Vec::new();
    for number in 1..=newest {
        let line = read_history_entry(&store, Version(number))
            .await
            .unwrap()
            .expect("history has no gaps");
        assert_eq!(line.number, Version(number));
        authors_in_history.push(line.author);
    }
    for (operator, result) in results.iter().enumerate() {
        let author = &authors[operator];
        let place = authors_in_history.iter().position(|known| known == author);
        match result {
            Ok(PublishOutcome::Accepted(version)) => assert_eq!(place, Some(version.0 as usize - 1), "{results:?}"),
            Ok(PublishOutcome::Conflict { winner }) => {
                assert_eq!(place, None, "{author} was told that it lost: {results:?}");
                assert_ne!(&winner.author, author);
            }
            Ok(PublishOutcome::Unchanged(_)) => panic!("no two texts are equal"),
            Err(StoreError::Unknown) => {}
            Err(_) => assert_eq!(place, None, "{author} was told that nothing ran: {results:?}"),
        }
    }
    if let Some(root) = root {
        assert_eq!(
            root.author,
            authors_in_history[newest as usize - 1],
            "the root is the newest line"
        );
        fetch_text(&store, &root, "")
            .await
            .expect("the newest version can be read");
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn what_operators_are_told_is_true(
        fates in prop::collection::vec(prop_oneof![3 => Just(Fate::Fine), 1 => Just(Fate::NotRun), 2 => Just(Fate::AnswerLost)], 0..60),
        operators in 1..5_usize,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(race(fates, operators));
    }
}
