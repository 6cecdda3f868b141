//! Large values in what VMs tell each other: taken out by the sender, put back by the receiver.

use std::net::SocketAddr;

use sw_peer::relay::{LargeValue, ValuePlace};
use sw_store::{AnnouncedItem, Change, Changes, Snapshot};

use super::collection::collect;
use crate::state::ProxyState;

/// Length in bytes from which on a value is collected chunk by chunk.
const LARGE_VALUE_LEN: usize = 16 << 10;

/// Returns whether a value is collected chunk by chunk.
pub(super) fn is_large(value: &[u8]) -> bool {
    value.len() >= LARGE_VALUE_LEN
}

/// Takes the large values out of changes; returns them by their chunks.
pub(crate) fn take_large<D, F>(state: &ProxyState<D, F>, changes: &mut Changes) -> Vec<AnnouncedItem> {
    let mut chunks = state.chunks.borrow_mut();
    let is_large = |change: &mut Change| matches!(change, Change::Put(item) if is_large(&item.value));
    let large = changes.changes.extract_if(.., is_large);
    let announced = large.filter_map(|change| match change {
        Change::Put(item) => Some(AnnouncedItem {
            manifest: chunks.add_value(&item.key, &item.value),
            key: item.key,
            revision: item.revision,
        }),
        Change::Removed { .. } => None,
    });
    announced.collect()
}

/// Takes the large values out of a snapshot; returns them by their chunks.
pub(crate) fn take_large_of_snapshot<D, F>(state: &ProxyState<D, F>, snapshot: &mut Snapshot) -> Vec<LargeValue> {
    let mut chunks = state.chunks.borrow_mut();
    let items = (0..).zip(&mut snapshot.items);
    let items = items.map(|(i, item)| (ValuePlace::Item(i), &item.key, &mut item.value));
    let retained = (0..).zip(&mut snapshot.retained).filter_map(|(i, entry)| {
        let value = entry.value.as_mut()?;
        Some((ValuePlace::Retained(i), &entry.key, value))
    });
    let large = items.chain(retained).filter(|(_, _, value)| is_large(value));
    let large = large.map(|(place, key, value)| {
        let manifest = chunks.add_value(key, value);
        value.clear();
        LargeValue { place, manifest }
    });
    large.collect()
}

/// Collects the large values of another VM's snapshot, and returns whether all are there.
pub(crate) async fn fill_snapshot<D, F>(
    state: &ProxyState<D, F>,
    snapshot: &mut Snapshot,
    large: Vec<LargeValue>,
    from: SocketAddr,
) -> bool {
    for value in large {
        let (key, to) = match value.place {
            ValuePlace::Item(i) => (snapshot.items[i].key.clone(), &mut snapshot.items[i].value),
            ValuePlace::Retained(i) => {
                let entry = &mut snapshot.retained[i];
                (entry.key.clone(), entry.value.get_or_insert_default())
            }
        };
        let Some(collected) = collect(state, &key, &value.manifest, Some(from)).await else {
            return false;
        };
        *to = collected;
    }
    true
}
