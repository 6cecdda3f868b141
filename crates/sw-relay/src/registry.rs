//! Registry of endpoints.
//!
//! An incarnation that was once seen leaving stays leaving, whether a registration or a response announced it, and even
//! if it registers again as ready. An endpoint that rejected this VM with a retry time gets no requests until that time
//! has passed.
//! During and shortly after an outage of the store, registrations of healthy endpoints expire; such an endpoint stays
//! in use until a grace period is over.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, Time};

use crate::{EndpointEntry, ServiceId};

/// Time after the store's recovery within which live endpoints register again.
const RECOVERY_GRACE: Millis = Millis(2_300);
/// Maximum number of endpoints whose leaving incarnation is remembered; the oldest entries are dropped.
const MAX_LEAVING: usize = 4_096;

/// A registered endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its latest registration.
    pub entry: EndpointEntry,
    /// When its slow start ends, as far as it has said.
    pub cold_until: Time,
    /// When it is removed unless it registers again.
    expires_at: Option<Time>,
}

/// An incarnation of an endpoint that was seen leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Its incarnation; earlier ones have left as well.
    pub incarnation: Incarnation,
}

/// The registered endpoints and the evacuated failure domains.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    endpoints: IndexMap<EndpointId, Endpoint>,
    evacuated: IndexSet<DomainId>,
    /// The latest incarnation of each endpoint that was seen leaving.
    leaving: IndexMap<EndpointId, Incarnation>,
    /// Incarnations that reject requests of this VM, and until when.
    rejecting: IndexMap<EndpointId, (Incarnation, Time)>,
    /// When the store recovered from its last outage.
    recovered_at: Option<Time>,
}

impl Registry {
    /// Applies a registration, and returns whether it is more than a renewal of the known one.
    pub fn apply(&mut self, mut entry: EndpointEntry, now: Time) -> bool {
        entry.leaving |= self
            .leaving
            .get(&entry.id)
            .is_some_and(|leaving| entry.incarnation <= *leaving);
        if entry.leaving {
            self.remember_leaving(&entry.id, entry.incarnation);
        }
        let mut cold_until = now + entry.cold_for;
        let Some(known) = self.endpoints.get_mut(&entry.id) else {
            let endpoint = Endpoint {
                cold_until,
                expires_at: None,
                entry,
            };
            self.endpoints.insert(endpoint.entry.id.clone(), endpoint);
            return true;
        };
        if entry.incarnation < known.entry.incarnation {
            return false;
        }
        if known.entry.incarnation == entry.incarnation {
            // The registration may have been written before the endpoint said how cold it is.
            cold_until = cold_until.max(known.cold_until);
        }
        let changed = known.expires_at.is_some()
            || known.entry.incarnation != entry.incarnation
            || known.entry.leaving != entry.leaving
            || known.entry.address != entry.address
            || known.entry.service != entry.service
            || (cold_until > now) != (known.cold_until > now);
        known.cold_until = cold_until;
        known.expires_at = None;
        known.entry = entry;
        changed
    }

    /// Records that a registration was removed, and returns whether the endpoint is removed with it.
    ///
    /// Shortly after the store recovered, an endpoint that is not leaving is kept until the grace period is over.
    pub fn on_registration_removed(&mut self, id: &EndpointId, now: Time) -> bool {
        let grace_end = self.recovered_at.map(|recovered_at| recovered_at + RECOVERY_GRACE);
        match (self.endpoints.get_mut(id), grace_end) {
            (Some(known), Some(end)) if now < end && !known.entry.leaving => {
                known.expires_at = Some(end);
                false
            }
            (Some(_), _) => self.endpoints.swap_remove(id).is_some(),
            (None, _) => false,
        }
    }

    /// Records that the registration of an endpoint cannot be decoded, and returns whether the endpoint is removed with it.
    pub fn on_registration_malformed(&mut self, id: &EndpointId) -> bool {
        self.endpoints.swap_remove(id).is_some()
    }

    /// Records that an endpoint announced in a response that it is leaving, and returns whether that is new.
    pub fn on_leaving(&mut self, entry: &EndpointEntry) -> bool {
        self.remember_leaving(&entry.id, entry.incarnation);
        let known = self.endpoints.get_mut(&entry.id);
        let Some(known) = known.filter(|known| known.entry.incarnation <= entry.incarnation) else {
            return false;
        };
        !std::mem::replace(&mut known.entry.leaving, true)
    }

