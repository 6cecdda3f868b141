//! Applies store records to the routing state.

use metrics::gauge;
use spdlog::prelude::*;
use sw_relay::{StoreRecord, StoreState};
use sw_store::Change;

use crate::state::ProxyState;
use crate::{Dialect, health, persist, restore, telemetry};

/// Where changes of items came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Source {
    /// The store.
    Store,
    /// The watcher through which this VM follows the store.
    Watcher,
    /// The snapshot of another VM.
    Neighbour,
    /// The end of a grace period after the store was restored.
    GracePeriod,
}

/// Applies changes of the store that were received from `source`.
pub(crate) fn apply<D: Dialect, F>(state: &ProxyState<D, F>, changes: &[Change], source: Source) {
    let position = state.mirror.borrow().position();
    let (revision, now) = (position.revision, state.now());
    for change in changes {
        let (key, value) = match change {
            Change::Put(item) => (&item.key, Some(item.value.as_slice())),
            Change::Removed { key, .. } => (key, None),
        };
        let record = persist::decode(key, value).unwrap_or_else(|| state.dialect.decode_record(key, value));
        match &record {
            StoreRecord::Malformed { reason, .. } if value.is_some() => log_malformed(state, key, reason, revision),
            _ => state.malformed.borrow_mut().clear(key),
        }
        if matches!(record, StoreRecord::Table(_)) {
            state.malformed.borrow_mut().on_configuration(key);
        }
        apply_record(state, record, source, revision);
    }
    state.store_changed.notify_waiters();
    restore::log_settled(state);
    let (retained, followed) = {
        let mirror = state.mirror.borrow();
        (mirror.retained_len(), mirror.followed())
    };
    gauge!("shallotwing_store_era").set(position.era.0 as f64);
    gauge!("shallotwing_store_retained_items").set(retained as f64);
    let mut relay = state.relay.borrow_mut();
    relay.set_store_state(StoreState {
        position,
        retains: retained > 0,
        followed,
        knows_eras: true,
        knows_placements: true,
    });
    if source != Source::GracePeriod {
        relay.on_registrations_confirmed(now);
    }
    for endpoint in relay.tick(now) {
        let endpoint = endpoint.as_str();
        info!("endpoint_gone", kv: { endpoint, revision });
    }
    drop(relay);
    health::wake(state);
}

fn log_malformed<D, F>(state: &ProxyState<D, F>, key: &str, reason: &str, revision: u64) {
    if state.malformed.borrow_mut().record(key, reason) {
        warn!("store_item_unreadable", kv: { key, revision, reason });
    }
}

fn apply_record<D, F>(state: &ProxyState<D, F>, record: StoreRecord, source: Source, revision: u64) {
    let now = state.now();
    let description = describe(&record);
    let (version, behind_for) = {
        let relay = state.relay.borrow();
        (relay.version(), relay.behind_for(now))
    };
    if state.relay.borrow_mut().apply(record, now)
        && let Some((what, id, status)) = description
    {
        let (id, status, source): (_, _, &'static str) = (id.as_str(), status.as_str(), source.into());
        info!("learned", kv: { what, id, state = status, source, revision });
    }
    let in_force = state.relay.borrow().version();
    if let Some(behind_for) = behind_for.filter(|_| in_force > version) {
        telemetry::log_version_lag(in_force, behind_for);
    }
}

/// Returns the kind, id and state of a record for the log.
fn describe(record: &StoreRecord) -> Option<(&'static str, String, String)> {
    match record {
        StoreRecord::Table(table) => {
            let routes = format!("{} routes", table.routes().count());
            Some(("configuration", table.version.to_string(), routes))
        }
        StoreRecord::Endpoint(id, Some(entry)) => {
            let state = if entry.leaving { "leaving" } else { "ready" };
            let state = format!("{state}, cold for {} ms", entry.cold_for);
            Some(("endpoint", id.to_string(), state))
        }
        StoreRecord::Endpoint(id, None) | StoreRecord::Malformed { endpoint: Some(id), .. } => {
            Some(("endpoint", id.to_string(), "gone".to_owned()))
        }
        StoreRecord::Evacuated(domain, on) => {
            let state = if *on { "evacuated" } else { "open" };
            Some(("failure_domain", domain.to_string(), state.to_owned()))
        }
        StoreRecord::Software(services) => {
            let versions = services.iter().map(|record| record.versions.len()).max();
            let state = format!("{} at most", versions.unwrap_or_default());
            Some(("software_versions", String::new(), state))
        }
        StoreRecord::Placements(services) => {
            let placements = services.iter().map(|record| record.placements.len()).max();
            let state = format!("{} at most", placements.unwrap_or_default());
            Some(("placements", String::new(), state))
        }
        StoreRecord::Origins(_) | StoreRecord::Malformed { endpoint: None, .. } | StoreRecord::Other => None,
    }
}
