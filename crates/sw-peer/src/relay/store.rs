//! Conversion between the structs of the schema and the types that describe the platform's store.
//!
//! Eras are encoded plus 1, as a VM of an earlier build sends 0.

use sw_relay::{LeavingEndpoint, StoreState};
use sw_store::{Change, Changes, FollowedEra, Item, Rank, RetainedItem, Snapshot};
use sw_unit::{Incarnation, Millis, StoreEra, StorePosition};

use super::convert::millis;
use super::{StoreCopy, WatchOutcome};
use crate::convert::{len, parse, text};
use crate::relay_capnp as wire;

type Result<T> = std::result::Result<T, capnp::Error>;

/// Encodes that the store has not recovered from an outage recently.
const NO_RECENT_RECOVERY: u32 = u32::MAX;
/// Encodes that a state is retained until its key is written.
const UNTIL_WRITTEN: u32 = u32::MAX;

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

pub(super) fn set_store_copy(mut to: wire::relay_peer::snapshot_results::Builder<'_>, copy: &StoreCopy) {
    let snapshot = &copy.snapshot;
    to.set_revision(snapshot.position.revision);
    to.set_era(era_code(snapshot.position.era));
    let mut items = to.reborrow().init_items(len(&snapshot.items));
    for (i, item) in (0..).zip(&snapshot.items) {
        set_item(items.reborrow().get(i), item);
    }
    let mut retained = to.reborrow().init_retained(len(&snapshot.retained));
    for (i, item) in (0..).zip(&snapshot.retained) {
        set_retained(retained.reborrow().get(i), item);
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
}

/// Decodes a copy of the store; a sender that knows no eras is in the era `assumed`.
pub(super) fn store_copy(from: wire::relay_peer::snapshot_results::Reader<'_>, assumed: StoreEra) -> Result<StoreCopy> {
    let items = from.get_items()?.iter().map(item);
    let retained = from.get_retained()?.iter().map(retained);
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
        leaving: leaving.collect::<Result<_>>()?,
    })
}

pub(super) fn set_watch_outcome(mut to: wire::relay_peer::watch_results::Builder<'_>, outcome: &WatchOutcome) {
    let (changes, recovered_ago) = match outcome {
        WatchOutcome::NotCurrent => return to.set_watched(wire::Watched::NotCurrent),
        WatchOutcome::HistoryGone => return to.set_watched(wire::Watched::HistoryGone),
        WatchOutcome::Changes { changes, recovered_ago } => (changes, recovered_ago),
    };
    to.set_watched(wire::Watched::Changes);
    to.set_revision(changes.position.revision);
    to.set_era(era_code(changes.position.era));
    let returned_ms = recovered_ago.map_or(NO_RECENT_RECOVERY, millis);
    to.set_returned_ms(returned_ms);
    let mut list = to.init_changes(len(&changes.changes));
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
    let changes = from.get_changes()?.iter().map(|change| {
        let item = item(change.get_item()?)?;
        Ok(if change.get_removed() {
            Change::Removed {
                key: item.key,
                revision: item.revision,
            }
        } else {
            Change::Put(item)
        })
    });
    let returned_ms = from.get_returned_ms();
    Ok(WatchOutcome::Changes {
        changes: Changes {
            position: StorePosition::new(era(from.get_era()).unwrap_or(assumed), from.get_revision()),
            changes: changes.collect::<Result<_>>()?,
        },
        recovered_ago: (returned_ms != NO_RECENT_RECOVERY).then(|| Millis(u64::from(returned_ms))),
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