    /// Returns the endpoints that were seen leaving.
    pub fn leaving(&self) -> impl Iterator<Item = LeavingEndpoint> {
        self.leaving.iter().map(|(id, incarnation)| LeavingEndpoint {
            id: id.clone(),
            incarnation: *incarnation,
        })
    }

    /// Records that another VM saw an endpoint leaving.
    pub fn on_leaving_reported(&mut self, leaving: &LeavingEndpoint) {
        self.remember_leaving(&leaving.id, leaving.incarnation);
        let known = self.endpoints.get_mut(&leaving.id);
        if let Some(known) = known.filter(|known| known.entry.incarnation <= leaving.incarnation) {
            known.entry.leaving = true;
        }
    }

    /// Records that an endpoint rejects requests of this VM for the time `retry_after`.
    pub fn on_rejected(&mut self, entry: &EndpointEntry, retry_after: Millis, now: Time) {
        let until = now + retry_after;
        let (incarnation, rejects_until) = self
            .rejecting
            .entry(entry.id.clone())
            .or_insert((entry.incarnation, until));
        *rejects_until = if *incarnation == entry.incarnation {
            until.max(*rejects_until)
        } else {
            until
        };
        *incarnation = entry.incarnation;
    }

    /// Returns until when an endpoint rejects requests of this VM; `None` if it accepts them.
    pub fn rejects_until(&self, entry: &EndpointEntry, now: Time) -> Option<Time> {
        let (incarnation, until) = self.rejecting.get(&entry.id)?;
        (*incarnation == entry.incarnation && *until > now).then_some(*until)
    }

    fn remember_leaving(&mut self, id: &EndpointId, incarnation: Incarnation) {
        let leaving = self.leaving.entry(id.clone()).or_insert(incarnation);
        *leaving = incarnation.max(*leaving);
        if self.leaving.len() > MAX_LEAVING {
            self.leaving.shift_remove_index(0);
        }
    }

    /// Records that the store has recovered from an outage.
    pub fn on_store_recovered(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    /// Removes endpoints that did not register again in time, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointId> {
        self.rejecting.retain(|_, (_, until)| *until > now);
        let is_expired = |endpoint: &Endpoint| endpoint.expires_at.is_some_and(|expires_at| expires_at <= now);
        let expired: Vec<_> = self
            .endpoints
            .values()
            .filter(|endpoint| is_expired(endpoint))
            .collect();
        let expired: Vec<_> = expired.into_iter().map(|endpoint| endpoint.entry.id.clone()).collect();
        for id in &expired {
            self.endpoints.swap_remove(id);
        }
        expired
    }

    /// Starts or ends the evacuation of a failure domain, and returns whether that is a change.
    pub fn set_evacuated(&mut self, domain: DomainId, on: bool) -> bool {
        if on {
            self.evacuated.insert(domain)
        } else {
            self.evacuated.swap_remove(&domain)
        }
    }

    /// Returns the endpoints of a service, in all failure domains, that are neither leaving nor evacuated. They include
    /// those that reject requests of this VM.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Endpoint> {
        let usable = move |endpoint: &&Endpoint| endpoint.entry.service == *service && self.is_usable(endpoint);
        self.endpoints.values().filter(usable)
    }

    /// Returns all registered endpoints.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns all registered endpoints of a service, usable or not.
    pub(crate) fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .values()
            .filter(move |endpoint| endpoint.entry.service == *service)
    }

    /// Returns whether requests may be sent to this incarnation of an endpoint: it is the registered one, usable, and
    /// does not reject requests of this VM.
    pub fn may_send(&self, entry: &EndpointEntry, now: Time) -> bool {
        let known = self.endpoints.get(&entry.id);
        let usable = known.is_some_and(|known| known.entry.incarnation == entry.incarnation && self.is_usable(known));
        usable && self.rejects_until(entry, now).is_none()
    }

    /// Returns the endpoint with an id.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Extends the slow start of an endpoint to at least `cold_for` from now.
    pub fn extend_cold(&mut self, id: &EndpointId, cold_for: Millis, now: Time) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.cold_until = known.cold_until.max(now + cold_for);
        }
    }

    /// Sets the slow start of an endpoint to `cold_for` from now, as the endpoint itself says.
    pub fn set_cold(&mut self, id: &EndpointId, cold_for: Millis, now: Time) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.cold_until = now + cold_for;
        }
    }

    fn is_usable(&self, endpoint: &Endpoint) -> bool {
        !endpoint.entry.leaving && !self.evacuated.contains(&endpoint.entry.domain)
    }
}
