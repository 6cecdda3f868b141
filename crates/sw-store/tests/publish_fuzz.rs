//! Fuzz test of concurrent publishing while responses of the service are lost.
//!
//! The service is a map whose calls may fail before or after they take effect, and which interleaves the calls of
//! several operators. The oracle is the map itself: each change reported as accepted is in the history under the reported
//! version, and each change in the history was reported as accepted or as unknown.

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
enum CallFault {
    None,
    NotRun,
    ResponseLost,
}

#[derive(Debug, Default)]
struct Data {
    items: HashMap<String, Entry>,
    revision: i64,
    faults: Vec<CallFault>,
}

/// An in-memory store.
#[derive(Debug, Clone, Default)]
struct MemoryStore {
    data: Arc<Mutex<Data>>,
}

impl MemoryStore {
    /// Yields to other operators, then runs a call with its fault.
    async fn call<T>(&self, run: impl FnOnce(&mut Data) -> T) -> Result<T, StoreError> {
        let fault = self.data.lock().unwrap().faults.pop().unwrap_or(CallFault::None);
        let yields = self.data.lock().unwrap().faults.len() % 3;
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        if matches!(fault, CallFault::NotRun) {
            return Err(StoreError::NotRun);
        }
        let response = run(&mut self.data.lock().unwrap());
        tokio::task::yield_now().await;
        if matches!(fault, CallFault::ResponseLost) {
            Err(StoreError::Unknown)
        } else {
            Ok(response)
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

impl Store for MemoryStore {
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
            let actual = data.items.get(swap.key).map_or(Revision(0), |entry| entry.revision);
            if actual != swap.expected {
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

async fn race(faults: Vec<CallFault>, operators: usize) {
    let store = MemoryStore::default();
    store.data.lock().unwrap().faults = faults;
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
    store.data.lock().unwrap().faults.clear();
    let (root, _) = read_root(&store).await.unwrap();
    let newest = root.as_ref().map_or(0, |root| root.number.0);
    let mut authors_in_history = Vec::new();
    for number in 1..=newest {
        let entry = read_history_entry(&store, Version(number))
            .await
            .unwrap()
            .expect("history has no gaps");
        assert_eq!(entry.number, Version(number));
        authors_in_history.push(entry.author);
    }
    for (operator, result) in results.iter().enumerate() {
        let author = &authors[operator];
        let position = authors_in_history.iter().position(|known| known == author);
        match result {
            Ok(PublishOutcome::Accepted(version)) => assert_eq!(position, Some(version.0 as usize - 1), "{results:?}"),
            Ok(PublishOutcome::Conflict { winner }) => {
                assert_eq!(
                    position, None,
                    "{author} got a conflict but is in the history: {results:?}"
                );
                assert_ne!(&winner.author, author);
            }
            Ok(PublishOutcome::Unchanged(_)) => panic!("no two texts are equal"),
            Err(StoreError::Unknown) => {}
            Err(_) => assert_eq!(
                position, None,
                "{author} got an error without effect but is in the history: {results:?}"
            ),
        }
    }
    if let Some(root) = root {
        assert_eq!(
            root.author,
            authors_in_history[newest as usize - 1],
            "the root is the newest history entry"
        );
        fetch_text(&store, &root, "")
            .await
            .expect("the newest version can be read");
    }
}

/// A change failed with an unknown outcome, and nothing was written, if two responses to the same chunk were lost.
#[tokio::test]
async fn a_change_is_accepted_although_two_responses_to_its_chunk_are_lost() {
    let store = MemoryStore::default();
    // The last one is of the first call, which reads the root.
    store.data.lock().unwrap().faults = vec![CallFault::ResponseLost, CallFault::ResponseLost, CallFault::None];
    let outcome = publish(&store, "[region r0]\n", Version(0), "o0", WallTime(0)).await;
    assert_eq!(outcome, Ok(PublishOutcome::Accepted(Version(1))));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn reported_outcomes_match_the_history(
        faults in prop::collection::vec(prop_oneof![3 => Just(CallFault::None), 1 => Just(CallFault::NotRun), 2 => Just(CallFault::ResponseLost)], 0..60),
        operators in 1..5_usize,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(race(faults, operators));
    }
}
