//! Conversion between the structs of the schema and the types that describe the platform's store.
//!
//! Eras are encoded plus 1, as a VM of an earlier build sends 0.

use indexmap::IndexMap;
use sw_chunk::{ChunkId, Manifest};
use sw_relay::{LeavingEndpoint, StoreState};
use sw_store::{AnnouncedItem, Change, Changes, FollowedEra, Item, Rank, RetainedItem, Snapshot};
use sw_unit::{Digest, Incarnation, Millis, StoreEra, StorePosition, Version};

use super::convert::{decode_age, encode_age, millis};
use super::{LargeValue, NewestVersion, StoreCopy, ValuePlace, WatchOutcome};
use crate::convert::{len, parse, text};
use crate::relay_capnp as wire;

type Result<T> = std::result::Result<T, capnp::Error>;

/// Encodes that the store has not recovered from an outage recently.
const NO_RECENT_RECOVERY: u32 = u32::MAX;
/// Encodes that a state is retained until its key is written.
const UNTIL_WRITTEN: u32 = u32::MAX;
/// Greatest length of a value in bytes that is collected chunk by chunk.
const MAX_VALUE_LEN: u64 = 32 << 20;

pub(super) fn era_code(era: StoreEra) -> u64 {
    era.0.saturating_add(1)
}

/// Decodes an era; `None` if the sender knows no eras.
pub(super) fn era(code: u64) -> Option<StoreEra> {
    code.checked_sub(1).map(StoreEra)
}

pub(super) fn set_store_state(mut to: wire::beat::Builder<'_>, store: StoreState) {
    to.set_revision(store.position.revision);
    to.set_era(era_code(store.position.era));
    to.set_retains(store.retains);
    to.set_knows_placements(store.knows_placements);
    to.set_followed_era(store.followed.era.0);
    to.set_followed_until(store.followed.revision);
}

pub(super) fn store_state(from: wire::beat::Reader<'_>) -> StoreState {
    let era = era(from.get_era());
    StoreState {
        position: StorePosition::new(era.unwrap_or_default(), from.get_revision()),
        retains: from.get_retains(),
        followed: StorePosition::new(StoreEra(from.get_followed_era()), from.get_followed_until()),
        knows_eras: era.is_some(),
        knows_placements: from.get_knows_placements(),
    }
}

pub(super) fn set_store_copy(mut to: wire::relay_peer::snapshot_results::Builder<'_>, copy: &StoreCopy) -> Result<()> {
    let snapshot = &copy.snapshot;
    to.set_revision(snapshot.position.revision);
    to.set_era(era_code(snapshot.position.era));
    let large: IndexMap<_, _> = copy.large.iter().map(|value| (value.place, &value.manifest)).collect();
    let mut items = to.reborrow().init_items(len(&snapshot.items));
    for (i, item) in (0..).zip(&snapshot.items) {
        let mut to = items.reborrow().get(i);
        set_item(to.reborrow(), item);
        if let Some(manifest) = large.get(&ValuePlace::Item(i as usize)) {
            set_manifest(to, manifest);
        }
    }
    let mut retained = to.reborrow().init_retained(len(&snapshot.retained));
    for (i, item) in (0..).zip(&snapshot.retained) {
        let mut to = retained.reborrow().get(i);
        set_retained(to.reborrow(), item);
        if let Some(manifest) = large.get(&ValuePlace::Retained(i as usize)) {
            set_manifest(to.get_item()?, manifest);
        }
    }
    let mut announced = to.reborrow().init_announced(len(&copy.announced));
    for (i, item) in (0..).zip(&copy.announced) {
        set_announced(announced.reborrow().get(i), item);
    }
    let followed: Vec<_> = snapshot.history.followed().collect();
    let mut history = to.reborrow().init_history(len(&followed));
    for (i, followed) in (0..).zip(followed) {
        let mut to = history.reborrow().get(i);
        to.set_era(followed.era.0);
        to.set_after(followed.after);
        to.set_until(followed.until);
    }
    let mut leaving = to.init_leaving(len(&copy.leaving));
    for (i, endpoint) in (0..).zip(&copy.leaving) {
        let mut to = leaving.reborrow().get(i);
        to.set_endpoint(endpoint.id.as_str());
        to.set_incarnation(endpoint.incarnation.0);
    }
    Ok(())
}

