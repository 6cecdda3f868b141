//! Periodic update of the state of a VM.

use sw_unit::{EndpointId, Time};

use crate::Relay;

/// Factor by which the count of recent requests decays at each tick.
const TRAFFIC_DECAY: f64 = 0.97;

impl Relay {
    /// Expires outdated state, recomputes the coordinators, and returns the endpoints that were removed.
    pub fn tick(&mut self, now: Time) -> Vec<EndpointId> {
        self.members.prune(now);
        self.pauses.tick(now);
        self.decay_traffic();
        self.cache_directory.prune(now);
        self.record_versions(now);
        let expired = self.registry.expire(now);
        self.update_quarantine(now);
        self.origins.prune(now);
        self.prune_peer_state();
        self.prune_paths(now);
        self.assign_coordinators(now);
        self.update_region_plan(now);
        self.update_isolation(now);
        self.failed_watchers.retain(|_, failed| failed.until > now);
        self.prune_limits(now);
        self.update_brittle_services();
        self.prune_rooms();
        self.prune_shares(now);
        self.expire_loads(now);
        expired
    }

    fn decay_traffic(&mut self) {
        for requests in self.traffic.values_mut() {
            *requests *= TRAFFIC_DECAY;
        }
    }

    /// Removes the limits of endpoints that are not registered.
    fn prune_limits(&mut self, now: Time) {
        self.rate_limits
            .prune(|endpoint| self.registry.get(endpoint).is_some(), now);
        self.rejection_limits
            .prune(|endpoint| self.registry.get(endpoint).is_some(), now);
    }

    /// Expires reservations, and removes the loads of idle endpoints that are not registered.
    fn expire_loads(&mut self, now: Time) {
        for load in self.loads.values_mut() {
            load.expire_reservations(now);
        }
        let registry = &self.registry;
        self.loads
            .retain(|id, load| load.running > 0 || registry.get(id).is_some());
    }
}
