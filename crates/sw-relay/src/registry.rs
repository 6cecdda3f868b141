//! The endpoints that are registered.
//!
//! A life that was seen leaving stays so, whether its registration, an answer or a lost registration said it, and
//! also if the endpoint registers anew. An endpoint that turned this VM away gets nothing until its time is over.
//! While the store is away, and shortly after, registrations lapse of
//! endpoints that are well; such an endpoint stays in use until the grace is over.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, Time};

use crate::{EndpointEntry, ServiceId};

/// Time after the store's return within which live endpoints register again.
const RETURN_GRACE: Millis = Millis(2_300);
/// Lives that are remembered as having left; the oldest are forgotten.
const MAX_LEFT: usize = 4_096;

/// A registered endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// What it says about itself.
    pub entry: EndpointEntry,
    /// It is cold until then.
    pub cold_until: Time,
    /// It is gone from then on unless it registers again.
    lapses: Option<Time>,
}

/// The registered endpoints and the failure domains that are being emptied.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    endpoints: IndexMap<EndpointId, Endpoint>,
    evacuated: IndexSet<DomainId>,
    /// The newest life of each endpoint that was seen leaving.
    left: IndexMap<EndpointId, Incarnation>,
    /// Lives that want nothing from this VM until a time.
    closed: IndexMap<EndpointId, (Incarnation, Time)>,
    returned: Option<Time>,
}

impl Registry {
    /// Takes in a registration, and returns whether anything but its heartbeat changed.
    pub fn apply(&mut self, mut entry: EndpointEntry, now: Time) -> bool {
        entry.leaving |= self.left.get(&entry.id).is_some_and(|left| entry.incarnation <= *left);
        if entry.leaving {
            self.remember_left(&entry.id, entry.incarnation);
        }
        let cold_until = now + entry.cold_for;
        let Some(known) = self.endpoints.get_mut(&entry.id) else {
            let endpoint = Endpoint {
                cold_until,
                lapses: None,
                entry,
            };
            self.endpoints.insert(endpoint.entry.id.clone(), endpoint);
            return true;
        };
        if entry.incarnation < known.entry.incarnation {
            return false;
        }
        let cold = entry.cold_for > Millis(0);
        let changed = known.lapses.is_some()
            || known.entry.incarnation != entry.incarnation
            || known.entry.leaving != entry.leaving
            || known.entry.address != entry.address
            || known.entry.service != entry.service
            || cold != (known.cold_until > now);
        known.cold_until = cold_until;
        known.lapses = None;
        known.entry = entry;
        changed
    }

    /// Takes in that a registration is gone, and returns whether the endpoint is gone with it.
    pub fn on_registration_removed(&mut self, id: &EndpointId, now: Time) -> bool {
        let grace_end = self.returned.map(|returned| returned + RETURN_GRACE);
        match (self.endpoints.get_mut(id), grace_end) {
            (Some(known), Some(end)) if now < end && !known.entry.leaving => {
                known.lapses = Some(end);
                false
            }
            (Some(_), _) => self.endpoints.swap_remove(id).is_some(),
            (None, _) => false,
        }
    }

    /// Takes in that an endpoint said in an answer that it is leaving, and returns whether that is new.
    pub fn on_leaving(&mut self, entry: &EndpointEntry) -> bool {
        self.remember_left(&entry.id, entry.incarnation);
        let known = self.endpoints.get_mut(&entry.id);
        let Some(known) = known.filter(|known| known.entry.incarnation <= entry.incarnation) else {
            return false;
        };
        !std::mem::replace(&mut known.entry.leaving, true)
    }

    /// Takes in that an endpoint wants nothing from this VM for a while.
    pub fn on_rejected(&mut self, entry: &EndpointEntry, wait: Millis, now: Time) {
        let until = now + wait;
        let (life, closed_until) = self
            .closed
            .entry(entry.id.clone())
            .or_insert((entry.incarnation, until));
        *closed_until = if *life == entry.incarnation {
            until.max(*closed_until)
        } else {
            until
        };
        *life = entry.incarnation;
    }

    /// Until when an endpoint wants nothing from this VM; `None` if it takes requests.
    pub fn rejects_until(&self, entry: &EndpointEntry, now: Time) -> Option<Time> {
        let (life, until) = self.closed.get(&entry.id)?;
        (*life == entry.incarnation && *until > now).then_some(*until)
    }

    fn remember_left(&mut self, id: &EndpointId, life: Incarnation) {
        let left = self.left.entry(id.clone()).or_insert(life);
        *left = life.max(*left);
        if self.left.len() > MAX_LEFT {
            self.left.shift_remove_index(0);
        }
    }

    /// Records that the store answers again after an outage.
    pub fn on_store_recovered(&mut self, now: Time) {
        self.returned = Some(now);
    }

    /// Drops endpoints that did not register again in time, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointId> {
        self.closed.retain(|_, (_, until)| *until > now);
        let over = |endpoint: &Endpoint| endpoint.lapses.is_some_and(|lapses| lapses <= now);
        let gone: Vec<_> = self.endpoints.values().filter(|endpoint| over(endpoint)).collect();
        let gone: Vec<_> = gone.into_iter().map(|endpoint| endpoint.entry.id.clone()).collect();
        for id in &gone {
            self.endpoints.swap_remove(id);
        }
        gone
    }

    /// Begins or ends the evacuation of a failure domain, and returns whether that is a change.
    pub fn set_evacuated(&mut self, domain: DomainId, on: bool) -> bool {
        if on {
            self.evacuated.insert(domain)
        } else {
            self.evacuated.swap_remove(&domain)
        }
    }

    /// Endpoints of a service that may be sent to, in all failure domains.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Endpoint> {
        let usable = move |endpoint: &&Endpoint| endpoint.entry.service == *service && self.is_usable(endpoint);
        self.endpoints.values().filter(usable)
    }

    /// Whether this life of an endpoint may be sent to.
    pub fn may_send(&self, entry: &EndpointEntry, now: Time) -> bool {
        let known = self.endpoints.get(&entry.id);
        let usable = known.is_some_and(|known| known.entry.incarnation == entry.incarnation && self.is_usable(known));
        usable && self.rejects_until(entry, now).is_none()
    }

    /// The endpoint with an id.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Records how much longer an endpoint says it is cold.
    pub fn extend_cold(&mut self, id: &EndpointId, cold_for: Millis, now: Time) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.cold_until = known.cold_until.max(now + cold_for);
        }
    }

    fn is_usable(&self, endpoint: &Endpoint) -> bool {
        !endpoint.entry.leaving && !self.evacuated.contains(&endpoint.entry.domain)
    }
}