/// Decodes a copy of the store; a sender that knows no eras is in the era `assumed`.
pub(super) fn store_copy(from: wire::relay_peer::snapshot_results::Reader<'_>, assumed: StoreEra) -> Result<StoreCopy> {
    let mut large = Vec::new();
    for (index, item) in from.get_items()?.iter().enumerate() {
        large.extend(large_value(ValuePlace::Item(index), item)?);
    }
    for (index, retained) in from.get_retained()?.iter().enumerate() {
        large.extend(large_value(ValuePlace::Retained(index), retained.get_item()?)?);
    }
    let items = from.get_items()?.iter().map(item);
    let retained = from.get_retained()?.iter().map(retained);
    let announced = from.get_announced()?.iter().map(announced);
    let history = from.get_history()?.iter().map(|followed| FollowedEra {
        era: StoreEra(followed.get_era()),
        after: followed.get_after(),
        until: followed.get_until(),
    });
    let leaving = from.get_leaving()?.iter().map(|endpoint| {
        Ok(LeavingEndpoint {
            id: parse(endpoint.get_endpoint())?,
            incarnation: Incarnation(endpoint.get_incarnation()),
        })
    });
    Ok(StoreCopy {
        snapshot: Snapshot {
            position: StorePosition::new(era(from.get_era()).unwrap_or(assumed), from.get_revision()),
            items: items.collect::<Result<_>>()?,
            retained: retained.collect::<Result<_>>()?,
            history: history.collect(),
        },
        large,
        announced: announced.collect::<Result<_>>()?,
        leaving: leaving.collect::<Result<_>>()?,
    })
}

pub(super) fn set_watch_outcome(mut to: wire::relay_peer::watch_results::Builder<'_>, outcome: &WatchOutcome) {
    let (changes, announced, recovered_ago, newest) = match outcome {
        WatchOutcome::NotCurrent => return to.set_watched(wire::Watched::NotCurrent),
        WatchOutcome::HistoryGone => return to.set_watched(wire::Watched::HistoryGone),
        WatchOutcome::Changes {
            changes,
            announced,
            recovered_ago,
            newest,
        } => (changes, announced, recovered_ago, newest),
    };
    to.set_watched(wire::Watched::Changes);
    to.set_revision(changes.position.revision);
    to.set_era(era_code(changes.position.era));
    let returned_ms = recovered_ago.map_or(NO_RECENT_RECOVERY, millis);
    to.set_returned_ms(returned_ms);
    to.set_proof_ms(encode_age(newest.map(|newest| newest.age)));
    if let Some(newest) = newest {
        to.set_proof_version(newest.version.0);
        to.set_held_ms(millis(newest.held_for));
    }
    let mut list = to.init_changes(len(&changes.changes) + len(announced));
    for (i, item) in (len(&changes.changes)..).zip(announced) {
        set_announced(list.reborrow().get(i).init_item(), item);
    }
    for (i, change) in (0..).zip(&changes.changes) {
        let mut to = list.reborrow().get(i);
        match change {
            Change::Put(item) => set_item(to.init_item(), item),
            Change::Removed { key, revision } => {
                to.set_removed(true);
                let mut item = to.init_item();
                item.set_key(key.as_str());
                item.set_revision(*revision);
            }
        }
    }
}

/// Decodes the response of a watcher; one that knows no eras is in the era `assumed`.
pub(super) fn watch_outcome(
    from: wire::relay_peer::watch_results::Reader<'_>,
    assumed: StoreEra,
) -> Result<WatchOutcome> {
    match from.get_watched()? {
        wire::Watched::NotCurrent => return Ok(WatchOutcome::NotCurrent),
        wire::Watched::HistoryGone => return Ok(WatchOutcome::HistoryGone),
        wire::Watched::Changes => {}
    }
    let (mut changes, mut announced_items) = (Vec::new(), Vec::new());
    for change in from.get_changes()? {
        let read = change.get_item()?;
        if read.has_chunks() {
            announced_items.push(announced(read)?);
            continue;
        }
        let item = item(read)?;
        changes.push(if change.get_removed() {
            Change::Removed {
                key: item.key,
                revision: item.revision,
            }
        } else {
            Change::Put(item)
        });
    }
    let returned_ms = from.get_returned_ms();
    let newest = decode_age(from.get_proof_ms()).map(|age| NewestVersion {
        version: Version(from.get_proof_version()),
        age,
        held_for: Millis(u64::from(from.get_held_ms())),
    });
    Ok(WatchOutcome::Changes {
        changes: Changes {
            position: StorePosition::new(era(from.get_era()).unwrap_or(assumed), from.get_revision()),
            changes,
        },
        announced: announced_items,
        recovered_ago: (returned_ms != NO_RECENT_RECOVERY).then(|| Millis(u64::from(returned_ms))),
        newest,
    })
}

