//! Application of the records of the store.

use std::sync::Arc;

use sw_unit::{DomainId, EndpointId, Time};

use crate::{EndpointEntry, Relay, Replication, RouteTable, StoreRecord};

impl Relay {
    /// Applies a record of the store, and returns whether it changed anything.
    ///
    /// A configuration that is not newer than the current one is ignored.
    pub fn apply(&mut self, record: StoreRecord, now: Time) -> bool {
        match record {
            StoreRecord::Table(table) => self.apply_table(table, now),
            StoreRecord::Endpoint(_, Some(entry)) => self.apply_endpoint(entry, now),
            StoreRecord::Endpoint(id, None) => self.remove_endpoint(&id, now),
            // The endpoint may still run, so this is neither its end nor a lapse during an outage of the store.
            StoreRecord::Malformed { endpoint: Some(id), .. } => {
                self.record_version_until(&id, now);
                self.registry.on_registration_malformed(&id)
            }
            StoreRecord::Evacuated(domain, on) => self.apply_evacuation(&domain, on, now),
            StoreRecord::Software(services) => {
                self.versions.on_recorded(services, now);
                true
            }
            StoreRecord::Placements(records) => {
                self.placements.on_recorded(records, now);
                true
            }
            StoreRecord::Origins(origins) => {
                for origin in origins {
                    self.record_origin(origin, Replication::Written, now);
                }
                true
            }
            StoreRecord::Malformed { endpoint: None, .. } | StoreRecord::Other => false,
        }
    }

    fn apply_table(&mut self, table: Arc<RouteTable>, now: Time) -> bool {
        let is_newer = self.table.as_ref().is_none_or(|known| known.version < table.version);
        if is_newer {
            self.members.set_version(table.version);
            let is_first = self.table.replace(table).is_none();
            self.on_version_applied(is_first, now);
        }
        is_newer
    }

    fn apply_endpoint(&mut self, entry: EndpointEntry, now: Time) -> bool {
        let known = self.registry.get(&entry.id);
        let restarted = known.is_some_and(|known| known.entry.incarnation < entry.incarnation);
        let has_moved = known.is_none_or(|known| restarted || known.entry.address != entry.address);
        if restarted && let Some(load) = self.loads.get_mut(&entry.id) {
            load.cache.clear();
            load.on_success();
        }
        if restarted {
            self.cache_directory.remove_endpoint(&entry.id);
            self.on_registered_incarnation_ended(&entry.id, now);
            self.cold_suspects.remove(&entry.id);
        }
        self.record_version_until(&entry.id, now);
        self.versions.record(&entry, now);
        let id = entry.id.clone();
        self.compare_cold_time(&entry, now);
        let changed = self.registry.apply(entry, now);
        if has_moved && let Some(known) = self.registry.get(&id) {
            let entry = known.entry.clone();
            self.reset_path(&entry, now);
        }
        changed
    }

    fn apply_evacuation(&mut self, domain: &DomainId, on: bool, now: Time) -> bool {
        let changed = self.registry.set_evacuated(domain.clone(), on);
        if changed && !on {
            self.suspect_domain_cold(domain, now);
        }
        changed
    }

    fn remove_endpoint(&mut self, id: &EndpointId, now: Time) -> bool {
        self.on_registered_incarnation_ended(id, now);
        self.record_version_until(id, now);
        self.registry.on_registration_removed(id, now)
    }

    fn on_registered_incarnation_ended(&mut self, id: &EndpointId, now: Time) {
        if let Some(known) = self.registry.get(id) {
            let incarnation = known.entry.incarnation;
            self.on_endpoint_ended(id, incarnation, now);
        }
    }
}