fn set_retained(mut to: wire::retained_item::Builder<'_>, retained: &RetainedItem) {
    to.set_removed(retained.value.is_none());
    to.set_era(retained.position.era.0);
    to.set_is_of_era(retained.is_of_era);
    to.set_rank(retained.rank.map_or(0, |rank| rank.0.saturating_add(1)));
    to.set_left_ms(retained.remaining.map_or(UNTIL_WRITTEN, millis));
    let mut item = to.init_item();
    item.set_key(retained.key.as_str());
    item.set_value(retained.value.as_deref().unwrap_or_default());
    item.set_revision(retained.position.revision);
}

fn retained(from: wire::retained_item::Reader<'_>) -> Result<RetainedItem> {
    let item = item(from.get_item()?)?;
    let left_ms = Some(from.get_left_ms()).filter(|left_ms| *left_ms != UNTIL_WRITTEN);
    Ok(RetainedItem {
        key: item.key,
        value: (!from.get_removed()).then_some(item.value),
        position: StorePosition::new(StoreEra(from.get_era()), item.revision),
        is_of_era: from.get_is_of_era(),
        rank: from.get_rank().checked_sub(1).map(Rank),
        remaining: left_ms.map(|left_ms| Millis(u64::from(left_ms))),
    })
}

fn set_item(mut to: wire::item::Builder<'_>, item: &Item) {
    to.set_key(item.key.as_str());
    to.set_value(&item.value);
    to.set_revision(item.revision);
}

fn item(from: wire::item::Reader<'_>) -> Result<Item> {
    Ok(Item {
        key: text(from.get_key())?,
        value: from.get_value()?.to_vec(),
        revision: from.get_revision(),
    })
}

fn set_announced(mut to: wire::item::Builder<'_>, item: &AnnouncedItem) {
    to.set_key(item.key.as_str());
    to.set_revision(item.revision);
    set_manifest(to, &item.manifest);
}

fn announced(from: wire::item::Reader<'_>) -> Result<AnnouncedItem> {
    Ok(AnnouncedItem {
        key: text(from.get_key())?,
        revision: from.get_revision(),
        manifest: manifest(from)?,
    })
}

fn set_manifest(to: wire::item::Builder<'_>, manifest: &Manifest) {
    let mut chunks = to.init_chunks(len(&manifest.0));
    for (i, id) in (0..).zip(&manifest.0) {
        let mut to = chunks.reborrow().get(i);
        to.set_digest(&id.digest.0);
        to.set_length(id.len);
    }
}

fn manifest(from: wire::item::Reader<'_>) -> Result<Manifest> {
    let ids = from.get_chunks()?.iter().map(|chunk| {
        Ok(ChunkId {
            digest: digest(chunk.get_digest()?)?,
            len: chunk.get_length(),
        })
    });
    let manifest = Manifest(ids.collect::<Result<_>>()?);
    if manifest.value_len() > MAX_VALUE_LEN {
        return Err(capnp::Error::failed("the value is too large".to_owned()));
    }
    Ok(manifest)
}

/// Returns the chunks of an item's value; `None` if it is not large.
fn large_value(place: ValuePlace, from: wire::item::Reader<'_>) -> Result<Option<LargeValue>> {
    if !from.has_chunks() {
        return Ok(None);
    }
    let manifest = manifest(from)?;
    Ok(Some(LargeValue { place, manifest }))
}

pub(super) fn digest(bytes: &[u8]) -> Result<Digest> {
    let digest = bytes.try_into().map(Digest);
    digest.map_err(|_other_len| capnp::Error::failed("a digest of 32 bytes is expected".to_owned()))
}
